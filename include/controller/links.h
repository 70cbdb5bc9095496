#pragma once

/** The links of a controller: from entries, which connect to it, and to and from controllers. */

#include "wire/link.h"

typedef struct CtLinks CtLinks;

/** The process at the other end of a link. */
typedef struct
{
  CtLinks *links;
  WrLink *link;
  guint64 id; /**< of this link; never reused, 0 before the handshake */
  Alderturn__Role role;
  char *name;
  guint64 incarnation;
  char *zone;
  char *region;
  char *address;
  char *caller_address;
  guint64 revision;            /**< of the configuration in force there, as last reported */
  KnlTime config_requested_at; /**< when its configuration was last requested; 0: never */
  KnlTime last_sent_at;        /**< when a frame other than a heartbeat was last sent to it */
  gboolean dialed;             /**< this controller opened the link */
  gboolean draining;
  gboolean ready;
  guint in_flight;
} CtPeer;

/** None is called inside one of the functions below, except `closed`. */
typedef struct
{
  void (*opened) (CtPeer *peer, gpointer data);
  void (*frame) (CtPeer *peer, const Alderturn__Frame *frame, gpointer data);
  /** The peer is freed when this returns. */
  void (*closed) (CtPeer *peer, gpointer data);
} CtLinksEvents;

/** `identity` must outlive the links. */
CtLinks *ct_links_new (KnlKernel *kernel,
                       WrTransport *transport,
                       const WrIdentity *identity,
                       const CtLinksEvents *events,
                       gpointer data);
/** FALSE if it can't listen on `address`. */
gboolean ct_links_listen (CtLinks *links, const char *address);

/** Closes all links; `closed` is called for each that was open. */
void ct_links_free (CtLinks *links);

/**
 * Opens a link to controller `name` unless there is one or one is being opened. It is closed after
 * 5 to 10 seconds in which nothing was sent over it, unless it is kept by ct_links_keep().
 */
void ct_links_connect (CtLinks *links, const char *name, const char *address);

/** Opens links to these controllers and keeps them open; replaces the list of the previous call. */
void
ct_links_keep (CtLinks *links, const char *const *names, const char *const *addresses, guint n);

CtPeer *ct_links_find (CtLinks *links, Alderturn__Role role, const char *name);
CtPeer *ct_links_find_id (CtLinks *links, guint64 id);

/**
 * Calls `func` for each peer of `role`, or for all peers with ROLE_UNSPECIFIED. `func` must not
 * close a link.
 */
void ct_links_foreach (CtLinks *links,
                       Alderturn__Role role,
                       void (*func) (CtPeer *peer, gpointer data),
                       gpointer data);

/** Sends to each peer of `role`, or to all peers with ROLE_UNSPECIFIED. */
void ct_links_broadcast (CtLinks *links, Alderturn__Role role, const Alderturn__Frame *frame);

void ct_peer_send (CtPeer *peer, const Alderturn__Frame *frame);
