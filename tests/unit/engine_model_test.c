/** Engine model: streams and memory; the in-memory fleet that runs it behind an EpClient. */

#include "suite.h"

#include "kernel/paused.h"
#include "tests/fakes/memory_engine.h"

#include <string.h>

#define ADDRESS "127.0.0.1:9001"
#define OTHER   "127.0.0.1:9002"

typedef struct
{
  guint accepted;
  guint64 tokens;
  GString *text;
  KnlTime first_token;
  gboolean ended;
  gboolean failed;
  EpFailureKind failure;
  gboolean leaving;
  char detail[64];
} Answer;

typedef struct
{
  KnlPausedClock *clock;
  KnlKernel *kernel;
  FkFleet *fleet;
  EpClient *client;
  SdEngineSettings settings;
  char *prompt;
  Answer answers[3];
  gboolean reported;
  EpReport report; /* its strings and lists are no longer valid */
  guint acknowledged;
  guint ran;
  guint finished;
} Fixture;

static Fixture
fixture_new (void)
{
  Fixture f = { .clock = knl_paused_clock_new (), .settings = sd_engine_defaults };

  f.kernel = knl_kernel_new (knl_paused_clock_runtime (f.clock), 1);
  f.fleet = fk_fleet_new (f.clock);
  f.client = fk_fleet_client_new (f.fleet, f.kernel);
  f.settings.model = "m";
  f.settings.hold_timeout = 5 * KNL_SEC;
  f.prompt = g_strnfill (1600000, 'p');
  for (guint i = 0; i < G_N_ELEMENTS (f.answers); i++)
    f.answers[i].text = g_string_new (NULL);
  fk_fleet_add_engine (f.fleet, ADDRESS, &f.settings);
  fk_fleet_add_engine (f.fleet, OTHER, &f.settings);
  return f;
}

static void
fixture_clear (Fixture *f)
{
  ep_client_free (f->client);
  fk_fleet_free (f->fleet);
  for (guint i = 0; i < G_N_ELEMENTS (f->answers); i++)
    g_string_free (f->answers[i].text, TRUE);
  g_free (f->prompt);
  knl_kernel_free (f->kernel);
  knl_paused_clock_free (f->clock);
}

G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (Fixture, fixture_clear)

static void
on_accepted (EpStream *stream, gpointer data)
{
  ((Answer *)data)->accepted++;
}

static void
on_tokens (EpStream *stream, guint64 offset, guint count, const char *text, gpointer data)
{
  Answer *answer = data;

  answer->tokens += count;
  g_string_append (answer->text, text);
}

static void
on_end (EpStream *stream, guint64 count, const char *finish, gpointer data)
{
  ((Answer *)data)->ended = TRUE;
}

static void
on_failed (EpStream *stream, const EpFailure *failure, gpointer data)
{
  Answer *answer = data;

  answer->failed = TRUE;
  answer->failure = failure->kind;
  answer->leaving = failure->leaving;
  g_strlcpy (answer->detail, failure->detail, sizeof answer->detail);
}

static const EpStreamEvents events = {
  .on_accepted = on_accepted,
  .on_tokens = on_tokens,
  .on_end = on_end,
  .on_failed = on_failed,
};

static EpGenerate
generation (Fixture *f, const char *request, guint64 tokens)
{
  return (EpGenerate){
    .address = ADDRESS,
    .request = request,
    .model = "m",
    .prompt = f->prompt,
    .prompt_bytes = tokens * 4,
    .prompt_tokens = tokens,
    .max_tokens = 100,
    .connect_timeout = KNL_SEC,
    .first_byte_timeout = KNL_SEC,
    .idle_timeout = 3 * KNL_SEC,
  };
}

/* Sends `generate`, records its answer in answers[i] and advances the clock by `time`. */
static void
send (Fixture *f, guint i, const EpGenerate *generate, KnlTime time)
{
  ep_client_generate (f->client, generate, &events, &f->answers[i]);
  knl_paused_clock_advance (f->clock, time);
}

static void
count_ran (const char *address, const SdRan *ran, gpointer data)
{
  Fixture *f = data;

  f->ran++;
  f->finished += ran->finished ? 1 : 0;
}

