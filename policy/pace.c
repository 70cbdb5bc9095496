#include "policy/pace.h"

#include <math.h>
#include <stdlib.h>

#include "pace_internal.h"

/* Time in which an estimate without recent samples loses half of its excess over 1, and the same
 * while recent samples show a smaller one. */
#define FALL_TIME         (8 * KNL_SEC)
#define SAMPLED_FALL_TIME (2 * KNL_SEC)

/* Samples that arrive within this time belong to the same pass; a pass takes at least 40 ms. */
#define SAME_PASS_TIME (20 * KNL_MSEC)

/* Samples that all sources together need for an effect, and the most that a report counts as. An
 * instance that has measured few endpoints can't tell whether it is slow itself: others need a
 * second report. */
#define MIN_COMBINED_SAMPLES 7
#define MAX_REPORT_WEIGHT    8
#define MAX_CELL_WEIGHT      32
#define MAX_UNSURE_WEIGHT    6

/* Own samples that are too few for an estimate, and all slow, count as this many: they confirm a
 * report, and have no effect alone. */
#define CONFIRMING_WEIGHT 3

/* A combined estimate that exceeds 1 by less counts as 1 once nothing recent is known: it has no
 * effect, and would take minutes to reach 1. */
#define MIN_EXCESS 0.001

/* The estimates that are combined, at most one for each source. */
typedef struct
{
  PolPaceEstimate rows[POL_PACE_MAX_REPORTS + 3];
  guint n;
  guint weight;       /* sum of `samples` */
  gboolean is_stated; /* it contains a statement of the endpoint */
} Evidence;

void
pol_pace_init (PolPace *self)
{
  *self = (PolPace){ .reference = 1, .combined = 1, .factor = 1 };
}

static PolPaceSample *
last_sample (PolPace *self)
{
  return self->n_samples > 0 ? &self->samples[(self->n_samples - 1) % POL_PACE_MAX_SAMPLES] : NULL;
}

static double
relative (double ratio, double reference)
{
  return CLAMP (ratio / reference, 1, POL_PACE_MAX);
}

void
pol_pace_announce (PolPace *self, KnlTime now)
{
  self->announced_until = MAX (self->announced_until, now + POL_PACE_ANNOUNCE_PERIOD);
}

void
pol_pace_set_reference (PolPace *self, const PolPaceReference *reference)
{
  self->reference = reference->ratio;
  self->is_unsure = reference->n < POL_PACE_MIN_REFERENCE;
}

static void
update_own (PolPace *self, const PolPaceEstimate *measured)
{
  if (measured->samples == 0)
    return;
  self->own = *measured;
  self->own.ratio = relative (measured->ratio, self->reference);
  if (self->own.ratio >= POL_PACE_MIN_SLOW)
    pol_pace_announce (self, measured->at);
}

void
pol_pace_add_sample (PolPace *self, double ratio, KnlTime now)
{
  PolPaceSample *last = last_sample (self);

  pol_pace_watch (self);
  if (last != NULL && now - last->at < SAME_PASS_TIME)
    {
      last->ratio = MIN (last->ratio, ratio);
      return;
    }
  self->samples[self->n_samples++ % POL_PACE_MAX_SAMPLES] = (PolPaceSample){ ratio, now };
  /* The index stays the same; the number would overflow after years. */
  if (self->n_samples == 2 * POL_PACE_MAX_SAMPLES)
    self->n_samples = POL_PACE_MAX_SAMPLES;
}

void
pol_pace_add_statement (PolPace *self, double ratio, KnlTime now)
{
  pol_pace_watch (self);
  self->stated = (PolPaceEstimate){
    .ratio = relative (ratio, 1),
    .samples = MIN_COMBINED_SAMPLES,
    .at = now,
    .is_stated = TRUE,
  };
  pol_pace_announce (self, now);
}

