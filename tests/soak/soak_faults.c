#include "soak_internal.h"

#include <stdio.h>

#define FAULT_TIME (15 * KNL_SEC)

/** Begins a fault at a target, or ends it; the end undoes only this fault. */
typedef void (*FaultFunc) (Soak *soak, guint target, gboolean begins);

typedef struct
{
  const char *name;
  FaultFunc func;
  gboolean is_transient; /* has no end to undo: `func` is only called to begin it */
} Fault;

typedef struct
{
  const Fault *fault;
  guint target;
  KnlTime until;
} ActiveFault;

static SdTable *
table_of (const Soak *soak)
{
  return fk_store_table (fk_deployment_store (soak->deployment));
}

static FkFleet *
fleet_of (const Soak *soak)
{
  return fk_deployment_fleet (soak->deployment);
}

static const char *
address_of (const Soak *soak, guint target)
{
  return fk_deployment_engine_address (soak->deployment, target);
}

/* NULL: the engine is down. */
static SdEngine *
engine_of (const Soak *soak, guint target)
{
  return fk_fleet_engine (fleet_of (soak), address_of (soak, target));
}

static void
set_running (Soak *soak, guint target, FkDaemonKind kind, gboolean up)
{
  if (up)
    fk_deployment_start (soak->deployment, target, kind);
  else
    fk_deployment_kill (soak->deployment, target, kind);
}

static void
kill_entry (Soak *soak, guint target, gboolean begins)
{
  soak->incarnations[target] += begins ? 1 : 0;
  set_running (soak, target, FK_ENTRY, !begins);
}

static void
kill_controller (Soak *soak, guint target, gboolean begins)
{
  set_running (soak, target, FK_CONTROLLER, !begins);
}

static void
freeze_controller (Soak *soak, guint target, gboolean begins)
{
  fk_deployment_set_frozen (soak->deployment, target, FK_CONTROLLER, begins);
}

static void
cut_off_instance (Soak *soak, guint target, gboolean begins)
{
  g_autofree char *name = g_strdup_printf ("instance-%u", target);

  fk_network_cut_off (fk_deployment_network (soak->deployment), name, begins);
}

static void
freeze_links (Soak *soak, guint target, gboolean begins)
{
  g_autofree char *a = g_strdup_printf ("instance-%u", target);
  g_autofree char *b = g_strdup_printf ("instance-%u", (target + 1) % INSTANCES);

  fk_network_freeze (fk_deployment_network (soak->deployment), a, b);
}

static void
platform_outage (Soak *soak, guint target, gboolean begins)
{
  sd_table_set_fault (table_of (soak), begins ? SD_TABLE_OUTAGE : SD_TABLE_NORMAL, 0, 0);
}

static void
platform_slow (Soak *soak, guint target, gboolean begins)
{
  sd_table_set_fault (table_of (soak), begins ? SD_TABLE_SLOW : SD_TABLE_NORMAL,
                      begins ? 1500 * KNL_MSEC : 0, 0);
}

static void
platform_loses_answers (Soak *soak, guint target, gboolean begins)
{
  sd_table_set_fault (table_of (soak), begins ? SD_TABLE_LOSE_ANSWERS : SD_TABLE_NORMAL, 0,
                      begins ? 5 : 0);
}

static void
controller_loses_answers (Soak *soak, guint target, gboolean begins)
{
  if (fk_deployment_is_up (soak->deployment, target, FK_CONTROLLER))
    fk_memory_platform_set_fault (fk_deployment_platform (soak->deployment, target),
                                  begins ? FK_PLATFORM_LOSES_ANSWERS : FK_PLATFORM_NORMAL);
}

static void
crash_engine (Soak *soak, guint target, gboolean begins)
{
  if (begins)
    fk_fleet_crash (fleet_of (soak), address_of (soak, target));
  else
    fk_fleet_restart (fleet_of (soak), address_of (soak, target));
}

static void
freeze_engine (Soak *soak, guint target, gboolean begins)
{
  fk_fleet_set_frozen (fleet_of (soak), address_of (soak, target), begins);
}

