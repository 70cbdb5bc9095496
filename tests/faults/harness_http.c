#include "harness.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <stdlib.h>
#include <string.h>

/** Seconds without data after which a connection is closed. */
#define IDLE_SECONDS 120

struct HnCall
{
  HnHarness *harness;
  struct evhttp_connection *connection;
  struct evhttp_request *request; /* NULL once it is over */
  gboolean over;
  int status;
  GString *body;
};

static void
on_chunk (struct evhttp_request *request, void *data)
{
  HnCall *call = data;
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  gsize count = evbuffer_get_length (input);

  if (count > 0)
    g_string_append_len (call->body, (const char *)evbuffer_pullup (input, -1), (gssize)count);
  evbuffer_drain (input, count);
}

static void
on_done (struct evhttp_request *request, void *data)
{
  HnCall *call = data;

  call->over = TRUE;
  call->request = NULL;
  if (request == NULL || evhttp_request_get_response_code (request) == 0)
    {
      call->status = 0;
      return;
    }
  call->status = evhttp_request_get_response_code (request);
  on_chunk (request, call);
}

static void
add_headers (struct evhttp_request *request, const HnRequest *wanted)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);

  evhttp_add_header (headers, "Host", wanted->address);
  evhttp_add_header (headers, "Connection", "close");
  if (wanted->token != NULL)
    {
      char *bearer = g_strconcat ("Bearer ", wanted->token, NULL);

      evhttp_add_header (headers, "Authorization", bearer);
      g_free (bearer);
    }
  if (wanted->key != NULL)
    evhttp_add_header (headers, "Idempotency-Key", wanted->key);
  if (wanted->timeout_ms != NULL)
    evhttp_add_header (headers, "Alderturn-Timeout-Ms", wanted->timeout_ms);
}

static enum evhttp_cmd_type
method_type (const char *method)
{
  if (g_strcmp0 (method, "POST") == 0)
    return EVHTTP_REQ_POST;
  return g_strcmp0 (method, "PUT") == 0 ? EVHTTP_REQ_PUT : EVHTTP_REQ_GET;
}

HnCall *
hn_call_start (HnHarness *harness, const HnRequest *wanted)
{
  HnCall *call = g_new0 (HnCall, 1);
  const char *colon = strrchr (wanted->address, ':');
  char *host = g_strndup (wanted->address, (gsize)(colon - wanted->address));

  call->harness = harness;
  call->body = g_string_new (NULL);
  call->connection =
      evhttp_connection_base_new (harness->base, NULL, host, (guint16)atoi (colon + 1));
  evhttp_connection_set_timeout (call->connection, IDLE_SECONDS);
  call->request = evhttp_request_new (on_done, call);
  evhttp_request_set_chunked_cb (call->request, on_chunk);
  add_headers (call->request, wanted);
  if (wanted->body != NULL)
    evbuffer_add (evhttp_request_get_output_buffer (call->request), wanted->body,
                  strlen (wanted->body));
  evhttp_make_request (call->connection, call->request, method_type (wanted->method), wanted->path);
  g_free (host);
  return call;
}

void
hn_call_free (HnCall *call)
{
  if (call == NULL)
    return;
  if (call->request != NULL)
    evhttp_cancel_request (call->request);
  evhttp_connection_free (call->connection);
  g_string_free (call->body, TRUE);
  g_free (call);
}

static gboolean
is_over (gpointer data)
{
  return ((HnCall *)data)->over;
}

gboolean
hn_call_await (HnCall *call, KnlTime limit)
{
  return hn_await (call->harness, limit, is_over, call);
}

typedef struct
{
  HnCall *call;
  const char *text;
} Text;

static gboolean
has_text (gpointer data)
{
  Text *wanted = data;

  return wanted->call->over || strstr (wanted->call->body->str, wanted->text) != NULL;
}

gboolean
hn_call_await_text (HnCall *call, const char *text)
{
  Text wanted = { call, text };

  hn_await (call->harness, HN_TIMEOUT, has_text, &wanted);
  return strstr (call->body->str, text) != NULL;
}

int
hn_call_status (const HnCall *call)
{
  return call->status;
}

const char *
hn_call_body (const HnCall *call)
{
  return call->body->str;
}

int
hn_request (HnHarness *harness, const HnRequest *request, json_t **answer)
{
  HnCall *call = hn_call_start (harness, request);
  int status;

  hn_call_await (call, HN_TIMEOUT);
  status = call->over ? call->status : 0;
  if (answer != NULL)
    *answer = json_loads (call->body->str, JSON_DECODE_ANY, NULL);
  hn_call_free (call);
  return status;
}

/** Delay between two requests while waiting for a status. */
#define RETRY_DELAY (20 * KNL_MSEC)

gboolean
hn_await_status (HnHarness *harness, const char *address, const char *path, int status)
{
  HnRequest request = { .address = address, .path = path };
  KnlTime end = knl_kernel_now (harness->kernel) + HN_TIMEOUT;

  while (hn_request (harness, &request, NULL) != status)
    {
      if (knl_kernel_now (harness->kernel) >= end)
        return FALSE;
      hn_run_for (harness, RETRY_DELAY);
    }
  return TRUE;
}
