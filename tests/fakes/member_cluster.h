#pragma once

/**
 * Controllers on one paused clock that run only the membership protocol of
 * coord/member.h. Their frames are packed, delayed and delivered, or lost.
 */

#include "coord/member.h"
#include "kernel/paused.h"

/** One-way delay between any two controllers. */
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
  gboolean stopped;   /* frames sent to it are lost */
  guint region;
  guint64 probes;
  guint blamed; /* how often it has declared a member suspect or dead */
  guint buried; /* how often it has declared a member dead */
} FkNode;

struct FkCluster
{
  KnlPausedClock *clock;
  FkNode *nodes;
  guint count;
  gboolean regions_cut; /* all frames between regions 0 and 1 are lost */
  int broken_from;      /* frames between these two nodes are lost in both directions; -1: none */
  int broken_to;
  guint64 frames;
  guint64 bytes;
};

/** A live member in zone "a"; the name isn't copied. */
Alderturn__Member fk_member (Alderturn__MemberKind kind, const char *name, guint64 incarnation);

/** Starts `count` controllers "c0", "c1", ..., each with the list of all; the first half is in
 * region 0, the second in region 1. */
FkCluster *fk_cluster_new (guint count);
void fk_cluster_free (FkCluster *cluster);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (FkCluster, fk_cluster_free)

void fk_node_start (FkNode *node, guint64 incarnation);

/** Ends the process without notifying the others. */
void fk_node_stop (FkNode *node);

/** Suspends or resumes the process; frames sent to it while it is suspended are lost. */
void fk_node_set_stopped (FkNode *node, gboolean stopped);

/** The state in which the node has a member; 0: it doesn't know the member. */
Alderturn__MemberState fk_node_state (FkNode *node, Alderturn__MemberKind kind, const char *name);

/** Advances until all running nodes have the member in `state`; returns the time that it took, or
 * -1 when that exceeds `limit`. */
KnlTime fk_cluster_agree (FkCluster *cluster,
                          Alderturn__MemberKind kind,
                          const char *name,
                          Alderturn__MemberState state,
                          KnlTime limit);

/** Whether all running nodes have all controllers as live; for knl_paused_clock_advance_until(). */
gboolean fk_cluster_all_live (gpointer cluster);
