#include "entry/fleet.h"

#include <string.h>

#include "entry/subset.h"
#include "common/log.h"
#include "controller/placement.h"

/*
 * The request itself may have caused the failure, so the backoff is short: at most
 * a few seconds, much less than an operator needs to react.
 */
static const PolHealthRule health_rule = { .first = 200 * KNL_MSEC, .limit = 5 * KNL_SEC };

/*
 * An engine that left may come back under the same name. After this time it is
 * tried again; if it is still leaving, that costs one refused attempt.
 */
#define LEAVING_TTL (10 * KNL_SEC)

struct EnFleet
{
  KnlKernel *kernel;
  GHashTable *by_name; /* EnEndpoint */
  GPtrArray *endpoints;
  GPtrArray *entries;      /* EnPeer */
  GHashTable *controllers; /* name -> address */
  EnRestartFunc on_restart;
  gpointer restart_data;
  char *name; /* of this entry; NULL: it uses all engines, no subset */
  char *zone;
};

static void
endpoint_free (gpointer data)
{
  EnEndpoint *endpoint = data;

  g_free (endpoint->name);
  g_free (endpoint->address);
  g_free (endpoint->zone);
  g_free (endpoint->label);
  g_free (endpoint->service);
  g_hash_table_unref (endpoint->prefixes);
  g_free (endpoint);
}

static void
peer_free (gpointer data)
{
  EnPeer *peer = data;

  g_free (peer->name);
  g_free (peer->address);
  g_free (peer->zone);
  g_free (peer);
}

EnFleet *
en_fleet_new (KnlKernel *kernel)
{
  EnFleet *self = g_new0 (EnFleet, 1);

  self->kernel = kernel;
  self->by_name = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, endpoint_free);
  self->endpoints = g_ptr_array_new ();
  self->entries = g_ptr_array_new_with_free_func (peer_free);
  self->controllers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return self;
}

void
en_fleet_set_self (EnFleet *self, const char *name, const char *zone)
{
  self->name = g_strdup (name);
  self->zone = g_strdup (zone);
}

void
en_fleet_free (EnFleet *self)
{
  if (self == NULL)
    return;
  g_ptr_array_unref (self->endpoints);
  g_hash_table_unref (self->by_name);
  g_free (self->name);
  g_free (self->zone);
  g_ptr_array_unref (self->entries);
  g_hash_table_unref (self->controllers);
  g_free (self);
}

void
en_fleet_on_restart (EnFleet *self, EnRestartFunc func, gpointer data)
{
  self->on_restart = func;
  self->restart_data = data;
}

static int
compare_endpoints (gconstpointer a, gconstpointer b)
{
  return strcmp ((*(EnEndpoint *const *)a)->name, (*(EnEndpoint *const *)b)->name);
}

static int
compare_peers (gconstpointer a, gconstpointer b)
{
  return strcmp ((*(EnPeer *const *)a)->name, (*(EnPeer *const *)b)->name);
}

static void
replace_text (char **field, const char *text)
{
  if (g_strcmp0 (*field, text) == 0)
    return;
  g_free (*field);
  *field = g_strdup (text);
}

/*
 * A restarted engine has lost its memory: everything charged there is free, and
 * charges of the old incarnation return nothing. Otherwise the entry would count
 * memory as used that no request holds.
 */
static void
set_incarnation (EnFleet *self, EnEndpoint *endpoint, guint64 incarnation)
{
  guint64 before = endpoint->incarnation;

  if (incarnation <= before)
    return;
  endpoint->incarnation = incarnation;
  if (before == 0)
    return;
  endpoint->epoch++;
  endpoint->used_tokens = 0;
  endpoint->used_slots = 0;
  endpoint->pending_prefill = 0;
  endpoint->pending_long = 0;
  endpoint->exclusive = FALSE;
  endpoint->leaving_until = 0;
  g_hash_table_remove_all (endpoint->prefixes);
  endpoint->cache_sequence = 0;
  if (self->on_restart != NULL)
    self->on_restart (endpoint, before, self->restart_data);
}

static EnEndpoint *
endpoint_add (EnFleet *self, const char *name)
{
  EnEndpoint *endpoint = g_new0 (EnEndpoint, 1);

  endpoint->name = g_strdup (name);
  endpoint->known_since = knl_kernel_now (self->kernel);
  endpoint->prefixes = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  g_hash_table_insert (self->by_name, endpoint->name, endpoint);
  g_ptr_array_add (self->endpoints, endpoint);
  g_ptr_array_sort (self->endpoints, compare_endpoints);
  return endpoint;
}

static void
apply_endpoint (EnFleet *self, const Alderturn__Member *member)
{
  EnEndpoint *endpoint = en_fleet_find (self, member->name);

  if (endpoint == NULL)
    endpoint = endpoint_add (self, member->name);
  replace_text (&endpoint->address, member->address);
  replace_text (&endpoint->zone, member->zone);
  replace_text (&endpoint->label, member->service);
  endpoint->kind = member->kind;
  endpoint->state = member->state;
  endpoint->removed = FALSE;
  set_incarnation (self, endpoint, member->incarnation);
}

