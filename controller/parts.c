/** Creates the modules of a controller from its settings. */

#include "controller/metered.h"
#include "controller/state.h"
#include "coord/request_id.h"
#include "coord/shard.h"

#include <string.h>

/* How often the rows of suspects are read, and how many suspects are kept. */
#define SUSPECT_SCAN_INTERVAL (10 * KNL_SEC)
#define MAX_SUSPECTS          4096

/* Half-life of the service that a workspace has received; the same value as in the entries. */
#define SHARE_HALF_LIFE (10 * KNL_SEC)

/* Idempotency records. A write is delayed so that several records go into one batch. */
#define IDEM_BATCH_DELAY    (3 * KNL_MSEC)
#define IDEM_BEGIN_TIMEOUT  (2 * KNL_SEC)
#define IDEM_FINISH_TIMEOUT (5 * KNL_SEC)
#define MAX_IDEM_CACHED     10000

/* Length of the epochs in which the retention of idempotency records is counted, and the delay
   between two pages of deletions. */
#define IDEM_EPOCH_DURATION (3600 * KNL_SEC)
#define IDEM_PAGE_DELAY     (500 * KNL_MSEC)

#define COMPACT_INTERVAL (60 * KNL_SEC)

/* Longer than the timeouts of a holder, as the shard may be changing its holder. */
#define RELAY_BEGIN_TIMEOUT  (4 * KNL_SEC)
#define RELAY_FINISH_TIMEOUT (10 * KNL_SEC)

static gboolean
attempt_has_ended (const char *attempt, gpointer data)
{
  const CtController *controller = data;
  char *instance = NULL;
  guint64 incarnation = 0;
  gboolean ended;

  if (!co_request_parse (attempt, &instance, &incarnation))
    return FALSE;
  ended = ct_members_entry_state (controller->members, instance, incarnation) != CO_ENTRY_PRESENT;
  g_free (instance);
  return ended;
}

static void
answer_credit (const Alderturn__CreditRequest *request, GPtrArray *grants, gpointer data)
{
  ct_engines_grant_credit (((CtController *)data)->engines, request, grants);
}

static gboolean
holds_workspace (CtController *controller, const char *workspace)
{
  guint n = co_leases_count (controller->leases);

  return co_lease_valid (controller->leases, co_shard_of_pair ("workspace", workspace, n), NULL);
}

static void
answer_share (const Alderturn__ShareReport *report, GPtrArray *shares, gpointer data)
{
  CtController *controller = data;

  for (size_t i = 0; i < report->n_demands; i++)
    {
      const Alderturn__ShareReport__Demand *demand = report->demands[i];
      Alderturn__ShareUpdate__Share *share;

      if (!holds_workspace (controller, demand->workspace))
        continue;
      share = g_new (Alderturn__ShareUpdate__Share, 1);
      alderturn__share_update__share__init (share);
      share->workspace = g_strdup (demand->workspace);
      co_shares_report (controller->shares, report->entry, report->incarnation, demand, share);
      g_ptr_array_add (shares, share);
    }
}

static const char *
controller_address (const char *name, gpointer data)
{
  const Alderturn__Member *member =
      co_members_find (ct_members_membership (((CtController *)data)->members),
                       ALDERTURN__MEMBER_KIND__MEMBER_KIND_CONTROLLER, name);

  return member != NULL && member->address[0] != '\0' ? member->address : NULL;
}

typedef struct
{
  guint n_shards;
  guint shard;
} LostShard;

static gboolean
workspace_is_lost (const char *workspace, gpointer data)
{
  const LostShard *lost = data;

  return co_shard_of_pair ("workspace", workspace, lost->n_shards) == lost->shard;
}

static void
on_lease (CoLeases *leases, guint shard, guint64 fence, gpointer data)
{
  CtController *controller = data;
  LostShard lost = { .n_shards = co_leases_count (leases), .shard = shard };

  if (fence == 0)
    co_shares_forget (controller->shares, workspace_is_lost, &lost);
}

static void
start_config (CtController *controller)
{
  const CtSettings *settings = controller->settings;
  CoConfigStoreOptions options = {
    .kernel = controller->kernel,
    .platform = controller->platform,
    .replica = controller->config,
    .poll_interval = settings->config_poll_ms * KNL_MSEC,
    .idle_interval = settings->config_poll_ms * KNL_MSEC * CT_IDLE_POLL_FACTOR,
    .apply_timeout = CT_APPLY_TIMEOUT,
    .on_ready = ct_config_on_ready,
    .data = controller,
  };

  controller->store = co_config_store_new (&options);
}

