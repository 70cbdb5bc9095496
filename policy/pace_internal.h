#pragma once

/** Shared by the sources of the pace of endpoints only. */

#include "policy/pace.h"

/** Age up to which samples and estimates count as evidence. */
#define POL_PACE_SAMPLE_TTL (4 * KNL_SEC)

/** This few samples are enough to show that an endpoint isn't slow. */
#define POL_PACE_MIN_NORMAL_SAMPLES 3

/** With fewer measured endpoints of a service there is no reference. */
#define POL_PACE_MIN_REFERENCE 4

/** Copies the ratios of the recent samples, the newest first, and returns their number. */
guint
pol_pace_recent_ratios (const PolPace *pace, KnlTime now, double ratios[POL_PACE_MAX_SAMPLES]);

/** Compares two doubles for qsort(). */
int pol_pace_compare_ratios (const void *a, const void *b);
