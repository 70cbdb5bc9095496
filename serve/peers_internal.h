#pragma once

/** Shared by the sources of the peers module only; not included elsewhere. */

#include <sys/socket.h>

#include "common/log.h"
#include "serve/peers.h"
#include "wire/datagram.pb-c.h"

/* Size limit of a datagram; MAX_ROWS rows of each kind stay below it. */
#define MAX_DATAGRAM_BYTES 2048

/* Maximum rows of one kind in a datagram, to stay below the usual packet size. */
#define MAX_ROWS 36

/* Rows that a full datagram has for paces alone, so that some are announced even if loads and
 * limits use up MAX_ROWS. */
#define SPARE_PACE_ROWS 4

/* Maximum rows for endpoints where requests were lost, and for those that answer again. */
#define MAX_HEALTH_ROWS 10

/* Maximum rows for prompts, each listing the endpoints that prefill it. */
#define MAX_PREFILL_ROWS 5

/* Maximum rows for endpoints lost under a request, and for requests that were answered since. */
#define MAX_CRASH_ROWS    8
#define MAX_ANSWERED_ROWS 4

/* Instances of a cell that repeat what any instance has seen of crashes: the relay, and one that
 * still knows when the relay has started again. */
#define CRASH_REPEATERS 2

/** Rows in a datagram that lists instances of the cell. */
#define MAX_MEMBER_ROWS 12

/** Where an instance takes datagrams. */
typedef struct
{
  struct sockaddr_storage address;
  int length; /* 0: unknown */
} SocketAddress;

/** Another instance. */
typedef struct
{
  char *name;
  char *link_address;
  char *callers_address;
  char *zone; /* NULL: unknown */
  gboolean is_in_cell;
  guint strength;
  SocketAddress socket_address;
  guint32 id;
  guint64 incarnation;
  guint64 sequence;
  gboolean ready;
  gboolean cut_off;     /* the store doesn't answer it */
  gboolean is_counted;  /* endpoints have rows of its load in flight */
  KnlTime last_seen_at; /* -KNL_NEVER: never */
  KnlTime known_since;
  KnlTime discovered_at;   /* last call of sv_peers_discover for it */
  KnlTime losses_since;    /* start of the window that `n_reported_losses` counts in */
  guint n_reported_losses; /* losses that it reported in the window */
} Peer;

/** The alive peers of our cell. Kept, since it is needed for each datagram. */
typedef struct
{
  GPtrArray *peers;    /* Peer, the strongest first */
  KnlTime valid_until; /* when the first of them may count as dead; 0: to be filled in again */
} AlivePeers;

/** The instances of another availability zone, as reported by their relay. */
typedef struct
{
  char *zone;
  guint32 id;
  guint32 relay;        /* id of its relay; 0: not known yet */
  KnlTime last_seen_at; /* -KNL_NEVER: never */
  guint instances;      /* as last reported by its relay */
  guint heard;          /* of these, the ones that its relay hears */
  GPtrArray *ready;     /* addresses for callers, as last reported */
  gboolean is_counted;
} Cell;

/** The prefill of a prompt, or its end, to be announced. */
typedef struct
{
  guint64 prompt;
  KnlTime length;
  gboolean until_ended;
  guint n; /* endpoints that prefill it; 0: the prefill has ended */
  guint64 keys[SV_MAX_HELPERS + 1];
} PrefillRow;

/** Updates to be announced, except loads, which the endpoints keep. */
typedef struct
{
  GArray *prefills;  /* PrefillRow */
  GArray *lost;      /* guint64, keys of endpoints */
  GArray *lost_by;   /* guint32, id of the reporter for each of `lost` */
  GArray *answering; /* guint64, keys of endpoints */
} Outbox;

/** Called when a peer requests a confirmation or answers a request of ours. */
typedef void (*SvPeerConfirmFunc) (const Peer *peer,
                                   const Alderturn__Confirmation *confirmation,
                                   gpointer data);

/** Called when a peer reports its versions of the configuration and the endpoint list, and the
 * newest row of evacuated zones that it has applied (version 0: none). */
typedef void (*SvPeerVersionsFunc) (const Peer *peer,
                                    SvPosition config,
                                    SvPosition endpoints,
                                    SvPosition evacuations,
                                    gpointer data);

/** Numbers of instances above this, as a peer states them, are taken for an error. */
#define MAX_INSTANCES 100000U

/** How many instances share an allowance. */
typedef struct
{
  KnlTime known_since; /* KNL_NEVER: the number isn't known */
  guint most;          /* in the period that began at `begun_at` */
  guint most_before;   /* in the period before it */
  KnlTime begun_at;
} InstanceCount;

