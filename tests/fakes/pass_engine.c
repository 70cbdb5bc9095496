#include "pass_engine.h"

#include "serve/engine_model.h"

/* One event carries as many tokens of an answer as a pass has steps (`stride`). */

/** The part of a prompt that one engine prefills. */
typedef struct
{
  FkPassRequest *request;
  FkPassEngine *engine;
  double tokens; /* not prefilled yet */
  double ms_per_token;
} Part;

struct FkPassRequest
{
  FkPassEngine *engine;
  FkPassDemand demand;
  const FkPassEvents *events;
  gpointer data;
  Part parts[FK_PASS_HELPERS + 1];
  guint parts_left;  /* parts whose prefill hasn't ended */
  guint events_made; /* events so far */
};

struct FkPassEngine
{
  KnlKernel *kernel;
  const SvEngineSpec *spec;
  double slowdown;
  GQueue waiting; /* FkPassRequest */
  GPtrArray *running;
  GQueue parts;         /* Part, in the order of their prefill */
  GPtrArray *prefilled; /* Part, whose prefill ended in the current pass */
  GPtrArray *decoding;  /* FkPassRequest, decoding in the current pass */
  guint steps;          /* left of the current pass, including the current steps */
  guint decode_steps;   /* current steps if they only decode; 0: the current step prefills */
  KnlTime began_at;     /* when the current steps began */
  double used_tokens;
  double prefill_ms;
  KnlTimerId timer;           /* end of the current steps; 0: idle */
  gboolean is_between_passes; /* admits requests or emits events; begin_pass() returns at once */
};

static void begin_pass (FkPassEngine *self);

FkPassEngine *
fk_pass_engine_new (KnlKernel *kernel, const SvEngineSpec *spec)
{
  FkPassEngine *self = g_new0 (FkPassEngine, 1);

  self->kernel = kernel;
  self->spec = spec;
  self->slowdown = 1;
  g_queue_init (&self->waiting);
  g_queue_init (&self->parts);
  self->running = g_ptr_array_new ();
  self->prefilled = g_ptr_array_new ();
  self->decoding = g_ptr_array_new ();
  return self;
}

void
fk_pass_engine_set_slowdown (FkPassEngine *self, double slowdown)
{
  self->slowdown = slowdown;
}

void
fk_pass_engine_free (FkPassEngine *self)
{
  knl_timer_stop (self->kernel, &self->timer);
  for (guint i = 0; i < self->running->len; i++)
    g_free (g_ptr_array_index (self->running, i));
  g_queue_clear_full (&self->waiting, g_free);
  g_queue_clear (&self->parts);
  g_ptr_array_unref (self->running);
  g_ptr_array_unref (self->prefilled);
  g_ptr_array_unref (self->decoding);
  g_free (self);
}

double
fk_pass_engine_prefill_ms (const FkPassEngine *self)
{
  return self->prefill_ms;
}

static double
context_of (const FkPassRequest *request)
{
  return (double)request->demand.prompt_tokens
         + (double)request->events_made * (double)request->engine->spec->stride;
}

static double
step_ms (const FkPassEngine *self)
{
  double context = 0;

  for (guint i = 0; i < self->decoding->len; i++)
    context += context_of (g_ptr_array_index (self->decoding, i));
  return self->slowdown
         * (self->spec->step_ms + self->decoding->len * self->spec->stream_step_ms
            + context / 1000 * self->spec->context_ms_per_k);
}

/* Prefills up to `chunk` tokens from the head of the queue; returns the time that it takes, in ms.
 */
static double
prefill_chunk (FkPassEngine *self)
{
  double tokens_left = self->spec->chunk;
  double ms = 0;

  while (tokens_left > 0 && !g_queue_is_empty (&self->parts))
    {
      Part *part = g_queue_peek_head (&self->parts);
      double tokens = MIN (tokens_left, part->tokens);

      part->tokens -= tokens;
      tokens_left -= tokens;
      ms += self->slowdown * tokens * part->ms_per_token;
      if (part->tokens > 0)
        break;
      g_queue_pop_head (&self->parts);
      g_ptr_array_add (self->prefilled, part);
    }
  self->prefill_ms += ms;
  return ms;
}

static KnlTime
ms_to_time (double ms)
{
  return MAX ((KnlTime)(ms * KNL_MSEC), 1);
}

static void on_steps_end (gpointer data);

/* Begins one step that also prefills, or all remaining steps of the pass if no part is queued. */
static void
begin_steps (FkPassEngine *self)
{
  double ms = step_ms (self);

  self->began_at = knl_kernel_now (self->kernel);
  if (g_queue_is_empty (&self->parts))
    {
      self->decode_steps = self->steps;
      ms *= self->steps;
    }
  else
    {
      self->decode_steps = 0;
      ms += prefill_chunk (self);
    }
  self->timer = knl_timer_start (self->kernel, ms_to_time (ms), on_steps_end, self);
}

