#include "coord/shard.h"

#include <string.h>
#include <xxhash.h>

guint
co_shard_of (const char *name, guint n_shards)
{
  return (guint)(XXH3_64bits (name, strlen (name)) % n_shards);
}

guint
co_shard_of_pair (const char *kind, const char *name, guint n_shards)
{
  char *key = g_strconcat (kind, "/", name, NULL);
  guint shard = co_shard_of (key, n_shards);

  g_free (key);
  return shard;
}

guint64
co_rendezvous_weight (const char *name, const char *key)
{
  return XXH3_64bits_withSeed (name, strlen (name), XXH3_64bits (key, strlen (key)));
}

guint
co_rendezvous_rank (const char *const *names, guint n_names, const char *self, const char *key)
{
  guint64 own = co_rendezvous_weight (self, key);
  guint rank = 0;

  for (guint i = 0; i < n_names; i++)
    {
      if (co_rendezvous_weight (names[i], key) > own)
        rank++;
    }
  return rank;
}