static void
connection_fault (Soak *soak, guint target, gboolean begins)
{
  FkConnectionFault fault = (FkConnectionFault)g_rand_int_range (soak->rand, FK_CONNECTION_REFUSED,
                                                                 FK_CONNECTION_CUT + 1);

  fk_fleet_set_fault (fleet_of (soak), address_of (soak, target), fault,
                      (guint)g_rand_int_range (soak->rand, 0, 20), 3);
}

static void
stream_fault (Soak *soak, guint target, gboolean begins)
{
  SdEngine *engine = engine_of (soak, target);

  if (engine != NULL)
    sd_engine_set_fault (engine,
                         (SdEngineFault)g_rand_int_range (soak->rand, SD_FAULT_LATE_FRAMES,
                                                          SD_FAULT_LOSE_CANCEL + 1),
                         3);
}

static void
service_fault (Soak *soak, guint target, gboolean begins)
{
  SdService *service = fk_fleet_service (
      fleet_of (soak), fk_deployment_service_address (soak->deployment, target % SERVICES));

  if (service != NULL && begins)
    service->fault =
        (SdServiceFault)g_rand_int_range (soak->rand, SD_SERVICE_HANG, SD_SERVICE_SLOW + 1);
  else if (service != NULL)
    service->fault = SD_SERVICE_NORMAL;
}

static void
engine_leaves (Soak *soak, guint target, gboolean begins)
{
  SdEngine *engine = engine_of (soak, target);

  if (begins && engine != NULL)
    sd_engine_leave (engine);
  if (!begins)
    {
      crash_engine (soak, target, TRUE);
      crash_engine (soak, target, FALSE);
    }
  fk_deployment_list_engine (soak->deployment, target, begins ? "leaving" : "live");
}

static const Fault faults[] = {
  { "kill entry", kill_entry, FALSE },
  { "kill controller", kill_controller, FALSE },
  { "freeze controller", freeze_controller, FALSE },
  { "cut off instance", cut_off_instance, FALSE },
  { "freeze links", freeze_links, TRUE },
  { "platform outage", platform_outage, FALSE },
  { "platform slow", platform_slow, FALSE },
  { "platform loses answers", platform_loses_answers, FALSE },
  { "controller loses platform answers", controller_loses_answers, FALSE },
  { "crash engine", crash_engine, FALSE },
  { "freeze engine", freeze_engine, FALSE },
  { "connection fault", connection_fault, TRUE },
  { "stream fault", stream_fault, TRUE },
  { "service fault", service_fault, FALSE },
  { "engine leaves", engine_leaves, FALSE },
};

static gboolean
is_active (const GArray *active, const Fault *fault, guint target)
{
  for (guint i = 0; i < active->len; i++)
    {
      const ActiveFault *other = &g_array_index (active, ActiveFault, i);

      /* At most one fault of each kind and at each target, so that ending one doesn't undo
       * another. */
      if (other->fault == fault || (other->target == target && !other->fault->is_transient))
        return TRUE;
    }
  return FALSE;
}

GArray *
soak_faults_new (void)
{
  return g_array_new (FALSE, FALSE, sizeof (ActiveFault));
}

void
soak_faults_begin (Soak *soak, GArray *active)
{
  const Fault *fault = &faults[g_rand_int_range (soak->rand, 0, G_N_ELEMENTS (faults))];
  guint target = (guint)g_rand_int_range (soak->rand, 0, INSTANCES);
  ActiveFault entry = { fault, target, 0 };

  if (is_active (active, fault, target))
    return;
  soak->result.faults++;
  entry.until = knl_paused_clock_now (soak->clock)
                + (KnlTime)g_rand_int_range (soak->rand, 1, (gint32)FAULT_TIME);
  if (soak->options->verbose)
    printf ("%8.3f %s %u until %.3f\n", (double)knl_paused_clock_now (soak->clock) / KNL_SEC,
            fault->name, target, (double)entry.until / KNL_SEC);
  fault->func (soak, target, TRUE);
  g_array_append_val (active, entry);
}

void
soak_faults_end (Soak *soak, GArray *active, gboolean all)
{
  for (guint i = active->len; i-- > 0;)
    {
      ActiveFault entry = g_array_index (active, ActiveFault, i);

      if (!all && entry.until > knl_paused_clock_now (soak->clock))
        continue;
      if (!entry.fault->is_transient)
        entry.fault->func (soak, entry.target, FALSE);
      g_array_remove_index (active, i);
    }
}
