#pragma once

/**
 * Simulates load on a fleet of pass engines. One of several policies places the
 * requests of one or more instances, which see each other's load with a delay.
 */

#include "common/histogram.h"
#include "kernel/kernel.h"

#define BENCH_KINDS 3

typedef struct
{
  const char *policy;
  guint engines;
  guint instances;
  KnlTime delay; /**< until an update of one instance reaches the others */
  double load;   /**< multiplies all arrivals */
  guint seconds;
  guint seed;
  guint slow_engines; /**< engines that are `slowdown` times slower than declared */
  double slowdown;
  gboolean ignores_pace; /**< instances don't measure how slow engines are */
} BenchPolicyOptions;

typedef struct
{
  guint submitted;
  guint in_time;       /**< first event and all gaps within their objectives */
  CmHistogram first;   /**< time to the first event */
  CmHistogram max_gap; /**< longest gap between two events of each request */
} BenchKindResult;

typedef struct
{
  BenchKindResult kinds[BENCH_KINDS];
  double in_time; /**< fraction of all requests */
  double busy;    /**< fraction of the engines' time that went into prefill */
} BenchPolicyResult;

extern const char *const bench_kind_names[BENCH_KINDS];

/** Names of the policies, NULL-terminated. */
const char *const *bench_policy_names (void);

/** Returns FALSE if there is no such policy. Otherwise clear the result afterwards. */
gboolean bench_policy_run (const BenchPolicyOptions *options, BenchPolicyResult *result);
void bench_policy_result_clear (BenchPolicyResult *result);
