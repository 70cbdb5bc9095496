#include "ctl/session.h"

#include <string.h>

#include "ctl/change.h"

#define HTTP_OK            200
#define HTTP_UNAVAILABLE   503
#define HTTP_CONFLICT      409
#define HTTP_UNPROCESSABLE 422

#define MIN_RETRY_DELAY (100 * KNL_MSEC)
#define MAX_RETRY_DELAY (2 * KNL_SEC)

static const char *
string_member (const json_t *object, const char *name)
{
  const char *text = json_string_value (json_object_get (object, name));

  return text != NULL ? text : "";
}

/* Controllers send "error" as a string, entries as an object with a "message". */
static const char *
error_text (const ClReply *reply)
{
  const json_t *error = json_object_get (reply->body, "error");

  if (json_is_object (error))
    return string_member (error, "message");
  return error != NULL ? string_member (reply->body, "error") : "no reason given";
}

ClResult *
cl_result_from_reply (const char *address, const ClReply *reply)
{
  if (reply->state == CL_REPLY_NOT_SENT)
    return cl_result_new (CL_NOT_RUN, "can't reach %s: %s", address, reply->problem);
  if (reply->state == CL_REPLY_LOST)
    return cl_result_new (CL_UNKNOWN, "%s: %s", address, reply->problem);
  if (reply->status >= 400 && reply->status < 500)
    return cl_result_new (CL_REFUSED, "%s refused (%d): %s", address, reply->status,
                          error_text (reply));
  if (strcmp (string_member (reply->body, "outcome"), "not-run") == 0)
    return cl_result_new (CL_NOT_RUN, "%s did not run it (%d): %s", address, reply->status,
                          error_text (reply));
  return cl_result_new (CL_UNKNOWN, "%s failed (%d): %s", address, reply->status,
                        error_text (reply));
}

static ClReply *
session_get_once (ClSession *session, const char *address, const char *path, KnlTime timeout)
{
  ClCall call = {
    .address = address,
    .path = path,
    .token = session->token,
    .timeout = timeout,
  };
  ClReply *reply;

  session->transport->klass->call (session->transport, &call, 1, &reply);
  return reply;
}

void
cl_session_get_all (ClSession *session,
                    const char *const *addresses,
                    guint count,
                    const char *path,
                    ClReply **replies)
{
  ClCall *calls = g_new0 (ClCall, count);

  for (guint i = 0; i < count; i++)
    calls[i] = (ClCall){
      .address = addresses[i],
      .path = path,
      .token = session->token,
      .timeout = session->call_timeout,
    };
  session->transport->klass->call (session->transport, calls, count, replies);
  g_free (calls);
}

static gboolean
session_has_address (const ClSession *session, ClResult **failure)
{
  if (session->addresses[0] != NULL)
    return TRUE;
  *failure = cl_result_new (CL_BAD, "no controller is given: use --controller-address or "
                                    "ALDERTURN_CONTROLLER_ADDRESS");
  return FALSE;
}

json_t *
cl_session_get (ClSession *session, const char *path, KnlTime extra_timeout, ClResult **failure)
{
  ClResult *last = NULL;

  if (!session_has_address (session, failure))
    return NULL;
  for (guint i = 0; session->addresses[i] != NULL; i++)
    {
      ClReply *reply = session_get_once (session, session->addresses[i], path,
                                         session->call_timeout + extra_timeout);

      if (reply->state == CL_REPLY_ANSWERED && reply->status == HTTP_OK && reply->body != NULL)
        {
          json_t *body = json_incref (reply->body);

          cl_reply_free (reply);
          cl_result_free (last);
          return body;
        }
      cl_result_free (last);
      last = cl_result_from_reply (session->addresses[i], reply);
      cl_reply_free (reply);
      if (last->status == CL_REFUSED)
        break;
      /* A GET changes nothing, so a lost answer is equivalent to a request that was not run. */
      last->status = CL_NOT_RUN;
    }
  *failure = last;
  return NULL;
}

typedef struct
{
  ClSession *session;
  const GPtrArray *changes;
  char *operation;
  char *body;
  KnlTime deadline;
  gboolean dry_run;
  gboolean uncertain; /* an earlier attempt may have taken effect */
} ApplyOperation;

static void
apply_operation_init (ApplyOperation *apply,
                      ClSession *session,
                      const GPtrArray *changes,
                      gboolean dry_run)
{
  json_t *json;
  char *raw;

  *apply = (ApplyOperation){ .session = session, .changes = changes, .dry_run = dry_run };
  apply->deadline = session->transport->klass->now (session->transport) + session->timeout;
  if (session->operation == NULL)
    apply->operation = g_uuid_string_random ();
  else if (session->changes == 0)
    apply->operation = g_strdup (session->operation);
  else
    apply->operation = g_strdup_printf ("%s.%u", session->operation, session->changes + 1);
  session->changes++;
  json = json_pack ("{s:s, s:s, s:o, s:b}", "operation", apply->operation, "by", session->by,
                    "changes", cl_changes_to_json (changes), "dry_run", dry_run);
  raw = json_dumps (json, JSON_COMPACT);
  apply->body = g_strdup (raw);
  free (raw);
  json_decref (json);
}

static void
apply_operation_clear (ApplyOperation *apply)
{
  g_free (apply->operation);
  g_free (apply->body);
}

