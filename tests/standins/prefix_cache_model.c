#include "tests/standins/prefix_cache_model.h"

#include <xxhash.h>

#define MAX_EVENTS 4096

typedef struct
{
  EpCacheEvent event;
  KnlTime readable_at;
  gboolean lost;
} Event;

struct SdPrefixCache
{
  KnlKernel *kernel;
  KnlTime lag;
  guint gap_percent;
  GQueue recent;      /* guint64 *, the most recently used block at the head */
  GHashTable *blocks; /* hash -> its link in `recent` */
  GQueue events;      /* Event */
  guint64 sequence;
};

SdPrefixCache *
sd_prefix_cache_new (KnlKernel *kernel, KnlTime lag, guint gap_percent)
{
  SdPrefixCache *cache = g_new0 (SdPrefixCache, 1);

  cache->kernel = kernel;
  cache->lag = lag;
  cache->gap_percent = gap_percent;
  cache->blocks = g_hash_table_new (g_int64_hash, g_int64_equal);
  g_queue_init (&cache->recent);
  g_queue_init (&cache->events);
  return cache;
}

void
sd_prefix_cache_free (SdPrefixCache *cache)
{
  if (cache == NULL)
    return;
  g_hash_table_unref (cache->blocks);
  g_queue_clear_full (&cache->recent, g_free);
  g_queue_clear_full (&cache->events, g_free);
  g_free (cache);
}

void
sd_prefix_cache_set_gaps (SdPrefixCache *cache, guint gap_percent)
{
  cache->gap_percent = gap_percent;
}

GArray *
sd_prompt_blocks (const char *prompt, gsize bytes)
{
  GArray *blocks = g_array_new (FALSE, FALSE, sizeof (guint64));
  guint64 hash = 0;

  for (gsize at = 0; at + SD_BLOCK_BYTES <= bytes; at += SD_BLOCK_BYTES)
    {
      hash = XXH64 (prompt + at, SD_BLOCK_BYTES, hash);
      g_array_append_val (blocks, hash);
    }
  return blocks;
}

guint64
sd_prefix_cache_tokens (const SdPrefixCache *cache)
{
  return (guint64)g_queue_get_length ((GQueue *)&cache->recent) * SD_BLOCK_TOKENS;
}

static void
publish (SdPrefixCache *cache, guint64 prefix, gboolean added)
{
  Event *event = g_new0 (Event, 1);

  event->event.sequence = ++cache->sequence;
  event->event.prefix = prefix;
  event->event.added = added;
  event->readable_at = knl_kernel_now (cache->kernel) + cache->lag;
  if (cache->gap_percent > 0)
    event->lost =
        (guint)g_rand_int_range (knl_kernel_rand (cache->kernel), 0, 100) < cache->gap_percent;
  g_queue_push_tail (&cache->events, event);
  if (g_queue_get_length (&cache->events) > MAX_EVENTS)
    g_free (g_queue_pop_head (&cache->events));
}

static gboolean
touch (SdPrefixCache *cache, guint64 hash)
{
  GList *link = g_hash_table_lookup (cache->blocks, &hash);

  if (link == NULL)
    return FALSE;
  g_queue_unlink (&cache->recent, link);
  g_queue_push_head_link (&cache->recent, link);
  return TRUE;
}

guint64
sd_prefix_cache_match (SdPrefixCache *cache, const GArray *blocks)
{
  guint64 tokens = 0;

  for (guint i = 0; i < blocks->len; i++)
    {
      if (!touch (cache, g_array_index (blocks, guint64, i)))
        break;
      tokens += SD_BLOCK_TOKENS;
    }
  return tokens;
}

void
sd_prefix_cache_shrink (SdPrefixCache *cache, guint64 max_tokens)
{
  while (sd_prefix_cache_tokens (cache) > max_tokens)
    {
      guint64 *hash = g_queue_pop_tail (&cache->recent);

      g_hash_table_remove (cache->blocks, hash);
      publish (cache, *hash, FALSE);
      g_free (hash);
    }
}

void
sd_prefix_cache_add (SdPrefixCache *cache, const GArray *blocks, guint64 max_tokens)
{
  guint64 fitting = MIN (blocks->len, max_tokens / SD_BLOCK_TOKENS);

  /* Last block first: a block is useless without those before it, which must be evicted later. */
  for (guint64 i = fitting; i-- > 0;)
    {
      guint64 *hash;

      if (touch (cache, g_array_index (blocks, guint64, i)))
        continue;
      hash = g_new (guint64, 1);
      *hash = g_array_index (blocks, guint64, i);
      g_queue_push_head (&cache->recent, hash);
      g_hash_table_insert (cache->blocks, hash, cache->recent.head);
      publish (cache, *hash, TRUE);
    }
  sd_prefix_cache_shrink (cache, max_tokens);
}

guint64
sd_prefix_cache_events (SdPrefixCache *cache, guint64 after, GArray *events)
{
  KnlTime now = knl_kernel_now (cache->kernel);
  guint64 last = 0;

  for (GList *l = cache->events.head; l != NULL; l = l->next)
    {
      const Event *event = l->data;

      if (event->readable_at > now)
        break;
      last = event->event.sequence;
      if (event->event.sequence > after && !event->lost)
        g_array_append_val (events, event->event);
    }
  return last;
}
