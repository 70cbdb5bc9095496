#pragma once

/**
 * Membership: the entries, controllers and endpoints known to this process. It
 * is a hint only; safety must not depend on it.
 *
 * Controllers detect each other's failures with the SWIM protocol. Each one
 * probes the others in turn, first directly, then through a few other
 * controllers. A member that does not answer is suspect for some time before it
 * is declared dead; a member that receives a suspicion of itself refutes it
 * with a higher incarnation. Updates are piggybacked on probes and acks, a
 * bounded number on each, so that the cost for each member does not grow with
 * the number of members. Dead members are kept and probed at intervals, so that
 * a region that was partitioned rejoins without intervention.
 *
 * An entry is vouched for by the controller that it is linked to: that
 * controller reports its state. Endpoints come from the platform's list; an
 * endpoint may also advertise itself that it is leaving.
 *
 * This module opens no sockets: frames are sent by a function of the owner, and
 * received frames are passed to co_members_handle_*(). A member's name is
 * unique within its kind.
 */

#include "kernel/kernel.h"
#include "wire/alderturn.pb-c.h"

typedef struct CoMembers CoMembers;

/** Sends a frame to controller `to`, opening a link if there is none. The frame may be lost. */
typedef void (*CoMemberSendFunc) (const Alderturn__Member *to,
                                  const Alderturn__Frame *frame,
                                  gpointer data);

/**
 * An observer: the member was added or has changed; if its state is DEAD, it
 * has failed or left. Observers aren't called inside co_members_foreach(),
 * whose visitors have this type too.
 */
typedef void (*CoMemberFunc) (const Alderturn__Member *member, gpointer data);

/** Times of the protocol; a field that is 0 selects its default. */
typedef struct
{
  KnlTime period;         /**< between two probes sent by this member; default 1 s */
  KnlTime direct_timeout; /**< wait for an ack before indirect probes are sent; default 400 ms */
  /** From suspect to dead; default 3 s, grows with log10 of the number of controllers. */
  KnlTime suspicion_timeout;
  KnlTime dead_probe_interval; /**< between two probes of dead members; default 5 s */
  KnlTime tombstone_ttl;       /**< how long dead members are kept; default 2 h */
  /** Between two full syncs; default 30 s, grows with the number of records. */
  KnlTime sync_interval;
  KnlTime list_grace; /**< how long an endpoint may be missing from the list; default 15 s */
} CoMemberTimes;

/**
 * `self` is this controller's own record, with the incarnation of its process;
 * it is copied. `times` may be NULL. Probing starts immediately.
 */
CoMembers *co_members_new (KnlKernel *kernel,
                           const Alderturn__Member *self,
                           const CoMemberTimes *times,
                           CoMemberSendFunc send,
                           gpointer data);
void co_members_free (CoMembers *members);

/** Adds an observer; it can't be removed. */
void co_members_observe (CoMembers *members, CoMemberFunc func, gpointer data);

/**
 * Applies the platform's list, whose incarnations are 0. Controllers and
 * entries that are not known yet are added with the state listed; known ones
 * are left as they are, since the protocol's own records take precedence.
 * Endpoints follow the list: new ones are live, a listed state of LEAVING is
 * applied, and missing ones become dead after `list_grace`.
 */
void co_members_seed (CoMembers *members, Alderturn__Member *const *list, guint count);

/** Handle frames received from the controller named `from`. */
void co_members_handle_probe (CoMembers *members, const char *from, const Alderturn__Probe *probe);
void co_members_handle_ack (CoMembers *members, const char *from, const Alderturn__ProbeAck *ack);

/**
 * Handles an update from a controller; if it is `full`, the records that the
 * sender lacks are sent back.
 */
void co_members_handle_update (CoMembers *members,
                               const char *from,
                               const Alderturn__MemberUpdate *update);

/**
 * Vouches for an entry that is linked to this controller: it is live, or
 * leaving if `leaving` is set. `entry->incarnation` is that of its process.
 */
void co_members_vouch (CoMembers *members, const Alderturn__Member *entry, gboolean leaving);

/**
 * Called when the link to that entry has closed. A live entry becomes suspect,
 * and dead after the suspicion time unless a controller vouches for it again;
 * an entry that was leaving is dead.
 */
void co_members_unvouch (CoMembers *members, const char *name);

/** Marks this controller itself as leaving. */
void co_members_leave (CoMembers *members);

/** Applies the state that an endpoint advertises; a higher incarnation is a new process. */
void co_members_note_endpoint (CoMembers *members,
                               Alderturn__MemberKind kind,
                               const char *name,
                               guint64 incarnation,
                               gboolean leaving);

/** Marks a member as leaving in its current incarnation. */
void co_members_mark_leaving (CoMembers *members, Alderturn__MemberKind kind, const char *name);

/**
 * Returns the member, which may be dead, or NULL; valid until the next call
 * that changes members.
 */
const Alderturn__Member *
co_members_find (CoMembers *members, Alderturn__MemberKind kind, const char *name);

const Alderturn__Member *co_members_self (CoMembers *members);

/**
 * Visits all members that are not dead, of `kind` or (UNSPECIFIED) of all
 * kinds, by kind and name.
 */
void co_members_foreach (CoMembers *members,
                         Alderturn__MemberKind kind,
                         CoMemberFunc func,
                         gpointer data);

guint co_members_count (CoMembers *members, Alderturn__MemberKind kind);

/**
 * Returns a full update for an entry, with all members that are not dead; free
 * it with alderturn__member_update__free_unpacked().
 */
Alderturn__MemberUpdate *co_members_update_new (CoMembers *members);
