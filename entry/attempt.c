#include "entry/attempt.h"

#include "common/log.h"
#include "common/retry.h"

#define CONNECT_LIMIT (1 * KNL_SEC)
#define SILENCE_LIMIT (2 * KNL_SEC)

/* The stream is silent during the prefill of a long prompt, so each silent resume waits longer. */
#define SILENCE_LIMIT_MOST (24 * KNL_SEC)

#define RESUME_FIRST (50 * KNL_MSEC)
#define RESUME_LIMIT (800 * KNL_MSEC)

/* Consecutive connections that failed, were closed or violated the protocol. */
#define STRIKES_MOST 4

/* Consecutive unanswered report requests to an engine whose stream is silent. */
#define PROBES_MOST 2
#define PROBE_PAUSE (100 * KNL_MSEC)

/* Bounds an attempt at an engine whose connections all break after a few tokens. */
#define RESUMES_MOST 64

struct EnAttempt
{
  EnAttemptHost host;
  const EnAttemptEvents *events;
  gpointer data;
  char *endpoint;
  char *address;
  guint64 incarnation;
  EnCharge *charge;
  EnProgress *progress;
  EnReplay replay;
  char *request;
  char *model;
  char *adapter;
  char *imports;
  GBytes *prompt;
  EpGenerate generate; /* its strings are owned by the fields above */
  KnlTime deadline;
  EpStream *stream;
  EpCallId probe;
  KnlTimerId timer;
  CmBackoff backoff;
  KnlTime silence;
  guint strikes;
  KnlTime heard_at; /* time of the last event of a stream, or of its start */
  guint unanswered; /* consecutive probes without a report */
  guint resumes;
  gboolean accepted;
  gboolean sent;          /* a connection may have delivered the request to the engine */
  gboolean unknown_there; /* the engine reported that it has no such request */
  gboolean over;          /* no more events */
  guint depth;            /* nesting of callbacks; the attempt is freed at 0 */
};

static void
attempt_destroy (EnAttempt *self)
{
  en_replay_clear (&self->replay);
  g_bytes_unref (self->prompt);
  g_free (self->endpoint);
  g_free (self->address);
  g_free (self->request);
  g_free (self->model);
  g_free (self->adapter);
  g_free (self->imports);
  g_free (self);
}

static void
stop_work (EnAttempt *self)
{
  self->over = TRUE;
  knl_timer_stop (self->host.kernel, &self->timer);
  ep_call_cancel (self->host.client, &self->probe);
  if (self->stream != NULL)
    ep_stream_close (self->host.client, self->stream);
  self->stream = NULL;
}

static void
enter (EnAttempt *self)
{
  self->depth++;
}

static void
leave (EnAttempt *self)
{
  if (--self->depth == 0 && self->over)
    attempt_destroy (self);
}

static void
return_charge (EnAttempt *self)
{
  if (self->charge != NULL)
    en_charge_return (self->charge, self->host.fleet);
  self->charge = NULL;
}

static void
cancel_at_engine (EnAttempt *self)
{
  en_cancels_add (self->host.cancels, self->address, self->request, self->charge, !self->accepted);
  self->charge = NULL;
}

void
en_attempt_abort (EnAttempt *self)
{
  if (self->over)
    return;
  enter (self);
  stop_work (self);
  cancel_at_engine (self);
  leave (self);
}

static void
lose (EnAttempt *self, const EnLoss *loss)
{
  EnLoss told = *loss;

  told.accepted = self->accepted;
  stop_work (self);
  if (loss->kind == POL_LOSS_NOT_RUN || loss->kind == POL_LOSS_FAILED)
    return_charge (self);
  else
    cancel_at_engine (self);
  self->events->on_lost (self, &told, self->data);
}

static void
lose_unknown (EnAttempt *self, gboolean crashed, const char *detail)
{
  EnLoss loss = { .kind = POL_LOSS_UNKNOWN, .crashed = crashed, .detail = detail };

  lose (self, &loss);
}

void
en_attempt_engine_restarted (EnAttempt *self)
{
  if (self->over)
    return;
  enter (self);
  lose_unknown (self, TRUE, "the engine restarted");
  leave (self);
}

