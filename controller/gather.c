#include "controller/gather.h"

#include <stdlib.h>

#include "wire/frame.h"

/* The rows of a controller that hasn't answered in this time are missing in the result. */
#define ANSWER_LIMIT (700 * KNL_MSEC)

struct CtGather
{
  CtGatherOptions options;
  guint64 last_call;
  GHashTable *questions; /* call -> `Question` */
};

typedef struct
{
  guint64 call;
  CtGather *gather;
  char *table;
  json_t *rows;
  GHashTable *asked; /* names of the controllers that the query was sent to */
  guint missing;     /* number of answers still expected */
  KnlTimerId timer;
  CtGatherFunc done;
  gpointer data;
} Question;

static void
question_free (gpointer data)
{
  Question *question = data;

  knl_timer_stop (question->gather->options.kernel, &question->timer);
  json_decref (question->rows);
  g_hash_table_unref (question->asked);
  g_free (question->table);
  g_free (question);
}

CtGather *
ct_gather_new (const CtGatherOptions *options)
{
  CtGather *gather = g_new0 (CtGather, 1);

  gather->options = *options;
  gather->questions = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, question_free);
  return gather;
}

void
ct_gather_free (CtGather *gather)
{
  if (gather == NULL)
    return;
  g_hash_table_destroy (gather->questions);
  g_free (gather);
}

static void
question_end (gpointer data)
{
  Question *question = data;

  knl_timer_stop (question->gather->options.kernel, &question->timer);
  g_hash_table_steal (question->gather->questions, &question->call);
  question->done (question->rows, question->data);
  question_free (question);
}

static void
ask_peer (CtPeer *peer, gpointer data)
{
  Question *question = data;
  Alderturn__Query query = ALDERTURN__QUERY__INIT;

  if (!g_hash_table_add (question->asked, g_strdup (peer->name)))
    return;
  query.call = question->call;
  query.table = question->table;
  ct_peer_send (peer, WR_FRAME (QUERY, query, &query));
}

void
ct_gather_ask (CtGather *gather, const char *table, CtGatherFunc done, gpointer data)
{
  const CtGatherOptions *options = &gather->options;
  Question *question = g_new0 (Question, 1);

  question->call = ++gather->last_call;
  question->gather = gather;
  question->table = g_strdup (table);
  question->rows = options->own_rows (table, options->data);
  question->asked = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  question->done = done;
  question->data = data;
  question->missing = options->reach (options->data);
  g_hash_table_insert (gather->questions, &question->call, question);
  ct_links_foreach (options->links, ALDERTURN__ROLE__ROLE_CONTROLLER, ask_peer, question);
  question->timer = knl_timer_start (options->kernel, question->missing > 0 ? ANSWER_LIMIT : 0,
                                     question_end, question);
}

void
ct_gather_opened (CtGather *gather, CtPeer *peer)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, gather->questions);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ask_peer (peer, value);
}

void
ct_gather_query (CtGather *gather, CtPeer *peer, const Alderturn__Query *query)
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
ct_gather_reply (CtGather *gather, const Alderturn__QueryReply *reply)
{
  Question *question = g_hash_table_lookup (gather->questions, &reply->call);
  json_t *rows;

  if (question == NULL)
    return;
  rows = json_loads (reply->rows, 0, NULL);
  if (json_is_array (rows))
    json_array_extend (question->rows, rows);
  json_decref (rows);
  /* A linked controller that isn't in the membership yet answers too, though it isn't counted. */
  if (question->missing > 0 && --question->missing == 0)
    question_end (question);
}
