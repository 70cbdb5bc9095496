#pragma once

/** Model of the platform's rate-limited weight store: serves one download after the other. */

#include "kernel/kernel.h"

typedef struct
{
  double rate; /**< bytes per second */
  KnlTime free_at;
} SdWeightStore;

/** Queues a download at time `now`; returns the time until its last byte is sent. */
KnlTime sd_weight_store_enqueue (SdWeightStore *store, KnlTime now, double bytes);
