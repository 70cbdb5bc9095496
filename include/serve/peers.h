#pragma once

/**
 * The other instances of the system: who they are, whether they live, and what
 * they have in flight. Datagrams over UDP; nothing depends on one arriving.
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

/** There is, or was, an instance at this address; it is greeted. */
void sv_peers_learn (SvPeers *peers, const char *link_address);

/** How long nothing was heard from that address; 0: it is not known. */
KnlTime sv_peers_silence (const SvPeers *peers, const char *link_address);

/** Whether this instance takes callers; a change is told at once. */
void sv_peers_set_ready (SvPeers *peers, gboolean ready);

/**
 * Callers' addresses of instances that are ready, this one among them if it is,
 * those of `zone` first; at most `limit`. Free with g_ptr_array_unref.
 */
GPtrArray *sv_peers_ready_addresses (const SvPeers *peers, const char *zone, guint limit);

/** Peers heard of lately. */
guint sv_peers_n_alive (const SvPeers *peers);