static SdEngine *
engine_of (Fixture *f)
{
  return fk_fleet_engine (f->fleet, ADDRESS);
}

/* Time to first token of a short prompt sent one second after a long one. */
static KnlTime
short_behind_long (int priority)
{
  g_auto (Fixture) f = fixture_new ();
  EpGenerate longer = generation (&f, "long", 200000);
  EpGenerate shorter = generation (&f, "short", 1000);
  KnlTime start;
  longer.idle_timeout = 60 * KNL_SEC;
  shorter.idle_timeout = 60 * KNL_SEC;
  shorter.priority = priority;
  send (&f, 0, &longer, KNL_SEC);
  start = knl_paused_clock_now (f.clock);
  send (&f, 1, &shorter, 0);
  while (f.answers[1].tokens == 0 && knl_paused_clock_now (f.clock) < start + 60 * KNL_SEC)
    knl_paused_clock_advance (f.clock, 10 * KNL_MSEC);
  start = knl_paused_clock_now (f.clock) - start;
  return start;
}

static void
test_long_prefill_delays_short_ones_of_its_priority (void)
{
  CU_ASSERT_TRUE (short_behind_long (0) > 8 * KNL_SEC);
  CU_ASSERT_TRUE (short_behind_long (1) < KNL_SEC);
}

static void
test_complete_answer_and_its_memory (void)
{
  g_auto (Fixture) f = fixture_new ();
  EpGenerate generate = generation (&f, "r", 1000);
  g_autoptr (GString) expected = g_string_new (NULL);
  send (&f, 0, &generate, KNL_SEC);
  CU_ASSERT_EQUAL (sd_engine_reserved_tokens (engine_of (&f)), 1100);
  knl_paused_clock_advance (f.clock, 2 * KNL_SEC);
  sd_answer_append (expected, sd_prompt_hash (f.prompt, 4000), 0, 100);
  CU_ASSERT_TRUE (f.answers[0].ended);
  CU_ASSERT_STRING_EQUAL (f.answers[0].text->str, expected->str);
  CU_ASSERT_EQUAL (sd_engine_reserved_tokens (engine_of (&f)), 0);
  generate.resume = TRUE;
  generate.from_offset = 60;
  send (&f, 1, &generate, KNL_SEC);
  CU_ASSERT_TRUE (f.answers[1].ended);
  CU_ASSERT_STRING_EQUAL (f.answers[1].text->str, expected->str + 60 * strlen ("00000000 "));
}

/*
 * Each row: a request and how it is refused or fails. None may be recorded as run: otherwise an
 * entry reports "not run" for a request that ran.
 */
static void
test_refusals_by_table (void)
{
  static const struct
  {
    const char *model;
    guint64 tokens;
    gboolean leave;
    const char *role;
    EpFailureKind kind;
    const char *detail;
  } rows[] = {
    { "other", 1000, FALSE, "any", EP_REFUSED, "model" },
    { "m", 1000, TRUE, "any", EP_REFUSED, "leaving" },
    { "m", 100000, FALSE, "short", EP_REFUSED, "role" },
    { "m", 399950, FALSE, "any", EP_FAILED, "out-of-memory" },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_auto (Fixture) f = fixture_new ();
      EpGenerate generate = generation (&f, "r", rows[i].tokens);
      EpOrder order = { .fence = 1, .model = "m", .role = rows[i].role };
      guint64 fence;
      generate.model = rows[i].model;
      sd_engine_order (engine_of (&f), &order, &fence);
      if (rows[i].leave)
        sd_engine_leave (engine_of (&f));
      send (&f, 0, &generate, KNL_SEC);
      fk_fleet_foreach_ran (f.fleet, count_ran, &f);
      CU_ASSERT_TRUE (f.answers[0].failed);
      CU_ASSERT_EQUAL (f.answers[0].failure, rows[i].kind);
      CU_ASSERT_STRING_EQUAL (f.answers[0].detail, rows[i].detail);
      CU_ASSERT_EQUAL (f.answers[0].leaving, rows[i].leave);
      CU_ASSERT_EQUAL (f.ran, 0);
      CU_ASSERT_EQUAL (sd_engine_reserved_tokens (engine_of (&f)), 0);
    }
}

