/** Rows that another writer has left in the tables that instances read. */

#include <string.h>

#include "suite.h"
#include "tests/fakes/gateway_fleet.h"

#define START_TIME  (4 * KNL_SEC)
#define CHANGE_TIME (3 * KNL_SEC)

/* Rows of endpoints as they should be, and those that are added later. */
#define ENDPOINTS 4
#define ADDED     2

/* Nesting far beyond what a parser that calls itself can bear. */
#define DEEP 200000

/* Instances in cells of six, most of which read the copies of two. */
static const GfSize size = { .n_instances = 12, .n_zones = 2, .n_endpoints = ENDPOINTS };

/* {"service":"s","address":"127.0.0.1:7","zone":"z0","state":"ready","slots":8}, the value of a
 * sound endpoint. */
#define SOUND_VALUE                                                                                \
  "eyJzZXJ2aWNlIjoicyIsImFkZHJlc3MiOiIxMjcuMC4wLjE6NyIsInpvbmUiOiJ6MCIsInN0YXRlIjoicmVhZHkiLCJzbG" \
  "90cyI6OH0="

#define WITH_KEY(key)     "{\"key\":" key ",\"ver\":%V,\"value\":\"" SOUND_VALUE "\"}"
#define WITH_VERSION(ver) "{\"key\":\"i-odd\",\"ver\":" ver ",\"value\":\"" SOUND_VALUE "\"}"
#define WITH_VALUE(value) "{\"key\":\"i-odd\",\"ver\":%V,\"value\":" value "}"

/* Whole rows as they stand in an answer. */
static const char *const odd_rows[] = {
  WITH_KEY ("\"i-0\\u0000x\""),
  WITH_KEY ("\"i-0\\u0000\""),
  WITH_KEY ("\"\\u0000i-0\""),
  WITH_KEY ("\"i-\\udc00\""),
  WITH_KEY ("\"i-\\ud800\""),
  WITH_KEY ("\"i-\xff\""),
  WITH_KEY ("\"i-\xed\xa0\x80\""),
  WITH_KEY ("\"i-\xc0\x80\""),
  WITH_KEY ("\"i-\xf5\x80\x80\x80\""),
  WITH_KEY ("\"i-0\\r\\nX-Odd: 1\""),
  WITH_KEY ("\"\""),
  WITH_KEY ("7"),
  WITH_KEY ("null"),
  WITH_KEY ("[\"i-0\"]"),
  WITH_KEY ("{\"key\":\"i-0\"}"),
  WITH_VERSION ("99999999999999999999"),
  WITH_VERSION ("-99999999999999999999"),
  WITH_VERSION ("9223372036854775807"),
  WITH_VERSION ("9007199254740991"),
  WITH_VERSION ("-1"),
  WITH_VERSION ("0"),
  WITH_VERSION ("1e400"),
  WITH_VERSION ("1.5"),
  WITH_VERSION ("\"7\""),
  WITH_VERSION ("[7]"),
  WITH_VALUE ("\"\""),
  WITH_VALUE ("\"not base64!\""),
  WITH_VALUE ("\"////\""),
  WITH_VALUE ("7"),
  WITH_VALUE ("99999999999999999999"),
  WITH_VALUE ("1e999"),
  WITH_VALUE ("null"),
  WITH_VALUE ("{\"service\":\"s\"}"),
  "{\"key\":\"i-odd\",\"ver\":%V}",
  "{\"key\":\"i-odd\",\"ver\":%V,\"tombstone\":1}",
  "{\"ver\":%V,\"value\":\"" SOUND_VALUE "\"}",
  "[" WITH_KEY ("\"i-odd\"") "]",
  "\"i-odd\"",
  "7",
  "99999999999999999999",
  "null",
  "{}",
  "[]",
};

