#pragma once

/**
 * Forwards entries' requests for idempotency records, credits and shares to the
 * controllers that hold their shards, and the answers back to the entries. A
 * request that was forwarded by another controller is never forwarded again:
 * it is answered from the shards held here.
 */

#include "controller/links.h"
#include "coord/idem.h"

typedef struct CtRelay CtRelay;

/** Callbacks that answer for the shards held by this controller. */
typedef struct
{
  /** Adds grants (owned pointers) for those engines of `request` whose shard is held here. */
  void (*credit) (const Alderturn__CreditRequest *request, GPtrArray *grants, gpointer data);
  /** Adds shares (owned pointers) for those workspaces of `report` whose shard is held here. */
  void (*share) (const Alderturn__ShareReport *report, GPtrArray *shares, gpointer data);
  /** The address that a controller listens on, valid until members change; NULL: not known. */
  const char *(*address) (const char *controller, gpointer data);
} CtRelayAnswers;

typedef struct
{
  KnlKernel *kernel;
  CtLinks *links;
  CoLeases *leases;
  CoIdem *idem;
  CtRelayAnswers answers;
  gpointer data;
  KnlTime begin_timeout;  /**< a begin that no holder has answered in this time is refused */
  KnlTime finish_timeout; /**< likewise for a finish, which the entry sends again */
} CtRelayOptions;

CtRelay *ct_relay_new (const CtRelayOptions *options);
void ct_relay_free (CtRelay *relay);

/**
 * The link to a controller. NULL while the link is being opened, which this starts, or if the
 * controller's address isn't known.
 */
CtPeer *ct_relay_connect (const CtRelayOptions *options, const char *controller);

/** TRUE if the frame was of a type that the relay handles. */
gboolean ct_relay_handle_frame (CtRelay *relay, CtPeer *peer, const Alderturn__Frame *frame);

/** A link has closed: the answers expected over it won't come. */
void ct_relay_peer_closed (CtRelay *relay, const CtPeer *peer);

/** Idempotency requests of entries that haven't been answered yet. */
guint ct_relay_pending (const CtRelay *relay);
