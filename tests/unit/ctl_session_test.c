/** How commands handle the replies of controllers and entries: exit status, retries, output. */

#include "ctl/command.h"
#include "ctl/output.h"
#include "suite.h"

#include <string.h>

#define MAX_CALLS 8

/* One scripted reply. */
typedef struct
{
  int status; /* HTTP status; 0: not sent; -1: lost */
  const char *body;
} Answer;

typedef struct
{
  ClTransport transport;
  const Answer *answers; /* the last one is repeated */
  guint count;
  guint calls;
  KnlTime now;
  gboolean uncertain;          /* an earlier attempt may have taken effect */
  char *operations[MAX_CALLS]; /* operation ids in the calls' bodies */
  GString *requests_received;  /* "ADDRESS PATH" of each call, one per line */
} FakeTransport;

static void
fake_answer (ClTransport *transport, const ClCall *call, ClReply **reply_out)
{
  FakeTransport *fake = (FakeTransport *)transport;
  const Answer *answer = &fake->answers[MIN (fake->calls, fake->count - 1)];
  ClReply *reply = g_new0 (ClReply, 1);
  json_t *body = call->body != NULL ? json_loads (call->body, 0, NULL) : NULL;

  /* An attempt cut short by the command's own deadline would turn a certain "not run" into an
   * unknown outcome. */
  CU_ASSERT_TRUE (body == NULL || fake->uncertain || call->timeout >= KNL_SEC);
  fake->uncertain = fake->uncertain || answer->status < 0 || answer->status == 500;
  if (fake->calls < MAX_CALLS)
    fake->operations[fake->calls] =
        g_strdup (json_string_value (json_object_get (body, "operation")));
  json_decref (body);
  g_string_append_printf (fake->requests_received, "%s %s\n", call->address, call->path);
  fake->calls++;
  fake->now += KNL_SEC;
  reply->state = answer->status > 0    ? CL_REPLY_ANSWERED
                 : answer->status == 0 ? CL_REPLY_NOT_SENT
                                       : CL_REPLY_LOST;
  reply->status = MAX (answer->status, 0);
  reply->problem = answer->status > 0 ? NULL : g_strdup ("gone");
  reply->body = answer->body != NULL ? json_loads (answer->body, 0, NULL) : NULL;
  *reply_out = reply;
}

static void
fake_call (ClTransport *transport, const ClCall *calls, guint count, ClReply **replies)
{
  for (guint i = 0; i < count; i++)
    fake_answer (transport, &calls[i], &replies[i]);
}

static void
fake_pause (ClTransport *transport, KnlTime time)
{
  ((FakeTransport *)transport)->now += time;
}

static KnlTime
fake_now (ClTransport *transport)
{
  return ((FakeTransport *)transport)->now;
}

static const ClTransportClass fake_class = {
  .call = fake_call,
  .pause = fake_pause,
  .now = fake_now,
};

typedef struct
{
  const char *command;
  Answer answers[4];
  ClStatus status;
  guint calls;
  const char *output; /* expected in standard output followed by standard error; or NULL */
} Row;

static void
fake_init (FakeTransport *fake, const Row *row)
{
  *fake = (FakeTransport){ .transport.klass = &fake_class, .answers = row->answers };
  fake->requests_received = g_string_new (NULL);
  while (fake->count < G_N_ELEMENTS (row->answers)
         && (row->answers[fake->count].status != 0 || row->answers[fake->count].body != NULL))
    fake->count++;
}

static void
fake_clear (FakeTransport *fake)
{
  for (guint i = 0; i < MAX_CALLS; i++)
    g_free (fake->operations[i]);
  g_string_free (fake->requests_received, TRUE);
}

static void
check_same_operation (const FakeTransport *fake)
{
  for (guint i = 1; i < MIN (fake->calls, MAX_CALLS); i++)
    CU_ASSERT_TRUE (g_strcmp0 (fake->operations[0], fake->operations[i]) == 0);
}

static ClResult *
run_command (ClSession *session, const char *text)
{
  g_auto (CmFindings) findings;
  GPtrArray *commands;
  ClCommand *command;
  ClResult *result;

  cm_findings_init (&findings);
  commands = cl_commands_parse (text, "c", NULL, &findings);
  CU_ASSERT_EQUAL_FATAL (cm_findings_count (&findings), 0);
  command = g_ptr_array_index (commands, 0);
  result = command->klass->run (command, session);
  g_ptr_array_unref (commands);
  return result;
}

