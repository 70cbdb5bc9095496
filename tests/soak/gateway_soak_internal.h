#pragma once

/** Declarations shared by the sources of the gateway soak. */

#include "http/client.h"
#include "http/server.h"
#include "tests/fakes/row_store.h"
#include "tests/faults/harness.h"

#define GATEWAYS  3
#define ENDPOINTS 4
#define ZONES     3 /* of endpoints; endpoint i is in zone i % ZONES */

/** Time within which all instances that reach the store run the newest configuration. */
#define GS_SETTLE_TIME (4 * KNL_SEC)

/** Time within which they have read a row of an endpoint that is written while the store serves. */
#define GS_ROW_TIME (1 * KNL_SEC)

/** What cold endpoints can take (see docs/design/hard-load.md). */
#define GS_COLD_PER_S   4
#define GS_COLD_OVERAGE 1.5
#define GS_COLD_SLACK   5

/** Id of the segment that crashes endpoints. */
#define GS_DEADLY "0000dead"

typedef struct Soak Soak;

typedef struct
{
  const char *callers;
  const char *ready;
  const char *directory;
  const char *link;
  char *settings;
  HnProcess *process;
  KnlTime faulted_at;          /* last start, stop, kill or termination of the process */
  KnlTime limit_advertised_at; /* when an answer first advertised the limit to this process; 0: not
                                  yet */
  gboolean is_paused;
  KnlTime paused_at;
  KnlTime paused_until; /* it isn't resumed before */
  KnlTime resumed_at;
} Gateway;

/** What an endpoint has advertised to a gateway in its answers. */
typedef struct
{
  KnlTime leaving_at;         /* when it advertised that it is leaving; 0: not yet */
  KnlTime retry_after_at;     /* when it last sent Retry-After; 0: not yet */
  guint n_during_retry_after; /* requests that arrived before that Retry-After expired */
} EndpointSignals;

typedef struct
{
  Soak *soak;
  HtServer *server;
  GHashTable *works;  /* requests that it runs */
  guint rate;         /* advertised limit in requests a second; 0: none */
  KnlTime limited_at; /* when the limit was set */
  GArray *arrivals;   /* KnlTime, of requests that count against the limit */
  gboolean is_leaving;
  const char *own_address;
  const char *listed_address; /* in its row; a proxy's, or its own */
  KnlTime cold_until;
  KnlTime cold_from;     /* when all instances know that it is cold */
  GArray *cold_arrivals; /* KnlTime, since then */
  KnlTime used_at;       /* last arrival of a request */
  guint generation;      /* processes of it that have crashed */
  KnlTimerId restart_timer;
  EndpointSignals signals[GATEWAYS];
} Endpoint;

typedef struct
{
  KnlTime evacuated_at; /* when the store acknowledged the row; 0: not evacuated */
  KnlTime written_at;   /* when the row was last written or removed */
  KnlTime restore_at;   /* when the operator removes the row */
  gboolean was_evacuated;
} Zone;

/** The outcome of one request, as its caller and the endpoints saw it. */
typedef struct
{
  Soak *soak;
  Gateway *gateway;
  char *id;
  gboolean is_at_most_once; /* not idempotent */
  gboolean is_deadly;       /* crashes the endpoint that answers it */
  gboolean is_repeat;       /* the same, and others are equal to it but for the id */
  guint key;                /* version whose key it carries; 0: the permanent key */
  KnlTime sent_at;
  KnlTime ended_at; /* 0: not yet */
  guint status;     /* 0: no answer */
  gboolean is_own;  /* the answer's body is this request's id */
  guint runs;
  KnlTime ran_at;
} Request;

/** The request that is sent again and again. */
typedef struct
{
  GRand *rand;
  KnlTime next_at;
  guint n_crashes;
  KnlTime known_from; /* when the gateways must know it; 0: it has crashed too few endpoints */
  guint n_late;       /* sends that reached endpoints after that */
  KnlTime paused_at;  /* when gateways were paused for it; 0: not yet */
  gboolean was_killed;
} Repeats;

