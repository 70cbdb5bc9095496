#pragma once

/**
 * Each workspace's use of the fleet, relative to its weight.
 *
 * Fairness holds across all entries: the controllers add up the reports of every
 * entry and send back the sums. Between updates the entry adds its own count to
 * them; without recent updates it uses its own count alone. Use decays, so that an
 * idle workspace gains at most a few seconds of precedence.
 */

#include "kernel/kernel.h"
#include "wire/alderturn.pb-c.h"

typedef struct EnShares EnShares;

EnShares *en_shares_new (KnlKernel *kernel);
void en_shares_free (EnShares *shares);

void en_shares_set_weight (EnShares *shares, const char *workspace, gint64 weight);

gint64 en_shares_weight (EnShares *shares, const char *workspace);

/** Counts a dispatched request of `tokens` tokens. */
void en_shares_note_dispatched (EnShares *shares, const char *workspace, guint64 tokens);

/** Use divided by weight; the workspace with the lowest goes first. */
double en_shares_virtual_time (EnShares *shares, const char *workspace);

/**
 * Whether the workspace sends far more requests, by weight, than all but a few
 * others. Its requests then get a lower priority at the engines, where this
 * entry's queue has no influence on the order.
 */
gboolean en_shares_is_flooding (EnShares *shares, const char *workspace);

void en_shares_apply (EnShares *shares, const Alderturn__ShareUpdate *update);

/** Tokens dispatched since the last call, for the next report; resets the count. */
guint64 en_shares_take_unreported (EnShares *shares, const char *workspace);
