#pragma once

/** Shared by the sources of the offered load only. */

#include "serve/offered.h"

/* Sums of rows by class and workspace. */
typedef struct
{
  GHashTable *by_key;
} SvOfferedSum;

static inline guint64
sv_offered_row_key (guint class, guint32 workspace)
{
  return (guint64) class << 32 | workspace;
}

SvOfferedSum sv_offered_sum_new (void);
void sv_offered_sum_add (SvOfferedSum *sum, const PolOfferedRow *row);

/** Frees the sum and returns its rows (PolOfferedRow), which the caller owns. */
GArray *sv_offered_sum_end (SvOfferedSum *sum);

PolOfferedRow *sv_offered_row_at (const GArray *rows, guint index);

/** Fills in the report with up to `max_named` rows of workspaces, and a row for the others of each
 * class. Those with the largest parts of their class's load are named: by load alone, the largest
 * would all be of the classes with long prompts. */
void sv_offered_fill_report (SvOfferedReport *report, const GArray *rows, guint max_named);
