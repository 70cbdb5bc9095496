#pragma once

/** Keys and JSON values of the declared configuration's rows in the table. */

#include "coord/apply.h"
#include "table/table.h"

#define CO_REVISION_ROW     "config/revision"
#define CO_OBJECT_PREFIX    "config/object/"
#define CO_CHANGE_PREFIX    "config/change/"
#define CO_OPERATION_PREFIX "config/operation/"

/** Keys; free with g_free. */
char *co_object_key (const char *kind, const char *name);
char *co_change_key (guint64 revision);
char *co_operation_key (const char *operation);

/** Values of rows; free with free(). */
char *co_revision_value (guint64 revision);
char *co_operation_value (guint64 revision, const char *digest);
char *co_object_value (const CoPlannedChange *change,
                       guint64 revision,
                       const char *operation,
                       const char *by);
char *co_change_value (const CoPlannedChange *change,
                       guint64 revision,
                       const char *operation,
                       const char *by);

/** The "revision" member of any of these values; 0 when there is none. */
guint64 co_row_revision (const char *value);

/** Decodes a change row or an object row. Free with alderturn__config_change__free_unpacked(). */
Alderturn__ConfigChange *co_row_to_change (const TbRow *row);

/** Digest of an operation's changes, to detect reuse of its id. Free with g_free. */
char *co_changes_digest (const json_t *changes);
