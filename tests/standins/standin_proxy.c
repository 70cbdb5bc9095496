/** standin-proxy: a TCP proxy that injects the faults of docs/ADAPTERS.md. */

#include "tests/standins/http_server.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <string.h>

#define BACKLOG 512

typedef struct
{
  SdServer server; /* where faults are set */
  char *listen_address;
  char *target_address;
  struct evconnlistener *listener;
  struct sockaddr_storage listen_on;
  int listen_length;
  struct sockaddr_storage target;
  int target_length;
  GHashTable *connections; /* set of Connection */
  guint64 accepted;
  KnlTime delay;
  gint64 cut_after; /* new connections are cut after so many bytes from the target; -1: never */
  gboolean freeze_new[2];
} Program;

static const CmSetting settings[] = {
  SD_ADDRESS (Program, "listen-address", listen_address, FALSE, "Address to listen at"),
  SD_ADDRESS (Program, "target-address", target_address, FALSE, "Address to forward to"),
  SD_ADDRESS (Program, "control-address", server.address, FALSE, "Address to set faults at"),
  { .name = NULL },
};

typedef struct Connection Connection;

/* One direction: index 0 from the client to the target, 1 from the target to the client. */
typedef struct
{
  Connection *connection;
  struct bufferevent *from;
  struct bufferevent *to;
  gboolean frozen;
  gboolean ended; /* `from` has been closed by its peer */
  guint delayed;  /* pieces waiting for their delay */
} Direction;

struct Connection
{
  Program *program;
  struct bufferevent *ends[2]; /* client, target */
  Direction directions[2];
  gint64 cut_after;
  gboolean closed; /* freed when no delayed piece refers to it */
};

typedef struct
{
  Direction *direction;
  struct evbuffer *data;
} Piece;

static void
connection_free_unless_used (Connection *connection)
{
  if (connection->directions[0].delayed + connection->directions[1].delayed == 0)
    g_free (connection);
}

static void
connection_close (Connection *connection)
{
  if (connection->closed)
    return;
  connection->closed = TRUE;
  g_hash_table_remove (connection->program->connections, connection);
  bufferevent_free (connection->ends[0]);
  bufferevent_free (connection->ends[1]);
  connection_free_unless_used (connection);
}

static void
close_if_flushed (Direction *direction)
{
  struct evbuffer *output = bufferevent_get_output (direction->to);

  if (direction->ended && !direction->frozen && direction->delayed == 0
      && evbuffer_get_length (output) == 0)
    connection_close (direction->connection);
}

/* FALSE: the connection has been cut. */
static gboolean
count_bytes (Direction *direction, gsize bytes)
{
  Connection *connection = direction->connection;

  if (connection->cut_after < 0 || direction != &connection->directions[1])
    return TRUE;
  connection->cut_after -= (gint64)bytes;
  if (connection->cut_after >= 0)
    return TRUE;
  connection_close (connection);
  return FALSE;
}

/* FALSE: the connection has been cut. */
static gboolean
forward (Direction *direction, struct evbuffer *data)
{
  if (direction->frozen)
    return TRUE;
  if (!count_bytes (direction, evbuffer_get_length (data)))
    return FALSE;
  bufferevent_write_buffer (direction->to, data);
  return TRUE;
}

static void
forward_delayed (gpointer data)
{
  Piece *piece = data;
  Direction *direction = piece->direction;

  direction->delayed--;
  if (direction->connection->closed)
    connection_free_unless_used (direction->connection);
  else if (forward (direction, piece->data))
    close_if_flushed (direction);
  evbuffer_free (piece->data);
  g_free (piece);
}

static void
on_read (struct bufferevent *from, void *data)
{
  Direction *direction = data;
  Program *program = direction->connection->program;
  struct evbuffer *input = bufferevent_get_input (from);
  Piece *piece;

  if (program->delay == 0 && direction->delayed == 0)
    {
      forward (direction, input);
      return;
    }
  piece = g_new0 (Piece, 1);
  piece->direction = direction;
  piece->data = evbuffer_new ();
  evbuffer_add_buffer (piece->data, input);
  direction->delayed++;
  knl_timer_start (program->server.kernel, program->delay, forward_delayed, piece);
}

/* `data` is the direction that reads from `to`; the opposite direction has written to it. */
static void
on_written (struct bufferevent *to, void *data)
{
  Direction *read_direction = data;

  close_if_flushed (
      &read_direction->connection->directions[read_direction->connection->ends[0] == to ? 1 : 0]);
}

static void
on_event (struct bufferevent *from, short what, void *data)
{
  Direction *direction = data;

  if ((what & BEV_EVENT_CONNECTED) != 0)
    return;
  direction->ended = TRUE;
  if ((what & BEV_EVENT_ERROR) != 0 && !direction->frozen)
    connection_close (direction->connection);
  else
    close_if_flushed (direction);
}

/* Stops reading from the sender, so that its data and its close seem lost on the network. */
static void
direction_freeze (Direction *direction)
{
  direction->frozen = TRUE;
  bufferevent_disable (direction->from, EV_READ);
}

