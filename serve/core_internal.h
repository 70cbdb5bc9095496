#pragma once

/** Declarations shared by the core's own sources; not to be included by anything else. */

#include "policy/proof.h"
#include "serve/core.h"
#include "serve/events.h"
#include "serve/meters.h"
#include "serve/overload.h"
#include "serve/pace.h"
#include "serve/pace_reports.h"
#include "serve/queue.h"
#include "serve/reach.h"
#include "serve/reservation.h"

struct SvCore
{
  SvCoreParts parts;
  SvBounds bounds;
  SvConfig *config;
  KnlTime begun_at;             /* when this instance started serving */
  KnlTime confirmed_at;         /* -KNL_NEVER: never */
  SvStaleSinceFunc stale_since; /* NULL: staleness isn't checked */
  gpointer stale_since_data;
  KnlTime drain_since;     /* 0: not draining */
  KnlTime stops_at;        /* when the requests that still run are ended; 0: not draining */
  GHashTable *durations;   /* name of a route -> how long its requests took; durations.c */
  KnlTime listed_at;       /* time as of which the list of endpoints is known; 0: never */
  gboolean admits_none;    /* new requests are refused */
  KnlTime last_request_at; /* when a request was last received; 0: never */
  GHashTable *requests;    /* SvRequest */
  GHashTable *budgets;     /* service -> PolBudget */
  GHashTable *unread;      /* key of an endpoint -> its sends that it may still read; retries.c */
  GHashTable *queues;      /* service -> SvQueue */
  SvCrashes *crashes;
  SvQuarantine *quarantine;
  GHashTable *reach; /* service -> SvReach */
  SvOffered *offered;
  GHashTable *overloads; /* service -> SvOverload; those whose endpoints are engines */
  guint n_lost;          /* services that this instance has lost its links to */
  guint n_passed; /* requests that peers passed on to this instance and that have not ended */
  KnlTimerId quarantine_timer; /* when sends of quarantined prompts are cancelled; 0: none are */
  SvMeters *meters;
  SvPaceReports *pace_reports;
};

/** One request of a caller, from its reception to the end of its answer. */
typedef struct
{
  SvCore *core;
  HtCall *call;
  SvConfig *config;
  const SvRoute *route;
  const SvService *service;
  const SvWorkspace *workspace; /* NULL: none */
  SvRequestParams params;
  KnlTime begun_at;
  KnlTime deadline;
  KnlTimerId deadline_timer;
  guint64 fingerprint;
  guint sends;         /* sends, including those that certainly did not run */
  guint runs;          /* sends that ran or may have run */
  GPtrArray *excluded; /* SvEndpoint that failed this request; holds references */
  /* an endpoint's error answer, owned; forwarded if no later attempt gives a better one */
  HtMessage *failure;
  SvEndpoint *failed_at;  /* whose answer that is; NULL: there is none */
  gboolean unreached;     /* no connection to the endpoint of the last send was established */
  gboolean is_passed;     /* a peer passed it on to this instance */
  gboolean is_test;       /* of a quarantine: it is let through to find out whether that is right */
  gboolean is_crash_test; /* the same of its own crashes, which no quarantine was decided by */
  gboolean is_over_share; /* its workspace has had its share of the service */
  gboolean lacks_room;    /* it is refused because there won't be room for it in time */
  SvWaiter waiter;        /* its place among those that wait for room */
  HtExchange *pass;       /* with the peer that it is passed on to; NULL: none */
  char *passed_to;        /* address of the last peer that it was passed on to; NULL: none */
  guint passes;           /* peers that it was passed on to */
  const char *last_fault; /* why the last send failed; NULL: none has */

  /* the current send */
  HtExchange *exchange;
  SvPlacement placement;
  SvReservation *reservation; /* NULL: none */
  gboolean holds_retry;       /* a retry that was spent is held until this send has arrived */
  gboolean is_unread;         /* it was withdrawn, may still arrive, and no retry is held for it */
  KnlTime sent_at;
  KnlTime writing_since; /* when its first event was received; 0: not yet */
  KnlTimerId watch_timer;
  KnlTimerId migrate_timer; /* when it is to migrate */
  KnlTimerId hold_timer;    /* limits how long reserved memory may stay unused */
  gboolean is_doubtful; /* it is given up: an answer that may be to it says that it hasn't run */
  HtMessage *answer;    /* set once its head was received; owned by the exchange */
  SvReply reply;
  SvPrefill prefill;      /* prefill of its prompt, as registered at its endpoints */
  gboolean is_prefilling; /* `prefill` is still registered */

  /* the answer to the caller */
  GString *fields; /* header fields of the first endpoint's answer */
  SvEvents events;
  gint64 last_event;        /* id of the last event forwarded; -1: none */
  KnlTime first_sent_at;    /* when the first event or the answer was sent; 0: not yet */
  KnlTime last_received_at; /* when the endpoint last sent a head or an event; 0: never */
  KnlTime last_event_at;    /* when the last event was sent; 0: none was */
  KnlTime longest_gap;
  SvPaceStream pace; /* of the current send */
} SvRequest;

