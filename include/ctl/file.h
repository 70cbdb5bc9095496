#pragma once

/**
 * Configuration files:
 *
 *     # a comment
 *     KIND NAME { FIELD = VALUE FIELD = VALUE ... }
 *     remove KIND NAME
 *
 * Line ends are white space; a comma or semicolon may follow a field. A block
 * replaces the whole object: fields that it leaves out get their defaults.
 */

#include "ctl/change.h"

/** Parses a file into an array of ClChange; errors are added to `findings`. */
GPtrArray *cl_file_parse (const char *text, const char *source, CmFindings *findings);
