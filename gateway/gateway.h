#pragma once

/** Shared declarations of alderturn-gateway; included by the files in gateway/ only. */

#include "common/log.h"
#include "http/server.h"
#include "kernel/process.h"
#include "platform/boot.h"
#include "platform/config_decoder.h"
#include "platform/decode.h"
#include "platform/dialect.h"
#include "platform/mirror.h"
#include "platform/store.h"
#include "serve/confirm.h"
#include "serve/core.h"
#include "serve/peers.h"

/** How long the store holds an answer about endpoints back when nothing changes. */
#define GATEWAY_ENDPOINTS_WAIT (8 * KNL_SEC)

typedef struct
{
  const char *boot_path;
  PlBoot *boot;
  KnlProcess process;
  CmMetrics *metrics;
  HtUnsent *unsent; /* of callers, peers and endpoints */
  HtBodies *bodies; /* of callers and peers */
  CmSeries *bodies_series;
  CmSeries *bodies_refused_series;
  CmSeries *unsent_series;
  HtClient *endpoints_client;
  HtClient *store_client;
  PlStore *store;
  SvDialect *dialect;
  SvFleet *fleet;
  SvPeers *peers;
  SvMember member;
  SvCore *core;
  HtServer *caller_server;
  HtServer *passing_server; /* NULL: requests of peers aren't taken */
  HtServer *ready_server;
  HtServer *directory_server;
  HtServer *metrics_server;
  SvConfirm *confirm;
  PlFeed *config_feed; /* both feeds are NULL until a source is chosen */
  PlFeed *endpoints_feed;
  PlConfigDecoder *config_decoder;
  gboolean is_receiving_config; /* the value being received is a configuration */
  KnlTime config_last_seen_at;  /* when the configuration feed was last answered */
  PlMirror *mirror;
  PlStore *peer_store; /* the peer that the feeds query; NULL: they query the store */
  char *peer_address;  /* link address of `peer_store` */
  GHashTable *avoided; /* link address of a peer that didn't answer -> KnlTime until which */
  PlCall *probe_call;  /* asks the store whether the configuration is the newest */
  KnlTime probed_at;
  KnlTime query_store_until; /* until then the store is queried, even if a follower is available */
  KnlTime query_peers_until; /* until then followers are queried, as the store doesn't answer */
  KnlTime store_unavailable_since; /* 0: the store answers */
  KnlTime members_read_at;         /* 0: the cell isn't found yet */
  KnlTime started_at;
  KnlTimerId source_timer;
  KnlTime source_due_at;               /* when `source_timer` ends */
  SvPosition endpoints_revision;       /* newest row received from the endpoint table */
  KnlTime endpoints_last_seen_at;      /* when the endpoint feed was last answered */
  CmLogRateLimit unreadable_log_limit; /* endpoint rows that can't be decoded */
  CmLogRateLimit contacts_log_limit;   /* the same of cells */
  CmLogRateLimit evacuation_log_limit; /* evacuation rows whose key names no zone */
  PlCall *member_call;
  PlCall *watermarks_call; /* reads the rows of all cells for their watermarks */
  KnlTimerId member_timer;
  KnlTime poll_delay;       /* delay of the next read after a failed one */
  json_t *cell_row;         /* row of this instance's cell, as last read; NULL: none */
  guint64 cell_row_version; /* its version; 0: there is none */
  gboolean is_cell_unread;  /* the last read or write of the row failed, and is to be repeated */
  gboolean has_doubt;       /* a quarantine stands only for want of proof */
  guint n_quarantined;      /* when the cell's row was last reviewed for it */
  PlCall *claim_call;       /* counts a test of a quarantine; NULL: none is asked for */
  PlTestCount claim;        /* that test */
  gboolean is_member;       /* the cell is found, or this instance is its first one */
  KnlTime join_started_at;
  KnlTime join_sent_at;        /* last request to be introduced */
  KnlTime contacts_written_at; /* last write of the cell's row; 0: none */
  KnlTime cells_read_at;   /* last read of the rows of all cells, as relay; 0: none as this relay */
  guint64 era;             /* newest era seen of the store; 0: none */
  CmSeries *era_series;    /* counts eras after the first */
  KnlTimerId reread_timer; /* reads the cells' rows again */
  KnlTimerId tick_timer;
  KnlTime drain_since; /* 0: not draining */
  KnlTimerId flush_timer;
  gboolean has_ended; /* the event loop is to end */
  gint64 boot_mtime;  /* modification time of the settings file, in seconds */
  struct event *reload_signal;
  GHashTable *callback_series; /* callback name -> CmSeries */
  KnlTime callback_time_limit; /* callbacks that take longer are logged */
  CmLogRateLimit slow_callback_log_limit;
} Gateway;

/* instance.c */

/** Opens all parts of the instance, of which only `boot` and `process` must be set; a process that
 * is started later has a higher `incarnation`. Returns FALSE, and logs the failure, if an address
 * can't be listened on; gateway_close() must be called then, too. */
gboolean gateway_open (Gateway *self, guint64 incarnation);

/** Starts to find other instances and to follow the store. */
void gateway_start (Gateway *self);

/** Frees all parts except `boot` and `process`. */
void gateway_close (Gateway *self);

/** Whether this instance should receive new callers. */
gboolean gateway_is_ready (const Gateway *self);

/* drain.c */

/** Begins the end: other instances get the new callers. The event loop ends when the remaining
 * requests have ended and their answers are written, or shortly before the grace period is over. */
void gateway_drain (Gateway *self);

/** To be called several times a second while draining. */
void gateway_review_drain (Gateway *self);

/** Answer bytes not written yet, over all servers. */
gsize gateway_unsent_bytes (const Gateway *self);