struct SvPeers
{
  SvPeerLink link;
  KnlKernel *kernel;
  SvFleet *fleet;
  SvMember self;
  guint32 id;
  guint32 cell; /* id of our own */
  guint64 sequence;
  SvPeerTraffic sent;
  gboolean ready;
  gboolean accepts;    /* as last set by sv_peers_set_ready() */
  gboolean links_lost; /* this instance reaches no endpoint, while peers do */
  gboolean cut_off;
  guint64 config_version;
  SvPosition endpoints_revision;
  evutil_socket_t socket;
  struct event *readable;
  GHashTable *peers; /* link address -> Peer */
  GHashTable *by_id; /* id -> Peer */
  AlivePeers *alive;
  GHashTable *cells;    /* id -> Cell, other ones */
  SocketAddress source; /* of the datagram that is being handled */
  KnlTime sent_at;      /* earliest time at which it may have been sent */
  GArray *newcomers;    /* guint32, ids of peers to be announced to the cell */
  KnlTimerId spread_timer;
  GHashTable *answered_unknown; /* ids of unknown senders answered since the last heartbeat */
  guint next_member;            /* index of the first instance that the relay lists next */
  guint told_instances;         /* number of all instances that a peer told; 0: none */
  KnlTime told_at;
  InstanceCount count;
  Outbox outbox;        /* updates of this instance, for our cell */
  Outbox cell_outbox;   /* updates of our whole cell, for other cells; filled by the relay only */
  guint n_in_cell;      /* peers of our cell, alive or not, at the last heartbeat */
  gboolean was_relay;   /* at the last heartbeat */
  guint next_described; /* index of the first endpoint in the next description */
  guint next_paced; /* index of the first endpoint whose pace the next full datagram announces */
  KnlTime cell_announced_at; /* last time that changes were announced to other cells; 0: never */
  KnlTimerId cell_timer;     /* next announcement to other cells; 0: none is scheduled */
  KnlTime described_at;      /* last description sent because of a change; 0: never */
  KnlTimerId describe_timer;
  GPtrArray *forward_queue; /* GBytes: datagrams of other cells, to be forwarded */
  KnlTime forward_sent_at;  /* earliest time at which one of them may have been sent */
  KnlTime forwarded_at;     /* 0: never */
  KnlTimerId forward_timer;
  CmLogRateLimit unreadable; /* limits log lines about unreadable datagrams */
  KnlTimerId heartbeat_timer;
  guint n_heartbeats; /* heartbeats sent so far */
  KnlTimerId change_timer;
  SvPeerConfirmFunc on_confirmation; /* NULL: none */
  SvPeerVersionsFunc on_versions;    /* NULL: none */
  gpointer on_confirmation_data;     /* passed to both */
  SvCrashes *crashes;                /* NULL: not exchanged */
  SvQuarantine *quarantine;          /* NULL: not exchanged */
  SvOffered *offered;                /* NULL: not exchanged */
  KnlTimerId offered_timer;          /* next report of offered load; 0: none is due */
};

/** Storage for a datagram's rows, with the arrays of pointers that protobuf-c needs. */
typedef struct
{
  Alderturn__EndpointLoad loads[MAX_ROWS + SPARE_PACE_ROWS];
  Alderturn__EndpointLoad *load_rows[MAX_ROWS + SPARE_PACE_ROWS];
  SvEndpoint *endpoints[MAX_ROWS + SPARE_PACE_ROWS]; /* of the same index, in rows that may get a
                                                        pace */
  Alderturn__EndpointLimit limits[MAX_ROWS + SPARE_PACE_ROWS]; /* of the same index in `loads` */
  guint n_limits;
  Alderturn__EndpointPace paces[MAX_ROWS + SPARE_PACE_ROWS]; /* of the same index in `loads` */
  guint n_paces;
  Alderturn__PlacedRead prefills[MAX_PREFILL_ROWS];
  Alderturn__PlacedRead *prefill_rows[MAX_PREFILL_ROWS];
  Alderturn__EndpointCrash crashes[MAX_CRASH_ROWS];
  Alderturn__EndpointCrash *crash_rows[MAX_CRASH_ROWS];
  Alderturn__AnsweredRequest answered[MAX_ANSWERED_ROWS];
  Alderturn__AnsweredRequest *answered_rows[MAX_ANSWERED_ROWS];
} Rows;

