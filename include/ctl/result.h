#pragma once

/** The result of a command: status, message, rows, findings and notes. */

#include <jansson.h>

#include "common/findings.h"

/** Also the program's exit status. */
typedef enum
{
  CL_DONE = 0,
  CL_BAD = 1,          /**< invalid command, file or setting; nothing was changed */
  CL_REFUSED = 2,      /**< refused by the controller; nothing was changed */
  CL_CONFLICT = 3,     /**< the object's revision isn't the expected one; nothing was changed */
  CL_NOT_IN_FORCE = 4, /**< some instances haven't applied the revision yet */
  CL_NOT_RUN = 5,      /**< some or all instances not reached, or it wasn't run; nothing changed */
  CL_UNKNOWN = 6,      /**< sent, but no answer says whether it took effect */
} ClStatus;

typedef struct
{
  ClStatus status;
  char *message;       /**< human-readable; or NULL */
  char **columns;      /**< columns of `rows` to print, NULL-terminated; or NULL */
  json_t *rows;        /**< array of objects; or NULL */
  json_t *details;     /**< object with additional members of the JSON output; or NULL */
  CmFindings findings; /**< errors in the input */
  GPtrArray *notes;    /**< char *: remarks on the result, such as entries missing from it */
} ClResult;

/* cppcheck can't read G_GNUC_PRINTF after a function that returns a pointer. */
ClResult *cl_result_new (ClStatus status, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
void cl_result_free (ClResult *result);

/** Sets a member of the details; takes ownership of `value`. */
void cl_result_set (ClResult *result, const char *name, json_t *value);

void cl_result_note (ClResult *result, const char *format, ...) G_GNUC_PRINTF (2, 3);

/** The name of a status in JSON output: "done", "bad", "refused", ... */
const char *cl_status_name (ClStatus status);
