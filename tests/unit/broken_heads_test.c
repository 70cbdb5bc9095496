/** Heads that are no answer's, whole or not, on each link. */

#include <string.h>

#include "links_fixture.h"
#include "suite.h"
#include "sv_fixture.h"

#define ELSEWHERE "id: 1\ndata: e\n\n"
#define OK        "HTTP/1.1 200 OK\r\n" SIGNED
#define GOOD      OK "Content-Length: 4\r\n\r\ngood"
#define JSON      "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"version\":5}"

static const ScriptedAnswer elsewhere = { OK "Content-Length: 15\r\n\r\n" ELSEWHERE, FALSE };

static const char *const paths[] = { "/once-of-two/1", "/again/1", "/stream/1" };

/* The caller's answer after an endpoint has sent `bytes`; `n_elsewhere` is set to the number of
 * requests at a second endpoint. Free with g_free. */
static char *
answer_after (const char *path, const char *bytes, guint *n_elsewhere)
{
  const ScriptedAnswer script = { bytes, TRUE };
  char *received;
  SvFixture fixture;

  sv_fixture_open (&fixture);
  sv_fixture_use_config (&fixture, 1, "key");
  sv_fixture_add_endpoint (&fixture, &script, 1);
  sv_fixture_add_endpoint (&fixture, &elsewhere, 1);
  sv_fixture_request (&fixture, path);
  sv_fixture_wait_answer (&fixture);
  received = g_strdup (fixture.received->str);
  *n_elsewhere = scripted_endpoint_n_requests (fixture.endpoints[1]);
  sv_fixture_close (&fixture);
  return received;
}

/* On each route: a request that may run once fails, others are answered by another endpoint. */
static void
check_refused (const char *bytes)
{
  for (guint i = 0; i < G_N_ELEMENTS (paths); i++)
    {
      gboolean runs_once = strstr (paths[i], "once") != NULL;
      const char *wanted = runs_once ? "HTTP/1.1 502" : ELSEWHERE;
      guint n_elsewhere;
      g_autofree char *received = answer_after (paths[i], bytes, &n_elsewhere);

      if (strstr (received, wanted) == NULL)
        fprintf (stderr, "%s after '%s': got %s\n", paths[i], bytes, received);
      CU_ASSERT_PTR_NOT_NULL (strstr (received, wanted));
      CU_ASSERT_EQUAL (n_elsewhere, !runs_once);
    }
}

static void
check_refused_by_store (const char *bytes)
{
  const ScriptedAnswer script = { bytes, TRUE };
  LinksStoreResult result = links_call_store (&script, 1, 2);

  if (result.read != PL_UNKNOWN || result.written != PL_UNKNOWN)
    fprintf (stderr, "'%s': read %u, written %u\n", bytes, result.read, result.written);
  CU_ASSERT_EQUAL (result.read, PL_UNKNOWN);
  CU_ASSERT_EQUAL (result.written, PL_UNKNOWN);
}

/* Interim answers with bytes behind their heads. */
static const char *const interim[] = {
  "HTTP/1.1 100 C\r\nContent-Length: 4\r\n\r\nabcd",
  "HTTP/1.1 101 C\r\nContent-Length: 4\r\n\r\nabcd",
  "HTTP/1.1 103 C\r\nContent-Length: 4\r\n\r\nabcd",
  "HTTP/1.1 199 C\r\nContent-Length: 4\r\n\r\nabcd",
  "HTTP/1.1 100 C\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n",
};

/* Guards against a process that ends because of an interim answer with a body. It has none: what
 * follows its head isn't an answer. */
static void
test_bodies_of_interim_answers (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (interim); i++)
    {
      g_autofree char *answer = g_strconcat (interim[i], GOOD, NULL);
      g_autofree char *stored = g_strconcat (interim[i], JSON, NULL);

      check_refused (interim[i]);
      check_refused (answer);
      check_refused_by_store (stored);
    }
}

/* Guards against broken heads that stand for the answer to a HEAD request, which has no body either
 * way. */
