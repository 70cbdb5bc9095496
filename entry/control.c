/** Handles the controller's frames, and sends it the entry's periodic reports and requests. */

#include <string.h>

#include "common/log.h"
#include "entry/core_internal.h"

#define TICK_INTERVAL               (250 * KNL_MSEC)
#define SHARE_REPORT_TICKS          2
#define STATUS_TICKS                4
#define CREDIT_REQUEST_MIN_INTERVAL (20 * KNL_MSEC)

/*
 * How long a long prompt requests credits of one engine before it tries the next:
 * grants of other entries on that engine have to lapse first.
 */
#define WANT_ROTATION_INTERVAL (5 * KNL_SEC)

/* Long prompts that request credits at the same time; those queued behind them can't run yet. */
#define MAX_LONG_WANTS 2

/* Ticks between two polls of engines without a grant, and polls that run at the same time. */
#define POLL_TICKS 2
#define MAX_POLLS  16

typedef struct
{
  EnCore *core;
  char *endpoint;
  EpCallId call;
} Poll;

static void
send_frame (EnCore *core, Alderturn__Frame__BodyCase body_case, gpointer body)
{
  Alderturn__Frame frame = ALDERTURN__FRAME__INIT;

  frame.body_case = body_case;
  frame.heartbeat = body;
  en_uplink_send (core->uplink, &frame);
}

static void
pull_config (EnCore *core)
{
  Alderturn__ConfigPull pull = ALDERTURN__CONFIG_PULL__INIT;

  pull.have_revision = *co_config_revision (core->config);
  send_frame (core, ALDERTURN__FRAME__BODY_CONFIG_PULL, &pull);
}

void
en_core_send_status (EnCore *core)
{
  Alderturn__EntryStatus status = ALDERTURN__ENTRY_STATUS__INIT;

  status.draining = core->drain != EN_DRAIN_SERVING;
  status.ready = en_core_is_ready (core);
  status.in_flight = g_hash_table_size (core->requests);
  status.config_revision = *co_config_revision (core->config);
  send_frame (core, ALDERTURN__FRAME__BODY_ENTRY_STATUS, &status);
}

typedef struct
{
  EnCore *core;
  GHashTable *services;   /* name -> EnWaiting of short prompts */
  GHashTable *long_wants; /* engine -> LongWant */
  guint long_index;
} WantsContext;

static void
add_service_wants (const CoObject *object, gpointer data)
{
  WantsContext *context = data;
  EnWaiting waiting = en_queue_waiting (context->core->queue, object->name, EN_LANE_SHORT);

  g_hash_table_insert (context->services, g_strdup (object->name),
                       g_memdup2 (&waiting, sizeof waiting));
}

static guint
count_engines (EnCore *core, const EnEndpoint *like)
{
  const GPtrArray *endpoints = en_fleet_endpoints (core->fleet);
  KnlTime now = knl_kernel_now (core->kernel);
  guint count = 0;

  for (guint i = 0; i < endpoints->len; i++)
    {
      const EnEndpoint *endpoint = g_ptr_array_index (endpoints, i);

      count += en_endpoint_is_for (endpoint, like->label, like->service, FALSE)
               && en_endpoint_usable (endpoint, now);
    }
  return MAX (count, 1);
}

/* Credits of one engine requested for long prompts. */
typedef struct
{
  guint64 tokens;
  guint slots;
  guint64 largest; /* tokens of the largest request, for which a partial grant is of no use */
} LongWant;

static void
add_long_want (WantsContext *context, const char *endpoint, guint64 tokens)
{
  LongWant *want = g_hash_table_lookup (context->long_wants, endpoint);

  if (want == NULL)
    {
      want = g_new0 (LongWant, 1);
      g_hash_table_insert (context->long_wants, g_strdup (endpoint), want);
    }
  want->tokens += tokens;
  want->slots++;
  want->largest = MAX (want->largest, tokens);
}

static void
add_reservation_wants (WantsContext *context, const EnReservation *reservation)
{
  const GPtrArray *endpoints = en_fleet_endpoints (context->core->fleet);

  for (guint i = 0; i < endpoints->len; i++)
    {
      const EnEndpoint *endpoint = g_ptr_array_index (endpoints, i);
      guint64 tokens = en_reservation_missing_tokens (reservation, endpoint->name);

      if (tokens > 0)
        add_long_want (context, endpoint->name, tokens);
    }
}

