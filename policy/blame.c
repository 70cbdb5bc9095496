#include "policy/blame.h"

#include <stdlib.h>

/* Moments from which on losses are no coincidence. */
#define MIN_MOMENTS 3

/* The same if something else is common to all losses: it is soon told apart by a crash without it,
 * or by an answer. Every crash that is waited for ends another endpoint. */
#define MIN_MOMENTS_AMBIGUOUS 5

/* Moments that aren't behind any one request, which may crash endpoints by itself, or may have met
 * the one at fault with each retry. */
#define MIN_OTHERS 2

static int
compare_times (const void *a, const void *b)
{
  KnlTime left = ((const PolBlameLoss *)a)->lost_at;
  KnlTime right = ((const PolBlameLoss *)b)->lost_at;

  return (left > right) - (left < right);
}

gboolean
pol_blame_has_request (const PolBlameLoss *loss, guint64 request)
{
  for (guint i = 0; i < loss->n_requests; i++)
    {
      if (loss->requests[i] == request)
        return TRUE;
    }
  return FALSE;
}

gboolean
pol_blame_add_request (PolBlameLoss *loss, guint64 request)
{
  if (loss->n_requests >= POL_BLAME_REQUESTS || pol_blame_has_request (loss, request))
    return FALSE;
  loss->requests[loss->n_requests++] = request;
  return TRUE;
}

/* The next loss that begins a moment; `n`: there is none. `last`: the one before it; `n`: none.
 * `without`: leaves out the losses of that request; NULL: none. */
static guint
next_moment (const PolBlameLoss *losses, guint n, guint last, const guint64 *without)
{
  for (guint i = last < n ? last + 1 : 0; i < n; i++)
    {
      if (without != NULL && pol_blame_has_request (&losses[i], *without))
        continue;
      if (last == n || losses[i].lost_at - losses[last].lost_at >= POL_BLAME_MOMENT)
        return i;
    }
  return n;
}

static guint
count_moments (const PolBlameLoss *losses, guint n, const guint64 *without)
{
  guint moments = 0;

  for (guint i = next_moment (losses, n, n, without); i < n;
       i = next_moment (losses, n, i, without))
    moments++;
  return moments;
}

guint
pol_blame_pick_moments (const PolBlameLoss *losses, guint n, PolBlameLoss *picked, guint max)
{
  guint n_picked = 0;

  for (guint i = next_moment (losses, n, n, NULL); i < n && n_picked < max;
       i = next_moment (losses, n, i, NULL))
    picked[n_picked++] = losses[i];
  return n_picked;
}

static guint
count_others (const PolBlameLoss *losses, guint n, guint moments)
{
  guint others = moments;

  for (guint i = 0; i < n; i++)
    {
      for (guint j = 0; j < losses[i].n_requests; j++)
        others = MIN (others, count_moments (losses, n, &losses[i].requests[j]));
    }
  return others;
}

PolBlame
pol_blame_weigh (PolBlameLoss *losses, guint n)
{
  PolBlame blame;

  qsort (losses, n, sizeof *losses, compare_times);
  blame.moments = count_moments (losses, n, NULL);
  blame.others = count_others (losses, n, blame.moments);
  return blame;
}

gboolean
pol_blame_is_shown_of_request (const PolBlame *blame)
{
  return blame->moments >= MIN_MOMENTS;
}

gboolean
pol_blame_is_shown (const PolBlame *blame, gboolean is_ambiguous)
{
  return blame->others >= MIN_OTHERS
         && blame->moments >= (is_ambiguous ? MIN_MOMENTS_AMBIGUOUS : MIN_MOMENTS);
}
