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
  /** Version of the configuration in use; 0: there is none. */
  guint64 (*version) (gpointer data);
  /** When it was last known to be the newest; -KNL_NEVER: never. */
  KnlTime (*confirmed_at) (gpointer data);
  /** It was the newest at that time. */
  void (*confirm) (KnlTime at, gpointer data);
  /** A peer has a newer one, or nobody could confirm it in time: the store is to be asked now. */
  void (*ask_store) (gpointer data);
  /** Newest revision in the list of endpoints, and when the store last answered about it. */
  guint64 (*endpoints) (gpointer data);
  KnlTime (*endpoints_heard_at) (gpointer data);
  /** A peer knows of a newer one, that the store should have told us of. */
  void (*ask_endpoints) (gpointer data);
} SvConfirmEvents;

/** `trust`: how old a confirmation may be while it is relied on; KNL_NEVER: nothing is asked. */
SvConfirm *sv_confirm_new (KnlKernel *kernel,
                           SvPeers *peers,
                           KnlTime trust,
                           const SvConfirmEvents *events,
                           gpointer data);
void sv_confirm_free (SvConfirm *confirm);

/** Whether this instance is one of those that ask the store often. */
gboolean sv_confirm_asks_store (const SvConfirm *confirm);
