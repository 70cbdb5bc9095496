#pragma once

/**
 * Confirmations that the configuration in use is the newest, passed on between
 * instances, so that a few ask the store and all know.
 *
 * What an answer proves is counted from when the question was sent, on the
 * asker's own clock, less the age that the answerer tells: whatever is late, held
 * up or frozen on the way only makes the confirmation older. Nobody's time of
 * day, and no clock but one's own, is trusted.
 */

#include "serve/peers.h"

typedef struct SvConfirm SvConfirm;

typedef struct
{
  /** Version of the configuration in use (0: there is none), and the store's era. */
  SvPosition (*version) (gpointer data);
  /** When it was last known to be the newest; -KNL_NEVER: never. */
  KnlTime (*confirmed_at) (gpointer data);
  /** It was the newest at that time. */
  void (*confirm) (KnlTime at, gpointer data);
  /** A peer has a newer one, or nobody could confirm it in time: the store is to be asked now. */
  void (*ask_store) (gpointer data);
  /** Revision of the newest change of the list of endpoints that has come, the revision up to which
   * all changes have come, and when they were last answered for; now, while an answer arrives. */
  SvPosition (*endpoints) (gpointer data);
  SvPosition (*endpoints_known) (gpointer data);
  KnlTime (*endpoints_heard_at) (gpointer data);
  /** A peer knows of a newer one, that we should have been told of. */
  void (*ask_endpoints) (gpointer data);
  /** The same for configurations. */
  KnlTime (*config_heard_at) (gpointer data);
  void (*ask_config) (gpointer data);
} SvConfirmEvents;

/** `trust`: how old a confirmation may be while it is relied on; KNL_NEVER: nothing is asked. */
SvConfirm *sv_confirm_new (KnlKernel *kernel,
                           SvPeers *peers,
                           KnlTime trust,
                           const SvConfirmEvents *events,
                           gpointer data);
void sv_confirm_free (SvConfirm *confirm);

/** There may be another configuration in use, not by an answer of the store: it may have been
 * confirmed already; else a peer is asked at once. */
void sv_confirm_note_config (SvConfirm *confirm);

/**
 * Whether the store, as of `at`, lacks a configuration that a peer had told of
 * before, with a higher version than that in use. It has lost it then, and with
 * it perhaps that a key was withdrawn; the operator writes it again.
 */
gboolean sv_confirm_lacks_config (const SvConfirm *confirm, KnlTime at);

/** When a peer told first of a configuration that is newer than that in use; KNL_NEVER: none has.
 */
KnlTime sv_confirm_outdated_since (const SvConfirm *confirm);

/** Whether this instance is one of those that ask the store often. */
gboolean sv_confirm_asks_store (const SvConfirm *confirm);
