#pragma once

/** The value of a row "lease/N". */

#include <glib.h>

#include "kernel/kernel.h"

typedef struct
{
  char *holder;
  guint64 incarnation;
  guint64 fence;
  KnlTime duration;
  KnlTime sent; /**< on the holder's clock; not comparable with other processes' clocks */
  gboolean released;
} CoLeaseRow;

/** Returns FALSE if `value` is not a valid row; clear `row` with co_lease_row_clear(). */
gboolean co_lease_row_parse (const char *value, CoLeaseRow *row);
void co_lease_row_clear (CoLeaseRow *row);

/** The row as text to store; free it with free(). */
char *co_lease_row_value (const CoLeaseRow *row);
