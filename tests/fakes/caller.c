#include "tests/fakes/caller.h"

#include <string.h>

#include "kernel/paused.h"
#include "tests/standins/engine_model.h"

static void
caller_begin (EnCaller *base, const char *request)
{
}

static gboolean
caller_tokens (EnCaller *base, const char *request, guint64 offset, guint count, const char *text)
{
  FkCaller *self = (FkCaller *)base;
  g_autoptr (GString) expected = g_string_new (NULL);

  sd_answer_append (expected, self->prompt_hash, offset, offset + count);
  if (offset != self->received || strcmp (expected->str, text) != 0)
    self->wrong = TRUE;
  self->received = offset + count;
  if (self->first_at == 0)
    self->first_at = knl_paused_clock_now (self->clock);
  return TRUE;
}

static void
note_end (FkCaller *self, const char *request)
{
  self->ends++;
  self->ended_at = knl_paused_clock_now (self->clock);
  g_free (self->request);
  self->request = g_strdup (request);
}

static void
caller_done (EnCaller *base, const char *request, const EnAnswer *answer)
{
  FkCaller *self = (FkCaller *)base;

  note_end (self, request);
  self->outcome = answer->outcome;
  if (self->prompt_hash != 0
      && (answer->count != self->received || answer->count != self->max_tokens))
    self->wrong = TRUE;
}

static void
caller_error (EnCaller *base, const char *request, const EnError *error)
{
  FkCaller *self = (FkCaller *)base;

  note_end (self, request);
  self->failed = TRUE;
  self->outcome = error->outcome;
  self->code = error->code;
  self->retry_after = error->retry_after;
}

static const EnCallerClass caller_class = {
  .begin = caller_begin,
  .tokens = caller_tokens,
  .done = caller_done,
  .error = caller_error,
};

static FkCaller *
caller_new (KnlPausedClock *clock, guint workspace, KnlTime limit)
{
  FkCaller *self = g_new0 (FkCaller, 1);

  self->base.klass = &caller_class;
  self->clock = clock;
  self->workspace = workspace;
  self->submitted_at = knl_paused_clock_now (clock);
  self->limit = limit;
  return self;
}

FkCaller *
fk_caller_complete (KnlPausedClock *clock,
                    EnCore *core,
                    guint workspace,
                    const char *unique,
                    guint64 prompt_tokens,
                    guint64 max_tokens,
                    KnlTime limit)
{
  FkCaller *self = caller_new (clock, workspace, limit);
  gsize bytes = MAX (prompt_tokens * EN_TOKEN_BYTES, strlen (unique));
  g_autofree char *prompt = g_malloc (bytes + 1);
  char token[32];
  EnSubmission submission = { .service = "letters",
                              .prompt = prompt,
                              .prompt_bytes = bytes,
                              .max_tokens = max_tokens,
                              .timeout = limit };

  memset (prompt, 'x', bytes);
  memcpy (prompt, unique, strlen (unique));
  prompt[bytes] = '\0';
  g_snprintf (token, sizeof token, "token-%u", workspace);
  submission.token = token;
  self->prompt_hash = sd_prompt_hash (prompt, bytes);
  self->max_tokens = max_tokens;
  self->length_class = en_length_class (en_tokens_of_bytes (bytes));
  self->number = en_core_submit (core, &submission, &self->base);
  return self;
}

FkCaller *
fk_caller_confirm (KnlPausedClock *clock,
                   EnCore *core,
                   guint workspace,
                   const char *key,
                   KnlTime limit)
{
  FkCaller *self = caller_new (clock, workspace, limit);
  char token[32];
  EnSubmission submission = { .service = "desk",
                              .key = key,
                              .non_idempotent = TRUE,
                              .timeout = limit,
                              .method = "POST",
                              .path = "/confirm",
                              .content_type = "application/json",
                              .body = "{}",
                              .body_bytes = 2 };

  g_snprintf (token, sizeof token, "token-%u", workspace);
  submission.token = token;
  self->key = g_strdup (key);
  self->number = en_core_submit (core, &submission, &self->base);
  return self;
}

void
fk_caller_free (FkCaller *self)
{
  g_free (self->request);
  g_free (self->key);
  g_free (self);
}
