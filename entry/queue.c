#include "entry/queue.h"

#include <string.h>

/*
 * Requests of one workspace that are tried in a round. One that doesn't fit must not block smaller
 * ones behind it, but trying all of a long queue each time would be wasteful.
 */
#define MAX_HEADS 4

struct EnQueue
{
  EnShares *shares;
  GPtrArray *flows; /* Flow */
  guint length;
};

/* The requests of one workspace in one lane of one service. */
typedef struct
{
  char *service;
  char *workspace;
  EnLane lane;
  GSequence *requests; /* EnRequest, by deadline */
  EnWaiting waiting;   /* sums; `largest` includes requests removed since it was last empty */
  double virtual_time; /* at the current round */
  gboolean blocked;    /* none of its requests tried in this round could be dispatched */
} Flow;

static void
flow_free (gpointer data)
{
  Flow *flow = data;

  g_sequence_free (flow->requests);
  g_free (flow->service);
  g_free (flow->workspace);
  g_free (flow);
}

EnQueue *
en_queue_new (EnShares *shares)
{
  EnQueue *self = g_new0 (EnQueue, 1);

  self->shares = shares;
  self->flows = g_ptr_array_new_with_free_func (flow_free);
  return self;
}

void
en_queue_free (EnQueue *self)
{
  if (self == NULL)
    return;
  g_ptr_array_unref (self->flows);
  g_free (self);
}

static EnLane
lane_of (const EnRequest *request)
{
  return request->need.is_long ? EN_LANE_LONG : EN_LANE_SHORT;
}

static Flow *
find_flow (const EnQueue *self, const EnRequest *request)
{
  for (guint i = 0; i < self->flows->len; i++)
    {
      Flow *flow = g_ptr_array_index (self->flows, i);

      if (flow->lane == lane_of (request) && strcmp (flow->workspace, request->workspace) == 0
          && strcmp (flow->service, request->service) == 0)
        return flow;
    }
  return NULL;
}

static Flow *
add_flow (EnQueue *self, const EnRequest *request)
{
  Flow *flow = g_new0 (Flow, 1);

  flow->service = g_strdup (request->service);
  flow->workspace = g_strdup (request->workspace);
  flow->lane = lane_of (request);
  flow->requests = g_sequence_new (NULL);
  g_ptr_array_add (self->flows, flow);
  return flow;
}

static int
compare_deadlines (gconstpointer a, gconstpointer b, gpointer data)
{
  const EnRequest *x = a;
  const EnRequest *y = b;

  if (x->deadline != y->deadline)
    return x->deadline < y->deadline ? -1 : 1;
  return x->number < y->number ? -1 : x->number > y->number;
}

void
en_queue_push (EnQueue *self, EnRequest *request)
{
  Flow *flow = find_flow (self, request);

  if (flow == NULL)
    flow = add_flow (self, request);
  request->queue_iter = g_sequence_insert_sorted (flow->requests, request, compare_deadlines, NULL);
  self->length++;
  flow->waiting.count++;
  flow->waiting.tokens += request->need.tokens;
  flow->waiting.prefill += request->need.prefill;
  flow->waiting.largest = MAX (flow->waiting.largest, request->need.tokens);
}

void
en_queue_remove (EnQueue *self, EnRequest *request)
{
  Flow *flow;

  if (request->queue_iter == NULL)
    return;
  flow = find_flow (self, request);
  flow->waiting.count--;
  flow->waiting.tokens -= request->need.tokens;
  flow->waiting.prefill -= request->need.prefill;
  if (flow->waiting.count == 0)
    flow->waiting.largest = 0;
  g_sequence_remove (request->queue_iter);
  request->queue_iter = NULL;
  self->length--;
}

static void
drop_empty_flows (EnQueue *self)
{
  for (guint i = self->flows->len; i > 0; i--)
    {
      Flow *flow = g_ptr_array_index (self->flows, i - 1);

      if (g_sequence_is_empty (flow->requests))
        g_ptr_array_remove_index (self->flows, i - 1);
    }
}

