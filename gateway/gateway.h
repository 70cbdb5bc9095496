#pragma once

/** The parts of alderturn-gateway; only its own files include this. */

#include "common/log.h"
#include "http/server.h"
#include "kernel/process.h"
#include "platform/boot.h"
#include "platform/decode.h"
#include "platform/dialect.h"
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
  PlFeed *config_feed;
  PlFeed *endpoints_feed;
  guint64 endpoints_revision; /* newest row of the endpoints' table that has come */
  KnlTime endpoints_heard_at; /* last answer of their feed */
  CmLogLimit unreadable;      /* entries of endpoints that name none */
  PlCall *member_call;
  KnlTimerId member_timer;
  KnlTime look_delay;
  KnlTimerId tick_timer;
  KnlTime drain_since;    /* 0: no drain */
  gint64 boot_changed_at; /* the settings file's modification time, s */
  struct event *reload_signal;
} Gateway;

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

/* members.c */

/** Enters this instance in the store and looks for others there. */
void gateway_start_membership (Gateway *self);

/** Takes this instance out of the store. */
void gateway_leave (Gateway *self);
void gateway_stop_membership (Gateway *self);

/* reload.c */

/** The settings file was just read. */
void gateway_note_settings (Gateway *self);

/** Reads the settings file again if it has changed, or in any case. */
void gateway_reload (Gateway *self, gboolean always);
