#include "entry/attempt.h"

#include "common/log.h"
#include "common/retry.h"
#include "entry/retry.h"

#define CONNECT_TIMEOUT (1 * KNL_SEC)
#define SILENCE_TIMEOUT (2 * KNL_SEC)

/* The stream is silent during the prefill of a long prompt, so each silent resume waits longer. */
#define MAX_SILENCE_TIMEOUT (24 * KNL_SEC)

#define MIN_RESUME_DELAY (50 * KNL_MSEC)
#define MAX_RESUME_DELAY (800 * KNL_MSEC)

/* Consecutive connections that failed, were closed or violated the protocol. */
#define MAX_CONSECUTIVE_FAILURES 4

/* Consecutive unanswered report requests to an engine whose stream is silent. */
#define MAX_UNANSWERED_PROBES 2
#define PROBE_RETRY_DELAY     (100 * KNL_MSEC)

/* Bounds an attempt at an engine whose connections all break after a few tokens. */
#define MAX_RESUMES 64

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
  guint consecutive_failures;
  KnlTime last_seen_at;    /* time of the last event of a stream, or of its start */
  guint unanswered_probes; /* consecutive probes without a report */
  guint resumes;
  gboolean accepted;
  gboolean sent;            /* a connection may have delivered the request to the engine */
  gboolean request_unknown; /* the engine reported that it has no such request */
  gboolean ended;           /* no more events */
  guint callback_depth;     /* nesting of callbacks; the attempt is freed at 0 */
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
  self->ended = TRUE;
  knl_timer_stop (self->host.kernel, &self->timer);
  ep_call_cancel (self->host.client, &self->probe);
  if (self->stream != NULL)
    ep_stream_close (self->host.client, self->stream);
  self->stream = NULL;
}

static void
enter_callback (EnAttempt *self)
{
  self->callback_depth++;
}

static void
leave_callback (EnAttempt *self)
{
  if (--self->callback_depth == 0 && self->ended)
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
  if (self->ended)
    return;
  enter_callback (self);
  stop_work (self);
  cancel_at_engine (self);
  leave_callback (self);
}

static void
report_loss (EnAttempt *self, const EnLoss *loss)
{
  EnLoss reported_loss = *loss;

  reported_loss.accepted = self->accepted;
  stop_work (self);
  if (loss->kind == POL_LOSS_NOT_RUN || loss->kind == POL_LOSS_FAILED)
    return_charge (self);
  else
    cancel_at_engine (self);
  self->events->on_lost (self, &reported_loss, self->data);
}

static void
report_unknown_loss (EnAttempt *self, gboolean crashed, const char *detail)
{
  EnLoss loss = { .kind = POL_LOSS_UNKNOWN, .crashed = crashed, .detail = detail };

  report_loss (self, &loss);
}

void
en_attempt_engine_restarted (EnAttempt *self)
{
  if (self->ended)
    return;
  enter_callback (self);
  report_unknown_loss (self, TRUE, "the engine restarted");
  leave_callback (self);
}

static void
on_accepted (EpStream *stream, gpointer data)
{
  EnAttempt *self = data;

  self->last_seen_at = knl_kernel_now (self->host.kernel);
  if (self->accepted)
    return;
  self->accepted = TRUE;
  enter_callback (self);
  self->events->on_accepted (self, self->data);
  leave_callback (self);
}

static void
on_tokens (EpStream *stream, guint64 offset, guint count, const char *text, gpointer data)
{
  EnAttempt *self = data;
  const char *fresh;
  guint fresh_count;
  guint64 fresh_offset = self->progress->tokens;

  enter_callback (self);
  self->consecutive_failures = 0;
  self->unanswered_probes = 0;
  self->last_seen_at = knl_kernel_now (self->host.kernel);
  self->silence = SILENCE_TIMEOUT;
  cm_backoff_reset (&self->backoff);
  cm_invariant (offset == self->replay.tokens, "a stream's offsets are consecutive");
  if (!en_replay_add (&self->replay, self->progress, count, text, &fresh, &fresh_count))
    {
      EnLoss loss = { .kind = POL_LOSS_MISMATCH, .detail = "another engine's answer differs" };

      report_loss (self, &loss);
    }
  else if (fresh_count > 0)
    self->events->on_tokens (self, fresh_offset, fresh_count, fresh, self->data);
  leave_callback (self);
}