static EnPeer *
find_entry (EnFleet *self, const char *name)
{
  for (guint i = 0; i < self->entries->len; i++)
    {
      EnPeer *peer = g_ptr_array_index (self->entries, i);

      if (strcmp (peer->name, name) == 0)
        return peer;
    }
  return NULL;
}

static void
apply_entry (EnFleet *self, const Alderturn__Member *member)
{
  EnPeer *peer = find_entry (self, member->name);

  if (peer == NULL)
    {
      peer = g_new0 (EnPeer, 1);
      peer->name = g_strdup (member->name);
      g_ptr_array_add (self->entries, peer);
      g_ptr_array_sort (self->entries, compare_peers);
    }
  replace_text (&peer->address, member->address);
  replace_text (&peer->zone, member->zone);
  peer->state = member->state;
}

static void
apply_controller (EnFleet *self, const Alderturn__Member *member)
{
  if (member->state == ALDERTURN__MEMBER_STATE__MEMBER_STATE_LIVE && member->address[0] != '\0')
    g_hash_table_replace (self->controllers, g_strdup (member->name), g_strdup (member->address));
  else
    g_hash_table_remove (self->controllers, member->name);
}

static void
mark_all_removed (EnFleet *self)
{
  for (guint i = 0; i < self->endpoints->len; i++)
    ((EnEndpoint *)g_ptr_array_index (self->endpoints, i))->removed = TRUE;
  for (guint i = 0; i < self->entries->len; i++)
    ((EnPeer *)g_ptr_array_index (self->entries, i))->state =
        ALDERTURN__MEMBER_STATE__MEMBER_STATE_DEAD;
  g_hash_table_remove_all (self->controllers);
}

/* Endpoints with outstanding charges stay known until all charges are returned. */
static void
drop_removed (EnFleet *self)
{
  for (guint i = self->endpoints->len; i > 0; i--)
    {
      EnEndpoint *endpoint = g_ptr_array_index (self->endpoints, i - 1);

      if (!endpoint->removed || endpoint->used_slots > 0)
        continue;
      g_ptr_array_remove_index (self->endpoints, i - 1);
      g_hash_table_remove (self->by_name, endpoint->name);
    }
  for (guint i = self->entries->len; i > 0; i--)
    {
      if (((EnPeer *)g_ptr_array_index (self->entries, i - 1))->state
          == ALDERTURN__MEMBER_STATE__MEMBER_STATE_DEAD)
        g_ptr_array_remove_index (self->entries, i - 1);
    }
}

void
en_fleet_apply_members (EnFleet *self, const Alderturn__MemberUpdate *update)
{
  if (update->full)
    mark_all_removed (self);
  for (size_t i = 0; i < update->n_members; i++)
    {
      const Alderturn__Member *member = update->members[i];

      switch (member->kind)
        {
        case ALDERTURN__MEMBER_KIND__MEMBER_KIND_ENGINE:
        case ALDERTURN__MEMBER_KIND__MEMBER_KIND_SERVICE:
          apply_endpoint (self, member);
          break;
        case ALDERTURN__MEMBER_KIND__MEMBER_KIND_ENTRY:
          apply_entry (self, member);
          break;
        case ALDERTURN__MEMBER_KIND__MEMBER_KIND_CONTROLLER:
          apply_controller (self, member);
          break;
        default:
          break;
        }
    }
  drop_removed (self);
}

static gboolean
declared_draining (const CoConfig *config, const char *name)
{
  const CoObject *object = co_config_find (config, "instance", name);

  return object != NULL && g_strcmp0 (co_object_string (object, "state"), "draining") == 0;
}

static EnRole
role_from_name (const char *name)
{
  if (strcmp (name, "short") == 0)
    return EN_ROLE_SHORT;
  return strcmp (name, "long") == 0 ? EN_ROLE_LONG : EN_ROLE_ANY;
}

/* The controllers compute their orders to engines with the same function and the same members. */
static void
apply_placement (EnFleet *self, const CoConfig *config)
{
  GArray *members = g_array_new (FALSE, TRUE, sizeof (Alderturn__Member));
  GPtrArray *view = g_ptr_array_new ();
  GHashTable *placement;

  g_array_set_size (members, self->endpoints->len);
  for (guint i = 0; i < self->endpoints->len; i++)
    {
      const EnEndpoint *endpoint = g_ptr_array_index (self->endpoints, i);
      Alderturn__Member *member = &g_array_index (members, Alderturn__Member, i);

      alderturn__member__init (member);
      member->name = endpoint->name;
      member->service = endpoint->label;
      member->kind = endpoint->kind;
      member->state = endpoint->state;
      if (!endpoint->removed)
        g_ptr_array_add (view, member);
    }
  placement = ct_placement_new (config, view);
  for (guint i = 0; i < self->endpoints->len; i++)
    {
      EnEndpoint *endpoint = g_ptr_array_index (self->endpoints, i);
      const CtPlaced *placed = g_hash_table_lookup (placement, endpoint->name);

      endpoint->placed = TRUE;
      endpoint->role = placed != NULL ? role_from_name (placed->role) : EN_ROLE_ANY;
      replace_text (&endpoint->service, placed != NULL ? placed->service : NULL);
    }
  g_hash_table_unref (placement);
  g_ptr_array_unref (view);
  g_array_unref (members);
}

