/** standin-platform: the platform's table, object store, weight store and instance list. */

#include "tests/standins/http_server.h"
#include "tests/standins/instance_list_model.h"
#include "tests/standins/table_model.h"
#include "tests/standins/weight_store_model.h"

#include <string.h>

#define MAX_SCAN_ROWS 1000

typedef struct
{
  SdServer server;
  gint64 instances_lag_ms;
  double writes_per_second;
  double reads_per_second;
  SdTable *table;
  SdInstanceList *instances;
  GHashTable *objects; /* name -> GBytes */
  SdWeightStore weights;
} Platform;

static const CmSetting settings[] = {
  SD_ADDRESS (Platform, "listen-address", server.address, FALSE, "Address to listen at"),
  SD_NUMBER (Platform, "instances-lag-ms", instances_lag_ms, "500", "Lag of the instance list"),
  SD_RATE (Platform,
           "writes-per-second",
           writes_per_second,
           "500",
           "Limit of transactions; 0: unlimited"),
  SD_RATE (Platform, "reads-per-second", reads_per_second, "2000", "Limit of reads; 0: unlimited"),
  SD_RATE (Platform, "weight-bytes-per-second", weights.rate, "1e9", "Rate of the weight store"),
  { .name = NULL },
};

static void
transact (SdExchange *exchange, Platform *platform)
{
  json_t *answer;
  TbStatus status = sd_table_transact (platform->table, exchange->body, &answer);

  if (status == TB_UNKNOWN)
    sd_exchange_drop (exchange);
  else if (status == TB_UNAVAILABLE)
    sd_exchange_refuse (exchange, 503, "unavailable");
  else
    sd_exchange_reply (exchange, status == TB_OK ? 200 : 409, answer);
}

static void
read_rows (SdExchange *exchange, Platform *platform)
{
  gboolean prefix = strcmp (exchange->path, "/table/scan") == 0;
  const char *key = sd_exchange_query (exchange, prefix ? "prefix" : "key", "");
  const char *after = sd_exchange_query (exchange, "after", NULL);
  const char *limit = sd_exchange_query (exchange, "limit", G_STRINGIFY (MAX_SCAN_ROWS));
  json_t *rows = sd_table_read (platform->table, key, prefix, after,
                                MIN ((guint)g_ascii_strtoull (limit, NULL, 10), MAX_SCAN_ROWS));

  if (rows != NULL)
    sd_exchange_reply (exchange, 200, rows);
  else
    sd_exchange_refuse (exchange, 503, "unavailable");
}

static void
answer_object (SdExchange *exchange, Platform *platform)
{
  const char *name = exchange->path + strlen ("/objects/");
  GBytes *bytes = g_hash_table_lookup (platform->objects, name);
  const char *body;
  gsize size;

  if (evhttp_request_get_command (exchange->request) == EVHTTP_REQ_PUT)
    {
      size = sd_exchange_bytes (exchange, &body);
      g_hash_table_replace (platform->objects, g_strdup (name), g_bytes_new (body, size));
      sd_exchange_refuse (exchange, 200, NULL);
    }
  else if (bytes == NULL)
    sd_exchange_refuse (exchange, 404, NULL);
  else
    {
      body = g_bytes_get_data (bytes, &size);
      sd_exchange_reply_bytes (exchange, 200, "application/octet-stream", body, size);
    }
}

static void
answer_weights (gpointer data)
{
  sd_exchange_refuse (data, 200, NULL);
}

static void
start_weights (SdExchange *exchange, Platform *platform)
{
  double bytes = g_ascii_strtod (sd_exchange_query (exchange, "bytes", "0"), NULL);
  KnlKernel *kernel = platform->server.kernel;
  KnlTime wait = sd_weight_store_enqueue (&platform->weights, knl_kernel_now (kernel), bytes);

  knl_timer_start (kernel, wait, answer_weights, exchange);
}

/* Calls that the store's faults apply to. */
static const struct
{
  const char *prefix;
  gboolean is_table; /* the table model itself refuses the call */
  void (*answer) (SdExchange *exchange, Platform *platform);
} store_calls[] = {
  { "/table/transact", TRUE, transact },
  { "/table/", TRUE, read_rows },
  { "/objects/", FALSE, answer_object },
  { "/weights/", FALSE, start_weights },
};

static void
answer_store (gpointer data)
{
  SdExchange *exchange = data;
  Platform *platform = (Platform *)exchange->server;
  guint i = 0;

  if (exchange->request == NULL)
    {
      sd_exchange_end (exchange);
      return;
    }
  while (!g_str_has_prefix (exchange->path, store_calls[i].prefix))
    i++;
  if (sd_table_refuses (platform->table) && !store_calls[i].is_table)
    sd_exchange_refuse (exchange, 503, "unavailable");
  else
    store_calls[i].answer (exchange, platform);
}

