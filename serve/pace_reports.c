#include "serve/pace_reports.h"

#include "common/log.h"
#include "policy/proof.h"
#include "serve/pace.h"

/* A prompt is late from this multiple of the expected time on, and by at least MIN_LATENESS:
 * requests that other instances place at the same moment delay it by less. */
#define LATE_FACTOR  1.5
#define MIN_LATENESS (100 * KNL_MSEC)

/* Age up to which an estimate clears an endpoint of a late prompt: that of samples. */
#define SUSPECT_AGE (4 * KNL_SEC)

/* Age up to which an estimate is good enough while some endpoint of the service is slow, and the
 * same for a slow endpoint, to notice when it no longer is. */
#define NORMAL_AGE (10 * KNL_SEC)
#define SLOW_AGE   (2 * KNL_SEC)

/* Shortest time between two calls of this instance to one endpoint. */
#define ASK_INTERVAL (2 * KNL_SEC)

/* Most calls of this instance in one second: as many as one prompt has parts. */
#define MAX_CALLS_PER_SECOND (SV_MAX_HELPERS + 1)

/* Time between two checks of a service. In each of them one instance on average asks an endpoint
 * that is due; the result reaches the others before the next check. */
#define CHECK_INTERVAL (100 * KNL_MSEC)

/* A call without an answer after this time counts as lost. */
#define CALL_TIMEOUT    (800 * KNL_MSEC)
#define CONNECT_TIMEOUT (300 * KNL_MSEC)
#define MAX_IDLE        (1 * KNL_SEC)

typedef struct
{
  SvPaceReports *reports;
  SvEndpoint *endpoint;
  HtExchange *exchange;
  KnlTimerId timer;
} Call;

struct SvPaceReports
{
  SvPaceReportsParts parts;
  GPtrArray *calls;                       /* Call */
  KnlTime begun_at[MAX_CALLS_PER_SECOND]; /* of the newest calls, as a ring */
  guint n_begun;                          /* index of the oldest */
  GHashTable *checked_at;                 /* service -> KnlTime of the last check */
};

static void
call_free (gpointer data)
{
  Call *self = data;

  knl_timer_stop (self->reports->parts.kernel, &self->timer);
  if (self->exchange != NULL)
    ht_exchange_cancel (self->exchange);
  self->endpoint->is_pace_asked = FALSE;
  sv_endpoint_unref (self->endpoint);
  g_free (self);
}

SvPaceReports *
sv_pace_reports_new (const SvPaceReportsParts *parts)
{
  SvPaceReports *self = g_new0 (SvPaceReports, 1);

  self->parts = *parts;
  self->calls = g_ptr_array_new_with_free_func (call_free);
  self->checked_at = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  for (guint i = 0; i < MAX_CALLS_PER_SECOND; i++)
    self->begun_at[i] = -KNL_NEVER / 2;
  return self;
}

void
sv_pace_reports_free (SvPaceReports *self)
{
  g_ptr_array_unref (self->calls);
  g_hash_table_unref (self->checked_at);
  g_free (self);
}

gboolean
sv_pace_reports_is_late (const SvPlacement *placement, KnlTime waited)
{
  KnlTime expected = placement->expected;

  return placement->n_helpers > 0 && (double)waited >= LATE_FACTOR * (double)expected
         && waited - expected >= MIN_LATENESS;
}

/* Calls to endpoints that advertise a limit would count toward it. */
static gboolean
may_ask (SvEndpoint *endpoint, KnlTime now)
{
  if (endpoint->is_evacuated || endpoint->is_replaced || !sv_endpoint_is_usable (endpoint, now))
    return FALSE;
  if (sv_endpoint_is_cold (endpoint, now) || pol_limit_is_advertised (&endpoint->limit)
      || now < endpoint->retry_after_until)
    return FALSE;
  return !endpoint->is_pace_asked
         && (endpoint->pace_asked_at == 0 || now - endpoint->pace_asked_at >= ASK_INTERVAL);
}

static KnlTime
longest_age (const SvEndpoint *endpoint, SvPaceReason reason)
{
  if (reason == SV_PACE_LATE_PROMPT)
    return SUSPECT_AGE;
  return endpoint->pace.factor > 1 ? SLOW_AGE : NORMAL_AGE;
}

gboolean
sv_pace_reports_is_due (SvEndpoint *endpoint, SvPaceReason reason, KnlTime now)
{
  return may_ask (endpoint, now)
         && now - pol_pace_newest (&endpoint->pace) > longest_age (endpoint, reason);
}

static void
end_call (Call *self, const char *result)
{
  SvPaceReports *reports = self->reports;

  sv_meters_note_pace_report (reports->parts.meters, self->endpoint->service, result);
  g_ptr_array_remove_fast (reports->calls, self);
}

