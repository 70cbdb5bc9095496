#pragma once

/** What the parts of the peers share; nothing outside of them includes this. */

#include <sys/socket.h>

#include "common/log.h"
#include "serve/peers.h"
#include "wire/datagram.pb-c.h"

/* Longest datagram; ROWS_MOST rows of each kind stay below it. */
#define DATAGRAM_BYTES 2048

/* Rows in a datagram, so that it stays below the usual packet size. */
#define ROWS_MOST 36

/* The same for endpoints that were lost, and for those that answer again. */
#define HEALTH_MOST 10

/* The same for prompts, each with the endpoints that read it. */
#define READS_MOST 5

/** Another instance. */
typedef struct
{
  char *name; /* NULL: nothing was heard from it yet */
  char *link_address;
  char *callers_address;
  char *zone; /* NULL: not known */
  guint strength;
  struct sockaddr_storage socket_address;
  int socket_length;
  guint32 id;
  guint64 incarnation;
  guint64 sequence;
  gboolean ready;
  gboolean cut_off;    /* the store does not answer it */
  gboolean is_counted; /* endpoints have rows of what it has in flight */
  KnlTime heard_at;    /* -KNL_NEVER: never */
  KnlTime known_since;
  KnlTime learned_at; /* last time that somebody named it */
  KnlTime told_since; /* since when `n_told` counts */
  guint n_told;       /* losses that it has told */
} Peer;

/** The instances of another availability zone, as their relay tells of them. */
typedef struct
{
  char *zone;
  guint32 id;
  guint32 relay;    /* id of the peer that speaks for it; 0: none was heard yet */
  KnlTime heard_at; /* -KNL_NEVER: never */
  guint instances;  /* that it last told of */
  GPtrArray *ready; /* callers' addresses */
  gboolean is_counted;
} Cell;

/** A prompt placed for reading, or its end, to be told. */
typedef struct
{
  guint64 prompt;
  KnlTime length;
  gboolean until_told;
  guint n; /* endpoints that read it; 0: its end */
  guint64 keys[SV_HELPERS + 1];
} PlacedReadRow;

/** What is to be told, but for loads, which endpoints keep. */
typedef struct
{
  GArray *reads;     /* PlacedReadRow */
  GArray *suspects;  /* guint64 */
  GArray *lost;      /* guint64, keys of endpoints */
  GArray *lost_by;   /* guint32, for each of `lost` */
  GArray *answering; /* guint64, keys of endpoints */
} News;

/** A peer asks for a confirmation, or answers a question of ours. */
typedef void (*SvPeerConfirmFunc) (const Peer *peer,
                                   const Alderturn__Confirmation *confirmation,
                                   gpointer data);

/** A peer has told the versions that it has. */
typedef void (*SvPeerVersionsFunc) (const Peer *peer,
                                    SvPosition config,
                                    SvPosition endpoints,
                                    gpointer data);

struct SvPeers
{
  SvPeerLink link;
  KnlKernel *kernel;
  SvFleet *fleet;
  SvMember self;
  guint32 id;
  guint32 cell; /* id of our own */
  guint64 sequence;
  gboolean ready;
  gboolean cut_off;
  guint64 config_version;
  SvPosition endpoints_revision;
  evutil_socket_t socket;
  struct event *readable;
  GHashTable *peers;     /* link address -> Peer */
  GHashTable *by_id;     /* id -> Peer */
  GHashTable *cells;     /* id -> Cell, other ones */
  News news;             /* of our own, for our cell */
  News cell_news;        /* of all in our cell, for other cells; filled by the relay only */
  guint n_in_cell;       /* peers of our cell, alive or not, at the last heartbeat */
  gboolean was_relay;    /* at the last heartbeat */
  guint described_from;  /* index of the endpoint that the next description begins with */
  KnlTime cell_told_at;  /* last time that other cells were told changes; 0: never */
  KnlTimerId cell_timer; /* the next time; 0: nothing waits */
  KnlTime described_at;  /* 0: never because of a change */
  KnlTimerId describe_timer;
  GPtrArray *passing; /* GBytes of other cells' datagrams, to be passed on */
  KnlTime passed_at;  /* 0: never */
  KnlTimerId pass_timer;
  CmLogLimit unreadable; /* datagrams */
  KnlTimerId beat_timer;
  guint beats; /* sent so far */
  KnlTimerId change_timer;
  SvPeerConfirmFunc on_confirmation; /* NULL: none */
  SvPeerVersionsFunc on_versions;    /* NULL: none */
  gpointer on_confirmation_data;     /* of both */
  SvPeerSuspectFunc on_suspect;
  gpointer on_suspect_data;
};

/** Rows of one kind, with the pointers that protobuf-c wants. */
typedef struct
{
  Alderturn__EndpointLoad loads[ROWS_MOST];
  Alderturn__EndpointLoad *load_rows[ROWS_MOST];
  Alderturn__EndpointLimit limits[ROWS_MOST]; /* of `loads` */
  guint n_limits;
  Alderturn__PlacedRead reads[READS_MOST];
  Alderturn__PlacedRead *read_rows[READS_MOST];
} Rows;

/* peers.c */