/** Storage for the members of a datagram. */
typedef struct
{
  Alderturn__CellMember rows[MAX_MEMBER_ROWS];
  Alderturn__CellMember *row_pointers[MAX_MEMBER_ROWS];
} MemberRows;

/* peers.c */

gboolean sv_peer_is_alive (const SvPeers *self, const Peer *peer);

/** Time at which the peer counts as dead unless it is heard from again. */
KnlTime sv_peer_alive_until (const SvPeers *self, const Peer *peer);

/** Sets the availability zone; NULL: unknown. */
void sv_peer_set_zone (SvPeers *self, Peer *peer, const char *zone);

/** Whether the peer precedes an instance with that strength and id in the choice of the relay. */
gboolean sv_peer_is_stronger (const Peer *peer, guint strength, guint32 id);

/** Adds the instance at that address. Returns NULL if the address is invalid. */
Peer *sv_peers_add (SvPeers *self, const char *link_address);

/** Number of instances of all cells that this one knows of itself, alive or not, itself included.
 */
guint sv_peers_n_known (const SvPeers *self);

/** Number of known peers of that zone, alive or not. */
guint sv_peers_n_in_zone (const SvPeers *self, const char *zone);

/** Longest time after the end of a peer of our cell until its instances count it as dead: each
 * checks at its own heartbeats. */
KnlTime sv_peers_detection_time (const SvPeers *self);

/** Version of the newest row of evacuated zones that this instance has applied, if it is of that
 * era; 0: none. */
guint64 sv_peers_evacuations (const SvPeers *self, guint64 era);

/** Fills in the versions that this instance has. */
void sv_peers_fill_versions (const SvPeers *self, Alderturn__Datagram *datagram);

/* peers_count.c */

void sv_count_init (SvPeers *self);

/** Notes the number of instances that are known now. To be called with each heartbeat. */
void sv_count_update (SvPeers *self);

/** The most instances that were known within the last period. */
guint sv_count_most (const SvPeers *self);

/** The number for others to rely on; 0: it isn't known. */
guint sv_count_told (const SvPeers *self);

SvShare sv_count_share (const SvPeers *self);

/* peers_members.c */

/** Tells the fleet which instances are alive. */
void sv_peers_update_members (SvPeers *self);

/* peers_take.c */

/** Handles a received datagram; `bytes` may be malformed. */
void sv_peers_receive_bytes (SvPeers *self, const guint8 *bytes, gsize length);

/** Applies what another cell's relay reports for its cell. */
void sv_peers_handle_cell (SvPeers *self, const Alderturn__Datagram *datagram);

void sv_peers_on_confirmation (SvPeers *self,
                               SvPeerConfirmFunc on_confirmation,
                               SvPeerVersionsFunc on_versions,
                               gpointer data);

/* peers_reach.c */

/** Applies whether this instance accepts callers. One that has lost its links to endpoints isn't
 * listed to callers for as long as others are: requests that reach it all the same are passed on.
 */
void sv_peers_update_ready (SvPeers *self);

/** This instance has lost, or regained, its links to endpoints. */
void sv_peers_set_links_lost (SvPeers *self, gboolean is_lost);

/** See SvPeerLinkClass. */
char *sv_peers_passing_address (SvPeers *self, const char *avoid);

/* peers_pace.c */

/** Adds this instance's estimates of the rows' endpoints, where they are to be announced. Rows
 * whose estimate has no space are marked as changed again. */
void sv_peers_add_own_paces (const SvPeers *self, Alderturn__Datagram *datagram, Rows *rows);

/** The same with the estimates of the whole cell. */
void sv_peers_add_cell_paces (const SvPeers *self, Alderturn__Datagram *datagram, Rows *rows);

/** Fills the space that is left in a full datagram with this instance's estimates, also of
 * endpoints that have no load; the next full datagram continues where this one ends. */
void sv_peers_add_paces_in_turn (SvPeers *self, Alderturn__Datagram *datagram, Rows *rows);

/** Whether the cell's estimate differs by at most a tenth from what was last announced to other
 * cells. */
gboolean sv_peers_has_told_cell_pace (const SvPeers *self, const SvEndpoint *endpoint);

/** Handles a report of how slow the endpoint is. `source`: id of the peer or cell. */
void sv_peers_handle_pace (SvPeers *self,
                           SvEndpoint *endpoint,
                           const Alderturn__EndpointPace *pace,
                           guint32 source,
                           gboolean is_cell);

/* peers_tell.c */

/** Adds a row with this instance's own load and limit. */
void sv_peers_add_own_load (const SvPeers *self,
                            Alderturn__Datagram *datagram,
                            Rows *rows,
                            SvEndpoint *endpoint);

