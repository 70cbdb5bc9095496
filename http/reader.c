#include "http/reader.h"

#include <http_parser.h>
#include <string.h>

struct HtReader
{
  http_parser parser;
  gboolean reads_responses;
  HtLimits limits;
  const HtReaderEvents *events;
  gpointer data;
  HtMessage *message;
  GString *name;
  GString *value;
  gsize head_bytes;
  gsize body_bytes;
  gsize message_bytes; /* received of this message */
  gsize interim_bytes; /* received of interim responses before it */
  gboolean no_body;
  gsize line_bytes;        /* in the current line of the head, without the line ending */
  char last_byte;          /* most recent byte of the head */
  guint n_spaces;          /* in the first line of the head */
  guint n_status_digits;   /* of responses only */
  gboolean has_first_line; /* the head's first line has ended */
  gboolean has_empty_line; /* the empty line after the head has been seen */
  gboolean has_value;      /* a value has begun: the next name starts another field */
  gboolean until_close;    /* the response has no length and ends when the connection closes */
  gboolean begun;
  gboolean head_done;
  gboolean complete;
  HtReadStatus refusal; /* HT_READ_MORE: none */
};

static gboolean
is_token (const GString *text)
{
  for (gsize i = 0; i < text->len; i++)
    {
      if (!g_ascii_isalnum (text->str[i]) && strchr ("!#$%&'*+-.^_`|~", text->str[i]) == NULL)
        return FALSE;
    }
  return text->len > 0;
}

static gboolean
has_no_control_chars (const char *text, gsize length)
{
  for (gsize i = 0; i < length; i++)
    {
      if ((guchar)text[i] < ' ' && text[i] != '\t')
        return FALSE;
    }
  return TRUE;
}

static int
refuse (HtReader *self, HtReadStatus status)
{
  if (self->refusal == HT_READ_MORE)
    self->refusal = status;
  return 1;
}

static int
finish_field (HtReader *self)
{
  if (!self->has_value)
    return 0;
  self->has_value = FALSE;
  if (!is_token (self->name) || !has_no_control_chars (self->value->str, self->value->len))
    return refuse (self, HT_READ_BAD);
  g_strchomp (self->value->str);
  ht_message_add (self->message, self->name->str, self->value->str);
  g_string_truncate (self->name, 0);
  g_string_truncate (self->value, 0);
  return 0;
}

static int
count_head_bytes (HtReader *self, gsize length)
{
  self->head_bytes += length;
  return self->head_bytes > self->limits.max_head_bytes ? refuse (self, HT_READ_HEAD_LARGE) : 0;
}

/* Number of spaces in the request line: between method, target and version. */
#define REQUEST_LINE_SPACES 2

/*
 * Request smuggling: a parser that accepts a bare line feed as the end of a line sees a different
 * head than one that doesn't, and one that accepts several spaces in the request line sees a
 * different target. http_parser accepts both.
 */
static gboolean
has_unambiguous_lines (HtReader *self, const char *bytes, gsize length)
{
  for (gsize i = 0; i < length && !self->has_empty_line; i++)
    {
      char last = self->last_byte;

      self->last_byte = bytes[i];
      if (bytes[i] != '\n')
        {
          self->line_bytes += bytes[i] != '\r';
          self->n_spaces += !self->has_first_line && bytes[i] == ' ';
          if (self->n_spaces > REQUEST_LINE_SPACES)
            return FALSE;
          continue;
        }
      if (last != '\r')
        return FALSE;
      self->has_empty_line = self->has_first_line && self->line_bytes == 0;
      self->has_first_line |= self->line_bytes > 0;
      self->line_bytes = 0;
    }
  return TRUE;
}

/* http_parser accepts a status of any number of digits, and reports its value only. */
static void
count_status_digits (HtReader *self, const char *bytes, gsize length)
{
  for (gsize i = 0; i < length && !self->has_first_line; i++)
    {
      char last = self->last_byte;

      self->last_byte = bytes[i];
      if (bytes[i] == '\n')
        self->has_first_line = self->line_bytes > 0;
      else
        self->line_bytes += bytes[i] != '\r';
      /* The version before the status and the reason after it are separated by spaces. */
      self->n_spaces += bytes[i] == ' ' && last != ' ';
      self->n_status_digits += self->n_spaces == 1 && g_ascii_isdigit (bytes[i]);
    }
}

#define STATUS_DIGITS 3
#define MIN_STATUS    100
#define MAX_STATUS    599

