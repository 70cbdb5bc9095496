#include "serve/events.h"

#include <string.h>

void
sv_events_init (SvEvents *self)
{
  *self = (SvEvents){ .text = g_string_new (NULL) };
}

void
sv_events_clear (SvEvents *self)
{
  if (self->text != NULL)
    g_string_free (self->text, TRUE);
  self->text = NULL;
}

void
sv_events_reset (SvEvents *self)
{
  g_string_truncate (self->text, 0);
  self->scanned = self->line_bytes = self->since_event = 0;
}

/* End of the first block of lines, after the empty line that ends it; 0: the block is incomplete.
 * Goes on where it stopped when there were fewer bytes. */
static gsize
find_end (SvEvents *self, gsize begin)
{
  for (; self->scanned < self->text->len; self->scanned++)
    {
      char byte = self->text->str[self->scanned];

      if (byte == '\n' && self->line_bytes == 0 && self->scanned > begin)
        return ++self->scanned;
      if (byte == '\n')
        self->line_bytes = 0;
      else if (byte != '\r')
        self->line_bytes++;
    }
  return 0;
}

static gboolean
is_field (const char *line, gsize length, const char *name)
{
  return length == strlen (name) && strncmp (line, name, length) == 0;
}

typedef enum
{
  BLOCK_EVENT,   /* has data or an id */
  BLOCK_NOTE,    /* has other fields, or a comment */
  BLOCK_NO_EVENT /* has none: it isn't of an event stream */
} BlockKind;

static BlockKind
kind_of_line (const char *line)
{
  gsize name = strcspn (line, ":\r\n");

  if (is_field (line, name, "data") || is_field (line, name, "id"))
    return BLOCK_EVENT;
  if (line[0] == ':' || is_field (line, name, "event") || is_field (line, name, "retry"))
    return BLOCK_NOTE;
  return BLOCK_NO_EVENT;
}

static BlockKind
kind_of_block (const char *text, gsize length)
{
  BlockKind kind = BLOCK_NO_EVENT;

  for (const char *line = text; line < text + length;)
    {
      const char *end = memchr (line, '\n', (gsize)(text + length - line));

      if (end == NULL)
        break;
      kind = MIN (kind, kind_of_line (line));
      line = end + 1;
    }
  return kind;
}

static gint64
event_id (const char *text, gsize length)
{
  gint64 id = -1;

  for (const char *at = text; at < text + length;)
    {
      const char *end = memchr (at, '\n', (gsize)(text + length - at));

      if (end == NULL)
        break;
      if (end - at > 3 && strncmp (at, "id:", 3) == 0)
        {
          char *rest;
          const char *value = at + 3;

          while (*value == ' ')
            value++;
          id = g_ascii_strtoll (value, &rest, 10);
          if (rest == value)
            id = -1;
        }
      at = end + 1;
    }
  return id;
}

static void
take_block (SvEvents *self, gsize begin, gsize end, SvEventFunc func, gpointer data)
{
  const char *text = self->text->str + begin;
  BlockKind kind = kind_of_block (text, end - begin);
  SvEvent event = {
    .bytes = text,
    .length = end - begin,
    .id = event_id (text, end - begin),
  };

  self->since_event = kind == BLOCK_EVENT ? 0 : self->since_event + (end - begin);
  if (kind != BLOCK_NO_EVENT)
    func (&event, data);
}

gboolean
sv_events_feed (SvEvents *self, const char *bytes, gsize length, SvEventFunc func, gpointer data)
{
  gsize done = 0;
  gsize end;

  g_string_append_len (self->text, bytes, (gssize)length);
  while ((end = find_end (self, done)) > 0)
    {
      take_block (self, done, end, func, data);
      done = end;
    }
  g_string_erase (self->text, 0, (gssize)done);
  self->scanned -= done;
  return self->since_event + self->text->len <= SV_MAX_BYTES_WITHOUT_EVENT;
}

gboolean
sv_events_is_incomplete (const SvEvents *self)
{
  return self->text->len > 0;
}
