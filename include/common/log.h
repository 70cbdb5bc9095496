#pragma once

/**
 * Log lines: one JSON object a line on standard error, with syslog's severities.
 *
 * Each line carries "time" (ISO 8601, UTC), "severity", "program", "instance",
 * "event" (a short constant) and the fields given.
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
 * Sends lines to standard output from now on, without ever blocking: a line that
 * its reader has no room for, or beyond a bounded number a second, is dropped,
 * and the next line that goes out is preceded by one that counts those.
 */
void cm_log_to_stdout (void);

/** Where lines go when not to standard error; tests collect them. */
typedef void (*CmLogSink) (const char *line, gpointer data);

/** Names the program and instance in every later line and drops lines less severe than `limit`. */
void cm_log_init (const char *program, const char *instance, CmLogSeverity limit);

/** Sends lines to `sink` (without the line end); NULL restores standard error. */
void cm_log_set_sink (CmLogSink sink, gpointer data);

/** Lines of one kind that others can cause at will; zeroed at first. */
typedef struct
{
  gint64 logged_at; /**< when the last of them was written, us */
  gint64 count;     /**< all of them, written or not */
} CmLogLimit;

/** Counts one; whether it may be written: one a second at most. `now`: on the caller's clock, us.
 */
gboolean cm_log_limit (CmLogLimit *limit, gint64 now);

/** Reads a severity's syslog name ("warning"); FALSE when there is none of that name. */
gboolean cm_log_severity_parse (const char *name, CmLogSeverity *severity);

/**
 * Writes one line. After `event` come triples of a type letter, a field name
 * and a value: "s" const char * (left out when NULL), "i" gint64, "f" double,
 * "b" gboolean; a NULL type ends the list. Use cm_log(), which adds that NULL.
 */
void cm_log_fields (CmLogSeverity severity, const char *event, ...) G_GNUC_NULL_TERMINATED;

#define cm_log(severity, event, ...)                                                               \
  cm_log_fields ((severity), (event), ##__VA_ARGS__, (char *)NULL)

/**
 * An invariant of the running program. When `condition` does not hold it is
 * logged and counted (cm_invariant_failures()); it aborts when the environment
 * has ALDERTURN_INVARIANTS=fatal, as all tests have.
 */
#define cm_invariant(condition, name)                                                              \
  ((condition) ? TRUE : (cm_invariant_failed ((name), G_STRLOC), FALSE))

void cm_invariant_failed (const char *name, const char *place);

/** How many invariants have failed in this process. */
guint64 cm_invariant_failures (void);
