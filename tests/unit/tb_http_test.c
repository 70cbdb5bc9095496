/** Platform client over loopback sockets: the status that each kind of answer is mapped to. */

#include "kernel/event_runtime.h"
#include "table/http.h"
#include "suite.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <string.h>

/* How the server handles a request. */
typedef enum
{
  SERVER_ANSWERS,
  SERVER_CLOSES, /* after it has received the request */
  SERVER_IS_SILENT,
  SERVER_IS_NOT_THERE,
} Behaviour;

typedef struct
{
  Behaviour behaviour;
  const char *head; /* status line without the HTTP version */
  const char *body;
  TbStatus transact;
  TbStatus read;
} Row;

typedef struct
{
  struct event_base *base;
  KnlRuntime *runtime;
  KnlKernel *kernel;
  struct evconnlistener *listener;
  char address[32];
  const Row *row;
  TbTable *platform;
  gboolean ended;
  gboolean in_call; /* the client function has not returned */
  TbStatus status;
  guint64 version;
  guint n_rows;
} Fixture;

static void
on_request (struct bufferevent *connection, void *data)
{
  const Row *row = ((Fixture *)data)->row;
  struct evbuffer *input = bufferevent_get_input (connection);

  if (evbuffer_search (input, "\r\n\r\n", 4, NULL).pos < 0 || row->behaviour == SERVER_IS_SILENT)
    return;
  if (row->behaviour == SERVER_CLOSES)
    {
      bufferevent_free (connection);
      return;
    }
  evbuffer_drain (input, evbuffer_get_length (input));
  evbuffer_add_printf (bufferevent_get_output (connection),
                       "HTTP/1.1 %s\r\nContent-Length: %zu\r\nConnection: close\r\n\r\n%s",
                       row->head, strlen (row->body), row->body);
}

static void
on_event (struct bufferevent *connection, short what, void *data)
{
  if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
    bufferevent_free (connection);
}

static void
on_accept (struct evconnlistener *listener,
           evutil_socket_t fd,
           struct sockaddr *address,
           int length,
           void *data)
{
  Fixture *fixture = data;
  struct bufferevent *connection =
      bufferevent_socket_new (fixture->base, fd, BEV_OPT_CLOSE_ON_FREE);

  bufferevent_setcb (connection, on_request, NULL, on_event, fixture);
  bufferevent_enable (connection, EV_READ | EV_WRITE);
}

static Fixture *
fixture_new (const Row *row)
{
  Fixture *fixture = g_new0 (Fixture, 1);
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t length = sizeof (address);

  fixture->base = event_base_new ();
  fixture->row = row;
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  fixture->runtime = knl_event_runtime_new (fixture->base);
  fixture->kernel = knl_kernel_new (fixture->runtime, 1);
  fixture->listener =
      evconnlistener_new_bind (fixture->base, on_accept, fixture, LEV_OPT_CLOSE_ON_FREE, 8,
                               (struct sockaddr *)&address, sizeof (address));
  getsockname (evconnlistener_get_fd (fixture->listener), (struct sockaddr *)&address, &length);
  g_snprintf (fixture->address, sizeof (fixture->address), "127.0.0.1:%u",
              ntohs (address.sin_port));
  if (row->behaviour == SERVER_IS_NOT_THERE)
    g_clear_pointer (&fixture->listener, evconnlistener_free);
  fixture->platform =
      tb_http_platform_new (fixture->kernel, fixture->base, fixture->address, 300 * KNL_MSEC);
  return fixture;
}

static void
fixture_free (Fixture *fixture)
{
  tb_platform_free (fixture->platform);
  knl_kernel_free (fixture->kernel);
  knl_event_runtime_free (fixture->runtime);
  if (fixture->listener != NULL)
    evconnlistener_free (fixture->listener);
  /* Connections that are still open are closed and freed by their events. */
  event_base_loop (fixture->base, EVLOOP_NONBLOCK);
  event_base_free (fixture->base);
  g_free (fixture);
}

G_DEFINE_AUTOPTR_CLEANUP_FUNC (Fixture, fixture_free)

static void
end_call (Fixture *fixture, TbStatus status)
{
  CU_ASSERT_FALSE (fixture->in_call);
  fixture->ended = TRUE;
  fixture->status = status;
  event_base_loopbreak (fixture->base);
}

