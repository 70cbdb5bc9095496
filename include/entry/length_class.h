#pragma once

/** Classes of requests by prompt length; latencies are measured per class. */

#include <glib.h>

/** Estimated bytes per token; engines use the same estimate (docs/ADAPTERS.md). */
#define EN_TOKEN_BYTES 4

typedef enum
{
  EN_LENGTH_4K,
  EN_LENGTH_16K,
  EN_LENGTH_100K,
  EN_LENGTH_1M,
  EN_LENGTH_CLASSES,
} EnLengthClass;

/** Tokens of a prompt of `bytes` bytes, rounded up. */
guint64 en_tokens_of_bytes (gsize bytes);

EnLengthClass en_length_class (guint64 tokens);
const char *en_length_class_name (EnLengthClass length_class);
