#include "policy/cold_start.h"

#include <math.h>

/* A sender that hears at least this fraction of the instances has the same view as the others, so
 * that the tokens which senders start with are bounded by their number. */
#define MIN_HEARD_TO_START 0.9

/* An instance that becomes a sender later begins to fill its bucket after this time at least: the
 * one that it replaces may learn of the change up to two heartbeats later and sends until then. In
 * large cells heartbeats are rare, and it is the time in which all notice a dead instance. */
#define MIN_HANDOVER (1 * KNL_SEC)

/* Longest wait that is stated, also at rates close to 0. */
#define MAX_WAIT (3600 * KNL_SEC)

guint
pol_cold_max_senders (double rate, double bound, guint instances)
{
  double senders = floor ((bound - rate) / 2);

  return (guint)CLAMP (senders, 1, MAX (instances, 1));
}

/* Whether the instances that are heard may have a sender at all: there may be as many sides of a
 * partition as instances, and if each had one, each would send a request at once. */
static gboolean
may_have_sender (const PolColdView *view, guint64 part)
{
  /* The bound leaves no room for the senders of a second side. */
  if (view->bound - view->rate < 2)
    return 2 * view->heard > view->known;
  return 2 * part >= view->known;
}

/* Each side of a partition has senders by its part of the instances, and at least one if that part
 * is half a sender or more, so that all sides together have at most twice the largest number. */
static guint
count_senders (const PolColdView *view)
{
  guint known = MAX (view->known, 1);
  guint64 part = (guint64)pol_cold_max_senders (view->rate, view->bound, known) * view->heard;

  return may_have_sender (view, part) ? (guint)MAX (part / known, 1) : 0;
}

/* Number of cells with more than `size` instances. With `before`, only those that come before it.
 */
static guint
count_larger (const PolColdView *view, guint size, const PolColdCell *before)
{
  guint n = 0;

  for (guint i = 0; i < view->n_cells; i++)
    n +=
        view->cells[i].instances > size && (before == NULL || view->cells[i].order > before->order);
  return n;
}

/* Distributes the senders one by one over the cells in their order, as long as each has instances
 * left; returns the number for the own cell. It doesn't depend on the cells' sizes unless they are
 * small, so that most changes of members change no senders of other cells. */
static guint
count_own_senders (const PolColdView *view, guint n_senders)
{
  const PolColdCell *own = &view->cells[view->own];

  for (guint round = 0;; round++)
    {
      guint cells = count_larger (view, round, NULL);

      if (own->instances <= round)
        return own->instances;
      if (n_senders < cells)
        return round + (count_larger (view, round, own) < n_senders);
      n_senders -= cells;
    }
}

PolColdShare
pol_cold_share (const PolColdView *view)
{
  double fraction = MIN ((double)view->heard / MAX (view->known, 1), 1);
  PolColdShare share = {
    .n_senders = count_senders (view),
    .hears_most = fraction >= MIN_HEARD_TO_START,
    .handover = MAX (view->detection_time, MIN_HANDOVER),
  };

  share.is_sender = share.n_senders > 0 && view->rank < count_own_senders (view, share.n_senders);
  if (share.is_sender)
    share.rate = view->rate * fraction / share.n_senders;
  return share;
}

static void
fill (PolColdBucket *self, KnlTime now)
{
  if (now <= self->filled_at)
    return;
  self->tokens += self->share.rate * (double)(now - self->filled_at) / KNL_SEC;
  self->tokens = MIN (self->tokens, 1);
  self->filled_at = now;
}

void
pol_cold_bucket_start (PolColdBucket *self, const PolColdShare *share, KnlTime now)
{
  self->share = *share;
  self->tokens = share->is_sender && share->hears_most ? 1 : 0;
  self->filled_at = now;
}

void
pol_cold_bucket_update (PolColdBucket *self, const PolColdShare *share, KnlTime now)
{
  gboolean was_sender = self->share.is_sender;

  fill (self, now);
  self->share = *share;
  if (was_sender == share->is_sender)
    return;
  self->tokens = MIN (self->tokens, 0);
  if (share->is_sender)
    self->filled_at = now + share->handover;
}

void
pol_cold_bucket_charge (PolColdBucket *self, guint n)
{
  self->tokens -= n;
}

KnlTime
pol_cold_bucket_wait (PolColdBucket *self, KnlTime now)
{
  double missing;
  double wait;

  if (!self->share.is_sender)
    return KNL_NEVER;
  fill (self, now);
  missing = 1 - self->tokens;
  if (missing <= 0)
    return 0;
  wait = MIN (missing / self->share.rate * KNL_SEC, (double)MAX_WAIT);
  return (KnlTime)wait + 1 + MAX (self->filled_at - now, 0);
}
