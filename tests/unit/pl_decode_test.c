/** Decoding of the platform's formats into the project's types. */

#include <glib/gstdio.h>
#include <string.h>

#include "platform/boot.h"
#include "platform/config_decoder.h"
#include "platform/decode.h"
#include "platform/dialect.h"
#include "platform/store.h"
#include "suite.h"

static const char config_text[] =
    "{\"version\":7,\"routes\":["
    "{\"name\":\"r\",\"hostname\":\"h.example\",\"prefix\":\"/a/\",\"routeKind\":\"streaming\","
    "\"timeoutMs\":10000,\"targetLatencyMs\":300,\"priority\":1,\"trafficSplit\":"
    "[{\"service\":\"x\",\"weight\":90},{\"service\":\"y\",\"weight\":10}],\"maxAttempts\":2,"
    "\"public\":false,\"resumable\":true,\"gapAimMs\":250},"
    "{\"name\":\"p\",\"hostname\":\"h.example\",\"prefix\":\"/b/\",\"routeKind\":\"new-kind\","
    "\"timeoutMs\":1000,\"service\":\"y\"},"
    "{\"name\":\"broken\"}],"
    "\"services\":[{\"name\":\"x\",\"healthPath\":\"/health\",\"maxConns\":424,\"engine\":"
    "{\"slots\":16,\"kvCapacity\":315000,\"stride\":51,\"step_ms\":0.85,\"read_per_s\":177000.0}},"
    "{\"name\":\"y\",\"coldStartS\":2.5,\"coldPerS\":17.0}],"
    "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
    "\"idleTimeoutMs\":15000},"
    "\"tenants\":[{\"name\":\"w\",\"apiKeys\":[\"k1\",\"k2\"],\"priority\":1}]}";

static void
test_config (void)
{
  g_autoptr (SvConfig) config = pl_decode_config (config_text, strlen (config_text));
  const SvRoute *stream = sv_config_route (config, "h.example", "/a/1");
  const SvRoute *plain = sv_config_route (config, "h.example", "/b/1");

  CU_ASSERT_EQUAL (config->version, 7);
  CU_ASSERT_TRUE (sv_route_is_idempotent (stream));
  CU_ASSERT_EQUAL (stream->gap_objective, 250 * KNL_MSEC);
  CU_ASSERT_EQUAL (stream->splits->len, 2);
  /* A route of an unknown kind counts as at most once. */
  CU_ASSERT_EQUAL (plain->kind, SV_AT_MOST_ONCE);
  CU_ASSERT_EQUAL (plain->max_attempts, 1);
  CU_ASSERT_TRUE (sv_service_is_engine (sv_config_service (config, "x")));
  CU_ASSERT_FALSE (sv_service_is_engine (sv_config_service (config, "y")));
  CU_ASSERT_EQUAL (sv_config_service (config, "x")->cold.rate, 0);
  CU_ASSERT_EQUAL (sv_config_service (config, "y")->cold.duration, 2500 * KNL_MSEC);
  CU_ASSERT_EQUAL (sv_config_service (config, "y")->cold.rate, 17);
  CU_ASSERT_STRING_EQUAL (sv_config_workspace (config, "k2")->name, "w");
  CU_ASSERT_PTR_NULL (sv_config_workspace (config, "k3"));
  CU_ASSERT_EQUAL (config->limits.idle_timeout, 15 * KNL_SEC);
}

static void
test_invalid_config (void)
{
  static const char *const texts[] = {
    "{}", "[]", "{\"version\":\"7\"}", "null", "{\"version\":7", "{\"version\":7}}"
  };

  for (guint i = 0; i < G_N_ELEMENTS (texts); i++)
    CU_ASSERT_PTR_NULL (pl_decode_config (texts[i], strlen (texts[i])));
  CU_ASSERT_PTR_NULL (pl_decode_config ("", 0));
}

/* A copy of `text` with the first `old` replaced. */
static char *
replace_first (const char *text, const char *old, const char *new)
{
  const char *at = strstr (text, old);

  return g_strdup_printf ("%.*s%s%s", (int)(at - text), text, new, at + strlen (old));
}

static SvConfig *
decode_by (PlConfigDecoder *decoder, const char *text, gsize step)
{
  gsize length = strlen (text);

  pl_config_decoder_begin (decoder);
  for (gsize done = 0; done < length; done += step)
    pl_config_decoder_feed (decoder, text + done, MIN (step, length - done));
  return pl_config_decoder_end (decoder);
}

static void
test_config_in_pieces (void)
{
  for (gsize step = 1; step < 60; step += 7)
    {
      PlConfigDecoder *decoder = pl_config_decoder_new ();
      g_autoptr (SvConfig) config = decode_by (decoder, config_text, step);
      const SvRoute *stream = sv_config_route (config, "h.example", "/a/1");

      CU_ASSERT_EQUAL (config->version, 7);
      CU_ASSERT_STRING_EQUAL (stream->name, "r");
      CU_ASSERT_EQUAL (stream->splits->len, 2);
      CU_ASSERT_EQUAL (sv_config_service (config, "x")->engine.slots, 16);
      CU_ASSERT_STRING_EQUAL (sv_config_workspace (config, "k2")->name, "w");
      CU_ASSERT_EQUAL (config->limits.max_body_bytes, 4194304);
      pl_config_decoder_free (decoder);
    }
}

/*
 * Guards against requests that use a stale route, or none, after one route
 * has changed and the previous configuration was freed: the reused routes were
 * mixed up, or freed with the configuration that they came from.
 */
