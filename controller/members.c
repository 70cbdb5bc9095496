#include "controller/members.h"

#include <string.h>

/* Changes within this time are sent to the entries as one update. */
#define COALESCE_DELAY (20 * KNL_MSEC)

/* Maximum rate of reads of the instance list, over all controllers together. */
#define MAX_READS_PER_SECOND 20

struct CtMembers
{
  CtMembersOptions options;
  CoMembers *membership;
  GPtrArray *view;
  TbCallId call;
  KnlTimerId poll;
  KnlTimerId refresh;
  gboolean listed;          /* the instance list has been read */
  gboolean notified_listed; /* `changed` has been called since then */
};

static void poll_list (gpointer data);

static void
member_free (gpointer data)
{
  alderturn__member__free_unpacked (data, NULL);
}

static gint
compare_members (gconstpointer a, gconstpointer b)
{
  const Alderturn__Member *x = *(const Alderturn__Member *const *)a;
  const Alderturn__Member *y = *(const Alderturn__Member *const *)b;
  int order = strcmp (x->name, y->name);

  return order != 0 ? order : (int)x->kind - (int)y->kind;
}

static void
add_to_view (const Alderturn__Member *member, gpointer data)
{
  CtMembers *members = data;
  const CoObject *object = co_config_find (members->options.config, "instance", member->name);
  Alderturn__Member *copy = g_new (Alderturn__Member, 1);

  *copy = *member;
  copy->name = g_strdup (member->name);
  copy->address = g_strdup (member->address);
  copy->zone = g_strdup (member->zone);
  copy->region = g_strdup (member->region);
  copy->service = g_strdup (member->service);
  copy->voucher = g_strdup (member->voucher);
  if (object != NULL && strcmp (co_object_string (object, "state"), "draining") == 0)
    copy->state = ALDERTURN__MEMBER_STATE__MEMBER_STATE_LEAVING;
  g_ptr_array_add (members->view, copy);
}

static gboolean
member_equal (const Alderturn__Member *a, const Alderturn__Member *b)
{
  return strcmp (a->name, b->name) == 0 && a->kind == b->kind
         && strcmp (a->address, b->address) == 0 && strcmp (a->zone, b->zone) == 0
         && strcmp (a->region, b->region) == 0 && strcmp (a->service, b->service) == 0
         && a->incarnation == b->incarnation && a->state == b->state;
}

static gboolean
view_equal (const GPtrArray *a, const GPtrArray *b)
{
  if (a->len != b->len)
    return FALSE;
  for (guint i = 0; i < a->len; i++)
    {
      if (!member_equal (g_ptr_array_index (a, i), g_ptr_array_index (b, i)))
        return FALSE;
    }
  return TRUE;
}

void
ct_members_refresh (CtMembers *members)
{
  GPtrArray *before = members->view;
  gboolean same;

  members->view = g_ptr_array_new_with_free_func (member_free);
  co_members_foreach (members->membership, ALDERTURN__MEMBER_KIND__MEMBER_KIND_UNSPECIFIED,
                      add_to_view, members);
  g_ptr_array_sort (members->view, compare_members);
  same = view_equal (before, members->view);
  g_ptr_array_free (before, TRUE);
  if (!same || members->listed != members->notified_listed)
    members->options.changed (members, members->options.data);
  members->notified_listed = members->listed;
}

static void
on_refresh_due (gpointer data)
{
  CtMembers *members = data;

  members->refresh = 0;
  ct_members_refresh (members);
}

static void
on_member_changed (const Alderturn__Member *member, gpointer data)
{
  CtMembers *members = data;

  if (members->refresh == 0)
    members->refresh =
        knl_timer_start (members->options.kernel, COALESCE_DELAY, on_refresh_due, members);
}

static void
send_frame (const Alderturn__Member *to, const Alderturn__Frame *frame, gpointer data)
{
  CtMembers *members = data;
  CtPeer *peer = ct_links_find (members->options.links, ALDERTURN__ROLE__ROLE_CONTROLLER, to->name);

  if (peer != NULL)
    ct_peer_send (peer, frame);
  else
    ct_links_connect (members->options.links, to->name, to->address);
}

