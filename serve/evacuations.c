#include "serve/evacuations.h"

/* A removed row is remembered for this long: older rows of the zone that arrive late, as from
 * another source, change nothing until then. Sources differ by seconds. */
#define REMOVED_TTL (600 * KNL_SEC)

/* State of a zone whose row was written at some time. */
typedef struct
{
  SvPosition position;    /* of its newest row */
  gboolean is_evacuated;  /* the row exists */
  KnlTime changed_at;     /* when its newest row was applied here */
  SvPosition absent_from; /* list of another era that lacks the row; version 0: none does */
  KnlTime restore_at;     /* when the evacuation ends because of that list */
} Zone;

struct SvEvacuations
{
  KnlKernel *kernel;
  const SvEvacuationEvents *events;
  gpointer data;
  KnlTime restore_delay;
  GHashTable *zones;     /* name -> Zone; removed ones until the next list, or for REMOVED_TTL */
  GHashTable *listed;    /* name -> SvPosition, rows of the list being read; NULL: none is */
  SvPosition list_as_of; /* of the last list applied */
  SvPosition newest;     /* of the rows applied */
  guint n_evacuated;
  KnlTimerId timer; /* next end of an evacuation */
};

static void schedule_restore (SvEvacuations *self);

SvEvacuations *
sv_evacuations_new (KnlKernel *kernel, const SvEvacuationEvents *events, gpointer data)
{
  SvEvacuations *self = g_new0 (SvEvacuations, 1);

  self->kernel = kernel;
  self->events = events;
  self->data = data;
  self->zones = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return self;
}

static void
drop_list (SvEvacuations *self)
{
  g_clear_pointer (&self->listed, g_hash_table_unref);
}

void
sv_evacuations_free (SvEvacuations *self)
{
  if (self == NULL)
    return;
  knl_timer_stop (self->kernel, &self->timer);
  drop_list (self);
  g_hash_table_unref (self->zones);
  g_free (self);
}

void
sv_evacuations_set_restore_delay (SvEvacuations *self, KnlTime delay)
{
  self->restore_delay = delay;
}

static gboolean
is_older (SvPosition position, SvPosition than)
{
  return sv_position_compare (position, than) == SV_POSITION_OLDER;
}

static gboolean
is_forgotten (gpointer name, gpointer value, gpointer data)
{
  const SvEvacuations *self = data;
  const Zone *zone = value;

  return !zone->is_evacuated && knl_kernel_now (self->kernel) - zone->changed_at > REMOVED_TTL;
}

static Zone *
find_or_add (SvEvacuations *self, const char *name)
{
  Zone *zone = g_hash_table_lookup (self->zones, name);

  if (zone == NULL)
    {
      zone = g_new0 (Zone, 1);
      g_hash_table_insert (self->zones, g_strdup (name), zone);
    }
  return zone;
}

/* Records that the row of the zone was changed at `position`. */
static Zone *
note_row (SvEvacuations *self, const char *name, SvPosition position)
{
  Zone *zone;

  g_hash_table_foreach_remove (self->zones, is_forgotten, self);
  zone = find_or_add (self, name);
  zone->position = position;
  zone->changed_at = knl_kernel_now (self->kernel);
  zone->absent_from = (SvPosition){ 0 };
  if (!is_older (position, self->newest))
    self->newest = position;
  return zone;
}

static gboolean
is_outdated (const SvEvacuations *self, const char *name, SvPosition position)
{
  const Zone *zone = g_hash_table_lookup (self->zones, name);

  return is_older (position, self->list_as_of)
         || (zone != NULL && is_older (position, zone->position));
}

static gboolean
is_applied_removal (const SvEvacuations *self, const char *name, SvPosition position)
{
  const Zone *zone = g_hash_table_lookup (self->zones, name);

  return zone != NULL && !zone->is_evacuated
         && sv_position_compare (position, zone->position) == SV_POSITION_SAME;
}

static void
evacuate (SvEvacuations *self, const char *name, Zone *zone)
{
  if (zone->is_evacuated)
    return;
  zone->is_evacuated = TRUE;
  self->n_evacuated++;
  self->events->evacuated (name, zone->position, self->data);
}

/* The zone may be unknown, where this instance learns only of the removal: its endpoints were out
 * of service all the same. */
static void
restore (SvEvacuations *self, const char *name, Zone *zone, SvPosition position)
{
  if (zone->is_evacuated)
    self->n_evacuated--;
  zone->is_evacuated = FALSE;
  self->events->restored (name, position, self->data);
}

void
sv_evacuations_put (SvEvacuations *self, const char *name, SvPosition position)
{
  if (self->listed != NULL)
    {
      g_hash_table_replace (self->listed, g_strdup (name), g_memdup2 (&position, sizeof position));
      return;
    }
  if (is_outdated (self, name, position))
    return;
  evacuate (self, name, note_row (self, name, position));
  schedule_restore (self);
}

void
sv_evacuations_remove (SvEvacuations *self, const char *name, SvPosition position)
{
  if (is_outdated (self, name, position) || is_applied_removal (self, name, position))
    return;
  restore (self, name, note_row (self, name, position), position);
  schedule_restore (self);
}