static void
test_unchanged_routes_are_reused (void)
{
  g_autofree char *changed =
      replace_first (config_text, "\"timeoutMs\":1000,", "\"timeoutMs\":900,");
  PlConfigDecoder *decoder = pl_config_decoder_new ();
  SvConfig *before = decode_by (decoder, config_text, 100);
  const SvRoute *kept = sv_config_route (before, "h.example", "/a/1");
  SvConfig *after = decode_by (decoder, changed, 100);

  CU_ASSERT_PTR_EQUAL (sv_config_route (after, "h.example", "/a/1"), kept);
  CU_ASSERT_EQUAL (sv_config_route (before, "h.example", "/b/1")->timeout, KNL_SEC);
  CU_ASSERT_EQUAL (sv_config_route (after, "h.example", "/b/1")->timeout, 900 * KNL_MSEC);
  /* The changed route, and the invalid one, which is never kept for reuse. */
  CU_ASSERT_EQUAL (pl_config_decoder_n_decoded (decoder), 2);
  sv_config_unref (before);
  pl_config_decoder_free (decoder);
  CU_ASSERT_STRING_EQUAL (sv_config_route (after, "h.example", "/a/1")->name, "r");
  sv_config_unref (after);
}

/*
 * Guards against missing routes after invalid bytes, or the next configuration, arrive in the
 * middle of a configuration: the incomplete configuration was applied.
 */
static void
test_broken_config (void)
{
  g_autofree char *next = replace_first (config_text, "\"version\":7", "\"version\":8");
  PlConfigDecoder *decoder = pl_config_decoder_new ();
  g_autoptr (SvConfig) first = decode_by (decoder, config_text, 64);
  g_autoptr (SvConfig) last = NULL;

  for (gsize length = 0; length < strlen (config_text); length += 13)
    {
      g_autofree char *truncated = g_strndup (config_text, length);
      g_autofree char *corrupted = g_strconcat (truncated, "\x01", config_text + length, NULL);

      CU_ASSERT_PTR_NULL (decode_by (decoder, truncated, 64));
      CU_ASSERT_PTR_NULL (decode_by (decoder, corrupted, 64));
    }
  CU_ASSERT_PTR_NULL (pl_config_decoder_end (decoder));
  pl_config_decoder_begin (decoder);
  pl_config_decoder_feed (decoder, config_text, 300);
  last = decode_by (decoder, next, 64);
  CU_ASSERT_EQUAL (last->version, 8);
  CU_ASSERT_PTR_EQUAL (sv_config_route (last, "h.example", "/a/1"),
                       sv_config_route (first, "h.example", "/a/1"));
  pl_config_decoder_free (decoder);
}

/* JSON encoders may escape slashes, which base64 values contain. */
static void
test_answers (void)
{
  static const char text[] =
      "{\"rows\":[{\"key\":\"a\",\"value\":\"eyJ2IjoiPz8\\/In0=\",\"ver\":3},"
      " {\"key\":\"b\",\"ver\":4,\"tombstone\":true}, {\"ver\":5}],"
      "\"ver\":9,\"nowMs\":1,\"morePages\":true}";
  static const char *const none[] = { "", "[]", "{", "{\"rows\":[{]}", "7" };
  g_autoptr (PlAnswer) answer = pl_answer_parse (text, strlen (text));
  const PlAnswerRow *first = g_ptr_array_index (answer->rows, 0);
  const PlAnswerRow *second = g_ptr_array_index (answer->rows, 1);
  gsize length;
  const char *kept = g_bytes_get_data (second->text, &length);
  PlRow row;

  CU_ASSERT_EQUAL (answer->rows->len, 2);
  CU_ASSERT_EQUAL (answer->version, 9);
  CU_ASSERT_TRUE (answer->more_pages);
  CU_ASSERT_STRING_EQUAL (first->value, "eyJ2IjoiPz8/In0=");
  CU_ASSERT_TRUE (second->removed);
  CU_ASSERT_EQUAL (second->version, 4);
  CU_ASSERT_NSTRING_EQUAL (kept, "{\"key\":\"b\",\"ver\":4,\"tombstone\":true}", length);
  pl_row_decode (first, &row);
  CU_ASSERT_STRING_EQUAL (json_string_value (json_object_get (row.value, "v")), "???");
  json_decref (row.value);
  for (guint i = 0; i < G_N_ELEMENTS (none); i++)
    CU_ASSERT_PTR_NULL (pl_answer_parse (none[i], strlen (none[i])));
}

/* Guards against one row of any writer for which an answer can't be read, or another row is taken
 * for it. */