static void
test_head_requests (void)
{
  static const char *const heads[] = {
    "HTTP/1.1 100 C\r\nContent-Length: 4\r\n\r\nabcd",
    "HTTP/1.1 100 C\r\nContent-Length: 4\r\n\r\n",
    "HTTP/1.1 000 N\r\n" SIGNED "Content-Length: 4\r\n\r\n",
    "HTTP/1.1 00200 N\r\n" SIGNED "Content-Length: 4\r\n\r\n",
    "HTTP/1.1 600 N\r\n" SIGNED "\r\n",
    "HTTP/1.1 200 OK\r\n" SIGNED "X Foo: 1\r\n\r\n",
  };

  for (guint i = 0; i < G_N_ELEMENTS (heads); i++)
    {
      const ScriptedAnswer script = { heads[i], TRUE };
      SvFixture fixture;

      sv_fixture_open (&fixture);
      sv_fixture_use_config (&fixture, 1, "key");
      sv_fixture_add_endpoint (&fixture, &script, 1);
      sv_fixture_send (&fixture, "HEAD /once/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\n"
                                 "Authorization: Bearer key\r\nX-Deadline-Ms: 4000\r\n\r\n");
      sv_fixture_wait_for (&fixture, "\r\n\r\n");
      CU_ASSERT_PTR_NOT_NULL (strstr (fixture.received->str, "HTTP/1.1 502"));
      sv_fixture_close (&fixture);
    }
}

/* Guards against an answer that is lost behind interim ones: their framing fields mean nothing. */
static void
test_interim_answers (void)
{
  static const char *const answers[] = {
    "HTTP/1.1 100 C\r\n\r\n" GOOD,
    "HTTP/1.1 103 C\r\nLink: x\r\n\r\n" GOOD,
    "HTTP/1.1 100 C\r\nContent-Length: 4\r\n\r\n" GOOD,
    "HTTP/1.1 103 C\r\nContent-Length: 4\r\n\r\nHTTP/1.1 100 C\r\n\r\n" GOOD,
    "HTTP/1.1 100 C\r\nTransfer-Encoding: chunked\r\n\r\n" GOOD,
  };

  for (guint i = 0; i < 2 * G_N_ELEMENTS (answers); i++)
    {
      guint n_elsewhere;
      g_autofree char *received = answer_after (paths[i % 2], answers[i / 2], &n_elsewhere);

      CU_ASSERT_PTR_NOT_NULL (strstr (received, "\r\n\r\ngood"));
      CU_ASSERT_EQUAL (n_elsewhere, 0);
    }
}

/* What isn't a status: not three digits, or not from 100 to 599. */
static const char *const broken_statuses[] = {
  "000 N", "000",   "099 N",  "0 N",    "00 N",   "20 OK",  "2 00 OK", "0200 OK", "00200 OK",
  "600 N", "999 N", "1000 N", "2000 N", "-200 N", "+200 N", "20x N",   "x N",     "",
};

/* Guards against a head that is passed on as an answer although its status isn't one: the protocol
 * has three digits, from 100 to 599. */
static void
test_statuses (void)
{
  static const char *const framings[] = {
    "Content-Length: 4\r\n\r\ngood",
    "Content-Length: 0\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n",
    "\r\n",
    "\r\ngood",
  };

  for (guint i = 0; i < G_N_ELEMENTS (broken_statuses); i++)
    {
      const char *status = broken_statuses[i];
      g_autofree char *stored =
          g_strconcat ("HTTP/1.1 ", status, "\r\nContent-Length: 13\r\n\r\n{\"version\":5}", NULL);

      check_refused_by_store (stored);
      for (guint j = 0; j < G_N_ELEMENTS (framings); j++)
        {
          g_autofree char *answer =
              g_strconcat ("HTTP/1.1 ", status, "\r\n" SIGNED, framings[j], NULL);
          g_autofree char *behind = g_strconcat ("HTTP/1.1 100 C\r\n\r\n", answer, NULL);

          check_refused (answer);
          check_refused (behind);
        }
    }
}