/** How a request ended, for the log and the metrics. */
typedef struct
{
  guint status;
  const char *reason;
} SvOutcome;

/** This instance's links to a service. */
SvReach *sv_core_reach (SvCore *core, const char *service);

static inline KnlTime
sv_request_now (const SvRequest *self)
{
  return knl_kernel_now (self->core->parts.kernel);
}

/* core.c */

/** Whether a newer configuration has been known but missing for longer than the staleness bound;
 * callers are refused then. */
gboolean sv_core_is_stale (const SvCore *core);

/** Whether the configuration's table was confirmed so long ago that a zone may have been evacuated
 * unnoticed; nothing is sent to endpoints then. */
gboolean sv_core_has_stale_zones (const SvCore *core);

/** The links to the service that the request is for. */
static inline SvReach *
sv_request_reach (const SvRequest *self)
{
  return sv_core_reach (self->core, self->service->name);
}

/* admission.c */

/** Its priority, 0 for the most urgent: that of its workspace, or else of its route. */
guint sv_request_priority (const SvRequest *self);

/** Expected length of its answer, tokens. */
guint64 sv_request_usual_answer (const SvRequest *self);

/** Runs all admission checks. FALSE: the request was refused and freed. */
gboolean sv_request_admit (SvRequest *self);

/* request_quarantine.c */

/** Why it isn't to be sent: it, or a segment of its prompt, is quarantined; logs which. NULL: it
 * may be sent. */
const char *sv_request_quarantine_reason (SvRequest *self);

/** The same, also if it isn't quarantined, but its endpoints have ended under it too often. */
const char *sv_request_crash_refusal (SvRequest *self);

/** Records that the endpoint may have crashed under the request, and tells the peers. `ended`: its
 * connection has ended; otherwise it is only silent. */
void sv_request_note_crash (SvRequest *self, const char *fault, gboolean ended);

/** Records an answer, which may show that its endpoint has survived running the request. */
void sv_request_note_answered (SvRequest *self, const HtMessage *answer);

/** Its endpoint has begun to answer it. */
void sv_request_note_begun (SvRequest *self);

/** Its answer is cancelled. */
void sv_request_forget_begun (SvRequest *self);

/** SvQuarantineFunc: cancels sends of prompts that are quarantined now and whose answers haven't
 * begun, after the caller of this function; `data` is the core. */
void sv_core_note_quarantine (gpointer data);

/* send.c */

/** Sends the request to an endpoint, lets it wait for room, or ends (and frees) the request. */
void sv_request_send (SvRequest *self);

/** Places the request, if it may be sent at all. FALSE: it is passed on to a peer, or has ended and
 * is freed. */
gboolean sv_request_prepare (SvRequest *self);

/** Sends the request as it is placed. */
void sv_request_dispatch (SvRequest *self);

/** To be called after a sample of its endpoint's pace: updates the service's endpoints, and
 * announces what has changed. */
void sv_request_note_pace (SvRequest *self);

/** Finds a placement for the request that excludes `endpoint`, without changing anything. FALSE: no
 * endpoint has capacity for it. */
gboolean sv_request_try_place (SvRequest *self, SvEndpoint *endpoint, SvPlacement *placement);

/* watch.c */

/** Watches for the silence of its endpoint, which has just been sent the request. */
void sv_request_watch (SvRequest *self);

/* wait.c */

/** After it was placed: decides whether it is sent now. FALSE: it waits for room, or was refused
 * and is freed. */
gboolean sv_request_take_turn (SvRequest *self);

/** SvTurnFunc of a request that waits. */
gboolean sv_request_on_turn (SvWaiter *waiter, KnlTime ahead, gboolean may_send);

/** No-op if it doesn't wait. */
void sv_request_leave_queue (SvRequest *self);

/** How much longer its caller waits for the next event, or for the first; KNL_NEVER: without limit.
 */
KnlTime sv_request_event_left (const SvRequest *self);

/** Its urgency at endpoints. */
guint sv_request_urgency (const SvRequest *self);

/** Age of what is known of the load of its endpoint; -1: it hasn't been heard from. */
KnlTime sv_request_room_age (const SvRequest *self);

/* placement_check.c */

/** Whether something has changed since the request was placed because of which it must not be sent
 * like that: an endpoint has advertised a Retry-After, become cold or left the fleet, or a zone was
 * evacuated. */
gboolean sv_request_is_placement_outdated (const SvRequest *self);

/* pass.c */

/** Passes the request on to a peer, if this instance has lost its links to endpoints. FALSE: it is
 * to be sent from here. */
gboolean sv_request_pass (SvRequest *self);

/** Cancels the exchange with the peer; no-op if there is none. */
void sv_request_cancel_pass (SvRequest *self);

/** Whether another request that a peer has passed on may be taken. */
gboolean sv_core_takes_passed (const SvCore *core);

/* move.c */

/** SvFleetPrefillFunc: a prompt was placed for prefill at endpoints with these keys; `data` is the
 * core. */
void sv_core_note_prefill (const SvPrefill *prefill, const guint64 *keys, guint n, gpointer data);