/* servers.c */

void gateway_add_memory_metrics (Gateway *self);

/** Opens the listening sockets. Returns FALSE, and logs the failure, if one can't be opened. */
gboolean gateway_open_servers (Gateway *self);
void gateway_close_servers (Gateway *self);

/** Applies the limits of the configuration in use to callers' connections. */
void gateway_apply_limits (Gateway *self);

/* follow.c */

/** Starts to follow the configuration and the endpoint list. */
void gateway_start_following (Gateway *self);
void gateway_stop_following (Gateway *self);

/** Sets the store or peer that the feeds query; creates the feeds on the first call. */
void gateway_set_feed_source (Gateway *self, PlStore *store);

/* evacuations.c */

/** Begins and ends a complete list of the configuration's table. */
void gateway_begin_evacuations (Gateway *self);
void gateway_end_evacuations (Gateway *self);

/** Applies a row of the configuration's table if it evacuates a zone. FALSE: it doesn't. */
gboolean gateway_take_evacuation (Gateway *self, const PlRow *row);

/** Applies the bounds of the settings to evacuations. */
void gateway_apply_evacuation_bound (Gateway *self);

/** Sets the gauges of evacuated zones. */
void gateway_update_evacuation_gauges (Gateway *self);

/* source.c */

/** Starts to choose the source that the feeds query; the choice is reviewed periodically. */
void gateway_start_source (Gateway *self);
void gateway_stop_source (Gateway *self);

/** Called when the cell has been found. */
void gateway_note_members_read (Gateway *self);

/** Makes the feeds query the store for a while, because it has newer data than their source. Does
 * nothing if the store is the source already. */
void gateway_query_store (Gateway *self);

/** A call to the current source of the feeds failed. */
void gateway_note_source_failed (Gateway *self);

/** The current source of the feeds answered. */
void gateway_note_source_answered (Gateway *self);

/* contacts.c */

/** Contacts in a cell's row; several, since any may have failed. */
#define GATEWAY_MAX_CONTACTS 4

/** Reads the contacts. Returns their number; 0: there is no row. */
guint gateway_read_contacts (const Gateway *self, SvMember contacts[GATEWAY_MAX_CONTACTS]);

gboolean gateway_is_self (const Gateway *self, const SvMember *member);

/** Whether this instance is one of the contacts. */
gboolean gateway_is_contact (const Gateway *self);

/** Whether the row doesn't name this instance, which is the relay, or names too few live ones. */
gboolean gateway_has_outdated_contacts (const Gateway *self);

/* members.c */

/** Finds the other instances of the cell; the relay keeps the cell's row in the store. */
void gateway_start_membership (Gateway *self);

void gateway_stop_membership (Gateway *self);

/** The store has answered a feed: a failed read of the cell's row is repeated at once. */
void gateway_note_store_answered (Gateway *self);

/** Reviews the cell's row now instead of at the end of the interval. */
void gateway_review_soon (Gateway *self);

/** Reads the cells' rows again, which the store may have lost, if this instance is a relay. */
void gateway_reread_cells (Gateway *self);

/* watermark.c */

/** Notes the watermark of a cell's row, which may lack one. NULL: there is no row. Returns whether
 * it has one. */
gboolean gateway_note_watermark (Gateway *self, json_t *row);

/** No row that was read has a watermark. If the settings state a first start, these were all rows,
 * so that no instance was ever confirmed. */
void gateway_note_no_watermark (Gateway *self);

/** Reads the watermarks of all cells' rows; SvConfirmEvents.read_watermarks. */
void gateway_read_watermarks (gpointer data);
void gateway_stop_reading_watermarks (Gateway *self);

/** Whether this instance has a watermark that the cell's row lacks. */
gboolean gateway_is_watermark_unwritten (const Gateway *self);

/** Adds the watermark to a row that replaces the cell's row. */
void gateway_encode_watermark (const Gateway *self, json_t *row);

/* quarantine.c */

/** Adopts the quarantined segments in a cell's row; `is_start`: also those whose time isn't known.
 */
void gateway_adopt_quarantined (Gateway *self, json_t *row, gboolean is_start);

/** Has the cell's row written if the quarantined segments have changed: what isn't written is lost
 * in a restart of all instances. */
void gateway_note_quarantined (Gateway *self);

/** Confirms the list of endpoints more often while a quarantine stands only for want of proof that
 * its endpoints live. */
void gateway_note_doubt (Gateway *self);

/** Whether the cell's row has other quarantined segments than this instance. */
gboolean gateway_is_quarantine_unwritten (const Gateway *self);

/** Adds this instance's quarantined segments to a new row of the cell. */
void gateway_encode_quarantined (const Gateway *self, json_t *row);

/* quarantine_tests.c */

/** From now on tests of quarantines are counted in the store before they are made. */
void gateway_start_quarantine_tests (Gateway *self);
void gateway_stop_quarantine_tests (Gateway *self);

/* era.c */

void gateway_add_era_metric (Gateway *self);

/** Watches for a new era in the answers of `store`, and reacts to it. */
void gateway_watch_era (Gateway *self, PlStore *store);
void gateway_stop_watching_era (Gateway *self);

/* turns.c */

/** Measures the duration of each callback of the event loop. A callback that takes more processor
 * time than `limit` is logged; the limit is raised on an instance with less than one core, where a
 * callback takes longer by the clock. */
void gateway_start_callback_meter (Gateway *self, KnlTime limit);
void gateway_stop_callback_meter (Gateway *self);

/* reload.c */

/** Remembers the modification time of the settings file, which was just read. */
void gateway_note_settings (Gateway *self);

/** Reads the settings file again if its modification time has changed, or always if `always`. */
void gateway_reload (Gateway *self, gboolean always);
