#include "table/http.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "common/settings.h"
#include "http/answer_check.h"
#include "table/codec.h"

/* Further calls fail as unavailable, so that sockets don't accumulate while the store hangs. */
#define MAX_CALLS 512

#define MAX_ANSWER_BYTES ((gsize)16 * 1024 * 1024)

typedef enum
{
  CALL_TRANSACT,
  CALL_ROWS,
  CALL_INSTANCES,
} CallKind;

typedef struct
{
  TbTable base;
  KnlKernel *kernel;
  struct event_base *events;
  char *address;
  char *host;
  guint16 port;
  KnlTime timeout;
  TbCallId last_id;
  GHashTable *calls;   /* TbCallId -> Call */
  GPtrArray *finished; /* struct evhttp_connection to free later; evhttp uses it after callbacks */
  KnlTimerId sweep;
} TbHttp;

typedef struct
{
  TbCallId id;
  TbHttp *platform;
  CallKind kind;
  union
  {
    TbTransactFunc transact;
    TbRowsFunc rows;
    TbInstancesFunc instances;
  } done;
  gpointer data;
  struct evhttp_connection *connection; /* NULL: the request could not be started */
  HtAnswerCheck *check;                 /* of the connection */
  KnlTimerId timer;
  gboolean starting; /* evhttp_make_request() has not returned */
} Call;

static void
sweep_connections (gpointer data)
{
  TbHttp *http = data;

  http->sweep = 0;
  for (guint i = 0; i < http->finished->len; i++)
    evhttp_connection_free (g_ptr_array_index (http->finished, i));
  g_ptr_array_set_size (http->finished, 0);
}

/* To be called while the connection exists. */
static void
end_check (Call *call)
{
  g_clear_pointer (&call->check, ht_answer_check_free);
}

/* Removes the call from the table; its connection is freed in a later iteration of the loop. */
static void
call_unlink (Call *call)
{
  TbHttp *http = call->platform;

  g_hash_table_remove (http->calls, &call->id);
  knl_timer_stop (http->kernel, &call->timer);
  end_check (call);
  if (call->connection == NULL)
    return;
  g_ptr_array_add (http->finished, call->connection);
  if (http->sweep == 0)
    http->sweep = knl_timer_start (http->kernel, 0, sweep_connections, http);
}

static void
finish_rows (const Call *call, TbStatus status, const char *body, gsize bytes)
{
  gboolean more = FALSE;
  GArray *rows = status == TB_OK ? tb_codec_parse_rows (body, bytes, &more) : NULL;

  if (rows == NULL)
    {
      call->done.rows (TB_UNAVAILABLE, NULL, 0, FALSE, call->data);
      return;
    }
  call->done.rows (TB_OK, (const TbRow *)(gpointer)rows->data, rows->len, more, call->data);
  tb_codec_rows_free (rows);
}

static void
finish_instances (const Call *call, TbStatus status, const char *body, gsize bytes)
{
  GPtrArray *members = status == TB_OK ? tb_codec_parse_instances (body, bytes) : NULL;

  if (members == NULL)
    {
      call->done.instances (TB_UNAVAILABLE, NULL, 0, call->data);
      return;
    }
  call->done.instances (TB_OK, (Alderturn__Member *const *)members->pdata, members->len,
                        call->data);
  g_ptr_array_free (members, TRUE);
}

static void
finish_transact (const Call *call, TbStatus status, const char *body, gsize bytes)
{
  guint64 version = 0;

  /* If a success answer is unreadable, the version that was written is unknown. */
  if (status == TB_OK && !tb_codec_parse_version (body, bytes, &version))
    status = TB_UNKNOWN;
  call->done.transact (status, version, call->data);
}

static void
call_finish (Call *call, TbStatus status, const char *body, gsize bytes)
{
  call_unlink (call);
  switch (call->kind)
    {
    case CALL_TRANSACT:
      finish_transact (call, status, body, bytes);
      break;
    case CALL_ROWS:
      finish_rows (call, status, body, bytes);
      break;
    case CALL_INSTANCES:
      finish_instances (call, status, body, bytes);
      break;
    }
  g_free (call);
}

static TbStatus
status_of_code (int code)
{
  switch (code)
    {
    case HTTP_OK:
      return TB_OK;
    case 409:
      return TB_CONFLICT;
    case HTTP_SERVUNAVAIL:
      return TB_UNAVAILABLE;
    default:
      return TB_UNKNOWN;
    }
}

/*
 * evhttp passes a request with code 0 when it could not connect, and no request
 * when the connection failed later. Only the first is certainly without effect.
 * If the second were treated the same way, writes would be made twice, and
 * records that have been begun would be reported as absent.
 */
static void
on_answer (struct evhttp_request *request, void *data)
{
  Call *call = data;
  int code = request != NULL ? evhttp_request_get_response_code (request) : 0;
  struct evbuffer *buffer;
  gsize bytes;

  /* evhttp_make_request() itself calls back if the connection is refused immediately. */
  if (call->starting)
    {
      end_check (call);
      g_ptr_array_add (call->platform->finished, call->connection);
      call->connection = NULL;
      return;
    }
  if (request == NULL)
    {
      call_finish (call, TB_UNKNOWN, NULL, 0);
      return;
    }
  if (code == 0)
    {
      call_finish (call, TB_UNAVAILABLE, NULL, 0);
      return;
    }
  if (!ht_answer_check_has_passed (call->check))
    {
      call_finish (call, TB_UNKNOWN, NULL, 0);
      return;
    }
  buffer = evhttp_request_get_input_buffer (request);
  bytes = evbuffer_get_length (buffer);
  call_finish (call, status_of_code (code), (const char *)evbuffer_pullup (buffer, -1), bytes);
}

