#include "tests/fakes/memory_engine_internal.h"

#include <string.h>

/* A line of a stream in transit to the client, or the failure of the stream. */
typedef struct
{
  gboolean failed;
  EpFailureKind failure;
  gboolean leaving;
  SdFrame frame; /* strings owned */
} Line;

struct EpStream
{
  FkCall base;
  Endpoint *endpoint; /* NULL: no such endpoint */
  const EpStreamEvents *events;
  gpointer data;
  EpGenerate generate; /* strings owned */
  json_t *imports;
  FkConnectionFault fault;
  guint frames_left;
  gboolean muted;    /* no further lines are sent to the client */
  KnlTimerId detach; /* on the endpoint's kernel, while attached */
  KnlTime latency;
  guint64 next_offset;
};

static void
line_free (gpointer data)
{
  Line *line = data;

  g_free ((char *)line->frame.request);
  g_free ((char *)line->frame.text);
  g_free (line);
}

static void
stream_destroy (FkCall *call)
{
  EpStream *stream = (EpStream *)call;

  g_free ((char *)stream->generate.request);
  g_free ((char *)stream->generate.model);
  g_free ((char *)stream->generate.adapter);
  g_free ((char *)stream->generate.prompt);
  json_decref (stream->imports);
  g_free (stream);
}

static void
set_attached (EpStream *stream, gboolean attached)
{
  if (!attached && stream->detach != 0)
    knl_timer_stop (stream->endpoint->kernel, &stream->detach);
  fk_call_set_attached (&stream->base, attached);
}

static void
on_detach (gpointer data)
{
  EpStream *stream = data;

  stream->detach = 0;
  sd_engine_detach (stream->endpoint->engine, stream->generate.request, stream);
  set_attached (stream, FALSE);
}

static void
detach_later (EpStream *stream, KnlTime delay)
{
  if (stream->base.attached && stream->detach == 0)
    stream->detach = knl_timer_start (stream->endpoint->kernel, delay, on_detach, stream);
}

static void
stream_closed (FkCall *call)
{
  EpStream *stream = (EpStream *)call;

  if (stream->fault != FK_CONNECTION_SILENT)
    detach_later (stream, stream->latency);
}

static void
fail (EpStream *stream, EpFailureKind kind, gboolean leaving, const char *detail)
{
  const EpFailure failure = { .kind = kind, .leaving = leaving, .detail = detail };

  fk_call_end (&stream->base);
  stream->events->on_failed (stream, &failure, stream->data);
}

static void
receive_end (EpStream *stream, const SdFrame *frame)
{
  if (!stream->generate.hold && frame->count != stream->next_offset)
    {
      fail (stream, EP_MALFORMED, FALSE, "wrong count at the end");
      return;
    }
  fk_call_end (&stream->base);
  stream->events->on_end (stream, frame->count, frame->text, stream->data);
}

/* Makes the same checks as the client over HTTP, so that both fail alike. */
static void
receive_frame (EpStream *stream, const SdFrame *frame)
{
  if (strcmp (frame->request, stream->generate.request) != 0)
    fail (stream, EP_MALFORMED, FALSE, "frame of another request");
  else if (frame->type == SD_FRAME_ERROR)
    fail (stream, EP_FAILED, FALSE, frame->text);
  else if (frame->type == SD_FRAME_END)
    receive_end (stream, frame);
  else if (frame->type == SD_FRAME_ACCEPTED)
    stream->events->on_accepted (stream, stream->data);
  else if (frame->type == SD_FRAME_TOKENS && frame->offset != stream->next_offset)
    fail (stream, EP_MALFORMED, FALSE, "offset out of order");
  else if (frame->type == SD_FRAME_TOKENS)
    {
      stream->next_offset += frame->count;
      stream->events->on_tokens (stream, frame->offset, (guint)frame->count, frame->text,
                                 stream->data);
    }
}

static void
stream_receive (FkCall *call, gpointer piece)
{
  EpStream *stream = (EpStream *)call;
  const Line *line = piece;

  if (line == NULL)
    {
      fail (stream, stream->fault == FK_CONNECTION_NO_CONNECT ? EP_NOT_SENT : EP_CUT, FALSE,
            "time limit exceeded");
      return;
    }
  fk_call_set_limit (call, stream->generate.idle_timeout);
  if (line->failed)
    fail (stream, line->failure, line->leaving, line->frame.text);
  else
    receive_frame (stream, &line->frame);
}

static void
send_failure (EpStream *stream, EpFailureKind kind, gboolean leaving, const char *detail)
{
  Line *line = g_new0 (Line, 1);

  *line = (Line){ .failed = TRUE, .failure = kind, .leaving = leaving };
  line->frame.text = g_strdup (detail);
  if (!stream->muted)
    fk_call_answer (&stream->base, 0, line);
  else
    line_free (line);
  stream->muted = TRUE;
}

