/** Memory reserved at several endpoints whose answers are refusals, get lost, or arrive late. */

#include <string.h>

#include "kernel/paused.h"
#include "platform/dialect.h"
#include "serve/reservation.h"
#include "suite.h"
#include "tests/fakes/scripted_endpoint.h"

#define TEST_TIMEOUT_S 20

/* Unused memory must be free within 4 s in these tests; the lease is shorter. */
#define FREE_WITHIN (4 * KNL_SEC)
#define HOLD        (3600 * KNL_MSEC)

#define ACCEPTED "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n{\"free\":10}"
#define REFUSED  "HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}"

typedef struct
{
  struct event_base *base;
  struct event *test_timeout;
  KnlPausedClock *clock;
  KnlKernel *kernel;
  HtClient *client;
  SvDialect *dialect;
  SvFleet *fleet;
  ScriptedEndpoint *engines[2];
  SvEndpoint *endpoints[2];
  guint n_verdicts;
  gboolean verdict;
} Fixture;

static void
on_test_timeout (evutil_socket_t fd, short what, void *data)
{
  g_error ("the test timed out");
}

static void
on_verdict (gboolean ready, gpointer data)
{
  Fixture *self = data;

  self->n_verdicts++;
  self->verdict = ready;
}

static void
fixture_open (Fixture *self, const ScriptedAnswer *const scripts[2], guint length)
{
  static const HtLimits limits = { 16384, 1 << 20 };
  static const struct timeval limit = { TEST_TIMEOUT_S, 0 };

  *self = (Fixture){ .base = event_base_new (), .clock = knl_paused_clock_new () };
  self->test_timeout = evtimer_new (self->base, on_test_timeout, NULL);
  evtimer_add (self->test_timeout, &limit);
  self->kernel = knl_kernel_new (knl_paused_clock_runtime (self->clock), 3);
  self->client = ht_client_new (self->kernel, self->base, &limits, 10 * KNL_SEC);
  self->dialect = pl_dialect_new ();
  self->fleet = sv_fleet_new (self->kernel, KNL_SEC);
  for (guint i = 0; i < G_N_ELEMENTS (self->engines); i++)
    {
      g_autofree char *id = g_strdup_printf ("i-%u", i);
      SvEndpointEntry entry = { .id = id, .service = "s", .zone = "a", .slots = 4 };

      self->engines[i] = scripted_endpoint_new (self->base, scripts[i], length);
      entry.address = scripted_endpoint_address (self->engines[i]);
      sv_fleet_update (self->fleet, &entry);
    }
  for (guint i = 0; i < G_N_ELEMENTS (self->engines); i++)
    {
      const GPtrArray *all = sv_fleet_all (self->fleet);

      for (guint j = 0; j < all->len; j++)
        {
          SvEndpoint *endpoint = g_ptr_array_index (all, j);

          if (strcmp (endpoint->address, scripted_endpoint_address (self->engines[i])) == 0)
            self->endpoints[i] = endpoint;
        }
    }
}

static void
fixture_close (Fixture *self)
{
  ht_client_free (self->client);
  for (guint i = 0; i < G_N_ELEMENTS (self->engines); i++)
    scripted_endpoint_free (self->engines[i]);
  sv_fleet_free (self->fleet);
  pl_dialect_free (self->dialect);
  knl_kernel_free (self->kernel);
  knl_paused_clock_free (self->clock);
  event_free (self->test_timeout);
  event_base_free (self->base);
}

static SvReservation *
reserve_for (Fixture *self, const char *request)
{
  static const guint64 tokens[2] = { 1000, 2000 };
  SvReservationParts parts = {
    .kernel = self->kernel, .client = self->client, .dialect = self->dialect, .hold = HOLD
  };

  return sv_reservation_new (&parts, request, self->endpoints, tokens, 2, on_verdict, self);
}

static SvReservation *
reserve (Fixture *self)
{
  return reserve_for (self, "r1");
}

/* Runs until the engine has received `n_orders` orders. The clock advances by `step` in each
 * iteration. */
