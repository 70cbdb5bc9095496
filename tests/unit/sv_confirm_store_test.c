/** Confirmations by the answers of a store that may have been restored from an older copy. */

#include "confirm_fixture.h"
#include "suite.h"

#define ERA     2
#define VERSION 7

/* Time in which peers answer, and time after which no more is to be heard of them. */
#define ANSWER_TIME (300 * KNL_MSEC)
#define WAIT_TIME   (2500 * KNL_MSEC)

#define NEVER  KNL_NEVER
#define RECENT KNL_SEC
#define OLD    (MAX_STALENESS + KNL_SEC)

typedef enum
{
  AT_ONCE,
  BY_ANSWER, /* of a peer */
  BY_TIMEOUT,
  NOT_AT_ALL,
} When;

typedef struct
{
  const char *name;
  KnlTime own_age;  /* of the last confirmation; NEVER: none */
  KnlTime peer_age; /* the same of all others */
  guint64 peer_version;
  SvPosition watermark; /* version 0: none */
  guint64 era;          /* that the store states */
  gboolean is_first_start;
  When expected;
} Row;

static const Row rows[] = {
  { "a recent confirmation", RECENT, NEVER, VERSION, { 0 }, ERA, FALSE, AT_ONCE },
  { "an instance that starts", NEVER, RECENT, VERSION, { 0 }, ERA, FALSE, BY_ANSWER },
  { "an instance that was away", OLD, RECENT, VERSION, { 0 }, ERA, FALSE, BY_ANSWER },
  { "a lost configuration", NEVER, RECENT, VERSION + 2, { 0 }, ERA, FALSE, NOT_AT_ALL },
  { "lost while away", OLD, RECENT, VERSION + 2, { 0 }, ERA, FALSE, NOT_AT_ALL },
  { "an older peer", NEVER, RECENT, VERSION - 1, { 0 }, ERA, FALSE, BY_ANSWER },
  { "peers that start", NEVER, NEVER, VERSION, { 0 }, ERA, FALSE, BY_TIMEOUT },
  { "peers that were away", NEVER, OLD, VERSION, { 0 }, ERA, FALSE, BY_TIMEOUT },
  { "a watermark", NEVER, NEVER, VERSION, { ERA, VERSION }, ERA, FALSE, AT_ONCE },
  { "a higher watermark", NEVER, NEVER, VERSION, { ERA, VERSION + 2 }, ERA, FALSE, NOT_AT_ALL },
  { "an earlier watermark", NEVER, NEVER, VERSION, { ERA - 1, VERSION }, ERA, FALSE, BY_TIMEOUT },
  { "a first start", NEVER, NEVER, VERSION, { 0 }, ERA, TRUE, AT_ONCE },
  { "a store without eras", NEVER, NEVER, VERSION, { 0 }, 0, FALSE, AT_ONCE },
};

static void
set_age (const ConfirmFixture *self, ConfirmInstance *instance, KnlTime age)
{
  instance->confirmed_at = age == NEVER ? -KNL_NEVER : knl_kernel_now (self->kernel) - age;
}

static void
prepare (ConfirmFixture *self, const Row *row, ConfirmInstance *asker)
{
  for (guint i = 0; i < INSTANCES; i++)
    {
      ConfirmInstance *instance = &self->instances[i];

      instance->era = row->era;
      instance->config_known = 1;
      instance->version = instance == asker ? VERSION : row->peer_version;
      set_age (self, instance, instance == asker ? row->own_age : row->peer_age);
    }
}

static gboolean
is_confirmed (const ConfirmInstance *self, KnlTime since)
{
  return self->confirmed_at >= since;
}

/* Guards against an instance that relies on the store although it may have lost a configuration,
 * and against one that waits although nothing can be lost. */
static void
test_when_the_store_confirms (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      const Row *row = &rows[i];
      ConfirmFixture fixture;
      ConfirmInstance *asker;
      KnlTime at;

      confirm_fixture_open (&fixture);
      asker = &fixture.instances[0];
      prepare (&fixture, row, asker);
      at = knl_kernel_now (fixture.kernel);
      sv_confirm_note_watermark (asker->confirm, row->watermark);
      sv_confirm_note_store (asker->confirm, at);
      if (row->is_first_start)
        sv_confirm_note_first_start (asker->confirm, row->era);
      CU_ASSERT_EQUAL (is_confirmed (asker, at), row->expected == AT_ONCE);
      confirm_fixture_advance (&fixture, ANSWER_TIME, FALSE);
      CU_ASSERT_EQUAL (is_confirmed (asker, at), row->expected <= BY_ANSWER);
      confirm_fixture_advance (&fixture, WAIT_TIME, FALSE);
      CU_ASSERT_EQUAL (is_confirmed (asker, at), row->expected <= BY_TIMEOUT);
      if (row->expected == AT_ONCE && !row->is_first_start)
        CU_ASSERT_EQUAL (asker->n_watermark_reads, 0);
      confirm_fixture_close (&fixture);
    }
}

