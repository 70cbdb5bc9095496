#pragma once

/** Internal state of coord/member.h, shared by the files that implement it. */

#include "coord/gossip.h"
#include "coord/member.h"
#include "coord/member_table.h"
#include "coord/prober.h"

struct CoMembers
{
  KnlKernel *kernel;
  CoMemberTimes times;
  CoMemberSendFunc send;
  gpointer data;
  CoMemberTable *table;
  CoMemberRecord *self;
  CoGossip *gossip;
  CoProber *prober;
  GArray *observers;
  GPtrArray *suspects; /**< CoMemberRecord with a deadline */
  guint controllers;   /**< not dead, including this one; updated each period */
  KnlTime next_sync;
  KnlTime last_sync;
  guint periods;
  KnlTimerId urgent_timer;
  KnlTime last_urgent;
};

/**
 * Handles a record received from outside; refutes false ones about this member
 * and the entries it vouches for.
 */
void co_members_handle_record (CoMembers *members, const Alderturn__Member *update);

/**
 * Applies `update` if it is newer and notifies the observers; returns the
 * changed record or NULL.
 */
CoMemberRecord *co_members_merge (CoMembers *members, const Alderturn__Member *update);

/** Sets a record's incarnation and state; no effect unless they are newer than the record's. */
void co_members_set_state (CoMembers *members,
                           CoMemberRecord *record,
                           guint64 incarnation,
                           Alderturn__MemberState state);

/**
 * Declares suspects dead whose deadline has passed. All deadlines are first
 * extended by `stall`, a time in which this process could not receive
 * refutations.
 */
void co_members_expire_suspects (CoMembers *members, KnlTime stall);

/** Removes members that have been dead for longer than the tombstone time. */
void co_members_purge (CoMembers *members);

/** Announces queued updates to a few controllers shortly, without waiting for the next probes. */
void co_members_announce_soon (CoMembers *members);

/** Callbacks of the prober; their data is a CoMembers. */
extern const CoProberCallbacks co_members_prober_callbacks;