/* Each row: a connection fault, how the stream ends, and whether the engine ran the request. */
static void
test_connection_faults_by_table (void)
{
  static const struct
  {
    FkConnectionFault fault;
    guint frames;
    EpFailureKind kind;
    guint accepted;
    gboolean some_tokens;
    guint ran;
  } rows[] = {
    { FK_CONNECTION_REFUSED, 0, EP_NOT_SENT, 0, FALSE, 0 },
    { FK_CONNECTION_NO_CONNECT, 0, EP_NOT_SENT, 0, FALSE, 0 },
    { FK_CONNECTION_NO_REQUEST, 0, EP_CUT, 0, FALSE, 0 },
    { FK_CONNECTION_SILENT, 0, EP_CUT, 0, FALSE, 1 },
    { FK_CONNECTION_SILENT, 1, EP_CUT, 1, FALSE, 1 },
    { FK_CONNECTION_SILENT, 5, EP_CUT, 1, TRUE, 1 },
    { FK_CONNECTION_SILENT, FK_ALL_BUT_LAST, EP_CUT, 1, TRUE, 1 },
    { FK_CONNECTION_CUT, 0, EP_CUT, 0, FALSE, 1 },
    { FK_CONNECTION_CUT, 5, EP_CUT, 1, TRUE, 1 },
    { FK_CONNECTION_CUT, FK_ALL_BUT_LAST, EP_CUT, 1, TRUE, 1 },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_auto (Fixture) f = fixture_new ();
      EpGenerate generate = generation (&f, "r", 1000);
      fk_fleet_set_fault (f.fleet, ADDRESS, rows[i].fault, rows[i].frames, 1);
      send (&f, 0, &generate, 6 * KNL_SEC);
      fk_fleet_foreach_ran (f.fleet, count_ran, &f);
      CU_ASSERT_TRUE (f.answers[0].failed);
      CU_ASSERT_EQUAL (f.answers[0].failure, rows[i].kind);
      CU_ASSERT_EQUAL (f.answers[0].accepted, rows[i].accepted);
      CU_ASSERT_EQUAL (f.answers[0].tokens > 0, rows[i].some_tokens);
      CU_ASSERT_EQUAL (f.ran, rows[i].ran);
      knl_paused_clock_advance (f.clock, 6 * KNL_SEC);
      CU_ASSERT_EQUAL (sd_engine_reserved_tokens (engine_of (&f)), 0);
    }
}

static void
test_bad_frames_by_table (void)
{
  static const SdEngineFault faults[] = {
    SD_FAULT_LATE_FRAMES,
    SD_FAULT_DOUBLE_FRAMES,
    SD_FAULT_WRONG_REQUEST,
    SD_FAULT_SHORT_COUNT,
  };

  for (guint i = 0; i < G_N_ELEMENTS (faults); i++)
    {
      g_auto (Fixture) f = fixture_new ();
      EpGenerate generate = generation (&f, "r", 1000);
      sd_engine_set_fault (engine_of (&f), faults[i], 1);
      send (&f, 0, &generate, 4 * KNL_SEC);
      CU_ASSERT_TRUE (f.answers[0].failed);
      CU_ASSERT_EQUAL (f.answers[0].failure, EP_MALFORMED);
    }
}

static void
on_done (gboolean acknowledged, gpointer data)
{
  ((Fixture *)data)->acknowledged += acknowledged ? 1 : 0;
}

static void
on_report (const EpReport *report, gpointer data)
{
  Fixture *f = data;

  f->reported = report != NULL;
  if (report != NULL)
    f->report = *report;
}

/*
 * An engine fills up with requests of disconnected callers when their cancels are lost.
 * Checks that the model reproduces this: the memory stays in use until a second cancel.
 */
