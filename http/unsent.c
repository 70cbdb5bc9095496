#include "http/unsent.h"

#include "common/log.h"

/* Interval between two marks: a caller that reads 1 MB a second empties a paused stream's buffer in
 * that time. */
#define MARK_INTERVAL (250 * KNL_MSEC)

struct HtUnsent
{
  KnlKernel *kernel;
  gsize bound;
  gsize bytes;
  GPtrArray *holders; /* HtHolder */
  KnlTimerId end_timer;
  KnlTimerId mark_timer;
};

static gboolean
is_greater (const HtHolding *holding, const HtHolding *other)
{
  return holding->old != other->old ? holding->old > other->old : holding->held > other->held;
}

gint
ht_unsent_choose (const HtHolding *holdings, guint n, gsize bound)
{
  gsize sum = 0;
  gint most = -1;

  for (guint i = 0; i < n; i++)
    {
      sum += holdings[i].held;
      if (holdings[i].held > 0 && (most < 0 || is_greater (&holdings[i], &holdings[most])))
        most = (gint)i;
    }
  return bound > 0 && sum >= bound ? most : -1;
}

static gsize
held_by (const HtHolder *self)
{
  return self->output + self->body;
}

static HtHolder *
choose (const HtUnsent *self)
{
  HtHolding *holdings = g_new (HtHolding, self->holders->len);
  gint chosen;

  for (guint i = 0; i < self->holders->len; i++)
    {
      const HtHolder *holder = g_ptr_array_index (self->holders, i);

      holdings[i] = (HtHolding){ .held = held_by (holder), .old = holder->old };
    }
  chosen = ht_unsent_choose (holdings, self->holders->len, self->bound);
  g_free (holdings);
  return chosen >= 0 ? g_ptr_array_index (self->holders, (guint)chosen) : NULL;
}

/* The end of a connection may end others, such as the one to the endpoint that answers its request,
 * so each choice is made from the connections that are left. */
static void
on_bound_reached (gpointer data)
{
  HtUnsent *self = data;

  self->end_timer = 0;
  for (HtHolder *holder = choose (self); holder != NULL; holder = choose (self))
    {
      g_autofree char *address = holder->klass->address (holder);

      cm_log (CM_LOG_NOTICE, "slow-reader-ended", "s", "address", address, "i", "bytes",
              (gint64)held_by (holder), "i", "sum", (gint64)self->bytes, "i", "bound",
              (gint64)self->bound);
      holder->klass->end (holder);
    }
}

static void
on_mark (gpointer data)
{
  HtUnsent *self = data;

  for (guint i = 0; i < self->holders->len; i++)
    {
      HtHolder *holder = g_ptr_array_index (self->holders, i);

      holder->old = holder->marked;
      holder->marked = held_by (holder);
    }
  self->mark_timer = knl_timer_start (self->kernel, MARK_INTERVAL, on_mark, self);
}

/* The bytes that were held first are the first to go. */
static void
remove_oldest (HtHolder *self, gsize bytes)
{
  self->marked -= MIN (self->marked, bytes);
  self->old -= MIN (self->old, bytes);
}

/* Connections are ended from the loop: the bytes are added in callbacks that still use the
 * connection. */
static void
add (HtUnsent *self, gsize added, gsize removed)
{
  self->bytes += added - removed;
  if (self->bound > 0 && self->bytes >= self->bound && self->end_timer == 0)
    self->end_timer = knl_timer_start (self->kernel, 0, on_bound_reached, self);
}

static void
on_output_changed (struct evbuffer *buffer, const struct evbuffer_cb_info *info, void *data)
{
  HtHolder *self = data;

  self->output += info->n_added - info->n_deleted;
  remove_oldest (self, info->n_deleted);
  add (self->sum, info->n_added, info->n_deleted);
}

HtUnsent *
ht_unsent_new (KnlKernel *kernel, gsize bound)
{
  HtUnsent *self = g_new0 (HtUnsent, 1);

  self->kernel = kernel;
  self->bound = bound;
  self->holders = g_ptr_array_new ();
  if (bound > 0)
    self->mark_timer = knl_timer_start (kernel, MARK_INTERVAL, on_mark, self);
  return self;
}

void
ht_unsent_free (HtUnsent *self)
{
  if (self == NULL)
    return;
  knl_timer_stop (self->kernel, &self->end_timer);
  knl_timer_stop (self->kernel, &self->mark_timer);
  g_ptr_array_unref (self->holders);
  g_free (self);
}

gsize
ht_unsent_bytes (const HtUnsent *self)
{
  return self->bytes;
}

gboolean
ht_unsent_is_bounded (const HtUnsent *self)
{
  return self != NULL && self->bound > 0;
}

void
ht_holder_join (HtHolder *self, HtUnsent *sum, const HtHolderClass *klass, struct evbuffer *output)
{
  *self = (HtHolder){ .klass = klass, .sum = sum, .buffer = output };
  if (sum == NULL)
    return;
  self->index = sum->holders->len;
  g_ptr_array_add (sum->holders, self);
  self->watch = evbuffer_add_cb (output, on_output_changed, self);
}

void
ht_holder_leave (HtHolder *self)
{
  HtUnsent *sum = self->sum;

  if (sum == NULL)
    return;
  add (sum, 0, held_by (self));
  evbuffer_remove_cb_entry (self->buffer, self->watch);
  g_ptr_array_remove_index_fast (sum->holders, self->index);
  if (self->index < sum->holders->len)
    ((HtHolder *)g_ptr_array_index (sum->holders, self->index))->index = self->index;
  self->sum = NULL;
}

void
ht_holder_set_body (HtHolder *self, gsize bytes)
{
  gsize before = self->body;

  if (self->sum == NULL)
    return;
  self->body = bytes;
  remove_oldest (self, before - MIN (before, bytes));
  add (self->sum, bytes, before);
}
