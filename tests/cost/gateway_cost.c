/** What the gateway's own work costs in processor time: a configuration of many routes, and the
 * datagrams that instances tell each other. Prints JSON lines; figures depend on the machine. */

#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "platform/decode.h"
#include "platform/store.h"
#include "wire/datagram.pb-c.h"

#define ROUNDS 200

static double
cpu_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

static char *
config_answer (guint n_routes)
{
  g_autoptr (GString) text = g_string_new ("{\"version\":7,\"routes\":[");
  g_autofree char *value = NULL;

  for (guint i = 0; i < n_routes; i++)
    g_string_append_printf (
        text,
        "%s{\"name\":\"r-%u\",\"hostname\":\"h%u.example\",\"prefix\":\"/p%u/\","
        "\"routeKind\":\"streaming\",\"timeoutMs\":10000,\"targetLatencyMs\":300,\"priority\":1,"
        "\"service\":\"s\",\"maxAttempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true,"
        "\"gapAimMs\":250}",
        i > 0 ? "," : "", i, i % 7, i);
  g_string_append (text, "],\"services\":[{\"name\":\"s\"}],\"limits\":{},\"tenants\":[]}");
  value = g_base64_encode ((const guchar *)text->str, text->len);
  return g_strdup_printf (
      "{\"rows\":[{\"table\":\"op\",\"part\":\"\",\"key\":\"config\",\"value\":\"%s\",\"ver\":9}],"
      "\"ver\":9}",
      value);
}

static void
measure_config (guint n_routes)
{
  g_autofree char *answer = config_answer (n_routes);
  gsize length = strlen (answer);
  double parse = 0;
  double unwrap = 0;
  double decode = 0;
  double release = 0;

  for (guint i = 0; i < ROUNDS; i++)
    {
      double start = cpu_us ();
      json_t *body = json_loadb (answer, length, 0, NULL);
      double parsed = cpu_us ();
      PlRow row;
      double unwrapped;
      double decoded;
      SvConfig *config;

      pl_row_decode (json_array_get (json_object_get (body, "rows"), 0), &row);
      unwrapped = cpu_us ();
      config = pl_decode_config (row.value);
      decoded = cpu_us ();
      sv_config_unref (config);
      json_decref (row.value);
      json_decref (body);
      parse += parsed - start;
      unwrap += unwrapped - parsed;
      decode += decoded - unwrapped;
      release += cpu_us () - decoded;
    }
  g_print ("{\"what\":\"configuration\",\"routes\":%u,\"bytes\":%zu,\"answer-us\":%.0f,"
           "\"row-us\":%.0f,\"config-us\":%.0f,\"free-us\":%.0f}\n",
           n_routes, length, parse / ROUNDS, unwrap / ROUNDS, decode / ROUNDS, release / ROUNDS);
}

static void
measure_datagram (guint n_loads)
{
  Alderturn__Datagram datagram = ALDERTURN__DATAGRAM__INIT;
  Alderturn__EndpointLoad loads[36];
  Alderturn__EndpointLoad *rows[36];
  guint8 bytes[2048];
  gsize length;
  double start;

  for (guint i = 0; i < n_loads; i++)
    {
      alderturn__endpoint_load__init (&loads[i]);
      loads[i].endpoint = 0x1234567890ULL + i;
      loads[i].calls = 3;
      loads[i].tokens = 50000;
      rows[i] = &loads[i];
    }
  datagram.incarnation = 1764722741000000;
  datagram.sequence = 1000;
  datagram.n_loads = n_loads;
  datagram.loads = rows;
  length = alderturn__datagram__pack (&datagram, bytes);
  start = cpu_us ();
  for (guint i = 0; i < ROUNDS * 100; i++)
    alderturn__datagram__free_unpacked (alderturn__datagram__unpack (NULL, length, bytes), NULL);
  g_print ("{\"what\":\"datagram\",\"loads\":%u,\"bytes\":%zu,\"unpack-us\":%.2f}\n", n_loads,
           length, (cpu_us () - start) / (ROUNDS * 100));
}

int
main (void)
{
  static const guint routes[] = { 5, 250, 1400 };
  static const guint loads[] = { 0, 1, 4, 30 };

  for (guint i = 0; i < G_N_ELEMENTS (routes); i++)
    measure_config (routes[i]);
  for (guint i = 0; i < G_N_ELEMENTS (loads); i++)
    measure_datagram (loads[i]);
  return EXIT_SUCCESS;
}
