#include "serve/pace.h"

#include <stdlib.h>

#include "common/log.h"
#include "serve/engine_model.h"

/* Shortest time between two updates of a service: each looks at all of its endpoints. */
#define REFRESH_INTERVAL (50 * KNL_MSEC)

/* Events within this time count as one read; a pass takes many times as long. */
#define SAME_READ_TIME (5 * KNL_MSEC)

/* Gaps with more known prefill than this, in passes, give no sample: how much of it an engine
 * processes in one pass isn't known well enough. */
#define MAX_PREFILL_PASSES 2.0

/* Plain endpoints: weight of a new answer in the mean time of an endpoint's answers, and number of
 * endpoints from which their median is relied on. */
#define ANSWER_WEIGHT    0.125
#define MIN_PLAIN_MEDIAN 3

/* A mean without a new answer for this time is dropped: the load may have changed since. */
#define ANSWER_TTL (10 * KNL_SEC)

/* An estimate is announced at once when it differs from the announced one by this fraction. */
#define ANNOUNCED_FRACTION 0.1

/* A change of the slowdown by this factor is logged. */
#define LOGGED_FACTOR 1.25

/* With its memory nearly full, an endpoint may run contexts that other endpoints hold in part; its
 * load has only the part that it holds itself, and expected passes would be too short. */
#define MAX_MEMORY_FRACTION 0.8

static SvPaceMark
take_mark (SvEndpoint *endpoint, const SvEngineSpec *spec, KnlTime now)
{
  SvLoad load = sv_endpoint_load (endpoint, now);
  guint streams = MAX (sv_load_decoding_streams (&load), 1);

  return (SvPaceMark){
    .at = now,
    .pass_ms = sv_model_pass_ms (spec, streams, (double)load.tokens),
    .is_full = load.calls >= spec->slots
               || (double)load.tokens > MAX_MEMORY_FRACTION * (double)spec->memory_tokens,
    .parts = sv_prefills_count_parts (&endpoint->prefills),
    .left = sv_prefills_declared_left (&endpoint->prefills, now),
    .placed = endpoint->prefills.placed,
  };
}

/* Adds the sample of the last read, relative to the declared figures. */
static gboolean
add_sample (const SvPaceStream *stream, SvEndpoint *endpoint)
{
  const SvPaceMark *previous = &stream->previous;
  const SvPaceMark *last = &stream->last;
  double prefill = (double)(previous->left + last->placed - previous->placed) / KNL_MSEC;
  double passes = stream->n_events * previous->pass_ms;

  if (previous->at == 0 || passes <= 0 || prefill > MAX_PREFILL_PASSES * passes)
    return FALSE;
  /* A part may last many passes longer than expected, and lengthen all of them alike. */
  if (previous->parts > 0 || last->parts > 0 || previous->is_full)
    return FALSE;
  pol_pace_add_sample (&endpoint->pace,
                       (double)(last->at - previous->at) / KNL_MSEC / (passes + prefill), last->at);
  return TRUE;
}

gboolean
sv_pace_note_event (SvPaceStream *self, SvEndpoint *endpoint, const SvEngineSpec *spec, KnlTime now)
{
  gboolean is_added;

  if (self->last.at > 0 && now - self->last.at < SAME_READ_TIME)
    {
      self->n_events++;
      return FALSE;
    }
  is_added = add_sample (self, endpoint);
  self->previous = self->last;
  self->last = take_mark (endpoint, spec, now);
  self->n_events = 1;
  return is_added;
}

/* An endpoint with more requests than half of its slots may take longer, in proportion. */
static double
crowding (const SvEndpoint *endpoint, KnlTime now)
{
  double calls = sv_endpoint_load (endpoint, now).calls;

  return MAX (2 * calls / MAX (endpoint->slots, 1), 1);
}

gboolean
sv_pace_note_answer (const SvFleet *fleet, SvEndpoint *endpoint, KnlTime time, KnlTime now)
{
  const GPtrArray *endpoints = sv_fleet_service (fleet, endpoint->service);
  double ms = (double)time / KNL_MSEC / crowding (endpoint, now);
  double median;

  if (endpoints == NULL || endpoint->pace.group == NULL)
    return FALSE;
  endpoint->mean_answer = endpoint->mean_answer > 0
                              ? (1 - ANSWER_WEIGHT) * endpoint->mean_answer + ANSWER_WEIGHT * ms
                              : ms;
  endpoint->mean_answer_at = now;
  pol_pace_watch (&endpoint->pace);
  median = endpoint->pace.group->median_answer;
  if (median <= 0)
    return FALSE;
  pol_pace_add_sample (&endpoint->pace, ms / median, now);
  return TRUE;
}

static void
set_factor (SvEndpoint *endpoint, double factor)
{
  double before = endpoint->logged_factor;

  endpoint->pace.factor = factor;
  if ((factor > 1) == (before > 1) && factor < before * LOGGED_FACTOR
      && before < factor * LOGGED_FACTOR)
    return;
  endpoint->logged_factor = factor;
  cm_log (CM_LOG_NOTICE, "endpoint-pace", "s", "endpoint", endpoint->id, "f", "factor", factor, "f",
          "before", before, "i", "own-samples", (gint64)endpoint->pace.own.samples, "f",
          "own-factor", endpoint->pace.own.ratio, "i", "reports", (gint64)endpoint->pace.n_reports,
          "b", "stated", endpoint->pace.decided_by_statement);
}

