#pragma once

/** Max-min fair shares of a capacity. */

#include <glib.h>

/**
 * Returns one participant's share of `capacity`. `wants` holds the demands of
 * all participants (guint64, ascending) and `own` is this one's. A demand up to
 * the equal share of what remains is met in full; larger ones get that equal
 * share. The fraction `reserve` of the capacity (0 to 1), and capacity that is
 * not in demand, are divided equally among all.
 */
guint64 co_fair_share (const GArray *wants, guint64 own, guint64 capacity, double reserve);