void
sv_evacuations_begin_list (SvEvacuations *self)
{
  drop_list (self);
  self->listed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

static void
apply_listed (SvEvacuations *self, GHashTable *listed)
{
  GHashTableIter iter;
  gpointer name;
  gpointer position;

  g_hash_table_iter_init (&iter, listed);
  while (g_hash_table_iter_next (&iter, &name, &position))
    evacuate (self, name, note_row (self, name, *(SvPosition *)position));
}

/* Handles a zone that the list as of `position` lacks. Returns whether its state is to be dropped.
 */
static gboolean
apply_absence (SvEvacuations *self, const char *name, Zone *zone, SvPosition position)
{
  if (!zone->is_evacuated)
    return TRUE;
  if (zone->position.era == position.era || self->restore_delay == 0)
    {
      restore (self, name, zone, position);
      return TRUE;
    }
  /* Later lists of the same era don't extend the delay. */
  if (zone->absent_from.version > 0 && zone->absent_from.era == position.era)
    return FALSE;
  zone->absent_from = position;
  zone->restore_at = knl_kernel_now (self->kernel) + self->restore_delay;
  return FALSE;
}

void
sv_evacuations_end_list (SvEvacuations *self, SvPosition position)
{
  g_autoptr (GHashTable) listed = g_steal_pointer (&self->listed);
  GHashTableIter iter;
  gpointer name;
  gpointer zone;

  if (listed == NULL || is_older (position, self->list_as_of) || is_older (position, self->newest))
    return;
  apply_listed (self, listed);
  g_hash_table_iter_init (&iter, self->zones);
  while (g_hash_table_iter_next (&iter, &name, &zone))
    {
      if (!g_hash_table_contains (listed, name) && apply_absence (self, name, zone, position))
        g_hash_table_iter_remove (&iter);
    }
  self->list_as_of = position;
  schedule_restore (self);
}

static void
on_restore_due (gpointer data)
{
  SvEvacuations *self = data;
  KnlTime now = knl_kernel_now (self->kernel);
  GHashTableIter iter;
  gpointer name;
  gpointer value;

  self->timer = 0;
  g_hash_table_iter_init (&iter, self->zones);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      Zone *zone = value;

      if (zone->absent_from.version == 0 || zone->restore_at > now)
        continue;
      restore (self, name, zone, zone->absent_from);
      g_hash_table_iter_remove (&iter);
    }
  schedule_restore (self);
}

static void
schedule_restore (SvEvacuations *self)
{
  KnlTime next = KNL_NEVER;
  GHashTableIter iter;
  gpointer value;

  knl_timer_stop (self->kernel, &self->timer);
  g_hash_table_iter_init (&iter, self->zones);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Zone *zone = value;

      if (zone->absent_from.version > 0)
        next = MIN (next, zone->restore_at);
    }
  if (next != KNL_NEVER)
    self->timer = knl_timer_start (self->kernel, MAX (next - knl_kernel_now (self->kernel), 0),
                                   on_restore_due, self);
}

guint
sv_evacuations_list (const SvEvacuations *self, SvEvacuation *list, guint max)
{
  guint n = 0;
  GHashTableIter iter;
  gpointer name;
  gpointer value;

  g_hash_table_iter_init (&iter, self->zones);
  while (n < max && g_hash_table_iter_next (&iter, &name, &value))
    {
      const Zone *zone = value;

      if (!zone->is_evacuated || zone->position.era == 0)
        continue;
      list[n++] = (SvEvacuation){
        .zone = name,
        .position = zone->position,
        .until = zone->absent_from.version > 0
                     ? zone->restore_at
                     : knl_kernel_now (self->kernel) + self->restore_delay,
      };
    }
  return n;
}

/* Where the list of the present era was applied, it has the rows of that era. */
static gboolean
may_have_lost (const SvEvacuations *self, const SvEvacuation *reported)
{
  SvPosition present = self->list_as_of;
  const Zone *zone = g_hash_table_lookup (self->zones, reported->zone);

  if (reported->position.era == 0 || reported->position.version == 0
      || (present.version > 0 && reported->position.era >= present.era))
    return FALSE;
  return zone == NULL || (!zone->is_evacuated && is_older (zone->position, reported->position));
}

/* Which list lacks the row of a reported evacuation; version 0: none is known. */
static SvPosition
reported_absence (const SvEvacuations *self, const SvEvacuation *reported, guint64 era)
{
  if (self->list_as_of.version > 0)
    return self->list_as_of;
  return (SvPosition){ .era = era, .version = era > reported->position.era };
}

gboolean
sv_evacuations_note_reported (SvEvacuations *self, const SvEvacuation *reported, guint64 era)
{
  KnlTime now = knl_kernel_now (self->kernel);
  Zone *zone;

  if (self->restore_delay == 0 || reported->until <= now || !may_have_lost (self, reported))
    return FALSE;
  zone = find_or_add (self, reported->zone);
  zone->position = reported->position;
  zone->changed_at = now;
  zone->absent_from = reported_absence (self, reported, era);
  zone->restore_at = MIN (reported->until, now + self->restore_delay);
  evacuate (self, reported->zone, zone);
  schedule_restore (self);
  return TRUE;
}

gboolean
sv_evacuations_has (const SvEvacuations *self, const char *name)
{
  const Zone *zone = name != NULL ? g_hash_table_lookup (self->zones, name) : NULL;

  return zone != NULL && zone->is_evacuated;
}

guint
sv_evacuations_count (const SvEvacuations *self)
{
  return self->n_evacuated;
}

SvPosition
sv_evacuations_newest (const SvEvacuations *self)
{
  return self->newest;
}
