/** Rows of the tables shown to operators: JSON objects with one member per column. */

#include "controller/state.h"
#include "coord/schema.h"

#include <string.h>

static const char *const state_names[] = {
  [ALDERTURN__MEMBER_STATE__MEMBER_STATE_UNSPECIFIED] = "unknown",
  [ALDERTURN__MEMBER_STATE__MEMBER_STATE_LIVE] = "live",
  [ALDERTURN__MEMBER_STATE__MEMBER_STATE_SUSPECT] = "suspect",
  [ALDERTURN__MEMBER_STATE__MEMBER_STATE_LEAVING] = "leaving",
  [ALDERTURN__MEMBER_STATE__MEMBER_STATE_DEAD] = "dead",
};

static const char *const kind_names[] = {
  [ALDERTURN__MEMBER_KIND__MEMBER_KIND_UNSPECIFIED] = "unknown",
  [ALDERTURN__MEMBER_KIND__MEMBER_KIND_ENTRY] = "entry",
  [ALDERTURN__MEMBER_KIND__MEMBER_KIND_CONTROLLER] = "controller",
  [ALDERTURN__MEMBER_KIND__MEMBER_KIND_ENGINE] = "engine",
  [ALDERTURN__MEMBER_KIND__MEMBER_KIND_SERVICE] = "service",
};

static json_t *
revision_row (const char *name, Alderturn__MemberKind kind, guint64 revision)
{
  return json_pack ("{s:s, s:s, s:I}", "name", name, "kind", kind_names[kind], "revision",
                    (json_int_t)revision);
}

static void
add_entry_revision (CtPeer *peer, gpointer rows)
{
  json_array_append_new (
      rows, revision_row (peer->name, ALDERTURN__MEMBER_KIND__MEMBER_KIND_ENTRY, peer->revision));
}

json_t *
ct_show_own_rows (const char *table, gpointer data)
{
  CtController *controller = data;
  json_t *rows = json_array ();

  if (strcmp (table, "engines") == 0)
    {
      json_decref (rows);
      return ct_engines_rows (controller->engines);
    }
  if (strcmp (table, "instances") != 0)
    return rows;
  json_array_append_new (rows, revision_row (controller->options.identity->instance,
                                             ALDERTURN__MEMBER_KIND__MEMBER_KIND_CONTROLLER,
                                             *co_config_revision (controller->config)));
  ct_links_foreach (controller->links, ALDERTURN__ROLE__ROLE_ENTRY, add_entry_revision, rows);
  return rows;
}

/* Rows are matched by kind too: an instance's entry and controller may have the same name. */
static json_t *
find_row (const json_t *rows, Alderturn__MemberKind kind, const char *name)
{
  size_t index;
  json_t *row;

  json_array_foreach (rows, index, row)
  {
    const char *row_kind = json_string_value (json_object_get (row, "kind"));

    if (g_strcmp0 (json_string_value (json_object_get (row, "name")), name) == 0
        && (row_kind == NULL || strcmp (row_kind, kind_names[kind]) == 0))
      return row;
  }
  return NULL;
}

json_t *
ct_show_instances (const CtController *controller, const json_t *gathered)
{
  const GPtrArray *view = ct_members_view (controller->members);
  json_t *rows = json_array ();

  for (guint i = 0; i < view->len; i++)
    {
      const Alderturn__Member *member = g_ptr_array_index (view, i);
      json_t *revision =
          json_object_get (find_row (gathered, member->kind, member->name), "revision");

      json_array_append_new (rows,
                             json_pack ("{s:s, s:s, s:s, s:s, s:s, s:s, s:I, s:O?}", "name",
                                        member->name, "kind", kind_names[member->kind], "state",
                                        state_names[member->state], "zone", member->zone, "region",
                                        member->region, "address", member->address, "incarnation",
                                        (json_int_t)member->incarnation, "revision", revision));
    }
  return rows;
}

