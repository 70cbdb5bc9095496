/** Properties of the decision whether a request is sent, waits or is refused. */

#include "policy/wait.h"
#include "suite.h"

#define MS KNL_MSEC

typedef struct
{
  PolWaitCase due;
  PolWait decision;
} Row;

/* A caller that waits 2 s for the first event and 10 s for the end; the request takes 100 ms and
 * 1 s. */
#define DUE(room, in)                                                                              \
  {                                                                                                \
    .event_left = 2000 * MS, .left = 10000 * MS, .first = 100 * MS, .rest = 1000 * MS,             \
    .has_room = (room), .room_in = (in)                                                            \
  }

static const Row rows[] = {
  { DUE (TRUE, 0), POL_WAIT_SEND },
  /* Nobody is refused beside room, however long the estimate for others is. */
  { DUE (TRUE, 9000 * MS), POL_WAIT_SEND },
  { DUE (FALSE, 0), POL_WAIT_STAY },
  { DUE (FALSE, 1800 * MS), POL_WAIT_STAY },
  { DUE (FALSE, 1801 * MS), POL_WAIT_NO_ROOM },
  /* The end of the answer, not the first event, is what the caller has no time for. */
  { { 2000 * MS, 1500 * MS, 100 * MS, 1000 * MS, FALSE, 300 * MS }, POL_WAIT_STAY },
  { { 2000 * MS, 1500 * MS, 100 * MS, 1000 * MS, FALSE, 301 * MS }, POL_WAIT_NO_ROOM },
  { { 2000 * MS, 1100 * MS, 100 * MS, 1000 * MS, TRUE, 0 }, POL_WAIT_SEND },
  { { 2000 * MS, 1099 * MS, 100 * MS, 1000 * MS, TRUE, 0 }, POL_WAIT_NO_TIME },
  { { 100 * MS, KNL_NEVER, 100 * MS, 1000 * MS, TRUE, 0 }, POL_WAIT_SEND },
  { { 99 * MS, KNL_NEVER, 100 * MS, 1000 * MS, TRUE, 0 }, POL_WAIT_NO_TIME },
  /* Without a limit it waits as long as it takes. */
  { { KNL_NEVER, KNL_NEVER, 100 * MS, 1000 * MS, FALSE, 3600 * KNL_SEC }, POL_WAIT_STAY },
  { { KNL_NEVER, KNL_NEVER, 100 * MS, 1000 * MS, FALSE, KNL_NEVER }, POL_WAIT_NO_ROOM },
};

static void
test_decisions (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    CU_ASSERT_EQUAL (pol_wait_decide (&rows[i].due), rows[i].decision);
}

static KnlTime
scaled (KnlTime time)
{
  return time == KNL_NEVER ? KNL_NEVER : 2 * time;
}

/* Guards against limits that don't follow from the caller's time and the work. */
static void
test_twice_as_slow_is_the_same (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      PolWaitCase due = rows[i].due;

      due.event_left = scaled (due.event_left);
      due.left = scaled (due.left);
      due.first = scaled (due.first);
      due.rest = scaled (due.rest);
      due.room_in = scaled (due.room_in);
      CU_ASSERT_EQUAL (pol_wait_decide (&due), rows[i].decision);
      for (guint rank = 0; rank < 7; rank++)
        CU_ASSERT_EQUAL (pol_wait_urgency (&due, rank), pol_wait_urgency (&rows[i].due, rank));
    }
}

static gboolean
is_refused (const PolWaitCase *due)
{
  PolWait decision = pol_wait_decide (due);

  return decision == POL_WAIT_NO_TIME || decision == POL_WAIT_NO_ROOM;
}

static KnlTime
longer (KnlTime time, KnlTime more)
{
  return time == KNL_NEVER ? KNL_NEVER : time + more;
}

/* Guards against callers that are refused because they have more time, or ask for less. */
static void
test_more_time_and_less_work_are_never_refused_sooner (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      for (KnlTime step = 1 * MS; step < 4096 * MS; step *= 2)
        {
          PolWaitCase more_time = rows[i].due;
          PolWaitCase less_work = rows[i].due;

          more_time.event_left = longer (more_time.event_left, step);
          more_time.left = longer (more_time.left, step);
          less_work.first = MAX (less_work.first - step, 0);
          less_work.rest = MAX (less_work.rest - step, 0);
          CU_ASSERT (is_refused (&rows[i].due) || !is_refused (&more_time));
          CU_ASSERT (is_refused (&rows[i].due) || !is_refused (&less_work));
        }
    }
}

/* Guards against requests that wait although it is known that they will be refused: while one waits
 * as long as was expected, it stays, and is then sent. */
static void
test_no_wait_is_in_vain (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      PolWaitCase due = rows[i].due;
      KnlTime passed = due.room_in;

      if (rows[i].decision != POL_WAIT_STAY)
        continue;
      due.event_left = longer (due.event_left, -passed);
      due.left = longer (due.left, -passed);
      due.room_in = 0;
      CU_ASSERT_EQUAL (pol_wait_decide (&due), POL_WAIT_STAY);
      due.has_room = TRUE;
      CU_ASSERT_EQUAL (pol_wait_decide (&due), POL_WAIT_SEND);
    }
}

/* Guards against an order in which time goes before rank, a workspace that takes more than its
 * share goes before others of its rank, or the one with more time goes first. */
static void
test_order (void)
{
  static const PolWaitKey order[] = {
    { 0, FALSE, 100, 4 }, { 0, FALSE, 200, 2 }, { 0, FALSE, 200, 3 }, { 0, TRUE, 50, 1 },
    { 1, FALSE, 10, 0 },  { 1, TRUE, 10, 5 },   { 3, FALSE, 0, 6 },
  };

  for (guint i = 0; i < G_N_ELEMENTS (order); i++)
    {
      CU_ASSERT_EQUAL (pol_wait_compare (&order[i], &order[i]), 0);
      for (guint j = i + 1; j < G_N_ELEMENTS (order); j++)
        {
          CU_ASSERT (pol_wait_compare (&order[i], &order[j]) < 0);
          CU_ASSERT (pol_wait_compare (&order[j], &order[i]) > 0);
        }
    }
}

/* Guards against urgencies that put a caller with little time behind all others, or a lower rank
 * before a higher one. */
static void
test_urgency (void)
{
  static const struct
  {
    KnlTime left;
    guint rank;
    guint urgency;
  } urgencies[] = {
    { 10000 * MS, 0, 1 }, { 2200 * MS, 0, 1 },  { 2199 * MS, 0, 0 },
    { KNL_NEVER, 0, 1 },  { 10000 * MS, 1, 3 }, { 1200 * MS, 1, 2 },
    { 1200 * MS, 4, 8 },  { 10000 * MS, 4, 9 }, { 10000 * MS, 9, 9 },
  };

  for (guint i = 0; i < G_N_ELEMENTS (urgencies); i++)
    {
      PolWaitCase due = { KNL_NEVER, urgencies[i].left, 100 * MS, 1000 * MS, TRUE, 0 };

      CU_ASSERT_EQUAL (pol_wait_urgency (&due, urgencies[i].rank), urgencies[i].urgency);
    }
}

static const SuiteCase cases[] = {
  { "decisions", test_decisions },
  { "twice as slow is the same", test_twice_as_slow_is_the_same },
  { "more time and less work are never refused sooner",
    test_more_time_and_less_work_are_never_refused_sooner },
  { "no wait is in vain", test_no_wait_is_in_vain },
  { "order", test_order },
  { "urgency", test_urgency },
};

SUITE_MAIN ("pol_wait", cases)
