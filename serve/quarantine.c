#include "serve/quarantine_internal.h"

#include <string.h>
#include <xxhash.h>

/* Segments that are told apart when they have the same losses. */
#define MAX_RIVALS 8

/* Age from which a loss counts. An endpoint that only closed a connection is heard from before. */
#define SETTLE_TIME (250 * KNL_MSEC)

static guint
hash_key (gconstpointer key)
{
  const SegmentKey *self = key;

  return (guint)(self->segment ^ (self->segment >> 32)) ^ self->service;
}

static gboolean
equal_keys (gconstpointer a, gconstpointer b)
{
  const SegmentKey *left = a;
  const SegmentKey *right = b;

  return left->segment == right->segment && left->service == right->service;
}

SvQuarantine *
sv_quarantine_new (KnlKernel *kernel, SvFleet *fleet)
{
  SvQuarantine *self = g_new0 (SvQuarantine, 1);

  self->kernel = kernel;
  self->fleet = fleet;
  self->suspects = g_hash_table_new_full (hash_key, equal_keys, NULL, g_free);
  self->entries = g_hash_table_new_full (hash_key, equal_keys, NULL, g_free);
  self->ends = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, sv_endpoint_end_free);
  self->claims = g_hash_table_new_full (hash_key, equal_keys, NULL, g_free);
  self->begun = g_queue_new ();
  for (guint i = 0; i < SV_CRASHES_N_AUDIENCES; i++)
    {
      self->losses[i] = g_queue_new ();
      self->survivals[i] = g_queue_new ();
    }
  return self;
}

void
sv_quarantine_free (SvQuarantine *self)
{
  if (self == NULL)
    return;
  g_hash_table_unref (self->suspects);
  g_hash_table_unref (self->entries);
  g_hash_table_unref (self->ends);
  g_hash_table_unref (self->claims);
  g_queue_free_full (self->begun, g_free);
  for (guint i = 0; i < SV_CRASHES_N_AUDIENCES; i++)
    {
      g_queue_free_full (self->losses[i], g_free);
      g_queue_free_full (self->survivals[i], g_free);
    }
  g_free (self);
}

void
sv_quarantine_set_election (SvQuarantine *self, SvElectFunc is_elected, gpointer data)
{
  self->is_elected = is_elected;
  self->election_data = data;
}

gboolean
sv_quarantine_is_elected (const SvQuarantine *self, guint64 seed)
{
  return self->is_elected == NULL || self->is_elected (seed, self->election_data);
}

void
sv_quarantine_on_changed (SvQuarantine *self, SvQuarantineFunc func, gpointer data)
{
  self->on_changed = func;
  self->on_changed_data = data;
}

void
sv_quarantine_before_decision (SvQuarantine *self, SvQuarantineFunc func, gpointer data)
{
  self->before_decision = func;
  self->before_decision_data = data;
}

guint32
sv_quarantine_service (const char *name)
{
  return (guint32)XXH64 (name, strlen (name), 0);
}

static PolBlameLoss *
find_loss (PolBlameLoss *losses, guint n, guint64 endpoint)
{
  for (guint i = 0; i < n; i++)
    {
      if (losses[i].endpoint == endpoint)
        return &losses[i];
    }
  return NULL;
}

static gboolean
shares_moment (const Suspect *self, KnlTime at)
{
  for (guint i = 0; i < self->n; i++)
    {
      if (ABS (self->losses[i].lost_at - at) < POL_BLAME_MOMENT)
        return TRUE;
    }
  return FALSE;
}

/* A place for another loss, if need be that of the oldest; NULL: it would add nothing. */
static PolBlameLoss *
find_place (Suspect *self, KnlTime at)
{
  PolBlameLoss *oldest = &self->losses[0];

  if (self->n < MAX_SUSPECT_LOSSES)
    return &self->losses[self->n++];
  if (shares_moment (self, at))
    return NULL;
  for (guint i = 1; i < self->n; i++)
    {
      if (self->losses[i].lost_at < oldest->lost_at)
        oldest = &self->losses[i];
    }
  return oldest;
}

/* FALSE: it was known, or a prompt with the segment has been survived since. */
static gboolean
add_loss (Suspect *self, const SvSegmentUse *use, const SvFleet *fleet)
{
  PolBlameLoss *loss = find_loss (self->losses, self->n, use->endpoint);

  if (use->at <= self->survived_at)
    return FALSE;
  self->expires = MAX (self->expires, use->at + SUSPECT_LOSS_TTL);
  /* An endpoint that had lived on is lost again. */
  if (loss != NULL
      && (use->at <= loss->lost_at || !sv_crash_is_survived (fleet, loss->endpoint, loss->lost_at)))
    return pol_blame_add_request (loss, use->request);
  if (loss == NULL)
    loss = find_place (self, use->at);
  if (loss == NULL)
    return FALSE;
  *loss = (PolBlameLoss){ .endpoint = use->endpoint, .lost_at = use->at };
  return pol_blame_add_request (loss, use->request);
}

