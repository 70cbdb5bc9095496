#pragma once

/**
 * Who is there, as this controller tells its entries: the membership of
 * coord/member.h, seeded by the platform's list, with what operators have
 * declared to be draining. A hint only: no promise rests on it.
 */

#include "controller/links.h"
#include "coord/config.h"
#include "coord/credit.h"
#include "coord/member.h"
#include "table/table.h"

typedef struct CtMembers CtMembers;

/** Called after the view has changed. */
typedef void (*CtMembersFunc) (CtMembers *members, gpointer data);

typedef struct
{
  KnlKernel *kernel;
  TbTable *platform;
  const CoConfig *config;
  CtLinks *links;
  const WrIdentity *identity;
  KnlTime poll_interval; /**< between reads of the list, with few controllers */
  CtMembersFunc changed;
  gpointer data;
} CtMembersOptions;

CtMembers *ct_members_new (const CtMembersOptions *options);
void ct_members_free (CtMembers *members);

/** The membership beneath. */
CoMembers *ct_members_known (CtMembers *members);

/** TRUE once the platform's list has been read. */
gboolean ct_members_listed (const CtMembers *members);

/** An entry is linked here, or its status has changed; its link has gone. */
void ct_members_entry (CtMembers *members, const CtPeer *peer);
void ct_members_entry_gone (CtMembers *members, const CtPeer *peer);

/** Computes the view anew, after a change of the configuration. */
void ct_members_refresh (CtMembers *members);

/** The view, in order of name: Alderturn__Member, owned by `members` until the next change. */
const GPtrArray *ct_members_view (const CtMembers *members);

/** The member of the view with that kind and name, or NULL. */
const Alderturn__Member *
ct_members_find (const CtMembers *members, Alderturn__MemberKind kind, const char *name);

/** What is known of that process of an entry. */
CoEntryState
ct_members_entry_state (const CtMembers *members, const char *name, guint64 incarnation);

static inline gboolean
ct_member_is_leaving (const Alderturn__Member *member)
{
  return member->state == ALDERTURN__MEMBER_STATE__MEMBER_STATE_LEAVING;
}
