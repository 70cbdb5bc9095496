#pragma once

/** Internal state of coord/lease.h, shared by the files that implement it. */

#include "coord/lease.h"
#include "coord/lease_row.h"

typedef struct
{
  guint number;
  char *key;
  char *fence_key;
  char *hash_key; /* key for rendezvous hashing */
  /* As last read or written: */
  guint64 version; /* 0: there is no row */
  CoLeaseRow row;
  KnlTime unchanged_since;  /* when this version was first read or written */
  KnlTime acquirable_since; /* since when it can be acquired; KNL_NEVER: it can't */
  KnlTime no_handover_until;
  /* Of this process: */
  gboolean held;
  gboolean acquiring; /* an acquisition was sent; its answer is pending or lost */
  guint64 acquiring_fence;
  guint64 fence_version; /* version of the row "fence/N" written by this process */
  KnlTime valid_until;
} CoLeaseShard;

typedef enum
{
  CO_LEASE_RENEW,
  CO_LEASE_ACQUIRE,
  CO_LEASE_RELEASE,
} CoLeaseWrite;

typedef struct
{
  CoLeaseFunc func;
  gpointer data;
} CoLeaseObserver;

struct CoLeases
{
  CoLeasesOptions options;
  CoLeaseShard *shards;
  GArray *observers;
  GPtrArray *candidates; /* names */
  KnlTime stable_since;  /* when the candidates last changed */
  KnlTimerId tick;
  KnlTimerId lapse_timer; /* notifies the observers of expired leases */
  KnlTime renewed_at;     /* when renewals were last sent */
  KnlTime handed_over_at;
  /* The scan: */
  TbCallId scan_call;
  KnlTime scan_sent_at;
  KnlTime scanned_at; /* when the last successful one was sent; -1: none */
  /* The write in flight, at most one: */
  TbCallId write_call;
  CoLeaseWrite write_kind;
  KnlTime write_sent_at;
  GArray *written;       /* shard numbers */
  KnlTime blocked_until; /* no writes until a scan sent at this time or later succeeds */
  guint acquire_batch;   /* maximum number of shards in one acquisition */
  /* Release: */
  gboolean releasing;
  KnlTimerId release_timer;
  void (*released) (gpointer data);
  gpointer released_data;
};

static inline KnlTime
co_leases_now (const CoLeases *leases)
{
  return knl_kernel_now (leases->options.kernel);
}

/** Timer callback: starts the scans and writes that are due and restarts its timer. */
void co_leases_tick (gpointer leases);

/** Sends one transaction of `kind` for all shards that need it, unless a write is in flight. */
void co_leases_write (CoLeases *leases, CoLeaseWrite kind);

/** Whether the row as last seen was written by this process and isn't released. */
gboolean co_lease_is_ours (const CoLeases *leases, const CoLeaseShard *shard);

/** How many candidates precede this one for the shard; 0: it is the preferred candidate. */
guint co_lease_rank (const CoLeases *leases, const CoLeaseShard *shard);

/** Whether this process should try to acquire the shard now. */
gboolean co_lease_should_acquire (const CoLeases *leases, const CoLeaseShard *shard);

/** Marks the shard as held by this process; `version` is that of the write that acquired it. */
void co_lease_gain (CoLeases *leases, CoLeaseShard *shard, guint64 version);
