#pragma once

/** Shared by the files that implement serve/confirm.h. */

#include "peers_internal.h"
#include "serve/confirm.h"
#include "serve/era_check.h"
#include "serve/pending_configs.h"

/* A position that peers reported and that this instance hasn't reached. */
typedef struct
{
  SvPosition reported;
  KnlTime since;
} UnreachedPosition;

struct SvConfirm
{
  KnlKernel *kernel;
  SvPeers *peers;
  KnlTime max_staleness;
  const SvConfirmEvents *events;
  gpointer data;
  KnlTimerId timer;
  guint64 stamp;        /* of the pending request; 0: none */
  KnlTime requested_at; /* time at which it was sent */
  UnreachedPosition config;
  UnreachedPosition evacuations;
  UnreachedPosition endpoints;
  KnlTime store_query_period; /* 0: the confirmation isn't old */
  KnlTime next_store_query_at;
  gboolean is_recheck_due;    /* the next timer sends a request whatever the age */
  SvPosition proven;          /* was the newest at `proven_at`; version 0: none */
  guint64 proven_evacuations; /* newest row of evacuated zones that was applied there by then */
  KnlTime proven_at;
  SvPendingConfigs pending_configs;
  CmLogRateLimit evacuations_log_limit; /* evacuations that don't fit into an answer */
  SvEraCheck era_check;
  guint64 check_stamp;     /* of the requests to peers by which the era is checked; 0: none */
  KnlTime check_asked_at;  /* when that stamp was chosen */
  guint next_asked;        /* in the list of live instances of the cell */
  guint64 first_start_era; /* in which no row had a watermark at a first start; 0: none */
  SvPosition watermark;    /* newest one in a cell's row; version 0: none */
  KnlTime store_at;        /* time for which the store has answered last; -KNL_NEVER: never */
};

/** Returns a stamp for a request that no other request has. */
guint64 sv_confirm_new_stamp (const SvConfirm *confirm);

/** Notes a reported configuration. `source`: the peer's name, or what else reports it. */
void sv_confirm_note_reported (SvConfirm *confirm, const char *source, guint64 version);

/** Notes that the configuration in use was the store's newest one at the time `at`, by the store or
 * by a peer that it had confirmed. */
void sv_confirm_note_newest (SvConfirm *confirm, KnlTime at);

/* confirm_evacuations.c */

/** Evacuations in a datagram, with the arrays that protobuf-c needs. */
typedef struct
{
  Alderturn__Evacuation rows[SV_MAX_REPORTED_EVACUATIONS];
  Alderturn__Evacuation *pointers[SV_MAX_REPORTED_EVACUATIONS];
} EvacuationRows;

/** Adds the zones that this instance keeps evacuated; `rows` must outlive the message. */
void sv_confirm_add_evacuations (SvConfirm *confirm,
                                 Alderturn__Confirmation *answer,
                                 EvacuationRows *rows);

/** Applies the evacuations in a peer's answer. */
void sv_confirm_note_evacuations (SvConfirm *confirm,
                                  const Peer *peer,
                                  const Alderturn__Confirmation *answer);

/* confirm_store.c */

void sv_confirm_init_store (SvConfirm *confirm);
void sv_confirm_clear_store (SvConfirm *confirm);

/** Handles a peer's answer to a request by which the store's era is checked. Returns FALSE if it
 * isn't one. */
gboolean sv_confirm_handle_check_answer (SvConfirm *confirm,
                                         const Peer *peer,
                                         const Alderturn__Confirmation *reported);
