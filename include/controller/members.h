#pragma once

/**
 * The view of the members that this controller sends to its entries: the
 * membership of coord/member.h, seeded from the platform's instance list, with the
 * members that operators declared to be draining shown as leaving. It is only a hint
 * and no guarantee depends on it.
 */

#include "controller/links.h"
#include "coord/config.h"
#include "coord/credit.h"
#include "coord/member.h"
#include "table/table.h"

typedef struct CtMembers CtMembers;

/** Called after the view has changed, and after the instance list was read for the first time. */
typedef void (*CtMembersFunc) (CtMembers *members, gpointer data);

typedef struct
{
  KnlKernel *kernel;
  TbTable *platform;
  const CoConfig *config;
  CtLinks *links;
  const WrIdentity *identity;
  KnlTime poll_interval; /**< between reads of the instance list; longer with many controllers */
  CtMembersFunc changed;
  gpointer data;
} CtMembersOptions;

CtMembers *ct_members_new (const CtMembersOptions *options);
void ct_members_free (CtMembers *members);

/** The underlying membership. */
CoMembers *ct_members_membership (CtMembers *members);

/** TRUE once the platform's instance list has been read. */
gboolean ct_members_listed (const CtMembers *members);

/** An entry has linked here or its draining state has changed; its link has closed. */
void ct_members_update_entry (CtMembers *members, const CtPeer *peer);
void ct_members_remove_entry (CtMembers *members, const CtPeer *peer);

/** Recomputes the view; to be called after a change of the configuration. */
void ct_members_refresh (CtMembers *members);

/** The view, sorted by name: Alderturn__Member, owned by `members` until the next change. */
const GPtrArray *ct_members_view (const CtMembers *members);

/** The member of that kind and name in the view, or NULL. */
const Alderturn__Member *
ct_members_find (const CtMembers *members, Alderturn__MemberKind kind, const char *name);

/** The state of the entry process with that name and incarnation. */
CoEntryState
ct_members_entry_state (const CtMembers *members, const char *name, guint64 incarnation);

static inline gboolean
ct_member_is_leaving (const Alderturn__Member *member)
{
  return member->state == ALDERTURN__MEMBER_STATE__MEMBER_STATE_LEAVING;
}