static void
on_accepted (EpStream *stream, gpointer data)
{
  EnAttempt *self = data;

  self->heard_at = knl_kernel_now (self->host.kernel);
  if (self->accepted)
    return;
  self->accepted = TRUE;
  enter (self);
  self->events->on_accepted (self, self->data);
  leave (self);
}

static void
on_tokens (EpStream *stream, guint64 offset, guint count, const char *text, gpointer data)
{
  EnAttempt *self = data;
  const char *fresh;
  guint fresh_count;
  guint64 fresh_offset = self->progress->tokens;

  enter (self);
  self->strikes = 0;
  self->unanswered = 0;
  self->heard_at = knl_kernel_now (self->host.kernel);
  self->silence = SILENCE_LIMIT;
  cm_backoff_reset (&self->backoff);
  cm_invariant (offset == self->replay.tokens, "a stream's offsets are consecutive");
  if (!en_replay_take (&self->replay, self->progress, count, text, &fresh, &fresh_count))
    {
      EnLoss loss = { .kind = POL_LOSS_MISMATCH, .detail = "another engine's answer differs" };

      lose (self, &loss);
    }
  else if (fresh_count > 0)
    self->events->on_tokens (self, fresh_offset, fresh_count, fresh, self->data);
  leave (self);
}

static void
on_end (EpStream *stream, guint64 count, const char *finish, gpointer data)
{
  EnAttempt *self = data;

  enter (self);
  self->stream = NULL;
  if (self->generate.hold)
    self->events->on_end (self, count, finish, self->data);
  else if (count != self->progress->tokens)
    {
      EnLoss loss = { .kind = POL_LOSS_MISMATCH, .detail = "the answer ended too soon" };

      lose (self, &loss);
    }
  else
    {
      stop_work (self);
      return_charge (self);
      self->events->on_end (self, count, finish, self->data);
    }
  leave (self);
}

static void start_stream (gpointer data);
static void on_probed (const EpReport *report, gpointer data);

static void
schedule_resume (EnAttempt *self)
{
  KnlKernel *kernel = self->host.kernel;

  if (self->strikes >= STRIKES_MOST || ++self->resumes > RESUMES_MOST)
    {
      lose_unknown (self, FALSE, "the engine went silent");
      return;
    }
  self->timer =
      knl_timer_start (kernel, cm_backoff_next (&self->backoff, kernel), start_stream, self);
}

static void
probe (gpointer data)
{
  EnAttempt *self = data;

  self->timer = 0;
  self->probe = ep_client_report (self->host.client, self->address, on_probed, self);
}

/*
 * The stream is silent and report requests over separate connections are unanswered: the engine is
 * stopped or unreachable, and the caller needn't wait for it.
 */
static void
probe_unanswered (EnAttempt *self)
{
  if (++self->unanswered >= PROBES_MOST)
    lose_unknown (self, FALSE, "the engine went silent");
  else
    self->timer = knl_timer_start (self->host.kernel, PROBE_PAUSE, probe, self);
}

/*
 * A silent stream doesn't prove that the engine is down: it may be prefilling, or only this
 * connection may be lost. A report over another connection tells these cases apart.
 */
static void
on_probed (const EpReport *report, gpointer data)
{
  EnAttempt *self = data;

  enter (self);
  self->probe = 0;
  if (report != NULL)
    en_fleet_saw_incarnation (self->host.fleet, self->endpoint, report->incarnation);
  if (self->over)
    {
      leave (self);
      return;
    }
  if (report == NULL)
    probe_unanswered (self);
  else if (self->incarnation != 0 && report->incarnation != self->incarnation)
    lose_unknown (self, TRUE, "the engine restarted");
  else if (self->unknown_there)
    lose_unknown (self, FALSE, "the engine has lost the request");
  else
    {
      self->incarnation = report->incarnation;
      self->strikes = 0;
      self->unanswered = 0;
      self->silence = MIN (self->silence * 2, SILENCE_LIMIT_MOST);
      schedule_resume (self);
    }
  leave (self);
}

static gboolean
went_silent (const EnAttempt *self)
{
  return knl_kernel_now (self->host.kernel) - self->heard_at >= self->silence;
}

