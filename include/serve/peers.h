#pragma once

/**
 * The other instances of the system: which exist, which are alive, and what load they have in
 * flight. They exchange UDP datagrams, any of which may be lost.
 *
 * The instances of one availability zone form a cell. Within a cell each instance announces all its
 * load in flight; of other cells it knows only the sums. The strongest instance of a cell is its
 * relay: it announces its cell's sums to the relays of other cells and forwards theirs to its own
 * cell. A change thus crosses between two zones once, whatever the number of instances there.
 *
 * An instance that starts needs to reach one live instance of its cell, which introduces it to the
 * others.
 */

#include <event2/event.h>

#include "serve/core.h"
#include "serve/offered.h"

typedef struct SvPeers SvPeers;

typedef struct
{
  const char *name;
  guint64 incarnation; /**< rises with each start */
  const char *link_address;
  const char *callers_address;
  const char *zone;
  const char *region;
  guint16 passing_port; /**< where all instances take requests of peers; 0: they don't */
  guint strength;       /**< thousandths of a core; the strongest become relay and followers */
} SvMember;

/** Binds the UDP socket to `member->link_address`; strings are copied. Returns NULL with errno set
 * if it can't be bound. */
SvPeers *
sv_peers_new (KnlKernel *kernel, struct event_base *base, SvFleet *fleet, const SvMember *member);
void sv_peers_free (SvPeers *peers);

/** Sets the records of crashes that are exchanged with other instances; NULL: none. They must
 * outlive `peers`, or be set to NULL before they are freed. */
void sv_peers_set_crashes (SvPeers *peers, SvCrashes *crashes);

/** Sets the quarantined segments, and what is known of others, that are exchanged with other
 * instances; NULL: none. They must outlive `peers`, or be set to NULL before they are freed. */
void sv_peers_set_quarantine (SvPeers *peers, SvQuarantine *quarantine);

/** Sets the offered load that is exchanged with other instances; NULL: none. It must outlive
 * `peers`, or be set to NULL before it is freed. */
void sv_peers_set_offered (SvPeers *peers, SvOffered *offered);

/** The link through which the core announces changes; owned by `peers`. */
SvPeerLink *sv_peers_link (SvPeers *peers);

/** Notes that an instance with this name, link address, zone and strength exists or existed; the
 * other fields aren't read, except `incarnation` (0: unknown). One of our own cell that is new, or
 * has restarted, is sent an introduction. */
void sv_peers_discover (SvPeers *peers, const SvMember *member);

/** Asks an instance of our cell to introduce this one to the cell. The request may be lost. */
void sv_peers_join (SvPeers *peers, const SvMember *contact);

/** Fills in this instance and the strongest live ones of its cell, through which others can find
 * the cell. Returns their number, 1 to `max_contacts`; the strings are owned by `peers`. */
guint sv_peers_contacts (const SvPeers *peers, SvMember *contacts, guint max_contacts);

/** Whether a datagram arrived recently from that link address. */
gboolean sv_peers_has_alive (const SvPeers *peers, const char *link_address);

/** Sets the newest configuration version and endpoint list revision of this instance, which
 * heartbeats announce. */
void sv_peers_set_versions (SvPeers *peers, guint64 config, SvPosition endpoints);

/** Sets whether the store has left this instance's requests unanswered; a change is announced at
 * once. */
void sv_peers_set_cut_off (SvPeers *peers, gboolean cut_off);

/** Whether the store doesn't answer this instance but answers another one of its cell. */
gboolean sv_peers_is_cut_off_alone (const SvPeers *peers);

/** Announces that this instance is about to stop, so that others take over as relay and follower.
 */
void sv_peers_leave (SvPeers *peers);

/** Whether this instance is the relay of its cell. */
gboolean sv_peers_is_relay (const SvPeers *peers);

/** Whether this instance reads the store's feed itself: it is one of the strongest of its cell that
 * the store answers, or its cell is too small for sharing to pay off. */
gboolean sv_peers_follows_store (const SvPeers *peers);

/** Whether our cell has enough stronger instances to follow the store for it, from which no
 * datagram has arrived yet. */
gboolean sv_peers_expects_followers (const SvPeers *peers);

/** Whether the instance with that link address follows the store for our cell, or may do so in
 * place of those that do. */
gboolean sv_peers_is_source (const SvPeers *peers, const char *link_address);

/** Whether not to choose the instance with that link address. */
typedef gboolean (*SvPeerAvoidFunc) (const char *link_address, gpointer data);

/** Link address of an instance that follows the store: one of our cell, or else a relay of another
 * cell. NULL if all are avoided. Owned by `peers`. */
const char *sv_peers_choose_follower (const SvPeers *peers, SvPeerAvoidFunc avoid, gpointer data);

/** Sets whether this instance accepts callers; a change is announced at once. */
void sv_peers_set_ready (SvPeers *peers, gboolean ready);

/** Addresses for callers of instances that are ready, those of `zone` first; at most
 * `max_addresses`. Includes this instance if it is ready. Of other cells only some addresses are
 * known. Free with g_ptr_array_unref. */
GPtrArray *sv_peers_ready_addresses (const SvPeers *peers, const char *zone, guint max_addresses);

/** Datagrams sent to other instances since the start, and their bytes. */
typedef struct
{
  guint64 datagrams;
  guint64 bytes;
} SvPeerTraffic;

SvPeerTraffic sv_peers_sent (const SvPeers *peers);

/** Number of live peers in all cells. */
guint sv_peers_n_alive (const SvPeers *peers);

/** This instance has read the rows of all cells, and with them how many instances there are. Until
 * it has, or a peer that has told it, it has no part in allowances that all share. */
void sv_peers_note_counted (SvPeers *peers);

/** Whether this instance hears so few of the others that it may be cut off from them: it and those
 * that it hears are at most half of all. */
gboolean sv_peers_is_parted (const SvPeers *peers);

/** Whether it stands in for the relay of its cell, which may hear nobody: it is parted, and one of
 * the first instances of its cell. */
gboolean sv_peers_is_substitute (const SvPeers *peers);

/** Number of live peers in our own cell. */
guint sv_peers_n_alive_in_cell (const SvPeers *peers);