/*
 * A long prompt needs much of one engine's memory, and a partial grant is of no
 * use: it requests everything from one engine, and from the next one after
 * WANT_ROTATION_INTERVAL. Entries start at different engines. A reservation requests all
 * parts that it lacks at the same time.
 */
static void
add_request_want (EnRequest *request, gpointer data)
{
  WantsContext *context = data;
  EnCore *core = context->core;
  KnlTime waited = knl_kernel_now (core->kernel) - request->queued_at;
  GPtrArray *engines;

  if (!request->need.is_long)
    return;
  if (request->reservation != NULL)
    {
      add_reservation_wants (context, request->reservation);
      return;
    }
  engines =
      en_router_long_engines (core->router, request->label, request->service, core->instance,
                              context->long_index++ + (guint)(waited / WANT_ROTATION_INTERVAL));
  if (engines->len > 0 && context->long_index <= MAX_LONG_WANTS)
    add_long_want (context, ((EnEndpoint *)g_ptr_array_index (engines, 0))->name,
                   request->need.tokens);
  g_ptr_array_unref (engines);
}

/* Requests an engine's share of the waiting short prompts, and at least the largest of them. */
static void
fill_engine_want (const EnEndpoint *endpoint, EnWant *want, gpointer data)
{
  WantsContext *context = data;
  const EnWaiting *waiting =
      endpoint->service != NULL ? g_hash_table_lookup (context->services, endpoint->service) : NULL;
  const LongWant *long_want = g_hash_table_lookup (context->long_wants, endpoint->name);

  if (!en_endpoint_usable (endpoint, knl_kernel_now (context->core->kernel)))
    return;
  if (waiting != NULL && waiting->count > 0)
    {
      guint engines = count_engines (context->core, endpoint);

      want->tokens += MAX (waiting->tokens / engines, waiting->largest);
      want->slots += (waiting->count + engines - 1) / engines;
    }
  if (long_want != NULL)
    {
      want->tokens += long_want->tokens;
      want->slots += long_want->slots;
      want->largest = long_want->largest;
    }
  if (endpoint->capacity_tokens > 0)
    want->tokens = MIN (want->tokens, endpoint->capacity_tokens);
}

static void
send_credit_request (EnCore *core)
{
  WantsContext context = {
    .core = core,
    .services = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free),
    .long_wants = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free),
  };
  Alderturn__CreditRequest *request;

  co_config_foreach (core->config, "service", add_service_wants, &context);
  en_queue_foreach (core->queue, add_request_want, &context);
  request = en_credits_request (core->credits, fill_engine_want, &context);
  if (request->n_wants > 0)
    send_frame (core, ALDERTURN__FRAME__BODY_CREDIT_REQUEST, request);
  en_credits_request_free (request);
  g_hash_table_unref (context.services);
  g_hash_table_unref (context.long_wants);
  core->credits_sent_at = knl_kernel_now (core->kernel);
}

static void
on_credit_timer (gpointer data)
{
  EnCore *core = data;

  core->credit_timer = 0;
  send_credit_request (core);
}

void
en_core_request_credits (EnCore *core)
{
  KnlTime since = knl_kernel_now (core->kernel) - core->credits_sent_at;

  if (core->credit_timer == 0 && en_uplink_is_up (core->uplink))
    core->credit_timer = knl_timer_start (
        core->kernel, MAX (CREDIT_REQUEST_MIN_INTERVAL - since, 0), on_credit_timer, core);
}

typedef struct
{
  EnCore *core;
  GPtrArray *demands;
} ShareContext;

static void
add_demand (const CoObject *object, gpointer data)
{
  ShareContext *context = data;
  Alderturn__ShareReport__Demand *demand = g_new0 (Alderturn__ShareReport__Demand, 1);

  alderturn__share_report__demand__init (demand);
  demand->workspace = object->name;
  demand->served_tokens = en_shares_take_unreported (context->core->shares, object->name);
  demand->waiting_tokens = en_queue_workspace_tokens (context->core->queue, object->name);
  g_ptr_array_add (context->demands, demand);
}

