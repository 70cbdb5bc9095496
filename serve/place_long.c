/** Places long prompts: chooses the engine that runs one, and the helpers that prefill parts of it
 * and hold parts of its context. */

#include <math.h>
#include <xxhash.h>

#include "serve/router_internal.h"

/* Costs in ms when choosing the endpoint to run a long prompt: of a memory full of contexts (less
 * in proportion), and of having no free slot or too little free memory. */
#define RUN_MEMORY_COST 300.0
#define OVERLOAD_COST   20000.0

/* Cost in ms of a cold endpoint, which runs slower at first than its load says. A backlog that is
 * longer costs more, and so does having no free slot. */
#define COLD_COST 2000.0

/* Endpoints whose costs for running a long prompt differ by less than this, in ms, count as about
 * equal, and each request prefers a different one: two prompts at the same endpoint often need more
 * memory than it has, and the second would wait there until the first has been answered. */
#define RUN_NOISE_COST 300.0

/* Cost in ms of running a long prompt at an endpoint that is twice as slow as others, in proportion
 * to the slowdown; the most that it costs is less than running it among packed streams. */
#define RUN_SLOW_COST     1000.0
#define MAX_RUN_SLOW_COST 1800.0

/* Between those of SV_ROLE_DECODE and SV_ROLE_PACKED. */
#define SLOW_HELPER_RANK 1.5

/* A prompt that exceeds the free memory of the endpoint that runs it is held by several endpoints:
 * by the first with FIRST_HOLD_FRACTION of its free memory, by each helper with at most
 * HELPER_HOLD_FRACTION of its free memory and at least MIN_HOLD_TOKENS tokens. */
#define FIRST_HOLD_FRACTION  0.9
#define HELPER_HOLD_FRACTION 0.6
#define MIN_HOLD_TOKENS      4000.0

/* A gap begins to count as late at this fraction of a stream's gap objective, and fully at 1. */
#define GAP_LATE_START 0.85

/* Position of the candidate's role in the order of helpers. Slow ones come after all others that
 * aren't packed: a prompt waits for its slowest part. */
static double
helper_rank (const SvCandidate *candidate)
{
  return candidate->pace > 1 && candidate->role != SV_ROLE_PACKED ? SLOW_HELPER_RANK
                                                                  : candidate->role;
}

static int
compare_for_prefill (gconstpointer a, gconstpointer b)
{
  const SvCandidate *x = a;
  const SvCandidate *y = b;

  if (x->can_help != y->can_help)
    return x->can_help ? -1 : 1;
  if (helper_rank (x) != helper_rank (y))
    return helper_rank (x) < helper_rank (y) ? -1 : 1;
  if (x->pace != y->pace)
    return x->pace < y->pace ? -1 : 1;
  if (x->order != y->order)
    return x->order < y->order ? -1 : 1;
  return x->endpoint->key > y->endpoint->key ? -1 : 1;
}

static double
ramp (double value, double from, double to)
{
  return CLAMP ((value - from) / (to - from), 0, 1);
}

/* Streams with gaps of the class at the candidate; on a packed endpoint those that are expected to
 * arrive until the prompt is read, too. */
static double
streams_of (const SvChoice *choice, const SvCandidate *candidate, SvGapClass class)
{
  double streams = candidate->load.decoding_streams[class];

  if (class == SV_GAP_TIGHT && candidate->role == SV_ROLE_PACKED)
    return MAX (streams, choice->packed_mean);
  return streams;
}

/* A number of parts into which a prefill may be split, with its consequences. */
typedef struct
{
  guint n;
  double expected; /* time to the first event, ms */
  double delays; /* of the streams there: by the parts, and by gaps beyond what they tolerate, ms */
  double late_streams; /* streams that the parts make late */
} Width;

/* Adds what the part does to the candidate's streams, whose gap it makes `after` ms long; it is
 * `before` without it. Those that are only close to the gap that they tolerate are late in part. */
static void
add_harm (const SvChoice *choice,
          const SvCandidate *candidate,
          double before,
          double after,
          Width *width)
{
  for (guint i = 0; i < SV_N_GAP_CLASSES; i++)
    {
      double gap = (double)choice->demand->config->shortest_gaps[i] / KNL_MSEC;
      double start = GAP_LATE_START * gap;
      double streams = streams_of (choice, candidate, i);

      width->late_streams += streams * (ramp (after, start, gap) - ramp (before, start, gap));
      width->delays += streams * (after - before + MAX (after - MAX (before, gap), 0));
    }
}