static void
run_until (Fixture *self, guint engine, guint n_orders, KnlTime step)
{
  while (scripted_endpoint_n_requests (self->engines[engine]) < n_orders)
    {
      if (step > 0)
        knl_paused_clock_advance (self->clock, step);
      event_base_loop (self->base, step > 0 ? EVLOOP_NONBLOCK : EVLOOP_ONCE);
    }
}

static void
run_until_verdict (Fixture *self)
{
  while (self->n_verdicts == 0)
    event_base_loop (self->base, EVLOOP_ONCE);
}

static gboolean
last_order_is (const Fixture *self, guint engine, const char *operation)
{
  g_autofree char *field = g_strdup_printf ("\"operation\":\"%s\"", operation);

  return strstr (scripted_endpoint_body (self->engines[engine]), field) != NULL;
}

/*
 * Guards against an engine that refuses prompts while little runs there. A prompt needs memory of
 * two engines; one reserves it, the other refuses. The memory at the first must be released, since
 * the prompt can't run.
 */
static void
test_refusal_releases_all_parts (void)
{
  static const ScriptedAnswer accepted[] = { { ACCEPTED, FALSE } };
  static const ScriptedAnswer refused[] = { { REFUSED, FALSE }, { ACCEPTED, FALSE } };
  static const ScriptedAnswer *const scripts[2] = { accepted, refused };
  Fixture fixture;

  fixture_open (&fixture, scripts, 1);
  reserve (&fixture);
  CU_ASSERT_EQUAL (sv_endpoint_load (fixture.endpoints[0], 0).tokens, 1000);
  run_until_verdict (&fixture);
  CU_ASSERT_FALSE (fixture.verdict);
  run_until (&fixture, 0, 2, 0);
  CU_ASSERT_TRUE (last_order_is (&fixture, 0, "release"));
  run_until (&fixture, 1, 2, 0);
  knl_paused_clock_advance (fixture.clock, 2 * HOLD);
  CU_ASSERT_EQUAL (fixture.n_verdicts, 1);
  CU_ASSERT_EQUAL (sv_endpoint_load (fixture.endpoints[0], 0).tokens, 0);
  fixture_close (&fixture);
}

/* Guards against memory that counts as reserved on a head that is no answer's, or on an answer
 * without a length whose connection was reset. */
static void
test_broken_answers_reserve_nothing (void)
{
  static const ScriptedAnswer accepted[] = { { ACCEPTED, FALSE } };
  static const ScriptedAnswer broken[] = {
    { "HTTP/1.1 00200 OK\r\nContent-Length: 11\r\n\r\n{\"free\":10}", TRUE },
    { "HTTP/1.1 2 00 OK\r\nContent-Length: 11\r\n\r\n{\"free\":10}", TRUE },
    { "HTTP/1.1 100 C\r\nContent-Length: 1\r\n\r\na" ACCEPTED, TRUE },
    { "HTTP/1.1 200 OK\r\nX Foo: 1\r\nContent-Length: 11\r\n\r\n{\"free\":10}", TRUE },
    { .bytes = "HTTP/1.1 200 OK\r\n\r\n{\"free\":10}", .resets = TRUE },
    { .bytes = "HTTP/1.1 200 OK\r\n\r\n{\"free\":10}", .is_early = TRUE, .resets = TRUE },
  };

  for (guint i = 0; i < G_N_ELEMENTS (broken); i++)
    {
      const ScriptedAnswer *const scripts[2] = { accepted, &broken[i] };
      Fixture fixture;

      fixture_open (&fixture, scripts, 1);
      reserve (&fixture);
      run_until_verdict (&fixture);
      CU_ASSERT_FALSE (fixture.verdict);
      knl_paused_clock_advance (fixture.clock, 2 * HOLD);
      fixture_close (&fixture);
    }
}

/*
 * Guards against two faults. A prompt that needs memory of several engines waits until its caller
 * disconnects, and the memory stays reserved: an order gets no answer, and renewals sent before its
 * time-out restart the time-out each time.
 *
 * Memory of an engine stays reserved after its prompt has ended: the order is carried out seconds
 * later, after the prompt was given up and its memory released. No release follows, so only the
 * expiry of the lease frees it.
 */
