/** Small parts of the core: configuration, events, fleet. */

#include <string.h>

#include "kernel/paused.h"
#include "serve/config.h"
#include "serve/events.h"
#include "serve/fleet.h"
#include "suite.h"

static void
add_route (SvConfig *config, const char *name, const char *prefix, const char *service)
{
  SvRoute *route = sv_route_new ();

  route->name = g_strdup (name);
  route->host = g_strdup ("h.example");
  route->prefix = g_strdup (prefix);
  sv_route_add_split (route, service, 1);
  sv_config_add_route (config, route);
}

static void
test_longest_prefix (void)
{
  static const struct
  {
    const char *host;
    const char *path;
    const char *route; /* NULL: none */
  } rows[] = {
    { "h.example", "/a/b/c", "inner" }, { "H.Example:80", "/a/x", "outer" },
    { "h.example", "/a", NULL },        { "h.example", "/ab/", NULL },
    { "other", "/a/b/", NULL },         { "h.example", "/a/b/", "inner" },
  };
  g_autoptr (SvConfig) config = sv_config_new (1);

  add_route (config, "outer", "/a/", "s");
  add_route (config, "inner", "/a/b/", "s");
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      const SvRoute *route = sv_config_route (config, rows[i].host, rows[i].path);

      CU_ASSERT_EQUAL (g_strcmp0 (route != NULL ? route->name : NULL, rows[i].route), 0);
    }
}

static void
test_split_by_weight (void)
{
  SvRoute *route = sv_route_new ();
  guint first = 0;

  sv_route_add_split (route, "a", 90);
  sv_route_add_split (route, "b", 10);
  sv_route_add_split (route, "off", 0);
  for (guint i = 0; i < 1000; i++)
    {
      const char *service = sv_route_service (route, i / 1000.0);

      CU_ASSERT_STRING_NOT_EQUAL (service, "off");
      first += strcmp (service, "a") == 0;
    }
  CU_ASSERT_EQUAL (first, 900);
  sv_route_unref (route);
}

typedef struct
{
  GString *text;
  gint64 ids[8];
  guint n;
} Seen;

static void
on_event (const SvEvent *event, gpointer data)
{
  Seen *seen = data;

  g_string_append_len (seen->text, event->bytes, (gssize)event->length);
  seen->ids[seen->n++] = event->id;
}

/*
 * Guards against a resumed stream that lacks an event or has one twice. An endpoint stops in the
 * middle of an event, and another one resumes after the last id; bytes of the incomplete event must
 * not have been forwarded, and its id must not count as forwarded.
 */
static void
test_events_in_any_pieces (void)
{
  static const char whole[] =
      "id: 4\ndata: a\n\nx-version: 2\r\nid:5\r\ndata: b\r\n\r\ndata: c\n\n";
  static const char torn[] = "id: 7\ndata: d\n";

  for (gsize step = 1; step <= sizeof whole; step++)
    {
      Seen seen = { .text = g_string_new (NULL) };
      SvEvents events;

      sv_events_init (&events);
      for (gsize at = 0; at < strlen (whole); at += step)
        sv_events_feed (&events, whole + at, MIN (step, strlen (whole) - at), on_event, &seen);
      CU_ASSERT_FALSE (sv_events_is_incomplete (&events));
      sv_events_feed (&events, torn, strlen (torn), on_event, &seen);
      CU_ASSERT_TRUE (sv_events_is_incomplete (&events));
      CU_ASSERT_STRING_EQUAL (seen.text->str, whole);
      CU_ASSERT_EQUAL (seen.n, 3);
      CU_ASSERT_TRUE (seen.ids[0] == 4 && seen.ids[1] == 5 && seen.ids[2] == -1);
      sv_events_clear (&events);
      g_string_free (seen.text, TRUE);
    }
}

static void
list (SvFleet *fleet, const char *id, gboolean draining)
{
  SvEndpointEntry entry = { .id = id,
                            .service = "s",
                            .address = "127.0.0.1:1",
                            .zone = "a",
                            .slots = 4,
                            .draining = draining };

  sv_fleet_update (fleet, &entry);
}

/*
 * Guards against refusing all requests for two seconds after the store was down. The entries of
 * live endpoints expire meanwhile, so that the first list afterwards is empty; endpoints whose
 * entry was removed must not be dropped at once.
 */
