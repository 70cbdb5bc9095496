/** Places short prompts: streams with a tight gap objective are packed onto few engines. */

#include <math.h>

#include "serve/router_internal.h"

/* Passes that a short prompt occupies its endpoint in addition to its prefill: it arrives in the
 * middle of a pass on average. Without them, short prompts that arrive together would be placed at
 * one endpoint and share a pass that is too long for all of them. */
#define EXTRA_PASSES 0.5

/* Cost in ms of a slow endpoint whose streams miss their gap objective: more than any queue. */
#define MISSED_GAP_COST 20000.0

/* One of TRIED_STREAMS short streams goes to an idle endpoint of which nobody has a sample of the
 * last TRIED_INTERVAL, or TRIED_SLOW_INTERVAL if it counts as slow. */
#define TRIED_STREAMS       4
#define TRIED_INTERVAL      (10 * KNL_SEC)
#define TRIED_SLOW_INTERVAL (3 * KNL_SEC)

/* Cost of a candidate in ms: the time to the first event, plus penalties. At an endpoint that isn't
 * packed a long prompt may be read beside the stream, which pauses for as long as it tolerates
 * then.
 */
static double
cost_of_packing (const SvChoice *choice, const SvCandidate *candidate)
{
  double cost = candidate->prefill_left + choice->prefill_ms * candidate->pace + candidate->pass;

  if (candidate->load.calls + SV_PACK_SPARE_SLOTS > choice->spec->slots
      || !sv_candidate_has_memory (choice, candidate))
    cost += candidate->pass * (1 + candidate->load.calls);
  if (candidate->role != SV_ROLE_PACKED)
    cost += (double)choice->demand->gap_objective / KNL_MSEC;
  if (sv_candidate_misses_gap (choice, candidate))
    cost += MISSED_GAP_COST;
  return cost;
}

/* Cold endpoints come last: they run slower at first than their load says. */
static int
compare_for_packing (gconstpointer a, gconstpointer b)
{
  const SvCandidate *x = a;
  const SvCandidate *y = b;

  if (x->is_cold != y->is_cold)
    return x->is_cold ? 1 : -1;
  return x->order < y->order ? -1 : x->order > y->order;
}

static gboolean
is_full (const SvChoice *choice, const SvCandidate *candidate)
{
  return candidate->load.calls >= choice->spec->slots;
}

/* If the best candidate is full, so that the prompt would wait or be refused, moves the best one
 * with room to the front, also a cold one. Streams at a slow one may all be late: it isn't used. */
static void
prefer_room_to_queueing (const SvChoice *choice)
{
  for (guint i = 1; is_full (choice, sv_candidate_at (choice, 0)) && i < choice->candidates->len;
       i++)
    {
      SvCandidate candidate = *sv_candidate_at (choice, i);

      if (is_full (choice, &candidate) || !sv_candidate_has_memory (choice, &candidate)
          || sv_candidate_misses_gap (choice, &candidate))
        continue;
      g_array_remove_index (choice->candidates, i);
      g_array_prepend_val (choice->candidates, candidate);
    }
}

/* Time in ms that an endpoint spends on other work before it completes a part that it gets now. */
static double
time_before_part (const SvCandidate *candidate)
{
  return candidate->prefill_left + candidate->pass;
}

/* Whether the prompt would wait longer for a part at this slow candidate than it would without it.
 * `longest`: longest time_before_part() of the helpers so far. */
static gboolean
delays_prompt (const SvChoice *choice,
               const SvCandidate *candidate,
               const SvPlacement *placement,
               double longest)
{
  const SvCandidate *first = sv_candidate_at (choice, 0);
  double part = choice->prefill_ms / (placement->n_helpers + 2);
  double without = choice->prefill_ms / (placement->n_helpers + 1) * first->pace
                   + MAX (time_before_part (first), longest);

  return candidate->pace > 1 && time_before_part (candidate) + part * candidate->pace > without;
}

