#include "serve/router.h"

#include <math.h>
#include <xxhash.h>

#include "policy/plain.h"
#include "serve/engine_model.h"

/* Prompts that take longer to read are read in parts by several endpoints; shorter ones stretch a
 * pass by less than its own length. */
#define SPLIT_MS 60.0

/* Streams with short pauses on one endpoint that packing aims at, and endpoints that it keeps free
 * beyond that for what comes before the next count. */
#define PACKED_STREAMS 13.0
#define PACKED_SPARE   0

/* Of the endpoints, the part that is never packed. */
#define UNPACKED_PART 0.12

/* Passes that a short prompt keeps its endpoint busy beside its reading: it begins in the middle of
 * one on average. Without them short prompts that come together go to one endpoint and share a pass
 * that is too long for all. */
#define PACKED_PASSES 0.5

/* Of the memory of the endpoints that run long prompts, what their contexts are to take. */
#define WRITE_PART 0.8

/* What a memory full of contexts costs when an endpoint is chosen to run a long prompt, and what it
 * costs to have no room, in ms. */
#define RUN_MEMORY_COST 300.0
#define NO_ROOM_COST    20000.0

/* Part of a first event's objective that sending a short prompt across the border costs. */
#define BORDER_PART 0.5

/* Slots of an endpoint that packing leaves free for what other instances send meanwhile. */
#define PACK_SPARE_SLOTS 3

/* Endpoints whose costs for running a long prompt differ by less than this, in ms, are about equal:
 * two prompts that take the same one often need more memory than it has, and the second waits there
 * until the first has been answered. */
#define RUN_SPREAD 300.0

/* Of an endpoint's memory, what is counted on; contexts are known only roughly. */
#define MEMORY_PART 0.9

/* A prompt larger than that is held by several: by the first one with this part of its room, by
 * each of the others with that one, and not for less than so many tokens. */
#define HOLD_FIRST 0.9
#define HOLD_PART  0.6
#define HOLD_LEAST 4000.0

/* Streams whose endpoint reads this long for others count as one made late: they take so much
 * longer and keep their memory meanwhile. */
#define SLOWDOWN_MS 600.0

/* A pause begins to harm at this part of what a stream bears, and harms fully at 1. */
#define HARM_FROM 0.85

/* A first event is in danger from this part of its objective on. */
#define LATE_FROM 0.5

/* What an objective's length of waiting costs against a stream made late: breaks ties. */
#define WAIT_COST 10.0

/* Order in which endpoints are asked to read parts: reading left, and for each stream there: */
static const double stream_order_ms[SV_N_PAUSES] = { 40, 10, 3 };

/* Of a service's endpoints, the part that must be left when told losses are believed. */
#define BELIEVED_PART 0.5

/* What an endpoint is for at the moment, by its place in the order. */
typedef enum
{
  ROLE_READ,   /* it reads parts of long prompts */
  ROLE_WRITE,  /* it runs them, and reads its own part */
  ROLE_PACKED, /* streams with short pauses are kept here */
} Role;

typedef struct
{
  SvEndpoint *endpoint;
  SvLoad load;
  double read_left; /* ms */
  double pass;      /* ms, without reading */
  double order;     /* ms, see stream_order_ms */
  Role role;
  gboolean can_help; /* it may read parts of what others run */
} Candidate;

/* One choice, and what it goes by. */
typedef struct
{
  const SvDemand *demand;
  const SvEngineSpec *spec;
  GArray *candidates; /* Candidate */
  double read_ms;     /* of the whole prompt */
  double packed_mean; /* streams with short pauses on each packed endpoint */
} Choice;

static gboolean
is_excluded (const SvDemand *demand, const SvEndpoint *endpoint)
{
  return demand->excluded != NULL
         && g_ptr_array_find ((GPtrArray *)demand->excluded, endpoint, NULL);
}

static guint
n_writers (const SvLoad *load)
{
  guint sum = 0;

  for (guint i = 0; i < SV_N_PAUSES; i++)
    sum += load->writers[i];
  return sum;
}

static void
describe (const SvDemand *demand, SvEndpoint *endpoint, KnlTime now, Candidate *candidate)
{
  const SvEngineSpec *spec = &demand->service->engine;

  *candidate = (Candidate){ .endpoint = endpoint, .load = sv_endpoint_load (endpoint, now) };
  candidate->read_left = (double)sv_endpoint_read_left (endpoint, now) / KNL_MSEC;
  candidate->pass =
      sv_model_pass_ms (spec, n_writers (&candidate->load), (double)candidate->load.tokens);
  candidate->order = candidate->read_left;
  candidate->can_help = sv_endpoint_can_help (endpoint, now);
  for (guint i = 0; i < SV_N_PAUSES; i++)
    candidate->order += candidate->load.writers[i] * stream_order_ms[i];
}

