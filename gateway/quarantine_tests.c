/** Counts the tests of quarantines in one row of the store, before each is made. Instances that
 * hear nobody but reach the store, and those that start anew, find what others have counted;
 * without the store no test is made. */

#include "common/log.h"
#include "gateway.h"

/* Counts in the row; those of MAX_AGE are dropped. With more, no further test is made. */
#define MAX_COUNTS (2 * SV_MAX_QUARANTINED)
#define MAX_AGE    SV_QUARANTINE_TTL

static gboolean
is_of_claim (const Gateway *self, const PlTestCount *count)
{
  return count->service == self->claim.service && count->segment == self->claim.segment;
}

static gboolean
is_old (const PlTestCount *count, gint64 now_ms)
{
  return (now_ms - count->first_ms) * KNL_MSEC >= MAX_AGE;
}

/* The counts that are kept, with room for one more. Returns their number. */
static guint
read_counts (const PlAnswer *answer, json_t *row, PlTestCount counts[MAX_COUNTS + 1])
{
  guint n = row != NULL ? pl_decode_tests (row, counts, MAX_COUNTS) : 0;
  guint kept = 0;

  for (guint i = 0; i < n; i++)
    {
      /* One of the future would never become old. */
      counts[i].first_ms = MIN (counts[i].first_ms, answer->now_ms);
      if (!is_old (&counts[i], answer->now_ms))
        counts[kept++] = counts[i];
    }
  return kept;
}

/* The count of the claimed test, added if need be; NULL: there are too many. */
static PlTestCount *
ensure_count (const Gateway *self, PlTestCount counts[MAX_COUNTS + 1], guint *n, gint64 now_ms)
{
  for (guint i = 0; i < *n; i++)
    {
      if (is_of_claim (self, &counts[i]))
        return &counts[i];
    }
  if (*n >= MAX_COUNTS)
    return NULL;
  counts[*n] = (PlTestCount){ .service = self->claim.service,
                              .segment = self->claim.segment,
                              .first_ms = now_ms };
  return &counts[(*n)++];
}

static void
note_claim (Gateway *self, gboolean is_granted)
{
  sv_quarantine_note_claim (sv_core_quarantine (self->core), self->claim.service,
                            self->claim.segment, self->claim.tests, is_granted);
}

static void
log_failure (const char *call, PlStatus status)
{
  cm_log (CM_LOG_NOTICE, "quarantine-test-not-counted", "s", "call", call, "s", "status",
          pl_status_name (status));
}

/* If the answer is lost, the test may have been counted: it isn't made. */
static void
on_counted (PlStatus status, PlAnswer **answer, gpointer data)
{
  Gateway *self = data;

  self->claim_call = NULL;
  if (status == PL_OK)
    note_claim (self, TRUE);
  else
    log_failure ("write", status);
}

static void
write_counts (Gateway *self, const PlTestCount *counts, guint n, guint64 version)
{
  self->claim_call = pl_store_put (self->store, PL_TEST_TABLE, PL_TEST_KEY,
                                   pl_encode_tests (counts, n), version, on_counted, self);
}

static void
count_test (Gateway *self, const PlAnswer *answer, const PlRow *row)
{
  PlTestCount counts[MAX_COUNTS + 1];
  guint n = read_counts (answer, row->value, counts);
  PlTestCount *count = ensure_count (self, counts, &n, answer->now_ms);

  if (count == NULL)
    {
      cm_log (CM_LOG_ERR, "quarantine-tests-full", "i", "counts", (gint64)n);
      note_claim (self, FALSE);
      return;
    }
  /* The store may have come back from a copy that lacks some. */
  count->tests = MAX (count->tests, self->claim.tests);
  self->claim.tests = count->tests;
  if (count->tests >= SV_MAX_TESTS)
    {
      note_claim (self, FALSE);
      return;
    }
  self->claim.tests = ++count->tests;
  write_counts (self, counts, n, row->version);
}

static void
on_read (PlStatus status, PlAnswer **answer, gpointer data)
{
  Gateway *self = data;
  PlRow row = { 0 };

  self->claim_call = NULL;
  /* Without the store's clock the age of counts isn't known. */
  if (status != PL_OK || *answer == NULL || (*answer)->now_ms <= 0)
    {
      log_failure ("read", status);
      return;
    }
  if ((*answer)->rows->len > 0)
    pl_row_decode (g_ptr_array_index ((*answer)->rows, 0), &row);
  if (g_strcmp0 (row.key, PL_TEST_KEY) != 0)
    {
      json_decref (row.value);
      row = (PlRow){ 0 };
    }
  count_test (self, *answer, &row);
  json_decref (row.value);
}

/* One at a time; who isn't answered asks again. */
static void
on_claim (guint32 service, guint64 segment, guint tests, gpointer data)
{
  Gateway *self = data;

  if (self->claim_call != NULL)
    return;
  self->claim = (PlTestCount){ .service = service, .segment = segment, .tests = tests };
  self->claim_call = pl_store_get_row (self->store, PL_TEST_TABLE, PL_TEST_KEY, on_read, self);
}

void
gateway_start_quarantine_tests (Gateway *self)
{
  sv_quarantine_set_claims (sv_core_quarantine (self->core), on_claim, self);
}

void
gateway_stop_quarantine_tests (Gateway *self)
{
  g_clear_pointer (&self->claim_call, pl_call_cancel);
}