static void
check_row (const Row *row)
{
  FakeTransport fake;
  char *addresses[] = { "one", "two", NULL };
  ClSession session = {
    .transport = &fake.transport,
    .addresses = addresses,
    .by = "me",
    .timeout = 4 * KNL_SEC,
    .call_timeout = KNL_SEC,
  };
  ClResult *result;
  char *text;
  char *problems;
  char *both;

  fake_init (&fake, row);
  result = run_command (&session, row->command);
  text = cl_output_text (result);
  problems = cl_output_problems (result);
  both = g_strconcat (text, problems, NULL);
  if (result->status != row->status || (row->calls > 0 && fake.calls != row->calls)
      || (row->output != NULL && strstr (both, row->output) == NULL))
    printf ("\n%s: status %d, %u calls, %s", row->command, result->status, fake.calls, both);
  CU_ASSERT_EQUAL (result->status, row->status);
  if (row->calls > 0)
    CU_ASSERT_EQUAL (fake.calls, row->calls);
  if (row->output != NULL)
    CU_ASSERT_PTR_NOT_NULL (strstr (both, row->output));
  check_same_operation (&fake);
  g_free (both);
  g_free (problems);
  g_free (text);
  cl_result_free (result);
  fake_clear (&fake);
}

#define LOST                                                                                       \
  {                                                                                                \
    -1, NULL                                                                                       \
  }
#define REFUSED                                                                                    \
  {                                                                                                \
    0, "{}"                                                                                        \
  } /* the body distinguishes it from an unused element */
#define NOT_RUN                                                                                    \
  {                                                                                                \
    503, "{\"error\":\"store\",\"outcome\":\"not-run\"}"                                           \
  }
#define DONE                                                                                       \
  {                                                                                                \
    200, "{\"revision\":9}"                                                                        \
  }

/*
 * Symptom: alderturnctl reports that a change was not made. The operator repeats it, so that it is
 * applied twice or overwrites another operator's change.
 * Sequence: the controller applies the change and its answer is lost; the next controller, or the
 * same one, answers that it did not run the second attempt.
 * Cause: the outcome of the last attempt is reported as the outcome of the change.
 */
