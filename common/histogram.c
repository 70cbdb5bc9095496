#include "common/histogram.h"

#include <string.h>

#define SUB_BITS         5
#define SUB_BUCKETS      (1u << SUB_BITS)
#define INITIAL_CAPACITY 4

/* Values below SUB_BUCKETS have a bucket each; above, each power of two has SUB_BUCKETS buckets. */
static guint16
bucket_index (guint64 value)
{
  guint exponent;

  if (value < SUB_BUCKETS)
    return (guint16)value;
  exponent = 63 - (guint)__builtin_clzll (value);
  return (guint16)((guint64)(exponent - SUB_BITS + 1) * SUB_BUCKETS
                   + ((value >> (exponent - SUB_BITS)) - SUB_BUCKETS));
}

static guint64
bucket_start (guint16 index)
{
  guint shift;

  if (index < SUB_BUCKETS)
    return index;
  shift = index / SUB_BUCKETS - 1;
  return (guint64)(SUB_BUCKETS + index % SUB_BUCKETS) << shift;
}

static guint64
bucket_middle (guint16 index)
{
  if (index < SUB_BUCKETS)
    return index;
  return bucket_start (index) + (((guint64)1 << (index / SUB_BUCKETS - 1)) >> 1);
}

/* Position of the first bucket whose index is `index` or higher; binary search. */
static guint32
find_bucket (const CmHistogram *histogram, guint16 index)
{
  guint32 low = 0;
  guint32 high = histogram->length;

  while (low < high)
    {
      guint32 middle = low + (high - low) / 2;

      if (histogram->buckets[middle].index < index)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static void
add_to_bucket (CmHistogram *histogram, guint16 index, guint64 count)
{
  guint32 position = find_bucket (histogram, index);

  if (position < histogram->length && histogram->buckets[position].index == index)
    {
      histogram->buckets[position].count += count;
      return;
    }
  if (histogram->length == histogram->capacity)
    {
      histogram->capacity = MAX (INITIAL_CAPACITY, histogram->capacity + histogram->capacity / 2);
      histogram->buckets = g_renew (CmBucket, histogram->buckets, histogram->capacity);
    }
  memmove (&histogram->buckets[position + 1], &histogram->buckets[position],
           (histogram->length - position) * sizeof (CmBucket));
  histogram->buckets[position] = (CmBucket){ .index = index, .count = count };
  histogram->length++;
}

void
cm_histogram_clear (CmHistogram *histogram)
{
  g_free (histogram->buckets);
  *histogram = (CmHistogram){ 0 };
}

void
cm_histogram_record (CmHistogram *histogram, guint64 value)
{
  add_to_bucket (histogram, bucket_index (value), 1);
  histogram->count++;
  histogram->sum += value;
  histogram->max = MAX (histogram->max, value);
}

void
cm_histogram_merge (CmHistogram *into, const CmHistogram *from)
{
  for (guint32 i = 0; i < from->length; i++)
    add_to_bucket (into, from->buckets[i].index, from->buckets[i].count);
  into->count += from->count;
  into->sum += from->sum;
  into->max = MAX (into->max, from->max);
}

guint64
cm_histogram_quantile (const CmHistogram *histogram, double quantile)
{
  double rank = CLAMP (quantile, 0, 1) * (double)histogram->count;
  guint64 seen = 0;

  for (guint32 i = 0; i < histogram->length; i++)
    {
      seen += histogram->buckets[i].count;
      if ((double)seen >= rank)
        return MIN (bucket_middle (histogram->buckets[i].index), histogram->max);
    }
  return histogram->max;
}

guint64
cm_histogram_count_below (const CmHistogram *histogram, guint64 limit)
{
  guint32 position = find_bucket (histogram, bucket_index (limit));
  guint64 count = 0;

  for (guint32 i = 0; i < position; i++)
    count += histogram->buckets[i].count;
  return count;
}

gsize
cm_histogram_bytes (const CmHistogram *histogram)
{
  return sizeof (CmHistogram) + histogram->capacity * sizeof (CmBucket);
}