/*
 * If the platform loses the state of a connection, it stays open and silent.
 * Without this timeout the call, and the code that waits for it, would hang
 * indefinitely.
 */
static void
on_limit (gpointer data)
{
  Call *call = data;
  gboolean begun = call->connection != NULL;

  call->timer = 0;
  if (begun)
    {
      cm_log (CM_LOG_NOTICE, "platform-call-timeout", "s", "address", call->platform->address);
      end_check (call);
      evhttp_connection_free (call->connection);
      call->connection = NULL;
    }
  call_finish (call, begun ? TB_UNKNOWN : TB_UNAVAILABLE, NULL, 0);
}

static void
begin_request (Call *call, enum evhttp_cmd_type method, const char *path, const char *body)
{
  TbHttp *http = call->platform;
  struct evhttp_request *request = evhttp_request_new (on_answer, call);
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);

  call->connection = evhttp_connection_base_new (http->events, NULL, http->host, http->port);
  call->check = ht_answer_check_new (
      bufferevent_get_input (evhttp_connection_get_bufferevent (call->connection)));
  evhttp_connection_set_max_body_size (call->connection, MAX_ANSWER_BYTES);
  evhttp_add_header (headers, "Host", http->address);
  evhttp_add_header (headers, "Connection", "close");
  if (body != NULL)
    {
      evhttp_add_header (headers, "Content-Type", "application/json");
      evbuffer_add (evhttp_request_get_output_buffer (request), body, strlen (body));
    }
  call->starting = TRUE;
  evhttp_make_request (call->connection, request, method, path);
  call->starting = FALSE;
}

static Call *
call_new (TbHttp *http, CallKind kind, gpointer data)
{
  Call *call = g_new0 (Call, 1);

  call->id = ++http->last_id;
  call->platform = http;
  call->kind = kind;
  call->data = data;
  g_hash_table_insert (http->calls, &call->id, call);
  return call;
}

static TbCallId
call_start (Call *call, enum evhttp_cmd_type method, const char *path, const char *body)
{
  TbHttp *http = call->platform;

  if (g_hash_table_size (http->calls) <= MAX_CALLS)
    begin_request (call, method, path, body);
  call->timer =
      knl_timer_start (http->kernel, call->connection != NULL ? http->timeout : 0, on_limit, call);
  return call->id;
}

static TbCallId
http_transact (TbTable *platform,
               const TbTransaction *transaction,
               TbTransactFunc done,
               gpointer data)
{
  Call *call = call_new ((TbHttp *)platform, CALL_TRANSACT, data);
  char *body = tb_codec_transaction (transaction);
  TbCallId id;

  call->done.transact = done;
  id = call_start (call, EVHTTP_REQ_POST, "/table/transact", body);
  free (body);
  return id;
}

static void
append_escaped (GString *path, const char *name, const char *value)
{
  char *escaped = evhttp_uriencode (value, -1, 0);

  g_string_append_printf (path, "%s%s", name, escaped);
  free (escaped);
}

static TbCallId
http_read (TbTable *platform,
           const char *key,
           gboolean prefix,
           const char *after,
           guint limit,
           TbRowsFunc done,
           gpointer data)
{
  Call *call = call_new ((TbHttp *)platform, CALL_ROWS, data);
  GString *path = g_string_new (prefix ? "/table/scan" : "/table/read");
  TbCallId id;

  call->done.rows = done;
  append_escaped (path, prefix ? "?prefix=" : "?key=", key);
  if (prefix && after != NULL)
    append_escaped (path, "&after=", after);
  if (prefix)
    g_string_append_printf (path, "&limit=%u", limit);
  id = call_start (call, EVHTTP_REQ_GET, path->str, NULL);
  g_string_free (path, TRUE);
  return id;
}

static TbCallId
http_instances (TbTable *platform, TbInstancesFunc done, gpointer data)
{
  Call *call = call_new ((TbHttp *)platform, CALL_INSTANCES, data);

  call->done.instances = done;
  return call_start (call, EVHTTP_REQ_GET, "/instances", NULL);
}

static void
http_cancel (TbTable *platform, TbCallId id)
{
  Call *call = g_hash_table_lookup (((TbHttp *)platform)->calls, &id);

  if (call == NULL)
    return;
  end_check (call);
  /* Freeing the connection frees its request too, which would call back into the freed call. */
  if (call->connection != NULL)
    evhttp_connection_free (call->connection);
  call->connection = NULL;
  call_unlink (call);
  g_free (call);
}

static void
http_free (TbTable *platform)
{
  TbHttp *http = (TbHttp *)platform;
  GList *ids = g_hash_table_get_keys (http->calls);

  for (GList *l = ids; l != NULL; l = l->next)
    http_cancel (platform, *(TbCallId *)l->data);
  g_list_free (ids);
  knl_timer_stop (http->kernel, &http->sweep);
  sweep_connections (http);
  g_ptr_array_free (http->finished, TRUE);
  g_hash_table_destroy (http->calls);
  g_free (http->address);
  g_free (http->host);
  g_free (http);
}

static const TbTableClass http_class = {
  .transact = http_transact,
  .read = http_read,
  .instances = http_instances,
  .cancel = http_cancel,
  .free = http_free,
};

TbTable *
tb_http_platform_new (KnlKernel *kernel,
                      struct event_base *base,
                      const char *address,
                      KnlTime timeout)
{
  TbHttp *http = g_new0 (TbHttp, 1);

  http->base.klass = &http_class;
  http->kernel = kernel;
  http->events = base;
  http->address = g_strdup (address);
  http->timeout = timeout;
  http->calls = g_hash_table_new (g_int64_hash, g_int64_equal);
  http->finished = g_ptr_array_new ();
  cm_address_parse (address, &http->host, &http->port);
  return &http->base;
}
