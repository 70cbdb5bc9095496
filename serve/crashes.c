#include "common/log.h"
#include "serve/crashes_internal.h"

/* An endpoint that is heard from later than this after the loss has survived it. Its last bytes may
 * be read, and reported by a peer, some time after it has ended. */
#define SURVIVAL_MARGIN (200 * KNL_MSEC)

/* How long the outcome of a request that was let through to find out is waited for. */
#define TEST_TIMEOUT (10 * KNL_SEC)

/* From this number of requests on, expired ones are removed before one is added, then those with a
 * single loss that is older than LOSS_TTL; beyond twice it none is added. */
#define SWEEP_THRESHOLD 4096

/* Shortest time between two looks at all records for some to remove. */
#define SWEEP_INTERVAL (200 * KNL_MSEC)

SvCrashes *
sv_crashes_new (KnlKernel *kernel, SvFleet *fleet)
{
  SvCrashes *self = g_new0 (SvCrashes, 1);

  self->kernel = kernel;
  self->fleet = fleet;
  self->records = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return self;
}

void
sv_crashes_free (SvCrashes *self)
{
  if (self == NULL)
    return;
  g_hash_table_unref (self->records);
  g_free (self);
}

gboolean
sv_crash_is_survived (const SvFleet *fleet, guint64 key, KnlTime lost_at)
{
  const SvEndpoint *endpoint = sv_fleet_by_key (fleet, key);

  return endpoint != NULL && sv_signs_show_life (&endpoint->signs, lost_at + SURVIVAL_MARGIN + 1);
}

gboolean
sv_crash_is_refuted (const SvFleet *fleet, guint64 key, KnlTime lost_at)
{
  const SvEndpoint *endpoint = sv_fleet_by_key (fleet, key);

  return endpoint != NULL
         && sv_signs_prove_life (&endpoint->signs, lost_at, lost_at + SURVIVAL_MARGIN + 1);
}

gboolean
sv_crashes_has_survived (const SvCrashes *self, const Loss *loss)
{
  return loss->is_survived || sv_crash_is_survived (self->fleet, loss->endpoint, loss->lost_at);
}

static gboolean
is_loss_expired (const SvCrashes *self, const Loss *loss)
{
  KnlTime age = knl_kernel_now (self->kernel) - loss->lost_at;

  if (age < LOSS_TTL)
    return FALSE;
  return age >= ENDED_LOSS_TTL || sv_crashes_has_survived (self, loss)
         || sv_fleet_by_key (self->fleet, loss->endpoint) != NULL;
}

gboolean
sv_crashes_counts (const SvCrashes *self, const Loss *loss)
{
  if (sv_crashes_has_survived (self, loss) || is_loss_expired (self, loss))
    return FALSE;
  return self->quarantine == NULL || !sv_quarantine_explains (self->quarantine, loss->endpoint);
}

static gboolean
is_expired (gpointer key, gpointer value, gpointer data)
{
  const SvCrashes *self = data;
  const Record *record = value;

  if (record->answered_at > 0 && record->answered_at + LOSS_TTL > knl_kernel_now (self->kernel))
    return FALSE;
  for (guint i = 0; i < record->n_losses; i++)
    {
      if (!is_loss_expired (self, &record->losses[i]))
        return FALSE;
    }
  return TRUE;
}

/* It may be a bystander's, and is the first to make way. */
static gboolean
has_old_lone_loss (gpointer key, gpointer value, gpointer data)
{
  const SvCrashes *self = data;
  const Record *record = value;

  return record->n_losses == 1
         && record->losses[0].lost_at + LOSS_TTL <= knl_kernel_now (self->kernel);
}

/* NULL: there is none. */
static Record *
find_record (const SvCrashes *self, guint64 fingerprint)
{
  Record *record = g_hash_table_lookup (self->records, &fingerprint);

  return record != NULL && !is_expired (NULL, record, (gpointer)self) ? record : NULL;
}

static void
make_room (SvCrashes *self)
{
  KnlTime now = knl_kernel_now (self->kernel);

  if (g_hash_table_size (self->records) < SWEEP_THRESHOLD || now < self->swept_at + SWEEP_INTERVAL)
    return;
  self->swept_at = now;
  g_hash_table_foreach_remove (self->records, is_expired, self);
  if (g_hash_table_size (self->records) >= SWEEP_THRESHOLD)
    g_hash_table_foreach_remove (self->records, has_old_lone_loss, self);
}

