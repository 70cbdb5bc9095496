#include "coord/schema.h"

#include <string.h>

#define MAX_NAME_LENGTH 63

static const char *const service_kinds[] = { "model", "plain", NULL };
static const char *const instance_states[] = { "serving", "draining", NULL };

static const CoField model_fields[] = {
  { .name = "version",
    .type = CO_FIELD_STRING,
    .fallback = "\"1\"",
    .help = "version of the weights" },
  { .name = "weight-bytes",
    .type = CO_FIELD_INTEGER,
    .fallback = "0",
    .min = 0,
    .max = 1e13,
    .help = "size of the weights in bytes" },
  { .name = "context-tokens",
    .type = CO_FIELD_INTEGER,
    .fallback = "1000000",
    .min = 1,
    .max = 1e7,
    .help = "longest prompt and answer together, in tokens" },
  { .name = NULL },
};

static const CoField adapter_fields[] = {
  { .name = "model",
    .type = CO_FIELD_STRING,
    .required = TRUE,
    .refers_to = "model",
    .help = "model that it adapts" },
  { .name = "version",
    .type = CO_FIELD_STRING,
    .fallback = "\"1\"",
    .help = "version of the adapter" },
  { .name = NULL },
};

static const CoField service_fields[] = {
  { .name = "kind",
    .type = CO_FIELD_STRING,
    .required = TRUE,
    .values = service_kinds,
    .help = "model: engines that generate; plain: HTTP calls passed on" },
  { .name = "endpoints",
    .type = CO_FIELD_STRING,
    .required = TRUE,
    .help = "label that its endpoints have in the platform's instance list" },
  { .name = "model",
    .type = CO_FIELD_STRING,
    .refers_to = "model",
    .help = "model to run; needed when kind is model" },
  { .name = "adapter", .type = CO_FIELD_STRING, .refers_to = "adapter", .help = "adapter to load" },
  { .name = "engines",
    .type = CO_FIELD_INTEGER,
    .fallback = "0",
    .min = 0,
    .max = 1e6,
    .help = "engines that should run it; 0: all with its label" },
  { .name = "long-share",
    .type = CO_FIELD_DOUBLE,
    .fallback = "0.5",
    .min = 0,
    .max = 1,
    .help = "part of its engines that takes long prompts" },
  { .name = "long-tokens",
    .type = CO_FIELD_INTEGER,
    .fallback = "32000",
    .min = 1,
    .max = 1e7,
    .help = "prompts from this length on are long" },
  { .name = "timeout-ms",
    .type = CO_FIELD_INTEGER,
    .fallback = "60000",
    .min = 1,
    .max = 8.64e7,
    .help = "time limit of a request that names none" },
  { .name = "idempotent",
    .type = CO_FIELD_BOOLEAN,
    .fallback = "true",
    .help = "false: its requests run at most once and need an Idempotency-Key" },
  { .name = NULL },
};

static const CoField workspace_fields[] = {
  { .name = "token",
    .type = CO_FIELD_STRING,
    .required = TRUE,
    .secret = TRUE,
    .help = "what its callers authenticate with" },
  { .name = "weight",
    .type = CO_FIELD_INTEGER,
    .fallback = "1",
    .min = 1,
    .max = 1000,
    .help = "its share of the fleet beside the others' weights" },
  { .name = "services",
    .type = CO_FIELD_NAMES,
    .fallback = "[]",
    .refers_to = "service",
    .help = "services it may use; none named: all" },
  { .name = "max-in-flight",
    .type = CO_FIELD_INTEGER,
    .fallback = "0",
    .min = 0,
    .max = 1e6,
    .help = "bound on its requests at one entry; 0: none" },
  { .name = NULL },
};

static const CoField instance_fields[] = {
  { .name = "state",
    .type = CO_FIELD_STRING,
    .fallback = "\"serving\"",
    .values = instance_states,
    .help = "draining: it gets no new work" },
  { .name = NULL },
};

static const CoKind kinds[] = {
  { .name = "adapter", .fields = adapter_fields, .help = "a fine-tuning on top of a model" },
  { .name = "instance", .fields = instance_fields, .help = "what operators want of one instance" },
  { .name = "model", .fields = model_fields, .help = "weights that engines load" },
  { .name = "service", .fields = service_fields, .help = "what callers ask for by name" },
  { .name = "workspace", .fields = workspace_fields, .help = "a customer of the fleet" },
  { .name = NULL },
};