static void
test_changes_by_table (void)
{
  static const Row rows[] = {
    { "set workspace a weight = 2", { DONE }, CL_DONE, 1, "revision 9\n" },
    { "set workspace a weight = 2", { REFUSED, DONE }, CL_DONE, 2, NULL },
    { "set workspace a weight = 2", { LOST, DONE }, CL_DONE, 2, NULL },
    { "set workspace a weight = 2", { NOT_RUN, LOST, DONE }, CL_DONE, 3, NULL },
    { "set workspace a weight = 2", { REFUSED }, CL_NOT_RUN, 0, "can't reach" },
    { "set workspace a weight = 2", { NOT_RUN }, CL_NOT_RUN, 0, "did not run it (503): store" },
    { "set workspace a weight = 2", { LOST }, CL_UNKNOWN, 0, "--operation " },
    { "set workspace a weight = 2", { LOST, NOT_RUN }, CL_UNKNOWN, 0, "--operation " },
    { "set workspace a weight = 2", { LOST, REFUSED }, CL_UNKNOWN, 0, "--operation " },
    { "set workspace a weight = 2", { { 500, NULL } }, CL_UNKNOWN, 0, "failed (500)" },
    { "set workspace a weight = 2", { { 401, "{\"error\":\"token\"}" } }, CL_REFUSED, 1, "token" },
    { "remove workspace a if revision 4",
      { { 409, "{\"conflict\":{\"kind\":\"workspace\",\"name\":\"a\",\"expected\":4,\"found\":7,"
               "\"operation\":\"X\",\"by\":\"ann\"}}" } },
      CL_CONFLICT,
      1,
      "conflict on workspace a: revision 4 was expected, it is at 7 by operation X of ann" },
    { "set service s model = m, kind = model, endpoints = e",
      { { 422, "{\"findings\":[{\"index\":0,\"where\":\"service s.model\",\"text\":\"no model m\"},"
               "{\"index\":3,\"where\":null,\"text\":\"odd\"}]}" } },
      CL_REFUSED,
      1,
      "c:1:15: service s.model: no model m\ncontroller: odd\n" },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    check_row (&rows[i]);
}

#define INSTANCES                                                                                  \
  {                                                                                                \
    200, "{\"revision\":9,\"rows\":[{\"name\":\"e1\",\"kind\":\"entry\",\"address\":\"a1\"},"      \
         "{\"name\":\"e1\",\"kind\":\"controller\",\"address\":\"a2\"},"                           \
         "{\"name\":\"e2\",\"kind\":\"entry\",\"address\":\"a3\"}]}"                               \
  }
#define REQUESTS(id)                                                                               \
  {                                                                                                \
    200, "{\"rows\":[{\"request\":\"" id "\",\"tokens\":5}]}"                                      \
  }

static void
test_reads_by_table (void)
{
  static const Row rows[] = {
    { "show instances where kind = entry columns name, address",
      { LOST, INSTANCES },
      CL_DONE,
      2,
      "name  address\ne1    a1\ne2    a3\n" },
    { "show instances", { LOST }, CL_NOT_RUN, 2, "two: gone" },
    { "show workspaces where weight = 1 columns name, max-in-flight",
      { { 200, "{\"rows\":[{\"name\":\"a\"},{\"name\":\"b\",\"weight\":2}]}" } },
      CL_DONE,
      1,
      "name  max-in-flight\na     0\n" },
    { "show requests columns request, tokens, entry order by request desc",
      { INSTANCES, REQUESTS ("r1"), REQUESTS ("r2") },
      CL_DONE,
      3,
      "request  tokens  entry\nr2       5       e2\nr1       5       e1\n" },
    { "show requests columns request",
      { INSTANCES, REQUESTS ("r1"), LOST },
      CL_NOT_RUN,
      3,
      "request\nr1\nnote: no answer from entry e2 (a3: gone)\n" },
    { "why e2~1~7",
      { INSTANCES, { 200, "{\"events\":[{\"at_ms\":3,\"event\":\"routed\",\"detail\":\"g1\"}]}" } },
      CL_DONE,
      2,
      "at_ms  event   detail  entry\n3      routed  g1      e2\n" },
    { "why gone~1~7", { INSTANCES, { 404, "{}" } }, CL_REFUSED, 3, "no entry knows" },
    { "why e1~1~7", { INSTANCES, LOST }, CL_NOT_RUN, 2, "note: no answer from entry e1" },
    { "wait revision 9", { { 200, "{\"revision\":9,\"in_force\":true}" } }, CL_DONE, 1, NULL },
    { "wait revision 9 for 3",
      { { 200, "{\"in_force\":false,\"lagging\":[{\"instance\":\"e2\",\"revision\":8}]}" } },
      CL_NOT_IN_FORCE,
      3,
      "instance  revision\ne2        8\nrevision 9 is not in force yet\n" },
    { "wait revision 9 for 2", { LOST }, CL_NOT_RUN, 2, NULL },
    { "help wait", { LOST }, CL_DONE, 0, "wait revision N [for SECONDS]\n" },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    check_row (&rows[i]);
}

static void
test_json_output (void)
{
  ClResult *result = cl_result_new (CL_REFUSED, "no");
  char *json;

  cm_findings_add (&result->findings, "f", 1, 2, NULL, "bad \"x\"");
  cl_result_note (result, "gap");
  cl_result_set (result, "revision", json_integer (3));
  json = cl_output_json ("set", result);
  CU_ASSERT_STRING_EQUAL (json, "{\"command\":\"set\",\"status\":\"refused\",\"exit\":2,"
                                "\"message\":\"no\",\"findings\":[{\"source\":\"f\",\"line\":1,"
                                "\"column\":2,\"where\":null,\"text\":\"bad \\\"x\\\"\"}],"
                                "\"notes\":[\"gap\"],\"revision\":3}");
  g_free (json);
  cl_result_free (result);
}

static const SuiteCase cases[] = {
  { "changes: outcome and retries", test_changes_by_table },
  { "queries to controllers and entries", test_reads_by_table },
  { "JSON output", test_json_output },
};

SUITE_MAIN ("ctl_session", cases)