/* Which endpoints are taken, from the best on. */
typedef enum
{
  TAKE_BELIEVED, /* usable, and not doubted by what instances tell each other */
  TAKE_USABLE,
  TAKE_LAST_RESORT,
} Take;

static gboolean
is_taken (const SvFleet *fleet, const SvEndpoint *endpoint, Take take, KnlTime now)
{
  switch (take)
    {
    case TAKE_BELIEVED:
      return sv_endpoint_usable (endpoint, now) && !sv_endpoint_is_doubted (endpoint, now);
    case TAKE_USABLE:
      return sv_endpoint_usable (endpoint, now);
    default:
      return sv_endpoint_last_resort (fleet, endpoint);
    }
}

static void
take_candidates (const SvFleet *fleet,
                 const SvDemand *demand,
                 Take take,
                 KnlTime now,
                 GArray *candidates)
{
  const GPtrArray *endpoints = sv_fleet_service (fleet, demand->service->name);

  g_array_set_size (candidates, 0);
  for (guint i = 0; endpoints != NULL && i < endpoints->len; i++)
    {
      SvEndpoint *endpoint = g_ptr_array_index (endpoints, i);
      Candidate candidate;

      if (is_excluded (demand, endpoint) || !is_taken (fleet, endpoint, take, now))
        continue;
      describe (demand, endpoint, now, &candidate);
      g_array_append_val (candidates, candidate);
    }
}

/*
 * When most endpoints are doubted the fault is more likely on the tellers' side,
 * and leaving all of them out would leave nothing to send to.
 */
static GArray *
collect (const SvFleet *fleet, const SvDemand *demand, KnlTime now)
{
  const GPtrArray *endpoints = sv_fleet_service (fleet, demand->service->name);
  GArray *candidates = g_array_new (FALSE, FALSE, sizeof (Candidate));

  take_candidates (fleet, demand, TAKE_BELIEVED, now, candidates);
  if (endpoints != NULL && candidates->len < BELIEVED_PART * endpoints->len)
    take_candidates (fleet, demand, TAKE_USABLE, now, candidates);
  if (candidates->len == 0)
    take_candidates (fleet, demand, TAKE_LAST_RESORT, now, candidates);
  return candidates;
}

static Candidate *
candidate_at (const Choice *choice, guint index)
{
  return &g_array_index (choice->candidates, Candidate, index);
}

/* Endpoints that stay free of streams with short pauses however many there are, so that a long
 * prompt always has a place where it makes none of them pause. */
static guint
unpacked_least (const Choice *choice)
{
  return (guint)(UNPACKED_PART * choice->candidates->len);
}

/* No more than the places that an engine has. */
static double
packed_streams (const Choice *choice)
{
  return choice->spec->slots > 0 ? MIN (PACKED_STREAMS, choice->spec->slots) : PACKED_STREAMS;
}

/*
 * Streams that bear only short pauses are kept on the first endpoints of an
 * order that is the same at all instances, on as many as they need; long prompts
 * are read by the others. Many streams on one endpoint cost next to nothing,
 * while a long prompt makes all streams beside it pause. The border follows the
 * load.
 */
static void
assign_roles (Choice *choice)
{
  double tight = 0;
  double tokens = 0;
  guint packed;
  guint writing;

  for (guint i = 0; i < choice->candidates->len; i++)
    {
      const Candidate *candidate = candidate_at (choice, i);

      tight += candidate->load.writers[SV_PAUSE_TIGHT];
      if (candidate->load.writers[SV_PAUSE_TIGHT] == 0)
        tokens += (double)candidate->load.tokens;
    }
  packed = (guint)ceil ((tight + 1) / packed_streams (choice)) + PACKED_SPARE;
  packed = MIN (packed, choice->candidates->len - unpacked_least (choice));
  writing = (guint)ceil ((tokens + 1) / (WRITE_PART * (double)choice->spec->memory_tokens)) + 1;
  for (guint i = 0; i < choice->candidates->len && i < packed + writing; i++)
    candidate_at (choice, i)->role = i < packed ? ROLE_PACKED : ROLE_WRITE;
  choice->packed_mean = tight / packed;
}

static gboolean
has_memory (const Choice *choice, const Candidate *candidate)
{
  guint64 need = choice->demand->prompt_tokens + choice->demand->answer_tokens;

  return (double)(candidate->load.tokens + need)
         <= MEMORY_PART * (double)choice->spec->memory_tokens;
}