static void
start_store_call (SdExchange *exchange, gpointer data)
{
  Platform *platform = data;
  KnlTime delay = sd_table_delay (platform->table);

  if (delay == KNL_NEVER)
    sd_exchange_hang (exchange);
  else if (delay > 0)
    knl_timer_start (platform->server.kernel, delay, answer_store, exchange);
  else
    answer_store (exchange);
}

static void
list_instances (SdExchange *exchange, gpointer data)
{
  sd_exchange_reply (exchange, 200, sd_instance_list_visible (((Platform *)data)->instances));
}

static void
change_instance (SdExchange *exchange, gpointer data)
{
  Platform *platform = data;
  const json_t *body = exchange->body;
  char **parts = g_strsplit (exchange->path + strlen ("/instances/"), "/", 2);
  gboolean has_name = g_strv_length (parts) == 2;
  const SdInstance instance = {
    .name = has_name ? parts[1] : NULL,
    .kind = parts[0],
    .address = sd_json_text (body, "address", ""),
    .zone = sd_json_text (body, "zone", ""),
    .region = sd_json_text (body, "region", ""),
    .service = sd_json_text (body, "service", ""),
    .state = sd_json_text (body, "state", "live"),
  };

  if (has_name && evhttp_request_get_command (exchange->request) == EVHTTP_REQ_PUT)
    sd_instance_list_put (platform->instances, &instance);
  else if (has_name)
    sd_instance_list_remove (platform->instances, parts[0], parts[1]);
  sd_exchange_refuse (exchange, has_name ? 200 : 404, NULL);
  g_strfreev (parts);
}

static void
set_table_fault (Platform *platform, SdTableFault fault, const json_t *body)
{
  if (fault == SD_TABLE_OUTAGE && sd_json_true (body, "hang"))
    fault = SD_TABLE_HANG;
  sd_table_set_fault (platform->table, fault, sd_json_number (body, "ms", 0) * KNL_MSEC,
                      (guint)sd_json_number (body, "count", 1));
  if (fault == SD_TABLE_NORMAL)
    sd_instance_list_set_frozen (platform->instances, FALSE);
}

static void
set_fault (SdExchange *exchange, gpointer data)
{
  static const char *const names[] = { "none", "outage", "slow", "lose-answers",
                                       "freeze-instances" };
  static const SdTableFault faults[] = { SD_TABLE_NORMAL, SD_TABLE_OUTAGE, SD_TABLE_SLOW,
                                         SD_TABLE_LOSE_ANSWERS };
  Platform *platform = data;
  int i =
      sd_name_index (names, G_N_ELEMENTS (names), sd_json_text (exchange->body, "mode", "none"));

  if (i == G_N_ELEMENTS (faults))
    sd_instance_list_set_frozen (platform->instances, TRUE);
  else if (i >= 0)
    set_table_fault (platform, faults[i], exchange->body);
  sd_exchange_confirm (exchange, i >= 0);
}

static void
stats (SdExchange *exchange, gpointer data)
{
  const SdTable *table = ((Platform *)data)->table;

  sd_exchange_reply (exchange, 200,
                     json_pack ("{s:I, s:I}", "writes", (json_int_t)sd_table_writes (table),
                                "reads", (json_int_t)sd_table_reads (table)));
}

static void
object_free (gpointer data)
{
  g_bytes_unref (data);
}

static gboolean
start (gpointer data)
{
  Platform *platform = data;
  KnlKernel *kernel = platform->server.kernel;

  platform->table = sd_table_new (kernel, platform->writes_per_second, platform->reads_per_second);
  platform->instances = sd_instance_list_new (kernel, platform->instances_lag_ms * KNL_MSEC);
  platform->objects = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, object_free);
  return TRUE;
}

static void
clear (gpointer data)
{
  Platform *platform = data;

  sd_table_free (platform->table);
  sd_instance_list_free (platform->instances);
  g_hash_table_unref (platform->objects);
}

static const SdRoute routes[] = {
  { EVHTTP_REQ_POST, "/fault", set_fault },
  { EVHTTP_REQ_GET, "/stats", stats },
  { EVHTTP_REQ_GET, "/instances", list_instances },
  { EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE, "/instances/", change_instance },
  { EVHTTP_REQ_POST, "/table/transact", start_store_call },
  { EVHTTP_REQ_GET, "/table/read", start_store_call },
  { EVHTTP_REQ_GET, "/table/scan", start_store_call },
  { EVHTTP_REQ_GET | EVHTTP_REQ_PUT, "/objects/", start_store_call },
  { EVHTTP_REQ_GET, "/weights/", start_store_call },
  { .path = NULL },
};

static const SdProgram platform_program = {
  .name = "standin-platform",
  .summary = "Stand-in of the platform's services, for tests.",
  .settings = settings,
  .routes = routes,
  .start = start,
  .clear = clear,
};

int
main (int argc, char **argv)
{
  Platform platform = { 0 };

  return sd_server_main (&platform.server, &platform_program, argc, argv);
}
