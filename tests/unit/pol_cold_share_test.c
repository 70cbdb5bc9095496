/** An instance's part in sending to a cold endpoint: its share, and its bucket. */

#include "policy/cold_start.h"
#include "suite.h"

/* Guards against a rule that doesn't follow from the bound as the design says. */
static void
test_number_of_senders (void)
{
  static const struct
  {
    double rate;
    double bound;
    guint instances;
    guint senders;
  } rows[] = { { 17, 30.5, 84, 6 }, { 1, 6.5, 84, 2 },  { 17, 30.5, 3, 3 },
               { 1, 1.5, 84, 1 },   { 0.2, 0.3, 6, 1 }, { 100, 155, 985, 27 } };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    CU_ASSERT_EQUAL (pol_cold_max_senders (rows[i].rate, rows[i].bound, rows[i].instances),
                     rows[i].senders);
}

static PolColdShare
share_in_cells (const PolColdCell *cells, guint n_cells, guint own, guint rank)
{
  PolColdView view = {
    .rate = 17, .bound = 30.5, .cells = cells, .n_cells = n_cells, .own = own, .rank = rank
  };

  for (guint i = 0; i < n_cells; i++)
    view.heard += cells[i].instances;
  view.known = view.heard;
  return pol_cold_share (&view);
}

/* Guards against senders that aren't there: a small cell has no more than its instances, and the
 * others have the rest. */
static void
test_senders_by_cell (void)
{
  static const struct
  {
    PolColdCell cells[3];
    guint senders[3];
  } rows[] = {
    { { { 3, 28 }, { 2, 28 }, { 1, 28 } }, { 2, 2, 2 } },
    { { { 3, 1 }, { 2, 40 }, { 1, 40 } }, { 1, 3, 2 } },
    { { { 1, 2 }, { 9, 1 }, { 5, 1 } }, { 2, 1, 1 } },
    { { { 1, 40 }, { 9, 0 }, { 5, 40 } }, { 3, 0, 3 } },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    for (guint own = 0; own < 3; own++)
      for (guint rank = 0; rank < rows[i].cells[own].instances; rank++)
        CU_ASSERT_EQUAL (share_in_cells (rows[i].cells, 3, own, rank).is_sender,
                         rank < rows[i].senders[own]);
}

/* Guards against a bucket that collects more than one token, or starts with one although others
 * may have sent with theirs. */
static void
test_bucket_starts_and_fills (void)
{
  static const PolColdShare sender = { 2, TRUE, TRUE, 2, KNL_SEC };
  static const PolColdShare cut_off = { 1, TRUE, FALSE, 1, KNL_SEC };
  static const PolColdShare other = { 2, FALSE, TRUE, 0, KNL_SEC };
  static const KnlTime now = 10 * KNL_SEC;
  PolColdBucket bucket;

  pol_cold_bucket_start (&bucket, &sender, now);
  CU_ASSERT_EQUAL (pol_cold_bucket_wait (&bucket, now), 0);
  CU_ASSERT_EQUAL (pol_cold_bucket_wait (&bucket, now + 5 * KNL_SEC), 0);
  pol_cold_bucket_charge (&bucket, 1);
  CU_ASSERT_EQUAL (pol_cold_bucket_wait (&bucket, now + 5 * KNL_SEC), 500 * KNL_MSEC + 1);
  pol_cold_bucket_start (&bucket, &cut_off, now);
  CU_ASSERT_EQUAL (pol_cold_bucket_wait (&bucket, now), KNL_SEC + 1);
  pol_cold_bucket_start (&bucket, &other, now);
  CU_ASSERT_EQUAL (pol_cold_bucket_wait (&bucket, now), KNL_NEVER);
  pol_cold_bucket_update (&bucket, &sender, now + KNL_SEC);
  CU_ASSERT (pol_cold_bucket_wait (&bucket, now + KNL_SEC) > 500 * KNL_MSEC);
  CU_ASSERT_EQUAL (pol_cold_bucket_wait (&bucket, now + 5 * KNL_SEC), 0);
  pol_cold_bucket_update (&bucket, &other, now + 5 * KNL_SEC);
  pol_cold_bucket_update (&bucket, &sender, now + 5 * KNL_SEC);
  CU_ASSERT (pol_cold_bucket_wait (&bucket, now + 5 * KNL_SEC) > 500 * KNL_MSEC);
}

/* Guards against an instance of a large cell that sends while the one that it replaces has not
 * noticed the change yet. */
static void
test_handover_takes_as_long_as_detection (void)
{
  static const PolColdCell cell = { 1, 328 };
  static const struct
  {
    KnlTime detection_time;
    KnlTime handover;
  } rows[] = { { 0, KNL_SEC },
               { 1600 * KNL_MSEC, 1600 * KNL_MSEC },
               { 10 * KNL_SEC, 10 * KNL_SEC } };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      PolColdView view = { .rate = 17,
                           .bound = 30.5,
                           .known = 328,
                           .heard = 328,
                           .cells = &cell,
                           .n_cells = 1,
                           .rank = 9,
                           .detection_time = rows[i].detection_time };
      PolColdShare share = pol_cold_share (&view);
      PolColdBucket bucket;

      pol_cold_bucket_start (&bucket, &share, 0);
      view.rank = 0;
      share = pol_cold_share (&view);
      pol_cold_bucket_update (&bucket, &share, 0);
      CU_ASSERT (pol_cold_bucket_wait (&bucket, rows[i].handover) > 0);
      CU_ASSERT_EQUAL (pol_cold_bucket_wait (&bucket, rows[i].handover + KNL_SEC), 0);
    }
}

/* Guards against a wait that is too long for its type, and so is negative or means never. */
static void
test_rates_close_to_zero (void)
{
  static const double rates[] = { 1e-6, 1e-13, 1e-300, 5e-324 };

  for (guint i = 0; i < G_N_ELEMENTS (rates); i++)
    {
      PolColdBucket bucket = { 0 };
      KnlTime wait;

      pol_cold_bucket_start (&bucket, &(PolColdShare){ 1, TRUE, FALSE, rates[i], KNL_SEC }, 0);
      wait = pol_cold_bucket_wait (&bucket, KNL_SEC);
      CU_ASSERT (wait >= 1000 * KNL_SEC && wait <= 3601 * KNL_SEC);
    }
}

static const SuiteCase cases[] = {
  { "rates close to zero", test_rates_close_to_zero },
  { "number of senders", test_number_of_senders },
  { "senders by cell", test_senders_by_cell },
  { "bucket starts and fills", test_bucket_starts_and_fills },
  { "handover takes as long as detection", test_handover_takes_as_long_as_detection },
};

SUITE_MAIN ("pol_cold_share", cases)
