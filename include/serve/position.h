#pragma once

/**
 * Positions in the platform's store. The store may come back from an older copy:
 * versions go back then, and are given out again for other content. Each such
 * return begins an era, so that a version says something within its era only.
 */

#include <glib.h>

typedef struct
{
  guint64 era;     /**< from 1 on, rises with each return from a copy; 0: not told */
  guint64 version; /**< rises with each change within the era; 0: nothing is known yet */
} SvPosition;

typedef enum
{
  SV_POSITION_OLDER,
  SV_POSITION_SAME,
  SV_POSITION_NEWER,
  SV_POSITION_UNRELATED, /**< one of the two tells no era, so that neither follows the other */
} SvPositionOrder;

/** What `a` is, seen from `b`. Nothing known is older than anything. */
SvPositionOrder sv_position_compare (SvPosition a, SvPosition b);

/** The newer one; `b` where they are unrelated. */
SvPosition sv_position_newest (SvPosition a, SvPosition b);
