/** Framing of HTTP messages: which are accepted, which are refused, and where each one ends. */

#include <string.h>

#include "http/reader.h"
#include "suite.h"

static const HtLimits limits = { .max_head_bytes = 400, .max_body_bytes = 32 };
static const HtReaderEvents no_events = { 0 };

typedef struct
{
  const char *name;
  const char *bytes;
  HtReadStatus status;
  const char *body; /* of a complete message */
  gsize left;       /* bytes after the message */
} Row;

/*
 * Guards against request smuggling: if a message with ambiguous framing is forwarded, two parsers
 * end it at different places, and an endpoint runs a request that no caller sent. Framing is
 * ambiguous with two lengths, with a length next to chunked encoding, or with field names that only
 * one of the parsers accepts as a framing field.
 */
static const Row requests[] = {
  { "plain", "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", HT_READ_COMPLETE, "", 0 },
  { "with length", "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET", HT_READ_COMPLETE, "abc",
    3 },
  { "chunks",
    "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
    HT_READ_COMPLETE, "abc", 0 },
  { "trailer",
    "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nContent-Length: 9\r\n\r\n",
    HT_READ_COMPLETE, "", 0 },
  { "unfinished", "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nab", HT_READ_MORE, NULL, 0 },
  { "length and chunks",
    "POST /a HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    HT_READ_BAD, NULL, 0 },
  { "two lengths", "POST /a HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
    HT_READ_BAD, NULL, 0 },
  { "other encoding", "POST /a HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    HT_READ_BAD, NULL, 0 },
  { "space before colon", "POST /a HTTP/1.1\r\nContent-Length : 3\r\n\r\nabc", HT_READ_BAD, NULL,
    0 },
  { "control in target", "GET /a\x01 HTTP/1.1\r\n\r\n", HT_READ_BAD, NULL, 0 },
  { "connect", "CONNECT h:1 HTTP/1.1\r\n\r\n", HT_READ_BAD, NULL, 0 },
  { "no protocol", "hello\r\n\r\n", HT_READ_BAD, NULL, 0 },
  { "long body", "POST /a HTTP/1.1\r\nContent-Length: 33\r\n\r\n", HT_READ_BODY_LARGE, NULL, 0 },
  { "long chunk",
    "POST /a HTTP/1.1\r\nTransfer-Encoding: "
    "chunked\r\n\r\n24\r\n012345678901234567890123456789012345\r\n",
    HT_READ_BODY_LARGE, NULL, 0 },
};

static const Row responses[] = {
  { "with length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP", HT_READ_COMPLETE, "ok",
    4 },
  { "interim first", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    HT_READ_COMPLETE, "ok", 0 },
  { "interim with a length",
    "HTTP/1.1 103 Early Hints\r\nContent-Length: 9\r\n\r\n"
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    HT_READ_COMPLETE, "ok", 0 },
  { "interim with a body",
    "HTTP/1.1 100 Continue\r\nContent-Length: 2\r\n\r\nno"
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    HT_READ_BAD, NULL, 0 },
  { "interim in chunks",
    "HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n", HT_READ_BAD,
    NULL, 0 },
  { "status of zeros", "HTTP/1.1 000 N\r\nContent-Length: 2\r\n\r\nok", HT_READ_BAD, NULL, 0 },
  { "status too low", "HTTP/1.1 099 N\r\nContent-Length: 2\r\n\r\nok", HT_READ_BAD, NULL, 0 },
  { "status too high", "HTTP/1.1 600 N\r\nContent-Length: 2\r\n\r\nok", HT_READ_BAD, NULL, 0 },
  { "status too short", "HTTP/1.1 20 N\r\nContent-Length: 2\r\n\r\nok", HT_READ_BAD, NULL, 0 },
  { "status too long", "HTTP/1.1 0200 N\r\nContent-Length: 2\r\n\r\nok", HT_READ_BAD, NULL, 0 },
  { "status without a reason", "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok", HT_READ_COMPLETE,
    "ok", 0 },
  { "digits in the reason", "HTTP/1.1 200 2 00\r\nContent-Length: 2\r\n\r\nok", HT_READ_COMPLETE,
    "ok", 0 },
  { "empty lines first", "\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", HT_READ_COMPLETE,
    "ok", 0 },
  { "no body by status", "HTTP/1.1 204 No Content\r\n\r\n", HT_READ_COMPLETE, "", 0 },
  { "no body despite a length", "HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\nokHTTP",
    HT_READ_COMPLETE, "", 6 },
  { "no body despite chunks",
    "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", HT_READ_COMPLETE, "",
    5 },
  { "until close", "HTTP/1.1 200 OK\r\n\r\nabc", HT_READ_MORE, NULL, 0 },
  { "no answer", "\x01\x02garbage\r\n\r\n", HT_READ_BAD, NULL, 0 },
};

/* Feeds pieces of `step` bytes; the result must not depend on the size of the pieces. */
static void
check_row (const Row *row, gboolean is_response, gsize step)
{
  HtReader *reader = ht_reader_new (is_response, &limits, &no_events, NULL);
  gsize length = strlen (row->bytes);
  gsize used = 0;
  HtReadStatus status = HT_READ_MORE;

  while (used < length && status == HT_READ_MORE)
    {
      gsize consumed = 0;

      status = ht_reader_feed (reader, row->bytes + used, MIN (step, length - used), &consumed);
      used += consumed;
    }
  if (status != row->status)
    printf ("%s by %" G_GSIZE_FORMAT ": %d\n", row->name, step, status);
  CU_ASSERT_EQUAL (status, row->status);
  if (row->body != NULL)
    {
      CU_ASSERT_STRING_EQUAL (ht_reader_message (reader)->body->str, row->body);
      CU_ASSERT_EQUAL (length - used, row->left);
    }
  ht_reader_free (reader);
}

static void
check_rows (const Row *rows, guint n, gboolean are_responses)
{
  for (guint i = 0; i < n; i++)
    {
      check_row (&rows[i], are_responses, 1);
      check_row (&rows[i], are_responses, 1000);
    }
}

static void
test_requests (void)
{
  check_rows (requests, G_N_ELEMENTS (requests), FALSE);
}

static void
test_responses (void)
{
  check_rows (responses, G_N_ELEMENTS (responses), TRUE);
}

static void
test_head_limit (void)
{
  HtReader *reader = ht_reader_new (FALSE, &limits, &no_events, NULL);
  g_autofree char *filler = g_strnfill (500, 'x');
  g_autofree char *text = g_strdup_printf ("GET /a HTTP/1.1\r\nA: %s\r\n\r\n", filler);
  gsize consumed;

  CU_ASSERT_EQUAL (ht_reader_feed (reader, text, strlen (text), &consumed), HT_READ_HEAD_LARGE);
  ht_reader_free (reader);
}

/* Guards against a head within the limit that is refused because it comes in many pieces, and one
 * over it that passes because it does. */
static void
test_head_limit_in_pieces (void)
{
  static const guint lengths[] = { 100, 370, 379, 380, 381, 500 };

  for (guint i = 0; i < G_N_ELEMENTS (lengths); i++)
    {
      g_autofree char *filler = g_strnfill (lengths[i], 'x');
      g_autofree char *text =
          g_strdup_printf ("GET /a HTTP/1.1\r\nHost: h\r\nA: %s\r\n\r\n", filler);
      HtReadStatus whole = HT_READ_MORE;

      for (gsize piece = strlen (text); piece > 0; piece = piece > 7 ? 7 : piece - 1)
        {
          HtReader *reader = ht_reader_new (FALSE, &limits, &no_events, NULL);
          HtReadStatus status = HT_READ_MORE;

          for (gsize at = 0; at < strlen (text) && status == HT_READ_MORE; at += piece)
            {
              gsize consumed;

              status =
                  ht_reader_feed (reader, text + at, MIN (piece, strlen (text) - at), &consumed);
            }
          whole = piece == strlen (text) ? status : whole;
          CU_ASSERT_EQUAL (status, whole);
          ht_reader_free (reader);
        }
    }
}

/* A response without a length is complete when its connection ends; one with a length isn't. */
static void
test_end_of_stream (void)
{
  static const struct
  {
    const char *bytes;
    HtReadStatus status;
  } rows[] = {
    { "HTTP/1.1 200 OK\r\n\r\nabc", HT_READ_COMPLETE },
    { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", HT_READ_BAD },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", HT_READ_BAD },
    { "HTTP/1.1 200 O", HT_READ_BAD },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      HtReader *reader = ht_reader_new (TRUE, &limits, &no_events, NULL);
      gsize consumed;

      CU_ASSERT_EQUAL (ht_reader_feed (reader, rows[i].bytes, strlen (rows[i].bytes), &consumed),
                       HT_READ_MORE);
      CU_ASSERT_EQUAL (ht_reader_finish (reader), rows[i].status);
      ht_reader_free (reader);
    }
}

static void
test_hop_by_hop (void)
{
  static const struct
  {
    const char *name;
    gboolean is_hop;
  } rows[] = {
    { "Connection", TRUE },        { "X-Mine", TRUE },
    { "Keep-Alive", TRUE },        { "X-Other", FALSE },
    { "Transfer-Encoding", TRUE }, { "Content-Type", FALSE },
  };
  g_autoptr (HtMessage) message = ht_message_new ();

  ht_message_add (message, "Connection", "close, x-mine");
  for (guint i = 1; i < G_N_ELEMENTS (rows); i++)
    ht_message_add (message, rows[i].name, "v");
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    CU_ASSERT_EQUAL (ht_message_is_hop_by_hop (message, i), rows[i].is_hop);
}

static const SuiteCase cases[] = {
  { "requests, in any pieces", test_requests },
  { "responses, in any pieces", test_responses },
  { "the head has a limit", test_head_limit },
  { "the limit of a head in pieces", test_head_limit_in_pieces },
  { "the end of the stream", test_end_of_stream },
  { "fields of one connection", test_hop_by_hop },
};

SUITE_MAIN ("ht_reader", cases)
