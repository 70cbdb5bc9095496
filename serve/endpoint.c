/** State of one endpoint: its load, and its health. */

#include "common/log.h"
#include "serve/fleet.h"

/* Backoff after losses is short, since a restarting endpoint is back within seconds. Fewer
 * consecutive errors than `errors` are attributed to the requests, not to the endpoint. */
static const PolHealthRule health_rule = { .first = 400 * KNL_MSEC,
                                           .limit = 4 * KNL_SEC,
                                           .errors = 4 };

/* Reported losses count when two instances report one within the window; a single reporter may have
 * a fault of its own. The backoff is the same as in `health_rule`. */
static const PolSharedHealthRule shared_health_rule = { .min_reporters = 2,
                                                        .window = 2 * KNL_SEC,
                                                        .first = 400 * KNL_MSEC,
                                                        .limit = 4 * KNL_SEC };

/* For this long after an answer to this instance, losses that others report are ignored. */
#define OWN_ANSWER_WINDOW (1 * KNL_SEC)

/* A helper that has as many prompts as slots rejects the next one, and has free slots again within
 * a few forward passes. */
static const PolHealthRule helper_health_rule = { .first = 100 * KNL_MSEC, .limit = 2 * KNL_SEC };

/* Slots that are kept free of helper work, as placements by other instances are known only a few
 * ms later. */
#define HELPER_SPARE_SLOTS 2

/* Age up to which an endpoint's own report of its load is used. */
#define REPORT_TTL (200 * KNL_MSEC)

guint
sv_load_decoding_streams (const SvLoad *load)
{
  guint sum = 0;

  for (guint i = 0; i < SV_N_GAP_CLASSES; i++)
    sum += load->decoding_streams[i];
  return sum;
}

SvEndpoint *
sv_endpoint_ref (SvEndpoint *self)
{
  self->refs++;
  return self;
}

void
sv_endpoint_unref (SvEndpoint *self)
{
  if (self == NULL || --self->refs > 0)
    return;
  g_free (self->id);
  g_free (self->service);
  g_free (self->address);
  g_free (self->zone);
  g_array_unref (self->peers);
  g_array_unref (self->reported_sends);
  sv_prefills_clear (&self->prefills);
  pol_pace_leave (&self->pace);
  sv_cold_rules_unref (self->cold.rules);
  g_free (self);
}

gboolean
sv_endpoint_is_usable (const SvEndpoint *self, KnlTime now)
{
  if (self->state != SV_ENDPOINT_READY || pol_health_is_suspended (&self->health, now))
    return FALSE;
  /* After a loss only one request at a time is sent there, until one is answered. */
  return self->health.losses == 0 || self->own.calls == 0;
}

static void
count_own_sends (SvEndpoint *self, guint n)
{
  sv_endpoint_charge_cold (self, n);
  if (!pol_limit_is_advertised (&self->limit))
    return;
  pol_limit_charge (&self->limit, n);
  self->sent += n;
  self->sent_in_cell += n;
}

void
sv_endpoint_charge (SvEndpoint *self, const SvLoad *load, gint sign)
{
  self->own.calls += (guint)sign * load->calls;
  for (guint i = 0; i < SV_N_GAP_CLASSES; i++)
    self->own.decoding_streams[i] += (guint)sign * load->decoding_streams[i];
  self->own.tokens += (guint64)(gint64)sign * load->tokens;
  if (sign > 0)
    count_own_sends (self, load->calls);
  self->own_changed = TRUE;
  self->cell_changed = TRUE;
}

KnlTime
sv_endpoint_prefill_left (SvEndpoint *self, KnlTime now)
{
  return sv_prefills_time_left (&self->prefills, now);
}

static void
add_load (SvLoad *sum, const SvLoad *load, gint sign)
{
  sum->calls += (guint)sign * load->calls;
  for (guint i = 0; i < SV_N_GAP_CLASSES; i++)
    sum->decoding_streams[i] += (guint)sign * load->decoding_streams[i];
  sum->tokens += (guint64)(gint64)sign * load->tokens;
}

static SvPeerLoad *
find_source (const SvEndpoint *self, guint32 source, gboolean is_cell, guint *index)
{
  for (*index = 0; *index < self->peers->len; (*index)++)
    {
      SvPeerLoad *row = &g_array_index (self->peers, SvPeerLoad, *index);

      if (row->source == source && row->is_cell == is_cell)
        return row;
    }
  return NULL;
}

static void
count_source (SvEndpoint *self, const SvPeerLoad *row, gint sign)
{
  add_load (&self->others, &row->load, sign);
  if (row->is_cell)
    add_load (&self->cells, &row->load, sign);
  else
    self->cell_changed = TRUE;
}

static void
set_source (SvEndpoint *self, const SvPeerLoad *row)
{
  guint index;
  SvPeerLoad *old = find_source (self, row->source, row->is_cell, &index);

  count_source (self, row, 1);
  if (old == NULL)
    {
      g_array_append_val (self->peers, *row);
      return;
    }
  count_source (self, old, -1);
  *old = *row;
}