/* The report of the source, or the one that a new source replaces. */
static PolPaceReport *
report_slot (PolPace *self, const PolPaceReport *report)
{
  PolPaceReport *oldest = &self->reports[0];

  for (guint i = 0; i < self->n_reports; i++)
    {
      PolPaceReport *row = &self->reports[i];

      if (row->source == report->source && row->is_cell == report->is_cell)
        return row;
      if (row->estimate.at < oldest->estimate.at)
        oldest = row;
    }
  return self->n_reports < POL_PACE_MAX_REPORTS ? &self->reports[self->n_reports++] : oldest;
}

void
pol_pace_add_report (PolPace *self, const PolPaceReport *report, KnlTime now)
{
  guint max_weight = report->is_cell ? MAX_CELL_WEIGHT : MAX_REPORT_WEIGHT;
  PolPaceReport *slot = report_slot (self, report);

  pol_pace_watch (self);
  *slot = *report;
  slot->estimate.ratio = relative (report->estimate.ratio, 1);
  slot->estimate.samples = MIN (report->estimate.samples, max_weight);
  slot->estimate.at = MIN (report->estimate.at, now);
}

static gboolean
is_recent (const PolPaceEstimate *estimate, KnlTime now)
{
  return now - estimate->at <= POL_PACE_SAMPLE_TTL;
}

static double
fall_back (double ratio, KnlTime passed, KnlTime half)
{
  return 1 + (ratio - 1) * exp2 (-(double)MAX (passed, 0) / (double)half);
}

/* What is left of an estimate: it falls back once it is older than POL_PACE_SAMPLE_TTL. */
static PolPaceEstimate
aged (const PolPaceEstimate *estimate, KnlTime now)
{
  PolPaceEstimate left = *estimate;

  left.ratio = fall_back (estimate->ratio, now - estimate->at - POL_PACE_SAMPLE_TTL, FALL_TIME);
  return left;
}

static void
add_evidence (Evidence *evidence, const PolPaceEstimate *estimate, gboolean recent, KnlTime now)
{
  PolPaceEstimate row = aged (estimate, now);

  if (row.samples == 0 || is_recent (&row, now) != recent
      || (!recent && row.ratio < POL_PACE_MIN_SLOW))
    return;
  evidence->rows[evidence->n++] = row;
  evidence->weight += row.samples;
}

/* The smallest of a few own samples; `samples` is 0 if there are none or they suffice. */
static PolPaceEstimate
confirming (const PolPace *self, KnlTime now)
{
  double ratios[POL_PACE_MAX_SAMPLES];
  guint n = pol_pace_recent_ratios (self, now, ratios);
  PolPaceEstimate estimate = { .at = now };

  if (n == 0 || (self->own.samples > 0 && now - self->own.at <= POL_PACE_SAMPLE_TTL))
    return estimate;
  qsort (ratios, n, sizeof *ratios, pol_pace_compare_ratios);
  estimate.ratio = relative (ratios[0], self->reference);
  estimate.samples = CONFIRMING_WEIGHT;
  return estimate;
}

/* The estimate that a report adds. A relay speaks for many instances, but a false report of it
 * alone must not decide against recent normal samples of this instance: it counts at most as much.
 */
static PolPaceEstimate
reported (const PolPaceReport *report, const PolPaceEstimate *own, KnlTime now)
{
  PolPaceEstimate estimate = report->estimate;

  if (report->is_cell && own->samples > 0 && own->ratio < POL_PACE_MIN_SLOW && is_recent (own, now))
    estimate.samples = MIN (estimate.samples, own->samples);
  return estimate;
}

