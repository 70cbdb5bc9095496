#include "tests/standins/completion_client.h"

#include "tests/standins/engine_model.h"

#include <event2/buffer.h>
#include <stdlib.h>
#include <string.h>

/* Added to the caller's timeout. An entry that has not ended the request by then is at fault. */
#define TIMEOUT_MARGIN_S 10

typedef struct
{
  SdServer *server;
  SdClient *client;
  SdCompletionFunc done;
  gpointer data;
  guint64 prompt_hash;
  guint64 max_tokens;
  KnlTime started_at;
  struct evbuffer *input;
  gboolean event_is_final;
  json_t *last; /* the final event, or the body of an answer that isn't a stream */
  SdCompletionResult result;
} Call;

char *
sd_prompt_new (guint64 tokens, guint32 seed)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (seed);
  gsize bytes = tokens * 4;
  char *prompt = g_malloc (bytes + 1);

  for (gsize i = 0; i < bytes; i++)
    prompt[i] = i % 8 == 7 ? ' ' : (char)g_rand_int_range (rand, 'a', 'z' + 1);
  prompt[bytes] = '\0';
  return prompt;
}

static void
check_tokens (Call *call, const json_t *event)
{
  guint64 offset = (guint64)sd_json_number (event, "offset", 0);
  guint64 count = (guint64)sd_json_number (event, "n", 0);
  g_autoptr (GString) expected = g_string_new (NULL);

  if (call->result.first_token < 0)
    call->result.first_token = knl_kernel_now (call->server->kernel) - call->started_at;
  if (count > call->max_tokens || offset != call->result.tokens)
    call->result.wrong = TRUE;
  else
    sd_answer_append (expected, call->prompt_hash, offset, offset + count);
  if (strcmp (sd_json_text (event, "text", ""), expected->str) != 0)
    call->result.wrong = TRUE;
  call->result.tokens += count;
}

static void
handle_line (Call *call, const char *line)
{
  json_t *event;

  call->event_is_final = call->event_is_final || g_str_has_prefix (line, "event:");
  if (!g_str_has_prefix (line, "data:"))
    return;
  event = json_loads (line + strlen ("data:"), 0, NULL);
  if (call->event_is_final && call->last == NULL)
    call->last = json_incref (event);
  else if (!call->event_is_final)
    check_tokens (call, event);
  json_decref (event);
}

/*
 * libevent discards what is left in the request's buffer after this callback, so all of it is
 * moved. An answer that isn't a stream stays in `input` and is parsed as one object at the end.
 */
static void
on_chunk (struct evhttp_request *request, void *data)
{
  Call *call = data;
  char *line;

  evbuffer_add_buffer (call->input, evhttp_request_get_input_buffer (request));
  if (evhttp_request_get_response_code (request) != 200)
    return;
  while ((line = evbuffer_readln (call->input, NULL, EVBUFFER_EOL_LF)) != NULL)
    {
      handle_line (call, line);
      free (line);
    }
}

static void
fill_result (Call *call)
{
  SdCompletionResult *result = &call->result;
  const json_t *error = json_object_get (call->last, "error");
  const json_t *source = error != NULL ? error : call->last;

  result->total = knl_kernel_now (call->server->kernel) - call->started_at;
  result->request = sd_json_text (source, "request", "");
  result->outcome = sd_json_text (source, "outcome", result->unreachable ? "unreachable" : "cut");
  result->code = sd_json_text (error, "code", "");
  result->complete = error == NULL && strcmp (result->outcome, "done") == 0 && !result->wrong
                     && result->tokens == call->max_tokens
                     && (guint64)sd_json_number (call->last, "count", -1) == result->tokens;
}

static void
on_done (struct evhttp_request *request, void *data)
{
  Call *call = data;

  if (request != NULL)
    {
      /* Status 0: could not connect. If the connection breaks later, `request` is NULL. */
      call->result.unreachable = evhttp_request_get_response_code (request) == 0;
      on_chunk (request, call);
    }
  if (call->last == NULL)
    call->last = sd_json_parse (call->input);
  fill_result (call);
  call->done (&call->result, call->data);
  sd_client_end (call->client);
  json_decref (call->last);
  evbuffer_free (call->input);
  g_free (call);
}

static void
add_headers (struct evhttp_request *request, const SdCompletion *completion)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
  g_autofree char *bearer = g_strconcat ("Bearer ", completion->token, NULL);
  g_autofree char *timeout = g_strdup_printf ("%" G_GINT64_FORMAT, completion->timeout_ms);

  evhttp_add_header (headers, "Authorization", bearer);
  evhttp_add_header (headers, "Alderturn-Timeout-Ms", timeout);
}

void
sd_completion_start (SdServer *server,
                     const SdCompletion *completion,
                     SdCompletionFunc done,
                     gpointer data)
{
  Call *call = g_new0 (Call, 1);
  struct evhttp_request *request = evhttp_request_new (on_done, call);

  call->server = server;
  call->done = done;
  call->data = data;
  call->prompt_hash = sd_prompt_hash (completion->prompt, strlen (completion->prompt));
  call->max_tokens = completion->max_tokens;
  call->started_at = knl_kernel_now (server->kernel);
  call->input = evbuffer_new ();
  call->result.first_token = -1;
  evhttp_request_set_chunked_cb (request, on_chunk);
  add_headers (request, completion);
  sd_client_start (
      &call->client, server, request, EVHTTP_REQ_POST, completion->address, "/v1/completions",
      json_pack ("{s:s, s:s, s:I, s:b}", "service", completion->service, "prompt",
                 completion->prompt, "max_tokens", (json_int_t)completion->max_tokens, "stream", 1),
      (int)(completion->timeout_ms / 1000) + TIMEOUT_MARGIN_S);
}