/* Guards against a store that all instances of a cell ask again and again after an outage, as none
 * has a recent confirmation. */
static void
test_some_read_watermarks (void)
{
  static const guint max_readers = 8;
  static const KnlTime read_interval = 250 * KNL_MSEC;
  ConfirmFixture fixture;
  guint n_reads = 0;

  confirm_fixture_open (&fixture);
  prepare (&fixture, &rows[7], NULL);
  for (guint i = 0; i < INSTANCES; i++)
    sv_confirm_note_store (fixture.instances[i].confirm, knl_kernel_now (fixture.kernel));
  confirm_fixture_advance (&fixture, WAIT_TIME, FALSE);
  for (guint i = 0; i < INSTANCES; i++)
    {
      CU_ASSERT (is_confirmed (&fixture.instances[i], 100 * KNL_SEC));
      n_reads += fixture.instances[i].n_watermark_reads;
    }
  CU_ASSERT (n_reads > 0);
  CU_ASSERT (n_reads <= max_readers * WAIT_TIME / read_interval);
  confirm_fixture_close (&fixture);
}

/* Guards against an instance that relies on the store because the first answers of all others were
 * lost, or because these had just started, too. */
static void
test_first_answers_are_lost (void)
{
  static const guint64 peer_versions[] = { VERSION, VERSION + 2 };

  for (guint i = 0; i < G_N_ELEMENTS (peer_versions); i++)
    {
      Row row = { .peer_age = NEVER, .peer_version = peer_versions[i], .era = ERA };
      ConfirmFixture fixture;
      ConfirmInstance *asker;
      KnlTime at;

      confirm_fixture_open (&fixture);
      asker = &fixture.instances[0];
      prepare (&fixture, &row, asker);
      set_age (&fixture, asker, NEVER);
      at = knl_kernel_now (fixture.kernel);
      sv_confirm_note_store (asker->confirm, at);
      confirm_fixture_advance (&fixture, ANSWER_TIME, FALSE);
      CU_ASSERT (!is_confirmed (asker, at));
      for (guint j = 1; j < INSTANCES; j++)
        set_age (&fixture, &fixture.instances[j], RECENT);
      confirm_fixture_advance (&fixture, ANSWER_TIME, FALSE);
      CU_ASSERT_EQUAL (is_confirmed (asker, at), peer_versions[i] == VERSION);
      confirm_fixture_advance (&fixture, WAIT_TIME, FALSE);
      CU_ASSERT_EQUAL (is_confirmed (asker, at), peer_versions[i] == VERSION);
      confirm_fixture_close (&fixture);
    }
}

/* Guards against an era that counts as trusted because an earlier one did. */
static void
test_each_era_is_checked (void)
{
  ConfirmFixture fixture;
  ConfirmInstance *asker;
  KnlTime at;

  confirm_fixture_open (&fixture);
  asker = &fixture.instances[0];
  prepare (&fixture, &rows[1], asker);
  sv_confirm_note_store (asker->confirm, knl_kernel_now (fixture.kernel));
  confirm_fixture_advance (&fixture, ANSWER_TIME, FALSE);
  CU_ASSERT (is_confirmed (asker, 0));
  prepare (&fixture, &rows[4], asker);
  asker->era = ERA + 1;
  at = knl_kernel_now (fixture.kernel);
  sv_confirm_note_store (asker->confirm, at);
  confirm_fixture_advance (&fixture, WAIT_TIME, FALSE);
  CU_ASSERT (!is_confirmed (asker, at));
  confirm_fixture_close (&fixture);
}

/* Guards against a version that a peer reports for good, although no store has it, and that keeps
 * the others from being confirmed; and against a lost one that is forgotten too early. */
