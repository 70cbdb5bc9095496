#include "controller/engines.h"

#include <string.h>

#include "common/log.h"
#include "coord/shard.h"

/* Fraction of each engine's capacity that is granted evenly to all its entries. */
#define CREDIT_RESERVE_FRACTION 0.2

/* Maximum number of pending cancels of leaked requests at one engine. */
#define MAX_CANCELS 8

#define ENGINE_KIND ALDERTURN__MEMBER_KIND__MEMBER_KIND_ENGINE

struct CtEngines
{
  CtEnginesOptions options;
  CtOrders orders;
  CoCreditOptions credit;
  KnlTime *frozen_until; /* by shard: until when grants of an earlier ledger may be in force */
  GHashTable *engines;   /* name -> Engine, those whose shard is held */
  GHashTable *placement; /* see controller/placement.h */
  CtEnginesCounts counts;
};

/* The contents of the last report, for `show engines`. */
typedef struct
{
  gboolean known;
  char *model;
  char *adapter;
  char *role;
  guint64 capacity;
  guint64 used;
  guint waiting;
  guint64 fence;
} LastReport;

typedef struct
{
  CtEngines *engines;
  char *name;
  char *address;
  guint shard;
  CoCredit *credit;
  CtOrder *order;
  KnlTimerId timer;
  EpCallId report;
  GPtrArray *cancels; /* Cancel, those pending */
  LastReport last_report;
} Engine;

typedef struct
{
  Engine *engine;
  EpCallId call;
} Cancel;

static void poll_report (gpointer data);

static void
last_report_clear (LastReport *last_report)
{
  g_free (last_report->model);
  g_free (last_report->adapter);
  g_free (last_report->role);
  *last_report = (LastReport){ 0 };
}

static void
engine_free (gpointer data)
{
  Engine *engine = data;
  const CtEnginesOptions *options = &engine->engines->options;

  knl_timer_stop (options->kernel, &engine->timer);
  ep_call_cancel (options->endpoints, &engine->report);
  for (guint i = 0; i < engine->cancels->len; i++)
    ep_call_cancel (options->endpoints, &((Cancel *)g_ptr_array_index (engine->cancels, i))->call);
  g_ptr_array_free (engine->cancels, TRUE);
  ct_order_free (engine->order);
  co_credit_free (engine->credit);
  last_report_clear (&engine->last_report);
  g_free (engine->name);
  g_free (engine->address);
  g_free (engine);
}

static CoEntryState
entry_state (const char *entry, guint64 incarnation, gpointer data)
{
  return ct_members_entry_state (((CtEngines *)data)->options.members, entry, incarnation);
}

static void
on_cancelled (gboolean acknowledged, gpointer data)
{
  Cancel *cancel = data;

  /* Even an acknowledged cancel may have failed: a request still listed by the next report is
     cancelled again. */
  g_ptr_array_remove_fast (cancel->engine->cancels, cancel);
}

/*
 * A request whose entry has died, or whose cancel was lost, occupies the engine's
 * memory indefinitely, and leaked requests would use up the engine's capacity. It
 * is cancelled at each report that still lists it, until the engine has freed it.
 */
static void
cancel_leaks (Engine *engine)
{
  CtEngines *engines = engine->engines;
  GPtrArray *leaks = co_credit_leaks (engine->credit, entry_state, engines);

  for (guint i = 0; i < leaks->len && engine->cancels->len < MAX_CANCELS; i++)
    {
      const char *request = g_ptr_array_index (leaks, i);
      Cancel *cancel = g_new0 (Cancel, 1);

      cancel->engine = engine;
      cancel->call = ep_client_cancel (engines->options.endpoints, engine->address, request,
                                       on_cancelled, cancel);
      g_ptr_array_add (engine->cancels, cancel);

      cm_log (CM_LOG_NOTICE, "leak-cancelled", "s", "engine", engine->name, "s", "request",
              request);
      engines->counts.leaks++;
    }
  g_ptr_array_free (leaks, TRUE);
}