static void
on_instances (TbStatus status, Alderturn__Member *const *list, guint n_list, gpointer data)
{
  CtMembers *members = data;
  guint controllers =
      co_members_count (members->membership, ALDERTURN__MEMBER_KIND__MEMBER_KIND_CONTROLLER);

  members->call = 0;
  members->poll = knl_timer_start (
      members->options.kernel,
      MAX (members->options.poll_interval, controllers * (KNL_SEC / MAX_READS_PER_SECOND)),
      poll_list, members);
  if (status != TB_OK)
    return;
  members->listed = TRUE;
  co_members_seed (members->membership, list, n_list);
  on_member_changed (NULL, members);
}

static void
poll_list (gpointer data)
{
  CtMembers *members = data;

  members->poll = 0;
  members->call = tb_instances (members->options.platform, on_instances, members);
}

CtMembers *
ct_members_new (const CtMembersOptions *options)
{
  CtMembers *members = g_new0 (CtMembers, 1);
  const WrIdentity *identity = options->identity;
  const CoMemberTimes times = { 0 };
  Alderturn__Member self = ALDERTURN__MEMBER__INIT;

  members->options = *options;
  members->view = g_ptr_array_new_with_free_func (member_free);
  self.name = (char *)identity->instance;
  self.kind = ALDERTURN__MEMBER_KIND__MEMBER_KIND_CONTROLLER;
  self.address = (char *)identity->address;
  self.zone = (char *)identity->zone;
  self.region = (char *)identity->region;
  self.incarnation = identity->incarnation;
  self.state = ALDERTURN__MEMBER_STATE__MEMBER_STATE_LIVE;
  members->membership = co_members_new (options->kernel, &self, &times, send_frame, members);
  co_members_observe (members->membership, on_member_changed, members);
  poll_list (members);
  on_member_changed (NULL, members);
  return members;
}

void
ct_members_free (CtMembers *members)
{
  if (members == NULL)
    return;
  tb_call_cancel (members->options.platform, &members->call);
  knl_timer_stop (members->options.kernel, &members->poll);
  knl_timer_stop (members->options.kernel, &members->refresh);
  co_members_free (members->membership);
  g_ptr_array_free (members->view, TRUE);
  g_free (members);
}

gboolean
ct_members_listed (const CtMembers *members)
{
  return members->listed;
}

CoMembers *
ct_members_membership (CtMembers *members)
{
  return members->membership;
}

void
ct_members_update_entry (CtMembers *members, const CtPeer *peer)
{
  Alderturn__Member entry = ALDERTURN__MEMBER__INIT;

  entry.name = peer->name;
  entry.kind = ALDERTURN__MEMBER_KIND__MEMBER_KIND_ENTRY;
  entry.address = peer->caller_address;
  entry.zone = peer->zone;
  entry.region = peer->region;
  entry.incarnation = peer->incarnation;
  co_members_vouch (members->membership, &entry, peer->draining);
}

void
ct_members_remove_entry (CtMembers *members, const CtPeer *peer)
{
  co_members_unvouch (members->membership, peer->name);
}

const GPtrArray *
ct_members_view (const CtMembers *members)
{
  return members->view;
}

const Alderturn__Member *
ct_members_find (const CtMembers *members, Alderturn__MemberKind kind, const char *name)
{
  for (guint i = 0; i < members->view->len; i++)
    {
      const Alderturn__Member *member = g_ptr_array_index (members->view, i);

      if (member->kind == kind && strcmp (member->name, name) == 0)
        return member;
    }
  return NULL;
}

CoEntryState
ct_members_entry_state (const CtMembers *members, const char *name, guint64 incarnation)
{
  const Alderturn__Member *member =
      co_members_find (members->membership, ALDERTURN__MEMBER_KIND__MEMBER_KIND_ENTRY, name);

  if (member == NULL)
    return CO_ENTRY_PRESENT;
  if (member->incarnation > incarnation)
    return CO_ENTRY_REPLACED;
  return member->state == ALDERTURN__MEMBER_STATE__MEMBER_STATE_DEAD ? CO_ENTRY_MISSING
                                                                     : CO_ENTRY_PRESENT;
}
