#pragma once

/**
 * Findings: all errors in an input, each with its location. They are collected
 * and reported together, so that one run shows the user every error.
 */

#include <glib.h>

typedef struct
{
  char *source; /**< a file's name, "flag", "environment", "command" */
  guint line;   /**< from 1; 0: the source has no lines */
  guint column; /**< from 1, in characters; 0: the source has no columns */
  char *where;  /**< the setting, object or field, such as "workspace a.weight"; may be NULL */
  char *text;   /**< what is wrong and what is expected */
} CmFinding;

/** A list of findings in the order in which they were added. */
typedef struct
{
  GPtrArray *items; /**< CmFinding */
} CmFindings;

void cm_findings_init (CmFindings *findings);
void cm_findings_clear (CmFindings *findings);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (CmFindings, cm_findings_clear)

void cm_findings_add (CmFindings *findings,
                      const char *source,
                      guint line,
                      guint column,
                      const char *where,
                      const char *format,
                      ...) G_GNUC_PRINTF (6, 7);

guint cm_findings_count (const CmFindings *findings);
const CmFinding *cm_findings_get (const CmFindings *findings, guint index);

/** "source:line:column: where: text"; unset parts are left out. Free with g_free. */
char *cm_finding_to_string (const CmFinding *finding);

/** All findings, one per line; free with g_free. */
char *cm_findings_to_string (const CmFindings *findings);

/** Writes all findings to standard error, one per line; FALSE if there are none. */
gboolean cm_findings_report (const CmFindings *findings);