/* Adds the best candidates that may help until the prompt is split into `parts`. Returns the
 * longest time_before_part() among them. */
static double
add_packed_helpers (const SvChoice *choice, guint parts, SvPlacement *placement)
{
  double longest = 0;

  for (guint i = 1; i < choice->candidates->len && placement->n_helpers + 1 < parts; i++)
    {
      const SvCandidate *candidate = sv_candidate_at (choice, i);

      if (!candidate->can_help || delays_prompt (choice, candidate, placement, longest))
        continue;
      placement->helpers[placement->n_helpers++] = candidate->endpoint;
      longest = MAX (longest, time_before_part (candidate));
    }
  return longest;
}

/* Whether a stream at the idle candidate would tell how slow it is: nothing is known, or it was
 * slow when it was last used. */
static gboolean
would_tell_pace (const SvChoice *choice, const SvCandidate *candidate)
{
  const PolPace *pace = &candidate->endpoint->pace;
  KnlTime interval = candidate->pace > 1 ? TRIED_SLOW_INTERVAL : TRIED_INTERVAL;
  double first = choice->prefill_ms * candidate->pace + candidate->pass;

  return candidate->load.calls == 0 && candidate->prefill_left <= 0 && candidate->can_help
         && choice->now - pol_pace_newest (pace) > interval
         && first * KNL_MSEC < (double)choice->demand->event_left
         && !sv_candidate_misses_gap (choice, candidate);
}

/*
 * Only streams show how slow an endpoint is. Parts of prompts that others run don't, and all
 * prompts with a part at a slow endpoint would be late. Where some endpoint of the service is slow,
 * a few short streams therefore go to idle endpoints, those that count as slow included.
 */
static SvCandidate *
candidate_to_try (const SvChoice *choice)
{
  guint64 chosen = choice->demand->seed;
  gboolean has_slow = FALSE;
  guint n = choice->candidates->len;

  for (guint i = 0; i < n; i++)
    has_slow |= sv_candidate_at (choice, i)->pace > 1;
  if (!has_slow || chosen % TRIED_STREAMS != 0)
    return NULL;
  for (guint i = 0; i < n; i++)
    {
      SvCandidate *candidate = sv_candidate_at (choice, (guint)((chosen / TRIED_STREAMS + i) % n));

      if (would_tell_pace (choice, candidate))
        return candidate;
    }
  return NULL;
}

/* The longer ones of the short prompts are split too; packed endpoints are preferred as helpers. */
void
sv_place_short (const SvChoice *choice, SvPlacement *placement)
{
  guint parts = CLAMP ((guint)ceil (choice->prefill_ms / SV_SPLIT_MS), 1, SV_MAX_HELPERS + 1);
  const SvCandidate *first;
  double wait;
  double before;
  SvCandidate *tried = candidate_to_try (choice);
  double part_ms;

  for (guint i = 0; i < choice->candidates->len; i++)
    sv_candidate_at (choice, i)->order = cost_of_packing (choice, sv_candidate_at (choice, i));
  if (tried != NULL)
    tried->order = 0;
  g_array_sort (choice->candidates, compare_for_packing);
  prefer_room_to_queueing (choice);
  first = sv_candidate_at (choice, 0);
  placement->first = first->endpoint;
  placement->is_full = is_full (choice, first);
  /* MAX evaluates its arguments twice. */
  wait = add_packed_helpers (choice, parts, placement);
  before = MAX (time_before_part (first), wait);
  part_ms = choice->prefill_ms / (placement->n_helpers + 1);
  placement->part = (KnlTime)(part_ms * KNL_MSEC);
  /* By the declared figures: it is registered at each endpoint with the endpoint's pace. */
  placement->prefill =
      placement->part + (KnlTime)(EXTRA_PASSES * (first->pass / first->pace) * KNL_MSEC);
  placement->shortest = placement->expected =
      (KnlTime)((before + part_ms * first->pace) * KNL_MSEC);
}
