#include "common/log.h"

#include <errno.h>
#include <jansson.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Maximum lines per second on standard output, not counting warnings and more severe ones. A
 * request logs one to three lines. */
#define MAX_LINES_PER_SECOND 400

/* Minimum time between two lines of one CmLogRateLimit, us. */
#define RATE_LIMIT_INTERVAL 1000000

/* A write of up to PIPE_BUF bytes to a pipe that poll() reports as writable does not block. */
#define MAX_LINE_BYTES 4096

/*
 * The only process-wide state of the library. Standard error is process-wide too,
 * and code at any depth must be able to log without being passed a handle.
 */
static struct
{
  char program[64];
  char instance[128];
  CmLogSeverity limit;
  CmLogSink sink;
  gpointer sink_data;
  guint64 invariant_failures;
  gboolean to_stdout;
  gint64 second; /* the second in which `lines` are counted */
  guint lines;
  guint64 dropped;
} logger = { .program = "alderturn", .limit = CM_LOG_INFO };

static const char *const severity_names[] = {
  "emerg", "alert", "crit", "err", "warning", "notice", "info", "debug",
};

void
cm_log_init (const char *program, const char *instance, CmLogSeverity limit)
{
  g_strlcpy (logger.program, program, sizeof logger.program);
  g_strlcpy (logger.instance, instance != NULL ? instance : "", sizeof logger.instance);
  logger.limit = limit;
}

void
cm_log_set_sink (CmLogSink sink, gpointer data)
{
  logger.sink = sink;
  logger.sink_data = data;
}

gboolean
cm_log_rate_limit_allows (CmLogRateLimit *self, gint64 now)
{
  self->count++;
  if (now - self->logged_at < RATE_LIMIT_INTERVAL)
    return FALSE;
  self->logged_at = now;
  return TRUE;
}

gboolean
cm_log_severity_parse (const char *name, CmLogSeverity *severity)
{
  for (guint i = 0; i < G_N_ELEMENTS (severity_names); i++)
    {
      if (strcmp (name, severity_names[i]) == 0)
        {
          *severity = (CmLogSeverity)i;
          return TRUE;
        }
    }
  return FALSE;
}

static json_t *
read_value (char type, va_list *args)
{
  g_autofree char *valid = NULL;
  const char *text;

  switch (type)
    {
    case 's':
      text = va_arg (*args, const char *);
      if (text == NULL)
        return NULL;
      /* Callers choose some values; a line with bytes that are no UTF-8 would be lost. */
      valid = g_utf8_make_valid (text, -1);
      return json_string_nocheck (valid);
    case 'i':
      return json_integer (va_arg (*args, gint64));
    case 'f':
      return json_real (va_arg (*args, double));
    case 'b':
      return json_boolean (va_arg (*args, gboolean));
    default:
      g_assert_not_reached ();
    }
}

void
cm_log_to_stdout (void)
{
  logger.to_stdout = TRUE;
}

static gboolean
write_nonblocking (const char *text, gsize length)
{
  struct pollfd out = { .fd = STDOUT_FILENO, .events = POLLOUT };

  if (length > MAX_LINE_BYTES || poll (&out, 1, 0) != 1 || (out.revents & POLLOUT) == 0)
    return FALSE;
  return write (STDOUT_FILENO, text, length) == (ssize_t)length;
}

static gboolean
is_over_rate (CmLogSeverity severity)
{
  gint64 second = g_get_monotonic_time () / G_USEC_PER_SEC;

  if (second != logger.second)
    {
      logger.second = second;
      logger.lines = 0;
    }
  return severity > CM_LOG_WARNING && ++logger.lines > MAX_LINES_PER_SECOND;
}

static void
write_stdout (CmLogSeverity severity, const char *text)
{
  g_autofree char *line = NULL;

  if (is_over_rate (severity))
    {
      logger.dropped++;
      return;
    }
  if (logger.dropped > 0)
    line =
        g_strdup_printf ("{\"severity\":\"warning\",\"program\":\"%s\",\"instance\":\"%s\","
                         "\"event\":\"log-lines-dropped\",\"count\":%" G_GUINT64_FORMAT "}\n%s\n",
                         logger.program, logger.instance, logger.dropped, text);
  else
    line = g_strdup_printf ("%s\n", text);
  if (write_nonblocking (line, strlen (line)))
    logger.dropped = 0;
  else
    logger.dropped++;
}

static void
write_line (CmLogSeverity severity, json_t *line)
{
  char *text = json_dumps (line, JSON_COMPACT | JSON_PRESERVE_ORDER);

  if (text == NULL)
    return;
  if (logger.sink != NULL)
    logger.sink (text, logger.sink_data);
  else if (logger.to_stdout)
    write_stdout (severity, text);
  else
    fprintf (stderr, "%s\n", text);
  free (text);
}

void
cm_log_fields (CmLogSeverity severity, const char *event, ...)
{
  GDateTime *now;
  char *stamp;
  json_t *line;
  const char *type;
  va_list args;

  if (severity > logger.limit)
    return;
  now = g_date_time_new_now_utc ();
  stamp = g_date_time_format (now, "%Y-%m-%dT%H:%M:%S.%fZ");
  line =
      json_pack ("{s:s, s:s, s:s, s:s, s:s}", "time", stamp, "severity", severity_names[severity],
                 "program", logger.program, "instance", logger.instance, "event", event);
  va_start (args, event);
  while ((type = va_arg (args, const char *)) != NULL)
    {
      const char *name = va_arg (args, const char *);
      json_t *value = read_value (type[0], &args);

      if (value != NULL)
        json_object_set_new (line, name, value);
    }
  va_end (args);
  write_line (severity, line);
  json_decref (line);
  g_free (stamp);
  g_date_time_unref (now);
}

void
cm_invariant_failed (const char *name, const char *location)
{
  logger.invariant_failures++;
  cm_log (CM_LOG_CRIT, "invariant-failed", "s", "invariant", name, "s", "place", location);
  if (g_strcmp0 (g_getenv ("ALDERTURN_INVARIANTS"), "fatal") == 0)
    abort ();
}

guint64
cm_invariant_failures (void)
{
  return logger.invariant_failures;
}