void
en_fleet_apply_config (EnFleet *self, const CoConfig *config)
{
  for (guint i = 0; i < self->endpoints->len; i++)
    {
      EnEndpoint *endpoint = g_ptr_array_index (self->endpoints, i);

      endpoint->drained = declared_draining (config, endpoint->name);
    }
  for (guint i = 0; i < self->entries->len; i++)
    {
      EnPeer *peer = g_ptr_array_index (self->entries, i);

      peer->drained = declared_draining (config, peer->name);
    }
  apply_placement (self, config);
  if (self->name != NULL)
    en_subset_update (self->endpoints, self->entries, self->name, self->zone);
}

void
en_fleet_note_incarnation (EnFleet *self, const char *name, guint64 incarnation)
{
  EnEndpoint *endpoint = en_fleet_find (self, name);

  if (endpoint != NULL)
    set_incarnation (self, endpoint, incarnation);
}

EnEndpoint *
en_fleet_find (EnFleet *self, const char *name)
{
  return name != NULL ? g_hash_table_lookup (self->by_name, name) : NULL;
}

const GPtrArray *
en_fleet_endpoints (const EnFleet *self)
{
  return self->endpoints;
}

const GPtrArray *
en_fleet_entries (const EnFleet *self)
{
  return self->entries;
}

char **
en_fleet_controllers (const EnFleet *self)
{
  GHashTableIter iter;
  gpointer address;
  GPtrArray *addresses = g_ptr_array_new ();

  g_hash_table_iter_init (&iter, self->controllers);
  while (g_hash_table_iter_next (&iter, NULL, &address))
    g_ptr_array_add (addresses, g_strdup (address));
  g_ptr_array_add (addresses, NULL);
  return (char **)g_ptr_array_free (addresses, FALSE);
}

gboolean
en_endpoint_is_for (const EnEndpoint *endpoint,
                    const char *label,
                    const char *service,
                    gboolean is_long)
{
  if (endpoint->kind != ALDERTURN__MEMBER_KIND__MEMBER_KIND_ENGINE || endpoint->removed
      || strcmp (endpoint->label, label) != 0)
    return FALSE;
  if (endpoint->placed && g_strcmp0 (endpoint->service, service) != 0)
    return FALSE;
  return !is_long || endpoint->role != EN_ROLE_SHORT;
}

/* A suspect member stays usable: it has only missed a probe and may be alive. */
gboolean
en_endpoint_usable (const EnEndpoint *endpoint, KnlTime now)
{
  if (endpoint->removed || endpoint->drained || endpoint->needs_answer || endpoint->other_subset
      || now < endpoint->leaving_until || pol_health_is_suspended (&endpoint->health, now))
    return FALSE;
  return endpoint->state == ALDERTURN__MEMBER_STATE__MEMBER_STATE_LIVE
         || endpoint->state == ALDERTURN__MEMBER_STATE__MEMBER_STATE_SUSPECT;
}

void
en_endpoint_note_leaving (EnEndpoint *endpoint, KnlTime now)
{
  endpoint->leaving_until = now + LEAVING_TTL;
}

void
en_endpoint_note_loss (EnEndpoint *endpoint)
{
  endpoint->needs_answer = endpoint->kind == ALDERTURN__MEMBER_KIND__MEMBER_KIND_ENGINE;
}

void
en_endpoint_note_failure (EnEndpoint *endpoint, KnlTime now)
{
  pol_health_note_loss (&endpoint->health, &health_rule, now);
}

void
en_endpoint_note_success (EnEndpoint *endpoint)
{
  pol_health_note_success (&endpoint->health);
  endpoint->needs_answer = FALSE;
}

EnCharge *
en_charge_new (EnEndpoint *endpoint, guint64 tokens, guint slots)
{
  EnCharge *charge = g_new0 (EnCharge, 1);

  charge->endpoint = g_strdup (endpoint->name);
  charge->epoch = endpoint->epoch;
  charge->tokens = tokens;
  charge->slots = slots;
  endpoint->used_tokens += tokens;
  endpoint->used_slots += slots;
  return charge;
}

gboolean
en_charge_valid (const EnCharge *charge, EnFleet *fleet)
{
  EnEndpoint *endpoint = en_fleet_find (fleet, charge->endpoint);

  return endpoint != NULL && endpoint->epoch == charge->epoch;
}

void
en_charge_return (EnCharge *charge, EnFleet *fleet)
{
  EnEndpoint *endpoint = en_fleet_find (fleet, charge->endpoint);

  if (en_charge_valid (charge, fleet))
    {
      cm_invariant (endpoint->used_tokens >= charge->tokens
                        && endpoint->used_slots >= charge->slots,
                    "a charge is returned once");
      endpoint->used_tokens -= MIN (charge->tokens, endpoint->used_tokens);
      endpoint->used_slots -= MIN (charge->slots, endpoint->used_slots);
    }
  g_free (charge->endpoint);
  g_free (charge);
}
