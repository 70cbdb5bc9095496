/** The listening sockets: callers, readiness, directory, metrics, mirror. */

#include <errno.h>
#include <string.h>

#include "common/log.h"
#include "gateway.h"

/* Limits for callers until a configuration sets them. */
#define DEFAULT_HEAD_BYTES   16384
#define DEFAULT_BODY_BYTES   ((gsize)4 << 20)
#define DEFAULT_HEAD_TIMEOUT (3 * KNL_SEC)
#define DEFAULT_IDLE_TIMEOUT (15 * KNL_SEC)

/* RESERVED_FILES descriptors are reserved for files, the store and listening sockets. Of the rest,
 * callers' connections get CALLERS_FRACTION, since at times each request also needs a connection to
 * an endpoint. */
#define RESERVED_FILES               400
#define CALLERS_FRACTION             0.5
#define SMALL_SERVER_MAX_CONNECTIONS 256

/* Peers that pass requests on get this part of the connections that callers may have. */
#define PASSING_CONNECTIONS_DIVISOR 4

/* Addresses in one answer of the directory; callers wouldn't use more. */
#define MAX_DIRECTORY_ADDRESSES 64

/* Callers cache an answer for at most this long, so that they stop using a stopping instance in
 * time. */
#define DIRECTORY_TTL_S 2

static void
on_request (HtCall *call, gpointer data)
{
  sv_core_handle_request (((Gateway *)data)->core, call);
}

static void
on_disconnected (HtCall *call, gpointer data)
{
  sv_core_note_disconnect (((Gateway *)data)->core, call);
}

static const HtServerEvents caller_events = { .request = on_request,
                                              .disconnected = on_disconnected };

static void
on_passed_request (HtCall *call, gpointer data)
{
  sv_core_handle_passed (((Gateway *)data)->core, call);
}

static const HtServerEvents passing_events = { .request = on_passed_request,
                                               .disconnected = on_disconnected };

static void
on_ready_request (HtCall *call, gpointer data)
{
  Gateway *self = data;

  ht_call_answer (call, gateway_is_ready (self) ? 200 : 503, NULL, NULL, 0);
}

static const HtServerEvents ready_events = { .request = on_ready_request };

static void
on_directory_request (HtCall *call, gpointer data)
{
  Gateway *self = data;
  g_autofree char *zone = ht_message_query (ht_call_request (call), "zone");
  g_autoptr (GPtrArray) addresses =
      sv_peers_ready_addresses (self->peers, zone, MAX_DIRECTORY_ADDRESSES);
  char *body;

  if (addresses->len == 0)
    {
      ht_call_answer (call, 503, NULL, NULL, 0);
      return;
    }
  body = pl_encode_directory (addresses, MIN (DIRECTORY_TTL_S, self->boot->directory_ttl_s));
  ht_call_answer (call, 200, "Content-Type: application/json\r\n", body, strlen (body));
  free (body);
}

static const HtServerEvents directory_events = { .request = on_directory_request };

static const CmMetricDef unsent_metric = {
  .name = "alderturn_unsent_bytes",
  .help = "Bytes held for callers, endpoints and peers that have not read them yet",
  .type = CM_METRIC_GAUGE,
};

static const CmMetricDef bodies_metric = {
  .name = "alderturn_request_body_bytes",
  .help = "Bytes of request bodies that are being read or belong to requests in flight",
  .type = CM_METRIC_GAUGE,
};

static const CmMetricDef bodies_refused_metric = {
  .name = "alderturn_request_bodies_refused",
  .help = "Requests refused since the start, as there was no room for their bodies",
  .type = CM_METRIC_GAUGE,
};

static CmSeries *
add_series (Gateway *self, const CmMetricDef *def)
{
  return cm_metric_series (cm_metrics_add (self->metrics, def), NULL, NULL, NULL);
}

void
gateway_add_memory_metrics (Gateway *self)
{
  self->bodies_series = add_series (self, &bodies_metric);
  self->bodies_refused_series = add_series (self, &bodies_refused_metric);
  self->unsent_series = add_series (self, &unsent_metric);
}