static SvEndpoint *
watched_at (const PolPaceGroup *group, guint index)
{
  gpointer pace = g_ptr_array_index (group->watched, index);

  return (SvEndpoint *)(gpointer)((char *)pace - G_STRUCT_OFFSET (SvEndpoint, pace));
}

/* Median of the mean answer times at the service's endpoints, in ms; 0: too few are known. */
static double
median_answer (const PolPaceGroup *group, KnlTime now)
{
  g_autoptr (GArray) times = g_array_new (FALSE, FALSE, sizeof (double));

  for (guint i = 0; i < group->watched->len; i++)
    {
      SvEndpoint *endpoint = watched_at (group, i);

      if (now - endpoint->mean_answer_at > ANSWER_TTL)
        endpoint->mean_answer = 0;
      if (endpoint->mean_answer > 0)
        g_array_append_val (times, endpoint->mean_answer);
    }
  if (times->len < MIN_PLAIN_MEDIAN)
    return 0;
  return pol_pace_median ((double *)(gpointer)times->data, times->len);
}

static PolPaceReference
reference_of (const GArray *measured)
{
  g_autoptr (GArray) ratios = g_array_new (FALSE, FALSE, sizeof (double));

  for (guint i = 0; i < measured->len; i++)
    {
      const PolPaceEstimate *estimate = &g_array_index (measured, PolPaceEstimate, i);

      if (estimate->samples > 0)
        g_array_append_val (ratios, estimate->ratio);
    }
  return pol_pace_reference ((double *)(gpointer)ratios->data, ratios->len);
}

/* Updates the estimates of the watched endpoints, and returns the median of all. */
static double
update_estimates (PolPaceGroup *group, guint n_endpoints, KnlTime now)
{
  g_autoptr (GArray) measured = g_array_new (FALSE, FALSE, sizeof (PolPaceEstimate));
  g_autoptr (GArray) ratios = g_array_new (FALSE, FALSE, sizeof (double));
  guint n = group->watched->len;

  for (guint i = 0; i < n; i++)
    {
      PolPaceEstimate estimate = pol_pace_measure (&watched_at (group, i)->pace, now);

      g_array_append_val (measured, estimate);
    }
  group->reference = reference_of (measured);
  for (guint i = 0; i < n; i++)
    {
      const PolPaceEstimate *estimate = &g_array_index (measured, PolPaceEstimate, i);
      double combined =
          pol_pace_combine (&watched_at (group, i)->pace, estimate, &group->reference, now);

      g_array_append_val (ratios, combined);
    }
  return pol_pace_median_with_normal ((double *)(gpointer)ratios->data, n, n_endpoints - n);
}

static guint
update_watched (PolPaceGroup *group, guint n_endpoints, KnlTime now)
{
  double median = update_estimates (group, n_endpoints, now);
  guint n_slow = 0;

  /* Backwards, since the last one takes the place of one that is removed. */
  for (guint i = group->watched->len; i > 0; i--)
    {
      SvEndpoint *endpoint = watched_at (group, i - 1);

      set_factor (endpoint, pol_pace_factor (endpoint->pace.combined, median));
      n_slow += endpoint->pace.factor > 1;
      if (endpoint->mean_answer == 0)
        pol_pace_unwatch (&endpoint->pace, now);
    }
  /* Other instances then need not find out on their own that the rest are normal. */
  if (n_slow > 0)
    pol_pace_announce_all (group, now);
  return n_slow;
}

gint
sv_pace_refresh (const SvFleet *fleet, const char *service, KnlTime now)
{
  const GPtrArray *endpoints = sv_fleet_service (fleet, service);
  PolPaceGroup *group;

  if (endpoints == NULL)
    return -1;
  group = ((SvEndpoint *)g_ptr_array_index (endpoints, 0))->pace.group;
  if (group->updated_at > 0 && now - group->updated_at < REFRESH_INTERVAL)
    return -1;
  group->updated_at = now;
  if (group->watched->len == 0)
    return 0;
  group->median_answer = median_answer (group, now);
  return (gint)update_watched (group, endpoints->len, now);
}

guint32
sv_pace_percent (gboolean is_known, const PolPaceEstimate *estimate)
{
  return is_known ? (guint32)(estimate->ratio * 100 + 0.5) : 0;
}

gboolean
sv_pace_mark_changed (SvEndpoint *endpoint, KnlTime now)
{
  PolPaceEstimate estimate;
  gboolean is_known = pol_pace_own_report (&endpoint->pace, now, &estimate);
  gint64 percent = sv_pace_percent (is_known, &estimate);
  gint64 announced = endpoint->announced_pace;

  if (!is_known || ABS (percent - announced) <= ANNOUNCED_FRACTION * (double)announced)
    return FALSE;
  endpoint->own_changed = TRUE;
  endpoint->cell_changed = TRUE;
  return TRUE;
}

void
sv_pace_note_statement (SvEndpoint *endpoint, double ratio, KnlTime now)
{
  pol_pace_add_statement (&endpoint->pace, ratio, now);
  endpoint->own_changed = TRUE;
  endpoint->cell_changed = TRUE;
}

void
sv_pace_note_report (SvEndpoint *endpoint, const PolPaceReport *report, KnlTime now)
{
  pol_pace_add_report (&endpoint->pace, report, now);
  if (!report->is_cell)
    endpoint->cell_changed = TRUE;
}
