#include "serve/crashes.h"

/* A harmless request can lose its endpoint twice by coincidence. */
#define MAX_CRASHES 2

/* Time after the last loss until a request is forgotten. */
#define RECORD_TTL (60 * KNL_SEC)

/* An endpoint that is heard from later than this after the loss has survived it. Its last bytes may
 * be read, and reported by a peer, some time after it has ended. */
#define SURVIVAL_MARGIN (200 * KNL_MSEC)

/* Losses recorded of one request. More than are needed to refuse it, as some may not count. */
#define MAX_LOSSES 6

/* From this number of requests on, expired ones are removed before one is added; beyond twice it
 * none is added. */
#define SWEEP_THRESHOLD 4096

typedef struct
{
  guint64 endpoint;
  KnlTime lost_at;
  SvCrashOrigin origin;
  gboolean unsent[SV_CRASHES_N_AUDIENCES];
} Loss;

typedef struct
{
  guint64 fingerprint;
  KnlTime expires;
  KnlTime answered_at; /* losses before it don't count; 0: never */
  gboolean acquittal_unsent[SV_CRASHES_N_AUDIENCES];
  guint n_losses;
  Loss losses[MAX_LOSSES];
} Record;

struct SvCrashes
{
  KnlKernel *kernel;
  SvFleet *fleet;
  GHashTable *records; /* &fingerprint -> Record */
  SvCrashExplainFunc explain;
  gpointer explain_data;
  /* Whether any may be unsent. Each announcement of loads asks for them: without this it would look
   * at all records, thousands after many endpoints have failed at once. */
  gboolean has_unsent_losses[SV_CRASHES_N_AUDIENCES];
  gboolean has_unsent_acquittals[SV_CRASHES_N_AUDIENCES];
};

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

static gboolean
is_expired (gpointer key, gpointer value, gpointer data)
{
  return ((const Record *)value)->expires <= knl_kernel_now (data);
}

/* NULL: there is none. */
static Record *
find_record (const SvCrashes *self, guint64 fingerprint)
{
  Record *record = g_hash_table_lookup (self->records, &fingerprint);

  return record != NULL && !is_expired (NULL, record, self->kernel) ? record : NULL;
}

/* NULL: there are too many records. */
static Record *
ensure_record (SvCrashes *self, guint64 fingerprint)
{
  Record *record = find_record (self, fingerprint);

  if (record != NULL)
    return record;
  if (g_hash_table_size (self->records) >= SWEEP_THRESHOLD)
    g_hash_table_foreach_remove (self->records, is_expired, self->kernel);
  if (g_hash_table_size (self->records) >= 2 * SWEEP_THRESHOLD)
    return NULL;
  record = g_new0 (Record, 1);
  record->fingerprint = fingerprint;
  g_hash_table_replace (self->records, &record->fingerprint, record);
  return record;
}

void
sv_crashes_set_explain (SvCrashes *self, SvCrashExplainFunc explain, gpointer data)
{
  self->explain = explain;
  self->explain_data = data;
}

gboolean
sv_crash_is_survived (const SvFleet *fleet, guint64 key, KnlTime lost_at)
{
  const SvEndpoint *endpoint = sv_fleet_by_key (fleet, key);

  return endpoint != NULL && endpoint->alive_at > lost_at + SURVIVAL_MARGIN;
}

static gboolean
has_survived (const SvCrashes *self, const Loss *loss)
{
  return sv_crash_is_survived (self->fleet, loss->endpoint, loss->lost_at);
}

static gboolean
counts (const SvCrashes *self, const Loss *loss)
{
  if (has_survived (self, loss))
    return FALSE;
  return self->explain == NULL || !self->explain (loss->endpoint, self->explain_data);
}

static void
note_unsent (gboolean *has_unsent, const gboolean *unsent)
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

/* A place for another loss, if need be that of one that doesn't count; NULL: there is none. */
static Loss *
find_place (const SvCrashes *self, Record *record)
{
  if (record->n_losses < MAX_LOSSES)
    return &record->losses[record->n_losses++];
  for (guint i = 0; i < record->n_losses; i++)
    {
      if (has_survived (self, &record->losses[i]))
        return &record->losses[i];
    }
  return NULL;
}

