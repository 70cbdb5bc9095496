#pragma once

/**
 * Divides the capacity of a service among what callers offer: first by class, then, within each
 * class, by workspace. Loads are in microseconds of engine time a second.
 */

#include <glib.h>

/** A level that no workspace reaches: all that the class offers is admitted. */
#define POL_NO_LEVEL G_MAXUINT64

/** Load that a workspace offers in a class. */
typedef struct
{
  guint class;       /**< index of a class */
  guint32 workspace; /**< 0: `n` workspaces that have no row of their own, in equal parts */
  guint32 n;         /**< workspaces in the row; 1 if it names one */
  guint64 load;      /**< of all of them together */
} PolOfferedRow;

typedef struct
{
  double min_fraction; /**< of what the class offers that it gets before any class gets more */
  guint64 offered;     /**< sum of its rows */
  guint64 capacity;    /**< that it gets, `offered` at most */
  guint64 level;       /**< a workspace is admitted up to this load; POL_NO_LEVEL: in full */
} PolAdmissionClass;

/** Fills in `offered`, `capacity` and `level` of the classes, which are in order: each precedes
 * those after it. Rows of unknown classes are ignored; the order of rows is changed. */
void pol_admission_plan (guint64 capacity,
                         PolAdmissionClass *classes,
                         guint n_classes,
                         PolOfferedRow *rows,
                         guint n_rows);

/** Fraction of its requests, 0 to 1, that are within the share of a workspace with this load. */
double pol_admission_fraction (const PolAdmissionClass *class, guint64 load);