/* Values of rows that are otherwise sound. */
static const char *const odd_values[] = {
  "{\"service\":\"s\",\"address\":\"127.0.0.1:0\",\"zone\":\"z0\",\"state\":\"ready\",\"slots\":8}",
  "{\"service\":\"s\",\"address\":\"127.0.0.1:65536\",\"zone\":\"z0\",\"state\":\"ready\","
  "\"slots\":8}",
  "{\"service\":\"s\",\"address\":\"127.0.0.1:4294967303\",\"zone\":\"z0\",\"state\":\"ready\","
  "\"slots\":8}",
  "{\"service\":\"s\",\"address\":\"127.0.0.1:99999999999999999999\",\"zone\":\"z0\","
  "\"state\":\"ready\",\"slots\":8}",
  "{\"service\":\"s\",\"address\":\"127.0.0.1:-7\",\"zone\":\"z0\",\"state\":\"ready\",\"slots\":"
  "8}",
  "{\"service\":\"s\",\"address\":\"127.0.0.1:007\",\"zone\":\"z0\",\"state\":\"ready\","
  "\"slots\":8}",
  "{\"service\":\"s\",\"address\":\"127.0.0.1\",\"zone\":\"z0\",\"state\":\"ready\",\"slots\":8}",
  "{\"service\":\"s\",\"address\":\":7\",\"zone\":\"z0\",\"state\":\"ready\",\"slots\":8}",
  "{\"service\":\"s\",\"address\":\"host:7\",\"zone\":\"z0\",\"state\":\"ready\",\"slots\":8}",
  "{\"service\":\"s\",\"address\":\"127.0.0.1:7\\u0000\",\"zone\":\"z0\",\"state\":\"ready\","
  "\"slots\":8}",
  "{\"service\":\"s\",\"address\":\"127.0.0.1:7\",\"zone\":\"z0\",\"state\":\"ready\","
  "\"slots\":99999999999999999999}",
  "{\"service\":\"s\",\"address\":\"127.0.0.1:7\",\"zone\":\"z0\",\"state\":\"ready\","
  "\"slots\":1e999}",
  "{\"service\":\"s\",\"address\":\"127.0.0.1:7\",\"zone\":\"z0\",\"state\":\"ready\",\"slots\":-"
  "1}",
  "{\"service\":\"s\",\"address\":\"127.0.0.1:7\",\"zone\":\"z0\",\"state\":\"ready\",\"slots\":8,"
  "\"born\":1e30}",
  "{\"service\":\"s\",\"address\":\"127.0.0.1:7\",\"zone\":\"z0\",\"state\":\"ready\",\"slots\":8,"
  "\"seqNo\":{}}",
  "{\"service\":\"s\",\"address\":\"127.0.0.1:7\",\"zone\":\"z0\",\"state\":\"odd\",\"slots\":8}",
  "{\"service\":\"\xff\",\"address\":\"127.0.0.1:7\",\"zone\":\"z0\",\"state\":\"ready\","
  "\"slots\":8}",
  "{\"service\":[[[]]],\"address\":\"127.0.0.1:7\",\"zone\":\"z0\",\"state\":\"ready\","
  "\"slots\":8}",
  "[]",
  "7",
  "{",
};

static gboolean
is_known (const SvFleet *fleet, guint i)
{
  g_autofree char *id = g_strdup_printf ("i-%u", i);
  const SvEndpoint *endpoint = sv_fleet_by_id (fleet, id);

  return endpoint != NULL && endpoint->state == SV_ENDPOINT_READY && !endpoint->is_unlisted
         && strcmp (endpoint->address, "127.0.0.1:9") == 0;
}

/* Whether each instance is ready, and knows the first `n` endpoints and nothing else. */
static gboolean
know_just (const GfFleet *fleet, guint n)
{
  gboolean know = gf_fleet_n_unready (fleet) == 0;

  for (guint i = 0; i < size.n_instances; i++)
    {
      const SvFleet *endpoints = fleet->instances[i].gateway.fleet;

      know = know && sv_fleet_all (endpoints)->len == n;
      for (guint j = 0; j < n; j++)
        know = know && is_known (endpoints, j);
    }
  return know;
}

static void
check (const GfFleet *fleet, guint n, const char *when, const char *row)
{
  if (know_just (fleet, n))
    return;
  fprintf (stderr, "%s, endpoints aren't known or others are: %.120s\n", when, row);
  CU_FAIL ("an odd row costs its neighbours, or is taken");
}

/* The row is there when all instances start; then other rows change; then it goes, while the
 * history is gone; then an instance starts anew. */
static void
play_row (const char *row)
{
  GfFleet fleet;

  gf_fleet_open (&fleet, &size);
  row_store_put_raw (fleet.store, PL_ENDPOINT_TABLE, row);
  gf_fleet_start_all (&fleet, 0);
  gf_fleet_settle (&fleet, START_TIME);
  gf_fleet_advance (&fleet, CHANGE_TIME);
  check (&fleet, ENDPOINTS, "at the start", row);
  gf_fleet_put_endpoint (&fleet, ENDPOINTS, "ready");
  row_store_put_raw (fleet.store, PL_ENDPOINT_TABLE, row);
  gf_fleet_advance (&fleet, CHANGE_TIME);
  check (&fleet, ENDPOINTS + 1, "after a change", row);
  /* The feeds are answered and pause; then they have to read the list. */
  gf_fleet_put_endpoint (&fleet, ENDPOINTS + 1, "ready");
  row_store_drop_raw (fleet.store);
  row_store_truncate_history (fleet.store);
  gf_fleet_advance (&fleet, CHANGE_TIME);
  row_store_put_raw (fleet.store, PL_ENDPOINT_TABLE, row);
  gf_fleet_kill (&fleet, 0);
  gf_fleet_start (&fleet, 0);
  gf_fleet_advance (&fleet, CHANGE_TIME);
  check (&fleet, ENDPOINTS + ADDED, "after a start", row);
  gf_fleet_close (&fleet);
}