/* FALSE: the fault drops this line and all later ones. */
static gboolean
passes_fault (EpStream *stream, gboolean last)
{
  if (stream->fault != FK_CONNECTION_SILENT && stream->fault != FK_CONNECTION_CUT)
    return TRUE;
  if (stream->frames_left == FK_ALL_BUT_LAST)
    return !last;
  if (stream->frames_left == 0)
    return FALSE;
  stream->frames_left--;
  return TRUE;
}

static void
on_frame (const SdFrame *frame, gpointer data)
{
  EpStream *stream = data;
  gboolean last = frame->type == SD_FRAME_END || frame->type == SD_FRAME_ERROR;
  Line *line;

  stream->base.attached = TRUE;
  if (!stream->muted && stream->base.calls != NULL && passes_fault (stream, last))
    {
      line = g_new0 (Line, 1);
      line->frame = *frame;
      line->frame.request = g_strdup (frame->request);
      line->frame.text = g_strdup (frame->text);
      fk_call_answer (&stream->base, 0, line);
    }
  else if (stream->fault == FK_CONNECTION_CUT)
    {
      send_failure (stream, EP_CUT, FALSE, "connection closed");
      detach_later (stream, 0);
    }
  else
    stream->muted = TRUE;
  if (last)
    set_attached (stream, FALSE);
}

static void
admit (gboolean held, guint64 imported, gpointer data)
{
  EpStream *stream = data;
  const EpGenerate *generate = &stream->generate;
  SdRequest request = {
    .request = generate->request,
    .model = generate->model,
    .adapter = generate->adapter,
    .prompt = generate->prompt != NULL ? generate->prompt : "",
    .prompt_bytes = generate->prompt_bytes,
    .prompt_tokens = generate->prompt_tokens,
    .max_tokens = generate->max_tokens,
    .priority = generate->priority,
    .hold = generate->hold,
    .imports = stream->imports,
    .imported_tokens = imported,
  };
  SdAdmission admission = SD_IMPORT_LOST;

  if (held)
    admission = sd_engine_generate (stream->endpoint->engine, &request, on_frame, stream);
  if (admission != SD_ACCEPTED)
    send_failure (stream, EP_REFUSED, admission == SD_LEAVING, sd_admission_name (admission));
}

static void
stream_arrive (FkCall *call)
{
  EpStream *stream = (EpStream *)call;
  const EpGenerate *generate = &stream->generate;
  SdEngine *engine = stream->endpoint->engine;

  if (engine == NULL)
    send_failure (stream, EP_REFUSED, FALSE, "no engine");
  else if (!generate->resume)
    sd_engine_check_imports (engine, stream->imports, admit, stream);
  else if (!sd_engine_resume (engine, generate->request, generate->from_offset, on_frame, stream))
    send_failure (stream, EP_REFUSED, FALSE, "request");
  if (call->calls == NULL)
    detach_later (stream, 0);
}

static void
stream_lost (FkCall *call)
{
  EpStream *stream = (EpStream *)call;

  knl_timer_stop (stream->endpoint->kernel, &stream->detach);
  if (stream->fault != FK_CONNECTION_SILENT)
    send_failure (stream, EP_CUT, FALSE, "connection closed");
}

static const FkCallClass stream_class = {
  .arrive = stream_arrive,
  .receive = stream_receive,
  .closed = stream_closed,
  .lost = stream_lost,
  .destroy = stream_destroy,
  .free_piece = line_free,
};

static void
start (EpStream *stream, FkCalls *calls)
{
  const EpGenerate *generate = &stream->generate;
  gboolean connects = stream->fault != FK_CONNECTION_NO_CONNECT;

  fk_call_open (&stream->base, &stream_class, calls,
                connects ? stream->latency + generate->first_byte_timeout
                         : generate->connect_timeout);
  if (stream->fault == FK_CONNECTION_REFUSED)
    send_failure (stream, EP_NOT_SENT, FALSE, "connection refused");
  else if (connects && stream->fault != FK_CONNECTION_NO_REQUEST)
    fk_call_send (&stream->base, stream->endpoint->kernel, stream->endpoint->in_flight);
}

EpStream *
fk_stream_new (FleetClient *client,
               const EpGenerate *generate,
               const EpStreamEvents *events,
               gpointer data)
{
  EpStream *stream = g_new0 (EpStream, 1);

  stream->endpoint = fk_fleet_find (client->fleet, generate->address);
  stream->events = events;
  stream->data = data;
  stream->latency = client->calls.latency;
  stream->generate = *generate;
  stream->generate.request = g_strdup (generate->request);
  stream->generate.model = g_strdup (generate->model);
  stream->generate.adapter = g_strdup (generate->adapter);
  stream->generate.prompt = g_memdup2 (generate->prompt, generate->prompt_bytes);
  if (generate->imports != NULL)
    stream->imports = json_loads (generate->imports, 0, NULL);
  stream->next_offset = generate->resume ? generate->from_offset : 0;
  stream->fault = fk_endpoint_connect (stream->endpoint, &stream->frames_left);
  start (stream, &client->calls);
  return stream;
}
