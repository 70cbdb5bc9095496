#pragma once

/**
 * Measures a fleet under load: a deployment in memory, requests that arrive at
 * random from a seed, and the results that their callers saw. Times come from the
 * paused clock, so a run gives the same figures on every machine.
 */

#include "common/histogram.h"
#include "entry/error.h"
#include "entry/length_class.h"
#include "kernel/kernel.h"

#define BENCH_CLASSES    EN_LENGTH_CLASSES
#define BENCH_WORKSPACES 10

/** The size of a user's fleet. */
typedef struct
{
  const char *name;
  guint engines;
  KnlTime between_zones; /**< one way */
} BenchProfile;

/** The profile "lantern" or "groove"; NULL for any other name. */
const BenchProfile *bench_profile_find (const char *name);

typedef struct
{
  const BenchProfile *profile;
  const char *router;
  guint entries;
  double load;        /**< offered prefill tokens as a fraction of the engines' capacity */
  gboolean with_long; /**< FALSE: the same arrivals without those over 100,000 tokens */
  double long_share;  /**< long-share of the service; 0: the schema's default */
  guint flood;        /**< additional load of workspace 9, a multiple of its own; 0: none */
  guint32 seed;
  KnlTime duration;
} BenchOptions;

typedef struct
{
  CmHistogram time_to_first[BENCH_CLASSES];              /**< time to first token, microseconds */
  CmHistogram workspace_time_to_first[BENCH_WORKSPACES]; /**< of requests up to 16,000 tokens */
  guint64 requests[BENCH_CLASSES];
  guint64 done[BENCH_CLASSES];
  guint64 refused[BENCH_CLASSES]; /**< refused before they ran */
  guint64 failed[BENCH_CLASSES];
  guint64 done_tokens;  /**< prompt tokens of answers that were complete and in time */
  guint64 memory_waits; /**< how often the next request of an engine's queue waited for memory */
  guint64 idle_while_waiting; /**< samples in which one engine had waiting requests while another
                                 was idle */
  guint64 samples;
  guint64 platform_writes;
  guint64 platform_reads;
  KnlTime span;
} BenchResult;

void bench_run (const BenchOptions *options, BenchResult *result);
void bench_result_clear (BenchResult *result);
void bench_result_merge (BenchResult *into, const BenchResult *from);
