#include "entry/estimate.h"

#include <math.h>

#define HALF_LIFE (5 * KNL_SEC)

/* A rate measured over less busy time than this is unreliable. */
#define MIN_BUSY_TIME (1 * KNL_SEC)

struct EnEstimates
{
  KnlKernel *kernel;
  EnQueue *queue;
  GHashTable *lanes; /* "SERVICE/LANE" -> Lane */
};

/* Exponentially decayed sums over the time during which requests waited. */
typedef struct
{
  double tokens;
  double busy; /* microseconds */
  KnlTime at;
  gboolean waiting;
} Lane;

EnEstimates *
en_estimates_new (KnlKernel *kernel, EnQueue *queue)
{
  EnEstimates *self = g_new0 (EnEstimates, 1);

  self->kernel = kernel;
  self->queue = queue;
  self->lanes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return self;
}

void
en_estimates_free (EnEstimates *self)
{
  if (self == NULL)
    return;
  g_hash_table_unref (self->lanes);
  g_free (self);
}

static Lane *
update_lane (EnEstimates *self, const char *service, EnLane lane)
{
  char *name = g_strdup_printf ("%s/%d", service, (int)lane);
  Lane *row = g_hash_table_lookup (self->lanes, name);
  KnlTime now = knl_kernel_now (self->kernel);
  double factor;

  if (row == NULL)
    {
      row = g_new0 (Lane, 1);
      row->at = now;
      g_hash_table_insert (self->lanes, g_strdup (name), row);
    }
  factor = exp2 (-(double)(now - row->at) / (double)HALF_LIFE);
  row->tokens *= factor;
  row->busy *= factor;
  if (row->waiting)
    row->busy += (double)(now - row->at);
  row->at = now;
  g_free (name);
  return row;
}

void
en_estimates_note_waiting (EnEstimates *self, const char *service, EnLane lane)
{
  Lane *row = update_lane (self, service, lane);

  row->waiting = en_queue_waiting (self->queue, service, lane).count > 0;
}

void
en_estimates_note_served (EnEstimates *self, const char *service, EnLane lane, guint64 prefill)
{
  Lane *row = update_lane (self, service, lane);

  if (row->waiting)
    row->tokens += (double)prefill;
}

/*
 * A workspace waits at most for its own requests with earlier deadlines, served at its share of the
 * lane's rate: a flood by one workspace must not get another's requests refused.
 */
KnlTime
en_estimates_wait (EnEstimates *self,
                   const char *service,
                   EnLane lane,
                   const char *workspace,
                   KnlTime deadline)
{
  Lane *row = update_lane (self, service, lane);
  EnWaiting all = en_queue_waiting (self->queue, service, lane);
  EnBacklog own = en_queue_backlog (self->queue, service, lane, workspace, deadline);
  double rate;
  double ahead;

  if (row->busy < (double)MIN_BUSY_TIME || row->tokens <= 0)
    return 0;
  rate = row->tokens / row->busy;
  ahead = MIN ((double)all.prefill, (double)own.prefill / own.share);
  return (KnlTime)(ahead / rate);
}
