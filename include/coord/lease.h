#pragma once

/**
 * Leases on shards, kept as rows of the platform's table, without shared
 * clocks.
 *
 * A holder renews its rows and counts each lease from the time before it sent
 * the renewal. A contender acquires a lease only after it has itself observed
 * the row unchanged for the lease's duration plus a margin; its transaction
 * checks the row's version. Each acquisition raises the shard's fencing number.
 * The holder calls co_lease_valid() immediately before each action, since its
 * process may have been paused since the last check.
 *
 * Rows: "lease/N", written by every renewal, and "fence/N", written by
 * acquisitions only. A transaction that checks the version of "fence/N" fails
 * for a former holder and does not conflict with renewals.
 */

#include "table/table.h"

typedef struct CoLeases CoLeases;

typedef enum
{
  CO_LEASE_UNKNOWN, /**< the table has not been read recently */
  CO_LEASE_VACANT,
  CO_LEASE_HELD,
} CoLeaseState;

typedef struct
{
  KnlKernel *kernel;
  TbTable *platform;
  const char *name;    /**< of this candidate; not copied, must outlive the leases */
  guint64 incarnation; /**< of this process */
  guint n_shards;
  KnlTime duration; /**< of a lease; the table must answer well within a third of this */
} CoLeasesOptions;

/** The known state of one shard's lease. */
typedef struct
{
  CoLeaseState state;
  const char *holder; /**< NULL if not held; valid until the next iteration of the event loop */
  guint64 fence;
  KnlTime remaining;
} CoLeaseView;

/** Called when this process has gained or lost a shard's lease; `fence` is 0 if lost. */
typedef void (*CoLeaseFunc) (CoLeases *leases, guint shard, guint64 fence, gpointer data);

CoLeases *co_leases_new (const CoLeasesOptions *options);

/** Does not release the leases held, which expire; observers aren't called. */
void co_leases_free (CoLeases *leases);

/** Adds an observer; it can't be removed. */
void co_leases_observe (CoLeases *leases, CoLeaseFunc func, gpointer data);

/** Sets the live candidates, including this one. No lease is acquired before the first call. */
void co_leases_set_candidates (CoLeases *leases, const char *const *names, guint n_names);

/**
 * Whether this process certainly holds the shard now; if so, sets `fence` (may
 * be NULL) to its fencing number. To be called immediately before each action.
 */
gboolean co_lease_valid (CoLeases *leases, guint shard, guint64 *fence);

/**
 * Returns a check for transactions that only the holder may commit; its key is
 * valid as long as the leases.
 */
TbCheck co_lease_check (const CoLeases *leases, guint shard);

CoLeaseView co_lease_view (CoLeases *leases, guint shard);

guint co_leases_count (const CoLeases *leases);
guint co_leases_held (CoLeases *leases);

/** Longest time that another holder's lease can still be valid after this process gained one. */
KnlTime co_leases_duration (const CoLeases *leases);

/**
 * Releases all leases and acquires no more. `done` (may be NULL) is called once
 * the release is written to the table, or when that times out.
 */
void co_leases_release (CoLeases *leases, void (*done) (gpointer data), gpointer data);
