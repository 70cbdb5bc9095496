/** The bytes that a whole instance holds for readers: their bound and their gauge. */

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/socket.h"
#include "suite.h"
#include "tests/fakes/gateway_fleet.h"

#define START_TIME (3 * KNL_SEC)

/* Steps of the fleet's clock, as a bound of the loops. */
#define MAX_STEPS 200

static const GfSize one_instance = { .n_instances = 1, .n_zones = 1, .n_endpoints = 1 };

typedef struct
{
  GString *body;
  gboolean has_ended;
  HtFailure failure;
} Result;

static HtHeadVerdict
on_head (HtExchange *exchange, HtMessage *answer, gpointer data)
{
  return HT_HEAD_ACCEPT;
}

static void
on_done (HtExchange *exchange, HtMessage *answer, gpointer data)
{
  Result *result = data;

  result->body = g_string_new_len (answer->body->str, (gssize)answer->body->len);
  result->has_ended = TRUE;
}

static void
on_failed (HtExchange *exchange, HtFailure failure, gpointer data)
{
  Result *result = data;

  result->failure = failure;
  result->has_ended = TRUE;
}

static const HtExchangeEvents events = { .head = on_head, .done = on_done, .failed = on_failed };

/* An endpoint that accepts connections, and never reads. */
static int
open_deaf_endpoint (char **address)
{
  const int buffer = 16384;
  const int segment = 2048;
  struct sockaddr_in any = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
  setsockopt (fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
  g_assert_cmpint (bind (fd, (struct sockaddr *)&any, sizeof any), ==, 0);
  listen (fd, 8);
  *address = g_strdup_printf ("127.0.0.1:%u", cm_socket_port (fd));
  return fd;
}

static void
send_body (Gateway *gateway, const char *address, gsize length, Result *result)
{
  g_autofree char *body = g_malloc0 (length);
  HtExchangeRequest request = { .address = address,
                                .head = "POST / HTTP/1.1\r\n",
                                .body = body,
                                .body_length = length,
                                .connect_timeout = START_TIME };

  ht_client_send (gateway->endpoints_client, &request, &events, result);
}

static gsize
read_gauge (GfFleet *fleet)
{
  static const HtLimits limits = { 16384, 1 << 20 };
  static const char name[] = "\nalderturn_unsent_bytes ";
  HtClient *client = ht_client_new (fleet->kernel, fleet->base, &limits, KNL_SEC);
  HtExchangeRequest request = { .address = fleet->instances[0].gateway.boot->metrics_address,
                                .head = "GET /metrics HTTP/1.1\r\nHost: h\r\n",
                                .connect_timeout = START_TIME };
  Result result = { 0 };
  const char *found;
  gsize value;

  ht_client_send (client, &request, &events, &result);
  for (guint i = 0; i < MAX_STEPS && !result.has_ended; i++)
    gf_fleet_advance (fleet, KNL_MSEC);
  ht_client_free (client);
  found = result.body != NULL ? strstr (result.body->str, name) : NULL;
  CU_ASSERT_PTR_NOT_NULL (found);
  value = found != NULL ? (gsize)strtod (found + strlen (name), NULL) : G_MAXSIZE;
  if (result.body != NULL)
    g_string_free (result.body, TRUE);
  return value;
}

/* Guards against a bound that isn't the fourth part of the memory in the settings, or that isn't
 * passed to the endpoints' client; and against a gauge that stays at 0. */
static void
test_a_quarter_of_the_memory_is_the_bound (void)
{
  const gsize bound = GF_MEMORY / 4;
  GfFleet fleet;
  Gateway *gateway;
  g_autofree char *address = NULL;
  Result below = { 0 };
  Result above = { 0 };
  int fd = open_deaf_endpoint (&address);

  gf_fleet_open (&fleet, &one_instance);
  gf_fleet_start_all (&fleet, 0);
  gf_fleet_settle (&fleet, START_TIME);
  gateway = &fleet.instances[0].gateway;
  CU_ASSERT_EQUAL (read_gauge (&fleet), 0);
  send_body (gateway, address, bound * 9 / 20, &below);
  gf_fleet_advance (&fleet, KNL_MSEC);
  CU_ASSERT (read_gauge (&fleet) > bound / 4);
  CU_ASSERT (read_gauge (&fleet) < bound / 2);
  CU_ASSERT_FALSE (below.has_ended);
  send_body (gateway, address, bound, &above);
  for (guint i = 0; i < MAX_STEPS && !above.has_ended; i++)
    gf_fleet_advance (&fleet, KNL_MSEC);
  CU_ASSERT_TRUE (above.has_ended);
  CU_ASSERT_EQUAL (above.failure, HT_FAIL_UNSENT);
  CU_ASSERT_FALSE (below.has_ended);
  CU_ASSERT (read_gauge (&fleet) > bound / 4);
  gf_fleet_close (&fleet);
  close (fd);
}

static const SuiteCase cases[] = {
  { "a quarter of the memory is the bound", test_a_quarter_of_the_memory_is_the_bound },
};

SUITE_MAIN ("gw_unsent", cases)
