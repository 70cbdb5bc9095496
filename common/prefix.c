#include "common/prefix.h"

#include <xxhash.h>

guint64
cm_prefix_block_hash (const void *block, guint64 seed)
{
  return XXH64 (block, CM_PREFIX_BLOCK, seed);
}

gsize
cm_prefix_hashes (const void *prompt, gsize length, guint64 *hashes, gsize limit)
{
  gsize count = MIN (length / CM_PREFIX_BLOCK, limit);
  guint64 seed = 0;

  for (gsize i = 0; i < count; i++)
    {
      seed = cm_prefix_block_hash ((const char *)prompt + i * CM_PREFIX_BLOCK, seed);
      hashes[i] = seed;
    }
  return count;
}

guint64
cm_prefix_fingerprint (const void *prompt, gsize length)
{
  return XXH64 (prompt, length, 0);
}
