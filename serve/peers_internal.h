#pragma once

/** What the parts of the peers share; nothing outside of them includes this. */

#include <sys/socket.h>

#include "common/log.h"
#include "serve/peers.h"
#include "wire/datagram.pb-c.h"

/* Longest datagram; ROWS_MOST rows of each kind stay below it. */
#define DATAGRAM_BYTES 2048

/** Another instance. */
typedef struct
{
  char *name; /* NULL: nothing was heard from it yet */
  char *link_address;
  char *callers_address;
  char *zone;
  struct sockaddr_storage socket_address;
  int socket_length;
  guint32 id;
  guint64 incarnation;
  guint64 sequence;
  gboolean ready;
  gboolean is_counted; /* endpoints have rows of what it has in flight */
  KnlTime heard_at;    /* -KNL_NEVER: never */
  KnlTime known_since;
  KnlTime learned_at; /* last time that somebody named it */
  KnlTime told_since; /* since when `n_told` counts */
  guint n_told;       /* losses that it has told */
} Peer;

/** A peer asks for a confirmation, or answers a question of ours. */
typedef void (*SvPeerConfirmFunc) (const Peer *peer,
                                   const Alderturn__Confirmation *confirmation,
                                   gpointer data);

struct SvPeers
{
  SvPeerLink link;
  KnlKernel *kernel;
  SvFleet *fleet;
  SvMember self;
  guint32 id;
  guint64 sequence;
  gboolean ready;
  evutil_socket_t socket;
  struct event *readable;
  GHashTable *peers;     /* link address -> Peer */
  GHashTable *by_id;     /* id -> Peer */
  GArray *reads;         /* PlacedReadRow not told yet */
  GArray *suspects;      /* guint64 not told yet */
  GArray *lost;          /* guint64, keys of endpoints not told yet */
  GArray *answering;     /* the same */
  CmLogLimit unreadable; /* datagrams */
  KnlTimerId beat_timer;
  guint beats; /* sent so far */
  KnlTimerId change_timer;
  SvPeerConfirmFunc on_confirmation; /* NULL: none */
  gpointer on_confirmation_data;
  SvPeerSuspectFunc on_suspect;
  gpointer on_suspect_data;
};

/** A prompt placed for reading, or its end, to be told. */
typedef struct
{
  guint64 prompt;
  KnlTime length;
  gboolean until_told;
  guint n; /* endpoints that read it; 0: its end */
  guint64 keys[SV_HELPERS + 1];
} PlacedReadRow;

/* peers.c */

/** Takes a datagram, whatever its bytes are. */
void sv_peers_take_bytes (SvPeers *self, const guint8 *bytes, gsize length);

gboolean sv_peer_is_alive (const SvPeers *self, const Peer *peer);

void sv_peers_on_confirmation (SvPeers *self, SvPeerConfirmFunc func, gpointer data);

/* peers_tell.c */

/** What the core reports to. */
extern const SvPeerLinkClass sv_peers_link_class;

/** Sends who we are and all that we have in flight to `peer`; NULL: to all. */
void sv_peers_send_whole (SvPeers *self, const Peer *peer);

/** Sends the question or answer, alone. */
void sv_peers_send_confirmation (SvPeers *self,
                                 const Peer *peer,
                                 const Alderturn__Confirmation *confirmation);

/** Tells all that we live, and no more. */
void sv_peers_send_beat (SvPeers *self);