static void
test_answers_with_odd_rows (void)
{
  static const char *const odd[] = {
    "{\"key\":\"a\\u0000b\",\"ver\":3}",
    "{\"key\":\"a\\udc00\",\"ver\":3}",
    "{\"key\":\"a\\ud800\",\"ver\":3}",
    "{\"key\":\"a\xff\",\"ver\":3}",
    "{\"key\":\"b\",\"ver\":3,\"value\":\"\xff\"}",
    "{\"key\":\"b\",\"ver\":99999999999999999999}",
    "{\"key\":\"b\",\"ver\":3,\"more\":[{\"n\":99999999999999999999}]}",
    "{\"key\":\"b\",\"ver\":3,\"more\":-1e999}",
    "{\"key\":\"b\",\"ver\":10}",
    "{\"key\":\"b\",\"ver\":-1}",
    "{\"key\":\"b\",\"ver\":\"3\"}",
    "{\"key\":\"b\"}",
    "{\"key\":\"\",\"ver\":3}",
    "{\"key\":{\"key\":\"b\"},\"ver\":3}",
  };

  for (guint i = 0; i < G_N_ELEMENTS (odd); i++)
    {
      g_autofree char *text = g_strdup_printf (
          "{\"rows\":[{\"key\":\"a\",\"ver\":4},%s,[\"x\"],{\"key\":\"c\",\"ver\":9}],\"ver\":9}",
          odd[i]);
      g_autoptr (PlAnswer) answer = pl_answer_parse (text, strlen (text));

      CU_ASSERT_PTR_NOT_NULL (answer);
      if (answer == NULL)
        continue;
      CU_ASSERT_EQUAL (answer->n_dropped, 1);
      CU_ASSERT_EQUAL (answer->rows->len, 2);
      CU_ASSERT_STRING_EQUAL (((PlAnswerRow *)g_ptr_array_index (answer->rows, 0))->key, "a");
      CU_ASSERT_EQUAL (((PlAnswerRow *)g_ptr_array_index (answer->rows, 0))->version, 4);
      CU_ASSERT_STRING_EQUAL (((PlAnswerRow *)g_ptr_array_index (answer->rows, 1))->key, "c");
    }
}

#define ENTRY(state, slots, more)                                                                  \
  "{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"zone\":\"z\",\"state\":" state                   \
  ",\"slots\":" slots more "}"

static void
test_endpoints (void)
{
  /* Complete entries, and entries that weren't written by an endpoint: with missing fields, fields
   * of another type, or absurd values. Those must be rejected. */
  static const struct
  {
    const char *text;
    gboolean is_entry;
    gboolean draining;
    guint64 start;
    KnlTime cold_left; /* 0: not stated */
  } rows[] = {
    { ENTRY ("\"ready\"", "6", ""), TRUE, FALSE, 0 },
    { ENTRY ("\"draining\"", "6", ""), TRUE, TRUE, 0 },
    { ENTRY ("\"ready\"", "6", ",\"born\":1764722741000"), TRUE, FALSE, 1764722741000 },
    { ENTRY ("\"ready\"", "6", ",\"seqNo\":4,\"coldLeftMs\":0.5,\"version\":\"v1\""), TRUE, FALSE,
      0, KNL_MSEC / 2 },
    { ENTRY ("\"ready\"", "6", ",\"coldLeftMs\":1e300"), TRUE, FALSE, 0, 3600 * KNL_SEC },
    { ENTRY ("\"ready\"", "6", ",\"unknown\":{}"), TRUE, FALSE, 0 },
    { ENTRY ("\"ready\"", "6", ",\"born\":\"1764722741000\""), FALSE },
    { ENTRY ("\"ready\"", "6", ",\"born\":1764722741000.5"), FALSE },
    { ENTRY ("\"ready\"", "6", ",\"born\":-1"), FALSE },
    { ENTRY ("\"ready\"", "6", ",\"born\":null"), FALSE },
    { ENTRY ("\"ready\"", "6", ",\"seqNo\":\"4\""), FALSE },
    { ENTRY ("\"ready\"", "6", ",\"seqNo\":-4"), FALSE },
    { ENTRY ("\"ready\"", "6", ",\"coldLeftMs\":{}"), FALSE },
    { ENTRY ("\"ready\"", "6", ",\"version\":1"), FALSE },
    { ENTRY ("\"asleep\"", "6", ""), FALSE },
    { ENTRY ("7", "6", ""), FALSE },
    { ENTRY ("\"ready\"", "0", ""), FALSE },
    { ENTRY ("\"ready\"", "-6", ""), FALSE },
    { ENTRY ("\"ready\"", "6.5", ""), FALSE },
    { ENTRY ("\"ready\"", "1e300", ""), FALSE },
    { ENTRY ("\"ready\"", "9223372036854775807", ""), FALSE },
    { ENTRY ("\"ready\"", "\"6\"", ""), FALSE },
    { "{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"zone\":\"z\",\"slots\":6}", FALSE },
    { "{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"zone\":\"z\",\"state\":\"ready\"}", FALSE },
    { "{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"slots\":6,\"state\":\"ready\"}", FALSE },
    { "{\"service\":\"s\",\"address\":\"1.2.3.4\",\"zone\":\"z\",\"slots\":6,\"state\":\"ready\"}",
      FALSE },
    { "{\"service\":\"s\",\"address\":\"here\",\"zone\":\"z\",\"slots\":6,\"state\":\"ready\"}",
      FALSE },
    { "{\"service\":[],\"address\":\"1.2.3.4:5\",\"zone\":\"z\",\"slots\":6,\"state\":\"ready\"}",
      FALSE },
    { "{\"service\":\"s\"}", FALSE },
    { "{}", FALSE },
    { "[]", FALSE },
    { "7", FALSE },
    { "null", FALSE },
    { "not JSON", FALSE },
    { "\"\xff\xfe\"", FALSE },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      json_t *value = json_loads (rows[i].text, JSON_DECODE_ANY, NULL);
      SvEndpointEntry entry;

      CU_ASSERT_EQUAL (pl_decode_endpoint ("i-1", value, &entry), rows[i].is_entry);
      CU_ASSERT_EQUAL (entry.draining, rows[i].draining);
      CU_ASSERT_EQUAL (entry.start, rows[i].start);
      if (rows[i].is_entry)
        CU_ASSERT_EQUAL (entry.cold_left, rows[i].cold_left != 0 ? rows[i].cold_left : -1);
      json_decref (value);
    }
}

