/** Admission of a request: finds its route and workspace, and decides whether it may run. */

#include <string.h>
#include <xxhash.h>

#include "serve/core_internal.h"

/* Fraction of the grace after the stop signal in which new streams are still admitted; later
 * ones could not end within the grace. */
#define DRAIN_STREAM_FRACTION 0.35

/* Refuses a request whose route or key isn't in the configuration. A definite error is returned
 * only while the configuration is confirmed recently, as the route or key may just have been
 * added. */
static gboolean
refuse_unknown (SvRequest *self, guint status, const char *reason)
{
  const SvCore *core = self->core;

  if (sv_core_config_age (core) > sv_bounds_max_negative_staleness (&core->bounds))
    sv_request_refuse (self, 503, "configuration-not-confirmed");
  else
    sv_request_fail (self, status, reason);
  return FALSE;
}

static gboolean
check_config (SvRequest *self)
{
  if (self->core->config == NULL)
    {
      sv_request_refuse (self, 503, "no-configuration");
      return FALSE;
    }
  /* Otherwise a moved or removed route would be served as before, unnoticed by the caller. */
  if (sv_core_is_stale (self->core))
    {
      sv_request_refuse (self, 503, "configuration-outdated");
      return FALSE;
    }
  self->config = sv_config_ref (self->core->config);
  return TRUE;
}

static gboolean
check_required_fields (SvRequest *self)
{
  if (self->params.id != NULL && self->params.host != NULL)
    return TRUE;
  sv_request_fail (self, 400, "incomplete-request");
  return FALSE;
}

static gboolean
check_route (SvRequest *self)
{
  g_autofree char *path = ht_message_path (ht_call_request (self->call));
  KnlTime timeout;

  self->route = sv_config_route (self->config, self->params.host, path);
  if (self->route == NULL)
    return refuse_unknown (self, 404, "no-route");
  timeout = self->params.timeout;
  if (self->route->timeout > 0 && (timeout <= 0 || self->route->timeout < timeout))
    timeout = self->route->timeout;
  self->deadline = timeout > 0 ? self->begun_at + timeout : KNL_NEVER;
  return TRUE;
}

/*
 * A withdrawn key must stop working within seconds, even if this instance receives
 * no update. Keys are therefore accepted only for a bounded time after the store
 * last confirmed the configuration, counted from when the confirmation was
 * requested.
 */
static gboolean
check_key (SvRequest *self)
{
  const SvCore *core = self->core;

  if (!self->config->has_workspaces || self->route->is_public)
    return TRUE;
  if (sv_core_config_age (core) >= sv_bounds_max_key_staleness (&core->bounds))
    {
      sv_request_refuse (self, 503, "keys-not-confirmed");
      return FALSE;
    }
  if (self->params.key != NULL)
    self->workspace = sv_config_workspace (self->config, self->params.key);
  return self->workspace != NULL || refuse_unknown (self, 401, "unknown-key");
}

/* An evacuation takes effect at every instance within its bound, even if this one receives no
 * update. No route is exempt, since all are served by endpoints in some zone. */
static gboolean
check_zones (SvRequest *self)
{
  if (!sv_core_has_stale_zones (self->core))
    return TRUE;
  sv_request_refuse (self, 503, "zones-not-confirmed");
  return FALSE;
}

static gboolean
check_drain (SvRequest *self)
{
  const SvCore *core = self->core;
  KnlTime since = core->drain_since;

  if (core->admits_none)
    {
      sv_request_refuse (self, 503, "stopping");
      return FALSE;
    }
  if (since == 0 || self->route->kind != SV_STREAM)
    return TRUE;
  if (knl_kernel_now (core->parts.kernel) - since
      < (KnlTime)(DRAIN_STREAM_FRACTION * (double)core->bounds.grace))
    return TRUE;
  sv_request_refuse (self, 503, "stopping");
  return FALSE;
}

