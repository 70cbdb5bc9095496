#pragma once

/**
 * Schema of the declared configuration: the kinds of object, their fields, types,
 * bounds and defaults. alderturnctl checks with it, so that findings have a line and
 * a column; the controller checks again, as its check is the authoritative one.
 */

#include <glib.h>
#include <jansson.h>

#include "common/findings.h"

typedef enum
{
  CO_FIELD_STRING,
  CO_FIELD_INTEGER,
  CO_FIELD_DOUBLE,
  CO_FIELD_BOOLEAN,
  CO_FIELD_NAMES, /**< list of strings */
} CoFieldType;

typedef struct
{
  const char *name;
  CoFieldType type;
  gboolean required;
  const char *fallback; /**< default as JSON text; NULL: none */
  double min;
  double max;
  const char *const *values; /**< allowed strings, NULL-terminated; NULL: any */
  const char *refers_to;     /**< kind of the objects that the value must name; or NULL */
  gboolean secret;           /**< displayed as "***" */
  const char *help;
} CoField;

typedef struct
{
  const char *name;
  const CoField *fields; /**< terminated by a field without a name */
  const char *help;
} CoKind;

/** All kinds, terminated by one without a name. */
const CoKind *co_schema_kinds (void);
const CoKind *co_schema_kind (const char *name);
const CoField *co_kind_field (const CoKind *kind, const char *name);

/**
 * Checks the fields of one object against its kind: unknown and missing fields,
 * types, bounds. References aren't resolved here. A finding's `where` is
 * "KIND NAME.FIELD"; `source`, `line` and `column` are copied into it.
 */
void co_schema_check (const CoKind *kind,
                      const char *name,
                      const json_t *fields,
                      const char *source,
                      guint line,
                      guint column,
                      CmFindings *findings);

/** TRUE for a valid object name: 1 to 63 of a-z, 0-9, "-", ".", starting with a letter or digit. */
gboolean co_schema_name_valid (const char *name);
