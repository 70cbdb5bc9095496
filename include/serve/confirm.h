#pragma once

/**
 * Confirmations that the configuration in use is the newest. Instances request them from each
 * other, so that only a few need to query the store.
 *
 * An answer proves that the configuration was the newest at the time when its request was sent, by
 * the requester's own clock, less the age that the answer states. A message that is delayed, or a
 * process that is frozen, therefore only makes the confirmation older. Neither wall-clock times nor
 * other instances' clocks are relied on.
 */

#include "serve/peers.h"

typedef struct SvConfirm SvConfirm;

typedef struct
{
  /** Version of the configuration in use (0: there is none) and the store's era. */
  SvPosition (*version) (gpointer data);
  /** Position up to which all changes of the configuration's table were applied, including those of
   * evacuated zones; version 0: none yet. */
  SvPosition (*config_known) (gpointer data);
  /** Time for which it was last known to be the newest; -KNL_NEVER: never. */
  KnlTime (*confirmed_at) (gpointer data);
  /** The configuration in use was the newest at that time. */
  void (*confirm) (KnlTime at, gpointer data);
  /** A peer has a newer configuration, or no peer could confirm ours in time: the store must be
   * queried now. */
  void (*query_store) (gpointer data);
  /** Revision of the newest change of the endpoint list that was received. */
  SvPosition (*endpoints) (gpointer data);
  /** Revision up to which all changes of the endpoint list were received. */
  SvPosition (*endpoints_known) (gpointer data);
  /** Time of the last answer about the endpoint list (now, while an answer is being received). */
  KnlTime (*endpoints_last_seen_at) (gpointer data);
  /** A peer has a newer endpoint list, which should have reached this instance already. */
  void (*query_endpoints) (gpointer data);
  /** Time of the last answer about configurations (now, while an answer is being received). */
  KnlTime (*config_last_seen_at) (gpointer data);
  /** A peer has a newer configuration, which should have reached this instance already. */
  void (*query_config) (gpointer data);
  /** The watermarks in the cells' rows are to be read, and noted by sv_confirm_note_watermark(). */
  void (*read_watermarks) (gpointer data);
} SvConfirmEvents;

/** `max_staleness`: maximum age of a confirmation that is relied on; KNL_NEVER: no requests are
 * sent. `events` isn't copied. */
SvConfirm *sv_confirm_new (KnlKernel *kernel,
                           SvPeers *peers,
                           KnlTime max_staleness,
                           const SvConfirmEvents *events,
                           gpointer data);
void sv_confirm_free (SvConfirm *confirm);

/** Changes `max_staleness`. */
void sv_confirm_set_max_staleness (SvConfirm *confirm, KnlTime max_staleness);

/** To be called when the configuration in use may have changed other than by an answer of the
 * store. It is confirmed if a proof is known already; else, if it was never confirmed, a peer is
 * queried at once. */
void sv_confirm_note_config (SvConfirm *confirm);

/** The store has answered that the configuration in use was the newest at the time `at`. It is
 * confirmed if the store's era is trusted (see serve/era_check.h) and no newer configuration is
 * known. */
void sv_confirm_note_store (SvConfirm *confirm, KnlTime at);

/** A cell's row states that a confirmed instance had that configuration in that era. */
void sv_confirm_note_watermark (SvConfirm *confirm, SvPosition watermark);

/** The system starts for the first time, and no row has a watermark in this era of the store. */
void sv_confirm_note_first_start (SvConfirm *confirm, guint64 era);

/** The watermark that this instance may write into its cell's row: its configuration and the
 * store's era. Version 0: it isn't confirmed, or knows of a newer one. */
SvPosition sv_confirm_watermark (const SvConfirm *confirm);

/** Whether the store, in an answer for the time `at`, lacks a configuration that a peer had
 * reported before and whose version is higher than that in use. The store has then lost it, and
 * possibly the withdrawal of a key with it; the operator writes it again. */
gboolean sv_confirm_store_lost_config (const SvConfirm *confirm, KnlTime at);

/** Time of the first report by a peer of a configuration newer than that in use; KNL_NEVER if there
 * is none. */
KnlTime sv_confirm_stale_since (const SvConfirm *confirm);

/** Whether this instance is one of those that poll the store for their cell. */
gboolean sv_confirm_polls_store (const SvConfirm *confirm);