static void
resume_failed (EnAttempt *self, const EpFailure *failure)
{
  if (failure->kind == EP_REFUSED)
    {
      /* The engine has no such request: it restarted, or its hold time has expired. */
      self->unknown_there = TRUE;
      probe (self);
    }
  else if (failure->kind == EP_CUT && went_silent (self))
    probe (self);
  else if (failure->kind == EP_NOT_SENT && self->strikes + 1 >= STRIKES_MOST)
    lose_unknown (self, TRUE, "the engine can't be reached");
  else
    {
      /* A connection that was closed or violated the protocol says nothing about the engine. */
      self->strikes++;
      schedule_resume (self);
    }
}

static void
on_failed (EpStream *stream, const EpFailure *failure, gpointer data)
{
  EnAttempt *self = data;
  EnLoss loss = { .leaving = failure->leaving, .detail = failure->detail };
  gboolean first = !self->sent;

  enter (self);
  self->stream = NULL;
  if (failure->kind != EP_NOT_SENT)
    self->sent = TRUE;
  if (failure->kind == EP_FAILED)
    {
      loss.kind = POL_LOSS_FAILED;
      lose (self, &loss);
    }
  else if (first && (failure->kind == EP_NOT_SENT || failure->kind == EP_REFUSED))
    {
      loss.kind = POL_LOSS_NOT_RUN;
      loss.refused = failure->kind == EP_REFUSED;
      lose (self, &loss);
    }
  else
    resume_failed (self, failure);
  leave (self);
}

static const EpStreamEvents stream_events = {
  .on_accepted = on_accepted,
  .on_tokens = on_tokens,
  .on_end = on_end,
  .on_failed = on_failed,
};

static void
start_stream (gpointer data)
{
  EnAttempt *self = data;
  KnlTime left = MAX (self->deadline - knl_kernel_now (self->host.kernel), KNL_MSEC);

  self->timer = 0;
  self->heard_at = knl_kernel_now (self->host.kernel);
  self->generate.resume = self->sent;
  self->generate.from_offset = self->replay.tokens;
  self->generate.connect_limit = MIN (CONNECT_LIMIT, left);
  self->generate.first_limit = self->silence;
  self->generate.idle_limit = self->silence;
  self->stream = ep_client_generate (self->host.client, &self->generate, &stream_events, self);
}

static void
copy_start (EnAttempt *self, const EnAttemptStart *start)
{
  gsize length;

  self->request = g_strdup (start->request);
  self->model = g_strdup (start->model);
  self->adapter = g_strdup (start->adapter);
  self->imports = g_strdup (start->imports);
  self->prompt = g_bytes_ref (start->prompt);
  self->progress = start->progress;
  self->deadline = start->deadline;
  self->generate = (EpGenerate){
    .address = self->address,
    .request = self->request,
    .model = self->model,
    .adapter = self->adapter,
    .imports = self->imports,
    .prompt = g_bytes_get_data (self->prompt, &length),
    .prompt_tokens = start->prompt_tokens,
    .max_tokens = start->max_tokens,
    .priority = start->priority,
    .hold = start->hold,
  };
  self->generate.prompt_bytes = length;
}

EnAttempt *
en_attempt_new (const EnAttemptHost *host,
                const EnEndpoint *endpoint,
                EnCharge *charge,
                const EnAttemptStart *start,
                const EnAttemptEvents *events,
                gpointer data)
{
  EnAttempt *self = g_new0 (EnAttempt, 1);

  self->host = *host;
  self->events = events;
  self->data = data;
  self->endpoint = g_strdup (endpoint->name);
  self->address = g_strdup (endpoint->address);
  self->incarnation = endpoint->incarnation;
  self->charge = charge;
  self->silence = SILENCE_LIMIT;
  self->backoff = (CmBackoff){ .first = RESUME_FIRST, .limit = RESUME_LIMIT };
  en_replay_init (&self->replay);
  copy_start (self, start);
  start_stream (self);
  return self;
}

const char *
en_attempt_endpoint (const EnAttempt *self)
{
  return self->endpoint;
}

const char *
en_attempt_request (const EnAttempt *self)
{
  return self->request;
}