static void
drop_source (SvEndpoint *self, guint32 source, gboolean is_cell)
{
  guint index;
  const SvPeerLoad *row = find_source (self, source, is_cell, &index);

  if (row == NULL)
    return;
  count_source (self, row, -1);
  g_array_remove_index_fast (self->peers, index);
}

void
sv_endpoint_set_peer (SvEndpoint *self, guint32 peer, const SvLoad *load)
{
  set_source (self, &(SvPeerLoad){ .source = peer, .load = *load });
}

void
sv_endpoint_drop_peer (SvEndpoint *self, guint32 peer)
{
  drop_source (self, peer, FALSE);
}

void
sv_endpoint_set_cell (SvEndpoint *self, guint32 cell, const SvLoad *load)
{
  set_source (self, &(SvPeerLoad){ .source = cell, .is_cell = TRUE, .load = *load });
}

void
sv_endpoint_drop_cell (SvEndpoint *self, guint32 cell)
{
  drop_source (self, cell, TRUE);
}

SvLoad
sv_endpoint_own_cell_load (const SvEndpoint *self)
{
  SvLoad load = self->own;

  add_load (&load, &self->others, 1);
  add_load (&load, &self->cells, -1);
  return load;
}

/*
 * Instances that are cut off from each other, or have just started, don't know of
 * each other's requests and would keep filling the same endpoint. An endpoint's own
 * report includes those requests. It is used only while it is recent, since an old
 * report would lead all instances to the same endpoint.
 */
void
sv_endpoint_note_report (SvEndpoint *self, guint calls, KnlTime now)
{
  self->reported_calls = calls;
  self->reported_at = now;
}

SvLoad
sv_endpoint_load (const SvEndpoint *self, KnlTime now)
{
  SvLoad load = self->own;

  add_load (&load, &self->others, 1);
  /* The maximum, not the sum: the report includes the requests that peers have announced. */
  if (now - self->reported_at < REPORT_TTL)
    load.calls = MAX (load.calls, self->reported_calls);
  return load;
}

gboolean
sv_endpoint_can_help (const SvEndpoint *self, KnlTime now)
{
  return !pol_health_is_suspended (&self->helper_health, now)
         && sv_prefills_count_parts (&self->prefills) + HELPER_SPARE_SLOTS
                < MAX (self->slots, HELPER_SPARE_SLOTS + 1);
}

/*
 * A busy helper has its own, shorter backoff. Counting this as a loss used to back
 * the endpoint off for all requests, longer each time; its requests went to other
 * endpoints, which became busy and were backed off next, until a few engines of
 * many received all prompts of an instance.
 */
void
sv_endpoint_note_helper_rejection (SvEndpoint *self, KnlTime now)
{
  pol_health_note_loss (&self->helper_health, &helper_health_rule, now);
}

void
sv_endpoint_note_helper_success (SvEndpoint *self)
{
  pol_health_note_success (&self->helper_health);
}

gboolean
sv_endpoint_note_success (SvEndpoint *self, KnlTime now)
{
  gboolean had_reports = pol_shared_health_has_reports (&self->shared_health);

  self->answered_at = now;
  pol_health_note_success (&self->health);
  pol_shared_health_note_success (&self->shared_health);
  return had_reports;
}

void
sv_endpoint_note_reported_loss (SvEndpoint *self, guint32 reporter, KnlTime now)
{
  if (pol_shared_health_note_loss (&self->shared_health, &shared_health_rule, reporter, now))
    cm_log (CM_LOG_NOTICE, "endpoint-doubted", "s", "endpoint", self->id, "i", "rests",
            (gint64)self->shared_health.backoffs, "i", "until-us",
            self->shared_health.suspended_until - now);
}

void
sv_endpoint_note_reported_answer (SvEndpoint *self)
{
  pol_shared_health_note_success (&self->shared_health);
}

gboolean
sv_endpoint_has_shared_backoff (const SvEndpoint *self, KnlTime now)
{
  if (self->answered_at > 0 && now - self->answered_at < OWN_ANSWER_WINDOW)
    return FALSE;
  if (pol_shared_health_is_suspended (&self->shared_health, now))
    return TRUE;
  /* After a backoff only one request at a time is sent there, by all instances together. */
  return self->shared_health.backoffs > 0 && self->own.calls + self->others.calls > 0;
}

void
sv_endpoint_note_error (SvEndpoint *self, KnlTime now)
{
  pol_health_note_error (&self->health, &health_rule, now);
}

void
sv_endpoint_note_loss (SvEndpoint *self, KnlTime now)
{
  pol_health_note_loss (&self->health, &health_rule, now);
}

void
sv_endpoint_begin_leaving (SvEndpoint *self, KnlTime now)
{
  if (self->state == SV_ENDPOINT_LEAVING)
    return;
  self->state = SV_ENDPOINT_LEAVING;
  self->leaving_since = now;
}