/* Shortens a run of decode-only steps when a part is queued: prefill begins after the current step.
 */
static void
cut_decode_steps (FkPassEngine *self)
{
  KnlTime step = ms_to_time (step_ms (self));
  KnlTime passed = knl_kernel_now (self->kernel) - self->began_at;
  guint begun = (guint)(passed / step) + 1;

  if (self->timer == 0 || self->decode_steps == 0 || begun >= self->decode_steps)
    return;
  knl_timer_stop (self->kernel, &self->timer);
  self->decode_steps = begun;
  self->timer = knl_timer_start (self->kernel, begun * step - passed, on_steps_end, self);
}

static void
wake_for_prefill (FkPassEngine *self)
{
  if (self->timer == 0)
    begin_pass (self);
  else
    cut_decode_steps (self);
}

static void
queue_parts (FkPassRequest *request)
{
  guint n = request->demand.n_helpers + 1;
  double tokens = (double)request->demand.prompt_tokens / n;
  double ms =
      sv_model_prefill_ms (request->engine->spec, (double)request->demand.prompt_tokens) / n;

  request->parts_left = n;
  for (guint i = 0; i < n; i++)
    {
      Part *part = &request->parts[i];

      *part = (Part){ .request = request,
                      .engine = i == 0 ? request->engine : request->demand.helpers[i - 1],
                      .tokens = tokens,
                      .ms_per_token = ms / MAX (tokens, 1) };
      if (i == 0)
        g_queue_push_tail (&part->engine->parts, part);
      else
        g_queue_push_head (&part->engine->parts, part);
    }
  for (guint i = 0; i < n; i++)
    wake_for_prefill (request->parts[i].engine);
}

static void
admit (FkPassEngine *self)
{
  FkPassRequest *request;

  while ((request = g_queue_peek_head (&self->waiting)) != NULL)
    {
      double need = (double)request->demand.prompt_tokens
                    + (double)request->demand.events * (double)self->spec->stride;

      if (self->running->len >= self->spec->slots
          || (self->running->len > 0
              && self->used_tokens + need > (double)self->spec->memory_tokens))
        return;
      g_queue_pop_head (&self->waiting);
      self->used_tokens += need;
      g_ptr_array_add (self->running, request);
      queue_parts (request);
    }
}

static void
end_request (FkPassRequest *request)
{
  FkPassEngine *engine = request->engine;

  engine->used_tokens -= (double)request->demand.prompt_tokens
                         + (double)request->demand.events * (double)engine->spec->stride;
  g_ptr_array_remove_fast (engine->running, request);
  request->events->done (request->data);
  g_free (request);
}

static void
emit_event (FkPassRequest *request)
{
  request->events->event (request->data, request->events_made);
  request->events_made++;
  if (request->events_made == request->demand.events)
    end_request (request);
}

/* The last part of a prompt may end at a helper while the request's own engine is idle; that engine
 * then has to begin a pass. */
static void
end_pass (FkPassEngine *self)
{
  self->is_between_passes = TRUE;
  for (guint i = 0; i < self->decoding->len; i++)
    emit_event (g_ptr_array_index (self->decoding, i));
  for (guint i = 0; i < self->prefilled->len; i++)
    {
      FkPassRequest *request = ((Part *)g_ptr_array_index (self->prefilled, i))->request;
      FkPassEngine *engine = request->engine;

      if (--request->parts_left > 0)
        continue;
      emit_event (request);
      begin_pass (engine);
    }
  self->is_between_passes = FALSE;
  begin_pass (self);
}

static void
on_steps_end (gpointer data)
{
  FkPassEngine *self = data;

  self->timer = 0;
  self->steps -= MAX (self->decode_steps, 1);
  if (self->steps > 0)
    begin_steps (self);
  else
    end_pass (self);
}

static void
begin_pass (FkPassEngine *self)
{
  if (self->timer != 0 || self->is_between_passes)
    return;
  self->is_between_passes = TRUE;
  admit (self);
  self->is_between_passes = FALSE;
  g_ptr_array_set_size (self->prefilled, 0);
  g_ptr_array_set_size (self->decoding, 0);
  for (guint i = 0; i < self->running->len; i++)
    {
      FkPassRequest *request = g_ptr_array_index (self->running, i);

      if (request->parts_left == 0)
        g_ptr_array_add (self->decoding, request);
    }
  if (self->decoding->len == 0 && g_queue_is_empty (&self->parts))
    return;
  self->steps = self->decoding->len > 0 ? self->spec->stride : 1;
  begin_steps (self);
}

FkPassRequest *
fk_pass_engine_submit (FkPassEngine *self,
                       const FkPassDemand *demand,
                       const FkPassEvents *events,
                       gpointer data)
{
  FkPassRequest *request = g_new0 (FkPassRequest, 1);

  request->engine = self;
  request->demand = *demand;
  request->events = events;
  request->data = data;
  g_queue_push_tail (&self->waiting, request);
  begin_pass (self);
  return request;
}
