#pragma once

/** A change to one declared object, with its locations in the source text. */

#include <jansson.h>

#include "coord/schema.h"
#include "ctl/parser.h"

typedef struct
{
  guint line;
  guint column;
} ClLocation;

typedef struct
{
  gboolean remove;
  gboolean replace; /**< `fields` holds the whole object; fields left out get their defaults */
  const CoKind *kind;
  char *name;
  json_t *fields;                 /**< an object, empty for a removal */
  gboolean has_expected_revision; /**< the change is conditional on `expected_revision` */
  guint64 expected_revision;      /**< the change is refused if the object's revision differs */
  char *source;                   /**< name of the file or command line, for findings */
  ClLocation location;            /**< of the object */
  GHashTable *field_locations; /**< field -> ClLocation, including fields whose value is invalid */
} ClChange;

/**
 * Parses "KIND NAME". Returns NULL after a finding when the kind or the name is
 * missing. An unknown kind is a finding too; the change then has `kind` NULL.
 */
ClChange *cl_change_parse (ClParser *parser);
ClChange *
cl_change_new (const CoKind *kind, const char *name, const char *source, ClLocation location);
void cl_change_free (ClChange *change);

/**
 * Parses "FIELD = VALUE" and checks the value against the kind's schema.
 * Returns FALSE after a syntax error only, not for a value that the schema rejects.
 */
gboolean cl_change_parse_field (ClChange *change, ClParser *parser);

/** Parses an optional "if revision N". Returns FALSE after a finding. */
gboolean cl_change_parse_expected_revision (ClChange *change, ClParser *parser);

/** Adds a finding for each required field that is missing from the source text. */
void cl_change_check_required (const ClChange *change, CmFindings *findings);

/**
 * The location of the field that a finding's `where` ("KIND NAME.FIELD") refers to, or that of the
 * object when the change doesn't set this field.
 */
ClLocation cl_change_locate (const ClChange *change, const char *where);

/** The field that a finding's `where` refers to, or NULL when the change doesn't set it. */
const char *cl_change_find_field (const ClChange *change, const char *where);

/** Encodes an array of ClChange as the "changes" member of POST /v1/apply. */
json_t *cl_changes_to_json (const GPtrArray *changes);
