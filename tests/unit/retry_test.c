/** Retry backoff and the hashes of prefix blocks. */

#include "common/prefix.h"
#include "common/retry.h"
#include "kernel/paused.h"
#include "suite.h"

static void
test_backoff_doubles_within_bounds (void)
{
  g_autoptr (KnlPausedClock) clock = knl_paused_clock_new ();
  g_autoptr (KnlKernel) kernel = knl_kernel_new (knl_paused_clock_runtime (clock), 7);
  CmBackoff backoff = { .first = 10 * KNL_MSEC, .limit = 50 * KNL_MSEC };
  static const KnlTime delays[] = { 10, 20, 40, 50, 50 };

  for (guint i = 0; i < G_N_ELEMENTS (delays); i++)
    {
      KnlTime delay = cm_backoff_next (&backoff, kernel);

      CU_ASSERT (delay >= delays[i] * KNL_MSEC / 2 && delay <= delays[i] * KNL_MSEC);
    }
  for (guint i = 0; i < 1000; i++)
    CU_ASSERT (cm_backoff_next (&backoff, kernel) <= backoff.limit);
  cm_backoff_reset (&backoff);
  CU_ASSERT (cm_backoff_next (&backoff, kernel) <= backoff.first);
}

static void
test_prefix_hashes (void)
{
  static const struct
  {
    gsize length;
    gsize changed; /* offset of the byte that differs in the second prompt */
    gsize limit;
    gsize count;
    gsize equal; /* number of equal hashes from the first on */
  } rows[] = {
    { 0, 0, 8, 0, 0 },
    { CM_PREFIX_BLOCK - 1, 0, 8, 0, 0 },
    { CM_PREFIX_BLOCK, 0, 8, 1, 0 },
    { (gsize)3 * CM_PREFIX_BLOCK + 5, CM_PREFIX_BLOCK, 8, 3, 1 },
    { (gsize)3 * CM_PREFIX_BLOCK + 5, (gsize)3 * CM_PREFIX_BLOCK, 8, 3, 3 },
    { (gsize)3 * CM_PREFIX_BLOCK, 0, 2, 2, 0 },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_autofree char *prompt = g_malloc0 (rows[i].length + 1);
      guint64 first[8] = { 0 };
      guint64 second[8] = { 0 };
      gsize equal = 0;

      CU_ASSERT_EQUAL (cm_prefix_hashes (prompt, rows[i].length, first, rows[i].limit),
                       rows[i].count);
      prompt[rows[i].changed] = 'x';
      cm_prefix_hashes (prompt, rows[i].length, second, rows[i].limit);
      while (equal < rows[i].count && first[equal] == second[equal])
        equal++;
      CU_ASSERT_EQUAL (equal, rows[i].equal);
    }
  CU_ASSERT_EQUAL (cm_prefix_fingerprint ("", 0), G_GUINT64_CONSTANT (0xef46db3751d8e999));
}

static const SuiteCase cases[] = {
  { "backoff doubles within bounds", test_backoff_doubles_within_bounds },
  { "prefix hashes, by table", test_prefix_hashes },
};

SUITE_MAIN ("retry", cases)