/* Splits the prefill into `n` parts at the first candidates. */
static Width
width_of (const SvChoice *choice, guint n)
{
  Width width = { .n = n };

  for (guint i = 0; i < n; i++)
    {
      const SvCandidate *candidate = sv_candidate_at (choice, i);
      double before = candidate->prefill_left + candidate->pass;
      double after = before + choice->prefill_ms / n * candidate->pace;

      width.expected = MAX (width.expected, after);
      add_harm (choice, candidate, before, after, &width);
    }
  return width;
}

/* Cost of a width in ms: the delays of all callers, its own included. */
static double
cost_of_width (const Width *width)
{
  return width->expected + width->delays;
}

/*
 * Returns a pseudo-random value from 0 to 1 that is fixed for a pair of request
 * and endpoint. Instances that place requests at the same time learn of each
 * other's choice some ms later; without the noise they would all choose the one
 * endpoint that looks best.
 */
static double
noise_of (const SvChoice *choice, const SvCandidate *candidate)
{
  guint64 pair[2] = { choice->demand->seed, candidate->endpoint->key };

  return (double)(XXH64 (pair, sizeof pair, 0) >> 11) / 0x1p53;
}

/* Cost of running a long prompt at an endpoint, in ms. */
static double
cost_of_running (const SvChoice *choice, const SvCandidate *candidate)
{
  static const double role_cost[] = {
    [SV_ROLE_PREFILL] = 1000,
    [SV_ROLE_DECODE] = 0,
    [SV_ROLE_PACKED] = 3000,
  };
  double cost = candidate->prefill_left + candidate->pass + role_cost[candidate->role];

  cost += MIN (RUN_SLOW_COST * (candidate->pace - 1), MAX_RUN_SLOW_COST);
  if (sv_candidate_misses_gap (choice, candidate))
    cost += OVERLOAD_COST;
  cost += RUN_NOISE_COST * noise_of (choice, candidate);
  cost += RUN_MEMORY_COST * (double)candidate->load.tokens / (double)choice->spec->memory_tokens;
  if (candidate->is_cold)
    cost += COLD_COST;
  if (candidate->load.calls >= choice->spec->slots)
    cost += OVERLOAD_COST;
  return sv_candidate_has_memory (choice, candidate) ? cost : cost + OVERLOAD_COST;
}

/* Sorts the candidates: the one to run the prompt first, then the possible helpers, best first. */
static void
sort_candidates (const SvChoice *choice)
{
  guint best = 0;
  double min_cost = G_MAXDOUBLE;
  SvCandidate first;

  g_array_sort (choice->candidates, compare_for_prefill);
  for (guint i = 0; i < choice->candidates->len; i++)
    {
      double cost = cost_of_running (choice, sv_candidate_at (choice, i));

      if (cost >= min_cost)
        continue;
      min_cost = cost;
      best = i;
    }
  first = *sv_candidate_at (choice, best);
  g_array_remove_index (choice->candidates, best);
  g_array_prepend_val (choice->candidates, first);
}

/* Tokens that the candidate can reserve for a prompt that another endpoint runs. */
static double
holdable_tokens (const SvChoice *choice, const SvCandidate *candidate)
{
  double free_tokens = sv_candidate_free_tokens (choice, candidate);

  return free_tokens * HELPER_HOLD_FRACTION < MIN_HOLD_TOKENS ? 0
                                                              : free_tokens * HELPER_HOLD_FRACTION;
}

/* Tokens of the prompt and its answer that the first candidate can't hold. */
static double
overflow_of (const SvChoice *choice)
{
  const SvCandidate *first = sv_candidate_at (choice, 0);
  double free_tokens = sv_candidate_free_tokens (choice, first);
  double need = (double)(choice->demand->prompt_tokens + choice->demand->answer_tokens);

  return sv_candidate_has_memory (choice, first)
             ? 0
             : need - FIRST_HOLD_FRACTION * MAX (free_tokens, 0);
}

/* Number of endpoints that may prefill the prompt: the first candidate and all possible helpers. */
static guint
count_prefill_endpoints (const SvChoice *choice)
{
  guint n = 1;

  for (guint i = 1; i < choice->candidates->len; i++)
    n += sv_candidate_at (choice, i)->role != SV_ROLE_PACKED
         && sv_candidate_at (choice, i)->can_help;
  return n;
}