json_t *
ct_show_engines (const CtController *controller, const json_t *gathered)
{
  static const char *const columns[] = { "model", "adapter", "role",  "capacity", "used",
                                         "load",  "waiting", "fence", "holder" };
  const GPtrArray *view = ct_members_view (controller->members);
  json_t *rows = json_array ();

  for (guint i = 0; i < view->len; i++)
    {
      const Alderturn__Member *member = g_ptr_array_index (view, i);
      const json_t *known = find_row (gathered, member->kind, member->name);
      json_t *row;

      if (member->kind != ALDERTURN__MEMBER_KIND__MEMBER_KIND_ENGINE)
        continue;
      row = json_pack ("{s:s, s:s, s:s, s:s, s:s}", "name", member->name, "service",
                       member->service, "state", state_names[member->state], "zone", member->zone,
                       "address", member->address);
      for (guint c = 0; c < G_N_ELEMENTS (columns); c++)
        {
          json_t *value = json_object_get (known, columns[c]);

          json_object_set_new (row, columns[c], value != NULL ? json_incref (value) : json_null ());
        }
      json_array_append_new (rows, row);
    }
  return rows;
}

json_t *
ct_show_leases (const CtController *controller)
{
  static const char *const states[] = {
    [CO_LEASE_UNKNOWN] = "unknown",
    [CO_LEASE_VACANT] = "vacant",
    [CO_LEASE_HELD] = "held",
  };
  json_t *rows = json_array ();

  for (guint shard = 0; shard < co_leases_count (controller->leases); shard++)
    {
      CoLeaseView view = co_lease_view (controller->leases, shard);

      json_array_append_new (
          rows, json_pack ("{s:i, s:s?, s:I, s:s, s:I}", "shard", (int)shard, "holder", view.holder,
                           "fence", (json_int_t)view.fence, "state", states[view.state],
                           "remaining_ms", (json_int_t)(view.remaining / KNL_MSEC)));
    }
  return rows;
}

static void
add_object (const CoObject *object, gpointer rows)
{
  const CoKind *kind = co_schema_kind (object->kind);
  json_t *row = json_pack ("{s:s}", "name", object->name);
  const char *key;
  json_t *value;

  json_object_foreach (object->fields, key, value)
  {
    const CoField *field = co_kind_field (kind, key);

    if (field != NULL && field->secret)
      json_object_set_new (row, key, json_string ("***"));
    else
      json_object_set (row, key, value);
  }
  json_object_set_new (row, "revision", json_integer ((json_int_t)object->revision));
  json_array_append_new (rows, row);
}

json_t *
ct_show_objects (const CoConfig *config, const char *kind)
{
  json_t *rows = json_array ();

  co_config_foreach (config, kind, add_object, rows);
  return rows;
}

static json_t *
conflict_json (const CoApplyConflict *conflict)
{
  return json_pack ("{s:{s:s, s:s, s:I, s:I, s:s?, s:s?}}", "conflict", "kind", conflict->kind,
                    "name", conflict->name, "expected", (json_int_t)conflict->expected, "found",
                    (json_int_t)conflict->found, "operation", conflict->operation, "by",
                    conflict->by);
}

static json_t *
findings_json (const CmFindings *findings)
{
  json_t *list = json_array ();

  for (guint i = 0; i < cm_findings_count (findings); i++)
    {
      const CmFinding *finding = cm_findings_get (findings, i);

      json_array_append_new (list,
                             json_pack ("{s:I, s:s?, s:s}", "index", (json_int_t)finding->line - 1,
                                        "where", finding->where, "text", finding->text));
    }
  return json_pack ("{s:o}", "findings", list);
}

char *
ct_apply_answer (const CoApplyResult *result, int *status)
{
  json_t *root = NULL;
  char *text;

  switch (result->status)
    {
    case CO_APPLY_DONE:
      *status = 200;
      root = json_pack ("{s:I}", "revision", (json_int_t)result->revision);
      break;
    case CO_APPLY_CONFLICT:
      *status = 409;
      root = conflict_json (&result->conflict);
      break;
    case CO_APPLY_FINDINGS:
      *status = 422;
      root = findings_json (result->findings);
      break;
    case CO_APPLY_NOT_RUN:
    case CO_APPLY_UNKNOWN:
      *status = 503;
      root = json_pack ("{s:s, s:s}", "error", "the platform's table does not answer", "outcome",
                        result->status == CO_APPLY_NOT_RUN ? "not-run" : "unknown");
      break;
    }
  text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  return text;
}