static gboolean
has_valid_status (const HtReader *self)
{
  return self->n_status_digits == STATUS_DIGITS && self->message->status >= MIN_STATUS
         && self->message->status <= MAX_STATUS;
}

static int
on_url (http_parser *parser, const char *at, size_t length)
{
  HtReader *self = parser->data;
  char *joined;

  for (size_t i = 0; i < length; i++)
    {
      if (at[i] <= ' ' || at[i] == 0x7f)
        return refuse (self, HT_READ_BAD);
    }
  joined = g_strdup_printf ("%s%.*s", self->message->target != NULL ? self->message->target : "",
                            (int)length, at);
  g_free (self->message->target);
  self->message->target = joined;
  return count_head_bytes (self, length);
}

static int
on_field (http_parser *parser, const char *at, size_t length)
{
  HtReader *self = parser->data;

  if (self->head_done) /* trailers are dropped */
    return 0;
  if (finish_field (self) != 0)
    return 1;
  g_string_append_len (self->name, at, (gssize)length);
  return count_head_bytes (self, length);
}

/* The colon and space behind a field's name, and the end of its line. */
#define FIELD_SEPARATOR_BYTES 4

static int
on_value (http_parser *parser, const char *at, size_t length)
{
  HtReader *self = parser->data;

  if (self->head_done)
    return 0;
  /* The value may come in several pieces. */
  if (!self->has_value && count_head_bytes (self, FIELD_SEPARATOR_BYTES) != 0)
    return 1;
  self->has_value = TRUE;
  g_string_append_len (self->value, at, (gssize)length);
  return count_head_bytes (self, length);
}

static gboolean
has_unambiguous_framing (const HtMessage *message)
{
  guint lengths = ht_message_count (message, "content-length");
  guint encodings = ht_message_count (message, "transfer-encoding");
  const char *encoding = ht_message_get (message, "transfer-encoding");

  if (lengths > 1 || encodings > 1 || (lengths > 0 && encodings > 0))
    return FALSE;
  return encoding == NULL || g_ascii_strcasecmp (encoding, "chunked") == 0;
}

/* An interim (1xx) response, which the answer follows. */
static gboolean
is_interim (const HtReader *self)
{
  return self->reads_responses && self->message->status < 200;
}

/* Whether the message ends with its head, regardless of its framing fields. */
static gboolean
ends_with_head (const HtReader *self)
{
  if (!self->reads_responses)
    return FALSE;
  return self->no_body || is_interim (self) || self->message->status == HTTP_STATUS_NO_CONTENT
         || self->message->status == HTTP_STATUS_NOT_MODIFIED;
}

/* Returned from the callback for a complete head, it makes http_parser end the message there. */
#define SKIP_BODY 1

static int
on_head (http_parser *parser)
{
  HtReader *self = parser->data;
  HtMessage *message = self->message;

  if (finish_field (self) != 0)
    return -1;
  if (!has_unambiguous_framing (message) || parser->http_major != 1)
    return -refuse (self, HT_READ_BAD);
  if (!self->reads_responses && parser->method == HTTP_CONNECT)
    return -refuse (self, HT_READ_BAD);
  parser->upgrade = 0;
  message->status = parser->status_code;
  if (self->reads_responses && !has_valid_status (self))
    return -refuse (self, HT_READ_BAD);
  message->keep_alive = http_should_keep_alive (parser) != 0;
  message->supports_chunked = parser->http_minor > 0;
  g_strlcpy (message->method, http_method_str ((enum http_method)parser->method),
             sizeof message->method);
  if (parser->content_length != G_MAXUINT64 && parser->content_length > self->limits.max_body_bytes)
    return -refuse (self, HT_READ_BODY_LARGE);
  self->head_done = TRUE;
  self->until_close = self->reads_responses && !ends_with_head (self)
                      && parser->content_length == G_MAXUINT64 && (parser->flags & F_CHUNKED) == 0;
  message->ends_by_close = self->until_close;
  if (self->events->head != NULL && !is_interim (self) && !self->events->head (message, self->data))
    return -refuse (self, HT_READ_BAD);
  return ends_with_head (self) ? SKIP_BODY : 0;
}

static int
on_body (http_parser *parser, const char *at, size_t length)
{
  HtReader *self = parser->data;

  self->body_bytes += length;
  if (self->body_bytes > self->limits.max_body_bytes)
    return refuse (self, HT_READ_BODY_LARGE);
  if (self->events->body != NULL)
    self->events->body (at, length, self->data);
  else
    g_string_append_len (self->message->body, at, (gssize)length);
  return 0;
}

