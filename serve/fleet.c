#include "serve/fleet.h"

#include <string.h>
#include <xxhash.h>

#include "common/log.h"
#include "serve/departed.h"
#include "serve/fleet_internal.h"

/* From PREFILL_SWEEP_THRESHOLD registered prefills on, those older than SV_PREFILL_TTL, whose end
 * was never reported, are removed. That is done at most once in SWEEP_INTERVAL: under load most are
 * younger, and every new prefill would scan all of them. */
#define PREFILL_SWEEP_THRESHOLD 1024
#define SWEEP_INTERVAL          (SV_PREFILL_TTL / 4)

/* Maximum number of endpoints that share the prefill of one prompt. */
#define MAX_PREFILL_ENDPOINTS 17

/* The endpoints where the prefill of a prompt is placed. */
typedef struct
{
  guint64 prompt;
  KnlTime placed_at;
  guint n;
  guint64 keys[MAX_PREFILL_ENDPOINTS];
} PlacedPrefill;

struct SvFleet
{
  KnlKernel *kernel;
  KnlTime leave_grace;
  KnlTime list_lag;     /* see sv_fleet_set_list_lag() */
  GHashTable *by_id;    /* id -> SvEndpoint, holds a reference */
  GHashTable *by_key;   /* &key -> SvEndpoint */
  GHashTable *services; /* name -> GPtrArray of SvEndpoint by key */
  GPtrArray *all;
  GHashTable *prefills; /* prompt -> PlacedPrefill */
  KnlTime swept_at;     /* when `prefills` was last swept */
  GHashTable *unlisted; /* ids not yet seen in the list being applied; NULL: no list is */
  guint known;          /* see sv_fleet_set_instances() */
  guint reachable;
  SvColdRules *cold_rules;
  guint64 seed; /* random, differs between instances */
  SvEvacuations *evacuations;
  SvDeparted *departed;
  SvReplacedFunc on_replaced;
  gpointer on_replaced_data;
  SvFleetPrefillFunc on_prefill;
  gpointer on_prefill_data;
};

SvFleet *
sv_fleet_new (KnlKernel *kernel, KnlTime leave_grace)
{
  SvFleet *self = g_new0 (SvFleet, 1);

  self->kernel = kernel;
  self->leave_grace = leave_grace;
  self->by_id =
      g_hash_table_new_full (g_str_hash, g_str_equal, NULL, (GDestroyNotify)sv_endpoint_unref);
  self->by_key = g_hash_table_new (g_int64_hash, g_int64_equal);
  self->services =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
  self->prefills = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  self->all = g_ptr_array_new ();
  self->known = self->reachable = 1;
  self->cold_rules = sv_cold_rules_new (knl_kernel_now (kernel));
  self->evacuations = sv_evacuations_new (kernel, &sv_fleet_zone_events, self);
  self->departed = sv_departed_new (kernel);
  self->seed = g_rand_int (knl_kernel_rand (kernel));
  return self;
}

void
sv_fleet_free (SvFleet *self)
{
  if (self == NULL)
    return;
  if (self->unlisted != NULL)
    g_hash_table_unref (self->unlisted);
  sv_evacuations_free (self->evacuations);
  sv_departed_free (self->departed);
  g_hash_table_unref (self->prefills);
  g_ptr_array_unref (self->all);
  g_hash_table_unref (self->services);
  g_hash_table_unref (self->by_key);
  g_hash_table_unref (self->by_id);
  sv_cold_rules_unref (self->cold_rules);
  g_free (self);
}

static int
compare_keys (gconstpointer a, gconstpointer b)
{
  const SvEndpoint *x = *(SvEndpoint *const *)a;
  const SvEndpoint *y = *(SvEndpoint *const *)b;

  return x->key < y->key ? -1 : x->key > y->key;
}

static void
drop (SvFleet *self, SvEndpoint *endpoint)
{
  GPtrArray *service = g_hash_table_lookup (self->services, endpoint->service);

  pol_pace_leave (&endpoint->pace);
  if (service != NULL && g_ptr_array_remove (service, endpoint) && service->len == 0)
    g_hash_table_remove (self->services, endpoint->service);
  g_ptr_array_remove (self->all, endpoint);
  g_hash_table_remove (self->by_key, &endpoint->key);
  g_hash_table_remove (self->by_id, endpoint->id);
}

static PolPaceGroup *
pace_group (const GPtrArray *service)
{
  return ((SvEndpoint *)g_ptr_array_index (service, 0))->pace.group;
}