guint
sv_quarantine_counted (const SvQuarantine *self,
                       const Suspect *suspect,
                       PolBlameLoss losses[MAX_SUSPECT_LOSSES])
{
  KnlTime newest = knl_kernel_now (self->kernel) - SETTLE_TIME;
  guint n = 0;

  for (guint i = 0; i < suspect->n; i++)
    {
      const PolBlameLoss *loss = &suspect->losses[i];

      if (loss->lost_at <= newest && sv_quarantine_has_ended (self, loss->endpoint)
          && !sv_crash_is_survived (self->fleet, loss->endpoint, loss->lost_at)
          && !sv_quarantine_explains (self, loss->endpoint)
          && !sv_quarantine_is_by_request (self, loss))
        losses[n++] = *loss;
    }
  return n;
}

static gboolean
includes_endpoints (PolBlameLoss *all, guint n_all, const PolBlameLoss *losses, guint n)
{
  for (guint i = 0; i < n; i++)
    {
      if (find_loss (all, n_all, losses[i].endpoint) == NULL)
        return FALSE;
    }
  return TRUE;
}

/* Fills in the other segments that may have caused the same losses. Returns their number. */
static guint
find_rivals (const SvQuarantine *self,
             const Suspect *suspect,
             const PolBlameLoss *losses,
             guint n,
             SegmentKey rivals[MAX_RIVALS])
{
  GHashTableIter iter;
  gpointer value;
  guint found = 0;

  g_hash_table_iter_init (&iter, self->suspects);
  while (found < MAX_RIVALS && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Suspect *other = value;
      PolBlameLoss others[MAX_SUSPECT_LOSSES];
      guint n_others;

      if (other == suspect || other->key.service != suspect->key.service || other->n < n)
        continue;
      n_others = sv_quarantine_counted (self, other, others);
      if (includes_endpoints (others, n_others, losses, n))
        rivals[found++] = other->key;
    }
  return found;
}

/* Losses after the request had been refused for a while: it was let through to find out. */
static guint
count_late (const PolBlameLoss *losses, guint n)
{
  guint late = 0;

  for (guint i = MIN_ENDS; i < n; i++)
    late += losses[i].lost_at - losses[MIN_ENDS - 1].lost_at >= SUSPECT_LOSS_TTL;
  return late;
}

void
sv_quarantine_note_request (SvQuarantine *self, guint64 fingerprint, PolBlameLoss *losses, guint n)
{
  KnlTime newest = knl_kernel_now (self->kernel) - SETTLE_TIME;
  SegmentKey key = { fingerprint, SV_QUARANTINE_REQUESTS };
  PolBlame blame;
  guint ended = 0;

  if (sv_quarantine_find_entry (self, &key) != NULL)
    return;
  for (guint i = 0; i < n; i++)
    {
      if (losses[i].lost_at <= newest && sv_quarantine_has_ended (self, losses[i].endpoint))
        losses[ended++] = losses[i];
    }
  blame = pol_blame_weigh (losses, ended);
  if (pol_blame_is_shown_of_request (&blame))
    sv_quarantine_begin (self, &key, losses, ended, count_late (losses, ended));
}

void
sv_quarantine_decide (SvQuarantine *self, const SegmentKey *key)
{
  const Suspect *suspect = sv_quarantine_find_suspect (self, key);
  PolBlameLoss losses[MAX_SUSPECT_LOSSES];
  SegmentKey rivals[MAX_RIVALS];
  PolBlame blame;
  guint n_rivals;
  guint n;

  if (suspect == NULL || sv_quarantine_find_entry (self, key) != NULL)
    return;
  n = sv_quarantine_counted (self, suspect, losses);
  blame = pol_blame_weigh (losses, n);
  if (!pol_blame_is_shown (&blame, FALSE))
    return;
  if (self->before_decision != NULL)
    self->before_decision (self->before_decision_data);
  n = sv_quarantine_counted (self, suspect, losses);
  blame = pol_blame_weigh (losses, n);
  if (!pol_blame_is_shown (&blame, FALSE))
    return;
  n_rivals = find_rivals (self, suspect, losses, n, rivals);
  if (!pol_blame_is_shown (&blame, n_rivals > 0))
    return;
  sv_quarantine_begin (self, key, losses, n, 0);
  /* Which of them it is can't be told. */
  for (guint i = 0; i < n_rivals; i++)
    sv_quarantine_begin (self, &rivals[i], losses, n, 0);
}