/* NULL: there are too many records. */
static Record *
ensure_record (SvCrashes *self, guint64 fingerprint)
{
  Record *record = find_record (self, fingerprint);

  if (record != NULL)
    return record;
  make_room (self);
  if (g_hash_table_size (self->records) >= 2 * SWEEP_THRESHOLD)
    return NULL;
  record = g_new0 (Record, 1);
  record->fingerprint = fingerprint;
  g_hash_table_replace (self->records, &record->fingerprint, record);
  return record;
}

void
sv_crashes_note_unsent (gboolean *has_unsent, const gboolean *unsent)
{
  for (guint i = 0; i < SV_CRASHES_N_AUDIENCES; i++)
    has_unsent[i] |= unsent[i];
}

static Loss *
find_loss (Record *record, guint64 endpoint)
{
  for (guint i = 0; i < record->n_losses; i++)
    {
      if (record->losses[i].endpoint == endpoint)
        return &record->losses[i];
    }
  return NULL;
}

/* The loss of a full record that is missed least: one that begins no moment, else the oldest. */
static Loss *
find_spare (Record *record)
{
  PolBlameLoss losses[MAX_LOSSES];
  PolBlameLoss picked[MAX_LOSSES];
  guint n_picked;

  for (guint i = 0; i < MAX_LOSSES; i++)
    losses[i] = (PolBlameLoss){ .endpoint = record->losses[i].endpoint,
                                .lost_at = record->losses[i].lost_at };
  pol_blame_weigh (losses, MAX_LOSSES);
  n_picked = pol_blame_pick_moments (losses, MAX_LOSSES, picked, MAX_LOSSES);
  for (guint i = 1; i < n_picked; i++)
    {
      if (losses[i].endpoint != picked[i].endpoint)
        return find_loss (record, losses[i].endpoint);
    }
  return find_loss (record, losses[n_picked < MAX_LOSSES ? n_picked : 0].endpoint);
}

/* A place for another loss, if need be that of one that doesn't count. A later loss than all others
 * always gets one; a repeated one can't take a place again that it has lost. NULL: there is none.
 */
static Loss *
find_place (const SvCrashes *self, Record *record, KnlTime lost_at)
{
  if (record->n_losses < MAX_LOSSES)
    return &record->losses[record->n_losses++];
  for (guint i = 0; i < record->n_losses; i++)
    {
      if (!sv_crashes_counts (self, &record->losses[i]))
        return &record->losses[i];
    }
  for (guint i = 0; i < record->n_losses; i++)
    {
      if (record->losses[i].lost_at >= lost_at)
        return NULL;
    }
  return find_spare (record);
}

gboolean
sv_crashes_note_loss (SvCrashes *self, const SvCrash *crash, SvCrashOrigin origin)
{
  Record *record;
  Loss *loss;

  if (crash->lost_at + LOSS_TTL <= knl_kernel_now (self->kernel))
    return FALSE;
  record = ensure_record (self, crash->fingerprint);
  if (record == NULL || (record->answered_at > 0 && crash->lost_at <= record->answered_at))
    return FALSE;
  loss = find_loss (record, crash->endpoint);
  /* A known loss may have become one again: the endpoint survived the last time. */
  if (loss != NULL && !sv_crashes_has_survived (self, loss))
    return FALSE;
  if (loss != NULL && crash->lost_at <= loss->lost_at)
    return FALSE;
  if (loss == NULL)
    loss = find_place (self, record, crash->lost_at);
  if (loss == NULL)
    return FALSE;
  *loss = (Loss){ .endpoint = crash->endpoint,
                  .lost_at = crash->lost_at,
                  .origin = origin,
                  .unsent = { origin == SV_CRASH_OWN, origin != SV_CRASH_OF_OTHER_CELL } };
  sv_crashes_note_unsent (self->has_unsent_losses, loss->unsent);
  return TRUE;
}

gboolean
sv_crashes_note_answer (SvCrashes *self, const SvAcquittal *acquittal, SvCrashOrigin origin)
{
  Record *record = find_record (self, acquittal->fingerprint);
  guint kept = 0;

  if (record == NULL)
    return FALSE;
  for (guint i = 0; i < record->n_losses; i++)
    {
      if (record->losses[i].lost_at > acquittal->answered_at)
        record->losses[kept++] = record->losses[i];
    }
  if (kept == record->n_losses)
    return FALSE;
  record->n_losses = kept;
  record->answered_at = acquittal->answered_at;
  record->acquittal_unsent[SV_CRASHES_FOR_CELL] = origin == SV_CRASH_OWN;
  record->acquittal_unsent[SV_CRASHES_FOR_CELLS] = origin != SV_CRASH_OF_OTHER_CELL;
  sv_crashes_note_unsent (self->has_unsent_acquittals, record->acquittal_unsent);
  return TRUE;
}

