#include "endpoint/http_stream.h"

#include <event2/buffer.h>
#include <stdlib.h>
#include <string.h>

#include "endpoint/exchange.h"
#include "endpoint/http_json.h"

/* A line holds a few tokens; a longer one violates the protocol. */
#define MAX_LINE_BYTES ((gsize)1024 * 1024)

struct EpStream
{
  const EpStreamEvents *events;
  gpointer data;
  EpStreamEndedFunc on_ended;
  gpointer owner;
  EpExchange *exchange;
  char *request;
  GString *line; /* received part of an incomplete line, or the body of a refusal */
  guint64 next_offset;
  gboolean hold;
  gboolean ended; /* emits no further events */
  guint depth;    /* nested event handlers; when the outermost returns, it frees an ended stream */
};

static void
stream_destroy (EpStream *self)
{
  g_string_free (self->line, TRUE);
  g_free (self->request);
  g_free (self);
}

static void
stop_events (EpStream *self)
{
  self->ended = TRUE;
  if (self->exchange != NULL)
    ep_exchange_close (self->exchange);
  self->exchange = NULL;
}

/*
 * A stream may be closed inside its own events. Freeing it there would make the
 * loop over its lines use freed memory, so the outermost event handler frees it.
 */
void
ep_http_stream_free (EpStream *self)
{
  stop_events (self);
  if (self->depth == 0)
    stream_destroy (self);
}

static void
begin_event (EpStream *self)
{
  self->depth++;
}

static void
end_event (EpStream *self)
{
  self->depth--;
  if (self->ended && self->depth == 0)
    stream_destroy (self);
}

void
ep_http_stream_set_owner (EpStream *self, EpStreamEndedFunc on_ended, gpointer owner)
{
  self->on_ended = on_ended;
  self->owner = owner;
}

/* Unregisters the stream before its last event, because that event may start another stream. */
static void
finish (EpStream *self)
{
  stop_events (self);
  self->on_ended (self, self->owner);
}

static void
fail (EpStream *self, EpFailureKind kind, gboolean leaving, const char *detail)
{
  EpFailure failure = { .kind = kind, .leaving = leaving, .detail = detail };

  finish (self);
  self->events->on_failed (self, &failure, self->data);
}

static void
handle_end (EpStream *self, json_t *line)
{
  guint64 count = (guint64)json_integer_value (json_object_get (line, "count"));
  const char *reason = json_string_value (json_object_get (line, "finish"));

  /* A mismatch means lost frames: the answer would look complete but isn't. */
  if (!self->hold && count != self->next_offset)
    {
      fail (self, EP_MALFORMED, FALSE, "wrong count at the end");
      return;
    }
  finish (self);
  self->events->on_end (self, count, reason != NULL ? reason : "stop", self->data);
}

static void
handle_tokens (EpStream *self, json_t *line)
{
  guint64 offset = (guint64)json_integer_value (json_object_get (line, "offset"));
  json_int_t count = json_integer_value (json_object_get (line, "n"));
  const char *text = json_string_value (json_object_get (line, "text"));

  /* A duplicate or late frame would pass tokens to the caller twice or out of order. */
  if (text == NULL || count <= 0 || count > G_MAXINT32 || offset != self->next_offset)
    {
      fail (self, EP_MALFORMED, FALSE, "offset out of order");
      return;
    }
  self->next_offset += (guint64)count;
  self->events->on_tokens (self, offset, (guint)count, text, self->data);
}

static void
handle_frame (EpStream *self, json_t *line)
{
  const char *request = json_string_value (json_object_get (line, "request"));
  json_t *error = json_object_get (line, "error");

  if (request == NULL || strcmp (request, self->request) != 0)
    fail (self, EP_MALFORMED, FALSE, "frame of another request");
  else if (error != NULL)
    fail (self, EP_FAILED, FALSE, json_is_string (error) ? json_string_value (error) : "error");
  else if (json_is_true (json_object_get (line, "end")))
    handle_end (self, line);
  else if (json_is_true (json_object_get (line, "accepted")))
    self->events->on_accepted (self, self->data);
  else if (json_object_get (line, "held") == NULL)
    handle_tokens (self, line);
}

