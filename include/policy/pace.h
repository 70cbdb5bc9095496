#pragma once

/**
 * How slow an endpoint is: the time that it takes for a piece of work, relative to the time that is
 * expected of it. The estimate is a low quantile of recent samples of this instance, combined with
 * what peers report: queues and unknown work can only make single samples larger.
 */

#include "kernel/kernel.h"

/** Samples of this instance that are kept for each endpoint. */
#define POL_PACE_MAX_SAMPLES 24

/** Reporters that are kept for each endpoint; the oldest report is replaced by a new one. */
#define POL_PACE_MAX_REPORTS 8

/** A smaller slowdown is within noise and counts as none. */
#define POL_PACE_MIN_SLOW 1.25

/** A larger slowdown counts as this one. */
#define POL_PACE_MAX 10.0

/** Time over expected time. */
typedef struct
{
  double ratio;
  KnlTime at;
} PolPaceSample;

/** An estimate, by this instance or by a reporter. */
typedef struct
{
  double ratio;
  guint samples;      /**< that it is estimated from; 0: there is no estimate */
  KnlTime at;         /**< time of the newest sample */
  gboolean is_stated; /**< the endpoint itself stated it, and `samples` is only its weight */
} PolPaceEstimate;

/** The ratio that counts as normal at an instance. */
typedef struct
{
  double ratio;
  guint n; /**< endpoints that it was measured at */
} PolPaceReference;

typedef struct
{
  guint32 source; /**< id of the peer or cell */
  gboolean is_cell;
  PolPaceEstimate estimate;
} PolPaceReport;

/** The endpoints of a service that an update has to look at. All others have an estimate of 1 and
 * nothing recent that could change it. */
typedef struct
{
  GPtrArray *watched;         /**< PolPace */
  PolPaceReference reference; /**< as of the last update */
  KnlTime announced_until; /**< as pol_pace_announce() has set it for endpoints that it left out */
  KnlTime updated_at;      /**< 0: never */
  double median_answer;    /**< median time to an answer at plain endpoints, ms; 0: not known */
} PolPaceGroup;

typedef struct
{
  PolPaceGroup *group; /**< NULL: none */
  gboolean is_watched;
  guint watched_index; /**< in `group->watched`, if it is watched */
  PolPaceSample samples[POL_PACE_MAX_SAMPLES];
  guint n_samples; /**< added so far; they are kept as a ring */
  PolPaceReport reports[POL_PACE_MAX_REPORTS];
  guint n_reports;
  double reference;              /**< own samples are relative to this; see pol_pace_reference() */
  gboolean is_unsure;            /**< too few endpoints were measured for a reference */
  PolPaceEstimate own;           /**< last estimate from enough samples of this instance */
  PolPaceEstimate stated;        /**< what the endpoint last stated itself, to this instance */
  gboolean decided_by_statement; /**< `combined` rests on what the endpoint stated */
  KnlTime announced_until;       /**< until when recent estimates are announced even if not slow */
  double combined;               /**< estimate from all sources at `combined_at` */
  KnlTime combined_at;
  KnlTime known_at; /**< newest sample in any estimate that was combined while it was recent */
  double
      factor; /**< slowdown that decisions use: exactly 1, or POL_PACE_MIN_SLOW to POL_PACE_MAX */
} PolPace;

void pol_pace_init (PolPace *pace);

/** Makes it a member of the group that another endpoint of the service has; NULL: of a new one. */
void pol_pace_join (PolPace *pace, PolPaceGroup *group);

/** Leaves its group, if it has one. */
void pol_pace_leave (PolPace *pace);

/** Makes the updates of its group include it. Samples and reports do so. */
void pol_pace_watch (PolPace *pace);

/** Ends that if updates no longer depend on it. */
void pol_pace_unwatch (PolPace *pace, KnlTime now);

/** pol_pace_announce() for all endpoints of the group. */
void pol_pace_announce_all (PolPaceGroup *group, KnlTime now);

/** Whether it is 1 or next to it, and nothing recent could change that. */
gboolean pol_pace_is_settled (const PolPace *pace, KnlTime now);

/** Sets what this instance's samples are relative to. */
void pol_pace_set_reference (PolPace *pace, const PolPaceReference *reference);

/** Adds a sample. Samples within 20 ms count as one, the smallest: the streams of an endpoint get
 * their events at the end of the same pass. */
void pol_pace_add_sample (PolPace *pace, double ratio, KnlTime now);

/** Adds what the endpoint itself states in an answer to this instance: a finite number that isn't
 * negative. It decides where samples, here and at peers, are too few, and ages like them. */
void pol_pace_add_statement (PolPace *pace, double ratio, KnlTime now);

/** Adds a report; it replaces an earlier one of the same source. */
void pol_pace_add_report (PolPace *pace, const PolPaceReport *report, KnlTime now);

/** How long an instance announces that an endpoint is no longer slow, or that it isn't, while
 * others of the service are. */
#define POL_PACE_ANNOUNCE_PERIOD (8 * KNL_SEC)

/** Makes recent own estimates be announced for that time even if the endpoint isn't slow. */
void pol_pace_announce (PolPace *pace, KnlTime now);

/** Estimate from this instance's recent samples alone, not relative to the reference; `samples` is
 * 0 if there are too few. */
PolPaceEstimate pol_pace_measure (const PolPace *pace, KnlTime now);

/**
 * The ratio that counts as normal, from an instance's measurements at `n` endpoints of one service,
 * which are reordered. If all of them are slow, the instance itself is slow or the expected times
 * are wrong. It is never below 1.
 */
PolPaceReference pol_pace_reference (double *ratios, guint n);

/** Sets the reference of this instance's samples, and combines all sources. Returns the combined
 * estimate, which falls by at most half of its excess in 8 s (2 s while samples show it). */
double pol_pace_update (PolPace *pace, const PolPaceReference *reference, KnlTime now);

/** The same with the result of pol_pace_measure(). */
double pol_pace_combine (PolPace *pace,
                         const PolPaceEstimate *measured,
                         const PolPaceReference *reference,
                         KnlTime now);

/** Time of the newest sample in any estimate, here or reported; far in the past if there is none.
 */
KnlTime pol_pace_newest (const PolPace *pace);

/** Median of the combined estimates at all endpoints of a service, which are reordered. */
double pol_pace_median (double *ratios, guint n);

/** The same with `n_normal` more estimates of 1. */
double pol_pace_median_with_normal (double *ratios, guint n, guint n_normal);

/** The slowdown for decisions from a combined estimate and the service's median. */
double pol_pace_factor (double combined, double median);

/** What this instance announces: its own estimate, relative to its reference. FALSE: nothing. */
gboolean pol_pace_own_report (const PolPace *pace, KnlTime now, PolPaceEstimate *estimate);

/** What a relay announces: the combined estimate of this instance and of the peers, without other
 * cells. FALSE: nothing. */
gboolean pol_pace_cell_report (const PolPace *pace, KnlTime now, PolPaceEstimate *estimate);
