/** Endpoints that are restarted and register again under the same id. */

#include <string.h>

#include "suite.h"
#include "sv_fixture.h"

#define OK_ANSWER "HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 4\r\n\r\ngood"

static void
on_replaced (SvEndpoint *endpoint, gpointer data)
{
  SvFixture *fixture = data;

  ht_client_close_idle (fixture->client, endpoint->address);
  sv_core_note_replaced (fixture->core, endpoint);
}

static SvEndpointEntry
entry_of (const SvFixture *fixture, guint64 start, guint64 revision)
{
  return (SvEndpointEntry){
    .id = "i-0",
    .service = "s",
    .zone = "a",
    .slots = 4,
    .address = scripted_endpoint_address (fixture->endpoints[0]),
    .start = start,
    .revision = { .version = revision },
  };
}

static SvEndpoint *
endpoint_at (const SvFixture *fixture, guint index)
{
  const GPtrArray *endpoints = sv_fleet_service (fixture->fleet, "s");

  for (guint i = 0; i < endpoints->len; i++)
    {
      SvEndpoint *endpoint = g_ptr_array_index (endpoints, i);

      if (g_strcmp0 (endpoint->address, scripted_endpoint_address (fixture->endpoints[index])) == 0)
        return endpoint;
    }
  return NULL;
}

static void
open_with (SvFixture *fixture, const ScriptedAnswer *first, const ScriptedAnswer *second)
{
  SvEndpointEntry entry;

  sv_fixture_open (fixture);
  sv_fixture_use_config (fixture, 1, "key");
  sv_fixture_add_endpoint (fixture, first, 1);
  if (second != NULL)
    sv_fixture_add_endpoint (fixture, second, 1);
  sv_fleet_on_replaced (fixture->fleet, on_replaced, fixture);
  entry = entry_of (fixture, 1000, 1);
  sv_fleet_update (fixture->fleet, &entry);
}

/*
 * Symptom: an engine that has just started seems full, and its backoff still applies.
 * Sequence: it ran four requests, had a long prompt to prefill and had lost some requests when its
 * process crashed; a second later it registers under the same id.
 * Cause: loads, prefills and health are kept by endpoint, and the endpoint was identified by its id
 * alone.
 */
static void
test_a_restart_clears_what_was_known (void)
{
  static const ScriptedAnswer ok = { OK_ANSWER, FALSE };
  static const SvLoad load = { .calls = 4, .tokens = 1000 };
  static const SvPrefill prefill = { .prompt = 7, .length = 5 * KNL_SEC, .until_ended = TRUE };
  SvFixture fixture;
  SvEndpointEntry restarted;
  SvEndpoint *endpoint;
  guint64 key_before;

  open_with (&fixture, &ok, NULL);
  endpoint = endpoint_at (&fixture, 0);
  key_before = endpoint->key;
  sv_endpoint_charge (endpoint, &load, 1);
  sv_endpoint_set_peer (endpoint, 3, &load);
  sv_fleet_add_prefill (fixture.fleet, &prefill, &key_before, 1);
  sv_endpoint_note_loss (endpoint, knl_kernel_now (fixture.kernel));
  restarted = entry_of (&fixture, 2000, 2);
  sv_fleet_update (fixture.fleet, &restarted);
  endpoint = endpoint_at (&fixture, 0);
  CU_ASSERT_EQUAL (sv_fleet_all (fixture.fleet)->len, 1);
  CU_ASSERT_EQUAL (sv_endpoint_load (endpoint, knl_kernel_now (fixture.kernel)).calls, 0);
  CU_ASSERT_EQUAL (sv_endpoint_prefill_left (endpoint, knl_kernel_now (fixture.kernel)), 0);
  CU_ASSERT_TRUE (sv_endpoint_is_usable (endpoint, knl_kernel_now (fixture.kernel)));
  /* Later reports by peers about the previous start don't apply to this one. */
  CU_ASSERT_NOT_EQUAL (endpoint->key, key_before);
  CU_ASSERT_PTR_NULL (sv_fleet_by_key (fixture.fleet, key_before));
  sv_fixture_close (&fixture);
}

