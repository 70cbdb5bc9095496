#pragma once

/** The tables of the `show` command, and their columns. */

#include <glib.h>
#include <jansson.h>

/** Where the rows of a table come from. */
typedef enum
{
  CL_TABLE_CONTROLLER, /**< any controller */
  CL_TABLE_ENTRIES,    /**< all entries, each for its own requests */
} ClTableSource;

typedef struct
{
  const char *name;
  ClTableSource source;
  const char *kind;           /**< schema kind that defines the columns; or NULL */
  const char *const *columns; /**< NULL-terminated; NULL if `kind` is set */
} ClTable;

/** All tables, terminated by one with a NULL name. */
const ClTable *cl_tables (void);

const ClTable *cl_table_find (const char *name);

/** The table's columns in default order; free with g_strfreev. */
char **cl_table_columns (const ClTable *table);

gboolean cl_table_has_column (const ClTable *table, const char *column);

/** Adds the schema's defaults for fields missing from `rows`, if the table has a kind. */
void cl_table_fill_defaults (const ClTable *table, json_t *rows);
