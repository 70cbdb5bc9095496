#include "serve/offered.h"

#include <string.h>
#include <xxhash.h>

#include "serve/offered_rows.h"

/* The window that requests are counted in, and the slots that it consists of. */
#define WINDOW (1 * KNL_SEC)
#define SLOTS  10
#define SLOT   (WINDOW / SLOTS)

/* Age from which a report isn't used. */
#define REPORT_TTL (2 * KNL_SEC)

/* Reports are exchanged for this long after a service was saturated, so that the totals are still
 * known when it is saturated again a moment later. */
#define REPORTED_TIME (5 * KNL_SEC)

/* Rows of own load for each service: those of further workspaces are counted together. It exceeds
 * what an instance receives from 600 workspaces in a second. */
#define MAX_OWN_ROWS 1024

/* Bounds for reports of other instances, which may be wrong: engine time of 1,000 engines, and
 * numbers of workspaces and instances above any that exist. */
#define MAX_REPORTED_LOAD       ((guint64)1000 * KNL_SEC)
#define MAX_REPORTED_WORKSPACES 10000
#define MAX_REPORTED_INSTANCES  10000

/* Reports kept at the same time, one for each service of each instance of the cell and of each
 * other cell. */
#define MAX_REPORTS 8192

/* Costs of requests within a slot of time. */
typedef struct
{
  gint64 slot; /* number of the slot since time 0 */
  guint64 cost;
} SlotCost;

/* Load of a workspace in a class, as counted here. One slot more than the window: the oldest is
 * partly in it. */
typedef struct
{
  guint64 key;
  SlotCost costs[SLOTS + 1];
} OwnRow;

typedef struct
{
  guint32 id;
  GHashTable *rows;     /* &key -> OwnRow */
  KnlTime saturated_at; /* -KNL_NEVER: never */
} Service;

typedef struct
{
  guint64 key[2]; /* source and service */
  SvOfferedSource source;
  guint32 service;
  KnlTime counted_at;
  guint n_rows;
  PolOfferedRow rows[];
} Report;

struct SvOffered
{
  KnlKernel *kernel;
  GHashTable *services; /* id -> Service */
  GHashTable *reports;  /* Report -> itself, by its key */
  SvOfferedFunc on_saturated;
  gpointer on_saturated_data;
};

static void
service_free (gpointer data)
{
  Service *self = data;

  g_hash_table_unref (self->rows);
  g_free (self);
}

static guint
hash_report (gconstpointer report)
{
  return (guint)XXH64 (((const Report *)report)->key, sizeof ((const Report *)report)->key, 0);
}

static gboolean
is_same_report (gconstpointer a, gconstpointer b)
{
  return memcmp (((const Report *)a)->key, ((const Report *)b)->key,
                 sizeof ((const Report *)a)->key)
         == 0;
}

SvOffered *
sv_offered_new (KnlKernel *kernel)
{
  SvOffered *self = g_new0 (SvOffered, 1);

  self->kernel = kernel;
  self->services = g_hash_table_new_full (NULL, NULL, NULL, service_free);
  self->reports = g_hash_table_new_full (hash_report, is_same_report, NULL, g_free);
  return self;
}

void
sv_offered_free (SvOffered *self)
{
  if (self == NULL)
    return;
  g_hash_table_unref (self->services);
  g_hash_table_unref (self->reports);
  g_free (self);
}

static Service *
service_of (SvOffered *self, guint32 id)
{
  Service *service = g_hash_table_lookup (self->services, GUINT_TO_POINTER (id));

  if (service != NULL)
    return service;
  service = g_new0 (Service, 1);
  service->id = id;
  service->rows = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  service->saturated_at = -KNL_NEVER;
  g_hash_table_insert (self->services, GUINT_TO_POINTER (id), service);
  return service;
}

static gint64
slot_at (KnlTime now)
{
  return now / SLOT;
}

/* Load within the window that ends now; of the oldest slot only the part that is in the window. */
static guint64
load_of_row (const OwnRow *row, KnlTime now)
{
  gint64 oldest = slot_at (now) - SLOTS;
  guint64 load = 0;

  for (guint i = 0; i < G_N_ELEMENTS (row->costs); i++)
    {
      const SlotCost *cost = &row->costs[i];

      if (cost->slot > oldest)
        load += cost->cost;
      else if (cost->slot == oldest)
        load += cost->cost * (guint64)(SLOT - now % SLOT) / SLOT;
    }
  return load;
}