static void
play_value (const char *value)
{
  g_autofree char *encoded = g_base64_encode ((const guchar *)value, strlen (value));
  g_autofree char *row =
      g_strdup_printf ("{\"key\":\"i-odd\",\"ver\":%%V,\"value\":\"%s\"}", encoded);

  play_row (row);
}

/* Guards against one row for which instances end, stop following the list, or lose other rows. */
static void
test_odd_rows_are_dropped_alone (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (odd_rows); i++)
    play_row (odd_rows[i]);
}

static void
test_odd_values_are_dropped_alone (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (odd_values); i++)
    play_value (odd_values[i]);
}

/* Guards against a parser that calls itself for each level, and against long texts in a row. */
static void
test_deep_and_long_rows_are_dropped_alone (void)
{
  g_autofree char *opening = g_strnfill (DEEP, '[');
  g_autofree char *closing = g_strnfill (DEEP, ']');
  g_autofree char *deep = g_strconcat (opening, closing, NULL);
  g_autofree char *deep_row =
      g_strdup_printf ("{\"key\":\"i-odd\",\"ver\":%%V,\"value\":%s}", deep);
  g_autofree char *long_text = g_strnfill (60000, 'a');
  g_autofree char *long_key =
      g_strdup_printf ("{\"key\":\"%s\",\"ver\":%%V,\"value\":\"" SOUND_VALUE "\"}", long_text);
  g_autofree char *long_zone = g_strdup_printf (
      "{\"service\":\"s\",\"address\":\"127.0.0.1:7\",\"zone\":\"%s\",\"state\":\"ready\","
      "\"slots\":8}",
      long_text);

  play_row (deep_row);
  play_row (deep);
  play_row (long_key);
  play_value (deep);
  play_value (opening);
  play_value (long_zone);
}

/* Guards against instances that never find each other, as the row of their cell can't be read, and
 * none of them writes it again. */
static void
test_odd_rows_of_cells_are_replaced (void)
{
  static const char *const rows[] = { "",
                                      "7",
                                      "[]",
                                      "{}",
                                      "null",
                                      "{\"contacts\":7}",
                                      "{\"contacts\":[7,{\"name\":\"n\",\"link\":\"x\",\"zone\":"
                                      "\"z0\"}]}",
                                      "{\"contacts\":[{\"name\":\"n\",\"link\":\"127.0.0.1:"
                                      "4294967303\",\"zone\":\"z0\"}]}",
                                      "{\"contacts\":[],\"quarantined\":[7,{\"segment\":1}]}" };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      GfFleet fleet;

      gf_fleet_open (&fleet, &size);
      row_store_put_in (fleet.store, PL_CELL_TABLE, "z0", rows[i]);
      gf_fleet_start_all (&fleet, 0);
      CU_ASSERT (gf_fleet_settle (&fleet, START_TIME) < START_TIME);
      gf_fleet_advance (&fleet, CHANGE_TIME);
      /* A further instance finds them by the row. */
      gf_fleet_kill (&fleet, 0);
      gf_fleet_advance (&fleet, START_TIME);
      gf_fleet_start (&fleet, 0);
      CU_ASSERT (gf_fleet_settle (&fleet, START_TIME) < START_TIME);
      CU_ASSERT_EQUAL (strncmp (row_store_value (fleet.store, "z0"), "{\"contacts\":[{", 14), 0);
      gf_fleet_close (&fleet);
    }
}

static const SuiteCase cases[] = {
  { "odd rows are dropped alone", test_odd_rows_are_dropped_alone },
  { "odd values are dropped alone", test_odd_values_are_dropped_alone },
  { "deep and long rows are dropped alone", test_deep_and_long_rows_are_dropped_alone },
  { "odd rows of cells are replaced", test_odd_rows_of_cells_are_replaced },
};

SUITE_MAIN ("gw_odd_rows", cases)
