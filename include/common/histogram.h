#pragma once

/**
 * A log-linear histogram of integers: 32 buckets per power of two, so that the
 * error of a quantile is at most 1/64 of its value. Only non-empty buckets take
 * memory, 8 bytes each.
 */

#include <glib.h>

typedef struct
{
  guint64 index : 16;
  guint64 count : 48;
} CmBucket;

typedef struct
{
  CmBucket *buckets; /**< sorted by index */
  guint32 length;
  guint32 capacity;
  guint64 count;
  guint64 sum;
  guint64 max;
} CmHistogram;

/** Frees the buckets and leaves an empty histogram. Zeroed memory is an empty histogram too. */
void cm_histogram_clear (CmHistogram *histogram);

void cm_histogram_record (CmHistogram *histogram, guint64 value);

/** Adds all values recorded in `from` to `into`. */
void cm_histogram_merge (CmHistogram *into, const CmHistogram *from);

/** The value at `quantile` (0 to 1, clamped), within the error bound; 0 if empty. */
guint64 cm_histogram_quantile (const CmHistogram *histogram, double quantile);

/** Number of values below `limit`; exact if `limit` is a power of two. */
guint64 cm_histogram_count_below (const CmHistogram *histogram, guint64 limit);

/** Memory used, the struct included, in bytes. */
gsize cm_histogram_bytes (const CmHistogram *histogram);
