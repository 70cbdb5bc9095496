#pragma once

/**
 * Hashes of a prompt's prefix blocks. Engines use them to report the contents of
 * their prefix caches (docs/ADAPTERS.md). Block i is the i-th run of
 * CM_PREFIX_BLOCK bytes. Its hash is XXH64 of the block, seeded with the hash of
 * the previous block (0 for the first), so equal hashes mean equal prefixes up to
 * and including that block. An incomplete last run is not a block.
 */

#include <glib.h>

/** Size of a block, in bytes: 4,096 tokens of 4 bytes. */
#define CM_PREFIX_BLOCK ((gsize)16384)

/** Hash of a block of CM_PREFIX_BLOCK bytes; `seed`: hash of the previous block. */
guint64 cm_prefix_block_hash (const void *block, guint64 seed);

/** Writes the hashes of the prompt's first blocks, at most `limit`; returns their number. */
gsize cm_prefix_hashes (const void *prompt, gsize length, guint64 *hashes, gsize limit);

/** XXH64 of the whole prompt, seed 0: its fingerprint. */
guint64 cm_prefix_fingerprint (const void *prompt, gsize length);