static void
on_metrics_request (HtCall *call, gpointer data)
{
  Gateway *self = data;
  GString *text;

  gateway_update_evacuation_gauges (self);
  cm_series_set (self->unsent_series, (double)ht_unsent_bytes (self->unsent));
  cm_series_set (self->bodies_series, (double)ht_bodies_bytes (self->bodies));
  cm_series_set (self->bodies_refused_series, (double)ht_bodies_n_refused (self->bodies));
  text = cm_metrics_render (self->metrics);
  ht_call_answer (call, 200, "Content-Type: text/plain; version=0.0.4\r\n", text->str, text->len);
  g_string_free (text, TRUE);
}

static const HtServerEvents metrics_events = { .request = on_metrics_request };

static HtServerLimits
caller_limits (const Gateway *self)
{
  const SvConfig *config = sv_core_config (self->core);
  guint files = self->boot->max_files > 2 * RESERVED_FILES ? self->boot->max_files - RESERVED_FILES
                                                           : RESERVED_FILES;
  HtServerLimits limits = {
    .message = { DEFAULT_HEAD_BYTES, DEFAULT_BODY_BYTES },
    .head_timeout = DEFAULT_HEAD_TIMEOUT,
    .request_timeout = DEFAULT_HEAD_TIMEOUT,
    .idle_timeout = DEFAULT_IDLE_TIMEOUT,
    .max_connections = (guint)(CALLERS_FRACTION * files),
    .max_unsent = HT_DEFAULT_MAX_UNSENT,
  };

  if (config == NULL || config->limits.max_head_bytes == 0)
    return limits;
  limits.message = (HtLimits){ config->limits.max_head_bytes, config->limits.max_body_bytes };
  limits.head_timeout = limits.request_timeout = config->limits.head_timeout;
  limits.idle_timeout = config->limits.idle_timeout;
  return limits;
}

void
gateway_apply_limits (Gateway *self)
{
  HtServerLimits limits = caller_limits (self);

  ht_server_set_limits (self->caller_server, &limits);
  limits.max_connections /= PASSING_CONNECTIONS_DIVISOR;
  if (self->passing_server != NULL)
    ht_server_set_limits (self->passing_server, &limits);
}

static HtServer *
open_server (Gateway *self, const char *address, const HtServerEvents *events)
{
  HtServerLimits limits = caller_limits (self);
  HtServer *server;

  if (events == &passing_events)
    limits.max_connections /= PASSING_CONNECTIONS_DIVISOR;
  else if (events != &caller_events)
    limits.max_connections = SMALL_SERVER_MAX_CONNECTIONS;
  server = ht_server_new (self->process.kernel, self->process.base, address, &limits, events, self);
  if (server == NULL)
    cm_log (CM_LOG_ERR, "listen-failed", "s", "address", address, "s", "error", strerror (errno));
  else
    ht_server_count_unsent (server, self->unsent);
  if (server != NULL && (events == &caller_events || events == &passing_events))
    ht_server_count_bodies (server, self->bodies);
  return server;
}

gboolean
gateway_open_servers (Gateway *self)
{
  self->caller_server = open_server (self, self->boot->callers_address, &caller_events);
  self->ready_server = open_server (self, self->boot->ready_address, &ready_events);
  self->directory_server = open_server (self, self->boot->directory_address, &directory_events);
  self->metrics_server = open_server (self, self->boot->metrics_address, &metrics_events);
  if (self->boot->passing_address != NULL)
    self->passing_server = open_server (self, self->boot->passing_address, &passing_events);
  self->mirror = pl_mirror_new (self->process.kernel, self->process.base, self->boot->link_address);
  if (self->mirror == NULL)
    cm_log (CM_LOG_ERR, "listen-failed", "s", "address", self->boot->link_address, "s", "error",
            strerror (errno));
  return self->caller_server != NULL && self->ready_server != NULL && self->directory_server != NULL
         && self->metrics_server != NULL && self->mirror != NULL
         && (self->boot->passing_address == NULL || self->passing_server != NULL);
}

void
gateway_close_servers (Gateway *self)
{
  ht_server_free (self->caller_server);
  ht_server_free (self->passing_server);
  ht_server_free (self->ready_server);
  ht_server_free (self->directory_server);
  ht_server_free (self->metrics_server);
  pl_mirror_free (self->mirror);
}
