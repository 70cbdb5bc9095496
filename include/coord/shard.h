#pragma once

/**
 * Shards: the fixed number of partitions into which all duties are divided, and
 * the choice of the candidate that should hold one. An object's shard is
 * derived from its name alone.
 */

#include <glib.h>

/** The shard, 0 to `n_shards` - 1, of an object named such as "engine/NAME". */
guint co_shard_of (const char *name, guint n_shards);

/** The shard of "KIND/NAME". */
guint co_shard_of_pair (const char *kind, const char *name, guint n_shards);

/**
 * Weight of candidate `name` for `key`, by rendezvous hashing. The candidate
 * with the highest weight should hold it; if a candidate fails, only the
 * keys that it held move.
 */
guint64 co_rendezvous_weight (const char *name, const char *key);

/** How many of `names` have a higher weight for `key` than `self`; 0: self should hold it. */
guint
co_rendezvous_rank (const char *const *names, guint n_names, const char *self, const char *key);
