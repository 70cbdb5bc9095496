#pragma once

/**
 * Queue of member updates to send by gossip: names of changed members, each
 * sent a limited number of times, those sent the fewest times first.
 */

#include <glib.h>

#include "wire/alderturn.pb-c.h"

typedef struct CoGossip CoGossip;

CoGossip *co_gossip_new (void);
void co_gossip_free (CoGossip *gossip);

/** Queues a changed member; if it is already queued, its count of sends restarts at 0. */
void co_gossip_add (CoGossip *gossip, Alderturn__MemberKind kind, const char *name);

typedef void (*CoGossipFunc) (Alderturn__MemberKind kind, const char *name, gpointer data);

/**
 * Calls `func` for the next members to send, up to `count`, and counts one send
 * for each. A member that has been sent `max_sends` times is removed.
 */
void
co_gossip_pick (CoGossip *gossip, guint count, guint max_sends, CoGossipFunc func, gpointer data);

/** Number of queued members. */
guint co_gossip_length (const CoGossip *gossip);
