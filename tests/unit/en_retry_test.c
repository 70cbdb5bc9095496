/** Which losses are retried, and how an answer continues from another attempt. */

#include <string.h>

#include "entry/progress.h"
#include "entry/retry.h"
#include "suite.h"

typedef struct
{
  PolRetryCase c;
  PolRetry decision;
  EnOutcome outcome;
} RetryRow;

static const RetryRow retry_rows[] = {
  { { .kind = POL_LOSS_NOT_RUN, .attempts = 1 }, POL_RETRY_FREE, EN_OUTCOME_NOT_RUN },
  { { .kind = POL_LOSS_NOT_RUN, .attempts = 8 }, POL_RETRY_NEVER, EN_OUTCOME_NOT_RUN },
  { { .kind = POL_LOSS_NOT_RUN, .attempts = 1, .non_idempotent = TRUE },
    POL_RETRY_FREE,
    EN_OUTCOME_NOT_RUN },
  { { .kind = POL_LOSS_NOT_RUN, .attempts = 2, .non_idempotent = TRUE, .may_have_run = TRUE },
    POL_RETRY_NEVER,
    EN_OUTCOME_UNKNOWN },
  { { .kind = POL_LOSS_NOT_RUN, .attempts = 9, .may_have_run = TRUE },
    POL_RETRY_NEVER,
    EN_OUTCOME_UNKNOWN },
  { { .kind = POL_LOSS_FAILED, .attempts = 1, .accepted = TRUE, .costly = 1 },
    POL_RETRY_BUDGET,
    EN_OUTCOME_FAILED },
  { { .kind = POL_LOSS_UNKNOWN, .attempts = 1, .accepted = TRUE, .costly = 1 },
    POL_RETRY_BUDGET,
    EN_OUTCOME_UNKNOWN },
  { { .kind = POL_LOSS_UNKNOWN, .attempts = 5, .accepted = TRUE, .costly = 3 },
    POL_RETRY_NEVER,
    EN_OUTCOME_UNKNOWN },
  { { .kind = POL_LOSS_UNKNOWN, .attempts = 1 }, POL_RETRY_FREE, EN_OUTCOME_UNKNOWN },
  { { .kind = POL_LOSS_UNKNOWN, .attempts = 1, .non_idempotent = TRUE },
    POL_RETRY_NEVER,
    EN_OUTCOME_UNKNOWN },
  { { .kind = POL_LOSS_MISMATCH, .attempts = 1 }, POL_RETRY_NEVER, EN_OUTCOME_UNKNOWN },
};

static void
test_retries (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (retry_rows); i++)
    {
      CU_ASSERT_EQUAL (pol_retry_decide (&en_retry_rule, &retry_rows[i].c), retry_rows[i].decision);
      CU_ASSERT_EQUAL (en_retry_error (&retry_rows[i].c, "").outcome, retry_rows[i].outcome);
    }
}

typedef struct
{
  const char *name;
  const char *parts[4]; /* texts of the second attempt, one token per letter */
  const char *got;      /* the caller's complete answer; NULL: the mismatch is detected */
} JoinCase;

/* The caller has received "abc" from a lost attempt. */
static const JoinCase join_cases[] = {
  { "the same text, split at the caller's position", { "a", "bc", "de" }, "abcde" },
  { "a text across the caller's position", { "ab", "cde" }, "abcde" },
  { "all in one", { "abcde" }, "abcde" },
  { "other text", { "ab", "x", "de" }, NULL },
  { "other text in one part", { "axcde" }, NULL },
};

static void
test_joined_answers (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (join_cases); i++)
    {
      const JoinCase *c = &join_cases[i];
      EnProgress progress;
      EnReplay first;
      EnReplay second;
      g_autoptr (GString) got = g_string_new (NULL);
      const char *fresh;
      guint count;
      gboolean same = TRUE;

      en_progress_init (&progress);
      en_replay_init (&first);
      en_replay_init (&second);
      CU_ASSERT_TRUE (en_replay_add (&first, &progress, 3, "abc", &fresh, &count));
      g_string_append (got, fresh);
      for (guint p = 0; p < 4 && c->parts[p] != NULL && same; p++)
        {
          same = en_replay_add (&second, &progress, (guint)strlen (c->parts[p]), c->parts[p],
                                &fresh, &count);
          if (same)
            g_string_append (got, fresh);
        }
      CU_ASSERT_EQUAL (same, c->got != NULL);
      CU_ASSERT_STRING_EQUAL (got->str, c->got != NULL ? c->got : "abc");
      en_replay_clear (&first);
      en_replay_clear (&second);
      en_progress_clear (&progress);
    }
}

static const SuiteCase cases[] = {
  { "which losses are retried", test_retries },
  { "a repeated answer continues the first one or is rejected", test_joined_answers },
};

SUITE_MAIN ("en_retry", cases)