static SvEndpoint *
add (SvFleet *self, const SvEndpointEntry *entry)
{
  SvEndpoint *endpoint = g_new0 (SvEndpoint, 1);
  GPtrArray *service = g_hash_table_lookup (self->services, entry->service);

  endpoint->refs = 1;
  endpoint->id = g_strdup (entry->id);
  endpoint->service = g_strdup (entry->service);
  endpoint->address = g_strdup (entry->address);
  endpoint->start = entry->start;
  /* The key depends on the start, so that reports about an earlier start aren't applied to this
   * one. */
  endpoint->key = XXH64 (entry->id, strlen (entry->id), entry->start);
  endpoint->advertised_leaving_at = sv_departed_time (self->departed, endpoint->key);
  sv_prefills_init (&endpoint->prefills);
  pol_limit_init (&endpoint->limit);
  pol_pace_init (&endpoint->pace);
  endpoint->logged_factor = 1;
  endpoint->announced_rate = POL_NO_LIMIT;
  endpoint->cold.rules = sv_cold_rules_ref (self->cold_rules);
  endpoint->reported_sends = g_array_new (FALSE, FALSE, sizeof (SvReportedSends));
  endpoint->peers = g_array_new (FALSE, FALSE, sizeof (SvPeerLoad));
  if (service == NULL)
    {
      service = g_ptr_array_new ();
      g_hash_table_insert (self->services, g_strdup (entry->service), service);
    }
  pol_pace_join (&endpoint->pace, service->len > 0 ? pace_group (service) : NULL);
  g_ptr_array_add (service, endpoint);
  g_ptr_array_sort (service, compare_keys);
  g_ptr_array_add (self->all, endpoint);
  g_hash_table_insert (self->by_key, &endpoint->key, endpoint);
  g_hash_table_insert (self->by_id, endpoint->id, endpoint);
  return endpoint;
}

void
sv_fleet_on_replaced (SvFleet *self, SvReplacedFunc func, gpointer data)
{
  self->on_replaced = func;
  self->on_replaced_data = data;
}

static gboolean
is_same_start (const SvEndpoint *endpoint, const SvEndpointEntry *entry)
{
  if (strcmp (endpoint->service, entry->service) != 0
      || strcmp (endpoint->address, entry->address) != 0)
    return FALSE;
  return entry->start == 0 || entry->start == endpoint->start;
}

/*
 * A restarted endpoint may keep its id but has lost all its state. If it were
 * treated as the same one, it would seem busy with prefills and contexts that no
 * longer exist, be backed off for losses of its earlier start, and its requests in
 * flight would wait seconds for the silence timeout.
 */
static void
replace (SvFleet *self, SvEndpoint *endpoint)
{
  sv_endpoint_ref (endpoint);
  drop (self, endpoint);
  endpoint->is_replaced = TRUE;
  if (self->on_replaced != NULL)
    self->on_replaced (endpoint, self->on_replaced_data);
  sv_endpoint_unref (endpoint);
}

void
sv_fleet_update (SvFleet *self, const SvEndpointEntry *entry)
{
  SvEndpoint *endpoint = g_hash_table_lookup (self->by_id, entry->id);

  if (self->unlisted != NULL)
    g_hash_table_remove (self->unlisted, entry->id);
  /* A list may have been read before a change that has been applied already. */
  if (endpoint != NULL
      && sv_position_compare (entry->revision, endpoint->revision) == SV_POSITION_OLDER)
    return;
  if (endpoint != NULL && !is_same_start (endpoint, entry))
    {
      replace (self, endpoint);
      endpoint = NULL;
    }
  if (endpoint == NULL)
    endpoint = add (self, entry);
  endpoint->revision = entry->revision;
  g_free (endpoint->zone);
  endpoint->zone = g_strdup (entry->zone);
  endpoint->is_evacuated = sv_evacuations_has (self->evacuations, endpoint->zone);
  endpoint->slots = entry->slots;
  endpoint->is_unlisted = FALSE;
  /* The list may lag behind what the endpoint advertised, for as long as the store is unavailable.
   */
  if (endpoint->advertised_leaving_at > 0)
    sv_endpoint_begin_leaving (endpoint, endpoint->advertised_leaving_at);
  else if (entry->draining)
    sv_endpoint_begin_leaving (endpoint, knl_kernel_now (self->kernel) - self->list_lag);
  else
    endpoint->state = SV_ENDPOINT_READY;
  sv_endpoint_note_cold_row (endpoint, entry->cold_left, entry->revision, self->list_lag,
                             knl_kernel_now (self->kernel));
}