/* Time to the first event, and what speaks against the endpoint besides, in ms. */
static double
cost_of_packing (const Choice *choice, const Candidate *candidate)
{
  double cost = candidate->read_left + choice->read_ms + candidate->pass;
  double objective = (double)choice->demand->objective_left / KNL_MSEC;

  if (candidate->load.calls + PACK_SPARE_SLOTS > choice->spec->slots
      || !has_memory (choice, candidate))
    cost += candidate->pass * (1 + candidate->load.calls);
  if (candidate->role != ROLE_PACKED)
    cost += BORDER_PART * objective;
  return cost;
}

static int
compare_for_packing (gconstpointer a, gconstpointer b)
{
  const Candidate *x = a;
  const Candidate *y = b;

  return x->order < y->order ? -1 : x->order > y->order;
}

static double
expected_of_part (const Candidate *candidate, double part_ms)
{
  return candidate->read_left + part_ms + candidate->pass;
}

/* Short prompts; the longer ones among them are read in parts by endpoints of their own kind. */
static void
place_packed (const Choice *choice, SvPlacement *placement)
{
  guint parts = (guint)ceil (choice->read_ms / SPLIT_MS);
  const Candidate *helpers[SV_HELPERS];
  double expected;

  for (guint i = 0; i < choice->candidates->len; i++)
    candidate_at (choice, i)->order = cost_of_packing (choice, candidate_at (choice, i));
  g_array_sort (choice->candidates, compare_for_packing);
  parts = CLAMP (parts, 1, SV_HELPERS + 1);
  placement->first = candidate_at (choice, 0)->endpoint;
  placement->is_full = candidate_at (choice, 0)->load.calls >= choice->spec->slots;
  for (guint i = 1; i < choice->candidates->len && placement->n_helpers + 1 < parts; i++)
    {
      if (candidate_at (choice, i)->can_help)
        helpers[placement->n_helpers++] = candidate_at (choice, i);
    }
  parts = placement->n_helpers + 1;
  expected = expected_of_part (candidate_at (choice, 0), choice->read_ms / parts);
  for (guint i = 0; i < placement->n_helpers; i++)
    {
      placement->helpers[i] = helpers[i]->endpoint;
      expected = MAX (expected, expected_of_part (helpers[i], choice->read_ms / parts));
    }
  placement->part = (KnlTime)(choice->read_ms / parts * KNL_MSEC);
  placement->read =
      placement->part + (KnlTime)(PACKED_PASSES * candidate_at (choice, 0)->pass * KNL_MSEC);
  placement->expected = (KnlTime)(expected * KNL_MSEC);
}

static int
compare_for_reading (gconstpointer a, gconstpointer b)
{
  const Candidate *x = a;
  const Candidate *y = b;

  if (x->can_help != y->can_help)
    return x->can_help ? -1 : 1;
  if (x->role != y->role)
    return x->role < y->role ? -1 : 1;
  if (x->order != y->order)
    return x->order < y->order ? -1 : 1;
  return x->endpoint->key > y->endpoint->key ? -1 : 1;
}

static double
ramp (double value, double from, double to)
{
  return CLAMP ((value - from) / (to - from), 0, 1);
}

/* Streams, counted as a whole at the full pause, that reading for `stretch` ms makes late. On a
 * packed endpoint those count too that will have come by then. */
static double
harm_of (const Choice *choice, const Candidate *candidate, double stretch)
{
  double harm = 0;

  for (guint i = 0; i < SV_N_PAUSES; i++)
    {
      double gap = (double)choice->demand->config->shortest_gaps[i] / KNL_MSEC;
      double writers = candidate->load.writers[i];

      if (i == SV_PAUSE_TIGHT && candidate->role == ROLE_PACKED)
        writers = MAX (writers, choice->packed_mean);
      harm += writers * ramp (stretch, HARM_FROM * gap, gap);
    }
  return harm;
}

/* What a request counts against one of usual size. */
static double
worth_of (const Choice *choice)
{
  const SvDemand *demand = choice->demand;
  double usual = choice->spec->usual_prompt + 10 * choice->spec->usual_answer;
  double size = (double)demand->prompt_tokens + 10 * (double)demand->answer_tokens;

  return usual <= 0 ? 1 : size / usual;
}