static void
on_transacted (TbStatus status, guint64 version, gpointer data)
{
  ((Fixture *)data)->version = version;
  end_call (data, status);
}

static void
on_rows (TbStatus status, const TbRow *rows, guint n_rows, gboolean more, gpointer data)
{
  ((Fixture *)data)->n_rows = n_rows;
  end_call (data, status);
}

static void
on_instances (TbStatus status, Alderturn__Member *const *members, guint n_members, gpointer data)
{
  ((Fixture *)data)->n_rows = n_members;
  end_call (data, status);
}

static void
call (Fixture *fixture, guint operation)
{
  const TbWrite write = { "key \"1\"", "{\"a\":1}" };
  const TbTransaction transaction = { .writes = &write, .n_writes = 1 };

  fixture->ended = FALSE;
  fixture->in_call = TRUE;
  if (operation == 0)
    tb_transact (fixture->platform, &transaction, on_transacted, fixture);
  else if (operation == 1)
    tb_scan (fixture->platform, "a/", "a/b c", 10, on_rows, fixture);
  else
    tb_instances (fixture->platform, on_instances, fixture);
  fixture->in_call = FALSE;
  while (!fixture->ended)
    event_base_dispatch (fixture->base);
}

/*
 * Guards against a write that is made twice, or reported as not done though it was.
 * Happens when the connection is refused, closed before the answer, or silent indefinitely, and
 * failures that certainly had no effect aren't distinguished from those that may have had one.
 */
static void
test_statuses_by_table (void)
{
  static const Row rows[] = {
    { SERVER_ANSWERS, "200 OK", "{\"version\":7}", TB_OK, TB_UNAVAILABLE },
    { SERVER_ANSWERS, "200 OK",
      "{\"rows\":[{\"key\":\"k\",\"value\":\"v\",\"version\":1}],\"instances\":[{\"name\":\"n\","
      "\"kind\":\"entry\"}]}",
      TB_UNKNOWN, TB_OK },
    { SERVER_ANSWERS, "200 OK", "not JSON", TB_UNKNOWN, TB_UNAVAILABLE },
    { SERVER_ANSWERS, "409 Conflict", "{}", TB_CONFLICT, TB_UNAVAILABLE },
    { SERVER_ANSWERS, "503 Unavailable", "{}", TB_UNAVAILABLE, TB_UNAVAILABLE },
    { SERVER_ANSWERS, "500 Error", "{}", TB_UNKNOWN, TB_UNAVAILABLE },
    { SERVER_CLOSES, "", "", TB_UNKNOWN, TB_UNAVAILABLE },
    { SERVER_IS_SILENT, "", "", TB_UNKNOWN, TB_UNAVAILABLE },
    { SERVER_IS_NOT_THERE, "", "", TB_UNAVAILABLE, TB_UNAVAILABLE },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_autoptr (Fixture) fixture = fixture_new (&rows[i]);

      call (fixture, 0);
      CU_ASSERT_EQUAL (fixture->status, rows[i].transact);
      CU_ASSERT_EQUAL (fixture->version, rows[i].transact == TB_OK ? 7 : 0);
      for (guint operation = 1; operation <= 2; operation++)
        {
          call (fixture, operation);
          CU_ASSERT_EQUAL (fixture->status, rows[i].read);
          CU_ASSERT_EQUAL (fixture->n_rows, rows[i].read == TB_OK ? 1 : 0);
        }
    }
}

static void
test_cancelled_call_makes_no_callback (void)
{
  static const Row row = { SERVER_IS_SILENT, "", "", TB_UNKNOWN, TB_UNAVAILABLE };
  g_autoptr (Fixture) fixture = fixture_new (&row);
  TbCallId first;

  first = tb_read (fixture->platform, "a", on_rows, fixture);
  event_base_loop (fixture->base, EVLOOP_NONBLOCK);
  tb_call_cancel (fixture->platform, &first);
  CU_ASSERT_EQUAL (first, 0);
  call (fixture, 0);
  CU_ASSERT_EQUAL (fixture->status, TB_UNKNOWN);
}

static const SuiteCase cases[] = {
  { "statuses by table", test_statuses_by_table },
  { "a cancelled call makes no callback", test_cancelled_call_makes_no_callback },
};

SUITE_MAIN ("tb_http", cases)
