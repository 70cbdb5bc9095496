#pragma once

/**
 * Logging: one JSON object per line on standard error, with syslog's severities.
 *
 * Each line carries "time" (ISO 8601, UTC), "severity", "program", "instance",
 * "event" (a short constant) and the caller's fields.
 */

#include <glib.h>

typedef enum
{
  CM_LOG_EMERG,
  CM_LOG_ALERT,
  CM_LOG_CRIT,
  CM_LOG_ERR,
  CM_LOG_WARNING,
  CM_LOG_NOTICE,
  CM_LOG_INFO,
  CM_LOG_DEBUG,
} CmLogSeverity;

/**
 * Switches logging to standard output and never blocks on it. A line is dropped
 * when the output isn't writable or when the rate limit for lines less severe
 * than a warning is exceeded. The next line written is preceded by one with the
 * number of lines dropped.
 */
void cm_log_to_stdout (void);

/** Receives log lines in place of standard error; used by tests. */
typedef void (*CmLogSink) (const char *line, gpointer data);

/** Sets the program and instance of all later lines. Lines less severe than `limit` are dropped. */
void cm_log_init (const char *program, const char *instance, CmLogSeverity limit);

/** Sends lines, without a newline, to `sink`; NULL removes the sink. */
void cm_log_set_sink (CmLogSink sink, gpointer data);

/** Rate limit for a log event that remote input can trigger; zero-initialized. */
typedef struct
{
  gint64 logged_at; /**< when a line was last allowed, us */
  gint64 count;     /**< occurrences, logged or not */
} CmLogRateLimit;

/** Counts an occurrence. TRUE if it may be logged: at most one per second. `now`: on the caller's
 * clock, us. */
gboolean cm_log_rate_limit_allows (CmLogRateLimit *limit, gint64 now);

/** Parses a severity's syslog name, such as "warning"; FALSE if the name is unknown. */
gboolean cm_log_severity_parse (const char *name, CmLogSeverity *severity);

/**
 * Writes one line. `event` is followed by triples of type letter, field name and
 * value: "s" const char * (the field is omitted if NULL), "i" gint64, "f" double,
 * "b" gboolean. A NULL type ends the list; cm_log() adds it.
 */
void cm_log_fields (CmLogSeverity severity, const char *event, ...) G_GNUC_NULL_TERMINATED;

#define cm_log(severity, event, ...)                                                               \
  cm_log_fields ((severity), (event), ##__VA_ARGS__, (char *)NULL)

/**
 * Checks an invariant of the running program and evaluates to whether it holds.
 * A failure is logged and counted (cm_invariant_failures()). It aborts the process
 * if the environment has ALDERTURN_INVARIANTS=fatal, which all tests set.
 */
#define cm_invariant(condition, name)                                                              \
  ((condition) ? TRUE : (cm_invariant_failed ((name), G_STRLOC), FALSE))

void cm_invariant_failed (const char *name, const char *location);

/** Number of invariant failures in this process. */
guint64 cm_invariant_failures (void);