static void
test_order_without_answer_is_a_short_lease (void)
{
  static const ScriptedAnswer accepted[] = { { ACCEPTED, FALSE } };
  static const ScriptedAnswer silent[] = { { NULL, FALSE } };
  static const ScriptedAnswer *const scripts[2] = { accepted, silent };
  Fixture fixture;
  const char *hold;
  guint orders;

  fixture_open (&fixture, scripts, 1);
  reserve (&fixture);
  run_until (&fixture, 1, 1, 0);
  hold = strstr (scripted_endpoint_body (fixture.engines[1]), "\"holdMs\":");
  CU_ASSERT_PTR_NOT_NULL_FATAL (hold);
  CU_ASSERT (g_ascii_strtoll (hold + strlen ("\"holdMs\":"), NULL, 10) * KNL_MSEC < FREE_WITHIN);
  run_until (&fixture, 0, 1, 0);
  /* No answer within the time-out of an order: the reservation fails and is released at both. */
  while (fixture.n_verdicts == 0)
    {
      knl_paused_clock_advance (fixture.clock, 50 * KNL_MSEC);
      event_base_loop (fixture.base, EVLOOP_NONBLOCK);
      CU_ASSERT_FATAL (knl_kernel_now (fixture.kernel) < 3 * KNL_SEC);
    }
  CU_ASSERT_FALSE (fixture.verdict);
  while (!last_order_is (&fixture, 0, "release"))
    event_base_loop (fixture.base, EVLOOP_ONCE);
  run_until (&fixture, 1, 2, 50 * KNL_MSEC);
  CU_ASSERT_TRUE (last_order_is (&fixture, 1, "release"));
  /* The release has no answer either and is repeated, but not beyond the lease. */
  run_until (&fixture, 1, 3, 50 * KNL_MSEC);
  knl_paused_clock_advance (fixture.clock, 2 * HOLD);
  event_base_loop (fixture.base, EVLOOP_NONBLOCK);
  orders = scripted_endpoint_n_requests (fixture.engines[1]);
  knl_paused_clock_advance (fixture.clock, 2 * HOLD);
  event_base_loop (fixture.base, EVLOOP_NONBLOCK);
  CU_ASSERT_EQUAL (scripted_endpoint_n_requests (fixture.engines[1]), orders);
  CU_ASSERT_EQUAL (sv_endpoint_load (fixture.endpoints[1], 0).tokens, 0);
  fixture_close (&fixture);
}

/*
 * Guards against a prompt that is cut off in the middle of its answer, because it runs for longer
 * than the lease of its memory and the lease isn't renewed, or renewals stop after one lost order.
 */
static void
test_held_memory_is_renewed (void)
{
  static const ScriptedAnswer accepted[] = { { ACCEPTED, FALSE } };
  static const ScriptedAnswer *const scripts[2] = { accepted, accepted };
  Fixture fixture;
  SvReservation *reservation;

  fixture_open (&fixture, scripts, 1);
  reservation = reserve (&fixture);
  run_until_verdict (&fixture);
  CU_ASSERT_TRUE (fixture.verdict);
  CU_ASSERT_PTR_NOT_NULL (sv_reservation_id (reservation, fixture.endpoints[0]));
  for (guint i = 2; i < 12; i++)
    {
      KnlTime before = knl_kernel_now (fixture.kernel);

      run_until (&fixture, 0, i, 50 * KNL_MSEC);
      CU_ASSERT_TRUE (last_order_is (&fixture, 0, "reserve"));
      CU_ASSERT (knl_kernel_now (fixture.kernel) - before < HOLD / 3);
    }
  sv_reservation_release (reservation);
  run_until (&fixture, 0, 12, 0);
  CU_ASSERT_TRUE (last_order_is (&fixture, 0, "release"));
  knl_paused_clock_advance (fixture.clock, 2 * HOLD);
  fixture_close (&fixture);
}

/*
 * Guards against an engine that has just started and refuses prompts although nothing runs there.
 * It held memory for a prompt when it crashed, and restarted under the same id. Renewing the
 * reservation, which is unknown to the new process, would reserve memory for a lost prompt.
 */
