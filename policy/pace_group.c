/** Which endpoints of a service an update of their estimates has to look at. */

#include "policy/pace.h"

static void
clear_group (gpointer group)
{
  g_ptr_array_unref (((PolPaceGroup *)group)->watched);
}

void
pol_pace_join (PolPace *self, PolPaceGroup *group)
{
  if (group != NULL)
    {
      self->group = g_rc_box_acquire (group);
      return;
    }
  self->group = g_rc_box_new0 (PolPaceGroup);
  self->group->watched = g_ptr_array_new ();
  self->group->reference.ratio = 1;
}

static void
stop_watching (PolPace *self)
{
  GPtrArray *watched;

  if (!self->is_watched)
    return;
  self->is_watched = FALSE;
  watched = self->group->watched;
  /* The last one takes its place. */
  g_ptr_array_remove_index_fast (watched, self->watched_index);
  if (self->watched_index < watched->len)
    {
      PolPace *moved = g_ptr_array_index (watched, self->watched_index);

      moved->watched_index = self->watched_index;
    }
}

void
pol_pace_leave (PolPace *self)
{
  if (self->group == NULL)
    return;
  stop_watching (self);
  g_rc_box_release_full (g_steal_pointer (&self->group), clear_group);
}

void
pol_pace_watch (PolPace *self)
{
  PolPaceGroup *group = self->group;

  if (group == NULL || self->is_watched)
    return;
  self->is_watched = TRUE;
  self->watched_index = group->watched->len;
  g_ptr_array_add (group->watched, self);
  if (group->updated_at > 0)
    pol_pace_set_reference (self, &group->reference);
  self->announced_until = MAX (self->announced_until, group->announced_until);
}

void
pol_pace_unwatch (PolPace *self, KnlTime now)
{
  if (!pol_pace_is_settled (self, now))
    return;
  self->combined = 1;
  stop_watching (self);
}

void
pol_pace_announce_all (PolPaceGroup *group, KnlTime now)
{
  group->announced_until = now + POL_PACE_ANNOUNCE_PERIOD;
  for (guint i = 0; i < group->watched->len; i++)
    pol_pace_announce (g_ptr_array_index (group->watched, i), now);
}