/* The result of the call, for the metrics. */
static const char *
apply_answer (const Call *self, const HtMessage *answer)
{
  const SvPaceReportsParts *parts = &self->reports->parts;
  SvEndpoint *endpoint = self->endpoint;
  double slowdown;

  if (answer->status == SV_STATUS_MISDIRECTED || endpoint->is_replaced)
    return "misdirected";
  if (answer->status != 200)
    return "refused";
  if (!parts->dialect->klass->read_pace (parts->dialect, answer->body->str, answer->body->len,
                                         &slowdown))
    return "unreadable";
  sv_pace_note_statement (endpoint, slowdown, knl_kernel_now (parts->kernel));
  parts->link->klass->load_changed (parts->link);
  cm_log (CM_LOG_INFO, "endpoint-pace-stated", "s", "endpoint", endpoint->id, "f", "slowdown",
          slowdown);
  return slowdown < POL_PACE_MIN_SLOW ? "normal" : "slow";
}

static HtHeadVerdict
on_head (HtExchange *exchange, HtMessage *answer, gpointer data)
{
  const Call *self = data;
  SvDialect *dialect = self->reports->parts.dialect;
  SvReply reply;

  dialect->klass->read_reply (dialect, answer, &reply);
  return pol_answer_owner (reply.id, NULL, TRUE) == POL_ANSWER_OWN ? HT_HEAD_ACCEPT : HT_HEAD_SKIP;
}

static void
on_done (HtExchange *exchange, HtMessage *answer, gpointer data)
{
  Call *self = data;

  self->exchange = NULL;
  end_call (self, apply_answer (self, answer));
}

static void
on_failed (HtExchange *exchange, HtFailure failure, gpointer data)
{
  Call *self = data;

  self->exchange = NULL;
  end_call (self, "failed");
}

static const HtExchangeEvents call_events = {
  .head = on_head,
  .done = on_done,
  .failed = on_failed,
};

static void
on_call_limit (gpointer data)
{
  Call *self = data;

  self->timer = 0;
  end_call (self, "timeout");
}

static void
send_call (Call *self)
{
  const SvPaceReportsParts *parts = &self->reports->parts;
  GString *head = parts->dialect->klass->write_pace_call (parts->dialect, self->endpoint);
  HtExchangeRequest request = {
    .address = self->endpoint->address,
    .head = head->str,
    .connect_timeout = CONNECT_TIMEOUT,
    .max_idle = MAX_IDLE,
  };

  self->timer = knl_timer_start (parts->kernel, CALL_TIMEOUT, on_call_limit, self);
  self->exchange = ht_client_send (parts->client, &request, &call_events, self);
  g_string_free (head, TRUE);
}

/* Counts a call that begins now. FALSE: there were too many in the last second. */
static gboolean
take_call (SvPaceReports *self, KnlTime now)
{
  KnlTime *oldest = &self->begun_at[self->n_begun];

  if (now - *oldest < KNL_SEC)
    return FALSE;
  *oldest = now;
  self->n_begun = (self->n_begun + 1) % MAX_CALLS_PER_SECOND;
  return TRUE;
}

static void
ask_if_due (SvPaceReports *self, SvEndpoint *endpoint, SvPaceReason reason)
{
  KnlTime now = knl_kernel_now (self->parts.kernel);
  Call *call;

  if (!sv_pace_reports_is_due (endpoint, reason, now) || !take_call (self, now))
    return;
  endpoint->is_pace_asked = TRUE;
  endpoint->pace_asked_at = now;
  call = g_new0 (Call, 1);
  call->reports = self;
  call->endpoint = sv_endpoint_ref (endpoint);
  g_ptr_array_add (self->calls, call);
  send_call (call);
}

void
sv_pace_reports_ask_suspects (SvPaceReports *self, const SvPlacement *placement)
{
  /* Most late prompts wait for a helper: the first endpoint's passes give samples. */
  for (guint i = 0; i < placement->n_helpers; i++)
    ask_if_due (self, placement->helpers[i], SV_PACE_LATE_PROMPT);
  ask_if_due (self, placement->first, SV_PACE_LATE_PROMPT);
}

/* Whether the service's next check is due; notes the time if it is. */
static gboolean
begin_check (SvPaceReports *self, const char *service, KnlTime now)
{
  KnlTime *checked_at = g_hash_table_lookup (self->checked_at, service);

  if (checked_at == NULL)
    {
      checked_at = g_new (KnlTime, 1);
      g_hash_table_insert (self->checked_at, g_strdup (service), checked_at);
    }
  else if (now - *checked_at < CHECK_INTERVAL)
    return FALSE;
  *checked_at = now;
  return TRUE;
}

void
sv_pace_reports_check (SvPaceReports *self, const char *service)
{
  const SvPaceReportsParts *parts = &self->parts;
  const GPtrArray *endpoints = sv_fleet_service (parts->fleet, service);
  guint n_instances = MAX (parts->link->klass->n_instances (parts->link), 1);

  if (endpoints == NULL || !begin_check (self, service, knl_kernel_now (parts->kernel)))
    return;
  for (guint i = 0; i < endpoints->len; i++)
    {
      if (g_rand_double (knl_kernel_rand (parts->kernel)) * n_instances < 1)
        ask_if_due (self, g_ptr_array_index (endpoints, i), SV_PACE_SLOW_PEERS);
    }
}
