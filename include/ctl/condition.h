#pragma once

/**
 * Conditions over the rows of a table:
 *
 *     COND := TERM ["or" TERM]...      TERM := FACTOR ["and" FACTOR]...
 *     FACTOR := "not" FACTOR | "(" COND ")" | COLUMN OPERATOR VALUE
 *               | COLUMN "in" "(" VALUE, ... ")"
 *
 * with the operators = != < > <= >= and ~ (glob). Numbers compare as numbers.
 * A list satisfies a comparison when one of its items does; a row without the
 * column satisfies only != and "= null".
 */

#include <jansson.h>

#include "ctl/parser.h"
#include "ctl/table.h"

typedef struct ClCondition ClCondition;

/**
 * Parses a condition. Columns are checked against `table` unless it is NULL.
 * Returns NULL after a syntax error; an unknown column only adds a finding.
 */
ClCondition *cl_condition_parse (ClParser *parser, const ClTable *table);
void cl_condition_free (ClCondition *condition);

/** TRUE when `row`, a JSON object, satisfies the condition. */
gboolean cl_condition_matches (const ClCondition *condition, const json_t *row);

/**
 * Parses a column name, to be freed with g_free; adds a finding when `table` (or NULL) doesn't have
 * this column. Returns NULL after a finding when the name is missing.
 */
char *cl_column_parse (ClParser *parser, const ClTable *table);

/** Formats a cell as text: "-" for null, list items separated by commas; free with g_free. */
char *cl_cell_to_text (const json_t *cell);