/* Cost, in streams made late, of reading in `n` parts at the first n candidates. */
static double
cost_of_width (const Choice *choice, guint n, double *expected)
{
  double part = choice->read_ms / n;
  double objective = (double)MAX (choice->demand->objective_left, KNL_MSEC) / KNL_MSEC;
  double finish = 0;
  double harm = 0;

  for (guint i = 0; i < n; i++)
    {
      const Candidate *candidate = candidate_at (choice, i);
      double stretch = candidate->read_left + part + candidate->pass;

      finish = MAX (finish, stretch);
      harm += harm_of (choice, candidate, stretch);
      harm += n_writers (&candidate->load) * (part / SLOWDOWN_MS);
    }
  *expected = finish;
  return harm + worth_of (choice) * ramp (finish, LATE_FROM * objective, objective)
         + WAIT_COST * finish / objective;
}

/*
 * Between 0 and 1, the same for a request and an endpoint, another one for other
 * requests. Instances that place at the same moment know of each other's choice
 * some ms later; without it all would take the one endpoint that looks best.
 */
static double
noise_of (const Choice *choice, const Candidate *candidate)
{
  guint64 pair[2] = { choice->demand->seed, candidate->endpoint->key };

  return (double)(XXH64 (pair, sizeof pair, 0) >> 11) / 0x1p53;
}

/* What speaks against running a long prompt at an endpoint, in ms. */
static double
cost_of_running (const Choice *choice, const Candidate *candidate)
{
  static const double role_cost[] = {
    [ROLE_READ] = 1000,
    [ROLE_WRITE] = 0,
    [ROLE_PACKED] = 3000,
  };
  double cost = candidate->read_left + candidate->pass + role_cost[candidate->role];

  cost += RUN_SPREAD * noise_of (choice, candidate);
  cost += RUN_MEMORY_COST * (double)candidate->load.tokens / (double)choice->spec->memory_tokens;
  if (candidate->load.calls >= choice->spec->slots)
    cost += NO_ROOM_COST;
  return has_memory (choice, candidate) ? cost : cost + NO_ROOM_COST;
}

/* Puts the candidate that is to run the prompt first, and those that are to read parts of it after
 * it, the best ones first. */
static void
order_for_reading (const Choice *choice)
{
  guint best = 0;
  Candidate first;

  g_array_sort (choice->candidates, compare_for_reading);
  for (guint i = 1; i < choice->candidates->len; i++)
    {
      if (cost_of_running (choice, candidate_at (choice, i))
          < cost_of_running (choice, candidate_at (choice, best)))
        best = i;
    }
  first = *candidate_at (choice, best);
  g_array_remove_index (choice->candidates, best);
  g_array_prepend_val (choice->candidates, first);
}

/* Room that the candidate can set aside for a prompt that another one runs, in tokens. */
static double
room_of (const Choice *choice, const Candidate *candidate)
{
  double room = MEMORY_PART * (double)choice->spec->memory_tokens - (double)candidate->load.tokens;

  return room * HOLD_PART < HOLD_LEAST ? 0 : room * HOLD_PART;
}

/* What the first candidate can't hold of the prompt, in tokens. */
static double
overflow_of (const Choice *choice)
{
  const Candidate *first = candidate_at (choice, 0);
  double room = MEMORY_PART * (double)choice->spec->memory_tokens - (double)first->load.tokens;
  double need = (double)(choice->demand->prompt_tokens + choice->demand->answer_tokens);

  return has_memory (choice, first) ? 0 : need - HOLD_FIRST * MAX (room, 0);
}

/* The first candidate, and those after it that may read parts. */
static guint
count_readers (const Choice *choice)
{
  guint n = 1;

  for (guint i = 1; i < choice->candidates->len; i++)
    n += candidate_at (choice, i)->role != ROLE_PACKED && candidate_at (choice, i)->can_help;
  return n;
}

/* Parts that are needed for the prompt's memory alone. */
static guint
least_width (const Choice *choice)
{
  double rest = overflow_of (choice);
  guint n = 1;

  while (rest > 0 && n < count_readers (choice) && n <= SV_HELPERS)
    rest -= room_of (choice, candidate_at (choice, n++));
  return n;
}

static guint
choose_width (const Choice *choice, double *expected)
{
  guint widest = MIN (count_readers (choice), SV_HELPERS + 1);
  guint width = widest;
  double least = G_MAXDOUBLE;

  for (guint n = least_width (choice); n <= widest; n++)
    {
      double finish;
      double cost = cost_of_width (choice, n, &finish);

      if (cost >= least)
        continue;
      least = cost;
      width = n;
      *expected = finish;
    }
  return width;
}