/** Callbacks through which the core announces changes to peers. */
extern const SvPeerLinkClass sv_peers_link_class;

void sv_outbox_init (Outbox *outbox);
void sv_outbox_clear (Outbox *outbox);

/** Appends the updates of a datagram of our cell; `reporter` is the id of its sender. */
void sv_outbox_append (Outbox *outbox, const Alderturn__Datagram *datagram, guint32 reporter);

/** Initializes a datagram to send; `rows` must live as long as the datagram. */
void sv_peers_begin_datagram (SvPeers *self, Alderturn__Datagram *datagram, Rows *rows);

/** Fills in the identity of this instance. */
void sv_peers_fill_sender (const SvPeers *self,
                           Alderturn__Datagram *datagram,
                           Alderturn__Sender *sender);

/** Whether the datagram has `max_rows` load rows or more; a limit counts as one. */
gboolean sv_rows_are_full (const Rows *rows, const Alderturn__Datagram *datagram, guint max_rows);

/** Adds a row with the endpoint's `load`; there is space for MAX_ROWS and SPARE_PACE_ROWS. */
void sv_peers_add_load (const SvPeers *self,
                        Alderturn__Datagram *datagram,
                        Rows *rows,
                        const SvEndpoint *endpoint,
                        const SvLoad *load);

/** Adds the endpoint's limit, if it must be announced, to the row added last; `sent`: requests that
 * the instances covered by the row have sent to the endpoint since the limit was advertised. */
void sv_peers_add_limit (const SvPeers *self,
                         Alderturn__Datagram *datagram,
                         Rows *rows,
                         const SvEndpoint *endpoint,
                         guint32 sent);

/** Adds as many of the updates in `outbox` as fit. Returns FALSE if there were none. */
gboolean sv_peers_add_outbox (Alderturn__Datagram *datagram, Rows *rows, Outbox *outbox);

/* peers_crashes.c */

/** Adds as many of the crashes that the audience has not been sent as fit. FALSE: there were none.
 */
gboolean sv_peers_add_crashes (SvPeers *self,
                               Alderturn__Datagram *datagram,
                               Rows *rows,
                               SvCrashAudience audience);

/** Announces again the crashes that may refuse a request: any datagram may be lost, and instances
 * start later. */
void sv_peers_repeat_crashes (SvPeers *self);

/** Tells a peer that has just been found, and may have just started, what is known of crashes: it
 * takes requests from now on. */
void sv_peers_send_known_crashes (SvPeers *self, const Peer *peer);

/** Takes what a peer tells of crashes. */
void sv_peers_handle_crashes (SvPeers *self,
                              const Peer *peer,
                              const Alderturn__Datagram *datagram,
                              SvCrashOrigin origin);

/* peers_quarantine.c */

/** Sends the cell what is new of quarantined segments, as much as fits into a datagram. FALSE:
 * there was nothing. */
gboolean sv_peers_send_quarantine (SvPeers *self);

/** The same to other cells, by the relay. */
gboolean sv_relay_send_quarantine (SvPeers *self);

/** Sends the peer all that is quarantined. */
void sv_peers_send_known_quarantines (SvPeers *self, const Peer *peer);

/** Reviews the quarantined segments and the records of crashes, and announces what has changed. */
void sv_peers_tick_quarantine (SvPeers *self);

/** Announces all quarantined segments again, if this instance is one of CRASH_REPEATERS. */
void sv_peers_repeat_quarantine (SvPeers *self);

/** Whether the datagram tells of quarantined segments, and of nothing else. */
gboolean sv_peers_is_quarantine_news (const Alderturn__Datagram *datagram);

/** Takes what a peer tells of quarantined segments. */
void sv_peers_handle_quarantine (SvPeers *self,
                                 const Alderturn__Datagram *datagram,
                                 SvCrashOrigin origin);

/** Removes from `outbox` the updates that the datagram contains. */
void sv_outbox_remove_sent (Outbox *outbox, const Alderturn__Datagram *datagram);

void
sv_peers_send_to (SvPeers *self, const SocketAddress *address, const Alderturn__Datagram *datagram);
void sv_peers_send (SvPeers *self, const Peer *peer, const Alderturn__Datagram *datagram);
void sv_peers_send_to_cell (SvPeers *self, const Alderturn__Datagram *datagram);

/** Sends the identity of this instance and all its load in flight to `peer`; NULL: to all of our
 * cell. */