/* A list from before the restart, or an entry without a start, changes nothing. */
static void
test_entries_that_are_not_newer (void)
{
  static const ScriptedAnswer ok = { OK_ANSWER, FALSE };
  static const struct
  {
    guint64 start;
    guint64 revision;
    gboolean is_replaced;
  } rows[] = {
    { 1000, 2, FALSE }, { 0, 3, FALSE }, { 900, 1, FALSE }, { 900, 4, TRUE }, { 2000, 5, TRUE },
  };
  SvFixture fixture;

  open_with (&fixture, &ok, NULL);
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      SvEndpointEntry entry = entry_of (&fixture, rows[i].start, rows[i].revision);
      SvEndpoint *before = sv_endpoint_ref (endpoint_at (&fixture, 0));

      sv_fleet_update (fixture.fleet, &entry);
      CU_ASSERT_EQUAL (before->is_replaced, rows[i].is_replaced);
      CU_ASSERT_EQUAL (before != endpoint_at (&fixture, 0), rows[i].is_replaced);
      sv_endpoint_unref (before);
    }
  sv_fixture_close (&fixture);
}

/*
 * Symptom: requests wait for seconds for an engine that is up and idle.
 * Sequence: its host failed with their connections open, and its entry has a new start.
 * Cause: only the requests' own timeouts for silence ended them. An idempotent request must go to
 * another endpoint at once; any other one is answered at once, without stating whether it ran.
 */
static void
test_requests_in_flight_are_lost (void)
{
  static const ScriptedAnswer silent = { NULL, FALSE };
  static const ScriptedAnswer ok = { OK_ANSWER, FALSE };
  static const struct
  {
    const char *path;
    const char *answer;
    guint sends;
  } rows[] = {
    { "/again/1", "HTTP/1.1 200", 2 },
    { "/once/1", "HTTP/1.1 502", 1 },
    { "/once-of-two/1", "HTTP/1.1 502", 1 },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      SvFixture fixture;
      SvEndpointEntry restarted;

      open_with (&fixture, &silent, &ok);
      sv_fixture_request (&fixture, rows[i].path);
      sv_fixture_wait_requests (&fixture, 0, 1);
      restarted = entry_of (&fixture, 2000, 2);
      sv_fleet_update (fixture.fleet, &restarted);
      sv_fixture_wait_for (&fixture, "\r\n\r\n");
      CU_ASSERT_PTR_NOT_NULL (strstr (fixture.received->str, rows[i].answer));
      CU_ASSERT_EQUAL (sv_fixture_all_requests (&fixture), rows[i].sends);
      /* The new start isn't charged for any of it. */
      CU_ASSERT_EQUAL (endpoint_at (&fixture, 0)->own.calls, 0);
      sv_fixture_close (&fixture);
    }
}

/* Guards against entries that are written again in a new era, with lower versions, and are ignored
 * as old. */
static void
test_entries_of_another_era (void)
{
  static const ScriptedAnswer ok = { OK_ANSWER, FALSE };
  static const struct
  {
    SvPosition revision;
    gboolean draining;
    SvEndpointState state; /* expected */
  } rows[] = {
    { { 1, 50 }, FALSE, SV_ENDPOINT_READY },   { { 1, 51 }, TRUE, SV_ENDPOINT_LEAVING },
    { { 1, 50 }, FALSE, SV_ENDPOINT_LEAVING }, { { 2, 7 }, FALSE, SV_ENDPOINT_READY },
    { { 1, 52 }, TRUE, SV_ENDPOINT_READY },    { { 2, 8 }, TRUE, SV_ENDPOINT_LEAVING },
  };
  SvFixture fixture;

  open_with (&fixture, &ok, NULL);
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      SvEndpointEntry entry = entry_of (&fixture, 1000, 0);

      entry.revision = rows[i].revision;
      entry.draining = rows[i].draining;
      sv_fleet_update (fixture.fleet, &entry);
      CU_ASSERT_EQUAL (endpoint_at (&fixture, 0)->state, rows[i].state);
    }
  sv_fixture_close (&fixture);
}

static const SuiteCase cases[] = {
  { "a restart clears what was known", test_a_restart_clears_what_was_known },
  { "entries that are not newer", test_entries_that_are_not_newer },
  { "requests in flight are lost", test_requests_in_flight_are_lost },
  { "entries of another era", test_entries_of_another_era },
};

SUITE_MAIN ("sv_restart", cases)
