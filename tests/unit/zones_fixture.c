#include "zones_fixture.h"

#include <string.h>

#include "suite.h"

#define SETTLE_ITERATIONS 20

const ScriptedAnswer zones_good = { "HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 4\r\n\r\ngood",
                                    FALSE };
const ScriptedAnswer zones_silent = { NULL, FALSE };
const ScriptedAnswer zones_begun = { "HTTP/1.1 200 OK\r\n" SIGNED
                                     "Transfer-Encoding: chunked\r\n\r\n"
                                     "f\r\nid: 1\ndata: a\n\n\r\n",
                                     FALSE };
const ScriptedAnswer zones_accepted = {
  "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n{\"free\":10}", FALSE
};

void
zones_fixture_set_bounds (SvFixture *self, KnlTime evacuation)
{
  SvBounds bounds = { .key_withdrawal = 20 * KNL_SEC,
                      .new_config = 20 * KNL_SEC,
                      .unused_memory = 4 * KNL_SEC,
                      .idle_memory = 9 * KNL_SEC,
                      .grace = 8 * KNL_SEC,
                      .retries = { .ratio = 0.2, .slack = 100, .window = 10 * KNL_SEC },
                      .evacuation = evacuation };

  sv_core_set_bounds (self->core, &bounds);
}

void
zones_fixture_open (SvFixture *self, const ScriptedAnswer *first, const ScriptedAnswer *second)
{
  sv_fixture_open (self);
  zones_fixture_set_bounds (self, EVACUATION);
  sv_fixture_use_config (self, 1, "key");
  sv_fixture_add_endpoint (self, first, 1);
  sv_fixture_add_endpoint (self, second, 1);
}

/* Each letter is a zone. */
void
zones_fixture_evacuate (SvFixture *self, const char *zones)
{
  for (; *zones != '\0'; zones++)
    {
      const char zone[] = { *zones, '\0' };

      sv_evacuations_put (sv_fleet_evacuations (self->fleet), zone, (SvPosition){ 1, 5 });
    }
}

SvEndpoint *
zones_fixture_endpoint (const SvFixture *self, guint index)
{
  const GPtrArray *all = sv_fleet_all (self->fleet);
  const char *address = scripted_endpoint_address (self->endpoints[index]);

  for (guint i = 0; i < all->len; i++)
    {
      SvEndpoint *endpoint = g_ptr_array_index (all, i);

      if (strcmp (endpoint->address, address) == 0)
        return endpoint;
    }
  return NULL;
}

/* Writes the endpoint's row again, with this zone. */
void
zones_fixture_update (SvFixture *self, guint index, const char *zone)
{
  g_autofree char *id = g_strdup_printf ("i-%u", index);
  SvEndpointEntry entry = {
    .id = id,
    .service = "s",
    .zone = zone,
    .slots = 4,
    .address = scripted_endpoint_address (self->endpoints[index]),
  };

  sv_fleet_update (self->fleet, &entry);
}

void
zones_fixture_settle (SvFixture *self)
{
  for (guint i = 0; i < SETTLE_ITERATIONS; i++)
    event_base_loop (self->base, EVLOOP_NONBLOCK);
}

guint
zones_fixture_n_requests (const SvFixture *self, guint endpoint)
{
  return scripted_endpoint_n_requests (self->endpoints[endpoint]);
}

static gboolean
has_outcome (const SvFixture *self, const char *outcome)
{
  GString *text = cm_metrics_render (self->metrics);
  g_autofree char *label = g_strdup_printf ("outcome=\"%s\"", outcome);
  gboolean found = strstr (text->str, label) != NULL;

  g_string_free (text, TRUE);
  return found;
}

void
zones_fixture_check_refused (const SvFixture *self, const char *reason)
{
  CU_ASSERT_PTR_NOT_NULL (strstr (self->received->str, "HTTP/1.1 503"));
  CU_ASSERT_PTR_NOT_NULL (strstr (self->received->str, "\r\nRetry-After: "));
  CU_ASSERT_TRUE (has_outcome (self, reason));
}
