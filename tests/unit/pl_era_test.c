/** Parsing of the store's eras, and comparison of positions. */

#include "platform/store_internal.h"
#include "suite.h"

static void
test_eras_are_read (void)
{
  static const struct
  {
    const char *value; /* NULL: there is no such field */
    guint64 era;
  } rows[] = {
    { "0", PL_ERA_OFFSET },
    { "7", PL_ERA_OFFSET + 7 },
    { NULL, 0 },
    { "", 0 },
    { "-1", 0 },
    { "1.5", 0 },
    { "x", 0 },
    { "3 ", 0 },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_autoptr (HtMessage) answer = ht_message_new ();

      if (rows[i].value != NULL)
        ht_message_add (answer, "Store-Era", rows[i].value);
      CU_ASSERT_EQUAL (pl_era_read (answer), rows[i].era);
    }
}

static void
test_positions (void)
{
  static const struct
  {
    SvPosition a;
    SvPosition b;
    SvPositionOrder order;
  } rows[] = {
    { { 1, 5 }, { 1, 5 }, SV_POSITION_SAME },      { { 1, 5 }, { 1, 6 }, SV_POSITION_OLDER },
    { { 1, 6 }, { 1, 5 }, SV_POSITION_NEWER },     { { 2, 5 }, { 1, 6 }, SV_POSITION_NEWER },
    { { 1, 6 }, { 2, 5 }, SV_POSITION_OLDER },     { { 2, 6 }, { 1, 6 }, SV_POSITION_NEWER },
    { { 0, 6 }, { 0, 5 }, SV_POSITION_NEWER },     { { 0, 6 }, { 1, 5 }, SV_POSITION_UNRELATED },
    { { 1, 5 }, { 0, 6 }, SV_POSITION_UNRELATED }, { { 3, 0 }, { 1, 5 }, SV_POSITION_OLDER },
    { { 1, 5 }, { 3, 0 }, SV_POSITION_NEWER },     { { 0, 0 }, { 3, 0 }, SV_POSITION_SAME },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    CU_ASSERT_EQUAL (sv_position_compare (rows[i].a, rows[i].b), rows[i].order);
}

static const SuiteCase cases[] = {
  { "eras are read", test_eras_are_read },
  { "positions", test_positions },
};

SUITE_MAIN ("pl_era", cases)