static void
on_end (EpStream *stream, guint64 count, const char *finish, gpointer data)
{
  EnAttempt *self = data;

  enter_callback (self);
  self->stream = NULL;
  if (self->generate.hold)
    self->events->on_end (self, count, finish, self->data);
  else if (count != self->progress->tokens)
    {
      EnLoss loss = { .kind = POL_LOSS_MISMATCH, .detail = "the answer ended too soon" };

      report_loss (self, &loss);
    }
  else
    {
      stop_work (self);
      return_charge (self);
      self->events->on_end (self, count, finish, self->data);
    }
  leave_callback (self);
}

static void start_stream (gpointer data);
static void on_probe_report (const EpReport *report, gpointer data);

static void
schedule_resume (EnAttempt *self)
{
  KnlKernel *kernel = self->host.kernel;

  if (self->consecutive_failures >= MAX_CONSECUTIVE_FAILURES || ++self->resumes > MAX_RESUMES)
    {
      report_unknown_loss (self, FALSE, "the engine went silent");
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
  self->probe = ep_client_report (self->host.client, self->address, on_probe_report, self);
}

/*
 * The stream is silent and report requests over separate connections are unanswered: the engine is
 * stopped or unreachable, and the caller needn't wait for it.
 */
static void
handle_unanswered_probe (EnAttempt *self)
{
  if (++self->unanswered_probes >= MAX_UNANSWERED_PROBES)
    report_unknown_loss (self, FALSE, "the engine went silent");
  else
    self->timer = knl_timer_start (self->host.kernel, PROBE_RETRY_DELAY, probe, self);
}

/*
 * A silent stream doesn't prove that the engine is down: it may be prefilling, or only this
 * connection may be lost. A report over another connection tells these cases apart.
 */
static void
on_probe_report (const EpReport *report, gpointer data)
{
  EnAttempt *self = data;

  enter_callback (self);
  self->probe = 0;
  if (report != NULL)
    en_fleet_note_incarnation (self->host.fleet, self->endpoint, report->incarnation);
  if (self->ended)
    {
      leave_callback (self);
      return;
    }
  if (report == NULL)
    handle_unanswered_probe (self);
  else if (self->incarnation != 0 && report->incarnation != self->incarnation)
    report_unknown_loss (self, TRUE, "the engine restarted");
  else if (self->request_unknown)
    report_unknown_loss (self, FALSE, "the engine has lost the request");
  else
    {
      self->incarnation = report->incarnation;
      self->consecutive_failures = 0;
      self->unanswered_probes = 0;
      self->silence = MIN (self->silence * 2, MAX_SILENCE_TIMEOUT);
      schedule_resume (self);
    }
  leave_callback (self);
}

static gboolean
is_silent (const EnAttempt *self)
{
  return knl_kernel_now (self->host.kernel) - self->last_seen_at >= self->silence;
}

static void
handle_resume_failure (EnAttempt *self, const EpFailure *failure)
{
  if (failure->kind == EP_REFUSED)
    {
      /* The engine has no such request: it restarted, or its hold time has expired. */
      self->request_unknown = TRUE;
      probe (self);
    }
  else if (failure->kind == EP_CUT && is_silent (self))
    probe (self);
  else if (failure->kind == EP_NOT_SENT
           && self->consecutive_failures + 1 >= MAX_CONSECUTIVE_FAILURES)
    report_unknown_loss (self, TRUE, "the engine can't be reached");
  else
    {
      /* A connection that was closed or violated the protocol says nothing about the engine. */
      self->consecutive_failures++;
      schedule_resume (self);
    }
}

static void
on_failed (EpStream *stream, const EpFailure *failure, gpointer data)
{
  EnAttempt *self = data;
  EnLoss loss = { .kind = pol_end_loss (en_end_of (failure->kind)),
                  .leaving = failure->leaving,
                  .detail = failure->detail };
  gboolean first = !self->sent;

  enter_callback (self);
  self->stream = NULL;
  if (failure->kind != EP_NOT_SENT)
    self->sent = TRUE;
  if (loss.kind == POL_LOSS_FAILED)
    report_loss (self, &loss);
  else if (first && loss.kind == POL_LOSS_NOT_RUN)
    {
      loss.refused = failure->kind == EP_REFUSED;
      report_loss (self, &loss);
    }
  else
    handle_resume_failure (self, failure);
  leave_callback (self);
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
  self->last_seen_at = knl_kernel_now (self->host.kernel);
  self->generate.resume = self->sent;
  self->generate.from_offset = self->replay.tokens;
  self->generate.connect_timeout = MIN (CONNECT_TIMEOUT, left);
  self->generate.first_byte_timeout = self->silence;
  self->generate.idle_timeout = self->silence;
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
  self->silence = SILENCE_TIMEOUT;
  self->backoff = (CmBackoff){ .first = MIN_RESUME_DELAY, .limit = MAX_RESUME_DELAY };
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
