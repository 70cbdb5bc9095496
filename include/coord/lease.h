#pragma once

/**
 * Leases on shards, as rows of the platform's table, without shared clocks.
 *
 * A holder renews its rows and counts each lease from before it sent the
 * renewal. A contender takes a row over only after it has itself watched it
 * unchanged for the lease's time plus a margin; its transaction checks the row's
 * version. Each take-over raises the shard's fencing number. The holder asks
 * co_lease_valid() right before each act, since its process may have been
 * paused since it last looked.
 *
 * Rows: "lease/N", written by every renewal, and "fence/N", written by
 * take-overs only. A transaction that checks the version of "fence/N" can't be
 * carried out for a former holder, and does not collide with renewals.
 */

#include "table/table.h"

typedef struct CoLeases CoLeases;

typedef enum
{
  CO_LEASE_UNKNOWN, /**< the table has not been read lately */
  CO_LEASE_VACANT,
  CO_LEASE_HELD,
} CoLeaseState;

typedef struct
{
  KnlKernel *kernel;
  TbTable *platform;
  const char *name;    /**< of this candidate; outlives the leases */
  guint64 incarnation; /**< of this process */
  guint n_shards;
  KnlTime duration; /**< of a lease; the table must answer well within a third of it */
} CoLeasesOptions;

/** What is known of one shard's lease. */
typedef struct
{
  CoLeaseState state;
  const char *holder; /**< NULL when not held; valid until the next turn of the kernel */
  guint64 fence;
  KnlTime remaining;
} CoLeaseView;

/** Called when this process has gained or lost a shard; `fence` is 0 when lost. */
typedef void (*CoLeaseFunc) (CoLeases *leases, guint shard, guint64 fence, gpointer data);

CoLeases *co_leases_new (const CoLeasesOptions *options);

/** Without release: what was held lapses. Users are not told. */
void co_leases_free (CoLeases *leases);

/** Adds an observer; it lives as long as the leases. */
void co_leases_observe (CoLeases *leases, CoLeaseFunc func, gpointer data);

/** The live candidates, this one included. Nothing is taken before the first call. */
void co_leases_set_candidates (CoLeases *leases, const char *const *names, guint n_names);

/** TRUE while this process surely holds the shard, with its fencing number. Ask before each act. */
gboolean co_lease_valid (CoLeases *leases, guint shard, guint64 *fence);

/** A check for transactions that only the holder may make; the key is valid as long as the leases.
 */
TbCheck co_lease_check (const CoLeases *leases, guint shard);

CoLeaseView co_lease_view (CoLeases *leases, guint shard);

guint co_leases_count (const CoLeases *leases);
guint co_leases_held (CoLeases *leases);

/** Longest time that another holder's lease can still be valid after this process gained one. */
KnlTime co_leases_duration (const CoLeases *leases);

/** Gives all up, takes none any more. `done` is called when the table knows, or can't be told. */
void co_leases_release (CoLeases *leases, void (*done) (gpointer data), gpointer data);
