/**
 * Tracks the contents of engines' prefix caches: from this entry's dispatches at
 * once, and from the engines' cache events later. Events come late and with gaps,
 * so the result is only a hint, used to shorten the estimated wait.
 */

#include "entry/core_internal.h"

/* Prefixes tracked per engine. A full set is cleared: the engine has evicted most of it by then. */
#define MAX_PREFIXES 8192

typedef struct
{
  EnCore *core;
  char *endpoint;
  EpCallId call;
} CachePoll;

static void
cache_poll_free (gpointer data)
{
  CachePoll *poll = data;

  ep_call_cancel (poll->core->client, &poll->call);
  g_free (poll->endpoint);
  g_free (poll);
}

void
en_core_add_prefix (EnEndpoint *endpoint, guint64 prefix)
{
  if (g_hash_table_size (endpoint->prefixes) >= MAX_PREFIXES)
    g_hash_table_remove_all (endpoint->prefixes);
  g_hash_table_add (endpoint->prefixes, g_memdup2 (&prefix, sizeof prefix));
}

static void
apply_event (EnEndpoint *endpoint, const EpCacheEvent *event)
{
  if (event->sequence <= endpoint->cache_sequence)
    return;
  if (event->added)
    en_core_add_prefix (endpoint, event->prefix);
  else
    g_hash_table_remove (endpoint->prefixes, &event->prefix);
}

static void
on_cache_events (gboolean ok,
                 const EpCacheEvent *events,
                 guint n_events,
                 guint64 last_sequence,
                 gpointer data)
{
  CachePoll *poll = data;
  EnCore *core = poll->core;
  EnEndpoint *endpoint = en_fleet_find (core->fleet, poll->endpoint);

  poll->call = 0;
  if (ok && endpoint != NULL)
    {
      /* A lower number than before: the engine has restarted its sequence. */
      if (last_sequence < endpoint->cache_sequence)
        endpoint->cache_sequence = 0;
      for (guint i = 0; i < n_events; i++)
        apply_event (endpoint, &events[i]);
      endpoint->cache_sequence = MAX (last_sequence, endpoint->cache_sequence);
    }
  g_hash_table_remove (core->cache_polls, poll->endpoint);
}

/* Polls one engine per call, and only engines that this entry has sent prompts to. */
void
en_core_poll_next_cache (EnCore *core)
{
  const GPtrArray *endpoints = en_fleet_endpoints (core->fleet);

  for (guint i = 0; i < endpoints->len; i++)
    {
      const EnEndpoint *endpoint =
          g_ptr_array_index (endpoints, core->next_cache_poll++ % endpoints->len);
      CachePoll *poll;

      if (endpoint->removed || g_hash_table_size (endpoint->prefixes) == 0
          || g_hash_table_contains (core->cache_polls, endpoint->name))
        continue;
      poll = g_new0 (CachePoll, 1);
      poll->core = core;
      poll->endpoint = g_strdup (endpoint->name);
      g_hash_table_insert (core->cache_polls, poll->endpoint, poll);
      poll->call = ep_client_cache_events (core->client, endpoint->address,
                                           endpoint->cache_sequence, on_cache_events, poll);
      return;
    }
}

void
en_core_start_cache (EnCore *core)
{
  core->cache_polls = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, cache_poll_free);
}

void
en_core_stop_cache (EnCore *core)
{
  g_hash_table_unref (core->cache_polls);
}