static gboolean
is_row_empty (gpointer key, gpointer row, gpointer now)
{
  return load_of_row (row, *(const KnlTime *)now) == 0;
}

static OwnRow *
own_row (Service *service, guint class, guint32 workspace, KnlTime now)
{
  guint64 key = sv_offered_row_key (class, workspace);
  OwnRow *row = g_hash_table_lookup (service->rows, &key);

  if (row != NULL)
    return row;
  if (g_hash_table_size (service->rows) >= MAX_OWN_ROWS)
    g_hash_table_foreach_remove (service->rows, is_row_empty, &now);
  if (g_hash_table_size (service->rows) >= MAX_OWN_ROWS && workspace != 0)
    return own_row (service, class, 0, now);
  row = g_new0 (OwnRow, 1);
  row->key = key;
  g_hash_table_insert (service->rows, &row->key, row);
  return row;
}

void
sv_offered_note_request (SvOffered *self,
                         guint32 service,
                         guint class,
                         guint32 workspace,
                         guint64 cost)
{
  KnlTime now = knl_kernel_now (self->kernel);
  OwnRow *row = own_row (service_of (self, service), class, workspace, now);
  SlotCost *slot = &row->costs[slot_at (now) % (SLOTS + 1)];

  if (slot->slot != slot_at (now))
    *slot = (SlotCost){ .slot = slot_at (now) };
  slot->cost += cost;
}

static void
add_own (SvOffered *self, guint32 service, SvOfferedSum *sum)
{
  const Service *own = g_hash_table_lookup (self->services, GUINT_TO_POINTER (service));
  KnlTime now = knl_kernel_now (self->kernel);
  GHashTableIter iter;
  gpointer value;

  if (own == NULL)
    return;
  g_hash_table_iter_init (&iter, own->rows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const OwnRow *row = value;
      PolOfferedRow offered = { .class = (guint)(row->key >> 32),
                                .workspace = (guint32)row->key,
                                .n = 1,
                                .load = load_of_row (row, now) };

      if (offered.load > 0)
        sv_offered_sum_add (sum, &offered);
    }
}

void
sv_offered_report_own (SvOffered *self, guint32 service, SvOfferedReport *report)
{
  SvOfferedSum sum = sv_offered_sum_new ();
  g_autoptr (GArray) rows = NULL;

  add_own (self, service, &sum);
  rows = sv_offered_sum_end (&sum);
  *report = (SvOfferedReport){ .service = service };
  sv_offered_fill_report (report, rows, SV_OFFERED_OWN_ROWS);
}

/* Own load enters the sums as other instances know it, so that all compute alike. */
static void
add_own_report (SvOffered *self, guint32 service, SvOfferedSum *sum)
{
  SvOfferedReport own;

  sv_offered_report_own (self, service, &own);
  for (guint i = 0; i < own.n_rows; i++)
    sv_offered_sum_add (sum, &own.rows[i]);
}

static gboolean
is_expired (gpointer key, gpointer report, gpointer now)
{
  return *(const KnlTime *)now - ((const Report *)report)->counted_at > REPORT_TTL;
}

static void
drop_expired (SvOffered *self)
{
  KnlTime now = knl_kernel_now (self->kernel);

  g_hash_table_foreach_remove (self->reports, is_expired, &now);
}

/* What add_reports() has found. */
typedef struct
{
  guint instances; /* that the reports cover */
  guint n;         /* reports */
  KnlTime oldest;  /* age of the oldest one */
  KnlTime ages;    /* sum of their ages */
} Heard;

static Heard
add_reports (SvOffered *self, guint32 service, gboolean with_cells, SvOfferedSum *sum)
{
  KnlTime now = knl_kernel_now (self->kernel);
  Heard heard = { 0 };
  GHashTableIter iter;
  gpointer value;

  drop_expired (self);
  g_hash_table_iter_init (&iter, self->reports);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Report *report = value;

      if (report->service != service || (report->source.is_cell && !with_cells))
        continue;
      for (guint i = 0; i < report->n_rows; i++)
        sv_offered_sum_add (sum, &report->rows[i]);
      heard.instances += report->source.instances;
      heard.n++;
      heard.oldest = MAX (heard.oldest, now - report->counted_at);
      heard.ages += now - report->counted_at;
    }
  return heard;
}