/* Smallest number of endpoints whose free memory holds the prompt. */
static guint
min_width (const SvChoice *choice)
{
  double remaining = overflow_of (choice);
  guint n = 1;

  while (remaining > 0 && n < count_prefill_endpoints (choice) && n <= SV_MAX_HELPERS)
    remaining -= holdable_tokens (choice, sv_candidate_at (choice, n++));
  return n;
}

/* An endpoint more is used only if the first event comes sooner by it: slow and busy ones don't
 * make the prompt wait for their parts. */
static Width
choose_width (const SvChoice *choice)
{
  guint max_width = MIN (count_prefill_endpoints (choice), SV_MAX_HELPERS + 1);
  Width best = width_of (choice, MIN (min_width (choice), max_width));
  double shortest = best.expected;

  for (guint n = best.n + 1; n <= max_width; n++)
    {
      Width width = width_of (choice, n);

      if (width.expected >= shortest)
        continue;
      shortest = width.expected;
      if (cost_of_width (&width) < cost_of_width (&best))
        best = width;
    }
  return best;
}

/* Time to the first event in ms once nothing else is read at the endpoints that may read it. */
static double
shortest_time (const SvChoice *choice)
{
  guint n = MIN (count_prefill_endpoints (choice), SV_MAX_HELPERS + 1);
  const SvCandidate *first = sv_candidate_at (choice, 0);

  return choice->prefill_ms / n * first->pace + first->pass;
}

/* Distributes the tokens that the first endpoint can't hold over the helpers. */
static void
spread_memory (const SvChoice *choice, SvPlacement *placement)
{
  double overflow = overflow_of (choice);
  double remaining = overflow;

  for (guint i = 0; i < placement->n_helpers && remaining > 0; i++)
    {
      double hold = MIN (holdable_tokens (choice, sv_candidate_at (choice, i + 1)),
                         MAX (remaining, MIN_HOLD_TOKENS));

      placement->holds[i] = (guint64)ceil (hold);
      remaining -= hold;
    }
  placement->load.tokens -= (guint64)overflow;
  placement->lacks_memory = remaining > 0;
}

/* Whether the prompt needs more memory than the endpoints that may hold it have when they are
 * empty; one endpoint at least is packed with short streams. */
static gboolean
exceeds_memory (const SvChoice *choice)
{
  guint n_helpers = MIN (MAX (choice->candidates->len, 2) - 2, SV_MAX_HELPERS);
  double parts = FIRST_HOLD_FRACTION + n_helpers * HELPER_HOLD_FRACTION;
  double need = (double)(choice->demand->prompt_tokens + choice->demand->answer_tokens);

  return need > parts * SV_USABLE_MEMORY_FRACTION * (double)choice->spec->memory_tokens;
}

/* Mean duration of a pass without prefill by the declared figures, in ms, 0 for idle endpoints.
 * Prefill takes place within passes, whose decoding takes time too. */
static double
mean_pass (const SvChoice *choice, guint width)
{
  double sum = 0;

  for (guint i = 0; i < width; i++)
    {
      if (sv_load_decoding_streams (&sv_candidate_at (choice, i)->load) > 0)
        sum += sv_candidate_at (choice, i)->pass / sv_candidate_at (choice, i)->pace;
    }
  return sum / width;
}

void
sv_place_long (const SvChoice *choice, SvPlacement *placement)
{
  Width width;

  sort_candidates (choice);
  width = choose_width (choice);
  placement->first = sv_candidate_at (choice, 0)->endpoint;
  for (guint i = 1; i < width.n; i++)
    placement->helpers[placement->n_helpers++] = sv_candidate_at (choice, i)->endpoint;
  spread_memory (choice, placement);
  placement->exceeds_memory = placement->lacks_memory && exceeds_memory (choice);
  for (guint i = 0; i < width.n; i++)
    placement->backlog =
        MAX (placement->backlog, (KnlTime)(sv_candidate_at (choice, i)->prefill_left * KNL_MSEC));
  placement->is_split = TRUE;
  placement->part = (KnlTime)(choice->prefill_ms / width.n * KNL_MSEC);
  placement->prefill = placement->part + (KnlTime)(mean_pass (choice, width.n) * KNL_MSEC);
  placement->expected = (KnlTime)(width.expected * KNL_MSEC);
  placement->shortest = (KnlTime)(MIN (shortest_time (choice), width.expected) * KNL_MSEC);
  placement->late_streams = width.late_streams;
}