static int
on_complete (http_parser *parser)
{
  HtReader *self = parser->data;

  self->complete = TRUE;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings callbacks = {
  .on_url = on_url,
  .on_header_field = on_field,
  .on_header_value = on_value,
  .on_headers_complete = on_head,
  .on_body = on_body,
  .on_message_complete = on_complete,
};

HtReader *
ht_reader_new (gboolean reads_responses,
               const HtLimits *limits,
               const HtReaderEvents *events,
               gpointer data)
{
  HtReader *self = g_new0 (HtReader, 1);

  self->reads_responses = reads_responses;
  self->limits = *limits;
  self->events = events;
  self->data = data;
  self->name = g_string_new (NULL);
  self->value = g_string_new (NULL);
  ht_reader_begin (self, FALSE);
  return self;
}

void
ht_reader_free (HtReader *self)
{
  if (self == NULL)
    return;
  ht_message_free (self->message);
  g_string_free (self->name, TRUE);
  g_string_free (self->value, TRUE);
  g_free (self);
}

void
ht_reader_set_limits (HtReader *self, const HtLimits *limits)
{
  self->limits = *limits;
}

static void
begin_message (HtReader *self, gboolean no_body)
{
  http_parser_init (&self->parser, self->reads_responses ? HTTP_RESPONSE : HTTP_REQUEST);
  self->parser.data = self;
  ht_message_free (self->message);
  self->message = ht_message_new ();
  g_string_truncate (self->name, 0);
  g_string_truncate (self->value, 0);
  self->head_bytes = self->body_bytes = self->message_bytes = 0;
  self->no_body = no_body;
  self->begun = self->head_done = self->complete = FALSE;
  self->has_value = self->until_close = FALSE;
  self->has_first_line = self->has_empty_line = FALSE;
  self->line_bytes = 0;
  self->n_spaces = 0;
  self->n_status_digits = 0;
  self->last_byte = '\0';
  self->refusal = HT_READ_MORE;
}

void
ht_reader_begin (HtReader *self, gboolean no_body)
{
  begin_message (self, no_body);
  self->interim_bytes = 0;
}

static HtReadStatus
end_status (HtReader *self, gboolean failed)
{
  if (self->complete)
    return HT_READ_COMPLETE;
  if (self->refusal != HT_READ_MORE)
    return self->refusal;
  if (!failed)
    return HT_READ_MORE;
  return HTTP_PARSER_ERRNO (&self->parser) == HPE_HEADER_OVERFLOW ? HT_READ_HEAD_LARGE
                                                                  : HT_READ_BAD;
}

HtReadStatus
ht_reader_feed (HtReader *self, const char *bytes, gsize length, gsize *consumed)
{
  HtReadStatus status;

  if (length > 0)
    self->begun = TRUE;
  if (!self->reads_responses && !has_unambiguous_lines (self, bytes, length))
    {
      *consumed = length;
      return HT_READ_BAD;
    }
  if (self->reads_responses)
    count_status_digits (self, bytes, length);
  *consumed = http_parser_execute (&self->parser, &callbacks, bytes, length);
  self->message_bytes += *consumed;
  status = end_status (self, HTTP_PARSER_ERRNO (&self->parser) != HPE_OK);
  /* Interim responses are dropped; the answer is the next message on the stream. */
  if (status == HT_READ_COMPLETE && is_interim (self))
    {
      gsize more = 0;

      self->interim_bytes += self->message_bytes;
      if (self->interim_bytes > self->limits.max_head_bytes)
        return HT_READ_HEAD_LARGE;
      begin_message (self, self->no_body);
      status = ht_reader_feed (self, bytes + *consumed, length - *consumed, &more);
      *consumed += more;
    }
  return status;
}

HtReadStatus
ht_reader_finish (HtReader *self)
{
  if (self->complete)
    return HT_READ_COMPLETE;
  if (!self->head_done || !ht_reader_ends_by_close (self))
    return HT_READ_BAD;
  http_parser_execute (&self->parser, &callbacks, NULL, 0);
  return self->complete ? HT_READ_COMPLETE : HT_READ_BAD;
}

gboolean
ht_reader_ends_by_close (const HtReader *self)
{
  return self->until_close;
}

gboolean
ht_reader_has_begun (const HtReader *self)
{
  return self->begun;
}

gboolean
ht_reader_has_head (const HtReader *self)
{
  return self->head_done;
}

HtMessage *
ht_reader_message (HtReader *self)
{
  return self->message;
}

HtMessage *
ht_reader_steal (HtReader *self)
{
  HtMessage *message = self->message;

  self->message = ht_message_new ();
  return message;
}
