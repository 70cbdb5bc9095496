/** Calls to plain services: forwarded to one of the service's endpoints, the answer returned. */

#include <string.h>

#include "entry/core_internal.h"
#include "policy/plain.h"

#define CONNECT_TIMEOUT  (1 * KNL_SEC)
#define MAX_ANSWER_BYTES ((gsize)16 * 1024 * 1024)

#define MIN_RETRY_DELAY (20 * KNL_MSEC)
#define MAX_RETRY_DELAY (500 * KNL_MSEC)

/* Delay before the next try of a call for which no endpoint is usable. */
#define NO_ENDPOINT_DELAY (50 * KNL_MSEC)

static void start_call (EnCore *core, EnRequest *request);

static double
cost_of (const EnCore *core, const EnEndpoint *endpoint)
{
  PolPlainCandidate candidate = {
    .calls = endpoint->used_slots,
    .slots = endpoint->capacity_slots,
    .is_other_zone = g_strcmp0 (endpoint->zone, core->zone) != 0,
    .health = &endpoint->health,
  };

  return pol_plain_cost (&candidate);
}

static EnEndpoint *
choose_endpoint (EnCore *core, const EnRequest *request)
{
  const GPtrArray *endpoints = en_fleet_endpoints (core->fleet);
  KnlTime now = knl_kernel_now (core->kernel);
  EnEndpoint *best = NULL;
  double lowest_cost = G_MAXDOUBLE;

  for (guint i = 0; i < endpoints->len; i++)
    {
      EnEndpoint *endpoint = g_ptr_array_index (endpoints, i);
      double cost;

      if (endpoint->kind != ALDERTURN__MEMBER_KIND__MEMBER_KIND_SERVICE
          || strcmp (endpoint->label, request->label) != 0 || !en_endpoint_usable (endpoint, now))
        continue;
      cost = cost_of (core, endpoint);
      if (cost >= lowest_cost)
        continue;
      lowest_cost = cost;
      best = endpoint;
    }
  return best;
}

static void
on_retry_due (gpointer data)
{
  EnRequest *request = data;

  request->retry_timer = 0;
  start_call (request->core, request);
}

static void
retry_later (EnCore *core, EnRequest *request, KnlTime delay)
{
  request->retry_timer = knl_timer_start (core->kernel, delay, on_retry_due, request);
}

static void
handle_failure (EnCore *core, EnRequest *request, const EpFailure *failure)
{
  EnEndpoint *endpoint = en_fleet_find (core->fleet, request->endpoint);
  CmBackoff backoff = { .first = MIN_RETRY_DELAY,
                        .limit = MAX_RETRY_DELAY,
                        .retries = request->attempts };
  PolRetryCase retry = {
    .kind = pol_end_loss (en_end_of (failure->kind)),
    .accepted = TRUE,
    .non_idempotent = request->non_idempotent,
    .attempts = request->attempts,
  };
  PolRetry decision;
  EnError error;

  en_request_note (request, knl_kernel_now (core->kernel), "lost", "%s: %s", request->endpoint,
                   failure->detail);
  if (endpoint != NULL)
    en_endpoint_note_failure (endpoint, knl_kernel_now (core->kernel));
  if (retry.kind != POL_LOSS_NOT_RUN)
    request->costly++;
  retry.costly = request->costly;
  request->may_have_run = request->may_have_run || retry.kind != POL_LOSS_NOT_RUN;
  retry.may_have_run = request->may_have_run;
  decision = pol_retry_decide (&en_retry_rule, &retry);
  if (en_core_may_retry (core, request, decision))
    {
      retry_later (core, request, cm_backoff_next (&backoff, core->kernel));
      return;
    }
  error = en_retry_error (&retry, failure->detail);
  en_core_end_error (core, request, &error);
}

static void
on_answer (const EpFailure *failure,
           int status,
           const char *content_type,
           const char *body,
           gsize body_bytes,
           gpointer data)
{
  EnRequest *request = data;
  EnCore *core = request->core;
  EnEndpoint *endpoint = en_fleet_find (core->fleet, request->endpoint);
  EnAnswer answer = {
    .status = status,
    .content_type = content_type,
    .body = body,
    .body_bytes = body_bytes,
    .outcome = status >= 500 ? EN_OUTCOME_FAILED : EN_OUTCOME_DONE,
  };

  request->call = 0;
  en_charge_return (request->charge, core->fleet);
  request->charge = NULL;
  if (failure != NULL)
    {
      handle_failure (core, request, failure);
      return;
    }
  request->may_have_run = TRUE;
  if (endpoint != NULL)
    en_endpoint_note_success (endpoint);
  en_core_complete (core, request, &answer);
}

/* A connection may go silent: an idempotent call leaves half of the remaining time for a retry. */
static KnlTime
answer_timeout (const EnRequest *request, KnlTime now)
{
  KnlTime left = MAX (request->deadline - now, KNL_MSEC);

  return request->non_idempotent ? left : MAX (left / 2, KNL_MSEC);
}

static void
start_call (EnCore *core, EnRequest *request)
{
  EnEndpoint *endpoint = choose_endpoint (core, request);
  KnlTime now = knl_kernel_now (core->kernel);
  gsize body_bytes;
  EpServiceCall call = {
    .request = request->id,
    .method = request->method,
    .path = request->path,
    .content_type = request->content_type,
    .body = g_bytes_get_data (request->body, &body_bytes),
    .idempotency_key = request->key,
    .connect_timeout = MIN (CONNECT_TIMEOUT, MAX (request->deadline - now, KNL_MSEC)),
    .answer_timeout = answer_timeout (request, now),
    .max_answer_bytes = MAX_ANSWER_BYTES,
  };

  if (endpoint == NULL)
    {
      retry_later (core, request, NO_ENDPOINT_DELAY);
      return;
    }
  call.address = endpoint->address;
  call.body_bytes = body_bytes;
  if (request->state < EN_STATE_DISPATCHED)
    en_request_set_state (request, EN_STATE_DISPATCHED);
  request->attempts++;
  g_free (request->endpoint);
  request->endpoint = g_strdup (endpoint->name);
  request->charge = en_charge_new (endpoint, 0, 1);
  en_request_note (request, now, "dispatched", "%s", endpoint->name);
  request->call = ep_client_service_call (core->client, &call, on_answer, request);
}

void
en_core_start_plain (EnCore *core, EnRequest *request)
{
  en_request_set_state (request, EN_STATE_QUEUED);
  start_call (core, request);
}
