#include "coord/apply.h"

#include <stdlib.h>
#include <string.h>

#include "coord/schema.h"

#define SOURCE             "change"
#define MAX_CHANGES        500
#define MAX_OBJECT_BYTES   65536
#define MAX_CONFIG_OBJECTS 10000

/* An object after the changes; fields NULL: removed. */
typedef struct
{
  json_t *fields;
  guint line; /* index of the last change to it */
} PlannedObject;

typedef struct
{
  const CoConfig *config;
  CmFindings *findings;
  CoApplyPlan *plan;
  GHashTable *planned_objects; /* "KIND/NAME" -> `PlannedObject` */
  guint n_objects;
} Planner;

static void
planned_object_free (gpointer data)
{
  PlannedObject *planned_object = data;

  json_decref (planned_object->fields);
  g_free (planned_object);
}

static void
planned_clear (gpointer data)
{
  CoPlannedChange *change = data;

  g_free (change->kind);
  g_free (change->name);
  free (change->fields);
}

static const json_t *
current_fields (const Planner *planner, const char *kind, const char *name)
{
  char *key = g_strconcat (kind, "/", name, NULL);
  const PlannedObject *planned_object = g_hash_table_lookup (planner->planned_objects, key);
  const CoObject *object;

  g_free (key);
  if (planned_object != NULL)
    return planned_object->fields;
  object = co_config_find (planner->config, kind, name);
  return object != NULL ? object->fields : NULL;
}

static void
check_expected (Planner *planner, const json_t *change, const char *kind, const char *name)
{
  const json_t *expect = json_object_get (change, "expect");
  const CoObject *object = co_config_find (planner->config, kind, name);
  guint64 found = object != NULL ? object->revision : 0;

  if (!json_is_integer (expect) || planner->plan->conflict
      || (guint64)json_integer_value (expect) == found)
    return;
  planner->plan->conflict = TRUE;
  planner->plan->kind = g_strdup (kind);
  planner->plan->name = g_strdup (name);
  planner->plan->expected = (guint64)json_integer_value (expect);
  planner->plan->found = found;
}

static void
add_planned (Planner *planner, const char *kind, const char *name, json_t *fields, guint line)
{
  PlannedObject *planned_object = g_new0 (PlannedObject, 1);
  CoPlannedChange planned = {
    .kind = g_strdup (kind),
    .name = g_strdup (name),
    .fields = fields != NULL ? json_dumps (fields, JSON_COMPACT | JSON_SORT_KEYS) : NULL,
  };

  if (planned.fields != NULL && strlen (planned.fields) > MAX_OBJECT_BYTES)
    cm_findings_add (planner->findings, SOURCE, line, 0, name, "is longer than %d bytes",
                     MAX_OBJECT_BYTES);
  planned_object->fields = fields;
  planned_object->line = line;
  g_hash_table_replace (planner->planned_objects, g_strconcat (kind, "/", name, NULL),
                        planned_object);
  g_array_append_val (planner->plan->changes, planned);
}

static void
plan_set (Planner *planner, const json_t *change, const CoKind *kind, const char *name, guint line)
{
  const json_t *given = json_object_get (change, "fields");
  const json_t *before = current_fields (planner, kind->name, name);
  json_t *fields;

  if (given != NULL && !json_is_object (given))
    {
      cm_findings_add (planner->findings, SOURCE, line, 0, name, "fields must be an object");
      return;
    }
  if (before != NULL && !json_is_true (json_object_get (change, "replace")))
    fields = json_deep_copy (before);
  else
    fields = json_object ();
  json_object_update (fields, (json_t *)given);
  co_schema_check (kind, name, fields, SOURCE, line, 0, planner->findings);
  add_planned (planner, kind->name, name, fields, line);
}

static void
plan_change (Planner *planner, const json_t *change, guint line)
{
  const char *op = json_string_value (json_object_get (change, "op"));
  const char *kind_name = json_string_value (json_object_get (change, "kind"));
  const char *name = json_string_value (json_object_get (change, "name"));
  const CoKind *kind = kind_name != NULL ? co_schema_kind (kind_name) : NULL;

  if (kind == NULL)
    cm_findings_add (planner->findings, SOURCE, line, 0, kind_name, "there is no such kind");
  else if (name == NULL || !co_schema_name_valid (name))
    cm_findings_add (planner->findings, SOURCE, line, 0, name,
                     "is no name: 1 to 63 of a-z, 0-9, \"-\" and \".\"");
  else if (op != NULL && strcmp (op, "set") == 0)
    {
      check_expected (planner, change, kind_name, name);
      plan_set (planner, change, kind, name, line);
    }
  else if (op == NULL || strcmp (op, "remove") != 0)
    cm_findings_add (planner->findings, SOURCE, line, 0, op, "op must be \"set\" or \"remove\"");
  else
    {
      check_expected (planner, change, kind_name, name);
      if (current_fields (planner, kind_name, name) == NULL && !planner->plan->conflict)
        cm_findings_add (planner->findings, SOURCE, line, 0, name, "there is no such %s",
                         kind_name);
      add_planned (planner, kind_name, name, NULL, line);
    }
}

