/** What happens to prompts before they are sent: whether they wait here, and whether they are
 * refused. */

#include "serve/defer.h"
#include "suite.h"

#define OBJECTIVE (300 * KNL_MSEC)

/* A prompt, and what is expected of it. */
typedef struct
{
  SvPlacement placement;
  SvDeferCase due;
  gboolean waits;
  const char *refusal; /* if it doesn't wait; NULL: it is sent */
} Row;

static void
check (const Row *rows, guint n)
{
  for (guint i = 0; i < n; i++)
    {
      SvDeferCase due = rows[i].due;

      due.placement = &rows[i].placement;
      CU_ASSERT_EQUAL (sv_defer_decide (&due) > 0, rows[i].waits);
      if (!rows[i].waits)
        CU_ASSERT_EQUAL (g_strcmp0 (sv_defer_refusal (&due), rows[i].refusal), 0);
    }
}

#define SHORT(slots, time)                                                                         \
  {                                                                                                \
    .is_prompt = TRUE, .free_slots = (slots), .is_full = (slots) == 0, .expected = (time)          \
  }
#define FIRST_TRY(time)                                                                            \
  {                                                                                                \
    .objective = OBJECTIVE, .waited = (time), .left = 10 * KNL_SEC - (time), .is_first_try = TRUE  \
  }
#define RETURN(time)                                                                               \
  {                                                                                                \
    .objective = OBJECTIVE, .waited = (time), .left = 6 * KNL_SEC - (time)                         \
  }

/* Guards against short prompts that queue at full endpoints, where nobody can refuse them any more,
 * and against callers that come back too late and take the last slots from first tries. */
static void
test_short_prompts_wait_for_a_slot (void)
{
  static const Row rows[] = {
    { SHORT (1, 50 * KNL_MSEC), FIRST_TRY (0), FALSE, NULL },
    { SHORT (0, 50 * KNL_MSEC), FIRST_TRY (0), TRUE },
    { SHORT (0, 50 * KNL_MSEC), FIRST_TRY (240 * KNL_MSEC), TRUE },
    { SHORT (0, 50 * KNL_MSEC), FIRST_TRY (250 * KNL_MSEC), FALSE, "endpoints-full" },
    { SHORT (1, 50 * KNL_MSEC), FIRST_TRY (250 * KNL_MSEC), FALSE, NULL },
    { SHORT (2, 50 * KNL_MSEC), RETURN (0), FALSE, NULL },
    { SHORT (1, 50 * KNL_MSEC), RETURN (0), TRUE },
    { SHORT (0, 50 * KNL_MSEC), RETURN (1 * KNL_SEC), TRUE },
    { SHORT (1, 50 * KNL_MSEC), RETURN (2 * KNL_SEC), FALSE, "endpoints-full" },
  };

  check (rows, G_N_ELEMENTS (rows));
}

/* Guards against streams that are ended because no slot is free at the moment when they go on
 * elsewhere, and against plain requests that wait for slots of engines. */
static void
test_others_do_not_wait (void)
{
  static const Row rows[] = {
    { SHORT (0, 50 * KNL_MSEC),
      { .objective = OBJECTIVE, .left = KNL_SEC, .has_run = TRUE },
      FALSE,
      NULL },
    { { .expected = 0 }, FIRST_TRY (0), FALSE, NULL },
  };

  check (rows, G_N_ELEMENTS (rows));
}

#define LONG(late, queued, time)                                                                   \
  {                                                                                                \
    .is_prompt = TRUE, .is_split = TRUE, .late_streams = (late), .backlog = (queued),              \
    .part = 100 * KNL_MSEC, .n_helpers = 9, .expected = (time)                                     \
  }
#define LONG_WAITED(time)                                                                          \
  {                                                                                                \
    .objective = 4 * KNL_SEC, .waited = (time), .left = 15 * KNL_SEC - (time),                     \
    .is_first_try = TRUE                                                                           \
  }

/* Guards against long prompts that wait until their deadline is near and are then all sent, late
 * themselves, onto endpoints whose streams become late by them. */
static void
test_long_prompts_do_not_delay_streams (void)
{
  static const Row rows[] = {
    { LONG (0, 0, 1 * KNL_SEC), LONG_WAITED (0), FALSE, NULL },
    { LONG (3, 0, 1 * KNL_SEC), LONG_WAITED (0), FALSE, NULL },
    { LONG (4, 0, 1 * KNL_SEC), LONG_WAITED (0), TRUE },
    { LONG (4, 0, 1 * KNL_SEC), LONG_WAITED (2900 * KNL_MSEC), FALSE, NULL },
    { LONG (4, 0, 1 * KNL_SEC), LONG_WAITED (3100 * KNL_MSEC), FALSE, "would-delay-streams" },
    { LONG (1, 0, 1 * KNL_SEC), LONG_WAITED (3100 * KNL_MSEC), FALSE, NULL },
    { LONG (2, 1 * KNL_SEC, 1 * KNL_SEC), LONG_WAITED (3100 * KNL_MSEC), TRUE },
    { LONG (2, 1 * KNL_SEC, 1 * KNL_SEC), LONG_WAITED (13500 * KNL_MSEC), FALSE,
      "would-delay-streams" },
  };

  check (rows, G_N_ELEMENTS (rows));
}

static const SuiteCase cases[] = {
  { "short prompts wait for a slot", test_short_prompts_wait_for_a_slot },
  { "others do not wait", test_others_do_not_wait },
  { "long prompts do not delay streams", test_long_prompts_do_not_delay_streams },
};

SUITE_MAIN ("sv_defer", cases)