/* The flow to serve next: short before long lanes, as they share engines; then by virtual time. */
static Flow *
next_flow (EnQueue *self)
{
  Flow *best = NULL;

  for (guint i = 0; i < self->flows->len; i++)
    {
      Flow *flow = g_ptr_array_index (self->flows, i);

      if (flow->blocked || g_sequence_is_empty (flow->requests))
        continue;
      flow->virtual_time = en_shares_virtual_time (self->shares, flow->workspace);
      if (best == NULL || flow->lane < best->lane
          || (flow->lane == best->lane && flow->virtual_time < best->virtual_time))
        best = flow;
    }
  return best;
}

static gboolean
try_heads (EnQueue *self, Flow *flow, EnQueueTryFunc try_dispatch, gpointer data)
{
  GSequenceIter *iter = g_sequence_get_begin_iter (flow->requests);

  for (guint i = 0; i < MAX_HEADS && !g_sequence_iter_is_end (iter); i++)
    {
      EnRequest *request = g_sequence_get (iter);

      iter = g_sequence_iter_next (iter);
      if (try_dispatch (request, data))
        return TRUE;
    }
  return FALSE;
}

void
en_queue_run (EnQueue *self, EnQueueTryFunc try_dispatch, gpointer data)
{
  Flow *flow;

  for (guint i = 0; i < self->flows->len; i++)
    ((Flow *)g_ptr_array_index (self->flows, i))->blocked = FALSE;
  while ((flow = next_flow (self)) != NULL)
    flow->blocked = !try_heads (self, flow, try_dispatch, data);
  drop_empty_flows (self);
}

guint
en_queue_length (const EnQueue *self)
{
  return self->length;
}

EnWaiting
en_queue_waiting (const EnQueue *self, const char *service, EnLane lane)
{
  EnWaiting waiting = { 0 };

  for (guint i = 0; i < self->flows->len; i++)
    {
      const Flow *flow = g_ptr_array_index (self->flows, i);

      if (flow->lane != lane || strcmp (flow->service, service) != 0)
        continue;
      waiting.tokens += flow->waiting.tokens;
      waiting.prefill += flow->waiting.prefill;
      waiting.count += flow->waiting.count;
      waiting.largest = MAX (waiting.largest, flow->waiting.largest);
    }
  return waiting;
}

static guint64
prefill_before (const Flow *flow, KnlTime deadline)
{
  GSequenceIter *iter = g_sequence_get_begin_iter (flow->requests);
  guint64 tokens = 0;

  for (; !g_sequence_iter_is_end (iter); iter = g_sequence_iter_next (iter))
    {
      const EnRequest *request = g_sequence_get (iter);

      if (request->deadline > deadline)
        break;
      tokens += request->need.prefill;
    }
  return tokens;
}

EnBacklog
en_queue_backlog (const EnQueue *self,
                  const char *service,
                  EnLane lane,
                  const char *workspace,
                  KnlTime deadline)
{
  EnBacklog backlog = { 0 };
  gint64 own = en_shares_weight (self->shares, workspace);
  gint64 others = 0;

  for (guint i = 0; i < self->flows->len; i++)
    {
      const Flow *flow = g_ptr_array_index (self->flows, i);

      if (flow->lane != lane || strcmp (flow->service, service) != 0)
        continue;
      if (strcmp (flow->workspace, workspace) == 0)
        backlog.prefill = prefill_before (flow, deadline);
      else if (flow->waiting.count > 0)
        others += en_shares_weight (self->shares, flow->workspace);
    }
  backlog.share = (double)own / (double)(own + others);
  return backlog;
}

guint64
en_queue_workspace_tokens (const EnQueue *self, const char *workspace)
{
  guint64 tokens = 0;

  for (guint i = 0; i < self->flows->len; i++)
    {
      const Flow *flow = g_ptr_array_index (self->flows, i);

      if (strcmp (flow->workspace, workspace) == 0)
        tokens += flow->waiting.tokens;
    }
  return tokens;
}

void
en_queue_foreach (const EnQueue *self,
                  void (*func) (EnRequest *request, gpointer data),
                  gpointer data)
{
  for (guint i = 0; i < self->flows->len; i++)
    g_sequence_foreach (((Flow *)g_ptr_array_index (self->flows, i))->requests, (GFunc)func, data);
}