/* All errors of a settings file are reported at once. */
static void
test_settings_findings (void)
{
  g_autofree char *path = NULL;
  gint file = g_file_open_tmp ("alderturn-XXXXXX", &path, NULL);
  static const char text[] =
      "{\"nodeName\":7,\"zone\":\"z\",\"region\":\"r\",\"ip\":\"10.0.0.1\","
      "\"portRange\":[],\"listen\":{\"front\":\"10.0.0.1:1\",\"ready\":\"nowhere\"},"
      "\"platform\":{\"address\":\"10.0.0.2:3\",\"readsPerS\":-1},\"bounds\":{}}";
  CmFindings findings;
  g_autofree char *all = NULL;

  cm_findings_init (&findings);
  CU_ASSERT_EQUAL (write (file, text, strlen (text)), (ssize_t)strlen (text));
  close (file);
  CU_ASSERT_PTR_NULL (pl_boot_load (path, &findings));
  all = cm_findings_to_string (&findings);
  CU_ASSERT_PTR_NOT_NULL (strstr (all, "nodeName"));
  CU_ASSERT_PTR_NOT_NULL (strstr (all, "portRange"));
  CU_ASSERT_PTR_NOT_NULL (strstr (all, "nowhere"));
  CU_ASSERT_PTR_NOT_NULL (strstr (all, "listen.directory"));
  CU_ASSERT_PTR_NOT_NULL (strstr (all, "readsPerS"));
  CU_ASSERT_PTR_NOT_NULL (strstr (all, "bounds.revokeMs"));
  CU_ASSERT (cm_findings_count (&findings) > 8);
  cm_findings_clear (&findings);
  g_unlink (path);
}

/* Guards against an instance that is refused because its settings state no memory, and against one
 * whose bound is off by a unit. */
static void
test_memory_setting (void)
{
  static const struct
  {
    const char *limits;
    gsize memory;
  } rows[] = {
    { "", 0 },
    { ",\"memoryMb\":160", 160000000 },
    { ",\"memoryMb\":0.5", 500000 },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_autofree char *path = NULL;
      gint file = g_file_open_tmp ("alderturn-XXXXXX", &path, NULL);
      g_autofree char *text = g_strdup_printf (
          "{\"nodeName\":\"n\",\"zone\":\"z\",\"region\":\"r\",\"ip\":\"10.0.0.1\","
          "\"portRange\":[7000,7001],\"listen\":{\"front\":\"10.0.0.1:1\","
          "\"ready\":\"10.0.0.1:2\",\"directory\":\"10.0.0.1:3\"},"
          "\"platform\":{\"address\":\"10.0.0.2:3\",\"readsPerS\":1},"
          "\"limits\":{\"cpuShare\":1,\"cores\":1,\"linkMbps\":100,\"maxFds\":1000%s},"
          "\"bounds\":{\"strictRevoke\":true,\"revokeMs\":1,\"configApplyMs\":1,\"drainMs\":1,"
          "\"freeMs\":1,\"graceS\":1,\"retryBudgetRatio\":1,\"retrySlack\":1,"
          "\"budgetWindowS\":1,\"ttl_max_s\":1}}",
          rows[i].limits);
      CmFindings findings;
      PlBoot *boot;

      cm_findings_init (&findings);
      CU_ASSERT_EQUAL (write (file, text, strlen (text)), (ssize_t)strlen (text));
      close (file);
      boot = pl_boot_load (path, &findings);
      CU_ASSERT (boot != NULL && boot->memory == rows[i].memory);
      pl_boot_free (boot);
      cm_findings_clear (&findings);
      g_unlink (path);
    }
}

/* Guards against load that is shed although the settings don't ask for it, or isn't although they
 * do. */
static void
test_contract_decides_on_load_shedding (void)
{
  static const struct
  {
    const char *contracts;
    gboolean sheds_load;
  } rows[] = {
    { "", FALSE },
    { "\"contracts\":[],", FALSE },
    { "\"contracts\":[\"other\",7],", FALSE },
    { "\"contracts\":[\"other\",\"pressure\"],", TRUE },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_autofree char *path = NULL;
      g_autofree char *text = g_strdup_printf (
          "{%s\"nodeName\":\"n\",\"zone\":\"a\",\"region\":\"r\",\"ip\":\"127.0.0.1\","
          "\"portRange\":[20000,20010],\"listen\":{\"front\":\"127.0.0.1:1\","
          "\"ready\":\"127.0.0.1:2\",\"directory\":\"127.0.0.1:3\"},\"limits\":{\"maxFds\":1000,"
          "\"cpuShare\":0.25,\"cores\":1,\"linkMbps\":200},\"platform\":{"
          "\"address\":\"127.0.0.1:4\",\"readsPerS\":100},\"bounds\":{\"strictRevoke\":true,"
          "\"revokeMs\":3000,\"configApplyMs\":2000,\"graceS\":4,\"freeMs\":4000,"
          "\"retryBudgetRatio\":0.2,\"retrySlack\":100,\"budgetWindowS\":10,\"drainMs\":2000,"
          "\"ttl_max_s\":5}}",
          rows[i].contracts);
      gint file = g_file_open_tmp ("alderturn-XXXXXX", &path, NULL);
      CmFindings findings;
      PlBoot *boot;

      cm_findings_init (&findings);
      CU_ASSERT_EQUAL (write (file, text, strlen (text)), (ssize_t)strlen (text));
      close (file);
      boot = pl_boot_load (path, &findings);
      CU_ASSERT (boot != NULL && boot->bounds.sheds_load == rows[i].sheds_load);
      pl_boot_free (boot);
      cm_findings_clear (&findings);
      g_unlink (path);
    }
}

