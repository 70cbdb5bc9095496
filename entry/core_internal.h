#pragma once

/** What the parts of the core share; nothing outside of it includes this. */

#include "common/metrics.h"
#include "common/retry.h"
#include "coord/config.h"
#include "entry/core.h"
#include "entry/credits.h"
#include "entry/estimate.h"
#include "entry/history.h"
#include "entry/meters.h"
#include "entry/queue.h"
#include "entry/records.h"
#include "entry/reservation.h"
#include "entry/retry.h"
#include "entry/router.h"
#include "entry/shares.h"
#include "policy/budget.h"
#include "policy/suspects.h"

typedef enum
{
  EN_DRAIN_SERVING,
  EN_DRAIN_LEAVING,  /**< off the list of entries, still takes requests */
  EN_DRAIN_REFUSING, /**< finishes what it has */
  EN_DRAIN_OVER,
} EnDrainState;

struct EnCore
{
  KnlKernel *kernel;
  char *instance;
  char *zone;
  guint64 incarnation;
  EnCoreSettings settings; /* its strings are the ones above */
  EpClient *client;
  EnUplink *uplink;
  CoConfig *config;
  EnFleet *fleet;
  EnCancels *cancels;
  EnCredits *credits;
  EnRouter *router;
  EnShares *shares;
  EnQueue *queue;
  EnEstimates *estimates;
  EnRecords *records;
  PolSuspects *suspects;
  EnHistory *history;
  EnMeters *meters;
  EnAttemptHost host;

  GHashTable *requests;    /* number -> EnRequest */
  GHashTable *tokens;      /* workspace token -> workspace name */
  GHashTable *in_flight;   /* workspace name -> count */
  GHashTable *budgets;     /* service name -> PolBudget */
  GHashTable *polls;       /* endpoint name -> Poll */
  GHashTable *cache_polls; /* endpoint name -> CachePoll */
  guint next_cache_poll;
  guint64 acquiring; /* number of the request that acquires a reservation; 0: none */
  guint64 last_number;
  gboolean has_members;

  KnlTimerId queue_timer;
  KnlTimerId tick_timer;
  KnlTimerId credit_timer;
  KnlTime credits_sent_at;
  guint64 ticks;

  EnDrainState drain;
  KnlTime refusing_since;
  KnlTimerId drain_timer;
  EnDrainedFunc drained;
  gpointer drained_data;
};

/** submit.c */
char *en_core_next_id (EnCore *core);
const CoObject *en_core_service (const EnCore *core, const char *name);
void en_core_index_workspaces (EnCore *core);

/** Starts the work of an admitted request. */
void en_core_begin (EnCore *core, EnRequest *request);

/** dispatch.c: from the queue to an engine */
void en_core_enqueue (EnCore *core, EnRequest *request);
void en_core_wake_queue (EnCore *core);

/** engine.c: gives back all that the request has at engines */
void en_core_release_engine (EnCore *core, EnRequest *request);

/** Engines that were kept free for the request are for all again. */
void en_core_release_holds (EnCore *core, const EnRequest *request);

/** Takes it out of the queue to be dispatched. */
void en_core_leave_queue (EnCore *core, EnRequest *request);

/** Starts an attempt; `charge` is taken over, `imports` may be NULL. */
void en_core_start_attempt (EnCore *core,
                            EnRequest *request,
                            EnEndpoint *endpoint,
                            EnCharge *charge,
                            const char *imports);

/** The attempt, or what prepared it, was lost: it is tried again or ends. */
/** Whether the decision allows another attempt; a budgeted one is taken from the budget. */
gboolean en_core_may_retry (EnCore *core, const EnRequest *request, PolRetry decision);

/** Of each service, all retries of this entry together. */
extern const PolBudgetRule en_retry_budget;

void en_core_take_loss (EnCore *core, EnRequest *request, const EnLoss *loss);

/** Tells the estimates whether something waits in the request's lane. */
void en_core_note_lane (EnCore *core, const EnRequest *request);

/** Least time from the dispatch to the first token, by the best rate seen; 0: not known. */
KnlTime en_core_service_time (EnCore *core, const EnRequest *request);

/** reserve.c: prompts above one engine's memory */
gboolean en_core_needs_reservation (EnCore *core, const EnRequest *request);

typedef enum
{
  EN_RESERVE_STARTED,    /**< it has all and was dispatched */
  EN_RESERVE_WAITS,      /**< for more */
  EN_RESERVE_IMPOSSIBLE, /**< all engines together have not enough now */
} EnReserve;

/** Takes what it can. */
EnReserve en_core_reserve (EnCore *core, EnRequest *request);

/** cache.c */
void en_core_start_cache (EnCore *core);
void en_core_stop_cache (EnCore *core);
void en_core_poll_next_cache (EnCore *core);
void en_core_learn_prefix (EnEndpoint *endpoint, guint64 prefix);

/** record.c: requests that run at most once */
void en_core_start_record (EnCore *core, EnRequest *request);

/** Keeps a part of the answer for the record. */
void en_core_keep_answer (EnRequest *request, const char *text);

/** Ends the request with its whole answer, once the outcome is recorded. */
void en_core_complete (EnCore *core, EnRequest *request, const EnAnswer *answer);

/** Records how a request ended that did not complete. */
void en_core_close_record (EnCore *core, EnRequest *request, EnOutcome outcome);

/** Starts the work of a request that may run now. */
void en_core_run (EnCore *core, EnRequest *request);

/** crash.c */
void en_core_report_crash (EnCore *core, EnEndpoint *endpoint, guint epoch, guint64 incarnation);
void en_core_engine_restarted (EnEndpoint *endpoint, guint64 before, gpointer data);

/** Ends a quarantined request (TRUE); notes whether a suspect must run alone. */
gboolean en_core_refuse_quarantined (EnCore *core, EnRequest *request);

/** plain.c */
void en_core_start_plain (EnCore *core, EnRequest *request);

/** finish.c: the only ways for a request to end */
void en_core_end_error (EnCore *core, EnRequest *request, const EnError *error);
void en_core_end_done (EnCore *core, EnRequest *request, const EnAnswer *answer);
void en_core_end_gone (EnCore *core, EnRequest *request);

/** Sets the limit that ends the request, to fire after `delay`. */
void en_core_set_limit (EnCore *core, EnRequest *request, KnlTime at);

/** Whether nothing of it can have run. */
EnOutcome en_core_outcome_if_ended (const EnRequest *request);

/** control.c: frames from the controller, and what is sent to it by the clock */
void en_core_start_control (EnCore *core);
void en_core_stop_control (EnCore *core);
void en_core_ask_credits (EnCore *core);
void en_core_send_status (EnCore *core);

/** drain.c */
void en_core_check_drained (EnCore *core);
void en_core_check_declared_state (EnCore *core);
