/** Platform models: the table and its faults, the lagging instance list, the in-memory client. */

#include "suite.h"

#include "kernel/paused.h"
#include "tests/fakes/memory_platform.h"

typedef struct
{
  KnlPausedClock *clock;
  KnlKernel *store_kernel;
  KnlKernel *kernel;
  KnlRuntime *runtime;
  FkStore *store;
  TbTable *platform;
  guint calls;
  TbStatus status;
  guint64 version;
  char *keys; /* rows read, as "KEY=VALUE;..." */
  gboolean more;
  guint members;
} Fixture;

static Fixture
fixture_new (void)
{
  Fixture f = { .clock = knl_paused_clock_new () };

  f.store_kernel = knl_kernel_new (knl_paused_clock_runtime (f.clock), 1);
  f.runtime = knl_paused_clock_runtime (f.clock);
  f.kernel = knl_kernel_new (f.runtime, 2);
  f.store = fk_store_new (f.store_kernel, KNL_SEC);
  f.platform = fk_memory_platform_new (f.store, f.kernel);
  return f;
}

static void
fixture_clear (Fixture *f)
{
  g_free (f->keys);
  tb_platform_free (f->platform);
  fk_store_free (f->store);
  knl_kernel_free (f->kernel);
  knl_kernel_free (f->store_kernel);
  knl_paused_clock_free (f->clock);
}

G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (Fixture, fixture_clear)

static void
on_transact (TbStatus status, guint64 version, gpointer data)
{
  Fixture *f = data;

  f->calls++;
  f->status = status;
  f->version = version;
}

static void
on_rows (TbStatus status, const TbRow *rows, guint n_rows, gboolean more, gpointer data)
{
  Fixture *f = data;
  GString *keys = g_string_new (NULL);

  for (guint i = 0; i < n_rows; i++)
    g_string_append_printf (keys, "%s=%s;", rows[i].key, rows[i].value);
  g_free (f->keys);
  f->keys = g_string_free (keys, FALSE);
  f->calls++;
  f->status = status;
  f->more = more;
}

static void
on_members (TbStatus status, Alderturn__Member *const *members, guint n_members, gpointer data)
{
  ((Fixture *)data)->members = status == TB_OK ? n_members : G_MAXUINT;
}

static TbCallId
put (Fixture *f, const char *key, guint64 version, const char *value)
{
  TbCheck check = { .key = key, .version = version };
  TbWrite write = { .key = key, .value = value };
  TbTransaction transaction = { .checks = &check, .n_checks = 1, .writes = &write, .n_writes = 1 };

  return tb_transact (f->platform, &transaction, on_transact, f);
}

static void
test_transactions_by_table (void)
{
  static const struct
  {
    const char *key;
    guint64 check;
    const char *value;
    TbStatus status;
    guint64 version;
  } rows[] = {
    { "a", 0, "1", TB_OK, 1 },       { "a", 0, "2", TB_CONFLICT, 0 }, { "a", 1, "3", TB_OK, 2 },
    { "ab", 0, "4", TB_OK, 3 },      { "b", 0, "5", TB_OK, 4 },       { "a", 2, NULL, TB_OK, 5 },
    { "a", 2, "6", TB_CONFLICT, 0 }, { "a", 0, "7", TB_OK, 6 },
  };
  g_auto (Fixture) f = fixture_new ();
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      put (&f, rows[i].key, rows[i].check, rows[i].value);
      CU_ASSERT_EQUAL (f.calls, i);
      knl_paused_clock_advance (f.clock, 2 * KNL_MSEC);
      CU_ASSERT_EQUAL (f.calls, i + 1);
      CU_ASSERT_EQUAL (f.status, rows[i].status);
      CU_ASSERT_EQUAL (f.version, rows[i].version);
    }
  tb_scan (f.platform, "a", NULL, 1, on_rows, &f);
  knl_paused_clock_advance (f.clock, 2 * KNL_MSEC);
  CU_ASSERT_STRING_EQUAL (f.keys, "a=7;");
  CU_ASSERT_TRUE (f.more);
  tb_scan (f.platform, "a", "a", 5, on_rows, &f);
  knl_paused_clock_advance (f.clock, 2 * KNL_MSEC);
  CU_ASSERT_STRING_EQUAL (f.keys, "ab=4;");
  CU_ASSERT_FALSE (f.more);
}

