/** How long endpoints take for the requests of a route, and whether one can still end before the
 * process does. */

#include "common/log.h"
#include "serve/core_internal.h"

/* The longest time of a route is known for at least this, and for twice that at most. */
#define DURATION_PERIOD (60 * KNL_SEC)

/* A request may take longer than the longest one so far by this factor. */
#define DURATION_FACTOR 1.25

/* Longest times of a route. */
typedef struct
{
  KnlTime begun_at; /* of the current period */
  KnlTime longest;  /* in it */
  KnlTime before;   /* in the period before */
} Durations;

static gboolean
is_old (gpointer route, gpointer value, gpointer now)
{
  return *(const KnlTime *)now - ((const Durations *)value)->begun_at > 2 * DURATION_PERIOD;
}

static void
turn_period (Durations *self, KnlTime now)
{
  if (now - self->begun_at < DURATION_PERIOD)
    return;
  self->before = now - self->begun_at < 2 * DURATION_PERIOD ? self->longest : 0;
  self->longest = 0;
  self->begun_at = now;
}

static KnlTime
sent_since (const SvRequest *self)
{
  return self->sends > 0 ? self->sent_at : self->begun_at;
}

void
sv_request_note_duration (const SvRequest *self)
{
  GHashTable *durations = self->core->durations;
  KnlTime now = sv_request_now (self);
  Durations *known;

  if (self->sends + self->passes == 0)
    return;
  known = g_hash_table_lookup (durations, self->route->name);
  if (known == NULL)
    {
      g_hash_table_foreach_remove (durations, is_old, &now);
      known = g_new0 (Durations, 1);
      known->begun_at = now;
      g_hash_table_insert (durations, g_strdup (self->route->name), known);
    }
  turn_period (known, now);
  known->longest = MAX (known->longest, now - sent_since (self));
}

/* For how long requests of its route have been at endpoints by now; -1: none is. */
static KnlTime
longest_running (const SvRequest *self)
{
  KnlTime now = sv_request_now (self);
  KnlTime longest = -1;
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, self->core->requests);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const SvRequest *other = key;

      if (other != self && other->sends + other->passes > 0
          && g_str_equal (other->route->name, self->route->name))
        longest = MAX (longest, now - sent_since (other));
    }
  return longest;
}

/* Time that it may take; KNL_NEVER: not known. */
static KnlTime
expected_duration (const SvRequest *self)
{
  const SvPlacement *placement = &self->placement;
  Durations *known = g_hash_table_lookup (self->core->durations, self->route->name);
  KnlTime longest = placement->is_prompt ? placement->expected + placement->rest : 0;

  if (known != NULL)
    {
      turn_period (known, sv_request_now (self));
      longest = MAX (longest, MAX (known->longest, known->before));
    }
  if (longest == 0)
    return KNL_NEVER;
  return (KnlTime)(DURATION_FACTOR * (double)MAX (longest, longest_running (self)));
}

/* Where nothing is known of its route, one request at a time shows it, early in the drain; others
 * need the time that their callers have. */
static gboolean
may_try (const SvRequest *self, KnlTime left)
{
  const SvCore *core = self->core;

  if (self->deadline != KNL_NEVER && self->deadline - sv_request_now (self) <= left)
    return TRUE;
  return longest_running (self) < 0 && left >= (core->stops_at - core->drain_since) / 2;
}

/* A request that has reached an endpoint goes on elsewhere as long as there is time: to refuse that
 * would cut its answer off. */
gboolean
sv_request_can_end (const SvRequest *self)
{
  KnlTime stops_at = self->core->stops_at;
  KnlTime left = stops_at - sv_request_now (self);
  KnlTime expected;

  if (stops_at == 0 || self->runs > 0 || ht_call_has_begun (self->call))
    return TRUE;
  expected = expected_duration (self);
  if (expected == KNL_NEVER ? may_try (self, left) : expected <= left)
    return TRUE;
  cm_log (CM_LOG_INFO, "too-late-in-drain", "s", "request", self->params.id, "s", "route",
          self->route->name, "i", "expected-us", expected == KNL_NEVER ? (gint64)-1 : expected, "i",
          "left-us", left, "i", "sends", (gint64)self->sends);
  return FALSE;
}