static void
handle_line (EpStream *self)
{
  json_t *line = ep_json_parse (self->line->str, self->line->len);

  g_string_truncate (self->line, 0);
  if (json_is_object (line))
    handle_frame (self, line);
  else
    fail (self, EP_MALFORMED, FALSE, "no JSON object");
  json_decref (line);
}

/*
 * Appends `data` up to the next line feed, which is dropped, to the current line. FALSE when the
 * line is still incomplete; `data` has then been consumed.
 */
static gboolean
read_line (EpStream *self, struct evbuffer *data)
{
  size_t length;
  char *text = evbuffer_readln (data, &length, EVBUFFER_EOL_LF);

  if (text == NULL)
    {
      gsize remaining = evbuffer_get_length (data);

      g_string_append_len (self->line, (const char *)evbuffer_pullup (data, -1), (gssize)remaining);
      evbuffer_drain (data, remaining);
      return FALSE;
    }
  g_string_append_len (self->line, text, (gssize)length);
  free (text);
  return TRUE;
}

static void
on_data (EpExchange *exchange, struct evbuffer *data, gpointer user)
{
  EpStream *self = user;

  begin_event (self);
  if (ep_exchange_status (exchange) != 200)
    {
      read_line (self, data);
      evbuffer_drain (data, evbuffer_get_length (data));
    }
  else
    {
      while (!self->ended && evbuffer_get_length (data) > 0 && read_line (self, data))
        handle_line (self);
    }
  if (!self->ended && self->line->len > MAX_LINE_BYTES)
    fail (self, EP_MALFORMED, FALSE, "line too long");
  end_event (self);
}

static gboolean
refusal_is_leaving (EpStream *self)
{
  json_t *body = ep_json_parse (self->line->str, self->line->len);
  gboolean leaving =
      g_strcmp0 (json_string_value (json_object_get (body, "error")), "leaving") == 0;

  json_decref (body);
  return leaving;
}

static void
fail_by_status (EpStream *self, int status)
{
  if (status == 503 || status == 404 || status == 409)
    fail (self, EP_REFUSED, refusal_is_leaving (self), "refused by the engine");
  else
    fail (self, EP_CUT, FALSE, status == 200 ? "no last line" : "unexpected status");
}

static void
on_end (EpExchange *exchange, EpExchangeEnd end, const char *detail, gpointer user)
{
  EpStream *self = user;

  begin_event (self);
  self->exchange = NULL;
  if (end == EP_EXCHANGE_COMPLETE)
    fail_by_status (self, ep_exchange_status (exchange));
  else
    fail (self, end == EP_EXCHANGE_NOT_SENT ? EP_NOT_SENT : EP_CUT, FALSE, detail);
  end_event (self);
}

static const EpExchangeEvents stream_events = {
  .on_data = on_data,
  .on_end = on_end,
};

static EpExchange *
start_exchange (KnlKernel *kernel,
                struct event_base *base,
                const EpGenerate *generate,
                EpStream *self)
{
  EpExchangeStart start = {
    .address = generate->address,
    .method = "POST",
    .path = "/v1/generate",
    .content_type = "application/json",
    .connect_timeout = generate->connect_timeout,
    .first_byte_timeout = generate->first_byte_timeout,
    .idle_timeout = generate->idle_timeout,
  };
  char *body = NULL;
  char *path = NULL;
  EpExchange *exchange;

  if (generate->resume)
    {
      path = g_strdup_printf ("/v1/resume?request=%s&offset=%" G_GUINT64_FORMAT, generate->request,
                              generate->from_offset);
      start.method = "GET";
      start.path = path;
      start.content_type = NULL;
    }
  else
    {
      body = ep_json_from_generate (generate);
      start.body = body;
      start.body_bytes = body != NULL ? strlen (body) : 0;
    }
  exchange = ep_exchange_start (kernel, base, &start, &stream_events, self);
  free (body);
  g_free (path);
  return exchange;
}

EpStream *
ep_http_stream_new (KnlKernel *kernel,
                    struct event_base *base,
                    const EpGenerate *generate,
                    const EpStreamEvents *events,
                    gpointer data)
{
  EpStream *self = g_new0 (EpStream, 1);

  self->events = events;
  self->data = data;
  self->request = g_strdup (generate->request);
  self->line = g_string_new (NULL);
  self->hold = generate->hold;
  self->next_offset = generate->resume ? generate->from_offset : 0;
  self->exchange = start_exchange (kernel, base, generate, self);
  return self;
}