guint
sv_crashes_count (const SvCrashes *self, guint64 fingerprint)
{
  const Record *record = find_record (self, fingerprint);
  guint n = 0;

  for (guint i = 0; record != NULL && i < record->n_losses; i++)
    n += sv_crashes_counts (self, &record->losses[i]);
  return n;
}

gboolean
sv_crashes_is_quarantined (const SvCrashes *self, guint64 fingerprint)
{
  return self->quarantine != NULL
         && sv_quarantine_contains (self->quarantine, SV_QUARANTINE_REQUESTS, fingerprint);
}

static void
quarantine (SvCrashes *self, const Record *record)
{
  PolBlameLoss losses[MAX_LOSSES];
  guint n = 0;

  if (self->quarantine == NULL)
    return;
  for (guint i = 0; i < record->n_losses; i++)
    {
      const Loss *loss = &record->losses[i];

      if (sv_crashes_counts (self, loss))
        losses[n++] = (PolBlameLoss){ .endpoint = loss->endpoint, .lost_at = loss->lost_at };
    }
  if (n > MAX_CRASHES)
    sv_quarantine_note_request (self->quarantine, record->fingerprint, losses, n);
}

static KnlTime
newest_counted_loss (const SvCrashes *self, const Record *record)
{
  KnlTime newest = 0;

  for (guint i = 0; i < record->n_losses; i++)
    {
      if (sv_crashes_counts (self, &record->losses[i]))
        newest = MAX (newest, record->losses[i].lost_at);
    }
  return newest;
}

/* Endpoints that ended all at one moment don't show that the request has crashed them. When it
 * hasn't been sent for a while, it is let through again, once at a time: by one instance, and by
 * any if that one didn't get it. */
static gboolean
is_let_through (SvCrashes *self, Record *record)
{
  KnlTime now = knl_kernel_now (self->kernel);
  KnlTime since = now - newest_counted_loss (self, record);
  g_autofree char *id = NULL;

  if (since < LOSS_TTL || (record->tested_at > 0 && now - record->tested_at < TEST_TIMEOUT))
    return FALSE;
  if (since < 2 * LOSS_TTL && self->quarantine != NULL
      && !sv_quarantine_is_elected (self->quarantine, record->fingerprint))
    return FALSE;
  if (self->quarantine != NULL
      && !sv_quarantine_take_test (self->quarantine, SV_QUARANTINE_REQUESTS, record->fingerprint,
                                   0))
    return FALSE;
  record->tested_at = now;
  id = g_strdup_printf ("%016" G_GINT64_MODIFIER "x", record->fingerprint);
  cm_log (CM_LOG_NOTICE, "crashes-tested", "s", "fingerprint", id, "i", "crashes",
          (gint64)sv_crashes_count (self, record->fingerprint), "i", "last-loss-us", since);
  return TRUE;
}

gboolean
sv_crashes_is_refused (SvCrashes *self, guint64 fingerprint, gboolean *is_test)
{
  Record *record = find_record (self, fingerprint);

  if (sv_crashes_count (self, fingerprint) <= MAX_CRASHES)
    return FALSE;
  quarantine (self, record);
  if (sv_crashes_is_quarantined (self, fingerprint))
    return FALSE;
  *is_test = is_let_through (self, record);
  return !*is_test;
}

/* An endpoint that has lived on may leave later; this loss is no sign of an end then. */
static void
note_survivors (const SvCrashes *self, Record *record)
{
  for (guint i = 0; i < record->n_losses; i++)
    record->losses[i].is_survived = sv_crashes_has_survived (self, &record->losses[i]);
}

static void
quarantine_all (gpointer data)
{
  SvCrashes *self = data;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, self->records);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Record *record = value;

      if (record->n_losses > MAX_CRASHES && !sv_crashes_is_quarantined (self, record->fingerprint))
        quarantine (self, record);
    }
}

void
sv_crashes_set_quarantine (SvCrashes *self, SvQuarantine *quarantine)
{
  self->quarantine = quarantine;
  if (quarantine != NULL)
    sv_quarantine_before_decision (quarantine, quarantine_all, self);
}

gboolean
sv_crashes_tick (SvCrashes *self)
{
  guint before = self->quarantine != NULL ? sv_quarantine_n (self->quarantine) : 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_foreach_remove (self->records, is_expired, self);
  g_hash_table_iter_init (&iter, self->records);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    note_survivors (self, value);
  quarantine_all (self);
  return self->quarantine != NULL && sv_quarantine_n (self->quarantine) > before;
}

guint
sv_crashes_n_requests (const SvCrashes *self)
{
  return g_hash_table_size (self->records);
}