static void
start_leases (CtController *controller)
{
  const CtSettings *settings = controller->settings;
  CoLeasesOptions leases = {
    .kernel = controller->kernel,
    .platform = controller->platform,
    .name = controller->options.identity->instance,
    .incarnation = controller->options.identity->incarnation,
    .n_shards = (guint)settings->shards,
    .duration = settings->lease_ms * KNL_MSEC,
  };
  CoIdemOptions idem = {
    .kernel = controller->kernel,
    .platform = controller->platform,
    .batch_delay = IDEM_BATCH_DELAY,
    .begin_timeout = IDEM_BEGIN_TIMEOUT,
    .finish_timeout = IDEM_FINISH_TIMEOUT,
    .attempt_timeout = settings->idem_attempt_ms * KNL_MSEC,
    .answer_bytes = (gsize)settings->idem_answer_bytes,
    .max_cached = MAX_IDEM_CACHED,
    .attempt_ended = attempt_has_ended,
    .data = controller,
  };

  idem.leases = controller->leases = co_leases_new (&leases);
  controller->idem = co_idem_new (&idem);
  controller->shares = co_shares_new (controller->kernel, SHARE_HALF_LIFE);
  co_leases_observe (controller->leases, on_lease, controller);
}

static void
start_housekeeping (CtController *controller)
{
  const CtSettings *settings = controller->settings;
  CoConfigCompactOptions compact = {
    .kernel = controller->kernel,
    .platform = controller->platform,
    .leases = controller->leases,
    .replica = controller->config,
    .keep = (guint)settings->history,
    .interval = COMPACT_INTERVAL,
  };
  CoIdemSweepOptions sweep = {
    .kernel = controller->kernel,
    .platform = controller->platform,
    .leases = controller->leases,
    .idem = controller->idem,
    .epoch_time = IDEM_EPOCH_DURATION,
    .keep = (guint64)settings->idem_retention_hours,
    .page_delay = IDEM_PAGE_DELAY,
  };

  controller->compact = co_config_compact_new (&compact);
  controller->sweep = co_idem_sweep_new (&sweep);
}

static void
start_members (CtController *controller)
{
  const CtSettings *settings = controller->settings;
  CtMembersOptions members = {
    .kernel = controller->kernel,
    .platform = controller->platform,
    .config = controller->config,
    .links = controller->links,
    .identity = controller->options.identity,
    .poll_interval = settings->instance_poll_ms * KNL_MSEC,
    .changed = ct_controller_on_members_changed,
    .data = controller,
  };
  CoSuspectOptions suspects = {
    .kernel = controller->kernel,
    .platform = controller->platform,
    .ttl = settings->suspect_ttl_ms * KNL_MSEC,
    .scan_interval = SUSPECT_SCAN_INTERVAL,
    .max_suspects = MAX_SUSPECTS,
    .changed = ct_controller_on_suspects_changed,
    .data = controller,
  };

  controller->members = ct_members_new (&members);
  controller->suspects = co_suspects_new (&suspects);
}

typedef struct
{
  CtController *controller;
  guint count;
} ConnectContext;

static void
connect_controller (const Alderturn__Member *member, gpointer data)
{
  ConnectContext *context = data;

  if (strcmp (member->name, context->controller->options.identity->instance) == 0)
    return;
  context->count++;
  ct_links_connect (context->controller->links, member->name, member->address);
}

static guint
connect_controllers (gpointer data)
{
  ConnectContext context = { .controller = data };

  co_members_foreach (ct_members_membership (context.controller->members),
                      ALDERTURN__MEMBER_KIND__MEMBER_KIND_CONTROLLER, connect_controller, &context);
  return context.count;
}

static void
start_engines (CtController *controller)
{
  const CtSettings *settings = controller->settings;
  CtEnginesOptions engines = {
    .kernel = controller->kernel,
    .endpoints = controller->options.endpoints,
    .leases = controller->leases,
    .members = controller->members,
    .config = controller->config,
    .self = controller->options.identity->instance,
    .poll_interval = settings->report_poll_ms * KNL_MSEC,
    .credit_ttl = settings->credit_ttl_ms * KNL_MSEC,
    .load_interval = settings->load_interval_ms * KNL_MSEC,
  };
  CtRelayOptions relay = {
    .kernel = controller->kernel,
    .links = controller->links,
    .leases = controller->leases,
    .idem = controller->idem,
    .answers = { .credit = answer_credit, .share = answer_share, .address = controller_address },
    .data = controller,
    .begin_timeout = RELAY_BEGIN_TIMEOUT,
    .finish_timeout = RELAY_FINISH_TIMEOUT,
  };

  controller->engines = ct_engines_new (&engines);
  controller->relay = ct_relay_new (&relay);
}

void
ct_controller_create_modules (CtController *controller)
{
  CtGatherOptions gather = {
    .kernel = controller->kernel,
    .own_rows = ct_show_own_rows,
    .connect_all = connect_controllers,
    .data = controller,
  };
  controller->platform = ct_metered_platform_new (controller->options.platform, controller->kernel,
                                                  controller->options.metrics);
  controller->links =
      ct_links_new (controller->kernel, controller->options.transport, controller->options.identity,
                    &ct_controller_link_events, controller);
  start_config (controller);
  start_leases (controller);
  start_housekeeping (controller);
  start_members (controller);
  start_engines (controller);
  gather.links = controller->links;
  controller->gather = ct_gather_new (&gather);
  controller->operators = ct_operators_start (controller);
}