static void
last_report_set (LastReport *last_report, const EpReport *report)
{
  last_report_clear (last_report);
  *last_report = (LastReport){
    .known = TRUE,
    .model = g_strdup (report->model),
    .adapter = g_strdup (report->adapter),
    .role = g_strdup (report->role),
    .capacity = report->capacity_tokens,
    .used = report->used_tokens,
    .waiting = report->waiting,
    .fence = report->fence,
  };
}

static void
on_report (const EpReport *report, gpointer data)
{
  Engine *engine = data;
  CtEngines *engines = engine->engines;

  engine->report = 0;
  /* If the check finds that the lease has lapsed, on_lease() frees the engine. */
  if (!co_lease_valid (engines->options.leases, engine->shard, NULL) || report == NULL)
    return;
  engines->counts.reports++;
  last_report_set (&engine->last_report, report);
  co_credit_report (engine->credit, report);
  cancel_leaks (engine);
  ct_order_handle_report (engine->order, engine->address, report,
                          g_hash_table_lookup (engines->placement, engine->name));
  co_members_note_endpoint (ct_members_membership (engines->options.members), ENGINE_KIND,
                            engine->name, report->incarnation, report->leaving);
}

static void
poll_report (gpointer data)
{
  Engine *engine = data;
  const CtEnginesOptions *options = &engine->engines->options;

  engine->timer = knl_timer_start (options->kernel, options->poll_interval, poll_report, engine);
  if (engine->report == 0)
    engine->report = ep_client_report (options->endpoints, engine->address, on_report, engine);
}

static void
add_engine (CtEngines *engines, const Alderturn__Member *member, guint shard)
{
  Engine *engine = g_new0 (Engine, 1);

  engine->engines = engines;
  engine->name = g_strdup (member->name);
  engine->address = g_strdup (member->address);
  engine->shard = shard;
  engine->credit = co_credit_new (&engines->credit, engines->frozen_until[shard]);
  engine->order = ct_order_new (&engines->orders, member->name, shard);
  engine->cancels = g_ptr_array_new_with_free_func (g_free);
  g_hash_table_insert (engines->engines, engine->name, engine);
  engine->timer = knl_timer_start (engines->options.kernel, 0, poll_report, engine);
}

static guint
shard_of (const CtEngines *engines, const char *name)
{
  return co_shard_of_pair ("engine", name, co_leases_count (engines->options.leases));
}

static void
freeze_shard (CtEngines *engines, guint shard)
{
  engines->frozen_until[shard] =
      knl_kernel_now (engines->options.kernel) + co_credit_grant_lifetime (&engines->credit);
}

/* Drops engines that left the view, have another address, or whose lease is no longer held. */
static void
drop_engines (CtEngines *engines)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, engines->engines);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Engine *engine = value;
      const Alderturn__Member *member =
          ct_members_find (engines->options.members, ENGINE_KIND, engine->name);

      if (member != NULL && strcmp (member->address, engine->address) == 0
          && co_lease_valid (engines->options.leases, engine->shard, NULL))
        continue;
      /* The engine may return while grants of this ledger are still in force. */
      freeze_shard (engines, engine->shard);
      g_hash_table_iter_remove (&iter);
    }
}

void
ct_engines_refresh (CtEngines *engines)
{
  const GPtrArray *view = ct_members_view (engines->options.members);

  /* Detects lapsed leases now: on_lease() would otherwise remove engines during the iteration. */
  co_leases_held (engines->options.leases);
  g_hash_table_destroy (engines->placement);
  engines->placement = ct_placement_new (engines->options.config, view);
  drop_engines (engines);
  for (guint i = 0; i < view->len; i++)
    {
      const Alderturn__Member *member = g_ptr_array_index (view, i);
      guint shard;

      if (member->kind != ENGINE_KIND || g_hash_table_contains (engines->engines, member->name))
        continue;
      shard = shard_of (engines, member->name);
      if (co_lease_valid (engines->options.leases, shard, NULL))
        add_engine (engines, member, shard);
    }
}

static gboolean
engine_is_in_shard (gpointer key, gpointer value, gpointer data)
{
  return ((Engine *)value)->shard == GPOINTER_TO_UINT (data);
}

