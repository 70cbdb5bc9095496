#pragma once

/**
 * How much of its answer a caller has received, and the check that another
 * attempt repeats the same text before the answer continues with it.
 *
 * When an engine is lost in the middle of an answer, the caller has received part
 * of it. Any engine of the same model and version should give the same text for
 * the same prompt, but this is verified here: a caller must never get parts of
 * two different answers.
 */

#include <glib.h>
#include <xxhash.h>

/** The part of the answer that the caller has received. */
typedef struct
{
  guint64 tokens;
  guint64 bytes;
  XXH3_state_t *hash; /**< over all its bytes */
} EnProgress;

/** How much of that part an attempt has repeated. */
typedef struct
{
  guint64 tokens;
  guint64 bytes;
  XXH3_state_t *hash;
  gboolean caught_up;
} EnReplay;

void en_progress_init (EnProgress *progress);
void en_progress_clear (EnProgress *progress);

/** Starts the replay of an attempt that begins at the first token. */
void en_replay_init (EnReplay *replay);
void en_replay_clear (EnReplay *replay);

/**
 * Adds `count` tokens of an attempt and advances `progress` by the new ones.
 * `fresh` is set to the part of `text` that the caller doesn't have yet and
 * `fresh_count` to its tokens (0: none). FALSE: the text differs from what the
 * caller has.
 */
gboolean en_replay_add (EnReplay *replay,
                        EnProgress *progress,
                        guint count,
                        const char *text,
                        const char **fresh,
                        guint *fresh_count);