struct Soak
{
  HnHarness *harness;
  GRand *rand;
  HtClient *client;
  RowStore *store;
  Endpoint endpoints[ENDPOINTS];
  const char *proxy; /* control address of the proxy in front of endpoint 0 */
  Gateway gateways[GATEWAYS];
  GHashTable *requests; /* id -> Request */
  GArray *withdrawn_at; /* KnlTime, by version: when its key was withdrawn */
  char *config;         /* the newest configuration that the operator wrote */
  Zone zones[ZONES];
  KnlTime evacuation_bound;
  RowStoreMode store_mode;
  KnlTime rows_read_at; /* when all instances have read the rows after the store's last fault */
  guint n_evacuations;
  guint n_cold_arrivals; /* requests that count against the rate of a cold endpoint */
  GArray *versions;      /* guint64, version of the store at each step */
  KnlTime rewrite_at;    /* when lost rows are to be written again; 0: none are lost */
  gboolean is_calm;      /* no faults of processes or of the store's service */
  guint version;
  guint next;
  guint answered;
  guint n_retry_after; /* answers with Retry-After */
  gboolean sends_deadly;
  guint n_crashes;      /* endpoints that prompts have crashed */
  KnlTime known_from;   /* when the gateways must know why; 0: it has crashed too few */
  guint n_late_prompts; /* that reached endpoints after that */
  guint n_quarantined;  /* decisions of gateways that quarantined the segment */
  guint n_wrong;        /* those that quarantined another one */
  Repeats repeats;
  guint violations; /* violations of the guarantees */
};

static inline KnlTime
gs_now (const Soak *self)
{
  return knl_kernel_now (self->harness->kernel);
}

/* gateway_soak.c */

void gs_write_settings (Soak *self, guint gateway);
void gs_start_gateway (Soak *self, guint gateway);

/** Writes a new version, whose key replaces that of the previous one. */
void gs_put_config (Soak *self);

/** Sends a request that differs from others sent so by its id alone. */
void gs_send_same_request (Soak *self, Gateway *gateway);

/* gateway_soak_endpoints.c */

void gs_start_endpoint (Soak *self, guint endpoint);

/** Makes the last endpoint advertise a rate limit from now on. */
void gs_advertise_limit (Soak *self);

/** Checks the arrivals at an endpoint against the rate limit that it advertises. */
void gs_check_limit (Soak *self, const Endpoint *endpoint);

/** Ends the endpoint's process with all that it runs. */
void gs_end_endpoint (Endpoint *endpoint);

/** Starts the next process of an endpoint that has crashed. */
void gs_restart_endpoint (Soak *self, guint endpoint);

/* gateway_soak_segments.c */

/** Header fields of the prompt that the request is, by chance; empty: it is none. Free with g_free.
 */
char *gs_prompt_fields (Soak *self, Request *request);

/** Ends the endpoint's process and all its connections, under a prompt that crashes it or the
 * repeated request. It comes back later, under another id. */
void gs_crash_endpoint (Endpoint *endpoint, gboolean is_repeat);

/** Checks the arrival of a prompt that crashes endpoints. */
void gs_check_deadly (Endpoint *endpoint, const Request *request);

/** Counts what the gateways have quarantined. */
void gs_check_quarantined (Soak *self);

/* gateway_soak_repeats.c */

/** Sends the repeated request if it is time. */
void gs_send_repeat (Soak *self);

/** The repeated request has crashed an endpoint. */
void gs_note_repeat_crash (Soak *self);

/** Checks the arrival of a repeated request. */
void gs_check_repeat (Endpoint *endpoint, const Request *request);

/** Pauses, and later kills, gateways once the repeated request is known. */
void gs_disturb_repeats (Soak *self);

/* gateway_soak_rows.c */

/** The id under which the endpoint's present process is listed. Free with g_free. */
char *gs_endpoint_id (const Endpoint *endpoint);

/** Writes the endpoint's row in place of that of its last process. */
void gs_replace_endpoint_row (Soak *self, guint endpoint);

/** Writes all rows of the operator and the endpoints. */
void gs_put_rows (Soak *self);

/** Evacuates a random zone and makes a random endpoint cold, unless they are. */
void gs_change_rows (Soak *self);

void gs_make_all_cold (Soak *self, KnlTime duration);

/** Removes the rows of evacuated zones that are to end by `until`. */
void gs_restore_zones (Soak *self, KnlTime until);

/** Notes a fault of the store after which all instances have read its rows at `rows_read_at`. */
void gs_note_store_fault (Soak *self, KnlTime rows_read_at);

/** Checks a request's arrival against the zones' and the endpoint's rows. */
void gs_check_rows (Endpoint *endpoint, const Request *request);

/** Checks that the endpoints of zones that were evacuated have received requests since then. */
void gs_check_used (Soak *self, KnlTime since);

/* gateway_soak_faults.c */

void gs_set_proxy_fault (Soak *self, const char *fault);
void gs_resume (Soak *self, Gateway *gateway);

/** Injects a random fault at a random gateway. */
void gs_inject (Soak *self);

/** Writes the rows of the operator and the endpoints again that a restoration of the store lost, if
 * it is time. */
void gs_rewrite_lost_rows (Soak *self);