gboolean
sv_crashes_note_loss (SvCrashes *self, const SvCrash *crash, SvCrashOrigin origin)
{
  Record *record;
  Loss *loss;

  if (crash->lost_at + RECORD_TTL <= knl_kernel_now (self->kernel))
    return FALSE;
  record = ensure_record (self, crash->fingerprint);
  if (record == NULL || (record->answered_at > 0 && crash->lost_at <= record->answered_at))
    return FALSE;
  loss = find_loss (record, crash->endpoint);
  /* A known loss may have become one again: the endpoint survived the last time. */
  if (loss != NULL && !has_survived (self, loss))
    return FALSE;
  if (loss != NULL && crash->lost_at <= loss->lost_at)
    return FALSE;
  if (loss == NULL)
    loss = find_place (self, record);
  if (loss == NULL)
    return FALSE;
  *loss = (Loss){ .endpoint = crash->endpoint,
                  .lost_at = crash->lost_at,
                  .origin = origin,
                  .unsent = { origin == SV_CRASH_OWN, origin != SV_CRASH_OF_OTHER_CELL } };
  note_unsent (self->has_unsent_losses, loss->unsent);
  record->expires = MAX (record->expires, crash->lost_at + RECORD_TTL);
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
  record->expires = MAX (record->expires, acquittal->answered_at + RECORD_TTL);
  record->acquittal_unsent[SV_CRASHES_FOR_CELL] = origin == SV_CRASH_OWN;
  record->acquittal_unsent[SV_CRASHES_FOR_CELLS] = origin != SV_CRASH_OF_OTHER_CELL;
  note_unsent (self->has_unsent_acquittals, record->acquittal_unsent);
  return TRUE;
}

guint
sv_crashes_count (const SvCrashes *self, guint64 fingerprint)
{
  const Record *record = find_record (self, fingerprint);
  guint n = 0;

  for (guint i = 0; record != NULL && i < record->n_losses; i++)
    n += counts (self, &record->losses[i]);
  return n;
}

gboolean
sv_crashes_is_refused (const SvCrashes *self, guint64 fingerprint)
{
  return sv_crashes_count (self, fingerprint) > MAX_CRASHES;
}

static gboolean
repeat_losses (SvCrashes *self, Record *record, gboolean all)
{
  gboolean repeated = FALSE;

  for (guint i = 0; i < record->n_losses; i++)
    {
      Loss *loss = &record->losses[i];

      if (has_survived (self, loss) || !(all || loss->origin == SV_CRASH_OWN))
        continue;
      loss->unsent[SV_CRASHES_FOR_CELL] = TRUE;
      loss->unsent[SV_CRASHES_FOR_CELLS] = loss->origin != SV_CRASH_OF_OTHER_CELL;
      note_unsent (self->has_unsent_losses, loss->unsent);
      repeated = TRUE;
    }
  return repeated;
}

gboolean
sv_crashes_repeat (SvCrashes *self, gboolean all)
{
  GHashTableIter iter;
  gpointer value;
  gboolean repeated = FALSE;

  g_hash_table_foreach_remove (self->records, is_expired, self->kernel);
  g_hash_table_iter_init (&iter, self->records);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Record *record = value;

      if (sv_crashes_count (self, record->fingerprint) >= MAX_CRASHES)
        repeated |= repeat_losses (self, record, all);
    }
  return repeated;
}

guint
sv_crashes_take_losses (SvCrashes *self,
                        SvCrashAudience audience,
                        SvCrash *losses,
                        guint max_losses)
{
  GHashTableIter iter;
  gpointer value;
  guint n = 0;

  if (!self->has_unsent_losses[audience])
    return 0;
  g_hash_table_iter_init (&iter, self->records);
  while (n < max_losses && g_hash_table_iter_next (&iter, NULL, &value))
    {
      Record *record = value;

      for (guint i = 0; i < record->n_losses && n < max_losses; i++)
        {
          Loss *loss = &record->losses[i];

          if (!loss->unsent[audience])
            continue;
          loss->unsent[audience] = FALSE;
          losses[n++] = (SvCrash){ record->fingerprint, loss->endpoint, loss->lost_at };
        }
    }
  self->has_unsent_losses[audience] = n == max_losses;
  return n;
}

guint
sv_crashes_take_acquittals (SvCrashes *self,
                            SvCrashAudience audience,
                            SvAcquittal *acquittals,
                            guint max_acquittals)
{
  GHashTableIter iter;
  gpointer value;
  guint n = 0;

  if (!self->has_unsent_acquittals[audience])
    return 0;
  g_hash_table_iter_init (&iter, self->records);
  while (n < max_acquittals && g_hash_table_iter_next (&iter, NULL, &value))
    {
      Record *record = value;

      if (!record->acquittal_unsent[audience])
        continue;
      record->acquittal_unsent[audience] = FALSE;
      acquittals[n++] = (SvAcquittal){ record->fingerprint, record->answered_at };
    }
  self->has_unsent_acquittals[audience] = n == max_acquittals;
  return n;
}

guint
sv_crashes_n_requests (const SvCrashes *self)
{
  return g_hash_table_size (self->records);
}