/* Estimates that come from samples. */
static Evidence
collect_sampled (const PolPace *self, gboolean with_cells, gboolean recent, KnlTime now)
{
  Evidence evidence = { .n = 0 };
  PolPaceEstimate own = self->own;
  PolPaceEstimate row;

  /* Unknown work can't make a sample smaller, so a few normal ones are as good as many slow ones.
   */
  if (own.samples > 0 && own.ratio < POL_PACE_MIN_SLOW)
    own.samples = MAX (own.samples, MIN_COMBINED_SAMPLES);
  add_evidence (&evidence, &own, recent, now);
  row = confirming (self, now);
  add_evidence (&evidence, &row, recent, now);
  for (guint i = 0; i < self->n_reports; i++)
    {
      const PolPaceReport *report = &self->reports[i];

      row = reported (report, &own, now);
      if (!report->estimate.is_stated && (with_cells || !report->is_cell))
        add_evidence (&evidence, &row, recent, now);
    }
  return evidence;
}

/* The newest statement of the endpoint to any instance; `samples` is 0 if there is none. */
static PolPaceEstimate
newest_statement (const PolPace *self, gboolean with_cells)
{
  PolPaceEstimate statement = self->stated;

  for (guint i = 0; i < self->n_reports; i++)
    {
      const PolPaceReport *report = &self->reports[i];

      if (!report->estimate.is_stated || (report->is_cell && !with_cells))
        continue;
      if (statement.samples == 0 || report->estimate.at > statement.at)
        statement = report->estimate;
    }
  return statement;
}

/* Where samples are too few, the newest statement decides, unless some of them show the endpoint
 * normal: nothing makes samples smaller. */
static void
add_statement (Evidence *evidence, const PolPaceEstimate *statement, gboolean recent, KnlTime now)
{
  guint weight = evidence->weight;

  if (weight >= MIN_COMBINED_SAMPLES)
    return;
  for (guint i = 0; i < evidence->n; i++)
    {
      const PolPaceEstimate *row = &evidence->rows[i];

      if (row->ratio < POL_PACE_MIN_SLOW && row->samples >= POL_PACE_MIN_NORMAL_SAMPLES)
        return;
    }
  add_evidence (evidence, statement, recent, now);
  evidence->is_stated = evidence->weight > weight;
}

static Evidence
collect (const PolPace *self, gboolean with_cells, gboolean recent, KnlTime now)
{
  Evidence evidence = collect_sampled (self, with_cells, recent, now);
  PolPaceEstimate statement = newest_statement (self, with_cells);

  if (statement.samples > 0)
    add_statement (&evidence, &statement, recent, now);
  return evidence;
}

static int
compare_estimates (const void *a, const void *b)
{
  return pol_pace_compare_ratios (&((const PolPaceEstimate *)a)->ratio,
                                  &((const PolPaceEstimate *)b)->ratio);
}

/* Median by number of samples, the lower one of two: a minority of reporters doesn't change it. */
static double
weighted_median (Evidence *evidence)
{
  guint below = 0;

  qsort (evidence->rows, evidence->n, sizeof *evidence->rows, compare_estimates);
  for (guint i = 0; i < evidence->n; i++)
    {
      below += evidence->rows[i].samples;
      if (2 * below >= evidence->weight)
        return evidence->rows[i].ratio;
    }
  return 1;
}

static KnlTime
newest (const Evidence *evidence)
{
  KnlTime at = 0;

  for (guint i = 0; i < evidence->n; i++)
    at = MAX (at, evidence->rows[i].at);
  return at;
}

/* Old estimates count only where no newer ones were known, as on an instance that has just started:
 * otherwise they would undo what newer ones have shown. */
static gboolean
is_usable (const PolPace *self, const Evidence *evidence)
{
  return evidence->weight >= MIN_COMBINED_SAMPLES && newest (evidence) > self->known_at;
}