static GString *
forward_of (HtMessage *request, const SvEndpoint *endpoint)
{
  SvDialect *dialect = pl_dialect_new ();
  SvRequestParams params;
  GString *head;
  SvHelper helpers[] = { { .endpoint = endpoint, .reservation = "t1" }, { .endpoint = endpoint } };
  SvForward forward = {
    .request = request,
    .params = &params,
    .endpoint = endpoint,
    .workspace = "w",
    .left = 1500 * KNL_MSEC,
    .last_event = "12",
    .helpers = helpers,
    .n_helpers = 2,
    .urgency = 4,
  };

  dialect->klass->read_request (dialect, request, &params);
  CU_ASSERT_STRING_EQUAL (params.key, "secret");
  CU_ASSERT_EQUAL (params.prompt_tokens, 1460);
  CU_ASSERT_EQUAL (params.answer_tokens, 80);
  CU_ASSERT_EQUAL (params.timeout, 2 * KNL_SEC);
  head = dialect->klass->write_forward (dialect, &forward);
  pl_dialect_free (dialect);
  return head;
}

/*
 * Guards against an endpoint that receives a caller's key, another workspace's name, or helpers
 * named by the caller: fields that the system sets were forwarded as the caller sent them.
 */
static void
test_forwarded_fields (void)
{
  g_autoptr (HtMessage) request = ht_message_new ();
  SvEndpoint endpoint = { .id = "i-1", .address = "10.0.0.3:80" };
  static const char *const sent[][2] = {
    { "Host", "h.example" },
    { "Authorization", "Bearer secret" },
    { "X-Attempt-Id", "a1" },
    { "X-Tenant", "other" },
    { "X-Helpers", "6.6.6.6:6" },
    { "X-Deadline-Ms", "2000" },
    { "X-Token-Counts", "1460,80" },
    { "Connection", "x-hop" },
    { "X-Hop", "1" },
    { "X-Expect-Instance", "i-9" },
    { "X-Own", "kept" },
    { "Last-Event-Id", "3" },
  };
  static const char *const wanted[] = {
    "POST /a?q=1 HTTP/1.1\r\n",
    "X-Attempt-Id: a1\r\n",
    "X-Tenant: w\r\n",
    "X-Deadline-Ms: 1500\r\n",
    "X-Expect-Instance: i-1\r\n",
    "X-Own: kept\r\n",
    "Last-Event-Id: 12\r\n",
    "X-Helpers: 10.0.0.3:80/t1,10.0.0.3:80\r\n",
  };
  static const char *const unwanted[] = { "secret", "other", "6.6.6.6", "2000",
                                          "X-Hop",  "i-9",   "Id: 3" };
  GString *head;

  g_strlcpy (request->method, "POST", sizeof request->method);
  request->target = g_strdup ("/a?q=1");
  for (guint i = 0; i < G_N_ELEMENTS (sent); i++)
    ht_message_add (request, sent[i][0], sent[i][1]);
  head = forward_of (request, &endpoint);
  for (guint i = 0; i < G_N_ELEMENTS (wanted); i++)
    CU_ASSERT_PTR_NOT_NULL (strstr (head->str, wanted[i]));
  for (guint i = 0; i < G_N_ELEMENTS (unwanted); i++)
    CU_ASSERT_PTR_NULL (strstr (head->str, unwanted[i]));
  g_string_free (head, TRUE);
}

static void
test_replies (void)
{
  static const struct
  {
    guint status;
    const char *name;
    const char *value;
    gboolean not_run;
    gboolean is_signed;
    gboolean is_encoded;
  } rows[] = {
    { 200, "X-Server-Stamp", "s", FALSE, TRUE, FALSE },
    { 503, "X-Not-Run", "1", TRUE, FALSE, FALSE },
    { 421, "X-Other", "1", TRUE, FALSE, FALSE },
    { 503, "X-Other", "1", FALSE, FALSE, FALSE },
    { 200, "Content-Encoding", "gzip", FALSE, FALSE, TRUE },
  };
  SvDialect *dialect = pl_dialect_new ();

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_autoptr (HtMessage) answer = ht_message_new ();
      SvReply reply;

      answer->status = rows[i].status;
      ht_message_add (answer, rows[i].name, rows[i].value);
      dialect->klass->read_reply (dialect, answer, &reply);
      CU_ASSERT_EQUAL (reply.not_run, rows[i].not_run);
      CU_ASSERT_EQUAL (reply.is_signed, rows[i].is_signed);
      CU_ASSERT_EQUAL (reply.is_encoded, rows[i].is_encoded);
    }
  pl_dialect_free (dialect);
}

static void
test_limits (void)
{
  static const struct
  {
    const char *value; /* NULL: the answer has no such field */
    double limit;
  } rows[] = {
    { "2.5", 2.5 },
    { "0", 0 },
    { "40", 40 },
    { NULL, POL_NO_LIMIT },
    { "", POL_NO_LIMIT },
    { "-1", POL_NO_LIMIT },
    { "2x", POL_NO_LIMIT },
    { "inf", POL_NO_LIMIT },
    { "nan", POL_NO_LIMIT },
  };
  SvDialect *dialect = pl_dialect_new ();

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_autoptr (HtMessage) answer = ht_message_new ();
      SvReply reply;

      answer->status = 200;
      if (rows[i].value != NULL)
        ht_message_add (answer, "Server-Limit", rows[i].value);
      dialect->klass->read_reply (dialect, answer, &reply);
      CU_ASSERT_EQUAL (reply.limit, rows[i].limit);
    }
  pl_dialect_free (dialect);
}