/* Spreads what the first endpoint can't hold over the helpers. */
static void
spread_memory (const Choice *choice, SvPlacement *placement)
{
  double overflow = overflow_of (choice);
  double rest = overflow;

  for (guint i = 0; i < placement->n_helpers && rest > 0; i++)
    {
      double hold = MIN (room_of (choice, candidate_at (choice, i + 1)), MAX (rest, HOLD_LEAST));

      placement->holds[i] = (guint64)ceil (hold);
      rest -= hold;
    }
  placement->load.tokens -= (guint64)overflow;
  placement->lacks_memory = rest > 0;
}

/* Reading goes on inside passes, whose other work takes time too. */
static double
mean_pass (const Choice *choice, guint width)
{
  double sum = 0;

  for (guint i = 0; i < width; i++)
    {
      if (n_writers (&candidate_at (choice, i)->load) > 0)
        sum += candidate_at (choice, i)->pass;
    }
  return sum / width;
}

static void
place_split (const Choice *choice, SvPlacement *placement)
{
  double expected = 0;
  guint width;

  order_for_reading (choice);
  width = choose_width (choice, &expected);
  placement->first = candidate_at (choice, 0)->endpoint;
  for (guint i = 1; i < width; i++)
    placement->helpers[placement->n_helpers++] = candidate_at (choice, i)->endpoint;
  spread_memory (choice, placement);
  for (guint i = 0; i < width; i++)
    placement->backlog =
        MAX (placement->backlog, (KnlTime)(candidate_at (choice, i)->read_left * KNL_MSEC));
  placement->is_split = TRUE;
  placement->part = (KnlTime)(choice->read_ms / width * KNL_MSEC);
  placement->read = placement->part + (KnlTime)(mean_pass (choice, width) * KNL_MSEC);
  placement->expected = (KnlTime)(expected * KNL_MSEC);
}

static double
cost_of_plain (const SvDemand *demand, const Candidate *candidate)
{
  const SvEndpoint *endpoint = candidate->endpoint;
  PolPlainCandidate plain = {
    .calls = candidate->load.calls,
    .slots = endpoint->slots,
    .is_far = g_strcmp0 (endpoint->zone, demand->zone) != 0,
    .health = &endpoint->health,
  };

  return pol_plain_cost (&plain);
}

static void
place_plain (const Choice *choice, SvPlacement *placement)
{
  double least = G_MAXDOUBLE;

  for (guint i = 0; i < choice->candidates->len; i++)
    {
      const Candidate *candidate = candidate_at (choice, i);
      double cost = cost_of_plain (choice->demand, candidate);

      if (cost < least)
        {
          least = cost;
          placement->first = candidate->endpoint;
        }
    }
}

gboolean
sv_router_place (const SvFleet *fleet, const SvDemand *demand, KnlTime now, SvPlacement *placement)
{
  g_autoptr (GArray) candidates = collect (fleet, demand, now);
  Choice choice = {
    .demand = demand,
    .spec = &demand->service->engine,
    .candidates = candidates,
  };

  *placement = (SvPlacement){ .load = { .calls = 1 } };
  if (candidates->len == 0)
    return FALSE;
  if (!sv_service_is_engine (demand->service) || demand->prompt_tokens == 0)
    {
      place_plain (&choice, placement);
      return TRUE;
    }
  choice.read_ms = sv_model_read_ms (choice.spec, (double)demand->prompt_tokens);
  placement->load.writers[sv_pause_of (demand->gap_objective)] = 1;
  placement->load.tokens = demand->prompt_tokens + demand->answer_tokens;
  assign_roles (&choice);
  if (choice.read_ms > SPLIT_MS && sv_pause_of (demand->gap_objective) != SV_PAUSE_TIGHT)
    place_split (&choice, placement);
  else
    place_packed (&choice, placement);
  return TRUE;
}

/*
 * An endpoint may leave the fleet while a prompt that it reads a part of is
 * still on its way or being read; its reading is taken out later, or its address
 * is named to another endpoint. Without a reference that writes to freed memory.
 */
void
sv_placement_ref (const SvPlacement *self)
{
  sv_endpoint_ref (self->first);
  for (guint i = 0; i < self->n_helpers; i++)
    sv_endpoint_ref (self->helpers[i]);
}

void
sv_placement_clear (SvPlacement *self)
{
  sv_endpoint_unref (self->first);
  for (guint i = 0; i < self->n_helpers; i++)
    sv_endpoint_unref (self->helpers[i]);
  *self = (SvPlacement){ 0 };
}

guint
sv_placement_readers (const SvPlacement *self, guint64 keys[SV_HELPERS + 1])
{
  guint n = 0;

  keys[n++] = self->first->key;
  for (guint i = 0; i < self->n_helpers; i++)
    keys[n++] = self->helpers[i]->key;
  return n;
}
