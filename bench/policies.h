#pragma once

/**
 * Load on a fleet of pass engines, placed by one of several policies, from one
 * or more instances that hear of each other with a delay.
 */

#include "common/histogram.h"
#include "kernel/kernel.h"

#define BENCH_KINDS 3

typedef struct
{
  const char *policy;
  guint engines;
  guint instances;
  KnlTime delay; /**< from one instance to another */
  double load;   /**< multiplies all arrivals */
  guint seconds;
  guint seed;
} BenchPolicyOptions;

typedef struct
{
  guint asked;
  guint in_time; /**< first event and all pauses within what counts in full */
  CmHistogram first;
  CmHistogram pause; /**< longest of each request */
} BenchKindResult;

typedef struct
{
  BenchKindResult kinds[BENCH_KINDS];
  double earned; /**< of what is owed; late answers count a quarter */
  double busy;   /**< part of the engines' time that went into reading */
} BenchPolicyResult;

extern const char *const bench_kind_names[BENCH_KINDS];

/** Names of the policies, ended by NULL. */
const char *const *bench_policy_names (void);

/** FALSE: there is no such policy. Clear the result afterwards. */
gboolean bench_policy_run (const BenchPolicyOptions *options, BenchPolicyResult *result);
void bench_policy_result_clear (BenchPolicyResult *result);
