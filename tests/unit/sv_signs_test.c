/** Which signs of life are of the process that an endpoint's row is about. */

#include "serve/signs.h"
#include "suite.h"

/* The loss that is asked about, and the time at which its process would be alive. */
#define LOST_AT (100 * KNL_SEC)
#define UNTIL   (101 * KNL_SEC)

typedef struct
{
  KnlTime connected_at; /* s; 0: another instance has heard from it */
  KnlTime at;           /* s; 0: no sign */
} Sign;

typedef struct
{
  const char *name;
  Sign signs[3];
  KnlTime listed_at; /* ms; 0: never */
  gboolean is_proven;
  gboolean is_shown;
} Row;

static void
note (SvSigns *self, const Sign *sign)
{
  if (sign->connected_at > 0)
    sv_signs_note_bytes (self, sign->connected_at * KNL_SEC, sign->at * KNL_SEC, 0);
  else if (sign->at > 0)
    sv_signs_note_told (self, sign->at * KNL_SEC);
}

/* Guards against a loss that counts as refuted, or not, by an endpoint's next process, which
 * answers under the same key until its row is read. */
static void
test_signs_by_table (void)
{
  static const Row rows[] = {
    { "none", { { 0 } }, 200000, FALSE, FALSE },
    { "an older connection goes on", { { 90, 102 } }, 0, TRUE, TRUE },
    { "it was silent since", { { 90, 100 } }, 0, FALSE, FALSE },
    { "a new connection", { { 101, 102 } }, 0, FALSE, TRUE },
    { "a new one, and the row is older", { { 101, 102 } }, 102000, FALSE, TRUE },
    { "a new one, and the row hasn't changed", { { 101, 102 } }, 102500, TRUE, TRUE },
    { "an older one overlaps a new one", { { 90, 101 }, { 100, 103 } }, 0, TRUE, TRUE },
    { "an older one ended before the new one", { { 90, 99 }, { 101, 103 } }, 0, FALSE, TRUE },
    { "an older one is heard from again", { { 101, 102 }, { 90, 103 } }, 0, TRUE, TRUE },
    { "a peer's word", { { 0, 102 } }, 0, FALSE, TRUE },
    { "a peer's word, and the row is older", { { 0, 102 } }, 103000, FALSE, TRUE },
    { "a peer's word, and the row hasn't changed", { { 0, 102 } }, 103500, TRUE, TRUE },
    { "a peer's word beside an older connection", { { 90, 102 }, { 0, 103 } }, 0, TRUE, TRUE },
    { "words from before and after", { { 0, 99 }, { 0, 102 } }, 101000, FALSE, TRUE },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      const Row *row = &rows[i];
      SvSigns signs = { 0 };

      for (guint j = 0; j < G_N_ELEMENTS (row->signs); j++)
        note (&signs, &row->signs[j]);
      if (row->listed_at > 0)
        sv_signs_note_listed (&signs, row->listed_at * KNL_MSEC);
      if (sv_signs_prove_life (&signs, LOST_AT, UNTIL) != row->is_proven
          || sv_signs_show_life (&signs, UNTIL) != row->is_shown)
        fprintf (stderr, "%s\n", row->name);
      CU_ASSERT_EQUAL (sv_signs_prove_life (&signs, LOST_AT, UNTIL), row->is_proven);
      CU_ASSERT_EQUAL (sv_signs_show_life (&signs, UNTIL), row->is_shown);
    }
}

/* Guards against signs that never count while more of them come than the list is confirmed. */
static void
test_proof_keeps_up_with_signs (void)
{
  SvSigns signs = { 0 };

  for (KnlTime at = 99 * KNL_SEC; at < 120 * KNL_SEC; at += 100 * KNL_MSEC)
    {
      sv_signs_note_told (&signs, at);
      if (at % (8 * KNL_SEC) == 0)
        sv_signs_note_listed (&signs, at);
    }
  CU_ASSERT_TRUE (sv_signs_prove_life (&signs, LOST_AT, UNTIL));
}

static const SuiteCase cases[] = {
  { "signs by table", test_signs_by_table },
  { "proof keeps up with signs", test_proof_keeps_up_with_signs },
};

SUITE_MAIN ("sv_signs", cases)
