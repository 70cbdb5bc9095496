#pragma once

/**
 * The records of coord/member.h and the only rule by which they change: the
 * higher incarnation wins; within one incarnation, the state that comes later
 * in LIVE, SUSPECT, LEAVING, DEAD. Members that receive the same updates
 * therefore converge.
 */

#include "kernel/kernel.h"
#include "wire/alderturn.pb-c.h"

typedef struct
{
  Alderturn__Member member; /**< strings are owned */
  KnlTime changed;          /**< when the record last changed */
  KnlTime deadline;         /**< when it becomes dead unless refuted; KNL_NEVER: not suspect */
  KnlTime listed_at;        /**< when it was last in the platform's list; 0: never */
  gboolean listed;          /**< it was in the last list */
  gboolean listed_leaving;  /**< it was listed as leaving */
  char *listed_address;     /**< its address when it was last listed, or NULL */
  guint64 vouched;          /**< incarnation that this process vouches for; 0: none */
} CoMemberRecord;

typedef struct CoMemberTable CoMemberTable;

CoMemberTable *co_member_table_new (void);
void co_member_table_free (CoMemberTable *table);

CoMemberRecord *
co_member_table_find (CoMemberTable *table, Alderturn__MemberKind kind, const char *name);

/** Whether `a` is newer than `b`; both are records of the same member. */
gboolean co_member_is_newer (const Alderturn__Member *a, const Alderturn__Member *b);

/**
 * Whether this process vouches for it; FALSE once another controller does with
 * a higher incarnation.
 */
gboolean co_member_is_vouched (const CoMemberRecord *record);

/**
 * Applies `update` if it is newer than the record. Returns the changed record,
 * or NULL. A DEAD update of an unknown member is ignored: otherwise controllers
 * would keep restoring each other's tombstone, and it would never expire.
 */
CoMemberRecord *
co_member_table_merge (CoMemberTable *table, const Alderturn__Member *update, KnlTime now);

void co_member_table_remove (CoMemberTable *table, CoMemberRecord *record);

/** Returns a new array of all CoMemberRecords by kind and name; the array does not own them. */
GPtrArray *co_member_table_records (CoMemberTable *table);

guint co_member_table_size (CoMemberTable *table);
