/** Tests of endpoints that advertise in their answers that they are leaving. */

#include <string.h>

#include "suite.h"
#include "sv_fixture.h"

#define ANSWER(fields) "HTTP/1.1 200 OK\r\n" SIGNED fields "Content-Length: 4\r\n\r\ngood"
#define LEAVING        "Server-Leaving: 1\r\n"

/* The leave grace of the fixture's fleet is 1 s: times within it and past it. */
#define WITHIN_GRACE (500 * KNL_MSEC)
#define PAST_GRACE   (1200 * KNL_MSEC)

static const ScriptedAnswer good = { ANSWER (""), FALSE };
static const ScriptedAnswer leaving = { ANSWER (LEAVING), FALSE };
static const ScriptedAnswer leaving_rejects = {
  "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n" LEAVING "Content-Length: 0\r\n\r\n", FALSE
};
static const ScriptedAnswer leaving_fails = { "HTTP/1.1 500 E\r\n" SIGNED LEAVING
                                              "Content-Length: 3\r\n\r\nbad",
                                              FALSE };
static const ScriptedAnswer another_leaves = { "HTTP/1.1 421 Misdirected Request\r\n" LEAVING
                                               "Content-Length: 0\r\n\r\n",
                                               FALSE };

/* Row of the first endpoint in a list that is applied after its answer; LIST_NONE: no list. */
typedef enum
{
  LIST_NONE,
  LIST_READY,
  LIST_ANOTHER_START,
  LIST_LOST_AND_BACK, /* the row was lost for longer than the grace */
  LIST_LOST_AND_ANOTHER_START,
} List;

typedef struct
{
  const char *name;
  const ScriptedAnswer *first_answer; /* the first endpoint's first answer; later ones are good */
  gboolean has_other;                 /* there is a second endpoint */
  KnlTime after;                      /* time between the two requests */
  List list;
  guint n_at_first; /* requests that the first endpoint received in all */
  gboolean served;  /* whether the second request is answered 200 */
} Row;

static void
list_first (SvFixture *self, guint64 start)
{
  SvEndpointEntry entry = {
    .id = "i-0",
    .service = "s",
    .zone = "a",
    .slots = 4,
    .start = start,
    .address = scripted_endpoint_address (self->endpoints[0]),
  };

  sv_fleet_update (self->fleet, &entry);
}

static void
lose_first (SvFixture *self)
{
  sv_fleet_remove (self->fleet, "i-0");
  knl_paused_clock_advance (self->clock, PAST_GRACE);
  sv_fleet_sweep (self->fleet);
}

static void
check_row (const Row *row)
{
  const ScriptedAnswer script[] = { *row->first_answer, good };
  SvFixture fixture;

  sv_fixture_open (&fixture);
  sv_fixture_use_config (&fixture, 1, "key");
  sv_fixture_add_endpoint (&fixture, script, 2);
  if (row->has_other)
    sv_fixture_add_endpoint (&fixture, &good, 1);
  sv_fixture_request (&fixture, "/again/1");
  sv_fixture_wait_for (&fixture, "\r\n\r\n");
  if (row->list == LIST_LOST_AND_BACK || row->list == LIST_LOST_AND_ANOTHER_START)
    lose_first (&fixture);
  if (row->list != LIST_NONE)
    list_first (&fixture, row->list == LIST_READY || row->list == LIST_LOST_AND_BACK ? 0 : 7);
  knl_paused_clock_advance (fixture.clock, row->after);
  sv_core_confirm (fixture.core, knl_kernel_now (fixture.kernel));
  sv_fixture_request (&fixture, "/once/2");
  sv_fixture_wait_for (&fixture, "\r\n\r\n");
  if (scripted_endpoint_n_requests (fixture.endpoints[0]) != row->n_at_first)
    printf ("%s: %u requests at the first\n", row->name,
            scripted_endpoint_n_requests (fixture.endpoints[0]));
  CU_ASSERT_EQUAL (scripted_endpoint_n_requests (fixture.endpoints[0]), row->n_at_first);
  CU_ASSERT_EQUAL (strstr (fixture.received->str, "HTTP/1.1 200") != NULL, row->served);
  sv_fixture_close (&fixture);
}

/* Guards against requests to an endpoint that has advertised that it is leaving: they are lost when
 * it exits. */
static void
test_leaving_endpoint_gets_no_requests (void)
{
  static const Row rows[] = {
    { "sent to the other endpoint", &leaving, TRUE, 0, LIST_NONE, 1, TRUE },
    { "in an error answer", &leaving_fails, TRUE, 0, LIST_NONE, 1, TRUE },
    { "in a rejection", &leaving_rejects, TRUE, 0, LIST_NONE, 1, TRUE },
    { "only endpoint, within the grace", &leaving, FALSE, WITHIN_GRACE, LIST_NONE, 2, TRUE },
    { "only endpoint, after the grace", &leaving, FALSE, PAST_GRACE, LIST_NONE, 1, FALSE },
    { "an older list", &leaving, TRUE, 0, LIST_READY, 1, TRUE },
    { "an older list, after the grace", &leaving, FALSE, PAST_GRACE, LIST_READY, 1, FALSE },
    { "another start", &leaving, FALSE, PAST_GRACE, LIST_ANOTHER_START, 2, TRUE },
    { "a row that was lost and is back", &leaving, FALSE, 0, LIST_LOST_AND_BACK, 1, FALSE },
    { "a row that was lost, another start", &leaving, FALSE, 0, LIST_LOST_AND_ANOTHER_START, 2,
      TRUE },
    { "an answer by another endpoint", &another_leaves, FALSE, PAST_GRACE, LIST_NONE, 2, TRUE },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    check_row (&rows[i]);
}

static const SuiteCase cases[] = {
  { "a leaving endpoint is sent no more requests", test_leaving_endpoint_gets_no_requests },
};

SUITE_MAIN ("sv_leaving", cases)