static void
test_lease_is_not_renewed_after_restart (void)
{
  static const ScriptedAnswer accepted[] = { { ACCEPTED, FALSE } };
  static const ScriptedAnswer *const scripts[2] = { accepted, accepted };
  Fixture fixture;
  SvReservation *reservation;
  SvEndpointEntry again = { .id = "i-0", .service = "s", .zone = "a", .slots = 4, .start = 7 };

  fixture_open (&fixture, scripts, 1);
  reservation = reserve (&fixture);
  run_until_verdict (&fixture);
  CU_ASSERT_TRUE (fixture.verdict);
  again.address = scripted_endpoint_address (fixture.engines[0]);
  sv_fleet_update (fixture.fleet, &again);
  run_until (&fixture, 1, 3, HOLD / 4);
  CU_ASSERT_EQUAL (scripted_endpoint_n_requests (fixture.engines[0]), 1);
  /* Releasing an unknown reservation is harmless, and an earlier order may still be carried out. */
  sv_reservation_release (reservation);
  run_until (&fixture, 0, 2, 0);
  CU_ASSERT_TRUE (last_order_is (&fixture, 0, "release"));
  run_until (&fixture, 1, 4, 0);
  knl_paused_clock_advance (fixture.clock, 2 * HOLD);
  fixture_close (&fixture);
}

/* Guards against ignoring a limit that an engine advertises only in answers to orders. */
static void
test_limits_in_answers_to_orders (void)
{
  static const ScriptedAnswer limited[] = {
    { "HTTP/1.1 200 OK\r\nServer-Limit: 1.5\r\nContent-Length: 11\r\n\r\n{\"free\":10}", FALSE },
    { ACCEPTED, FALSE },
  };
  static const ScriptedAnswer *const scripts[2] = { limited, limited };
  Fixture fixture;
  SvReservation *reservation;

  fixture_open (&fixture, scripts, 2);
  reservation = reserve (&fixture);
  run_until_verdict (&fixture);
  CU_ASSERT_EQUAL (fixture.endpoints[0]->limit.rate, 1.5);
  sv_reservation_release (reservation);
  run_until (&fixture, 0, 2, 0);
  run_until (&fixture, 1, 2, 0);
  knl_paused_clock_advance (fixture.clock, 2 * HOLD);
  /* An unsigned answer without a limit doesn't end it. */
  CU_ASSERT_EQUAL (fixture.endpoints[0]->limit.rate, 1.5);
  fixture_close (&fixture);
}

/* Guards against a caller whose request's id adds an endpoint to the list of those that hold
 * memory.
 */
static void
test_ids_are_plain (void)
{
  static const ScriptedAnswer accepted[] = { { ACCEPTED, FALSE } };
  static const ScriptedAnswer *const scripts[2] = { accepted, accepted };
  static const char *const names[] = { "r1", "a,1.2.3.4:5/x", "a b", "a\"b", "a/b", "\xff", "" };
  Fixture fixture;

  for (guint i = 0; i < G_N_ELEMENTS (names); i++)
    {
      SvReservation *reservation;
      const char *id;

      fixture_open (&fixture, scripts, 1);
      reservation = reserve_for (&fixture, names[i]);
      run_until_verdict (&fixture);
      id = sv_reservation_id (reservation, fixture.endpoints[0]);
      CU_ASSERT_EQUAL (strspn (id, G_CSET_A_2_Z G_CSET_a_2_z G_CSET_DIGITS "-_."), strlen (id));
      sv_reservation_release (reservation);
      knl_paused_clock_advance (fixture.clock, 2 * HOLD);
      fixture_close (&fixture);
    }
}

static const SuiteCase cases[] = {
  { "a refusal releases all parts", test_refusal_releases_all_parts },
  { "broken answers reserve nothing", test_broken_answers_reserve_nothing },
  { "an order without answer is a short lease", test_order_without_answer_is_a_short_lease },
  { "held memory is renewed", test_held_memory_is_renewed },
  { "a lease is not renewed after a restart", test_lease_is_not_renewed_after_restart },
  { "ids are plain", test_ids_are_plain },
  { "limits in answers to orders", test_limits_in_answers_to_orders },
};

SUITE_MAIN ("sv_reservation", cases)
