#include "controller/gather.h"

#include <stdlib.h>

#include "wire/frame.h"

/* The rows of a controller that hasn't answered in this time are missing in the result. */
#define ANSWER_TIMEOUT (700 * KNL_MSEC)

struct CtGather
{
  CtGatherOptions options;
  guint64 last_call;
  GHashTable *pending_queries; /* call -> `PendingQuery` */
};

typedef struct
{
  guint64 call;
  CtGather *gather;
  char *table;
  json_t *rows;
  GHashTable *queried; /* names of the controllers that the query was sent to */
  guint missing;       /* number of answers still expected */
  KnlTimerId timer;
  CtGatherFunc done;
  gpointer data;
} PendingQuery;

static void
pending_query_free (gpointer data)
{
  PendingQuery *pending = data;

  knl_timer_stop (pending->gather->options.kernel, &pending->timer);
  json_decref (pending->rows);
  g_hash_table_unref (pending->queried);
  g_free (pending->table);
  g_free (pending);
}

CtGather *
ct_gather_new (const CtGatherOptions *options)
{
  CtGather *gather = g_new0 (CtGather, 1);

  gather->options = *options;
  gather->pending_queries =
      g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, pending_query_free);
  return gather;
}

void
ct_gather_free (CtGather *gather)
{
  if (gather == NULL)
    return;
  g_hash_table_destroy (gather->pending_queries);
  g_free (gather);
}

static void
question_end (gpointer data)
{
  PendingQuery *pending = data;

  knl_timer_stop (pending->gather->options.kernel, &pending->timer);
  g_hash_table_steal (pending->gather->pending_queries, &pending->call);
  pending->done (pending->rows, pending->data);
  pending_query_free (pending);
}

static void
query_peer (CtPeer *peer, gpointer data)
{
  PendingQuery *pending = data;
  Alderturn__Query query = ALDERTURN__QUERY__INIT;

  if (!g_hash_table_add (pending->queried, g_strdup (peer->name)))
    return;
  query.call = pending->call;
  query.table = pending->table;
  ct_peer_send (peer, WR_FRAME (QUERY, query, &query));
}

void
ct_gather_start (CtGather *gather, const char *table, CtGatherFunc done, gpointer data)
{
  const CtGatherOptions *options = &gather->options;
  PendingQuery *pending = g_new0 (PendingQuery, 1);

  pending->call = ++gather->last_call;
  pending->gather = gather;
  pending->table = g_strdup (table);
  pending->rows = options->own_rows (table, options->data);
  pending->queried = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  pending->done = done;
  pending->data = data;
  pending->missing = options->connect_all (options->data);
  g_hash_table_insert (gather->pending_queries, &pending->call, pending);
  ct_links_foreach (options->links, ALDERTURN__ROLE__ROLE_CONTROLLER, query_peer, pending);
  pending->timer = knl_timer_start (options->kernel, pending->missing > 0 ? ANSWER_TIMEOUT : 0,
                                    question_end, pending);
}

void
ct_gather_on_peer_opened (CtGather *gather, CtPeer *peer)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, gather->pending_queries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    query_peer (peer, value);
}

void
ct_gather_handle_query (CtGather *gather, CtPeer *peer, const Alderturn__Query *query)
{
  json_t *rows = gather->options.own_rows (query->table, gather->options.data);
  Alderturn__QueryReply reply = ALDERTURN__QUERY_REPLY__INIT;

  reply.call = query->call;
  reply.rows = json_dumps (rows, JSON_COMPACT);
  ct_peer_send (peer, WR_FRAME (QUERY_REPLY, query_reply, &reply));
  free (reply.rows);
  json_decref (rows);
}

void
ct_gather_handle_reply (CtGather *gather, const Alderturn__QueryReply *reply)
{
  PendingQuery *pending = g_hash_table_lookup (gather->pending_queries, &reply->call);
  json_t *rows;

  if (pending == NULL)
    return;
  rows = json_loads (reply->rows, 0, NULL);
  if (json_is_array (rows))
    json_array_extend (pending->rows, rows);
  json_decref (rows);
  /* A linked controller that isn't in the membership yet answers too, though it isn't counted. */
  if (pending->missing > 0 && --pending->missing == 0)
    question_end (pending);
}