gboolean sv_peer_is_alive (const SvPeers *self, const Peer *peer);
gboolean sv_peer_is_in_cell (const SvPeers *self, const Peer *peer);

/** Whether the peer would be relay before an instance with that strength and id. */
gboolean sv_peer_is_stronger (const Peer *peer, guint strength, guint32 id);

/** Adds the instance at that address; NULL: it is no address. */
Peer *sv_peers_add (SvPeers *self, const char *link_address);

/** Peers of that zone, alive or not. */
guint sv_peers_n_in_zone (const SvPeers *self, const char *zone);

/* peers_take.c */

/** Takes a datagram, whatever its bytes are. */
void sv_peers_take_bytes (SvPeers *self, const guint8 *bytes, gsize length);

/** Takes what another cell's relay says for it. */
void sv_peers_take_cell (SvPeers *self, const Alderturn__Datagram *datagram);

void sv_peers_on_confirmation (SvPeers *self,
                               SvPeerConfirmFunc on_confirmation,
                               SvPeerVersionsFunc on_versions,
                               gpointer data);

/* peers_tell.c */

/** What the core reports to. */
extern const SvPeerLinkClass sv_peers_link_class;

void sv_news_init (News *news);
void sv_news_clear (News *news);

/** Adds what a datagram of our cell tells; `teller` is its sender. */
void sv_news_append (News *news, const Alderturn__Datagram *datagram, guint32 teller);

/** Begins a datagram of ours; `rows` lives as long as it does. */
void sv_peers_begin_datagram (SvPeers *self, Alderturn__Datagram *datagram, Rows *rows);

/** Says in it who we are. */
void sv_peers_fill_sender (const SvPeers *self,
                           Alderturn__Datagram *datagram,
                           Alderturn__Sender *sender);

/** Whether so many rows of load are in it; a limit takes as much room as a row. */
gboolean sv_rows_are_full (const Rows *rows, const Alderturn__Datagram *datagram, guint most);

/** Adds what `load` says of the endpoint; there is room for ROWS_MOST. */
void sv_peers_add_load (const SvPeers *self,
                        Alderturn__Datagram *datagram,
                        Rows *rows,
                        const SvEndpoint *endpoint,
                        const SvLoad *load);

/** Adds the endpoint's limit, if it is to be told, to the row that was added last; `sent`: requests
 * of those that the row speaks for. */
void sv_peers_add_limit (const SvPeers *self,
                         Alderturn__Datagram *datagram,
                         Rows *rows,
                         const SvEndpoint *endpoint,
                         guint32 sent);

/** Adds as much of `news` as there is room for. FALSE: there was none. */
gboolean sv_peers_add_news (Alderturn__Datagram *datagram, Rows *rows, News *news);

/** Takes out of `news` what the datagram tells. */
void sv_news_told (News *news, const Alderturn__Datagram *datagram);

void sv_peers_send (SvPeers *self, const Peer *peer, const Alderturn__Datagram *datagram);
void sv_peers_send_to_cell (SvPeers *self, const Alderturn__Datagram *datagram);

/** Sends who we are and all that we have in flight to `peer`; NULL: to all of our cell. */
void sv_peers_send_whole (SvPeers *self, const Peer *peer);

/** Sends the question or answer, alone. */
void sv_peers_send_confirmation (SvPeers *self,
                                 const Peer *peer,
                                 const Alderturn__Confirmation *confirmation);

/** Tells our cell that we live, and no more. */
void sv_peers_send_beat (SvPeers *self);

/* cells.c */

void sv_cell_free (gpointer cell);

/** The cell of that zone, added if need be; NULL: it is our own. */
Cell *sv_cells_of_zone (SvPeers *self, const char *zone);

/** Instances of all other cells, those that are silent now among them. */
guint sv_cells_n_instances (const SvPeers *self);

gboolean sv_cell_is_alive (const SvPeers *self, const Cell *cell);

/** The relay of our cell; NULL: this instance is it. */
const Peer *sv_cells_relay (const SvPeers *self);

/** Whether the peer is of our cell, and alive. */
gboolean sv_cells_has_alive (const SvPeers *self, const Peer *peer);

/** Alive peers of our cell that follow the store, the strongest first; free it. */
GPtrArray *sv_cells_followers (const SvPeers *self);

/* relay.c */

/** A heartbeat is due: the relay describes its cell to others; cells that are silent lose their
 * loads. */
void sv_relay_beat (SvPeers *self);

/** This instance or a peer of its cell has something new: the relay tells other cells. */
void sv_relay_tell (SvPeers *self);

/** Another instance of our cell takes callers than before: the relay tells other cells. */
void sv_relay_note_ready (SvPeers *self);

/** A datagram of another cell's relay came here from there. */
void sv_relay_receive (SvPeers *self,
                       const Alderturn__Datagram *datagram,
                       const guint8 *bytes,
                       gsize length);

/** Datagrams of other cells came from a peer of ours. */
void sv_relay_take_passed (SvPeers *self, const Alderturn__Datagram *datagram);

/** A peer of our cell has started: the relay tells it what is known of other cells and of reads. */
void sv_relay_send_picture (SvPeers *self, const Peer *peer);

void sv_relay_stop (SvPeers *self);
