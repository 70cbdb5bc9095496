#pragma once

/** Formats results: aligned tables for the terminal, one JSON object per line for scripts. */

#include "ctl/result.h"

/** A result as a JSON object without a line end; free with g_free. `command` may be NULL. */
char *cl_output_json (const char *command, const ClResult *result);

/** The text for standard output: rows, and the message of a success; free with g_free. */
char *cl_output_text (const ClResult *result);

/** The text for standard error: findings, the message of a failure, notes; free with g_free. */
char *cl_output_problems (const ClResult *result);