static void
test_a_lost_cancel_leaves_memory_taken (void)
{
  g_auto (Fixture) f = fixture_new ();
  EpGenerate generate = generation (&f, "r", 1000);
  generate.max_tokens = 1000;
  send (&f, 0, &generate, KNL_SEC);
  sd_engine_set_fault (engine_of (&f), SD_FAULT_LOSE_CANCEL, 1);
  for (guint i = 0; i < 2; i++)
    {
      ep_client_cancel (f.client, ADDRESS, "r", on_done, &f);
      knl_paused_clock_advance (f.clock, 2 * KNL_SEC);
      CU_ASSERT_EQUAL (f.acknowledged, i);
      CU_ASSERT_EQUAL (sd_engine_reserved_tokens (engine_of (&f)), i == 0 ? 2000 : 0);
    }
  CU_ASSERT_STRING_EQUAL (f.answers[0].detail, "cancelled");
}

/*
 * A prompt that crashes the engine's process makes all requests running next to it fail.
 * Checks that the model reproduces this: all connections are cut, and the restarted process has
 * empty memory and a new incarnation.
 */
static void
test_a_crash_cuts_all_and_a_restart_has_a_new_incarnation (void)
{
  g_auto (Fixture) f = fixture_new ();
  EpGenerate innocent = generation (&f, "innocent", 1000);
  EpGenerate poison = generation (&f, "poison", 4);
  poison.prompt = "xx poison xx yy ";
  sd_engine_set_crash (engine_of (&f), "poison");
  send (&f, 0, &innocent, KNL_SEC);
  send (&f, 1, &poison, KNL_SEC);
  CU_ASSERT_PTR_NULL (engine_of (&f));
  CU_ASSERT_EQUAL (f.answers[0].failure, EP_CUT);
  CU_ASSERT_EQUAL (f.answers[1].failure, EP_CUT);
  send (&f, 2, &innocent, KNL_SEC);
  CU_ASSERT_EQUAL (f.answers[2].failure, EP_NOT_SENT);
  fk_fleet_restart (f.fleet, ADDRESS);
  ep_client_report (f.client, ADDRESS, on_report, &f);
  knl_paused_clock_advance (f.clock, KNL_SEC);
  CU_ASSERT_TRUE (f.reported);
  CU_ASSERT_EQUAL (f.report.incarnation, f.settings.incarnation + 1);
  fk_fleet_foreach_ran (f.fleet, count_ran, &f);
  CU_ASSERT_EQUAL (f.ran, 2);
  CU_ASSERT_EQUAL (f.finished, 0);
}

/*
 * A request can run after its caller has timed out: it is sent while the engine's process is
 * stopped, times out, and the process resumes.
 * Checks that the model reproduces this: a resumed engine carries out requests already received.
 */
static void
test_resumed_engine_runs_timed_out_requests (void)
{
  g_auto (Fixture) f = fixture_new ();
  EpGenerate generate = generation (&f, "r", 1000);
  fk_fleet_set_frozen (f.fleet, ADDRESS, TRUE);
  send (&f, 0, &generate, 2 * KNL_SEC);
  CU_ASSERT_EQUAL (f.answers[0].failure, EP_CUT);
  CU_ASSERT_EQUAL (sd_engine_ran (engine_of (&f))->len, 0);
  fk_fleet_set_frozen (f.fleet, ADDRESS, FALSE);
  knl_paused_clock_advance (f.clock, KNL_SEC);
  CU_ASSERT_EQUAL (sd_engine_ran (engine_of (&f))->len, 1);
  CU_ASSERT_EQUAL (sd_engine_reserved_tokens (engine_of (&f)), 1100);
  knl_paused_clock_advance (f.clock, 6 * KNL_SEC);
  CU_ASSERT_EQUAL (sd_engine_reserved_tokens (engine_of (&f)), 0);
}

