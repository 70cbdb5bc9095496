/**
 * The retry budgets of services. The bound applies to arrivals at endpoints, and a send that is
 * withdrawn has not arrived for certain: an endpoint that is paused, or a path that holds bytes
 * back, delivers it when it goes on, together with all others of the pause. The retry that such a
 * send costs is held until the endpoint has been heard from.
 */

#include "common/log.h"
#include "serve/core_internal.h"

/* Fractions of this instance's share of a service's retry budget that it spends; see PolBudgetRule.
 * Together they leave a margin for requests that arrive after the window that they were sent in. */
#define RETRIES_USED_FRACTION     0.75
#define RETRIES_SETTLING_FRACTION 0.2

/* An endpoint that is listed no more is taken for gone after this time without a sign of life. Its
 * row is removed within seconds of silence, also if it goes on later. */
#define UNLISTED_TTL (60 * KNL_SEC)

/* Sends to one endpoint that it may still read. Their number is bounded by the budget. */
typedef struct
{
  guint64 endpoint; /* its key */
  PolBudget *budget;
  guint n;
  KnlTime since; /* when the last of them was withdrawn */
} Unread;

void
sv_retries_init (SvCore *self)
{
  self->budgets = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  self->unread = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
}

void
sv_retries_set_rule (SvCore *self)
{
  self->bounds.retries.used_fraction = RETRIES_USED_FRACTION;
  self->bounds.retries.settle_time = self->bounds.retries.window;
  self->bounds.retries.settling_fraction = RETRIES_SETTLING_FRACTION;
}

void
sv_retries_clear (SvCore *self)
{
  g_hash_table_unref (self->unread);
  g_hash_table_unref (self->budgets);
}

static PolBudget *
budget_of (SvCore *self, const char *service)
{
  PolBudget *budget = g_hash_table_lookup (self->budgets, service);

  if (budget == NULL)
    {
      budget = g_new0 (PolBudget, 1);
      g_hash_table_insert (self->budgets, g_strdup (service), budget);
    }
  return budget;
}

static void
note_arrivals (SvCore *self, PolBudget *budget, guint n)
{
  pol_budget_note_arrival (budget, &self->bounds.retries, n, knl_kernel_now (self->parts.kernel));
}

static gboolean
drop_if_gone (gpointer key, gpointer value, gpointer data)
{
  SvCore *self = data;
  Unread *unread = value;

  if (sv_fleet_by_key (self->parts.fleet, unread->endpoint) != NULL
      || knl_kernel_now (self->parts.kernel) - unread->since < UNLISTED_TTL)
    return FALSE;
  note_arrivals (self, unread->budget, unread->n);
  return TRUE;
}

void
sv_core_note_request (SvCore *self, const char *service)
{
  pol_budget_note_request (budget_of (self, service), &self->bounds.retries,
                           knl_kernel_now (self->parts.kernel));
}

/* The budget begins once the number of instances is known, and not before this process. */
static SvShare
share_budget (SvCore *self, PolBudget *budget)
{
  SvPeerLink *link = self->parts.link;
  SvShare share = link->klass->share (link);

  g_hash_table_foreach_remove (self->unread, drop_if_gone, self);
  budget->begun_at = MAX (self->begun_at, share.known_since);
  return share;
}

gboolean
sv_request_has_retry_left (SvRequest *self)
{
  SvCore *core = self->core;
  PolBudget *budget = budget_of (core, self->service->name);
  SvShare share = share_budget (core, budget);

  return pol_budget_allows (budget, &core->bounds.retries, share.instances, sv_request_now (self));
}

/* Has the endpoint of the last send hold a retry that is held already. */
static void
add_unread (SvRequest *self)
{
  SvCore *core = self->core;
  guint64 key = self->placement.first->key;
  Unread *unread = g_hash_table_lookup (core->unread, &key);

  if (unread == NULL)
    {
      unread = g_new0 (Unread, 1);
      *unread = (Unread){ .endpoint = key, .budget = budget_of (core, self->service->name) };
      g_hash_table_insert (core->unread, &unread->endpoint, unread);
    }
  unread->n++;
  unread->since = sv_request_now (self);
  self->is_unread = FALSE;
}

static void
log_refused (const SvRequest *self, const PolBudget *budget, const SvShare *share)
{
  cm_log (CM_LOG_INFO, "retry-refused", "s", "request", self->params.id, "s", "service",
          self->service->name, "i", "instances", (gint64)share->instances, "i", "held",
          (gint64)budget->held, "b", "settled", budget->is_settled, "i", "counted-us",
          share->known_since != KNL_NEVER ? sv_request_now (self) - share->known_since
                                          : (gint64)-1);
}

gboolean
sv_request_spend_retry (SvRequest *self)
{
  SvCore *core = self->core;
  PolBudget *budget = budget_of (core, self->service->name);
  SvShare share = share_budget (core, budget);

  sv_request_note_arrival (self);
  if (!pol_budget_take (budget, &core->bounds.retries, share.instances, sv_request_now (self)))
    {
      log_refused (self, budget, &share);
      return FALSE;
    }
  if (self->is_unread)
    add_unread (self);
  else
    self->holds_retry = TRUE;
  return TRUE;
}

void
sv_request_note_arrival (SvRequest *self)
{
  if (!self->holds_retry)
    return;
  self->holds_retry = FALSE;
  note_arrivals (self->core, budget_of (self->core, self->service->name), 1);
}

void
sv_request_note_unread (SvRequest *self)
{
  self->is_unread = TRUE;
  if (!self->holds_retry)
    return;
  self->holds_retry = FALSE;
  add_unread (self);
}

/* Each send but the one that arrives first is a repeat. */
void
sv_request_end_retries (SvRequest *self)
{
  if (self->service == NULL)
    return;
  sv_request_note_arrival (self);
  if (!self->is_unread || self->sends < 2)
    return;
  pol_budget_hold (budget_of (self->core, self->service->name));
  add_unread (self);
}

void
sv_request_note_read (const SvRequest *self)
{
  SvCore *core = self->core;
  guint64 key = self->placement.first->key;
  const Unread *unread = g_hash_table_lookup (core->unread, &key);

  if (unread == NULL || knl_kernel_earliest_arrival (core->parts.kernel) <= unread->since)
    return;
  note_arrivals (core, unread->budget, unread->n);
  g_hash_table_remove (core->unread, &key);
}
