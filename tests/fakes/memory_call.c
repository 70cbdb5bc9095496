#include "tests/fakes/memory_call.h"

#define DEFAULT_LATENCY KNL_MSEC

typedef struct
{
  FkCall *call;
  gpointer content;
  KnlTimerId timer;
} Piece;

void
fk_calls_init (FkCalls *calls, KnlKernel *kernel)
{
  calls->kernel = kernel;
  calls->latency = DEFAULT_LATENCY;
  calls->open = g_hash_table_new (g_int64_hash, g_int64_equal);
}

void
fk_calls_drop (FkCalls *calls, guint64 id)
{
  FkCall *call = g_hash_table_lookup (calls->open, &id);

  if (call != NULL)
    fk_call_end (call);
}

void
fk_calls_clear (FkCalls *calls)
{
  GList *open = g_hash_table_get_values (calls->open);

  for (GList *l = open; l != NULL; l = l->next)
    fk_call_end (l->data);
  g_list_free (open);
  g_hash_table_unref (calls->open);
}

static void
content_free (const FkCall *call, gpointer content)
{
  if (call->klass->free_piece != NULL)
    call->klass->free_piece (content);
}

static void
piece_free (Piece *piece)
{
  content_free (piece->call, piece->content);
  g_free (piece);
}

void
fk_call_release (FkCall *call)
{
  if (call->calls == NULL && call->arrival_timer == 0 && !call->attached && call->pins == 0)
    call->klass->destroy (call);
}

void
fk_call_end (FkCall *call)
{
  FkCalls *calls = call->calls;
  Piece *piece;

  if (calls == NULL)
    return;
  while ((piece = g_queue_pop_head (&call->pieces)) != NULL)
    {
      knl_timer_stop (calls->kernel, &piece->timer);
      piece_free (piece);
    }
  knl_timer_stop (calls->kernel, &call->limit);
  g_hash_table_remove (calls->open, &call->id);
  call->calls = NULL;
  if (call->klass->closed != NULL)
    call->klass->closed (call);
  fk_call_release (call);
}

/* Pins the call during the callback, in which the client may end it: the call must not be freed
 * before the callback returns. */
static void
receive (FkCall *call, gpointer content)
{
  call->pins++;
  call->klass->receive (call, content);
  call->pins--;
}

static void
on_limit (gpointer data)
{
  FkCall *call = data;

  call->limit = 0;
  receive (call, NULL);
  fk_call_release (call);
}

static void
on_piece (gpointer data)
{
  Piece *piece = data;
  FkCall *call = piece->call;

  g_queue_remove (&call->pieces, piece);
  receive (call, piece->content);
  piece_free (piece);
  fk_call_release (call);
}

void
fk_call_set_limit (FkCall *call, KnlTime limit)
{
  knl_timer_stop (call->calls->kernel, &call->limit);
  call->limit = knl_timer_start (call->calls->kernel, limit, on_limit, call);
}

void
fk_call_open (FkCall *call, const FkCallClass *klass, FkCalls *calls, KnlTime limit)
{
  call->klass = klass;
  call->id = ++calls->last_id;
  call->calls = calls;
  g_queue_init (&call->pieces);
  g_hash_table_insert (calls->open, &call->id, call);
  fk_call_set_limit (call, limit);
}

static void
remove_if_done (FkCall *call)
{
  if (call->arrival_timer == 0 && !call->attached)
    g_hash_table_remove (call->in_flight, call);
}

static void
on_arrival (gpointer data)
{
  FkCall *call = data;

  call->arrival_timer = 0;
  call->pins++;
  call->klass->arrive (call);
  call->pins--;
  remove_if_done (call);
  fk_call_release (call);
}

void
fk_call_arrive_later (FkCall *call, KnlTime delay)
{
  call->arrival_timer = knl_timer_start (call->far_kernel, delay, on_arrival, call);
}

void
fk_call_send (FkCall *call, KnlKernel *far_kernel, GHashTable *in_flight)
{
  call->far_kernel = far_kernel;
  call->in_flight = in_flight;
  g_hash_table_add (in_flight, call);
  fk_call_arrive_later (call, call->calls->latency);
}

void
fk_call_set_attached (FkCall *call, gboolean attached)
{
  call->attached = attached;
  remove_if_done (call);
  fk_call_release (call);
}

void
fk_call_answer (FkCall *call, KnlTime delay, gpointer content)
{
  Piece *piece;

  if (call->calls == NULL)
    {
      content_free (call, content);
      return;
    }
  piece = g_new0 (Piece, 1);
  piece->call = call;
  piece->content = content;
  g_queue_push_tail (&call->pieces, piece);
  piece->timer =
      knl_timer_start (call->calls->kernel, call->calls->latency + delay, on_piece, piece);
}

void
fk_calls_abort (GHashTable *in_flight, gboolean notify)
{
  GList *calls = g_hash_table_get_keys (in_flight);

  for (GList *l = calls; l != NULL; l = l->next)
    {
      FkCall *call = l->data;

      knl_timer_stop (call->far_kernel, &call->arrival_timer);
      call->attached = FALSE;
      remove_if_done (call);
      if (notify)
        call->klass->lost (call);
      fk_call_release (call);
    }
  g_list_free (calls);
}