/* attempt.c */

/** Callbacks of the exchange with an endpoint; their data is the request. */
extern const HtExchangeEvents sv_request_events;

/** Adds the placed request to its endpoint's load, or with `sign` -1 removes it. */
void sv_request_charge (SvRequest *self, gint sign);

/** Registers the prefill of its prompt at its endpoints, here and at the peers. */
void sv_request_register_prefill (SvRequest *self);

/** Removes the prefill again; no-op if it isn't registered. */
void sv_request_end_prefill (SvRequest *self);

/** Ends a request that won't be sent again, with the best answer available. */
void sv_request_give_up (SvRequest *self, const char *reason);

/** Cancels the current send, its timers and its reservation; no-op if there is none. */
void sv_request_cancel_send (SvRequest *self);

/** Records that the endpoint has just been heard from. */
void sv_request_note_alive (SvRequest *self);

/** Handles a send that gave no usable answer: retries it, or ends the request. */
void sv_request_handle_loss (SvRequest *self, const char *fault, PolEnd end);

/* not_run.c */

/** Reads the head of an answer on its connection into `reply`, if it is to this request. */
HtHeadVerdict
sv_request_read_head (SvRequest *self, const HtExchange *exchange, const HtMessage *answer);

/** Forwards an endpoint's own answer. If its status would promise callers that the request has not
 * run, which the endpoint hasn't promised, and it must not run twice, they get an error instead. */
void sv_request_forward_endpoint (SvRequest *self, const HtMessage *answer);

/** The endpoint's id, where a peer passed the request on and is told whose answer it gets; else
 * NULL.
 */
const char *sv_request_told_endpoint (const SvRequest *self, const HtMessage *answer);

/** Whether any send of it, also one that goes on, may have run or may still run. */
gboolean sv_request_may_have_run (const SvRequest *self);

/** Whether an earlier send of it went to `address`. An answer names its request, not the send that
 * it is to: on a connection that has carried the request before, a second answer to that send would
 * be taken for the answer to this one. */
gboolean sv_request_was_sent_to (const SvRequest *self, const char *address);

/* stream.c */

/** Whether the answer being received is forwarded event by event. */
gboolean sv_request_is_streaming (const SvRequest *self);

/** Whether its stream, which has ended, was broken off: inside an event, or before any event where
 * only the end of the connection says that it is complete. */
gboolean sv_request_is_stream_torn (const SvRequest *self, const HtMessage *answer);

void sv_request_handle_bytes (SvRequest *self, const char *bytes, gsize length);

/** Ends the request: the endpoint's stream is complete. */
void sv_request_end_stream (SvRequest *self);

/* finish.c: the only ways for a request to end; each frees it */

/** Answers on this instance's behalf, with the promise that the request has not run. */
void sv_request_refuse (SvRequest *self, guint status, const char *reason);

/** Answers on this instance's behalf without that promise; aborts an answer that has begun. */
void sv_request_fail (SvRequest *self, guint status, const char *reason);

/** Forwards a complete answer of an endpoint. */
void sv_request_forward (SvRequest *self, const HtMessage *answer);

/** Ends a stream whose last event has been forwarded. */
void sv_request_complete_stream (SvRequest *self);

/** The caller has disconnected. */
void sv_request_note_disconnect (SvRequest *self);

/** The process exits before the request has ended. */
void sv_request_stop (SvRequest *self);

/* core.c */

/** Time since the configuration was last confirmed to be the newest; KNL_NEVER: it never was. */
KnlTime sv_core_config_age (const SvCore *core);

/** The requests that wait for room at the service's endpoints. */
SvQueue *sv_core_queue (SvCore *core, const SvService *service);

/* durations.c */

/** The request, which ends, has taken so long. */
void sv_request_note_duration (const SvRequest *self);

/** Whether it can end before the process does, if it is sent now as it is placed. */
gboolean sv_request_can_end (const SvRequest *self);

/* retries.c */

void sv_retries_init (SvCore *core);
void sv_retries_clear (SvCore *core);

/** Completes the rule of the budgets, after the bounds were set. */
void sv_retries_set_rule (SvCore *core);

/** Counts a caller's request for the service, for its retry budget. */
void sv_core_note_request (SvCore *core, const char *service);

/** Whether the retry budget of its service allows this instance another retry; doesn't spend it. */
gboolean sv_request_has_retry_left (SvRequest *self);

/** Spends a retry; FALSE: none is left. It is held until it has certainly arrived: the endpoint of
 * the last send may still read that, or else that of the next send has to read it. */
gboolean sv_request_spend_retry (SvRequest *self);

/** The current send has certainly arrived, or never will. */
void sv_request_note_arrival (SvRequest *self);

/** To be called when the current send is withdrawn with no answer: its endpoint may still read it.
 */
void sv_request_note_unread (SvRequest *self);

/** The request has ended. */
void sv_request_end_retries (SvRequest *self);

/** Bytes that its endpoint sent have been received: it has read what was withdrawn before. */
void sv_request_note_read (const SvRequest *self);
