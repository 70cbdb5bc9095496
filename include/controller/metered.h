#pragma once

/** A platform wrapper that records the calls by operation and status, and their duration. */

#include "common/metrics.h"
#include "table/table.h"

/** The wrapper doesn't own `inner`, the wrapped platform, or `metrics`; both must outlive it. */
TbTable *ct_metered_platform_new (TbTable *inner, KnlKernel *kernel, CmMetrics *metrics);