static void
test_reports_that_the_store_refutes (void)
{
  static const struct
  {
    KnlTime own_age; /* of the last confirmation */
    KnlTime peer_age;
    gboolean reads_store;
    KnlTime binds_for; /* at least */
  } reports[] = {
    { NEVER, RECENT, TRUE, 29 * KNL_SEC },
    { RECENT, NEVER, TRUE, 29 * KNL_SEC },
    { NEVER, RECENT, FALSE, 29 * KNL_SEC },
  };

  for (guint i = 0; i < G_N_ELEMENTS (reports); i++)
    {
      ConfirmFixture fixture;
      ConfirmInstance *asker;
      KnlTime stale_for = 0;
      KnlTime at;

      confirm_fixture_open (&fixture);
      prepare (&fixture, &rows[1], NULL);
      asker =
          reports[i].reads_store ? &fixture.instances[0] : confirm_fixture_non_follower (&fixture);
      set_age (&fixture, asker, reports[i].own_age);
      sv_peers_set_versions (fixture.instances[1].peers, VERSION + 99, (SvPosition){ 0 });
      confirm_fixture_advance (&fixture, KNL_SEC, FALSE);
      at = knl_kernel_now (fixture.kernel);
      CU_ASSERT (sv_confirm_stale_since (asker->confirm) != KNL_NEVER);
      while (sv_confirm_stale_since (asker->confirm) != KNL_NEVER && stale_for < 60 * KNL_SEC)
        {
          for (guint j = 0; j < INSTANCES; j++)
            if (&fixture.instances[j] != asker)
              set_age (&fixture, &fixture.instances[j], reports[i].peer_age);
          if (reports[i].reads_store)
            sv_confirm_note_store (asker->confirm, knl_kernel_now (fixture.kernel));
          confirm_fixture_advance (&fixture, STEP, FALSE);
          stale_for = knl_kernel_now (fixture.kernel) - at;
        }
      CU_ASSERT (stale_for >= reports[i].binds_for);
      CU_ASSERT (stale_for < 35 * KNL_SEC);
      confirm_fixture_advance (&fixture, 10 * KNL_SEC, FALSE);
      CU_ASSERT_EQUAL (sv_confirm_stale_since (asker->confirm), KNL_NEVER);
      if (reports[i].reads_store)
        sv_confirm_note_store (asker->confirm, knl_kernel_now (fixture.kernel));
      confirm_fixture_advance (&fixture, WAIT_TIME, FALSE);
      CU_ASSERT (is_confirmed (asker, at + 30 * KNL_SEC));
      confirm_fixture_close (&fixture);
    }
}

/* Guards against a watermark of an instance that doesn't know the newest configuration itself. */
static void
test_who_writes_watermarks (void)
{
  static const struct
  {
    KnlTime age;
    guint64 reported; /* by a peer; 0: none */
    guint64 era;
    gboolean expected;
  } writers[] = {
    { RECENT, 0, ERA, TRUE },
    { RECENT, VERSION - 1, ERA, TRUE },
    { RECENT, VERSION + 2, ERA, FALSE },
    { OLD, 0, ERA, FALSE },
    { NEVER, 0, ERA, FALSE },
    { RECENT, 0, 0, FALSE },
  };

  for (guint i = 0; i < G_N_ELEMENTS (writers); i++)
    {
      ConfirmFixture fixture;
      ConfirmInstance *writer;
      SvPosition watermark;

      confirm_fixture_open (&fixture);
      writer = &fixture.instances[0];
      writer->era = writers[i].era;
      for (guint j = 1; j < INSTANCES; j++)
        sv_peers_set_versions (fixture.instances[j].peers, writers[i].reported, (SvPosition){ 0 });
      confirm_fixture_advance (&fixture, KNL_SEC, FALSE);
      set_age (&fixture, writer, writers[i].age);
      watermark = sv_confirm_watermark (writer->confirm);
      CU_ASSERT_EQUAL (watermark.version, writers[i].expected ? VERSION : 0);
      CU_ASSERT_EQUAL (watermark.era, writers[i].expected ? ERA : 0);
      confirm_fixture_close (&fixture);
    }
}

static const SuiteCase cases[] = {
  { "when the store confirms", test_when_the_store_confirms },
  { "some read watermarks", test_some_read_watermarks },
  { "first answers are lost", test_first_answers_are_lost },
  { "each era is checked", test_each_era_is_checked },
  { "reports that the store refutes", test_reports_that_the_store_refutes },
  { "who writes watermarks", test_who_writes_watermarks },
};

SUITE_MAIN ("sv_confirm_store", cases)
