#pragma once

/** What the parts of the gateway soak share. */

#include "http/client.h"
#include "http/server.h"
#include "tests/fakes/row_store.h"
#include "tests/faults/harness.h"

#define GATEWAYS 3
#define DESKS    3

typedef struct Soak Soak;

typedef struct
{
  const char *callers;
  const char *ready;
  const char *directory;
  const char *link;
  char *settings;
  HnProcess *process;
  KnlTime faulted_at; /* last signal to it */
  KnlTime told_at;    /* when this process was first told of the endpoint's limit; 0: not yet */
} Gateway;

/** What an endpoint has told a gateway. */
typedef struct
{
  KnlTime leaving_at;
  KnlTime rest_at; /* last time */
  guint n_in_rest; /* requests in that rest */
} Heard;

/** An endpoint. */
typedef struct
{
  Soak *soak;
  HtServer *server;
  guint rate;         /* requests a second that it names; 0: none */
  KnlTime limited_at; /* since when */
  GArray *arrivals;   /* KnlTime, of requests that count against it */
  gboolean is_leaving;
  Heard heard[GATEWAYS];
} Desk;

/** What became of one request, as its caller and the endpoints saw it. */
typedef struct
{
  Soak *soak;
  Gateway *gateway;
  char *id;
  gboolean once;
  guint key; /* version whose key it has; 0: the one that stays */
  KnlTime sent_at;
  KnlTime ended_at; /* 0: not yet */
  guint status;     /* 0: no answer */
  gboolean is_own;  /* the answer's body names it */
  guint runs;
  KnlTime ran_at;
} Request;

struct Soak
{
  HnHarness *harness;
  GRand *rand;
  HtClient *client;
  RowStore *store;
  Desk desks[DESKS];
  const char *proxy; /* its control; before desk 0 */
  Gateway gateways[GATEWAYS];
  GHashTable *requests; /* id -> Request */
  GArray *withdrawn_at; /* KnlTime, by version: when its key was taken away */
  char *config;         /* the newest, as the operator has it */
  char *entries[DESKS]; /* of endpoints */
  GArray *versions;     /* guint64, of the store, one a step */
  KnlTime written_at;   /* when operator and endpoints write again what was lost; 0: nothing was */
  gboolean is_calm;     /* no signals */
  guint version;
  guint next;
  guint answered;
  guint rests; /* that endpoints asked for */
  guint broken;
};

static inline KnlTime
gs_now (const Soak *self)
{
  return knl_kernel_now (self->harness->kernel);
}

/* gateway_soak.c */

void gs_write_settings (Soak *self, guint gateway);
void gs_start_gateway (Soak *self, guint gateway);

/** A new version, whose key takes the place of the last one's. */
void gs_put_config (Soak *self);

/* gateway_soak_endpoints.c */

void gs_start_desk (Soak *self, guint desk);

/** The last endpoint names a limit from now on. */
void gs_name_limit (Soak *self);

/** What an endpoint that names a limit got. */
void gs_check_limit (Soak *self, const Desk *desk);

/* gateway_soak_faults.c */

/** One of the faults, at one of the gateways. */
void gs_inject (Soak *self);

/** Operator and endpoints write again what the store has lost, when it is time. */
void gs_write_again (Soak *self);
