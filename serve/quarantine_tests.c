/** Tests of quarantines: prompts that are let through to find out whether endpoints still end under
 * them. Each may cost an endpoint, so that all instances together make few. */

#include <xxhash.h>

#include "common/log.h"
#include "serve/quarantine_internal.h"

/* Age at which a quarantine is put to the test for the first time; then when its age has doubled.
 * A wrong quarantine ends soon. */
#define FIRST_TEST_AGE (30 * KNL_SEC)

/* Time for which one instance is elected to make the next test. */
#define ELECTION_TERM (60 * KNL_SEC)

/* Shortest time between two questions for the same test, and after one has been denied. */
#define ASK_INTERVAL (1 * KNL_SEC)
#define DENIED_DELAY (600 * KNL_SEC)

/* Segments and requests whose tests have been asked for. */
#define MAX_CLAIMS (2 * SV_MAX_QUARANTINED)

/* A test that was asked for. */
typedef struct
{
  SegmentKey key;
  gboolean is_granted; /* and not made yet */
  KnlTime ask_after;
  KnlTime expires;
} Claim;

static gboolean
is_expired (gpointer key, gpointer value, gpointer data)
{
  return ((const Claim *)value)->expires <= knl_kernel_now (data);
}

static gboolean
is_spare (gpointer key, gpointer value, gpointer data)
{
  return !((const Claim *)value)->is_granted;
}

static void
make_room (SvQuarantine *self)
{
  if (g_hash_table_size (self->claims) < MAX_CLAIMS)
    return;
  g_hash_table_foreach_remove (self->claims, is_expired, self->kernel);
  if (g_hash_table_size (self->claims) >= MAX_CLAIMS)
    g_hash_table_foreach_remove (self->claims, is_spare, NULL);
}

/* NULL: there are too many. */
static Claim *
ensure_claim (SvQuarantine *self, const SegmentKey *key)
{
  Claim *claim = g_hash_table_lookup (self->claims, key);

  if (claim != NULL)
    return claim;
  make_room (self);
  if (g_hash_table_size (self->claims) >= MAX_CLAIMS)
    return NULL;
  claim = g_new0 (Claim, 1);
  claim->key = *key;
  claim->expires = knl_kernel_now (self->kernel) + SV_QUARANTINE_TTL;
  g_hash_table_replace (self->claims, &claim->key, claim);
  return claim;
}

static gboolean
has_grant (const SvQuarantine *self, const SegmentKey *key)
{
  const Claim *claim = g_hash_table_lookup (self->claims, key);

  return claim != NULL && claim->is_granted;
}

void
sv_quarantine_set_claims (SvQuarantine *self, SvClaimFunc claim, gpointer data)
{
  self->claim = claim;
  self->claim_data = data;
}

gboolean
sv_quarantine_take_test (SvQuarantine *self, guint32 service, guint64 segment, guint tests)
{
  KnlTime now = knl_kernel_now (self->kernel);
  SegmentKey key = { segment, service };
  Claim *claim;

  if (self->claim == NULL)
    return TRUE;
  claim = ensure_claim (self, &key);
  if (claim == NULL)
    return FALSE;
  if (claim->is_granted)
    {
      claim->is_granted = FALSE;
      claim->ask_after = now + ASK_INTERVAL;
      return TRUE;
    }
  if (now < claim->ask_after)
    return FALSE;
  claim->ask_after = now + ASK_INTERVAL;
  self->claim (service, segment, tests, self->claim_data);
  return FALSE;
}

static void
log_claim (const SvQuarantine *self, const SegmentKey *key, guint tests, gboolean is_granted)
{
  SvQuarantined quarantined = { .service = key->service, .segment = key->segment };
  g_autofree char *id = sv_quarantined_format (&quarantined);

  cm_log (CM_LOG_NOTICE, "quarantine-test-counted", "s", sv_quarantined_field (&quarantined), id,
          "b", "granted", is_granted, "i", "tests", (gint64)tests);
}

void
sv_quarantine_note_claim (SvQuarantine *self,
                          guint32 service,
                          guint64 segment,
                          guint tests,
                          gboolean is_granted)
{
  SegmentKey key = { segment, service };
  Claim *claim = ensure_claim (self, &key);
  Entry *entry = sv_quarantine_find_entry (self, &key);

  log_claim (self, &key, tests, is_granted);
  if (claim != NULL)
    {
      claim->is_granted = is_granted;
      claim->ask_after = knl_kernel_now (self->kernel) + (is_granted ? 0 : DENIED_DELAY);
    }
  if (entry != NULL && tests > entry->told.tests)
    {
      entry->told.tests = tests;
      sv_quarantine_mark_unsent (entry, SV_CRASH_OWN);
    }
}

/* Number of tests that are due at the quarantine's age. */
static guint
count_due (const SvQuarantine *self, const Entry *entry)
{
  KnlTime age = knl_kernel_now (self->kernel) - entry->told.since;
  guint n = 0;

  for (KnlTime due = FIRST_TEST_AGE; due <= age && n < SV_MAX_TESTS; due *= 2)
    n++;
  return n;
}

/* The instance that is elected may get no such prompt; another one is in the next term. */
static gboolean
is_elected (const SvQuarantine *self, const Entry *entry)
{
  KnlTime age = knl_kernel_now (self->kernel) - entry->told.since;
  guint64 parts[] = { entry->key.segment, entry->key.service, entry->told.tests,
                      (guint64)(age / ELECTION_TERM) };

  return self->is_elected != NULL
         && self->is_elected (XXH64 (parts, sizeof parts, 0), self->election_data);
}

gboolean
sv_quarantine_is_let_through (SvQuarantine *self, Entry *entry)
{
  g_autofree char *id = NULL;

  if (!has_grant (self, &entry->key)
      && (entry->told.tests >= count_due (self, entry) || !is_elected (self, entry)))
    return FALSE;
  if (!sv_quarantine_take_test (self, entry->key.service, entry->key.segment, entry->told.tests))
    return FALSE;
  /* Tests that are claimed are counted with the claim. */
  if (self->claim == NULL)
    {
      entry->told.tests++;
      sv_quarantine_mark_unsent (entry, SV_CRASH_OWN);
    }
  id = sv_quarantined_format (&entry->told);
  cm_log (CM_LOG_NOTICE, "quarantine-tested", "s", sv_quarantined_field (&entry->told), id, "i",
          "test", (gint64)entry->told.tests, "i", "age-us",
          knl_kernel_now (self->kernel) - entry->told.since);
  return TRUE;
}
