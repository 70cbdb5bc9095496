/**
 * Requests that may run at most once: their record is made durable before they are
 * sent to any endpoint, and their outcome is recorded before they end.
 */

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "entry/core_internal.h"

#define BEGIN_TIMEOUT  (3 * KNL_SEC)
#define FINISH_TIMEOUT (2 * KNL_SEC)

/* Longer answers aren't stored; a repeated request only gets the outcome of the first one. */
#define MAX_STORED_ANSWER ((gsize)64 * 1024)

#define RETRY_AFTER (1 * KNL_SEC)

/* Error that ends a request on a verdict other than RUN and DONE. */
typedef struct
{
  EnErrorCode code;
  EnOutcome outcome;
  const char *message;
  KnlTime retry_after;
} VerdictRow;

static const VerdictRow verdict_rows[] = {
  [ALDERTURN__IDEM_VERDICT__IDEM_VERDICT_UNSPECIFIED] = { EN_ERROR_UNAVAILABLE, EN_OUTCOME_NOT_RUN,
                                                          "no record is possible now",
                                                          RETRY_AFTER },
  [ALDERTURN__IDEM_VERDICT__IDEM_VERDICT_BUSY] = { EN_ERROR_KEY_IN_USE, EN_OUTCOME_UNKNOWN,
                                                   "another request with this key may be running",
                                                   RETRY_AFTER },
  [ALDERTURN__IDEM_VERDICT__IDEM_VERDICT_FAILED] = { EN_ERROR_ENDPOINT_FAILED, EN_OUTCOME_FAILED,
                                                     "it ran before and failed", 0 },
  [ALDERTURN__IDEM_VERDICT__IDEM_VERDICT_UNKNOWN] = { EN_ERROR_KEY_IN_USE, EN_OUTCOME_UNKNOWN,
                                                      "the outcome of an earlier attempt can't be "
                                                      "known; it is not run again",
                                                      0 },
  [ALDERTURN__IDEM_VERDICT__IDEM_VERDICT_MISMATCH] = { EN_ERROR_KEY_MISMATCH, EN_OUTCOME_NOT_RUN,
                                                       "this key was used for another request", 0 },
  [ALDERTURN__IDEM_VERDICT__IDEM_VERDICT_REFUSED] = { EN_ERROR_UNAVAILABLE, EN_OUTCOME_NOT_RUN,
                                                      "no record is possible now", RETRY_AFTER },
};

static void
end_with_error (EnCore *core, EnRequest *request, const VerdictRow *row)
{
  EnError error = {
    .code = row->code,
    .outcome = row->outcome,
    .message = row->message,
    .retry_after = row->retry_after,
  };

  en_core_end_error (core, request, &error);
}

static gboolean
replay_stream (EnCore *core, EnRequest *request, const EnRecordVerdict *verdict)
{
  json_t *json = json_loadb (verdict->body, verdict->body_bytes, 0, NULL);
  const char *text = json_string_value (json_object_get (json, "text"));
  json_int_t count = json_integer_value (json_object_get (json, "count"));
  EnAnswer answer = {
    .count = (guint64)count,
    .finish = json_string_value (json_object_get (json, "finish")),
    .outcome = EN_OUTCOME_DONE,
  };

  if (text != NULL)
    {
      request->caller->klass->begin (request->caller, request->id);
      if (count > 0)
        request->caller->klass->tokens (request->caller, request->id, 0, (guint)count, text);
      en_core_end_done (core, request, &answer);
    }
  json_decref (json);
  return text != NULL;
}

static void
replay (EnCore *core, EnRequest *request, const EnRecordVerdict *verdict)
{
  static const VerdictRow not_kept = { EN_ERROR_KEY_IN_USE, EN_OUTCOME_DONE,
                                       "it ran; its answer was too large to be kept", 0 };
  EnAnswer answer = {
    .status = verdict->status,
    .content_type = verdict->content_type,
    .body = verdict->body,
    .body_bytes = verdict->body_bytes,
    .outcome = EN_OUTCOME_DONE,
  };

  en_request_note (request, knl_kernel_now (core->kernel), "answered-from-record", "%s",
                   verdict->attempt);
  if (verdict->status == 0)
    end_with_error (core, request, &not_kept);
  else if (request->model == NULL)
    en_core_end_done (core, request, &answer);
  else if (!replay_stream (core, request, verdict))
    end_with_error (core, request, &not_kept);
}

static void
on_begun (const EnRecordVerdict *verdict, gpointer data)
{
  EnRequest *request = data;
  EnCore *core = request->core;

  request->record_call = 0;
  if (verdict->verdict == ALDERTURN__IDEM_VERDICT__IDEM_VERDICT_RUN)
    {
      request->recorded = TRUE;
      en_request_note (request, knl_kernel_now (core->kernel), "recorded", NULL);
      en_core_run (core, request);
    }
  else if (verdict->verdict == ALDERTURN__IDEM_VERDICT__IDEM_VERDICT_DONE)
    replay (core, request, verdict);
  else if ((guint)verdict->verdict < G_N_ELEMENTS (verdict_rows))
    end_with_error (core, request, &verdict_rows[verdict->verdict]);
  else
    end_with_error (core, request, &verdict_rows[0]);
}