static void
on_accept (struct evconnlistener *listener,
           evutil_socket_t fd,
           struct sockaddr *address,
           int length,
           void *data)
{
  Program *program = data;
  Connection *connection = g_new0 (Connection, 1);

  program->accepted++;
  connection->program = program;
  connection->cut_after = program->cut_after;
  connection->ends[0] = bufferevent_socket_new (program->server.base, fd, BEV_OPT_CLOSE_ON_FREE);
  connection->ends[1] = bufferevent_socket_new (program->server.base, -1, BEV_OPT_CLOSE_ON_FREE);
  g_hash_table_add (program->connections, connection);
  for (guint i = 0; i < 2; i++)
    {
      Direction *direction = &connection->directions[i];

      direction->connection = connection;
      direction->from = connection->ends[i];
      direction->to = connection->ends[1 - i];
      bufferevent_setcb (direction->from, on_read, on_written, on_event, direction);
      bufferevent_enable (direction->from, EV_READ | EV_WRITE);
      if (program->freeze_new[i])
        direction_freeze (direction);
    }
  bufferevent_socket_connect (connection->ends[1], (struct sockaddr *)&program->target,
                              program->target_length);
}

static gboolean
program_listen (Program *program)
{
  if (program->listener == NULL)
    program->listener = evconnlistener_new_bind (
        program->server.base, on_accept, program, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
        BACKLOG, (struct sockaddr *)&program->listen_on, program->listen_length);
  return program->listener != NULL;
}

static void
set_freeze (Program *program, const json_t *body)
{
  const char *direction = sd_json_text (body, "direction", "both");
  gboolean selected[2] = { strcmp (direction, "from-target") != 0,
                           strcmp (direction, "to-target") != 0 };
  GHashTableIter iter;
  gpointer connection;

  for (guint i = 0; i < 2; i++)
    {
      program->freeze_new[i] = selected[i] && sd_json_true (body, "new");
      g_hash_table_iter_init (&iter, program->connections);
      while (selected[i] && g_hash_table_iter_next (&iter, &connection, NULL))
        direction_freeze (&((Connection *)connection)->directions[i]);
    }
}

static void
set_cut (Program *program, const json_t *body)
{
  GList *connections = g_hash_table_get_keys (program->connections);

  program->cut_after = sd_json_number (body, "after", -1);
  for (GList *l = connections; l != NULL; l = l->next)
    {
      if (program->cut_after < 0)
        connection_close (l->data);
      else
        ((Connection *)l->data)->cut_after = program->cut_after;
    }
  g_list_free (connections);
}

/* Replaces the fault. Connections that are frozen or have a pending cut keep this state. */
static gboolean
set_fault (Program *program, const char *mode, const json_t *body)
{
  program->delay = 0;
  program->cut_after = -1;
  program->freeze_new[0] = FALSE;
  program->freeze_new[1] = FALSE;
  if (strcmp (mode, "refuse") == 0)
    {
      g_clear_pointer (&program->listener, evconnlistener_free);
      return TRUE;
    }
  if (!program_listen (program))
    return FALSE;
  if (strcmp (mode, "cut") == 0)
    set_cut (program, body);
  else if (strcmp (mode, "freeze") == 0)
    set_freeze (program, body);
  else if (strcmp (mode, "delay") == 0)
    program->delay = sd_json_number (body, "ms", 0) * KNL_MSEC;
  else
    return strcmp (mode, "none") == 0;
  return TRUE;
}

static void
answer_fault (SdExchange *exchange, gpointer data)
{
  const char *mode = sd_json_text (exchange->body, "mode", "none");

  sd_exchange_confirm (exchange, set_fault (data, mode, exchange->body));
}

static void
stats (SdExchange *exchange, gpointer data)
{
  const Program *program = data;

  sd_exchange_reply (exchange, 200,
                     json_pack ("{s:I, s:i}", "accepted", (json_int_t)program->accepted, "open",
                                (int)g_hash_table_size (program->connections)));
}

static gboolean
start (gpointer data)
{
  Program *program = data;
  struct sockaddr *listen_on = (struct sockaddr *)&program->listen_on;
  struct sockaddr *target = (struct sockaddr *)&program->target;

  program->connections = g_hash_table_new (g_direct_hash, g_direct_equal);
  program->listen_length = sizeof program->listen_on;
  program->target_length = sizeof program->target;
  program->cut_after = -1;
  return evutil_parse_sockaddr_port (program->listen_address, listen_on, &program->listen_length)
             == 0
         && evutil_parse_sockaddr_port (program->target_address, target, &program->target_length)
                == 0
         && program_listen (program);
}

static void
clear (gpointer data)
{
  Program *program = data;

  set_cut (program, NULL);
  g_clear_pointer (&program->listener, evconnlistener_free);
  g_hash_table_unref (program->connections);
}

static const SdRoute routes[] = {
  { EVHTTP_REQ_POST, "/fault", answer_fault },
  { EVHTTP_REQ_GET, "/stats", stats },
  { .path = NULL },
};

static const SdProgram proxy_program = {
  .name = "standin-proxy",
  .summary = "TCP proxy that injects faults, for tests.",
  .settings = settings,
  .routes = routes,
  .start = start,
  .clear = clear,
};

int
main (int argc, char **argv)
{
  Program program = { 0 };

  return sd_server_main (&program.server, &proxy_program, argc, argv);
}