/* The controller's findings refer to changes by index; converts the index to a source location. */
static ClResult *
result_refused (const ApplyOperation *apply, const ClReply *reply)
{
  ClResult *result = cl_result_new (CL_REFUSED, "refused; nothing was changed");
  size_t index;
  json_t *finding;

  json_array_foreach (json_object_get (reply->body, "findings"), index, finding)
  {
    json_int_t number = json_integer_value (json_object_get (finding, "index"));
    const char *where = json_string_value (json_object_get (finding, "where"));
    const ClChange *change = NULL;
    ClLocation location = { 0, 0 };

    if (number >= 0 && number < (json_int_t)apply->changes->len)
      change = g_ptr_array_index (apply->changes, (guint)number);
    if (change != NULL)
      location = cl_change_locate (change, where);
    cm_findings_add (&result->findings, change != NULL ? change->source : "controller",
                     location.line, location.column, where, "%s", string_member (finding, "text"));
  }
  return result;
}

static ClResult *
result_conflict (const ClReply *reply)
{
  json_t *conflict = json_object_get (reply->body, "conflict");
  ClResult *result =
      cl_result_new (CL_CONFLICT,
                     "conflict on %s %s: revision %" JSON_INTEGER_FORMAT " was expected, it is at "
                     "%" JSON_INTEGER_FORMAT " by operation %s of %s; nothing was changed",
                     string_member (conflict, "kind"), string_member (conflict, "name"),
                     json_integer_value (json_object_get (conflict, "expected")),
                     json_integer_value (json_object_get (conflict, "found")),
                     string_member (conflict, "operation"), string_member (conflict, "by"));

  if (conflict != NULL)
    cl_result_set (result, "conflict", json_incref (conflict));
  return result;
}

static ClResult *
result_applied (const ClReply *reply)
{
  json_t *revision = json_object_get (reply->body, "revision");
  ClResult *result =
      cl_result_new (CL_DONE, "revision %" JSON_INTEGER_FORMAT, json_integer_value (revision));

  if (revision != NULL)
    cl_result_set (result, "revision", json_incref (revision));
  return result;
}

/* Makes one attempt. The result is final unless its status is CL_NOT_RUN or CL_UNKNOWN. */
static ClResult *
apply_operation_try (ApplyOperation *apply, const char *address, KnlTime left)
{
  ClSession *session = apply->session;
  ClCall call = {
    .address = address,
    .path = "/v1/apply",
    .body = apply->body,
    .token = session->token,
    .timeout = MIN (session->call_timeout, left),
  };
  ClReply *reply;
  gboolean answered;
  ClResult *result;

  session->transport->klass->call (session->transport, &call, 1, &reply);
  answered = reply->state == CL_REPLY_ANSWERED;
  if (answered && reply->status == HTTP_OK)
    result = result_applied (reply);
  else if (answered && reply->status == HTTP_CONFLICT)
    result = result_conflict (reply);
  else if (answered && reply->status == HTTP_UNPROCESSABLE)
    result = result_refused (apply, reply);
  else
    result = cl_result_from_reply (address, reply);
  cl_reply_free (reply);
  return result;
}

static gboolean
is_final (const ClResult *result)
{
  return result->status != CL_NOT_RUN && result->status != CL_UNKNOWN;
}

/* Doubles with each round over the addresses. No jitter, as a single client can't cause
 * synchronized retries. */
static KnlTime
backoff_after_round (guint round)
{
  return MIN (MIN_RETRY_DELAY << MIN (round, 10), MAX_RETRY_DELAY);
}

/*
 * Minimum time left for another attempt to be made. An attempt cut short by the
 * command's own deadline ends as CL_UNKNOWN, even if all earlier attempts were
 * certainly not run. Once the outcome of an earlier attempt is unknown, that
 * can't make the result worse, and an answer may settle it.
 */
static KnlTime
apply_operation_min_time (const ApplyOperation *apply)
{
  return apply->uncertain ? KNL_MSEC : apply->session->call_timeout;
}

static ClResult *
apply_operation_run (ApplyOperation *apply)
{
  ClSession *session = apply->session;
  ClTransport *transport = session->transport;
  ClResult *result = NULL;

  for (guint i = 0;; i++)
    {
      guint count = g_strv_length (session->addresses);
      KnlTime left = apply->deadline - transport->klass->now (transport);

      if (result != NULL && left < apply_operation_min_time (apply))
        break;
      cl_result_free (result);
      result = apply_operation_try (apply, session->addresses[i % count], MAX (left, KNL_MSEC));
      if (is_final (result))
        break;
      apply->uncertain = apply->uncertain || result->status == CL_UNKNOWN;
      if ((i + 1) % count != 0)
        continue;
      if (apply->dry_run)
        break;
      transport->klass->pause (transport,
                               MIN (backoff_after_round (i / count), MAX (left, KNL_MSEC)));
    }
  /* An attempt whose answer was lost may have changed the configuration; a later "not run" refers
   * to its own attempt only. Reporting CL_NOT_RUN would make the operator repeat the change. */
  if (!is_final (result))
    result->status = apply->uncertain && !apply->dry_run ? CL_UNKNOWN : CL_NOT_RUN;
  return result;
}

ClResult *
cl_session_apply (ClSession *session, const GPtrArray *changes, gboolean dry_run)
{
  ApplyOperation apply;
  ClResult *result = NULL;

  if (!session_has_address (session, &result))
    return result;
  apply_operation_init (&apply, session, changes, dry_run);
  result = apply_operation_run (&apply);
  cl_result_set (result, "operation", json_string (apply.operation));
  if (result->status == CL_UNKNOWN)
    cl_result_note (result,
                    "it is unknown whether this took effect; the same command with --operation %s "
                    "finds out and applies it at most once",
                    apply.operation);
  apply_operation_clear (&apply);
  return result;
}
