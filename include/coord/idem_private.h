#pragma once

/** The state behind coord/idem.h, shared by the files that make it up; not for others. */

#include "coord/idem.h"

typedef struct CoIdemKey CoIdemKey;

/* One request on a key. */
typedef struct
{
  gboolean is_begin;
  CoIdemRecord what; /* attempt and digest of a begin; attempt, state, answer of a finish */
  guint64 call;
  KnlTime deadline;
  CoIdemReplyFunc begun; /* NULL, as `finished`: nobody waits */
  CoIdemFinishFunc finished;
  gpointer data;
} CoIdemOp;

struct CoIdemKey
{
  CoIdem *idem;
  char *name; /* of the row */
  guint shard;
  GQueue ops;     /* CoIdemOp; the first is worked on */
  gboolean known; /* record and version are the table's, as long as the lease is ours */
  gboolean read;  /* it must be read before it is written */
  gboolean solo;  /* it goes alone, since its last transaction collided */
  gboolean open;  /* a write without an answer may still take effect */
  gboolean busy;  /* waits for a batch, a read, or its retry */
  gboolean gone;  /* the lease is lost; freed when no longer busy */
  guint64 version;
  CoIdemRecord record;
  CoIdemRecord next; /* being written */
  KnlTime begun_at;  /* when this holder first saw the record begun */
  TbCallId call;
  KnlTimerId retry;
  GList *recent; /* link in CoIdem.recent, when idle */
};

struct CoIdem
{
  CoIdemOptions options;
  GHashTable *keys; /* name -> CoIdemKey */
  GQueue recent;    /* idle keys, the one used last first */
  GQueue waiting;   /* keys to be written */
  GList *batches;   /* of idem_batch.c, under way */
  KnlTimerId flush;
  guint64 epoch;
  guint n_ops;
  guint64 n_batches;
};

/** Has the key's record written as `next`, which it takes over, with those of other keys. */
void co_idem_want_write (CoIdemKey *key, CoIdemRecord next);

/** What became of that; the key may be freed. */
void co_idem_key_written (CoIdemKey *key, TbStatus status, guint64 version);

void co_idem_key_free (CoIdemKey *key);

/** Drops all that waits to be written or is under way. */
void co_idem_batches_clear (CoIdem *idem);