/* Scales the load of instances that have been heard to that of all. */
static void
scale (GArray *rows, guint all, guint heard)
{
  if (all <= heard)
    return;
  for (guint i = 0; i < rows->len; i++)
    sv_offered_row_at (rows, i)->load = sv_offered_row_at (rows, i)->load * all / heard;
}

void
sv_offered_report_cell (SvOffered *self, guint32 service, guint instances, SvOfferedReport *report)
{
  SvOfferedSum sum = sv_offered_sum_new ();
  g_autoptr (GArray) rows = NULL;
  Heard heard;

  add_own_report (self, service, &sum);
  heard = add_reports (self, service, FALSE, &sum);
  rows = sv_offered_sum_end (&sum);
  scale (rows, instances, 1 + heard.instances);
  *report = (SvOfferedReport){ .service = service, .age = heard.ages / (1 + heard.n) };
  sv_offered_fill_report (report, rows, SV_OFFERED_CELL_ROWS);
}

SvOfferedTotals
sv_offered_totals (SvOffered *self, guint32 service, guint known)
{
  SvOfferedTotals totals = { 0 };
  SvOfferedSum sum = sv_offered_sum_new ();
  Heard heard;

  add_own_report (self, service, &sum);
  heard = add_reports (self, service, TRUE, &sum);
  totals.rows = sv_offered_sum_end (&sum);
  totals.heard = 1 + heard.instances;
  totals.age = heard.oldest;
  scale (totals.rows, known, totals.heard);
  return totals;
}

void
sv_offered_totals_clear (SvOfferedTotals *self)
{
  g_clear_pointer (&self->rows, g_array_unref);
}

/* Keeps the rows of the report that are plausible, their sum within MAX_REPORTED_LOAD. */
static void
copy_rows (Report *kept, const SvOfferedReport *report)
{
  guint64 left = MAX_REPORTED_LOAD;

  for (guint i = 0; i < report->n_rows; i++)
    {
      PolOfferedRow row = report->rows[i];

      if (row.class >= SV_OFFERED_CLASSES)
        continue;
      row.load = MIN (row.load, left);
      row.n = row.workspace != 0 ? 1 : CLAMP (row.n, 1, MAX_REPORTED_WORKSPACES);
      left -= row.load;
      kept->rows[kept->n_rows++] = row;
    }
}

void
sv_offered_note_report (SvOffered *self,
                        const SvOfferedSource *source,
                        const SvOfferedReport *report)
{
  KnlTime counted_at = knl_kernel_now (self->kernel) - report->age;
  Report *kept = g_malloc0 (sizeof *kept + report->n_rows * sizeof *kept->rows);
  const Report *old;

  kept->key[0] = (guint64)source->is_cell << 32 | source->id;
  kept->key[1] = kept->service = report->service;
  kept->source = *source;
  kept->source.instances = CLAMP (source->instances, 1, MAX_REPORTED_INSTANCES);
  kept->counted_at = counted_at;
  copy_rows (kept, report);
  old = g_hash_table_lookup (self->reports, kept);
  if (old == NULL && g_hash_table_size (self->reports) >= MAX_REPORTS)
    drop_expired (self);
  if ((old != NULL && old->counted_at > counted_at) || report->age > REPORT_TTL
      || (old == NULL && g_hash_table_size (self->reports) >= MAX_REPORTS))
    {
      g_free (kept);
      return;
    }
  g_hash_table_replace (self->reports, kept, kept);
}

static gboolean
is_reported (const SvOffered *self, const Service *service)
{
  return service->saturated_at != -KNL_NEVER
         && knl_kernel_now (self->kernel) - service->saturated_at < REPORTED_TIME;
}

void
sv_offered_note_saturated (SvOffered *self, guint32 id)
{
  Service *service = service_of (self, id);
  gboolean was_reported = is_reported (self, service);

  service->saturated_at = knl_kernel_now (self->kernel);
  if (!was_reported && self->on_saturated != NULL)
    self->on_saturated (self->on_saturated_data);
}

void
sv_offered_on_saturated (SvOffered *self, SvOfferedFunc func, gpointer data)
{
  self->on_saturated = func;
  self->on_saturated_data = data;
}

GArray *
sv_offered_reported_services (const SvOffered *self)
{
  GArray *services = g_array_new (FALSE, FALSE, sizeof (guint32));
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, self->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Service *service = value;

      if (is_reported (self, service))
        g_array_append_val (services, service->id);
    }
  return services;
}
