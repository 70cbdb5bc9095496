#pragma once

/** A platform that counts the calls to another one by operation and status, and their times. */

#include "common/metrics.h"
#include "table/table.h"

/** `beneath` and `metrics` must outlive it; freeing it does not free them. */
TbTable *ct_metered_platform_new (TbTable *beneath, KnlKernel *kernel, CmMetrics *metrics);