/* Guards against answers that are refused although their status is one. */
static void
test_known_statuses (void)
{
  static const char *const statuses[] = { "200 OK", "299 N", "404 N", "499 N", "599 N", "200" };

  for (guint i = 0; i < G_N_ELEMENTS (statuses); i++)
    {
      g_autofree char *answer = g_strconcat ("HTTP/1.1 ", statuses[i],
                                             "\r\n" SIGNED "Content-Length: 4\r\n\r\ngood", NULL);
      g_autofree char *wanted = g_strdup_printf ("HTTP/1.1 %.3s", statuses[i]);
      guint n_elsewhere;
      g_autofree char *received = answer_after (paths[0], answer, &n_elsewhere);

      CU_ASSERT_PTR_NOT_NULL (strstr (received, wanted));
      CU_ASSERT_PTR_NOT_NULL (strstr (received, "\r\n\r\ngood"));
    }
}

/* Guards against bytes that a caller takes for the beginning of its next answer: an answer that has
 * no body by its status comes with a length, and bytes behind it. */
static void
test_statuses_without_a_body (void)
{
  static const char *const statuses[] = { "204 N", "304 N" };
  static const char *const tails[] = {
    "Content-Length: 4\r\n\r\ngood",
    "Content-Length: 4\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n",
    "\r\ngood",
    "\r\n",
  };

  for (guint i = 0; i < G_N_ELEMENTS (paths) * G_N_ELEMENTS (statuses) * G_N_ELEMENTS (tails); i++)
    {
      const char *status = statuses[i / G_N_ELEMENTS (paths) % G_N_ELEMENTS (statuses)];
      const char *tail = tails[i / G_N_ELEMENTS (paths) / G_N_ELEMENTS (statuses)];
      g_autofree char *answer = g_strconcat ("HTTP/1.1 ", status, "\r\n" SIGNED, tail, NULL);
      g_autofree char *wanted = g_strdup_printf ("HTTP/1.1 %.3s", status);
      guint n_elsewhere;
      g_autofree char *received =
          answer_after (paths[i % G_N_ELEMENTS (paths)], answer, &n_elsewhere);

      if (!g_str_has_prefix (received, wanted) || !g_str_has_suffix (received, "\r\n\r\n"))
        fprintf (stderr, "%s after '%s': got %s\n", paths[i % G_N_ELEMENTS (paths)], answer,
                 received);
      CU_ASSERT_TRUE (g_str_has_prefix (received, wanted));
      CU_ASSERT_PTR_EQUAL (strstr (received, "\r\n\r\n"), g_strrstr (received, "\r\n\r\n"));
      CU_ASSERT_TRUE (g_str_has_suffix (received, "\r\n\r\n"));
      CU_ASSERT_EQUAL (n_elsewhere, 0);
    }
}

/* Lines of a head that aren't a field: a blank, a control byte or nothing as the name, or a control
 * byte in the value. */
static const char *const broken_lines[] = {
  "X Foo: 1\r\n",
  "X-Foo : 1\r\n",
  "X-Foo\t: 1\r\n",
  "X\tFoo: 1\r\n",
  "X%NULFoo: 1\r\n",
  "X\001Foo: 1\r\n",
  "X\013Foo: 1\r\n",
  "X\177Foo: 1\r\n",
  "X\200Foo: 1\r\n",
  "X\rFoo: 1\r\n",
  ": 1\r\n",
  "X-Foo\r\n",
  "X Foo\r\n",
  "X Foo:\r\n",
  "Content-Length : 4\r\n",
  "Content Length: 4\r\n",
  "Content-Length\t: 2\r\n",
  "Transfer-Encoding : chunked\r\n",
  "X-Foo: a\001b\r\n",
  "X-Foo: a%NULb\r\n",
};

/* Guards against a broken line that is passed on, or that leaves the answer with another body than
 * its endpoint's. */
static void
test_broken_lines (void)
{
  static const char *const rests[] = {
    SIGNED "Content-Length: 4\r\n\r\ngood",
    SIGNED "\r\ngood",
  };

  for (guint i = 0; i < G_N_ELEMENTS (broken_lines); i++)
    {
      const char *line = broken_lines[i];
      g_autofree char *last = g_strconcat (OK "Content-Length: 4\r\n", line, "\r\ngood", NULL);
      g_autofree char *failed =
          g_strconcat ("HTTP/1.1 404 N\r\n" SIGNED "Content-Length: 4\r\n", line, "\r\ngood", NULL);
      g_autofree char *stored = g_strconcat ("HTTP/1.1 200 OK\r\n", line,
                                             "Content-Length: 13\r\n\r\n{\"version\":5}", NULL);

      check_refused (last);
      check_refused (failed);
      check_refused_by_store (stored);
      for (guint j = 0; j < G_N_ELEMENTS (rests); j++)
        {
          g_autofree char *first = g_strconcat ("HTTP/1.1 200 OK\r\n", line, rests[j], NULL);

          check_refused (first);
        }
    }
}

