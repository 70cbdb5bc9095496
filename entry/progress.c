#include "entry/progress.h"

#include <string.h>

void
en_progress_init (EnProgress *progress)
{
  *progress = (EnProgress){ .hash = XXH3_createState () };
  XXH3_64bits_reset (progress->hash);
}

void
en_progress_clear (EnProgress *progress)
{
  if (progress->hash != NULL)
    XXH3_freeState (progress->hash);
  progress->hash = NULL;
}

void
en_replay_init (EnReplay *replay)
{
  *replay = (EnReplay){ .hash = XXH3_createState () };
  XXH3_64bits_reset (replay->hash);
}

void
en_replay_clear (EnReplay *replay)
{
  if (replay->hash != NULL)
    XXH3_freeState (replay->hash);
  replay->hash = NULL;
}

static void
progress_add (EnProgress *progress, guint count, const char *text)
{
  gsize length = strlen (text);

  progress->tokens += count;
  progress->bytes += length;
  XXH3_64bits_update (progress->hash, text, length);
}

/* Compares once the attempt has repeated as many bytes as the caller has. */
static gboolean
catches_up (EnReplay *replay, const EnProgress *progress, gsize beyond)
{
  if (beyond > 0 ? replay->tokens <= progress->tokens : replay->tokens != progress->tokens)
    return FALSE;
  replay->caught_up = TRUE;
  return XXH3_64bits_digest (replay->hash) == XXH3_64bits_digest (progress->hash);
}

gboolean
en_replay_add (EnReplay *replay,
               EnProgress *progress,
               guint count,
               const char *text,
               const char **fresh,
               guint *fresh_count)
{
  gsize length = strlen (text);
  gsize known = 0;

  *fresh = "";
  *fresh_count = 0;
  replay->tokens += count;
  if (!replay->caught_up)
    {
      known = (gsize)MIN (length, progress->bytes - replay->bytes);
      XXH3_64bits_update (replay->hash, text, known);
      replay->bytes += length;
      if (replay->bytes < progress->bytes)
        return replay->tokens < progress->tokens;
      if (!catches_up (replay, progress, length - known))
        return FALSE;
    }
  *fresh = text + known;
  *fresh_count = (guint)(replay->tokens - progress->tokens);
  progress_add (progress, *fresh_count, *fresh);
  return TRUE;
}
