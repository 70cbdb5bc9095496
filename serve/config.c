#include "serve/config.h"

#include <string.h>

/* Gap objective assumed for a stream whose route has none. */
#define DEFAULT_GAP_OBJECTIVE (1 * KNL_SEC)

SvGapClass
sv_gap_class_of (KnlTime gap_objective)
{
  if (gap_objective <= 0 || gap_objective >= SV_GAP_MEDIUM_MAX)
    return SV_GAP_LOOSE;
  return gap_objective < SV_GAP_TIGHT_MAX ? SV_GAP_TIGHT : SV_GAP_MEDIUM;
}

static void
split_clear (gpointer data)
{
  g_free (((SvSplit *)data)->service);
}

SvRoute *
sv_route_new (void)
{
  SvRoute *self = g_new0 (SvRoute, 1);

  self->refs = 1;
  self->max_attempts = 1;
  self->splits = g_array_new (FALSE, TRUE, sizeof (SvSplit));
  g_array_set_clear_func (self->splits, split_clear);
  return self;
}

SvRoute *
sv_route_ref (SvRoute *self)
{
  self->refs++;
  return self;
}

void
sv_route_unref (SvRoute *self)
{
  if (self == NULL || --self->refs > 0)
    return;
  g_free (self->name);
  g_free (self->host);
  g_free (self->prefix);
  g_array_unref (self->splits);
  g_free (self);
}

void
sv_route_add_split (SvRoute *self, const char *service, double weight)
{
  SvSplit split = { .service = g_strdup (service), .weight = weight };

  g_array_append_val (self->splits, split);
}

static void
service_free (gpointer data)
{
  SvService *self = data;

  g_free (self->name);
  g_free (self);
}

static void
workspace_free (gpointer data)
{
  g_free (((SvWorkspace *)data)->name);
  g_free (data);
}

SvConfig *
sv_config_new (guint64 version)
{
  SvConfig *self = g_new0 (SvConfig, 1);

  self->refs = 1;
  self->version = version;
  self->hosts =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_hash_table_unref);
  self->shortest_gaps[SV_GAP_TIGHT] = SV_GAP_TIGHT_MAX;
  self->shortest_gaps[SV_GAP_MEDIUM] = SV_GAP_MEDIUM_MAX;
  self->shortest_gaps[SV_GAP_LOOSE] = DEFAULT_GAP_OBJECTIVE;
  self->services = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, service_free);
  self->keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  self->workspaces = g_ptr_array_new_with_free_func (workspace_free);
  return self;
}

SvConfig *
sv_config_ref (SvConfig *self)
{
  self->refs++;
  return self;
}

void
sv_config_unref (SvConfig *self)
{
  if (self == NULL || --self->refs > 0)
    return;
  g_hash_table_unref (self->hosts);
  g_hash_table_unref (self->services);
  g_hash_table_unref (self->keys);
  g_ptr_array_unref (self->workspaces);
  g_free (self);
}

static void
note_gap (SvConfig *self, const SvRoute *route)
{
  KnlTime *shortest = &self->shortest_gaps[sv_gap_class_of (route->gap_objective)];

  if (route->kind == SV_STREAM && route->gap_objective > 0)
    *shortest = MIN (*shortest, route->gap_objective);
}

static GHashTable *
routes_of (SvConfig *self, const char *host)
{
  g_autofree char *name = g_ascii_strdown (host, -1);
  GHashTable *routes = g_hash_table_lookup (self->hosts, name);

  if (routes != NULL)
    return routes;
  routes = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, (GDestroyNotify)sv_route_unref);
  g_hash_table_insert (self->hosts, g_steal_pointer (&name), routes);
  return routes;
}

void
sv_config_add_route (SvConfig *self, SvRoute *route)
{
  g_hash_table_replace (routes_of (self, route->host), route->prefix, route);
  self->longest_prefix = MAX (self->longest_prefix, strlen (route->prefix));
  note_gap (self, route);
}

SvService *
sv_config_add_service (SvConfig *self, const char *name)
{
  SvService *service = g_new0 (SvService, 1);

  service->name = g_strdup (name);
  g_hash_table_replace (self->services, service->name, service);
  return service;
}

SvWorkspace *
sv_config_add_workspace (SvConfig *self, const char *name)
{
  SvWorkspace *workspace = g_new0 (SvWorkspace, 1);

  workspace->name = g_strdup (name);
  workspace->priority = -1;
  g_ptr_array_add (self->workspaces, workspace);
  return workspace;
}

void
sv_config_add_key (SvConfig *self, SvWorkspace *workspace, const char *key)
{
  g_hash_table_replace (self->keys, g_strdup (key), workspace);
}

/* Prefixes of routes end with a slash, so only those prefixes of the path are looked up. */
const SvRoute *
sv_config_route (const SvConfig *self, const char *host, const char *path)
{
  g_autofree char *name = g_ascii_strdown (host, (gssize)strcspn (host, ":"));
  g_autofree char *prefix = g_strndup (path, self->longest_prefix);
  GHashTable *routes = g_hash_table_lookup (self->hosts, name);

  for (gsize length = strlen (prefix); routes != NULL && length > 0; length--)
    {
      const SvRoute *route;

      if (prefix[length - 1] != '/')
        continue;
      prefix[length] = '\0';
      route = g_hash_table_lookup (routes, prefix);
      if (route != NULL)
        return route;
    }
  return NULL;
}

const SvService *
sv_config_service (const SvConfig *self, const char *name)
{
  return g_hash_table_lookup (self->services, name);
}

const SvWorkspace *
sv_config_workspace (const SvConfig *self, const char *key)
{
  return g_hash_table_lookup (self->keys, key);
}

const char *
sv_route_service (const SvRoute *self, double point)
{
  double sum = 0;
  double cumulative = 0;

  for (guint i = 0; i < self->splits->len; i++)
    sum += g_array_index (self->splits, SvSplit, i).weight;
  for (guint i = 0; i < self->splits->len; i++)
    {
      const SvSplit *split = &g_array_index (self->splits, SvSplit, i);

      cumulative += split->weight;
      if (point * sum < cumulative)
        return split->service;
    }
  return g_array_index (self->splits, SvSplit, self->splits->len - 1).service;
}

gboolean
sv_route_is_idempotent (const SvRoute *self)
{
  return self->kind == SV_IDEMPOTENT || (self->kind == SV_STREAM && self->resumable);
}

gboolean
sv_service_is_engine (const SvService *self)
{
  return self != NULL && self->engine.prefill_tokens_per_ms > 0;
}