void sv_peers_send_full (SvPeers *self, const Peer *peer);

/** Sends a request for a confirmation, or the answer to one, in a datagram of its own. */
void sv_peers_send_confirmation (SvPeers *self,
                                 const Peer *peer,
                                 const Alderturn__Confirmation *confirmation);

/** Sends a short heartbeat to our cell, with versions but without loads. */
void sv_peers_send_heartbeat (SvPeers *self);

/* cells.c */

void sv_cell_free (gpointer cell);

/** The cell of that zone, added if it is unknown; NULL if it is our own. */
Cell *sv_cells_of_zone (SvPeers *self, const char *zone);

/** Number of instances of all other cells, silent ones included. */
guint sv_cells_n_instances (const SvPeers *self);

gboolean sv_cell_is_alive (const SvPeers *self, const Cell *cell);

/** Number of alive peers of our cell that precede this instance in the choice of the relay. */
guint sv_cells_rank (const SvPeers *self);

/** See SvPeerLinkClass: of the cells that are alive one is elected, and of its instances one. Who
 * can't hear the others may be elected beside them. */
gboolean sv_cells_is_elected (const SvPeers *self, guint64 seed);

/** The relay of our cell; NULL if it is this instance. */
const Peer *sv_cells_relay (const SvPeers *self);

/** Whether the peer belongs to our cell and is alive. */
gboolean sv_cells_has_alive (const SvPeers *self, const Peer *peer);

/** Alive peers of our cell that follow the store, the strongest first. Free with g_ptr_array_unref.
 */
GPtrArray *sv_cells_followers (const SvPeers *self);

AlivePeers *sv_cells_new_alive (void);
void sv_cells_free_alive (AlivePeers *alive);

/** Alive peers of our cell, the strongest first; valid until a peer changes. */
const GPtrArray *sv_cells_alive (const SvPeers *self);

/** To be called when a peer is added, removed or no longer dead, or when its zone, strength or id
 * changes. */
void sv_cells_note_changed (SvPeers *self);

/** Adds the live relays of other cells that the store answers. */
void sv_cells_add_relays (const SvPeers *self, GPtrArray *found);

/* join.c */

void sv_join_init (SvPeers *self);
void sv_join_clear (SvPeers *self);

/** Handles the request of a peer of our cell to be introduced. */
void sv_join_introduce (SvPeers *self, Peer *peer);

/** Discovers the instances that a peer of our cell listed. */
void sv_join_handle_members (SvPeers *self, const Alderturn__Datagram *datagram);

/** Introduces this instance to an unknown sender of a datagram, which may know it only from before
 * a restart. At most once in each heartbeat interval. */
void sv_join_answer_unknown (SvPeers *self, guint32 sender);

/** Lists some instances of the cell in turn, if this is its relay: of two instances that don't know
 * of each other neither sends the other anything. */
void sv_join_add_members (SvPeers *self, Alderturn__Datagram *datagram, MemberRows *members);

/** Number of all instances that a peer told recently; 0: none did. */
guint sv_join_told_instances (const SvPeers *self);

/* peers_offered.c */

/** Handles the report of offered load in the datagram, if it has one. */
void sv_peers_handle_offered (SvPeers *self,
                              const SvOfferedSource *source,
                              const Alderturn__Datagram *datagram);

/* relay.c */

/** Sends the datagram, which speaks for our cell, to the relays of other cells. */
void sv_relay_send_to_cells (SvPeers *self, const Alderturn__Datagram *datagram);

/** To be called with each heartbeat: the relay sends its cell's description to other cells, and the
 * loads of silent cells are dropped. */
void sv_relay_on_heartbeat (SvPeers *self);

/** To be called after a change in this cell: the relay announces it to other cells. */
void sv_relay_announce (SvPeers *self);

/** To be called when the set of instances of our cell that accept callers has changed: the relay
 * sends a new description to other cells. */
void sv_relay_note_ready (SvPeers *self);

/** Handles a datagram that came directly from another cell's relay. */
void sv_relay_receive (SvPeers *self,
                       const Alderturn__Datagram *datagram,
                       const guint8 *bytes,
                       gsize length);

/** Handles datagrams of other cells that a peer of our cell forwarded. */
void sv_relay_handle_forwarded (SvPeers *self, const Alderturn__Datagram *datagram);

/** Sends the peer, which has just started, what is known of other cells' loads and of running
 * prefills. Does nothing unless this instance is the relay. */
void sv_relay_send_snapshot (SvPeers *self, const Peer *peer);

void sv_relay_stop (SvPeers *self);
