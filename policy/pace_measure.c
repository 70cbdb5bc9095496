/** What one instance measures: an endpoint's ratio from its samples, and what is normal among the
 * endpoints of a service. */

#include <stdlib.h>

#include "pace_internal.h"

/* Number of samples from which the smallest, or from QUANTILE_SAMPLES on the second smallest, is
 * relied on. Unknown work lengthens about half of the passes of a busy endpoint: with fewer samples
 * all of them may be lengthened by chance. */
#define MIN_SAMPLES      12
#define QUANTILE_SAMPLES 20

/* This many newest samples are enough if the largest is at most MAX_SPREAD times the smallest:
 * unknown work lengthens passes by different amounts, a slow endpoint all of them alike. */
#define N_ALIKE    7
#define MAX_SPREAD 1.2

/* From MIN_MEDIAN measured endpoints on the reference is their median, from POL_PACE_MIN_REFERENCE
 * on their lower quartile: of few endpoints most may be slow by chance. Fewer tell nothing. */
#define MIN_MEDIAN 8

int
pol_pace_compare_ratios (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return x < y ? -1 : x > y;
}

guint
pol_pace_recent_ratios (const PolPace *self, KnlTime now, double ratios[POL_PACE_MAX_SAMPLES])
{
  guint n = 0;

  for (guint i = 1; i <= MIN (self->n_samples, POL_PACE_MAX_SAMPLES); i++)
    {
      const PolPaceSample *sample = &self->samples[(self->n_samples - i) % POL_PACE_MAX_SAMPLES];

      if (now - sample->at > POL_PACE_SAMPLE_TTL)
        break;
      ratios[n++] = sample->ratio;
    }
  return n;
}

/* The smallest of the newest samples if they are alike; 0: they aren't. */
static double
alike_ratio (const double *ratios, guint n)
{
  double min = ratios[0];
  double max = ratios[0];

  if (n < N_ALIKE)
    return 0;
  for (guint i = 1; i < N_ALIKE; i++)
    {
      min = MIN (min, ratios[i]);
      max = MAX (max, ratios[i]);
    }
  return max <= MAX_SPREAD * min ? min : 0;
}

PolPaceEstimate
pol_pace_measure (const PolPace *self, KnlTime now)
{
  double ratios[POL_PACE_MAX_SAMPLES] = { 0 };
  guint n = pol_pace_recent_ratios (self, now, ratios);
  double alike = alike_ratio (ratios, n);
  PolPaceEstimate estimate = { .ratio = alike };

  if (alike == 0)
    {
      qsort (ratios, n, sizeof *ratios, pol_pace_compare_ratios);
      estimate.ratio = ratios[n < QUANTILE_SAMPLES ? 0 : 1];
    }
  if (alike == 0
      && n < (estimate.ratio < POL_PACE_MIN_SLOW ? POL_PACE_MIN_NORMAL_SAMPLES : MIN_SAMPLES))
    return (PolPaceEstimate){ .ratio = 1 };
  estimate.samples = n;
  estimate.at = self->samples[(self->n_samples - 1) % POL_PACE_MAX_SAMPLES].at;
  return estimate;
}

double
pol_pace_median_with_normal (double *ratios, guint n, guint n_normal)
{
  guint middle = (n + n_normal - 1) / 2;

  if (n == 0 || middle < n_normal)
    return 1;
  qsort (ratios, n, sizeof *ratios, pol_pace_compare_ratios);
  return MAX (ratios[middle - n_normal], 1);
}

double
pol_pace_median (double *ratios, guint n)
{
  return pol_pace_median_with_normal (ratios, n, 0);
}

PolPaceReference
pol_pace_reference (double *ratios, guint n)
{
  PolPaceReference reference = { .ratio = 1, .n = n };

  if (n < POL_PACE_MIN_REFERENCE)
    return reference;
  qsort (ratios, n, sizeof *ratios, pol_pace_compare_ratios);
  reference.ratio = MAX (ratios[(n - 1) / (n < MIN_MEDIAN ? 4 : 2)], 1);
  return reference;
}

double
pol_pace_factor (double combined, double median)
{
  double factor = combined / median;

  return factor < POL_PACE_MIN_SLOW ? 1 : MIN (factor, POL_PACE_MAX);
}
