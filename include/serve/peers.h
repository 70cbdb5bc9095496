#pragma once

/**
 * The other instances of the system: who they are, whether they live, and what
 * they have in flight. Datagrams over UDP; nothing depends on one arriving.
 *
 * The instances of one availability zone are a cell. They tell each other all
 * they have in flight; of other cells each knows what all their instances have
 * in flight together. The strongest instance of a cell is its relay: it tells
 * the relays of other cells its cell's sums, and passes theirs on. So a change
 * crosses between two zones once, whatever the number of instances there.
 */

#include <event2/event.h>

#include "serve/core.h"

typedef struct SvPeers SvPeers;

typedef struct
{
  const char *name;
  guint64 incarnation; /**< rises with each start */
  const char *link_address;
  const char *callers_address;
  const char *zone;
  const char *region;
  guint strength; /**< thousandths of a core; the strongest instances work for the others */
} SvMember;

/** A peer reports a request that crashes endpoints. */
typedef void (*SvPeerSuspectFunc) (guint64 fingerprint, gpointer data);

/** Binds `self->link_address`; strings are copied. NULL: it can't be bound, errno is set. */
SvPeers *
sv_peers_new (KnlKernel *kernel, struct event_base *base, SvFleet *fleet, const SvMember *self);
void sv_peers_free (SvPeers *peers);

void sv_peers_on_suspect (SvPeers *peers, SvPeerSuspectFunc func, gpointer data);

/** The link that the core reports to; owned by the peers. */
SvPeerLink *sv_peers_link (SvPeers *peers);

/** There is, or was, an instance with this name, link address, zone and strength; the rest is not
 * read. One of our cell is greeted. */
void sv_peers_learn (SvPeers *peers, const SvMember *member);

/** How long nothing was heard from that address; 0: it is not known, or of another cell. */
KnlTime sv_peers_silence (const SvPeers *peers, const char *link_address);

/** Newest configuration and newest revision in the list of endpoints that this instance has. */
void sv_peers_set_versions (SvPeers *peers, guint64 config, SvPosition endpoints);

/** This instance asks the store, and has no answer; a change is told at once. */
void sv_peers_set_cut_off (SvPeers *peers, gboolean cut_off);

/** Whether the store does not answer this instance, and answers another one of its cell. */
gboolean sv_peers_is_cut_off_alone (const SvPeers *peers);

/** This instance is about to end: others take over what it does for them. */
void sv_peers_leave (SvPeers *peers);

/** Whether this instance tells other cells of its own, and passes on what they tell. */
gboolean sv_peers_is_relay (const SvPeers *peers);

/**
 * Whether this instance follows the store itself: one of the strongest of its
 * cell that the store answers, or of a cell so small that there is little to save.
 */
gboolean sv_peers_follows (const SvPeers *peers);

/** Whether stronger instances of our cell, enough to follow the store, have been learned of and not
 * been heard yet. */
gboolean sv_peers_expects_followers (const SvPeers *peers);

/** Whether the instance with that link address is one of our cell that follows the store. */
gboolean sv_peers_is_follower (const SvPeers *peers, const char *link_address);

/** Link address of an instance of our cell that follows the store, another one than `avoid` (may
 * be NULL); NULL: there is none. */
const char *sv_peers_follower (const SvPeers *peers, const char *avoid);

/** Whether this instance takes callers; a change is told at once. */
void sv_peers_set_ready (SvPeers *peers, gboolean ready);

/**
 * Callers' addresses of instances that are ready, this one among them if it is,
 * those of `zone` first; at most `limit`. Of other cells some are known. Free
 * with g_ptr_array_unref.
 */
GPtrArray *sv_peers_ready_addresses (const SvPeers *peers, const char *zone, guint limit);

/** Peers heard of lately, in all cells. */
guint sv_peers_n_alive (const SvPeers *peers);

/** The same in our cell alone. */
guint sv_peers_n_alive_in_cell (const SvPeers *peers);