static void
test_lapsed_entries_are_a_last_resort (void)
{
  g_autoptr (KnlPausedClock) clock = knl_paused_clock_new ();
  g_autoptr (KnlKernel) kernel = knl_kernel_new (knl_paused_clock_runtime (clock), 7);
  SvFleet *fleet = sv_fleet_new (kernel, 1700 * KNL_MSEC);
  SvEndpoint *endpoint;

  list (fleet, "i-1", FALSE);
  endpoint = g_ptr_array_index (sv_fleet_service (fleet, "s"), 0);
  CU_ASSERT_TRUE (sv_endpoint_is_usable (endpoint, knl_kernel_now (kernel)));
  sv_fleet_begin_list (fleet);
  sv_fleet_end_list (fleet);
  CU_ASSERT_FALSE (sv_endpoint_is_usable (endpoint, knl_kernel_now (kernel)));
  CU_ASSERT_TRUE (sv_endpoint_is_last_resort (fleet, endpoint));
  knl_paused_clock_advance (clock, 1800 * KNL_MSEC);
  CU_ASSERT_FALSE (sv_endpoint_is_last_resort (fleet, endpoint));
  sv_fleet_sweep (fleet);
  CU_ASSERT_EQUAL (sv_fleet_all (fleet)->len, 0);
  list (fleet, "i-1", FALSE);
  endpoint = g_ptr_array_index (sv_fleet_service (fleet, "s"), 0);
  CU_ASSERT_TRUE (sv_endpoint_is_usable (endpoint, knl_kernel_now (kernel)));
  list (fleet, "i-1", TRUE);
  CU_ASSERT_FALSE (sv_endpoint_is_usable (endpoint, knl_kernel_now (kernel)));
  sv_fleet_free (fleet);
}

static void
test_lost_endpoint_is_tried_by_one (void)
{
  g_autoptr (KnlPausedClock) clock = knl_paused_clock_new ();
  g_autoptr (KnlKernel) kernel = knl_kernel_new (knl_paused_clock_runtime (clock), 7);
  SvFleet *fleet = sv_fleet_new (kernel, KNL_SEC);
  static const SvLoad one = { .calls = 1 };
  SvEndpoint *endpoint;
  KnlTime now;

  list (fleet, "i-1", FALSE);
  endpoint = g_ptr_array_index (sv_fleet_service (fleet, "s"), 0);
  sv_endpoint_note_loss (endpoint, knl_kernel_now (kernel));
  CU_ASSERT_FALSE (sv_endpoint_is_usable (endpoint, knl_kernel_now (kernel)));
  knl_paused_clock_advance (clock, KNL_SEC);
  now = knl_kernel_now (kernel);
  CU_ASSERT_TRUE (sv_endpoint_is_usable (endpoint, now));
  sv_endpoint_charge (endpoint, &one, 1);
  CU_ASSERT_FALSE (sv_endpoint_is_usable (endpoint, now));
  sv_endpoint_note_success (endpoint, now);
  CU_ASSERT_TRUE (sv_endpoint_is_usable (endpoint, now));
  sv_endpoint_charge (endpoint, &one, -1);
  sv_fleet_free (fleet);
}

/*
 * Guards against instances without contact to each other that overfill one endpoint, because each
 * counts only its own requests there. The load that the endpoint itself reports must be used, but
 * only for a short time.
 */
static void
test_reported_calls_count_briefly (void)
{
  g_autoptr (KnlPausedClock) clock = knl_paused_clock_new ();
  g_autoptr (KnlKernel) kernel = knl_kernel_new (knl_paused_clock_runtime (clock), 7);
  SvFleet *fleet = sv_fleet_new (kernel, KNL_SEC);
  static const SvLoad peer = { .calls = 2 };
  SvEndpoint *endpoint;

  list (fleet, "i-1", FALSE);
  endpoint = g_ptr_array_index (sv_fleet_service (fleet, "s"), 0);
  sv_endpoint_set_peer (endpoint, 9, &peer);
  sv_endpoint_note_report (endpoint, 7, knl_kernel_now (kernel));
  CU_ASSERT_EQUAL (sv_endpoint_load (endpoint, knl_kernel_now (kernel)).calls, 7);
  knl_paused_clock_advance (clock, 500 * KNL_MSEC);
  CU_ASSERT_EQUAL (sv_endpoint_load (endpoint, knl_kernel_now (kernel)).calls, 2);
  sv_endpoint_drop_peer (endpoint, 9);
  CU_ASSERT_EQUAL (sv_endpoint_load (endpoint, knl_kernel_now (kernel)).calls, 0);
  sv_fleet_free (fleet);
}

static const SuiteCase cases[] = {
  { "the longest prefix decides", test_longest_prefix },
  { "a split follows its weights", test_split_by_weight },
  { "events in any pieces", test_events_in_any_pieces },
  { "lapsed entries are a last resort", test_lapsed_entries_are_a_last_resort },
  { "a lost endpoint is tried by one request", test_lost_endpoint_is_tried_by_one },
  { "reported calls count briefly", test_reported_calls_count_briefly },
};

SUITE_MAIN ("sv_parts", cases)
