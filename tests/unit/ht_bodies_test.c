/** Request bodies that many callers send at once, over loopback. */

#include "http/bodies.h"
#include "relay_fixture.h"
#include "suite.h"

#define MB         ((gsize)1 << 20)
#define MANY_TURNS 3000

/* Guards against a sum that is wrong after a body was refused, replaced or released. */
static void
test_the_sum_keeps_below_its_bound (void)
{
  static const struct
  {
    gsize before;
    gsize after;
    gboolean fits;
    gsize bytes; /* then held */
  } rows[] = {
    { 0, 90, TRUE, 90 },  { 0, 20, FALSE, 90 },    { 0, 10, TRUE, 100 }, { 10, 11, FALSE, 100 },
    { 10, 5, TRUE, 95 },  { 90, 0, TRUE, 5 },      { 5, 0, TRUE, 0 },    { 0, 500, TRUE, 500 },
    { 0, 1, FALSE, 500 }, { 500, 600, TRUE, 600 }, { 600, 0, TRUE, 0 },
  };
  HtBodies *bodies = ht_bodies_new (100);

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      CU_ASSERT_EQUAL (ht_bodies_change (bodies, rows[i].before, rows[i].after), rows[i].fits);
      CU_ASSERT_EQUAL (ht_bodies_bytes (bodies), rows[i].bytes);
    }
  CU_ASSERT_EQUAL (ht_bodies_n_refused (bodies), 3);
  ht_bodies_free (bodies);
}

/* Guards against an instance without a known memory that reads one body at a time. */
static void
test_no_bound_refuses_nothing (void)
{
  HtBodies *bodies = ht_bodies_new (0);

  CU_ASSERT_TRUE (ht_bodies_change (bodies, 0, 3));
  CU_ASSERT_TRUE (ht_bodies_change (bodies, 0, 3));
  CU_ASSERT_EQUAL (ht_bodies_bytes (bodies), 6);
  ht_bodies_free (bodies);
}

/* Guards against an instance that runs out of memory when many callers send large bodies at once,
 * and against one that refuses small requests, or any later, since large ones are held. */
static void
test_bodies_beyond_the_bound_are_refused (void)
{
  enum
  {
    N_CALLERS = 12,
    N_HELD = 4,
  };
  HtBodies *bodies = ht_bodies_new (N_HELD * MB + MB / 2);
  RelayFixture fixture;
  guint n_refused = 0;

  relay_fixture_open (&fixture, 0);
  ht_server_count_bodies (fixture.front, bodies);
  relay_fixture_use_deaf_endpoint (&fixture);
  for (guint i = 0; i < N_CALLERS; i++)
    {
      relay_fixture_call (&fixture, "/whole/1", "1.1", MB);
      relay_caller_set_reading (&fixture.callers[i], TRUE);
    }
  for (guint i = 0; i < MANY_TURNS; i++)
    {
      relay_fixture_turn (&fixture, 1);
      CU_ASSERT (ht_bodies_bytes (bodies) <= N_HELD * MB + MB / 2);
    }
  for (guint i = 0; i < N_CALLERS; i++)
    n_refused += fixture.callers[i].complete;
  CU_ASSERT_EQUAL (n_refused, N_CALLERS - N_HELD);
  CU_ASSERT_EQUAL (ht_bodies_n_refused (bodies), N_CALLERS - N_HELD);
  CU_ASSERT_EQUAL (ht_bodies_bytes (bodies), N_HELD * MB);
  relay_fixture_call (&fixture, "/whole/1", "1.1", 1000);
  relay_fixture_let_endpoint_read (&fixture);
  for (guint i = 0; i <= N_CALLERS; i++)
    {
      relay_caller_set_reading (&fixture.callers[i], TRUE);
      relay_caller_wait (&fixture.callers[i]);
      CU_ASSERT_TRUE (fixture.callers[i].complete);
    }
  CU_ASSERT_EQUAL (fixture.n_requests, N_HELD + 1);
  CU_ASSERT_EQUAL (ht_bodies_bytes (bodies), 0);
  relay_fixture_close (&fixture);
  ht_bodies_free (bodies);
}

static const SuiteCase cases[] = {
  { "the sum keeps below its bound", test_the_sum_keeps_below_its_bound },
  { "no bound refuses nothing", test_no_bound_refuses_nothing },
  { "bodies beyond the bound are refused", test_bodies_beyond_the_bound_are_refused },
};

SUITE_MAIN ("ht_bodies", cases)