static gboolean
check_crashes (SvRequest *self)
{
  const HtMessage *request = ht_call_request (self->call);
  guint64 seed = XXH64 (request->target, strlen (request->target), 0);

  if (self->params.key != NULL)
    seed = XXH64 (self->params.key, strlen (self->params.key), seed);
  self->fingerprint = XXH64 (request->body->str, request->body->len, seed);
  if (!sv_crashes_is_refused (self->core->crashes, self->fingerprint, &self->is_crash_test))
    return TRUE;
  sv_request_refuse (self, 503, "crashes-endpoints");
  return FALSE;
}

static gboolean
check_passed (SvRequest *self)
{
  if (!self->is_passed || sv_core_takes_passed (self->core))
    return TRUE;
  sv_request_refuse (self, 503, "too-many-passed-on");
  return FALSE;
}

static void
on_deadline (gpointer data)
{
  SvRequest *self = data;

  self->deadline_timer = 0;
  if (self->exchange != NULL && self->last_received_at == 0)
    sv_request_note_crash (self, "deadline", FALSE);
  if (sv_request_may_have_run (self))
    sv_request_fail (self, 504, "deadline");
  else
    sv_request_refuse (self, 503, "deadline-before-run");
}

static void
admit (SvRequest *self)
{
  SvCore *core = self->core;
  KnlTime now = knl_kernel_now (core->parts.kernel);
  double point = (double)(XXH64 (self->params.id, strlen (self->params.id), 0) >> 11) / 0x1p53;
  const char *service = sv_route_service (self->route, point);

  self->service = sv_config_service (self->config, service);
  /* The peer that passes it on has counted it, and has a part of the retry budget for it. */
  if (!self->is_passed)
    sv_core_note_request (core, service);
  if (self->deadline != KNL_NEVER)
    self->deadline_timer =
        knl_timer_start (core->parts.kernel, self->deadline - now, on_deadline, self);
}

guint
sv_request_priority (const SvRequest *self)
{
  if (self->workspace != NULL && self->workspace->priority >= 0)
    return (guint)self->workspace->priority;
  return self->route->priority;
}

/* Placement plans for the longest answer, as its memory must hold it; the load that callers offer
 * depends on the usual ones. */
guint64
sv_request_usual_answer (const SvRequest *self)
{
  const SvRequestParams *params = &self->params;
  const SvEngineSpec *spec = &self->service->engine;
  guint64 usual = spec->mean_answer_tokens > 0 ? (guint64)spec->mean_answer_tokens : G_MAXUINT64;

  return MIN (params->answer_hint > 0 ? params->answer_hint : usual, params->answer_tokens);
}

/* Requests that a peer passed on have had their place there, and streams that resume had it when
 * they began. */
static gboolean
is_over_share (SvRequest *self)
{
  SvOverload *overload = g_hash_table_lookup (self->core->overloads, self->service->name);
  SvOverloadRequest request = {
    .id = self->params.id,
    .workspace = self->workspace != NULL ? self->workspace->name : NULL,
    .prompt_tokens = self->params.prompt_tokens,
    .answer_tokens = sv_request_usual_answer (self),
    .priority = sv_request_priority (self),
    .gap_objective = self->route->gap_objective,
    .is_exempt = self->is_passed || self->params.last_event != NULL,
  };

  if (overload == NULL || request.prompt_tokens == 0)
    return FALSE;
  return !sv_overload_is_in_share (overload, &request);
}

gboolean
sv_request_admit (SvRequest *self)
{
  const char *quarantine;
  static gboolean (*const checks[]) (SvRequest *) = {
    check_config, check_required_fields, check_route,   check_key,
    check_zones,  check_drain,           check_crashes, check_passed,
  };

  for (guint i = 0; i < G_N_ELEMENTS (checks); i++)
    {
      if (!checks[i](self))
        return FALSE;
    }
  admit (self);
  if (self->service == NULL)
    {
      sv_request_refuse (self, 503, "service-not-declared");
      return FALSE;
    }
  quarantine = sv_request_quarantine_reason (self);
  if (quarantine != NULL)
    {
      sv_request_refuse (self, 503, quarantine);
      return FALSE;
    }
  self->is_over_share = is_over_share (self);
  return TRUE;
}
