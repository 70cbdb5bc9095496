#pragma once

/** State shared by the files that implement coord/idem.h; private to them. */

#include "coord/idem.h"

typedef struct CoIdemKey CoIdemKey;

/* One request for a key. */
typedef struct
{
  gboolean is_begin;
  CoIdemRecord args; /* attempt and digest of a begin; attempt, state, answer of a finish */
  guint64 call;
  KnlTime deadline;
  CoIdemReplyFunc on_begun;     /* NULL: the result isn't reported */
  CoIdemFinishFunc on_finished; /* likewise */
  gpointer data;
} CoIdemOp;

struct CoIdemKey
{
  CoIdem *idem;
  char *name; /* key of its row */
  guint shard;
  GQueue ops;           /* CoIdemOp; the first is being processed */
  gboolean known;       /* record and version equal the table's while this process has the lease */
  gboolean must_read;   /* the row must be read before it is written */
  gboolean write_alone; /* after a conflict or a lost answer: not batched with other keys */
  gboolean unresolved;  /* a write without an answer may still take effect */
  gboolean busy;        /* waits for a batch, a read or a retry */
  gboolean lease_lost;  /* the key is freed when it is no longer busy */
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
  GQueue recent;    /* idle keys, most recently used first */
  GQueue waiting;   /* keys to be written */
  GList *batches;   /* CoIdemBatch (idem_batch.c), in flight */
  KnlTimerId flush;
  guint64 epoch;
  guint n_ops;
  guint64 n_batches;
};

/** Queues a write of the key's record, in a batch with other keys. Takes ownership of `next`. */
void co_idem_queue_write (CoIdemKey *key, CoIdemRecord next);

/** Handles the result of the write; may free the key. */
void co_idem_key_written (CoIdemKey *key, TbStatus status, guint64 version);

void co_idem_key_free (CoIdemKey *key);

/** Drops all queued writes and all batches in flight. */
void co_idem_batches_clear (CoIdem *idem);