/* A prompt too large for one engine: its first part is held on another engine, then imported. */
static void
test_held_parts_are_imported_and_their_loss_is_reported (void)
{
  for (guint lost = 0; lost < 2; lost++)
    {
      g_auto (Fixture) f = fixture_new ();
      EpGenerate part = generation (&f, "part", 300000);
      EpGenerate full = generation (&f, "whole", 400000);
      part.address = OTHER;
      part.hold = TRUE;
      part.idle_timeout = 60 * KNL_SEC;
      full.imports = "[{\"engine\":\"" OTHER "\",\"request\":\"part\"}]";
      full.idle_timeout = 60 * KNL_SEC;
      send (&f, 0, &part, 16 * KNL_SEC);
      CU_ASSERT_TRUE (f.answers[0].ended);
      send (&f, 1, &full, KNL_SEC / 2);
      CU_ASSERT_EQUAL (sd_engine_reserved_tokens (engine_of (&f)), 100100);
      if (lost)
        fk_fleet_crash (f.fleet, OTHER);
      knl_paused_clock_advance (f.clock, 15 * KNL_SEC);
      CU_ASSERT_EQUAL (f.answers[1].ended, !lost);
      CU_ASSERT_STRING_EQUAL (f.answers[1].detail, lost ? "import" : "");
      CU_ASSERT_EQUAL (sd_engine_reserved_tokens (engine_of (&f)), 0);
    }
}

static void
test_prefixes_are_cached_published_and_evicted (void)
{
  g_auto (Fixture) f = fixture_new ();
  EpGenerate generate = generation (&f, "first", 50000);
  g_autoptr (GArray) published = g_array_new (FALSE, FALSE, sizeof (EpCacheEvent));
  SdPrefixCache *cache;
  cache = sd_engine_cache (engine_of (&f));
  sd_prefix_cache_set_gaps (cache, 0);
  send (&f, 0, &generate, 6 * KNL_SEC);
  CU_ASSERT_EQUAL (sd_prefix_cache_tokens (cache) / SD_BLOCK_TOKENS, 12);
  CU_ASSERT_EQUAL (sd_prefix_cache_events (cache, 0, published), 12);
  CU_ASSERT_EQUAL (published->len, 12);
  generate.request = "second";
  send (&f, 1, &generate, KNL_SEC / 2);
  CU_ASSERT_TRUE (f.answers[1].tokens > 0);
  generate = generation (&f, "third", 390000);
  generate.prompt = f.prompt + 4;
  generate.idle_timeout = 60 * KNL_SEC;
  knl_paused_clock_advance (f.clock, 2 * KNL_SEC);
  send (&f, 2, &generate, KNL_SEC);
  CU_ASSERT_EQUAL (sd_prefix_cache_tokens (cache) / SD_BLOCK_TOKENS, 2);
}

static void
test_the_load_report_lags (void)
{
  g_auto (Fixture) f = fixture_new ();
  EpGenerate generate = generation (&f, "r", 1000);
  send (&f, 0, &generate, 300 * KNL_MSEC);
  CU_ASSERT_EQUAL (sd_engine_report (engine_of (&f))->used_tokens, 0);
  knl_paused_clock_advance (f.clock, 400 * KNL_MSEC);
  CU_ASSERT_EQUAL (sd_engine_report (engine_of (&f))->used_tokens, 1100);
  CU_ASSERT_EQUAL (sd_engine_report (engine_of (&f))->n_running, 1);
}

static const SuiteCase cases[] = {
  { "a long prefill delays short ones of its priority",
    test_long_prefill_delays_short_ones_of_its_priority },
  { "a complete answer, also resumed, and its memory", test_complete_answer_and_its_memory },
  { "refusals, by table", test_refusals_by_table },
  { "faults of connections, by table", test_connection_faults_by_table },
  { "bad frames, by table", test_bad_frames_by_table },
  { "a lost cancel leaves memory taken", test_a_lost_cancel_leaves_memory_taken },
  { "a crash cuts all, a restart has a new incarnation",
    test_a_crash_cuts_all_and_a_restart_has_a_new_incarnation },
  { "a resumed engine runs requests that timed out", test_resumed_engine_runs_timed_out_requests },
  { "held parts are imported, their loss is reported",
    test_held_parts_are_imported_and_their_loss_is_reported },
  { "prefixes are cached, published and evicted", test_prefixes_are_cached_published_and_evicted },
  { "the load report lags", test_the_load_report_lags },
};

SUITE_MAIN ("engine_model", cases)