static void
check_refused_by_own_interface (const char *bytes)
{
  const ScriptedAnswer script = { bytes, TRUE };
  LinksOwnInterfaceResult result = links_call_own_interface (&script, 2);
  ClReplyState replied = links_call_ctl (bytes);

  if (result.end != EP_EXCHANGE_CUT || result.written != TB_UNKNOWN || replied != CL_REPLY_LOST)
    fprintf (stderr, "'%s': end %u, status %d, written %u, replied %u\n", bytes, result.end,
             result.status, result.written, replied);
  CU_ASSERT_EQUAL (result.end, EP_EXCHANGE_CUT);
  CU_ASSERT_EQUAL (result.written, TB_UNKNOWN);
  CU_ASSERT_EQUAL (replied, CL_REPLY_LOST);
}

/* Guards against broken heads that stand for answers on the product's own interface: of engines and
 * services, of its table, and of the daemons that alderturnctl asks. */
static void
test_own_interface (void)
{
  static const char *const rests[] = {
    "Content-Length: 13\r\n\r\n{\"version\":5}",
    "\r\n{\"version\":5}",
    "\r\n",
  };

  for (guint i = 0; i < G_N_ELEMENTS (rests); i++)
    {
      for (guint j = 0; j < G_N_ELEMENTS (broken_statuses); j++)
        {
          g_autofree char *answer =
              g_strconcat ("HTTP/1.1 ", broken_statuses[j], "\r\n", rests[i], NULL);

          check_refused_by_own_interface (answer);
        }
      for (guint j = 0; j < G_N_ELEMENTS (broken_lines); j++)
        {
          g_autofree char *answer =
              g_strconcat ("HTTP/1.1 200 OK\r\n", broken_lines[j], rests[i], NULL);

          check_refused_by_own_interface (answer);
        }
    }
  for (guint i = 0; i < G_N_ELEMENTS (interim); i++)
    {
      g_autofree char *answer = g_strconcat (interim[i], JSON, NULL);

      check_refused_by_own_interface (interim[i]);
      check_refused_by_own_interface (answer);
    }
  check_refused_by_own_interface (
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 13\r\n\r\n"
      "{\"version\":5}");
}

/* Guards against answers with sound heads that are refused on the product's own interface. */
static void
test_own_interface_answers (void)
{
  static const ScriptedAnswer answers[] = {
    { JSON, FALSE },
    { "HTTP/1.1 100 C\r\n\r\n" JSON, FALSE },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "d\r\n{\"version\":5}\r\n0\r\n\r\n",
      FALSE },
    { JSON, TRUE },
    { "HTTP/1.1 200 OK\r\n\r\n{\"version\":5}", TRUE },
    { "HTTP/1.0 200 OK\r\nX-Foo: a b\r\n\r\n{\"version\":5}", TRUE },
  };

  for (guint i = 0; i < G_N_ELEMENTS (answers); i++)
    {
      LinksOwnInterfaceResult result = links_call_own_interface (&answers[i], 2);

      CU_ASSERT_EQUAL (result.end, EP_EXCHANGE_COMPLETE);
      CU_ASSERT_EQUAL (result.status, 200);
      CU_ASSERT_EQUAL (result.written, TB_OK);
      if (answers[i].closes)
        CU_ASSERT_EQUAL (links_call_ctl (answers[i].bytes), CL_REPLY_ANSWERED);
    }
}

static const SuiteCase cases[] = {
  { "bodies of interim answers", test_bodies_of_interim_answers },
  { "interim answers", test_interim_answers },
  { "HEAD requests", test_head_requests },
  { "statuses", test_statuses },
  { "known statuses", test_known_statuses },
  { "statuses without a body", test_statuses_without_a_body },
  { "broken lines", test_broken_lines },
  { "the product's own interface", test_own_interface },
  { "its sound answers", test_own_interface_answers },
};

SUITE_MAIN ("broken_heads", cases)
