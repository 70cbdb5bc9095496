/** Whether endpoints have room for a prompt, or what they lack. */

#include "serve/queue.h"
#include "serve/room.h"
#include "suite.h"

typedef struct
{
  SvPlacement placement;
  KnlTime longest; /* how long it could wait */
  gboolean is_free;
  SvLack lack;
} Row;

static void
check (const Row *rows, guint n)
{
  for (guint i = 0; i < n; i++)
    {
      CU_ASSERT_EQUAL (sv_room_is_free (&rows[i].placement, rows[i].longest), rows[i].is_free);
      CU_ASSERT_EQUAL (sv_room_lack (&rows[i].placement), rows[i].lack);
    }
}

#define SHORT(slots)                                                                               \
  {                                                                                                \
    .is_prompt = TRUE, .free_slots = (slots), .expected = 50 * KNL_MSEC                            \
  }
#define LONG(slots, late, queued)                                                                  \
  {                                                                                                \
    .is_prompt = TRUE, .is_split = TRUE, .free_slots = (slots), .late_streams = (late),            \
    .backlog = (queued), .part = 100 * KNL_MSEC, .n_helpers = 9, .expected = 1 * KNL_SEC           \
  }

/* Guards against short prompts that queue at full endpoints, where nobody can refuse them any more,
 * and against a free slot that is kept from a caller, however little or much time it has. */
static void
test_short_prompts_need_a_slot (void)
{
  static const Row rows[] = {
    { SHORT (1), 0, TRUE, SV_LACK_NONE },         { SHORT (1), 9 * KNL_SEC, TRUE, SV_LACK_NONE },
    { SHORT (2), KNL_NEVER, TRUE, SV_LACK_NONE }, { SHORT (0), 9 * KNL_SEC, FALSE, SV_LACK_SLOTS },
    { SHORT (0), 0, FALSE, SV_LACK_SLOTS },
  };

  check (rows, G_N_ELEMENTS (rows));
}

/* Guards against long prompts that are sent onto endpoints whose streams pause for too long by
 * them, also when they have waited until they can't wait any longer. */
static void
test_long_prompts_do_not_delay_streams (void)
{
  static const Row rows[] = {
    { LONG (1, 0, 0), 9 * KNL_SEC, TRUE, SV_LACK_NONE },
    { LONG (1, 1, 0), 9 * KNL_SEC, TRUE, SV_LACK_NONE },
    { LONG (1, 1, 0), 0, TRUE, SV_LACK_NONE },
    { LONG (1, 2, 0), 9 * KNL_SEC, FALSE, SV_LACK_STREAMS },
    { LONG (1, 2, 0), 0, FALSE, SV_LACK_STREAMS },
    { LONG (1, 4, 1 * KNL_SEC), 0, FALSE, SV_LACK_PREFILL },
    { LONG (0, 0, 0), 0, FALSE, SV_LACK_SLOTS },
  };

  check (rows, G_N_ELEMENTS (rows));
}

/* Guards against prompts that queue at endpoints where shorter ones can't go before them, and
 * against one that is refused for a queue behind which it would be served in time. */
static void
test_long_prompts_wait_for_queued_prefill (void)
{
  static const Row rows[] = {
    { LONG (1, 0, 30 * KNL_MSEC), 9 * KNL_SEC, TRUE, SV_LACK_NONE },
    { LONG (1, 0, 31 * KNL_MSEC), 9 * KNL_SEC, FALSE, SV_LACK_PREFILL },
    { LONG (1, 0, 1 * KNL_SEC), 1 * KNL_SEC, FALSE, SV_LACK_PREFILL },
    { LONG (1, 0, 1 * KNL_SEC), 999 * KNL_MSEC, TRUE, SV_LACK_PREFILL },
    { LONG (1, 0, 1 * KNL_SEC), 0, TRUE, SV_LACK_PREFILL },
    { LONG (1, 2, 1 * KNL_SEC), 0, FALSE, SV_LACK_PREFILL },
  };

  check (rows, G_N_ELEMENTS (rows));
}

/* Guards against shorter prompts that come after the longest at other instances, which wait for the
 * same endpoints. */
static void
test_shorter_prompts_are_sent_sooner (void)
{
  static const Row rows[] = {
    { { .is_prompt = TRUE,
        .is_split = TRUE,
        .free_slots = 1,
        .part = SV_LONG_LOOK_MAX - 1,
        .backlog = 2 * SV_LONG_LOOK_MAX },
      9 * KNL_SEC,
      TRUE,
      SV_LACK_NONE },
    { { .is_prompt = TRUE,
        .is_split = TRUE,
        .free_slots = 1,
        .part = SV_LONG_LOOK_MAX,
        .backlog = 2 * SV_LONG_LOOK_MAX },
      9 * KNL_SEC,
      FALSE,
      SV_LACK_PREFILL },
  };

  check (rows, G_N_ELEMENTS (rows));
}

/* Guards against prompts that are sent to endpoints which lack memory for them, and take that of
 * running streams. */
static void
test_memory_is_needed (void)
{
  static const Row rows[] = {
    { { .is_prompt = TRUE, .is_split = TRUE, .free_slots = 1, .lacks_memory = TRUE },
      0,
      FALSE,
      SV_LACK_MEMORY },
    { { .is_prompt = TRUE, .is_split = TRUE, .free_slots = 1, .lacks_memory = TRUE },
      9 * KNL_SEC,
      FALSE,
      SV_LACK_MEMORY },
  };

  check (rows, G_N_ELEMENTS (rows));
}

static const SuiteCase cases[] = {
  { "short prompts need a slot", test_short_prompts_need_a_slot },
  { "long prompts do not delay streams", test_long_prompts_do_not_delay_streams },
  { "long prompts wait for queued prefill", test_long_prompts_wait_for_queued_prefill },
  { "shorter prompts are sent sooner", test_shorter_prompts_are_sent_sooner },
  { "memory is needed", test_memory_is_needed },
};

SUITE_MAIN ("sv_room", cases)
