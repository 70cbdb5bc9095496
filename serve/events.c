#include "serve/events.h"

#include <string.h>

void
sv_events_init (SvEvents *self)
{
  self->text = g_string_new (NULL);
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
}

/* Length of the first event with the empty line that ends it; 0: the event is incomplete. */
static gsize
event_length (const char *text, gsize length)
{
  gsize line = 0; /* bytes in the current line, without its line end */

  for (gsize i = 0; i < length; i++)
    {
      if (text[i] == '\n')
        {
          if (line == 0 && i > 0)
            return i + 1;
          line = 0;
        }
      else if (text[i] != '\r')
        line++;
    }
  return 0;
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

void
sv_events_feed (SvEvents *self, const char *bytes, gsize length, SvEventFunc func, gpointer data)
{
  gsize done = 0;
  gsize event;

  g_string_append_len (self->text, bytes, (gssize)length);
  while ((event = event_length (self->text->str + done, self->text->len - done)) > 0)
    {
      SvEvent complete = {
        .bytes = self->text->str + done,
        .length = event,
        .id = event_id (self->text->str + done, event),
      };

      done += event;
      func (&complete, data);
    }
  g_string_erase (self->text, 0, (gssize)done);
}

gboolean
sv_events_is_incomplete (const SvEvents *self)
{
  return self->text->len > 0;
}
