#include "links_fixture.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "sv_fixture.h"
#include "table/http.h"

#define UNSET 99

static void
wait_until_set (SvFixture *fixture, const guint *value)
{
  while (*value == UNSET)
    {
      knl_kernel_run_due (fixture->kernel);
      event_base_loop (fixture->base, EVLOOP_NONBLOCK);
    }
}

static void
on_stored (PlStatus status, PlAnswer **answer, gpointer data)
{
  *(guint *)data = status;
}

static guint
call_store (const ScriptedAnswer *script, guint n_script, gboolean writes, const char *body)
{
  guint status = UNSET;
  SvFixture fixture;
  PlStore *store;

  sv_fixture_open (&fixture);
  sv_fixture_add_endpoint (&fixture, script, n_script);
  store = pl_store_new (fixture.kernel, fixture.client,
                        scripted_endpoint_address (fixture.endpoints[0]));
  if (n_script > 1)
    {
      pl_store_get_row (store, "t", "k", on_stored, &status);
      wait_until_set (&fixture, &status);
      status = UNSET;
    }
  if (writes)
    pl_store_put (store, "t", "k", json_pack ("{s:s}", "body", body), 0, on_stored, &status);
  else
    pl_store_get_row (store, "t", "k", on_stored, &status);
  wait_until_set (&fixture, &status);
  pl_store_free (store);
  sv_fixture_close (&fixture);
  return status;
}

LinksStoreResult
links_call_store (const ScriptedAnswer *script, guint n_script, gsize body_length)
{
  g_autofree char *body = g_strnfill (body_length, 'h');

  return (LinksStoreResult){ .read = call_store (script, n_script, FALSE, body),
                             .written = call_store (script, n_script, TRUE, body) };
}

static void
on_data (EpExchange *exchange, struct evbuffer *data, gpointer user)
{
}

typedef struct
{
  guint end;
  int status;
} ExchangeResult;

static void
on_end (EpExchange *exchange, EpExchangeEnd end, const char *detail, gpointer user)
{
  ExchangeResult *result = user;

  result->end = end;
  result->status = ep_exchange_status (exchange);
}

static void
on_transacted (TbStatus status, guint64 version, gpointer data)
{
  *(guint *)data = status;
}

LinksOwnInterfaceResult
links_call_own_interface (const ScriptedAnswer *script, gsize body_length)
{
  static const EpExchangeEvents events = { .on_data = on_data, .on_end = on_end };
  g_autofree char *body = g_strnfill (body_length, 'h');
  EpExchangeStart start = { .method = "POST",
                            .path = "/",
                            .body = body,
                            .body_bytes = body_length,
                            .connect_timeout = KNL_SEC,
                            .first_byte_timeout = KNL_SEC,
                            .idle_timeout = KNL_SEC };
  const TbWrite write = { "k", body };
  const TbTransaction transaction = { .writes = &write, .n_writes = 1 };
  ExchangeResult result = { .end = UNSET };
  guint status = UNSET;
  SvFixture fixture;
  TbTable *table;

  sv_fixture_open (&fixture);
  sv_fixture_add_endpoint (&fixture, script, 1);
  start.address = scripted_endpoint_address (fixture.endpoints[0]);
  table = tb_http_platform_new (fixture.kernel, fixture.base, start.address, KNL_SEC);
  ep_exchange_start (fixture.kernel, fixture.base, &start, &events, &result);
  tb_transact (table, &transaction, on_transacted, &status);
  wait_until_set (&fixture, &result.end);
  wait_until_set (&fixture, &status);
  tb_platform_free (table);
  knl_kernel_run_due (fixture.kernel);
  sv_fixture_close (&fixture);
  return (LinksOwnInterfaceResult){ .end = result.end, .status = result.status, .written = status };
}

typedef struct
{
  int listener;
  GString *answer;
} CtlServer;

/* The transport blocks in a loop of its own, so that its server has a thread. */
static gpointer
serve_ctl (gpointer data)
{
  const CtlServer *self = data;
  int fd = accept (self->listener, NULL, NULL);
  char request[4096];
  gsize length = 0;
  ssize_t n = 1;

  while (n > 0 && g_strstr_len (request, (gssize)length, "\r\n\r\n") == NULL)
    {
      n = read (fd, request + length, sizeof request - length);
      length += (gsize)MAX (n, 0);
    }
  n = write (fd, self->answer->str, self->answer->len);
  close (fd);
  return GSIZE_TO_POINTER ((gsize)n);
}

ClReplyState
links_call_ctl (const char *bytes)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t length = sizeof address;
  CtlServer server = { .listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0),
                       .answer = scripted_answer_bytes (bytes, NULL) };
  ClTransport *transport = cl_http_new ();
  ClReply *reply = NULL;
  ClCall call = { .path = "/", .timeout = 5 * KNL_SEC };
  g_autofree char *text = NULL;
  ClReplyState state;
  GThread *thread;

  g_assert_true (bind (server.listener, (struct sockaddr *)&address, sizeof address) == 0
                 && listen (server.listener, 1) == 0
                 && getsockname (server.listener, (struct sockaddr *)&address, &length) == 0);
  text = g_strdup_printf ("127.0.0.1:%u", ntohs (address.sin_port));
  call.address = text;
  thread = g_thread_new ("server", serve_ctl, &server);
  transport->klass->call (transport, &call, 1, &reply);
  g_thread_join (thread);
  state = reply->state;
  cl_reply_free (reply);
  transport->klass->destroy (transport);
  close (server.listener);
  g_string_free (server.answer, TRUE);
  return state;
}
