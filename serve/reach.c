#include "serve/reach.h"

#include "common/log.h"

/* Endpoints in a row that must fail before a probe is sent: one may be down by itself. */
#define MIN_FAILED 2

/* Failures further apart than this don't belong together. */
#define FAILURE_WINDOW (3 * KNL_SEC)

/* Longest time for a probe's connection, and between the end of a probe and the next one. */
#define PROBE_TIMEOUT  (200 * KNL_MSEC)
#define PROBE_INTERVAL (200 * KNL_MSEC)

/* An endpoint that peers have heard from within this is reached by them. Peers report what they
 * hear with each change of their load, and otherwise every few heartbeats. */
#define PEERS_REACH_WINDOW (2 * KNL_SEC)

struct SvReach
{
  KnlKernel *kernel;
  HtClient *client;
  SvFleet *fleet;
  char *service;
  SvReachFunc changed;
  gpointer data;
  guint64 failed[MIN_FAILED]; /* keys of different endpoints, since the last new connection */
  guint n_failed;
  KnlTime first_failed_at;
  KnlTime last_failed_at;
  gboolean is_lost;
  HtProbe *probe;    /* NULL: none is on its way */
  guint64 probed;    /* key of the endpoint probed last */
  guint64 connected; /* key of the endpoint that the last probe reached; 0: it failed */
  KnlTimerId timer;
};

static void send_probe (SvReach *self);

SvReach *
sv_reach_new (KnlKernel *kernel,
              HtClient *client,
              SvFleet *fleet,
              const char *service,
              SvReachFunc changed,
              gpointer data)
{
  SvReach *self = g_new0 (SvReach, 1);

  self->kernel = kernel;
  self->client = client;
  self->fleet = fleet;
  self->service = g_strdup (service);
  self->changed = changed;
  self->data = data;
  return self;
}

void
sv_reach_free (SvReach *self)
{
  if (self == NULL)
    return;
  knl_timer_stop (self->kernel, &self->timer);
  if (self->probe != NULL)
    ht_probe_cancel (self->probe);
  g_free (self->service);
  g_free (self);
}

/* Time since a peer last heard from any endpoint, after this instance began to fail; KNL_NEVER:
 * none has. This instance's own old connections may count too, which shows the same. */
static KnlTime
silence_of_endpoints (const SvReach *self)
{
  const GPtrArray *endpoints = sv_fleet_service (self->fleet, self->service);
  KnlTime newest = 0;

  for (guint i = 0; endpoints != NULL && i < endpoints->len; i++)
    newest = MAX (newest, ((const SvEndpoint *)g_ptr_array_index (endpoints, i))->last_seen_at);
  if (newest <= self->first_failed_at)
    return KNL_NEVER;
  return knl_kernel_now (self->kernel) - newest;
}

static void
set_lost (SvReach *self, gboolean is_lost)
{
  if (self->is_lost == is_lost)
    return;
  self->is_lost = is_lost;
  cm_log (CM_LOG_WARNING, is_lost ? "links-lost" : "links-regained", "s", "service", self->service,
          "i", "failing-us", knl_kernel_now (self->kernel) - self->first_failed_at, "i",
          "endpoints-failed", (gint64)self->n_failed, "i", "heard-by-peers-us",
          silence_of_endpoints (self));
  self->changed (is_lost, self->data);
}

static void
end_probing (SvReach *self)
{
  self->n_failed = 0;
  self->connected = 0;
  knl_timer_stop (self->kernel, &self->timer);
  set_lost (self, FALSE);
}

static void
on_probe_due (gpointer data)
{
  SvReach *self = data;

  self->timer = 0;
  send_probe (self);
}

static void
on_probed (gboolean connected, gpointer data)
{
  SvReach *self = data;

  self->probe = NULL;
  if (connected && (!self->is_lost || self->connected != 0))
    {
      end_probing (self);
      return;
    }
  self->connected = connected ? self->probed : 0;
  if (connected)
    {
      send_probe (self);
      return;
    }
  set_lost (self, silence_of_endpoints (self) < PEERS_REACH_WINDOW);
  self->timer = knl_timer_start (self->kernel, PROBE_INTERVAL, on_probe_due, self);
}

static gboolean
has_failed (const SvReach *self, guint64 key)
{
  for (guint i = 0; i < self->n_failed; i++)
    {
      if (self->failed[i] == key)
        return TRUE;
    }
  return FALSE;
}

/* The endpoint that was heard from last is the surest to live; one that has failed is chosen only
 * if there is no other. NULL: there is none. */
static const SvEndpoint *
choose_endpoint (const SvReach *self)
{
  const GPtrArray *endpoints = sv_fleet_service (self->fleet, self->service);
  const SvEndpoint *chosen = NULL;
  gboolean chosen_failed = TRUE;

  for (guint i = 0; endpoints != NULL && i < endpoints->len; i++)
    {
      const SvEndpoint *endpoint = g_ptr_array_index (endpoints, i);
      gboolean failed = has_failed (self, endpoint->key);

      if (endpoint->state != SV_ENDPOINT_READY || endpoint->is_evacuated || failed > chosen_failed
          || endpoint->key == self->connected)
        continue;
      if (chosen == NULL || failed < chosen_failed || endpoint->last_seen_at > chosen->last_seen_at)
        {
          chosen = endpoint;
          chosen_failed = failed;
        }
    }
  return chosen;
}

static void
send_probe (SvReach *self)
{
  const SvEndpoint *endpoint = choose_endpoint (self);

  if (endpoint == NULL)
    {
      end_probing (self);
      return;
    }
  self->probed = endpoint->key;
  self->probe = ht_client_probe (self->client, endpoint->address, PROBE_TIMEOUT, on_probed, self);
}

void
sv_reach_note_failure (SvReach *self, const SvEndpoint *endpoint)
{
  KnlTime now = knl_kernel_now (self->kernel);

  if (self->probe != NULL || self->timer != 0)
    return;
  if (now - self->last_failed_at > FAILURE_WINDOW)
    self->n_failed = 0;
  if (self->n_failed == 0)
    self->first_failed_at = now;
  self->last_failed_at = now;
  if (!has_failed (self, endpoint->key))
    self->failed[self->n_failed++] = endpoint->key;
  if (self->n_failed == MIN_FAILED)
    send_probe (self);
}

void
sv_reach_note_connected (SvReach *self)
{
  if (self->probe == NULL && !self->is_lost)
    end_probing (self);
}

gboolean
sv_reach_is_lost (const SvReach *self)
{
  return self->is_lost;
}
