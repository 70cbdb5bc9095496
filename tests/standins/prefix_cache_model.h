#pragma once

/** Model of an engine's prefix cache: blocks in LRU order, and the events that it publishes. */

#include "endpoint/endpoint.h"

/** Bytes and tokens of one block of a prompt. */
#define SD_BLOCK_BYTES  16384
#define SD_BLOCK_TOKENS 4096

typedef struct SdPrefixCache SdPrefixCache;

/** Events can be read after `lag`; `gap_percent` percent of them are never published. */
SdPrefixCache *sd_prefix_cache_new (KnlKernel *kernel, KnlTime lag, guint gap_percent);
void sd_prefix_cache_free (SdPrefixCache *cache);
void sd_prefix_cache_set_gaps (SdPrefixCache *cache, guint gap_percent);

/** Chained hashes (guint64) of the full blocks of a prompt, in order; free the array. */
GArray *sd_prompt_blocks (const char *prompt, gsize bytes);

guint64 sd_prefix_cache_tokens (const SdPrefixCache *cache);

/** Tokens of the longest cached prefix of `blocks`; marks these blocks as used. */
guint64 sd_prefix_cache_match (SdPrefixCache *cache, const GArray *blocks);

/** Adds as many of the first `blocks` as fit in `max_tokens`; evicts the least recently used. */
void sd_prefix_cache_add (SdPrefixCache *cache, const GArray *blocks, guint64 max_tokens);

/** Evicts until at most `max_tokens` tokens are cached. */
void sd_prefix_cache_shrink (SdPrefixCache *cache, guint64 max_tokens);

/** Appends the readable events after sequence `after`; returns the last readable sequence. */
guint64 sd_prefix_cache_events (SdPrefixCache *cache, guint64 after, GArray *events);
