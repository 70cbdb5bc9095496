#pragma once

/**
 * The query of a `show` command: TABLE [where COND] [columns A, B] [order by COL [desc]] [limit N].
 * Clauses may come in any order, each at most once.
 */

#include "ctl/condition.h"

typedef struct
{
  const ClTable *table;
  ClCondition *where; /**< NULL: all rows */
  char **columns;     /**< NULL: all columns of the table */
  char *order;        /**< name of the column to sort by; NULL: order of the input */
  gboolean descending;
  guint64 limit; /**< maximum number of rows; G_MAXUINT64: all */
} ClQuery;

/** Parses the rest of the command. Returns NULL after findings. */
ClQuery *cl_query_parse (ClParser *parser);
void cl_query_free (ClQuery *query);

/** Filters, sorts and limits `rows`, an array of objects, and selects the query's columns. */
json_t *cl_query_run (const ClQuery *query, const json_t *rows);

/** The columns to print, of the query or else of the table; free with g_strfreev. */
char **cl_query_columns (const ClQuery *query);
