#pragma once

/**
 * A simulated cluster of controllers that run only coord/member.h, on one paused
 * clock. Frames between them are packed, delayed and delivered, or dropped.
 */

#include "coord/member.h"
#include "kernel/paused.h"

/** Delay of a frame between any two controllers. */
#define FK_CLUSTER_DELAY (2 * KNL_MSEC)

typedef struct FkCluster FkCluster;

typedef struct
{
  FkCluster *cluster;
  guint index;
  char name[16];
  KnlRuntime *runtime;
  KnlKernel *kernel;
  CoMembers *members; /* NULL: the process isn't running */
  gboolean stopped;   /* frames sent to it are dropped */
  guint region;
  guint64 probes;
  guint failures_seen; /* number of times that a member became suspect or dead in its records */
  guint deaths_seen;   /* number of times that a member became dead in its records */
} FkNode;

struct FkCluster
{
  KnlPausedClock *clock;
  FkNode *nodes;
  guint count;
  gboolean regions_partitioned; /* no frame passes between regions 0 and 1 */
  int broken_path_a;            /* indexes of two nodes between which no frame passes; -1: none */
  int broken_path_b;
  guint64 frames;
  guint64 bytes;
};

/** A live member in zone "a"; the name is not copied. */
Alderturn__Member fk_member (Alderturn__MemberKind kind, const char *name, guint64 incarnation);

/** Starts `count` controllers "c0", "c1", ..., each with the list of all; the first half is in
 * region 0, the second in region 1. */
FkCluster *fk_cluster_new (guint count);
void fk_cluster_free (FkCluster *cluster);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (FkCluster, fk_cluster_free)

void fk_node_start (FkNode *node, guint64 incarnation);

/** Ends the process without notice to the others, as a crash does. */
void fk_node_stop (FkNode *node);

/** Stops or continues the process; frames sent to it while it is stopped are dropped. */
void fk_node_set_stopped (FkNode *node, gboolean stopped);

/** The member's state in the node's records; 0: the member is unknown. */
Alderturn__MemberState fk_node_state (FkNode *node, Alderturn__MemberKind kind, const char *name);

/** Advances until all running nodes have the member in `state`. Returns the elapsed time, or -1 if
 * that isn't so within `limit`. */
KnlTime fk_cluster_advance_to_state (FkCluster *cluster,
                                     Alderturn__MemberKind kind,
                                     const char *name,
                                     Alderturn__MemberState state,
                                     KnlTime limit);

/** Whether all running nodes have all controllers as live; for knl_paused_clock_advance_until(). */
gboolean fk_cluster_all_live (gpointer cluster);