void
en_core_start_record (EnCore *core, EnRequest *request)
{
  KnlTime left = request->deadline - knl_kernel_now (core->kernel);

  en_request_set_state (request, EN_STATE_RECORDING);
  request->answer = g_string_new (NULL);
  request->record_call =
      en_records_begin (core->records, request->workspace, request->key, request->fingerprint,
                        request->id, MIN (BEGIN_TIMEOUT, left), on_begun, request);
}

void
en_core_append_answer (EnRequest *request, const char *text)
{
  if (request->answer != NULL && request->answer->len <= MAX_STORED_ANSWER)
    g_string_append (request->answer, text);
}

static Alderturn__IdemState
state_of (EnOutcome outcome)
{
  switch (outcome)
    {
    case EN_OUTCOME_NOT_RUN:
      return ALDERTURN__IDEM_STATE__IDEM_STATE_NOT_RUN;
    case EN_OUTCOME_DONE:
      return ALDERTURN__IDEM_STATE__IDEM_STATE_DONE;
    case EN_OUTCOME_FAILED:
      return ALDERTURN__IDEM_STATE__IDEM_STATE_FAILED;
    case EN_OUTCOME_UNKNOWN:
      break;
    }
  return ALDERTURN__IDEM_STATE__IDEM_STATE_UNKNOWN;
}

void
en_core_close_record (EnCore *core, EnRequest *request, EnOutcome outcome)
{
  EnRecordFinish finish = {
    .workspace = request->workspace,
    .key = request->key,
    .attempt = request->id,
    .state = state_of (outcome),
  };

  /* A begin without a verdict is recorded as not run; a pending finish continues by itself. */
  en_records_abandon (core->records, &request->record_call);
  if (request->recorded && !request->record_closed)
    en_records_finish (core->records, &finish, 0, NULL, NULL);
  request->record_closed = TRUE;
}

static void
copy_answer (EnRequest *request, const EnAnswer *answer)
{
  request->pending_answer = (EnAnswer){
    .count = answer->count,
    .finish = g_strdup (answer->finish),
    .status = answer->status,
    .content_type = g_strdup (answer->content_type),
    .body = g_memdup2 (answer->body, answer->body_bytes),
    .body_bytes = answer->body_bytes,
    .outcome = answer->outcome,
  };
}

static void
on_finished (gboolean durable, gpointer data)
{
  EnRequest *request = data;

  request->record_call = 0;
  en_request_note (request, knl_kernel_now (request->core->kernel), "outcome-recorded", "%s",
                   durable ? "durable" : "not yet durable");
  en_core_end_done (request->core, request, &request->pending_answer);
}

static char *
stored_stream_json (const EnRequest *request, const EnAnswer *answer)
{
  json_t *json = json_pack ("{s:s%, s:I, s:s*}", "text", request->answer->str, request->answer->len,
                            "count", (json_int_t)answer->count, "finish", answer->finish);
  char *text = json_dumps (json, JSON_COMPACT);

  json_decref (json);
  return text;
}

/*
 * The caller gets the answer only after the outcome "done" is recorded. Otherwise,
 * if the entry died in between, a repeated request with the key would get "unknown"
 * although the answer had already been delivered.
 */
void
en_core_complete (EnCore *core, EnRequest *request, const EnAnswer *answer)
{
  char *stream = NULL;
  EnRecordFinish finish = {
    .workspace = request->workspace,
    .key = request->key,
    .attempt = request->id,
    .state = state_of (answer->outcome),
  };

  if (!request->recorded)
    {
      en_core_end_done (core, request, answer);
      return;
    }
  copy_answer (request, answer);
  if (request->model == NULL && answer->body_bytes <= MAX_STORED_ANSWER)
    {
      finish.status = answer->status;
      finish.content_type = answer->content_type;
      finish.body = answer->body;
      finish.body_bytes = answer->body_bytes;
    }
  else if (request->model != NULL && request->answer->len <= MAX_STORED_ANSWER)
    {
      stream = stored_stream_json (request, answer);
      finish.status = 200;
      finish.content_type = "application/json";
      finish.body = stream;
      finish.body_bytes = strlen (stream);
    }
  knl_timer_stop (core->kernel, &request->deadline_timer);
  request->record_closed = TRUE;
  request->record_call = en_records_finish (
      core->records, &finish,
      CLAMP (request->deadline - knl_kernel_now (core->kernel), KNL_MSEC, FINISH_TIMEOUT),
      on_finished, request);
  free (stream);
}