double
pol_pace_combine (PolPace *self,
                  const PolPaceEstimate *measured,
                  const PolPaceReference *reference,
                  KnlTime now)
{
  Evidence evidence;
  gboolean is_sampled;
  double combined;

  pol_pace_set_reference (self, reference);
  update_own (self, measured);
  evidence = collect (self, TRUE, TRUE, now);
  is_sampled = evidence.weight >= MIN_COMBINED_SAMPLES;
  combined = fall_back (self->combined, now - self->combined_at,
                        is_sampled ? SAMPLED_FALL_TIME : FALL_TIME);
  if (is_sampled)
    self->known_at = MAX (self->known_at, newest (&evidence));
  else
    evidence = collect (self, TRUE, FALSE, now);
  if (is_sampled || is_usable (self, &evidence))
    {
      combined = MAX (combined, weighted_median (&evidence));
      self->decided_by_statement = evidence.is_stated;
    }
  self->combined = combined;
  self->combined_at = now;
  return combined;
}

double
pol_pace_update (PolPace *self, const PolPaceReference *reference, KnlTime now)
{
  PolPaceEstimate measured = pol_pace_measure (self, now);

  return pol_pace_combine (self, &measured, reference, now);
}

/* Whether an estimate still has an effect, however old it is. */
static gboolean
has_effect (const PolPaceEstimate *estimate, KnlTime now)
{
  return estimate->samples > 0
         && (is_recent (estimate, now) || aged (estimate, now).ratio >= POL_PACE_MIN_SLOW);
}

gboolean
pol_pace_is_settled (const PolPace *self, KnlTime now)
{
  guint n = self->n_samples;

  if (n > 0 && now - self->samples[(n - 1) % POL_PACE_MAX_SAMPLES].at <= POL_PACE_SAMPLE_TTL)
    return FALSE;
  if (self->combined >= 1 + MIN_EXCESS || has_effect (&self->own, now)
      || has_effect (&self->stated, now))
    return FALSE;
  for (guint i = 0; i < self->n_reports; i++)
    {
      if (has_effect (&self->reports[i].estimate, now))
        return FALSE;
    }
  return TRUE;
}

KnlTime
pol_pace_newest (const PolPace *self)
{
  KnlTime at = self->own.samples > 0 ? self->own.at : -KNL_NEVER / 2;

  if (self->stated.samples > 0)
    at = MAX (at, self->stated.at);
  for (guint i = 0; i < self->n_reports; i++)
    at = MAX (at, self->reports[i].estimate.at);
  return at;
}

/* The estimate from samples while it is recent or newer than what the endpoint stated. */
static const PolPaceEstimate *
own_estimate (const PolPace *self, KnlTime now)
{
  const PolPaceEstimate *own = &self->own;

  if (self->stated.samples == 0)
    return own;
  if (own->samples > 0 && (is_recent (own, now) || own->at >= self->stated.at))
    return own;
  return &self->stated;
}

gboolean
pol_pace_own_report (const PolPace *self, KnlTime now, PolPaceEstimate *estimate)
{
  *estimate = aged (own_estimate (self, now), now);
  if (estimate->samples == 0)
    return FALSE;
  if (self->is_unsure && !estimate->is_stated)
    estimate->samples = MIN (estimate->samples, MAX_UNSURE_WEIGHT);
  return estimate->ratio >= POL_PACE_MIN_SLOW
         || (is_recent (estimate, now) && now < self->announced_until);
}

gboolean
pol_pace_cell_report (const PolPace *self, KnlTime now, PolPaceEstimate *estimate)
{
  Evidence evidence = collect (self, FALSE, TRUE, now);
  gboolean has_reports = FALSE;

  for (guint i = 0; i < self->n_reports; i++)
    has_reports |= !self->reports[i].is_cell && is_recent (&self->reports[i].estimate, now);
  if (evidence.weight == 0)
    evidence = collect (self, FALSE, FALSE, now);
  *estimate = (PolPaceEstimate){ .ratio = weighted_median (&evidence),
                                 .samples = evidence.weight,
                                 .at = newest (&evidence),
                                 .is_stated = evidence.is_stated };
  if (estimate->samples <= CONFIRMING_WEIGHT)
    return FALSE;
  /* Peers report only endpoints that are slow, or were. */
  return estimate->ratio >= POL_PACE_MIN_SLOW || has_reports || now < self->announced_until;
}
