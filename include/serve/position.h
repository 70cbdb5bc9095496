#pragma once

/** Positions in the platform's store. When the store is restored from an older copy, its versions
 * go back and are then assigned again to different content. Each restoration begins an era, and
 * versions compare only within one era. */

#include <glib.h>

typedef struct
{
  guint64 era;     /**< from 1 on, rises with each restoration; 0: unknown */
  guint64 version; /**< rises with each change within the era; 0: nothing was read yet */
} SvPosition;

typedef enum
{
  SV_POSITION_OLDER,
  SV_POSITION_SAME,
  SV_POSITION_NEWER,
  SV_POSITION_UNRELATED, /**< the era of one of the two is unknown, so neither follows the other */
} SvPositionOrder;

/** Returns whether `a` is older or newer than `b`. Version 0 is older than any other. */
SvPositionOrder sv_position_compare (SvPosition a, SvPosition b);

/** Returns the newer one; `b` if they are the same or unrelated. */
SvPosition sv_position_newest (SvPosition a, SvPosition b);