/* Drops the ledgers of a lost shard at once: its next holder may grant the same capacity. */
static void
on_lease (CoLeases *leases, guint shard, guint64 fence, gpointer data)
{
  CtEngines *engines = data;

  g_hash_table_foreach_remove (engines->engines, engine_is_in_shard, GUINT_TO_POINTER (shard));
  if (fence == 0)
    return;
  /* Fencing number 1: no earlier holder can have granted anything. */
  if (fence > 1)
    freeze_shard (engines, shard);
  ct_engines_refresh (engines);
}

CtEngines *
ct_engines_new (const CtEnginesOptions *options)
{
  CtEngines *engines = g_new0 (CtEngines, 1);

  engines->options = *options;
  engines->credit = (CoCreditOptions){
    .kernel = options->kernel,
    .ttl = options->credit_ttl,
    .reserve = CREDIT_RESERVE_FRACTION,
  };
  engines->orders = (CtOrders){
    .kernel = options->kernel,
    .endpoints = options->endpoints,
    .leases = options->leases,
    .load_interval = options->load_interval,
  };
  engines->frozen_until = g_new0 (KnlTime, co_leases_count (options->leases));
  engines->engines = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, engine_free);
  engines->placement = g_hash_table_new (g_str_hash, g_str_equal);
  co_leases_observe (options->leases, on_lease, engines);
  return engines;
}

void
ct_engines_free (CtEngines *engines)
{
  if (engines == NULL)
    return;
  g_hash_table_destroy (engines->engines);
  g_hash_table_destroy (engines->placement);
  g_free (engines->frozen_until);
  g_free (engines);
}

/* Engines that the entry no longer uses aren't in its request; requests of this entry that they
   still list are leaks. */
static void
note_unclaimed (CtEngines *engines, const Alderturn__CreditRequest *request)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, engines->engines);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Engine *engine = value;
      gboolean requested = FALSE;

      for (size_t i = 0; i < request->n_wants && !requested; i++)
        requested = strcmp (request->wants[i]->endpoint, engine->name) == 0;
      if (!requested)
        co_credit_note_unclaimed (engine->credit, request->entry, request->incarnation);
    }
}

void
ct_engines_grant_credit (CtEngines *engines,
                         const Alderturn__CreditRequest *request,
                         GPtrArray *grants)
{
  for (size_t i = 0; i < request->n_wants; i++)
    {
      const Alderturn__CreditWant *want = request->wants[i];
      const Engine *engine = g_hash_table_lookup (engines->engines, want->endpoint);
      Alderturn__CreditGrant *grant;
      guint64 fence = 0;

      /* Checked right before granting: the next holder of an expired lease may grant the same
         capacity again. */
      if (engine == NULL || !co_lease_valid (engines->options.leases, engine->shard, &fence))
        continue;
      grant = g_new (Alderturn__CreditGrant, 1);
      alderturn__credit_grant__init (grant);
      grant->endpoint = g_strdup (want->endpoint);
      grant->fence = fence;
      if (co_credit_grant (engine->credit, request->entry, request->incarnation, want, grant))
        {
          engines->counts.grants++;
          g_ptr_array_add (grants, grant);
        }
      else
        alderturn__credit_grant__free_unpacked (grant, NULL);
    }
  note_unclaimed (engines, request);
}

json_t *
ct_engines_rows (const CtEngines *engines)
{
  json_t *rows = json_array ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, engines->engines);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Engine *engine = value;
      const LastReport *last_report = &engine->last_report;
      double load =
          last_report->capacity > 0 ? (double)last_report->used / (double)last_report->capacity : 0;

      if (last_report->known)
        json_array_append_new (
            rows,
            json_pack ("{s:s, s:s?, s:s?, s:s?, s:I, s:I, s:f, s:i, s:I, s:s}", "name",
                       engine->name, "model", last_report->model, "adapter", last_report->adapter,
                       "role", last_report->role, "capacity", (json_int_t)last_report->capacity,
                       "used", (json_int_t)last_report->used, "load", load, "waiting",
                       (int)last_report->waiting, "fence", (json_int_t)last_report->fence, "holder",
                       engines->options.self));
    }
  return rows;
}

CtEnginesCounts
ct_engines_counts (const CtEngines *engines)
{
  CtEnginesCounts counts = engines->counts;

  counts.orders = engines->orders.sent;
  return counts;
}
