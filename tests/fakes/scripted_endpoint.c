#include "tests/fakes/scripted_endpoint.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <string.h>
#include <sys/socket.h>

#include "http/reader.h"
#include "tests/fakes/small_buffers.h"

#define LIMIT_BYTES 1000000

/* Turns of the loop before an early answer's end or a reset: the other side has read the answer by
 * then. */
#define TURNS_BEFORE_END 8

typedef struct
{
  ScriptedEndpoint *endpoint;
  struct bufferevent *stream;
  HtReader *reader;
  GString *late; /* of the answer before */
  gboolean closes;
  gboolean resets;
  struct event *end; /* NULL: the connection isn't about to end */
  guint turns;       /* before it ends */
} Link;

struct ScriptedEndpoint
{
  struct event_base *base;
  struct evconnlistener *listener;
  char *address;
  const ScriptedAnswer *script;
  guint n_script;
  guint n_requests;
  guint n_closed_by_peer;
  HtMessage *newest;
  GHashTable *links;
};

static const HtLimits limits = { LIMIT_BYTES, LIMIT_BYTES };
static const HtReaderEvents no_events = { 0 };

static void
link_free (gpointer data)
{
  Link *self = data;

  if (self->end != NULL)
    event_free (self->end);
  bufferevent_free (self->stream);
  ht_reader_free (self->reader);
  g_string_free (self->late, TRUE);
  g_free (self);
}

GString *
scripted_answer_bytes (const char *template, const char *id)
{
  GString *bytes = g_string_new (template);
  char *nul;

  g_string_replace (bytes, "%ID", id != NULL ? id : "", 0);
  while ((nul = g_strstr_len (bytes->str, (gssize)bytes->len, "%NUL")) != NULL)
    {
      *nul = '\0';
      g_string_erase (bytes, nul + 1 - bytes->str, strlen ("NUL"));
    }
  return bytes;
}

static void
append_answer (const ScriptedEndpoint *self, const char *template, GString *bytes)
{
  GString *added = scripted_answer_bytes (template, ht_message_get (self->newest, "x-attempt-id"));

  g_string_append_len (bytes, added->str, (gssize)added->len);
  g_string_free (added, TRUE);
}

