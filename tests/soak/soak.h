#pragma once

/**
 * Long randomised runs of a complete deployment in memory. Requests and faults are
 * drawn from a printed seed. At the end all faults are removed, and the guarantees
 * given to callers are compared with the requests that the endpoints ran.
 */

#include "kernel/kernel.h"

typedef struct
{
  guint32 seed;
  KnlTime duration; /**< of requests and faults, on the paused clock */
  gboolean verbose; /**< prints each fault */
} SoakOptions;

/** The result of one run, in requests. A run has passed when `violations` is 0. */
typedef struct
{
  guint requests;
  guint done;
  guint refused; /**< not run */
  guint failed;  /**< failed after they ran, or with unknown outcome */
  guint lost;    /**< their entry was killed */
  guint faults;
  guint violations;
} SoakResult;

/** Runs one seed; violations are printed to standard output with the seed. */
SoakResult soak_run (const SoakOptions *options);