static void
test_leaving_signal (void)
{
  static const struct
  {
    const char *value; /* NULL: the answer has no such field */
    gboolean is_leaving;
  } rows[] = { { "1", TRUE }, { NULL, FALSE }, { "0", FALSE }, { "", FALSE }, { "10", FALSE } };
  SvDialect *dialect = pl_dialect_new ();

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_autoptr (HtMessage) answer = ht_message_new ();
      SvReply reply;

      answer->status = 200;
      if (rows[i].value != NULL)
        ht_message_add (answer, "Server-Leaving", rows[i].value);
      dialect->klass->read_reply (dialect, answer, &reply);
      CU_ASSERT_EQUAL (reply.is_leaving, rows[i].is_leaving);
    }
  pl_dialect_free (dialect);
}

static void
test_retry_after_delays (void)
{
  static const struct
  {
    guint status;
    const char *value; /* NULL: the answer has no such field */
    KnlTime retry_after;
  } rows[] = {
    { 503, "3", 3 * KNL_SEC },
    { 503, "0.25", 250 * KNL_MSEC },
    { 429, "2", 2 * KNL_SEC },
    { 200, "3", 0 },
    { 500, "3", 0 },
    { 421, "3", 0 },
    { 503, NULL, 0 },
    { 503, "0", 0 },
    { 503, "-1", 0 },
    { 503, "soon", 0 },
    { 503, "3x", 0 },
    { 503, "inf", 0 },
    { 503, "1e12", 3600 * KNL_SEC },
  };
  SvDialect *dialect = pl_dialect_new ();

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_autoptr (HtMessage) answer = ht_message_new ();
      SvReply reply;

      answer->status = rows[i].status;
      if (rows[i].value != NULL)
        ht_message_add (answer, "Retry-After", rows[i].value);
      dialect->klass->read_reply (dialect, answer, &reply);
      CU_ASSERT_EQUAL (reply.retry_after, rows[i].retry_after);
    }
  pl_dialect_free (dialect);
}

/* Guards against rows that evacuate no zone, or another one, because their keys aren't read in
 * full.
 */
static void
test_evacuation_keys (void)
{
  g_autofree char *longest = g_strnfill (PL_MAX_ZONE_BYTES, 'z');
  g_autofree char *longest_key = g_strconcat ("evacuate/", longest, NULL);
  g_autofree char *overlong_key = g_strconcat ("evacuate/z", longest, NULL);
  const struct
  {
    const char *key;
    gboolean is_evacuation;
    const char *zone;
  } rows[] = {
    { "evacuate/z1", TRUE, "z1" },
    { "evacuate/a b/c", TRUE, "a b/c" },
    { "evacuate/", TRUE, NULL },
    { longest_key, TRUE, longest },
    { overlong_key, TRUE, NULL },
    { "evacuate", FALSE, NULL },
    { "evacuated/z1", FALSE, NULL },
    { "Evacuate/z1", FALSE, NULL },
    { "x/evacuate/z1", FALSE, NULL },
    { PL_CONFIG_KEY, FALSE, NULL },
    { "", FALSE, NULL },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      const char *zone = NULL;

      CU_ASSERT_EQUAL (pl_decode_evacuation (rows[i].key, &zone), rows[i].is_evacuation);
      CU_ASSERT_EQUAL (g_strcmp0 (zone, rows[i].zone), 0);
    }
}

/* Guards against a count of tests that is read as another, or that another writer's bytes become
 * one.
 */
static void
test_counts_of_tests (void)
{
  static const PlTestCount written[] = { { 7, G_MAXUINT64, 2, 5 },
                                         { G_MAXUINT32, 1, 0, G_MAXINT64 / (2 * KNL_MSEC) } };
  static const char *const unreadable[] = {
    "{}",
    "{\"counts\":7}",
    "{\"counts\":[7,[],{}]}",
    "{\"counts\":[{\"segment\":\"x\",\"service\":\"1\",\"tests\":1,\"firstMs\":1}]}",
    "{\"counts\":[{\"segment\":\"1\",\"service\":\"1\",\"tests\":\"1\",\"firstMs\":1}]}",
    "{\"counts\":[{\"segment\":\"1\",\"service\":\"1\",\"tests\":1}]}",
    "{\"counts\":[{\"segment\":\"1\",\"service\":\"1\",\"tests\":1,\"firstMs\":-1}]}",
    "{\"counts\":[{\"segment\":\"1\",\"service\":\"1\",\"tests\":1,\"firstMs\":9223372036854775}]}",
  };
  json_t *row = pl_encode_tests (written, G_N_ELEMENTS (written));
  PlTestCount read[4];

  CU_ASSERT_EQUAL (pl_decode_tests (row, read, G_N_ELEMENTS (read)), G_N_ELEMENTS (written));
  for (guint i = 0; i < G_N_ELEMENTS (written); i++)
    {
      CU_ASSERT_EQUAL (read[i].service, written[i].service);
      CU_ASSERT_EQUAL (read[i].segment, written[i].segment);
      CU_ASSERT_EQUAL (read[i].tests, written[i].tests);
      CU_ASSERT_EQUAL (read[i].first_ms, written[i].first_ms);
    }
  CU_ASSERT_EQUAL (pl_decode_tests (row, read, 1), 1);
  json_decref (row);
  for (guint i = 0; i < G_N_ELEMENTS (unreadable); i++)
    {
      row = json_loads (unreadable[i], 0, NULL);
      CU_ASSERT_EQUAL (pl_decode_tests (row, read, G_N_ELEMENTS (read)), 0);
      json_decref (row);
    }
}