static void
send_shares (EnCore *core)
{
  Alderturn__ShareReport report = ALDERTURN__SHARE_REPORT__INIT;
  ShareContext context = { .core = core, .demands = g_ptr_array_new_with_free_func (g_free) };

  co_config_foreach (core->config, "workspace", add_demand, &context);
  report.entry = core->instance;
  report.incarnation = core->incarnation;
  report.n_demands = context.demands->len;
  report.demands = (Alderturn__ShareReport__Demand **)context.demands->pdata;
  send_frame (core, ALDERTURN__FRAME__BODY_SHARE_REPORT, &report);
  g_ptr_array_unref (context.demands);
}

static void
poll_free (gpointer data)
{
  Poll *poll = data;

  ep_call_cancel (poll->core->client, &poll->call);
  g_free (poll->endpoint);
  g_free (poll);
}

static void
on_polled (const EpReport *report, gpointer data)
{
  Poll *poll = data;
  EnCore *core = poll->core;
  EnEndpoint *endpoint = en_fleet_find (core->fleet, poll->endpoint);

  poll->call = 0;
  if (report != NULL && endpoint != NULL)
    {
      en_fleet_note_incarnation (core->fleet, endpoint->name, report->incarnation);
      en_credits_note_capacity (endpoint, report->capacity_tokens, report->capacity_slots);
      endpoint->needs_answer = FALSE;
      if (report->leaving)
        en_endpoint_note_leaving (endpoint, knl_kernel_now (core->kernel));
      endpoint->load = (EnLoad){
        .used_tokens = report->used_tokens,
        .waiting = report->waiting,
        .prefill_backlog = report->prefill_backlog,
        .at = knl_kernel_now (core->kernel) - report->age,
      };
      endpoint->recent_tokens = 0;
      en_core_wake_queue (core);
    }
  g_hash_table_remove (core->polls, poll->endpoint);
}

/*
 * Polls engines that no grant describes, as capacity and load are only known from
 * grants and reports, and engines that have to answer again after a loss.
 */
static void
poll_engines (EnCore *core)
{
  const GPtrArray *endpoints = en_fleet_endpoints (core->fleet);

  for (guint i = 0; i < endpoints->len; i++)
    {
      const EnEndpoint *endpoint = g_ptr_array_index (endpoints, i);
      gboolean known = endpoint->incarnation != 0 && endpoint->capacity_tokens != 0
                       && !en_credits_is_static (core->credits, endpoint)
                       && !endpoint->needs_answer;
      Poll *poll;

      if (known || endpoint->removed || endpoint->kind != ALDERTURN__MEMBER_KIND__MEMBER_KIND_ENGINE
          || g_hash_table_size (core->polls) >= MAX_POLLS
          || g_hash_table_contains (core->polls, endpoint->name))
        continue;
      poll = g_new0 (Poll, 1);
      poll->core = core;
      poll->endpoint = g_strdup (endpoint->name);
      g_hash_table_insert (core->polls, poll->endpoint, poll);
      poll->call = ep_client_report (core->client, endpoint->address, on_polled, poll);
    }
}

static void
update_gauges (EnCore *core)
{
  const GPtrArray *endpoints = en_fleet_endpoints (core->fleet);
  guint64 granted = 0;
  guint64 used = 0;

  for (guint i = 0; i < endpoints->len; i++)
    {
      const EnEndpoint *endpoint = g_ptr_array_index (endpoints, i);

      if (!en_credits_is_static (core->credits, endpoint))
        granted += endpoint->grant.tokens;
      used += endpoint->used_tokens;
    }
  cm_series_set (core->meters->credits_granted, (double)granted);
  cm_series_set (core->meters->credits_used, (double)used);
  cm_series_set (core->meters->cancels, en_cancels_pending (core->cancels));
  cm_series_set (core->meters->invariants, (double)cm_invariant_failures ());
}

static void
on_tick (gpointer data)
{
  EnCore *core = data;

  core->tick_timer = knl_timer_start (core->kernel, TICK_INTERVAL, on_tick, core);
  core->ticks++;
  send_credit_request (core);
  if (core->ticks % SHARE_REPORT_TICKS == 0)
    send_shares (core);
  if (core->ticks % STATUS_TICKS == 0)
    en_core_send_status (core);
  if (core->ticks % POLL_TICKS == 1)
    poll_engines (core);
  en_core_poll_next_cache (core);
  update_gauges (core);
  /* Static shares become usable and backoffs expire with time, without any event. */
  en_core_wake_queue (core);
}