const CoKind *
co_schema_kinds (void)
{
  return kinds;
}

const CoKind *
co_schema_kind (const char *name)
{
  for (const CoKind *kind = kinds; kind->name != NULL; kind++)
    {
      if (strcmp (kind->name, name) == 0)
        return kind;
    }
  return NULL;
}

const CoField *
co_kind_field (const CoKind *kind, const char *name)
{
  for (const CoField *field = kind->fields; field->name != NULL; field++)
    {
      if (strcmp (field->name, name) == 0)
        return field;
    }
  return NULL;
}

static const char *
field_problem_string (const CoField *field, const json_t *value)
{
  if (!json_is_string (value))
    return "must be a text";
  if (json_string_length (value) == 0)
    return "must not be empty";
  if (field->values == NULL || g_strv_contains (field->values, json_string_value (value)))
    return NULL;
  return "is none of the allowed values";
}

static const char *
field_problem_names (const json_t *value)
{
  size_t index;
  json_t *item;

  if (!json_is_array (value))
    return "must be a list of names";
  json_array_foreach (value, index, item)
  {
    if (!json_is_string (item))
      return "must be a list of names";
  }
  return NULL;
}

static const char *
field_problem_number (const CoField *field, const json_t *value)
{
  if (field->type == CO_FIELD_INTEGER && !json_is_integer (value))
    return "must be a whole number";
  if (!json_is_number (value))
    return "must be a number";
  if (json_number_value (value) < field->min || json_number_value (value) > field->max)
    return "is out of bounds";
  return NULL;
}

static const char *
field_problem (const CoField *field, const json_t *value)
{
  switch (field->type)
    {
    case CO_FIELD_STRING:
      return field_problem_string (field, value);
    case CO_FIELD_NAMES:
      return field_problem_names (value);
    case CO_FIELD_BOOLEAN:
      return json_is_boolean (value) ? NULL : "must be true or false";
    case CO_FIELD_INTEGER:
    case CO_FIELD_DOUBLE:
      return field_problem_number (field, value);
    }
  return NULL;
}

static void
add_problem (const CoField *field,
             const char *problem,
             const char *source,
             guint line,
             guint column,
             const char *where,
             CmFindings *findings)
{
  if (field->values != NULL)
    {
      char *allowed = g_strjoinv (", ", (char **)field->values);

      cm_findings_add (findings, source, line, column, where, "%s (%s)", problem, allowed);
      g_free (allowed);
    }
  else if (field->max > field->min)
    cm_findings_add (findings, source, line, column, where, "%s (%g to %g)", problem, field->min,
                     field->max);
  else
    cm_findings_add (findings, source, line, column, where, "%s", problem);
}

void
co_schema_check (const CoKind *kind,
                 const char *name,
                 const json_t *fields,
                 const char *source,
                 guint line,
                 guint column,
                 CmFindings *findings)
{
  const char *key;
  json_t *value;

  json_object_foreach ((json_t *)fields, key, value)
  {
    const CoField *field = co_kind_field (kind, key);
    char *where = g_strdup_printf ("%s %s.%s", kind->name, name, key);
    const char *problem = field != NULL ? field_problem (field, value) : NULL;

    if (field == NULL)
      cm_findings_add (findings, source, line, column, where, "there is no such field");
    else if (problem != NULL)
      add_problem (field, problem, source, line, column, where, findings);
    g_free (where);
  }
  for (const CoField *field = kind->fields; field->name != NULL; field++)
    {
      char *where;

      if (!field->required || json_object_get (fields, field->name) != NULL)
        continue;
      where = g_strdup_printf ("%s %s.%s", kind->name, name, field->name);
      cm_findings_add (findings, source, line, column, where, "is required: %s", field->help);
      g_free (where);
    }
}

gboolean
co_schema_name_valid (const char *name)
{
  gsize length = strlen (name);

  if (length == 0 || length > MAX_NAME_LENGTH || !g_ascii_isalnum (name[0]))
    return FALSE;
  for (gsize i = 0; i < length; i++)
    {
      if (!g_ascii_islower (name[i]) && !g_ascii_isdigit (name[i]) && name[i] != '-'
          && name[i] != '.')
        return FALSE;
    }
  return TRUE;
}
