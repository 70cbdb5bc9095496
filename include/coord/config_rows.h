#pragma once

/** The rows of the declared configuration in the table, and their JSON. */

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

/** The "revision" in any of these values; 0 when there is none. */
guint64 co_row_revision (const char *value);

/** The change that a change row or an object row tells of; free as protobuf-c does. */
Alderturn__ConfigChange *co_row_to_change (const TbRow *row);

/** Names the changes of an operation, so that another use of its id is noticed. */
char *co_changes_digest (const json_t *changes);
