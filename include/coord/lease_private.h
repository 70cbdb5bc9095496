#pragma once

/** The state behind coord/lease.h, shared by the files that make it up; not for others. */

#include "coord/lease.h"
#include "coord/lease_row.h"

typedef struct
{
  guint number;
  char *key;
  char *fence_key;
  char *thing; /* name for rendezvous hashing */
  /* As last read or written: */
  guint64 version; /* 0: there is no row */
  CoLeaseRow row;
  KnlTime unchanged_since; /* when this version was first seen */
  KnlTime free_since;      /* since when it could be taken; KNL_NEVER: it can't */
  KnlTime no_handover_until;
  /* Of this process: */
  gboolean held;
  gboolean acquiring; /* a take-over was sent and its answer may be lost */
  guint64 acquiring_fence;
  guint64 fence_version; /* version of the row "fence/N" as this process wrote it */
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
  KnlTime stable_since;  /* since when the candidates are the same */
  KnlTimerId tick;
  KnlTimerId lapse_timer; /* waits to tell of leases that have lapsed */
  KnlTime renewed;        /* when renewals were last sent */
  KnlTime handed_over;
  /* The scan: */
  TbCallId scan_call;
  KnlTime scan_sent;
  KnlTime scanned; /* when the last one that succeeded was sent */
  /* The one write under way: */
  TbCallId write_call;
  CoLeaseWrite write_kind;
  KnlTime write_sent;
  GArray *written;       /* shard numbers */
  KnlTime blocked_until; /* no write before a scan sent at or after this */
  guint acquire_batch;   /* shards taken at once */
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

/** Looks at what is due; starts its own timer anew. */
void co_leases_tick (gpointer leases);

/** Sends one transaction of `kind` for all shards that want it, unless another is under way. */
void co_leases_write (CoLeases *leases, CoLeaseWrite kind);

/** The row as last seen is of this very process, and not given up. */
gboolean co_lease_is_ours (const CoLeases *leases, const CoLeaseShard *shard);

/** How many candidates come before this one. */
guint co_lease_rank (const CoLeases *leases, const CoLeaseShard *shard);

/** Whether this process should try to take the shard now. */
gboolean co_lease_should_take (const CoLeases *leases, const CoLeaseShard *shard);

/** The shard is this process's, by the write of `version`. */
void co_lease_gain (CoLeases *leases, CoLeaseShard *shard, guint64 version);