/* TRUE: it wasn't known. */
static gboolean
record_loss (SvQuarantine *self, const SvSegmentUse *use)
{
  gboolean is_new = FALSE;

  for (guint i = 0; i < use->segments.n; i++)
    {
      SegmentKey key = { use->segments.ids[i], use->service };
      Suspect *suspect = sv_quarantine_ensure_suspect (self, &key);

      is_new |= suspect != NULL && add_loss (suspect, use, self->fleet);
    }
  return is_new;
}

/* Answers of the endpoint that were complete, or not lost yet, when it ended. */
static void
record_begun (SvQuarantine *self, guint64 endpoint, KnlTime lost_at)
{
  for (const GList *link = self->begun->head; link != NULL; link = link->next)
    {
      SvSegmentUse use = *(const SvSegmentUse *)link->data;

      if (use.endpoint != endpoint || use.at + SV_CRASH_WINDOW <= lost_at)
        continue;
      use.at = lost_at;
      if (record_loss (self, &use))
        sv_quarantine_queue_loss (self, &use, SV_CRASH_OWN);
    }
}

/* Signs of life after this loss may be those of the endpoint's next process, which has the same key
 * until its row is read. They show no more that answers begun before were survived. */
static gboolean
note_own_loss (SvQuarantine *self, const SvSegmentUse *use)
{
  gboolean cleared = sv_quarantine_note_survivors (self);

  record_begun (self, use->endpoint, use->at);
  sv_quarantine_forget_begun_at (self, use->endpoint);
  return cleared;
}

gboolean
sv_quarantine_note_loss (SvQuarantine *self, const SvSegmentUse *use, SvCrashOrigin origin)
{
  gboolean cleared = FALSE;

  if (use->at + SUSPECT_LOSS_TTL <= knl_kernel_now (self->kernel))
    return FALSE;
  sv_quarantine_note_closed (self, use->endpoint, use->request, use->at);
  if (origin == SV_CRASH_OWN)
    cleared = note_own_loss (self, use);
  if (use->segments.n == 0 || !record_loss (self, use))
    return cleared;
  sv_quarantine_queue_loss (self, use, origin);
  return TRUE;
}

/* TRUE: it had losses, or was quarantined. */
static gboolean
clear_suspect (SvQuarantine *self, const SegmentKey *key, KnlTime at)
{
  Suspect *suspect = sv_quarantine_find_suspect (self, key);
  Entry *entry = sv_quarantine_find_entry (self, key);
  guint kept = 0;
  guint before;

  if (entry != NULL && entry->told.since < at)
    {
      if (suspect == NULL)
        suspect = sv_quarantine_ensure_suspect (self, key);
      /* Instances that haven't heard of this yet still tell of the quarantine. */
      if (suspect != NULL)
        suspect->expires = at + SV_QUARANTINE_TTL;
      sv_quarantine_end (self, entry, "survived");
    }
  else
    entry = NULL;
  if (suspect == NULL || at <= suspect->survived_at)
    return entry != NULL;
  before = suspect->n;
  for (guint i = 0; i < before; i++)
    {
      if (suspect->losses[i].lost_at > at)
        suspect->losses[kept++] = suspect->losses[i];
    }
  suspect->n = kept;
  suspect->survived_at = at;
  return entry != NULL || kept < before;
}

gboolean
sv_quarantine_note_survival (SvQuarantine *self,
                             const SvSegmentSurvival *survival,
                             SvCrashOrigin origin)
{
  gboolean cleared = FALSE;

  for (guint i = 0; i < survival->segments.n; i++)
    {
      SegmentKey key = { survival->segments.ids[i], survival->service };

      cleared |= clear_suspect (self, &key, survival->at);
    }
  if (cleared)
    sv_quarantine_queue_survival (self, survival, origin);
  return cleared;
}

static void
decide_all (SvQuarantine *self)
{
  g_autoptr (GList) suspects = g_hash_table_get_values (self->suspects);

  for (GList *link = suspects; link != NULL; link = link->next)
    {
      const Suspect *suspect = link->data;

      if (suspect->n > 1)
        sv_quarantine_decide (self, &suspect->key);
    }
}

gboolean
sv_quarantine_tick (SvQuarantine *self)
{
  gboolean cleared = sv_quarantine_note_survivors (self);

  sv_quarantine_drop_old_suspects (self);
  sv_quarantine_drop_old_ends (self);
  sv_quarantine_review (self);
  decide_all (self);
  return cleared;
}

guint
sv_quarantine_n_suspects (const SvQuarantine *self)
{
  return g_hash_table_size (self->suspects);
}
