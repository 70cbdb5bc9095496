#pragma once

/** Internals shared by the source files of the core; not for inclusion elsewhere. */

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
  EN_DRAIN_LEAVING,  /**< removed from the list of entries, still accepts requests */
  EN_DRAIN_REFUSING, /**< refuses new requests and finishes those in flight */
  EN_DRAIN_COMPLETE,
} EnDrainState;

struct EnCore
{
  KnlKernel *kernel;
  char *instance;
  char *zone;
  guint64 incarnation;
  EnCoreSettings settings; /* its strings are owned by the fields above */
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
  KnlTime begun_at;        /* when this process began to count for them */
  GHashTable *polls;       /* endpoint name -> Poll */
  GHashTable *cache_polls; /* endpoint name -> CachePoll */
  guint next_cache_poll;
  guint64 acquiring; /* number of the request that is acquiring a reservation; 0: none */
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

/** Starts an admitted request: makes its record first if it may run only once. */
void en_core_begin (EnCore *core, EnRequest *request);

/** dispatch.c: from the queue to an engine */
void en_core_enqueue (EnCore *core, EnRequest *request);
void en_core_wake_queue (EnCore *core);

/** engine.c: releases everything that the request uses at engines */
void en_core_release_engine (EnCore *core, EnRequest *request);

/** Releases the engines that were kept free for the request. */
void en_core_release_holds (EnCore *core, const EnRequest *request);

/** Removes the request from the queue and marks it as dispatched. */
void en_core_dequeue (EnCore *core, EnRequest *request);

/** Starts an attempt. Takes ownership of `charge`; `imports` may be NULL. */
void en_core_start_attempt (EnCore *core,
                            EnRequest *request,
                            EnEndpoint *endpoint,
                            EnCharge *charge,
                            const char *imports);

/** Whether `decision` allows another attempt; a budgeted one is deducted from the budget. */
gboolean en_core_may_retry (EnCore *core, const EnRequest *request, PolRetry decision);

/** Bounds this entry's retries, for each service separately. */
extern const PolBudgetRule en_retry_budget;

/** The attempt, or the reservation that prepares it, was lost: retries or ends the request. */
void en_core_handle_loss (EnCore *core, EnRequest *request, const EnLoss *loss);

/** Updates the estimates on whether requests wait in this request's lane. */
void en_core_note_lane (EnCore *core, const EnRequest *request);

/** Shortest time from dispatch to the first token, at the fastest engine's rate; 0: unknown. */
KnlTime en_core_service_time (EnCore *core, const EnRequest *request);

/** reserve.c: prompts that exceed one engine's memory */
gboolean en_core_needs_reservation (EnCore *core, const EnRequest *request);

typedef enum
{
  EN_RESERVE_STARTED,    /**< acquired in full and dispatched */
  EN_RESERVE_WAITS,      /**< for more memory, or until it may try again */
  EN_RESERVE_IMPOSSIBLE, /**< all engines together don't have enough memory now */
} EnReserve;

/** Acquires as much of the request's reservation as is available now. */
EnReserve en_core_reserve (EnCore *core, EnRequest *request);

/** cache.c */
void en_core_start_cache (EnCore *core);
void en_core_stop_cache (EnCore *core);
void en_core_poll_next_cache (EnCore *core);
void en_core_add_prefix (EnEndpoint *endpoint, guint64 prefix);

/** record.c: requests that may run at most once */
void en_core_start_record (EnCore *core, EnRequest *request);

/** Appends a part of the answer to the text kept for the idempotency record. */
void en_core_append_answer (EnRequest *request, const char *text);

/** Ends the request with its complete answer, once the outcome is recorded. */
void en_core_complete (EnCore *core, EnRequest *request, const EnAnswer *answer);

/** Records the outcome of a request that ends, unless that has been done. */
void en_core_close_record (EnCore *core, EnRequest *request, EnOutcome outcome);

/** Queues the request for an engine, or calls its plain service. */
void en_core_run (EnCore *core, EnRequest *request);

/** crash.c */
void en_core_report_crash (EnCore *core, EnEndpoint *endpoint, guint epoch, guint64 incarnation);
void en_core_engine_restarted (EnEndpoint *endpoint, guint64 before, gpointer data);

/** Ends the request if it is quarantined (TRUE); else sets whether it must run alone. */
gboolean en_core_refuse_quarantined (EnCore *core, EnRequest *request);

/** plain.c */
void en_core_start_plain (EnCore *core, EnRequest *request);

/** finish.c: every admitted request ends through one of these */
void en_core_end_error (EnCore *core, EnRequest *request, const EnError *error);
void en_core_end_done (EnCore *core, EnRequest *request, const EnAnswer *answer);
void en_core_end_disconnected (EnCore *core, EnRequest *request);

/** Ends the request with an error at the time `at`; replaces an earlier call's time. */
void en_core_set_deadline_timer (EnCore *core, EnRequest *request, KnlTime at);

/** The outcome if the request ended now: NOT_RUN if nothing of it can have run, else UNKNOWN. */
EnOutcome en_core_outcome_if_ended (const EnRequest *request);

/** control.c: frames from the controller, and periodic reports to it */
void en_core_start_control (EnCore *core);
void en_core_stop_control (EnCore *core);
void en_core_request_credits (EnCore *core);
void en_core_send_status (EnCore *core);

/** drain.c */
void en_core_check_drained (EnCore *core);
void en_core_check_declared_state (EnCore *core);