static const char *const odd_texts[] = {
  "plain",
  "a\"b",
  "a\\b",
  "a\r\nX-Odd: 1",
  "a\nX-Odd: 1",
  "a\rb",
  "a\tb",
  "\xff\xfe",
  "\",\"tokens\":1,\"a\":\"",
  "",
};

/* Guards against an id that a caller or another writer has chosen, and that changes the order in
 * whose body it stands. */
static void
test_orders_with_odd_ids (void)
{
  SvDialect *dialect = pl_dialect_new ();
  SvEndpoint endpoint = { .id = (char *)"i-1", .address = (char *)"1.2.3.4:5" };

  for (guint i = 0; i < 2 * G_N_ELEMENTS (odd_texts); i++)
    {
      const char *id = odd_texts[i / 2];
      SvReserve reserve = { .id = id, .tokens = i % 2 == 0 ? 7 : 0, .hold = KNL_SEC };
      char *head = NULL;
      GString *body = dialect->klass->write_reserve (dialect, &endpoint, &reserve, &head);
      json_t *order = json_loadb (body->str, body->len, 0, NULL);

      CU_ASSERT_PTR_NOT_NULL_FATAL (order);
      CU_ASSERT_EQUAL (json_object_size (order), i % 2 == 0 ? 4 : 2);
      CU_ASSERT_EQUAL (json_integer_value (json_object_get (order, "tokens")),
                       (json_int_t)reserve.tokens);
      if (g_utf8_validate (id, -1, NULL))
        CU_ASSERT_STRING_EQUAL (json_string_value (json_object_get (order, "id")), id);
      json_decref (order);
      g_string_free (body, TRUE);
      g_free (head);
    }
  pl_dialect_free (dialect);
}

/* Guards against a text of another writer that adds a header field, or ends the head. */
static void
test_header_fields_with_odd_texts (void)
{
  SvDialect *dialect = pl_dialect_new ();
  g_autoptr (HtMessage) request = ht_message_new ();

  g_strlcpy (request->method, "POST", sizeof request->method);
  request->target = g_strdup ("/a");
  for (guint i = 0; i < G_N_ELEMENTS (odd_texts); i++)
    {
      SvEndpoint endpoint = { .id = (char *)odd_texts[i], .address = (char *)"1.2.3.4:5" };
      SvRequestParams params = { .id = odd_texts[i] };
      SvRefusal refusal = { 0 };
      SvForward forward = { .request = request,
                            .params = &params,
                            .endpoint = &endpoint,
                            .workspace = odd_texts[i],
                            .last_event = odd_texts[i] };
      GString *heads[] = { dialect->klass->write_forward (dialect, &forward),
                           dialect->klass->write_refusal (dialect, &params, &refusal),
                           dialect->klass->write_pace_call (dialect, &endpoint) };

      for (guint j = 0; j < G_N_ELEMENTS (heads); j++)
        {
          CU_ASSERT_PTR_NULL (strstr (heads[j]->str, "\nX-Odd"));
          CU_ASSERT_PTR_NULL (strstr (heads[j]->str, "\rb"));
          g_string_free (heads[j], TRUE);
        }
    }
  pl_dialect_free (dialect);
}

/* Guards against endpoints whose id or address can't stand in a header field. */
static void
test_endpoints_with_odd_names (void)
{
  static const struct
  {
    const char *id;
    const char *address;
    gboolean is_entry;
  } rows[] = {
    { "i-1", "1.2.3.4:5", TRUE },         { "i-1\r\nX-Odd: 1", "1.2.3.4:5", FALSE },
    { "i 1", "1.2.3.4:5", FALSE },        { "", "1.2.3.4:5", FALSE },
    { "i-\xc3\xa9", "1.2.3.4:5", FALSE }, { "i-1", "1.2.3.4:5\\r\\nX-Odd: 1", FALSE },
    { "i-1", "1.2.3.4:5x", FALSE },       { "i-1", "1.2.3.4:5,6.7.8.9:1", FALSE },
    { "i-1", "1.2.3.4:65535", TRUE },     { "i-1", "1.2.3.4:65536", FALSE },
    { "i-1", "1.2.3.4:0", FALSE },        { "i-1", "1.2.3.4:4294967301", FALSE },
    { "i-1", "1.2.3.4:05", FALSE },       { "i-1", "1.2.3.4:", FALSE },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_autofree char *text = g_strdup_printf (
          "{\"service\":\"s\",\"address\":\"%s\",\"zone\":\"z\",\"state\":\"ready\",\"slots\":6}",
          rows[i].address);
      json_t *value = json_loads (text, 0, NULL);
      SvEndpointEntry entry;

      CU_ASSERT_PTR_NOT_NULL (value);
      CU_ASSERT_EQUAL (pl_decode_endpoint (rows[i].id, value, &entry), rows[i].is_entry);
      json_decref (value);
    }
}