/* Index of the last change to an object, for findings; 0: the list doesn't change it. */
static guint
find_change_line (const Planner *planner, const char *kind, const char *name)
{
  char *key = g_strconcat (kind, "/", name, NULL);
  const PlannedObject *planned_object = g_hash_table_lookup (planner->planned_objects, key);

  g_free (key);
  return planned_object != NULL ? planned_object->line : 0;
}

static void
check_reference (Planner *planner,
                 const char *kind,
                 const char *name,
                 const CoField *field,
                 const json_t *value)
{
  const char *target = json_string_value (value);
  guint line = find_change_line (planner, kind, name);
  char *where;

  if (target == NULL || current_fields (planner, field->refers_to, target) != NULL)
    return;
  /* An unchanged object refers to nothing: the change that removed its target is at fault. */
  if (line == 0)
    line = find_change_line (planner, field->refers_to, target);
  where = g_strdup_printf ("%s %s.%s", kind, name, field->name);
  cm_findings_add (planner->findings, SOURCE, line, 0, where, "there is no %s \"%s\"",
                   field->refers_to, target);
  g_free (where);
}

static void
check_object (Planner *planner, const char *kind_name, const char *name, const json_t *fields)
{
  const CoKind *kind = co_schema_kind (kind_name);

  planner->n_objects++;
  for (const CoField *field = kind != NULL ? kind->fields : NULL;
       field != NULL && field->name != NULL; field++)
    {
      const json_t *value = json_object_get (fields, field->name);
      size_t index;
      json_t *item;

      if (field->refers_to == NULL || value == NULL)
        continue;
      if (json_is_string (value))
        check_reference (planner, kind_name, name, field, value);
      json_array_foreach (value, index, item)
      {
        check_reference (planner, kind_name, name, field, item);
      }
    }
  if (strcmp (kind_name, "service") == 0 && json_object_get (fields, "model") == NULL
      && g_strcmp0 (json_string_value (json_object_get (fields, "kind")), "model") == 0)
    cm_findings_add (planner->findings, SOURCE, find_change_line (planner, kind_name, name), 0,
                     name, "a service of kind model needs a model");
}

static void
check_unchanged (const CoObject *object, gpointer data)
{
  Planner *planner = data;

  if (find_change_line (planner, object->kind, object->name) == 0)
    check_object (planner, object->kind, object->name, object->fields);
}

static void
check_result (Planner *planner)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  co_config_foreach (planner->config, NULL, check_unchanged, planner);
  g_hash_table_iter_init (&iter, planner->planned_objects);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const PlannedObject *planned_object = value;
      char **parts = g_strsplit (key, "/", 2);

      if (planned_object->fields != NULL)
        check_object (planner, parts[0], parts[1], planned_object->fields);
      g_strfreev (parts);
    }
  if (planner->n_objects > MAX_CONFIG_OBJECTS)
    cm_findings_add (planner->findings, SOURCE, 1, 0, NULL, "more than %d objects",
                     MAX_CONFIG_OBJECTS);
}

CoApplyPlan *
co_apply_plan (const json_t *changes, const CoConfig *config, CmFindings *findings)
{
  Planner planner = { .config = config, .findings = findings };
  size_t index;
  json_t *change;

  planner.plan = g_new0 (CoApplyPlan, 1);
  planner.plan->changes = g_array_new (FALSE, FALSE, sizeof (CoPlannedChange));
  g_array_set_clear_func (planner.plan->changes, planned_clear);
  planner.planned_objects =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, planned_object_free);
  if (json_array_size (changes) == 0 || json_array_size (changes) > MAX_CHANGES)
    cm_findings_add (findings, SOURCE, 1, 0, "changes", "must be a list of 1 to %d changes",
                     MAX_CHANGES);
  json_array_foreach (changes, index, change)
  {
    if (index < MAX_CHANGES)
      plan_change (&planner, change, (guint)index + 1);
  }
  if (cm_findings_count (findings) == 0)
    check_result (&planner);
  g_hash_table_destroy (planner.planned_objects);
  return planner.plan;
}

void
co_apply_plan_free (CoApplyPlan *plan)
{
  g_array_free (plan->changes, TRUE);
  g_free (plan->kind);
  g_free (plan->name);
  g_free (plan);
}