/* Each row: a fault, the status that the writer gets, and whether the write has taken effect. */
static void
test_faults_by_table (void)
{
  static const struct
  {
    SdTableFault table;
    KnlTime delay;
    FkPlatformFault client;
    TbStatus status;
    gboolean written;
  } rows[] = {
    { SD_TABLE_OUTAGE, 0, FK_PLATFORM_NORMAL, TB_UNAVAILABLE, FALSE },
    { SD_TABLE_HANG, 0, FK_PLATFORM_NORMAL, TB_UNKNOWN, FALSE },
    { SD_TABLE_SLOW, KNL_SEC, FK_PLATFORM_NORMAL, TB_OK, TRUE },
    { SD_TABLE_SLOW, 3 * KNL_SEC, FK_PLATFORM_NORMAL, TB_UNKNOWN, TRUE },
    { SD_TABLE_LOSE_ANSWERS, 0, FK_PLATFORM_NORMAL, TB_UNKNOWN, TRUE },
    { SD_TABLE_NORMAL, 0, FK_PLATFORM_UNREACHABLE, TB_UNAVAILABLE, FALSE },
    { SD_TABLE_NORMAL, 0, FK_PLATFORM_SILENT, TB_UNKNOWN, FALSE },
    { SD_TABLE_NORMAL, 0, FK_PLATFORM_LOSES_ANSWERS, TB_UNKNOWN, TRUE },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_auto (Fixture) f = fixture_new ();
      sd_table_set_fault (fk_store_table (f.store), rows[i].table, rows[i].delay, 1);
      fk_memory_platform_set_fault (f.platform, rows[i].client);
      put (&f, "k", 0, "v");
      knl_paused_clock_advance (f.clock, 2 * KNL_SEC);
      CU_ASSERT_EQUAL (f.calls, 1);
      CU_ASSERT_EQUAL (f.status, rows[i].status);
      knl_paused_clock_advance (f.clock, 2 * KNL_SEC);
      sd_table_set_fault (fk_store_table (f.store), SD_TABLE_NORMAL, 0, 0);
      fk_memory_platform_set_fault (f.platform, FK_PLATFORM_NORMAL);
      tb_read (f.platform, "k", on_rows, &f);
      knl_paused_clock_advance (f.clock, 2 * KNL_MSEC);
      CU_ASSERT_STRING_EQUAL (f.keys, rows[i].written ? "k=v;" : "");
    }
}

/*
 * A paused lease holder's renewal can take effect after another instance has taken the lease:
 * the holder sends the write and is frozen, and the store carries the write out meanwhile.
 * Checks that the model reproduces this: requests in flight are carried out by the store's kernel.
 */
static void
test_a_write_takes_effect_while_its_sender_is_frozen (void)
{
  g_auto (Fixture) f = fixture_new ();
  put (&f, "k", 0, "v");
  knl_paused_runtime_set_frozen (f.runtime, TRUE);
  knl_paused_clock_advance (f.clock, KNL_SEC);
  CU_ASSERT_EQUAL (f.calls, 0);
  CU_ASSERT_EQUAL (sd_table_writes (fk_store_table (f.store)), 1);
  knl_paused_runtime_set_frozen (f.runtime, FALSE);
  knl_paused_clock_advance (f.clock, 0);
  CU_ASSERT_EQUAL (f.status, TB_OK);
  CU_ASSERT_EQUAL (f.calls, 1);
}

static void
test_cancelled_and_abandoned_calls_do_not_leak (void)
{
  g_auto (Fixture) f = fixture_new ();
  TbCallId call;
  call = put (&f, "k", 0, "v");
  tb_call_cancel (f.platform, &call);
  knl_paused_clock_advance (f.clock, KNL_SEC);
  CU_ASSERT_EQUAL (f.calls, 0);
  CU_ASSERT_EQUAL (sd_table_writes (fk_store_table (f.store)), 1);
  put (&f, "l", 0, "v");
}

static void
test_rate_limit_refuses_and_recovers (void)
{
  g_auto (Fixture) f = fixture_new ();
  SdTable *table;
  json_auto_t *nothing = json_object ();
  json_t *answer;
  guint refused = 0;
  table = sd_table_new (f.store_kernel, 10, 0);
  for (guint i = 0; i < 15; i++)
    {
      refused += sd_table_transact (table, nothing, &answer) == TB_UNAVAILABLE ? 1 : 0;
      json_decref (answer);
    }
  CU_ASSERT_EQUAL (refused, 5);
  knl_paused_clock_advance (f.clock, KNL_SEC / 10);
  CU_ASSERT_EQUAL (sd_table_transact (table, nothing, &answer), TB_OK);
  json_decref (answer);
  CU_ASSERT_EQUAL (sd_table_transact (table, nothing, &answer), TB_UNAVAILABLE);
  sd_table_free (table);
}

static void
test_the_instance_list_lags_and_freezes (void)
{
  static const SdInstance instance = { .name = (char *)"e1", .kind = (char *)"engine" };
  static const struct
  {
    KnlTime wait;
    gboolean frozen;
    guint seen;
  } rows[] = {
    { KNL_SEC / 2, FALSE, 0 },
    { KNL_SEC, TRUE, 0 },
    { 0, FALSE, 1 },
  };
  g_auto (Fixture) f = fixture_new ();
  sd_instance_list_put (fk_store_instances (f.store), &instance);
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      sd_instance_list_set_frozen (fk_store_instances (f.store), rows[i].frozen);
      knl_paused_clock_advance (f.clock, rows[i].wait);
      tb_instances (f.platform, on_members, &f);
      knl_paused_clock_advance (f.clock, 2 * KNL_MSEC);
      CU_ASSERT_EQUAL (f.members, rows[i].seen);
    }
}

static const SuiteCase cases[] = {
  { "transactions and scans, by table", test_transactions_by_table },
  { "faults of the table and of one client, by table", test_faults_by_table },
  { "a write takes effect while its sender is frozen",
    test_a_write_takes_effect_while_its_sender_is_frozen },
  { "cancelled and abandoned calls leave nothing behind",
    test_cancelled_and_abandoned_calls_do_not_leak },
  { "the rate limit refuses and recovers", test_rate_limit_refuses_and_recovers },
  { "the instance list lags and freezes", test_the_instance_list_lags_and_freezes },
};

SUITE_MAIN ("table_model", cases)