static void
reset (Link *self)
{
  static const struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  setsockopt (bufferevent_getfd (self->stream), SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  g_hash_table_remove (self->endpoint->links, self);
}

static void
on_turn (evutil_socket_t fd, short what, void *data)
{
  static const struct timeval now = { 0 };
  Link *self = data;

  if (--self->turns > 0)
    evtimer_add (self->end, &now);
  else if (self->resets)
    reset (self);
  else
    shutdown (bufferevent_getfd (self->stream), SHUT_WR);
}

static void
end_later (Link *self)
{
  static const struct timeval now = { 0 };

  self->turns = TURNS_BEFORE_END;
  self->end = evtimer_new (self->endpoint->base, on_turn, self);
  evtimer_add (self->end, &now);
}

/* The row for the request that is `n`th, from 1. */
static const ScriptedAnswer *
row_of (const ScriptedEndpoint *self, guint n)
{
  return &self->script[MIN (n, self->n_script) - 1];
}

static void
answer (Link *self)
{
  ScriptedEndpoint *endpoint = self->endpoint;
  const ScriptedAnswer *row = row_of (endpoint, endpoint->n_requests);
  GString *bytes = g_string_new (self->late->str);

  append_answer (endpoint, row->bytes, bytes);
  bufferevent_write (self->stream, bytes->str, bytes->len);
  g_string_free (bytes, TRUE);
  g_string_truncate (self->late, 0);
  append_answer (endpoint, row->late, self->late);
  self->resets = row->resets;
  if (row->resets || (row->is_early && row->closes))
    {
      end_later (self);
      return;
    }
  self->closes = row->closes;
  if (row->closes && evbuffer_get_length (bufferevent_get_output (self->stream)) == 0)
    g_hash_table_remove (endpoint->links, self);
}

static void
answer_early (Link *self)
{
  ScriptedEndpoint *endpoint = self->endpoint;
  struct evbuffer *input = bufferevent_get_input (self->stream);
  gsize consumed;

  ht_reader_feed (self->reader, (const char *)evbuffer_pullup (input, -1),
                  evbuffer_get_length (input), &consumed);
  evbuffer_drain (input, consumed);
  if (!ht_reader_has_head (self->reader))
    return;
  bufferevent_disable (self->stream, EV_READ);
  ht_message_free (endpoint->newest);
  endpoint->newest = ht_reader_steal (self->reader);
  endpoint->n_requests++;
  answer (self);
}

static void
on_readable (struct bufferevent *stream, void *data)
{
  Link *self = data;
  struct evbuffer *input = bufferevent_get_input (stream);
  gsize length = evbuffer_get_length (input);
  gsize consumed = 0;

  if (row_of (self->endpoint, self->endpoint->n_requests + 1)->is_early)
    {
      answer_early (self);
      return;
    }
  if (ht_reader_feed (self->reader, (const char *)evbuffer_pullup (input, -1), length, &consumed)
      == HT_READ_COMPLETE)
    {
      ht_message_free (self->endpoint->newest);
      self->endpoint->newest = ht_reader_steal (self->reader);
      self->endpoint->n_requests++;
      ht_reader_begin (self->reader, FALSE);
      evbuffer_drain (input, consumed);
      answer (self);
      return;
    }
  evbuffer_drain (input, consumed);
}

static void
on_written (struct bufferevent *stream, void *data)
{
  Link *self = data;

  if (self->closes)
    g_hash_table_remove (self->endpoint->links, self);
}

static void
on_event (struct bufferevent *stream, short what, void *data)
{
  Link *self = data;

  self->endpoint->n_closed_by_peer++;
  g_hash_table_remove (self->endpoint->links, self);
}

static void
on_accept (struct evconnlistener *listener,
           evutil_socket_t fd,
           struct sockaddr *peer,
           int length,
           void *data)
{
  ScriptedEndpoint *self = data;
  Link *link = g_new0 (Link, 1);

  link->endpoint = self;
  link->stream = bufferevent_socket_new (self->base, fd, BEV_OPT_CLOSE_ON_FREE);
  link->reader = ht_reader_new (FALSE, &limits, &no_events, NULL);
  link->late = g_string_new (NULL);
  bufferevent_setcb (link->stream, on_readable, on_written, on_event, link);
  bufferevent_enable (link->stream, EV_READ | EV_WRITE);
  g_hash_table_add (self->links, link);
}

ScriptedEndpoint *
scripted_endpoint_new (struct event_base *base, const ScriptedAnswer *script, guint n)
{
  ScriptedEndpoint *self = g_new0 (ScriptedEndpoint, 1);
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t length = sizeof address;

  self->base = base;
  self->script = script;
  self->n_script = n;
  self->links = g_hash_table_new_full (NULL, NULL, link_free, NULL);
  self->listener = evconnlistener_new_bind (base, on_accept, self, LEV_OPT_CLOSE_ON_FREE, -1,
                                            (struct sockaddr *)&address, sizeof address);
  g_assert_nonnull (self->listener);
  for (guint i = 0; i < n; i++)
    {
      if (script[i].is_early)
        small_buffers_set (evconnlistener_get_fd (self->listener));
    }
  getsockname (evconnlistener_get_fd (self->listener), (struct sockaddr *)&address, &length);
  self->address = g_strdup_printf ("127.0.0.1:%u", ntohs (address.sin_port));
  return self;
}

void
scripted_endpoint_free (ScriptedEndpoint *self)
{
  g_hash_table_unref (self->links);
  evconnlistener_free (self->listener);
  ht_message_free (self->newest);
  g_free (self->address);
  g_free (self);
}

const char *
scripted_endpoint_address (const ScriptedEndpoint *self)
{
  return self->address;
}

guint
scripted_endpoint_n_requests (const ScriptedEndpoint *self)
{
  return self->n_requests;
}

const char *
scripted_endpoint_field (const ScriptedEndpoint *self, const char *name)
{
  return self->newest != NULL ? ht_message_get (self->newest, name) : NULL;
}

guint
scripted_endpoint_n_closed_by_peer (const ScriptedEndpoint *self)
{
  return self->n_closed_by_peer;
}

const char *
scripted_endpoint_body (const ScriptedEndpoint *self)
{
  return self->newest != NULL ? self->newest->body->str : "";
}