/*
 * While the store is unavailable, rows expire although their endpoints are alive;
 * they are back within about two seconds. Dropping the endpoints at once would
 * leave nothing to send to, so they are kept as a last resort for the leave grace.
 */
void
sv_fleet_remove (SvFleet *self, const char *id)
{
  SvEndpoint *endpoint = g_hash_table_lookup (self->by_id, id);

  if (endpoint == NULL)
    return;
  sv_endpoint_begin_leaving (endpoint, knl_kernel_now (self->kernel) - self->list_lag);
  endpoint->is_unlisted = TRUE;
  sv_fleet_sweep (self);
}

void
sv_fleet_sweep (SvFleet *self)
{
  for (guint i = self->all->len; i > 0; i--)
    {
      SvEndpoint *endpoint = g_ptr_array_index (self->all, i - 1);

      if (!endpoint->is_unlisted || !sv_endpoint_has_left (self, endpoint))
        continue;
      if (endpoint->advertised_leaving_at > 0)
        sv_departed_note (self->departed, endpoint->key, endpoint->advertised_leaving_at);
      drop (self, endpoint);
    }
}

static void
update_cold (SvFleet *self)
{
  KnlTime now = knl_kernel_now (self->kernel);

  for (guint i = 0; i < self->all->len; i++)
    sv_endpoint_update_cold (g_ptr_array_index (self->all, i), now);
}

void
sv_fleet_note_zone_restored (SvFleet *self, const char *zone, SvPosition revision)
{
  sv_cold_rules_note_zone_restored (self->cold_rules, zone, revision,
                                    knl_kernel_now (self->kernel));
  update_cold (self);
}

void
sv_fleet_set_members (SvFleet *self, const SvMembers *members)
{
  sv_cold_rules_set_members (self->cold_rules, members);
  update_cold (self);
}

void
sv_fleet_set_cold_bounds (SvFleet *self, const SvBounds *bounds)
{
  sv_cold_rules_set_bounds (self->cold_rules, bounds);
  update_cold (self);
}

void
sv_fleet_set_cold_config (SvFleet *self, const SvConfig *config)
{
  sv_cold_rules_set_config (self->cold_rules, config);
  update_cold (self);
}

SvEvacuations *
sv_fleet_evacuations (const SvFleet *self)
{
  return self->evacuations;
}

void
sv_fleet_set_list_lag (SvFleet *self, KnlTime lag)
{
  self->list_lag = lag;
}

void
sv_fleet_begin_list (SvFleet *self)
{
  if (self->unlisted == NULL)
    self->unlisted = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; i < self->all->len; i++)
    g_hash_table_add (self->unlisted,
                      g_strdup (((SvEndpoint *)g_ptr_array_index (self->all, i))->id));
}

void
sv_fleet_end_list (SvFleet *self)
{
  GHashTableIter iter;
  gpointer id;

  g_hash_table_iter_init (&iter, self->unlisted);
  while (g_hash_table_iter_next (&iter, &id, NULL))
    sv_fleet_remove (self, id);
  g_clear_pointer (&self->unlisted, g_hash_table_unref);
}

const GPtrArray *
sv_fleet_service (const SvFleet *self, const char *service)
{
  return g_hash_table_lookup (self->services, service);
}

SvEndpoint *
sv_fleet_by_id (const SvFleet *self, const char *id)
{
  return g_hash_table_lookup (self->by_id, id);
}

SvEndpoint *
sv_fleet_by_key (const SvFleet *self, guint64 key)
{
  return g_hash_table_lookup (self->by_key, &key);
}

static gboolean
is_expired (gpointer prompt, gpointer value, gpointer now)
{
  return *(KnlTime *)now - ((PlacedPrefill *)value)->placed_at > SV_PREFILL_TTL;
}

static void
record_prefill (SvFleet *self, guint64 prompt, const guint64 *keys, guint n)
{
  PlacedPrefill *placed = g_new0 (PlacedPrefill, 1);
  KnlTime now = knl_kernel_now (self->kernel);

  if (g_hash_table_size (self->prefills) >= PREFILL_SWEEP_THRESHOLD
      && now - self->swept_at >= SWEEP_INTERVAL)
    {
      self->swept_at = now;
      g_hash_table_foreach_remove (self->prefills, is_expired, &now);
    }
  placed->prompt = prompt;
  placed->placed_at = now;
  placed->n = MIN (n, MAX_PREFILL_ENDPOINTS);
  memcpy (placed->keys, keys, placed->n * sizeof *keys);
  g_hash_table_replace (self->prefills, &placed->prompt, placed);
}

