#pragma once

/** Literals: words, quoted texts, numbers with suffixes, lists. */

#include <jansson.h>

#include "coord/schema.h"
#include "ctl/parser.h"

/**
 * Parses a number such as 12, 0.8, -3, 32k, 1.5M or 2G (powers of 1,000). Returns
 * FALSE if `text` isn't a number.
 */
gboolean cl_number_parse (const char *text, double *number);

/**
 * Parses one value: a word, a quoted text, or a list in brackets. An unquoted
 * word is converted to the type of `field` (NULL: unknown field, kept as text); a
 * quoted one stays text. Returns NULL after a finding.
 */
json_t *cl_value_parse (ClParser *parser, const CoField *field);
