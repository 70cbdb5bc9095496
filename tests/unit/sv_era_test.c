/** A new era of the store doesn't change requests in flight, or what is known of endpoints. */

#include <string.h>

#include "suite.h"
#include "sv_fixture.h"

#define N_ENDPOINTS 3

#define LEAVING 1
#define MISSING 2

static SvEndpoint *
endpoint_of (const SvFixture *self, guint index)
{
  const GPtrArray *all = sv_fleet_all (self->fleet);

  for (guint i = 0; i < all->len; i++)
    {
      SvEndpoint *endpoint = g_ptr_array_index (all, i);

      if (strcmp (endpoint->address, scripted_endpoint_address (self->endpoints[index])) == 0)
        return endpoint;
    }
  return NULL;
}

/* Applies the list as the store sends it in an era, with all entries at `version` and the first `n`
 * of the endpoints. */
static void
apply_list (SvFixture *self, guint64 era, guint64 version, guint n)
{
  sv_fleet_begin_list (self->fleet);
  for (guint i = 0; i < n; i++)
    {
      g_autofree char *id = g_strdup_printf ("i-%u", i);
      SvEndpointEntry entry = { .id = id,
                                .service = "s",
                                .zone = "a",
                                .slots = 4,
                                .address = scripted_endpoint_address (self->endpoints[i]),
                                .revision = { .era = era, .version = version } };

      sv_fleet_update (self->fleet, &entry);
    }
  sv_fleet_end_list (self->fleet);
}

typedef struct
{
  SvEndpoint *endpoint;
  guint calls;
  guint losses;
  double limit;
  KnlTime prefill_left;
  KnlTime retry_after_until;
  SvEndpointState state;
} Known;

static Known
known_of (const SvFixture *self, guint index)
{
  SvEndpoint *endpoint = endpoint_of (self, index);

  CU_ASSERT_PTR_NOT_NULL (endpoint);
  if (endpoint == NULL)
    return (Known){ 0 };
  return (Known){
    .endpoint = endpoint,
    .calls = endpoint->own.calls,
    .losses = endpoint->health.losses,
    .limit = endpoint->limit.rate,
    .prefill_left = sv_endpoint_prefill_left (endpoint, knl_kernel_now (self->kernel)),
    .retry_after_until = endpoint->retry_after_until,
    .state = endpoint->state,
  };
}

static void
set_known_state (SvFixture *self)
{
  static const SvPrefill prefill = { .prompt = 7, .length = 5 * KNL_SEC, .until_ended = TRUE };
  static const SvReply leaving = {
    .status = 200, .is_signed = TRUE, .is_leaving = TRUE, .limit = POL_NO_LIMIT
  };
  static const SvReply retry_later = { .status = 503,
                                       .retry_after = 3 * KNL_SEC,
                                       .limit = POL_NO_LIMIT };
  KnlTime now = knl_kernel_now (self->kernel);

  sv_fleet_add_prefill (self->fleet, &prefill, &endpoint_of (self, 0)->key, 1);
  sv_endpoint_note_limit (endpoint_of (self, 0), 2.5, now);
  sv_reply_note_signals (&leaving, endpoint_of (self, LEAVING), now);
  sv_reply_note_signals (&retry_later, endpoint_of (self, MISSING), now);
  sv_endpoint_note_loss (endpoint_of (self, MISSING), now);
}

/* Guards against requests that end, and loads, losses and advertised signals that are lost, when
 * the store is restored from an older copy. */
static void
test_a_new_era_drops_nothing (void)
{
  static const ScriptedAnswer silent = { NULL, FALSE };
  static const ScriptedAnswer good = { "HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 4\r\n\r\ngood",
                                       FALSE };
  SvFixture fixture;
  Known before[N_ENDPOINTS];

  sv_fixture_open (&fixture);
  sv_fixture_use_config (&fixture, 1, "key");
  sv_fixture_add_endpoint (&fixture, &silent, 1);
  for (guint i = 1; i < N_ENDPOINTS; i++)
    sv_fixture_add_endpoint (&fixture, &good, 1);
  apply_list (&fixture, 1, 90, N_ENDPOINTS);
  sv_fixture_request (&fixture, "/once/1");
  sv_fixture_wait_requests (&fixture, 0, 1);
  set_known_state (&fixture);
  for (guint i = 0; i < N_ENDPOINTS; i++)
    before[i] = known_of (&fixture, i);
  /* The restored copy lacks the newest endpoint, which is then written again. */
  apply_list (&fixture, 2, 40, MISSING);
  CU_ASSERT_EQUAL (endpoint_of (&fixture, MISSING)->state, SV_ENDPOINT_LEAVING);
  apply_list (&fixture, 2, 41, N_ENDPOINTS);
  for (guint i = 0; i < N_ENDPOINTS; i++)
    {
      Known after = known_of (&fixture, i);

      CU_ASSERT_PTR_EQUAL (after.endpoint, before[i].endpoint);
      CU_ASSERT_EQUAL (after.calls, before[i].calls);
      CU_ASSERT_EQUAL (after.losses, before[i].losses);
      CU_ASSERT_EQUAL (after.limit, before[i].limit);
      CU_ASSERT_EQUAL (after.prefill_left, before[i].prefill_left);
      CU_ASSERT_EQUAL (after.retry_after_until, before[i].retry_after_until);
      CU_ASSERT_EQUAL (after.state, before[i].state);
    }
  CU_ASSERT_EQUAL (before[0].calls, 1);
  CU_ASSERT (before[0].prefill_left > 0);
  CU_ASSERT_EQUAL (before[LEAVING].state, SV_ENDPOINT_LEAVING);
  CU_ASSERT_EQUAL (sv_core_n_requests (fixture.core), 1);
  CU_ASSERT_FALSE (fixture.ended);
  sv_fixture_close (&fixture);
}

static const SuiteCase cases[] = {
  { "a new era drops nothing", test_a_new_era_drops_nothing },
};

SUITE_MAIN ("sv_era", cases)
