#pragma once

/** What the parts of the core share; nothing outside of it includes this. */

#include "serve/core.h"
#include "serve/events.h"
#include "serve/meters.h"
#include "serve/reservation.h"
#include "policy/suspects.h"

struct SvCore
{
  SvCoreParts parts;
  SvBounds bounds;
  SvConfig *config;
  KnlTime begun_at;              /* when this instance began to serve */
  KnlTime confirmed_at;          /* -KNL_NEVER: never */
  SvOutdatedFunc outdated_since; /* NULL: nobody tells */
  gpointer outdated_data;
  KnlTime drain_since;  /* 0: no drain */
  GHashTable *requests; /* SvRequest */
  GHashTable *budgets;  /* service -> PolBudget */
  PolSuspects *suspects;
  SvMeters *meters;
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
  SvAsk ask;
  KnlTime begun_at;
  KnlTime deadline;
  KnlTimerId deadline_timer;
  guint64 fingerprint;
  guint offers;        /* sends, those that certainly did not run among them */
  guint runs;          /* sends that ran or may have run */
  GPtrArray *excluded; /* SvEndpoint that failed it, each with a reference */
  HtMessage
      *failure; /* an endpoint's answer that reports a failure; passed on if no better comes */
  const char *last_fault; /* why the last send failed; NULL: none has */

  /* the send that is under way */
  HtExchange *exchange;
  SvPlacement placement;
  SvReservation *reservation; /* NULL: none */
  KnlTime sent_at;
  KnlTimerId watch_timer;
  KnlTimerId defer_timer;
  KnlTimerId move_timer; /* when it is to make way */
  KnlTimerId hold_timer; /* of memory that is set aside and not used */
  HtMessage *answer;     /* its head has come; owned by the exchange */
  SvReply reply;
  SvRead read;         /* of its prompt, as entered in its endpoints */
  gboolean is_reading; /* it is still entered */

  /* the answer to the caller */
  GString *fields; /* of the first endpoint's answer */
  SvEvents events;
  gint64 last_event; /* id of the last event passed on; -1: none */
  KnlTime first_at;  /* when the first event or the answer went out; 0: not yet */
  KnlTime last_at;   /* when an endpoint's last bytes came */
  KnlTime event_at;  /* when the last event went out; 0: none has */
  KnlTime longest_gap;
} SvRequest;

/** How a request ended, for the log and the metrics. */
typedef struct
{
  guint status;
  const char *reason;
} SvOutcome;

static inline KnlTime
sv_request_now (const SvRequest *self)
{
  return knl_kernel_now (self->core->parts.kernel);
}

/* core.c */

/** Whether a newer configuration has been missing for longer than callers may be served without. */
gboolean sv_core_is_outdated (const SvCore *core);

/* admission.c */

/** Runs all checks; FALSE: the request was refused and is gone. */
gboolean sv_request_admit (SvRequest *self);

/* send.c */

/** Sends the request to an endpoint, or ends it. */
void sv_request_send (SvRequest *self);

/** Where the request would go if it left `endpoint`; nothing changes. FALSE: nowhere. */
gboolean sv_request_try_place (SvRequest *self, SvEndpoint *endpoint, SvPlacement *placement);

/* move.c */

/** A prompt is to be read at endpoints with these keys; `data` is the core. */
void sv_core_note_read (const SvRead *read, const guint64 *keys, guint n, gpointer data);

/* attempt.c */

/** What becomes of the exchange with an endpoint; its data is the request. */
extern const HtExchangeEvents sv_request_events;

/** Enters the placed request in its endpoint's load, or with `sign` -1 takes it out. */
void sv_request_charge (SvRequest *self, gint sign);

/** Enters the reading of its prompt in its endpoints, here and at the peers. */
void sv_request_place_read (SvRequest *self);

/** Takes it out, if it is still entered. */
void sv_request_end_read (SvRequest *self);

/** Ends a request that is sent nowhere any more. */
void sv_request_give_up (SvRequest *self, const char *reason);

/** Whether the service's retry budget has one left for this instance. */
gboolean sv_request_retry_left (SvRequest *self);

/** Closes the send that is under way. */
void sv_request_stop_send (SvRequest *self);

/** What becomes of a send that gave no answer; `ran`: it may have run. Sends again or ends. */
void sv_request_take_loss (SvRequest *self, const char *fault, gboolean ran);

/* stream.c */

/** Whether the answer that is coming is passed on event by event. */
gboolean sv_request_is_streaming (const SvRequest *self);

void sv_request_take_bytes (SvRequest *self, const char *bytes, gsize length);

/** The endpoint's stream is complete, and so is the answer. */
void sv_request_end_stream (SvRequest *self);

/* finish.c: the only ways for a request to end */

/** An answer of our own that promises that the request has not run. */
void sv_request_refuse (SvRequest *self, guint status, const char *reason);

/** An answer of our own that promises nothing, or the end of a begun answer. */
void sv_request_fail (SvRequest *self, guint status, const char *reason);

/** Passes a whole answer of an endpoint on. */
void sv_request_pass (SvRequest *self, const HtMessage *answer);

/** Ends a stream whose last event has been passed on. */
void sv_request_complete_stream (SvRequest *self);

/** The caller has left. */
void sv_request_gone (SvRequest *self);

/** The process ends before the request. */
void sv_request_stop (SvRequest *self);

/* core.c */

/** How long ago the configuration was last known to be the newest; KNL_NEVER: it never was. */
KnlTime sv_core_config_age (const SvCore *core);

PolBudget *sv_core_budget (SvCore *core, const char *service);
