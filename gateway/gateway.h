#pragma once

/** The parts of alderturn-gateway; only its own files include this. */

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

typedef struct
{
  const char *boot_path;
  PlBoot *boot;
  KnlProcess process;
  CmMetrics *metrics;
  HtClient *endpoints_client;
  HtClient *store_client;
  PlStore *store;
  SvDialect *dialect;
  SvFleet *fleet;
  SvPeers *peers;
  SvMember member;
  SvCore *core;
  HtServer *callers;
  HtServer *ready;
  HtServer *directory;
  HtServer *metrics_server;
  SvConfirm *confirm;
  PlFeed *config_feed; /* both NULL until a source is chosen */
  PlFeed *endpoints_feed;
  PlConfigDecoder *config_decoder;
  gboolean reads_config;   /* the value that comes in pieces is a configuration */
  KnlTime config_heard_at; /* last answer of its feed */
  PlMirror *mirror;
  PlStore *peer_store; /* of the instance that the feeds ask; NULL: they ask the store */
  char *peer_address;  /* its link address */
  char *avoided;       /* link address of an instance that didn't answer, or NULL */
  KnlTime avoided_until;
  KnlTime store_until;      /* the store is asked, whoever else there is */
  KnlTime others_until;     /* others are asked, since the store doesn't answer */
  KnlTime store_lost_at;    /* 0: it answers */
  KnlTime members_known_at; /* 0: the list of members was not read yet */
  KnlTime started_at;
  KnlTimerId source_timer;
  SvPosition endpoints_revision; /* newest row of the endpoints' table that has come */
  KnlTime endpoints_heard_at;    /* last answer of their feed */
  CmLogLimit unreadable;         /* entries of endpoints that name none */
  PlCall *member_call;
  PlAnswer *member_page; /* of the list, that is being taken in; NULL: none */
  guint next_member;     /* row of it */
  KnlJobId member_job;
  KnlTimerId member_timer;
  KnlTime look_delay;
  gboolean is_entered;    /* the list of members has named this instance */
  gboolean is_listed;     /* the pages of it that have come have */
  guint64 era;            /* of the store, newest that was seen; 0: none */
  CmSeries *eras;         /* counts those after the first */
  KnlTimerId enter_timer; /* this instance's row is to be written again */
  KnlTimerId tick_timer;
  KnlTime drain_since;    /* 0: no drain */
  gint64 boot_changed_at; /* the settings file's modification time, s */
  struct event *reload_signal;
  GHashTable *turn_series; /* name of a callback -> CmSeries */
  KnlTime turn_limit;      /* a callback that takes longer is logged */
  CmLogLimit long_turns;
} Gateway;

/* main.c */

/** Whether callers are to come here. */
gboolean gateway_is_ready (const Gateway *self);

/* servers.c */

/** Opens the listening sockets; FALSE: one can't be opened, which was logged. */
gboolean gateway_open_servers (Gateway *self);
void gateway_close_servers (Gateway *self);

/** Has callers' connections keep to the limits of the configuration in use. */
void gateway_apply_limits (Gateway *self);

/* follow.c */

/** Follows configuration and endpoints in the store. */
void gateway_start_following (Gateway *self);
void gateway_stop_following (Gateway *self);

/** Starts to ask `store`; the first time the feeds are made. */
void gateway_follow (Gateway *self, PlStore *store);

/* source.c */

/** Chooses whom the feeds ask, now and from time to time. */
void gateway_start_source (Gateway *self);
void gateway_stop_source (Gateway *self);

/** The list of members has been read. */
void gateway_note_members (Gateway *self);

/** Whoever the feeds ask knows less than others, or nothing: the store is asked for a while. */
void gateway_ask_store (Gateway *self);

/** Whoever the feeds ask doesn't answer. */
void gateway_note_source_lost (Gateway *self);

/** It answers. */
void gateway_note_source_answers (Gateway *self);

/* members.c */

/** Enters this instance in the store and looks for others there. */
void gateway_start_membership (Gateway *self);

void gateway_stop_membership (Gateway *self);

/** Writes this instance's row again, whatever the store has. */
void gateway_enter_again (Gateway *self);

/* era.c */

void gateway_meter_eras (Gateway *self);

/** Has a new era that `store` tells of acted upon. */
void gateway_watch_era (Gateway *self, PlStore *store);
void gateway_stop_watching_era (Gateway *self);

/* turns.c */

/** Has each callback of the loop counted by how long it took. `limit`: of processor time, beyond
 * which one is logged; on a part of a core it takes longer by the clock. */
void gateway_meter_turns (Gateway *self, KnlTime limit);
void gateway_stop_meter (Gateway *self);

/* reload.c */

/** The settings file was just read. */
void gateway_note_settings (Gateway *self);

/** Reads the settings file again if it has changed, or in any case. */
void gateway_reload (Gateway *self, gboolean always);