static void
on_up (gpointer data)
{
  EnCore *core = data;

  pull_config (core);
  en_core_send_status (core);
  send_credit_request (core);
}

static void
on_down (gpointer data)
{
}

static void
apply_config_push (EnCore *core, const Alderturn__ConfigPush *push)
{
  guint64 before = *co_config_revision (core->config);

  if (!co_config_apply (core->config, push))
    pull_config (core);
  if (*co_config_revision (core->config) == before)
    return;
  cm_invariant (*co_config_revision (core->config) > before, "an applied revision only rises");
  cm_log (CM_LOG_INFO, "configuration-applied", "i", "revision",
          (gint64)*co_config_revision (core->config));
  en_core_index_workspaces (core);
  en_fleet_apply_config (core->fleet, core->config);
  en_core_send_status (core);
  en_core_check_declared_state (core);
  en_core_wake_queue (core);
}

static void
apply_member_update (EnCore *core, const Alderturn__MemberUpdate *update)
{
  char **controllers;

  en_fleet_apply_members (core->fleet, update);
  en_fleet_apply_config (core->fleet, core->config);
  core->has_members = core->has_members || update->full;
  controllers = en_fleet_controllers (core->fleet);
  en_uplink_set_others (core->uplink, (const char *const *)controllers);
  g_strfreev (controllers);
  poll_engines (core);
  en_core_wake_queue (core);
}

static void
apply_suspect_update (EnCore *core, const Alderturn__SuspectUpdate *update)
{
  for (size_t i = 0; i < update->n_entries; i++)
    {
      const Alderturn__SuspectEntry *entry = update->entries[i];

      pol_suspects_note_total (core->suspects, entry->fingerprint, entry->crashes,
                               entry->quarantined, (KnlTime)entry->ttl_ms * KNL_MSEC);
    }
}

static void
on_frame (const Alderturn__Frame *frame, gpointer data)
{
  EnCore *core = data;

  switch (frame->body_case)
    {
    case ALDERTURN__FRAME__BODY_CONFIG_PUSH:
      apply_config_push (core, frame->config_push);
      break;
    case ALDERTURN__FRAME__BODY_MEMBER_UPDATE:
      apply_member_update (core, frame->member_update);
      break;
    case ALDERTURN__FRAME__BODY_CREDIT_REPLY:
      en_credits_apply (core->credits, frame->credit_reply);
      en_core_wake_queue (core);
      break;
    case ALDERTURN__FRAME__BODY_IDEM_REPLY:
      en_records_handle_begun (core->records, frame->idem_reply);
      break;
    case ALDERTURN__FRAME__BODY_IDEM_FINISH_REPLY:
      en_records_handle_finished (core->records, frame->idem_finish_reply);
      break;
    case ALDERTURN__FRAME__BODY_SUSPECT_UPDATE:
      apply_suspect_update (core, frame->suspect_update);
      en_core_wake_queue (core);
      break;
    case ALDERTURN__FRAME__BODY_SHARE_UPDATE:
      en_shares_apply (core->shares, frame->share_update);
      break;
    case ALDERTURN__FRAME__BODY_HEARTBEAT:
      if (frame->heartbeat->config_revision > *co_config_revision (core->config))
        pull_config (core);
      break;
    default:
      break;
    }
}

static const EnUplinkEvents uplink_events = {
  .on_up = on_up,
  .on_down = on_down,
  .on_frame = on_frame,
};

void
en_core_start_control (EnCore *core)
{
  core->polls = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, poll_free);
  core->tick_timer = knl_timer_start (core->kernel, TICK_INTERVAL, on_tick, core);
  en_uplink_set_events (core->uplink, &uplink_events, core);
}

void
en_core_stop_control (EnCore *core)
{
  knl_timer_stop (core->kernel, &core->tick_timer);
  knl_timer_stop (core->kernel, &core->credit_timer);
  g_hash_table_unref (core->polls);
}