/* Guards against a row of a cell whose odd watermark is taken for one. */
static void
test_watermarks (void)
{
  static const struct
  {
    const char *row;
    SvPosition expected; /* version 0: none */
  } odd_rows[] = {
    { "{\"watermark\":{\"era\":3,\"version\":7}}", { 3, 7 } },
    { "{\"watermark\":{\"era\":0,\"version\":7}}", { 0 } },
    { "{\"watermark\":{\"era\":3,\"version\":-7}}", { 0 } },
    { "{\"watermark\":{\"era\":\"3\",\"version\":7}}", { 0 } },
    { "{\"watermark\":{\"version\":7}}", { 0 } },
    { "{\"watermark\":[3,7]}", { 0 } },
    { "{\"contacts\":[]}", { 0 } },
    { "[1]", { 0 } },
  };
  json_t *row = json_object ();
  SvPosition watermark = { 0 };

  for (guint i = 0; i < G_N_ELEMENTS (odd_rows); i++)
    {
      json_t *value = json_loads (odd_rows[i].row, 0, NULL);
      SvPosition read = { 0 };

      CU_ASSERT_EQUAL (pl_decode_watermark (value, &read), odd_rows[i].expected.version > 0);
      CU_ASSERT_EQUAL (read.era, odd_rows[i].expected.era);
      CU_ASSERT_EQUAL (read.version, odd_rows[i].expected.version);
      json_decref (value);
    }
  CU_ASSERT_FALSE (pl_decode_watermark (NULL, &watermark));
  pl_encode_watermark (row, watermark);
  CU_ASSERT_FALSE (pl_decode_watermark (row, &watermark));
  pl_encode_watermark (row, (SvPosition){ .era = 4, .version = 9 });
  CU_ASSERT (pl_decode_watermark (row, &watermark));
  CU_ASSERT (watermark.era == 4 && watermark.version == 9);
  json_decref (row);
}

/* Guards against odd evacuations in a watermark, and against its loss when another instance writes
 * the row. */
static void
test_evacuations_in_watermarks (void)
{
  static const char *const odd_rows[] = {
    "{\"era\":1,\"version\":3,\"untilMs\":9}",
    "{\"zone\":\"\",\"era\":1,\"version\":3,\"untilMs\":9}",
    "{\"zone\":7,\"era\":1,\"version\":3,\"untilMs\":9}",
    "{\"zone\":\"a\",\"era\":0,\"version\":3,\"untilMs\":9}",
    "{\"zone\":\"a\",\"era\":1,\"version\":-3,\"untilMs\":9}",
    "\"a\"",
  };
  const SvEvacuation written[] = {
    { .zone = "a", .position = { 1, 3 }, .until = 9 * KNL_SEC },
    { .zone = "b", .position = { 2, 4 }, .until = 8 * KNL_SEC },
  };
  SvEvacuation read[2];
  json_t *row = json_object ();
  json_t *copy = json_object ();

  for (guint i = 0; i < G_N_ELEMENTS (odd_rows); i++)
    {
      g_autofree char *text = g_strdup_printf ("{\"watermark\":{\"evacuated\":[%s]}}", odd_rows[i]);
      json_t *value = json_loads (text, 0, NULL);

      CU_ASSERT_EQUAL (pl_decode_watermark_evacuations (value, read, 2), 0);
      json_decref (value);
    }
  CU_ASSERT_EQUAL (pl_decode_watermark_evacuations (NULL, read, 2), 0);
  pl_encode_watermark_evacuations (row, written, 2);
  CU_ASSERT_EQUAL (pl_decode_watermark_evacuations (row, read, 2), 0);
  pl_copy_watermark (copy, row);
  pl_encode_watermark (row, (SvPosition){ .era = 4, .version = 9 });
  pl_encode_watermark_evacuations (row, written, 2);
  pl_copy_watermark (copy, row);
  CU_ASSERT_EQUAL (pl_decode_watermark_evacuations (copy, read, 1), 1);
  CU_ASSERT_EQUAL (pl_decode_watermark_evacuations (copy, read, 2), 2);
  for (guint i = 0; i < G_N_ELEMENTS (written); i++)
    {
      CU_ASSERT_STRING_EQUAL (read[i].zone, written[i].zone);
      CU_ASSERT_EQUAL (read[i].position.era, written[i].position.era);
      CU_ASSERT_EQUAL (read[i].position.version, written[i].position.version);
      CU_ASSERT_EQUAL (read[i].until, written[i].until);
    }
  json_decref (row);
  json_decref (copy);
}

static const SuiteCase cases[] = {
  { "watermarks", test_watermarks },
  { "evacuations in watermarks", test_evacuations_in_watermarks },
  { "keys of evacuated zones", test_evacuation_keys },
  { "a configuration in pieces", test_config_in_pieces },
  { "unchanged routes are taken over", test_unchanged_routes_are_reused },
  { "a broken configuration", test_broken_config },
  { "answers of the store", test_answers },
  { "answers with odd rows", test_answers_with_odd_rows },
  { "a configuration", test_config },
  { "no configuration", test_invalid_config },
  { "entries of endpoints", test_endpoints },
  { "all errors of the settings are reported", test_settings_findings },
  { "the memory of the settings", test_memory_setting },
  { "the contract decides on load shedding", test_contract_decides_on_load_shedding },
  { "forwarded fields", test_forwarded_fields },
  { "fields of an endpoint's answer", test_replies },
  { "limits advertised in answers", test_limits },
  { "the signal that an endpoint leaves", test_leaving_signal },
  { "delays in Retry-After", test_retry_after_delays },
  { "counts of tests", test_counts_of_tests },
  { "orders with odd ids", test_orders_with_odd_ids },
  { "header fields with odd texts", test_header_fields_with_odd_texts },
  { "endpoints with odd names", test_endpoints_with_odd_names },
};

SUITE_MAIN ("pl_decode", cases)