void
sv_fleet_add_prefill (SvFleet *self, const SvPrefill *prefill, const guint64 *keys, guint n)
{
  KnlTime now = knl_kernel_now (self->kernel);

  /* Duplicates are normal: two relays may forward it for a short time, and a newly started instance
   * is sent all prefills. */
  if (g_hash_table_contains (self->prefills, &prefill->prompt))
    return;
  for (guint i = 0; i < n; i++)
    {
      SvEndpoint *endpoint = sv_fleet_by_key (self, keys[i]);
      SvPrefill part = *prefill;

      if (endpoint == NULL)
        continue;
      part.declared = prefill->length;
      part.length = (KnlTime)((double)prefill->length * endpoint->pace.factor);
      sv_prefills_add (&endpoint->prefills, &part, now);
    }
  record_prefill (self, prefill->prompt, keys, n);
  if (self->on_prefill != NULL)
    self->on_prefill (prefill, keys, n, self->on_prefill_data);
}

void
sv_fleet_on_prefill (SvFleet *self, SvFleetPrefillFunc func, gpointer data)
{
  self->on_prefill = func;
  self->on_prefill_data = data;
}

void
sv_fleet_end_prefill (SvFleet *self, guint64 prompt)
{
  const PlacedPrefill *placed = g_hash_table_lookup (self->prefills, &prompt);
  KnlTime now = knl_kernel_now (self->kernel);

  if (placed == NULL)
    return;
  for (guint i = 0; i < placed->n; i++)
    {
      SvEndpoint *endpoint = sv_fleet_by_key (self, placed->keys[i]);

      if (endpoint != NULL)
        sv_prefills_end (&endpoint->prefills, prompt, now);
    }
  g_hash_table_remove (self->prefills, &prompt);
}

void
sv_fleet_each_prefill (SvFleet *self, SvFleetPrefillFunc func, gpointer data)
{
  KnlTime now = knl_kernel_now (self->kernel);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, self->prefills);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const PlacedPrefill *placed = value;
      SvEndpoint *first = placed->n > 0 ? sv_fleet_by_key (self, placed->keys[0]) : NULL;
      SvPrefill prefill;

      if (first != NULL && sv_prefills_find (&first->prefills, placed->prompt, now, &prefill)
          && prefill.until_ended)
        {
          prefill.length = prefill.declared;
          func (&prefill, placed->keys, placed->n, data);
        }
    }
}

void
sv_fleet_set_instances (SvFleet *self, guint known, guint reachable)
{
  self->known = MAX (known, 1);
  self->reachable = CLAMP (reachable, 1, self->known);
}

/* Pseudo-random number in [0, 1) that changes with each request counted against the limit; 0 if
 * this is the only instance. */
static double
limit_jitter (const SvFleet *fleet, const SvEndpoint *endpoint)
{
  guint64 drawn[3] = { fleet->seed, endpoint->key, endpoint->limit.n_charged };

  return fleet->known == 1 ? 0 : (double)(XXH64 (drawn, sizeof drawn, 0) >> 11) / 0x1p53;
}

static KnlTime
limit_wait (const SvFleet *fleet, SvEndpoint *self, KnlTime now)
{
  PolLimitShare share;

  /* Called for every endpoint and request, so the common case returns early. */
  if (!pol_limit_is_advertised (&self->limit))
    return 0;
  share = (PolLimitShare){ .fraction = (double)fleet->reachable / fleet->known,
                           .spread = limit_jitter (fleet, self) };
  return pol_limit_wait (&self->limit, &share, now);
}

KnlTime
sv_endpoint_wait_time (const SvFleet *fleet, SvEndpoint *self, KnlTime now)
{
  KnlTime wait = MAX (self->retry_after_until - now, limit_wait (fleet, self, now));

  return MAX (wait, sv_endpoint_cold_wait (self, now));
}

const GPtrArray *
sv_fleet_all (const SvFleet *self)
{
  return self->all;
}

gboolean
sv_endpoint_has_left (const SvFleet *fleet, const SvEndpoint *self)
{
  return self->state == SV_ENDPOINT_LEAVING
         && knl_kernel_now (fleet->kernel) - self->leaving_since > fleet->leave_grace;
}

gboolean
sv_endpoint_is_last_resort (const SvFleet *fleet, const SvEndpoint *self)
{
  return !sv_endpoint_has_left (fleet, self);
}
