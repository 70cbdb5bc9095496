#include "ctl/table.h"

#include <string.h>

#include "coord/schema.h"

static const char *const configuration_columns[] = { "revision",  "kind", "name", "change",
                                                     "operation", "by",   NULL };
static const char *const engine_columns[] = { "name",     "service", "model",   "adapter", "role",
                                              "state",    "zone",    "address", "load",    "used",
                                              "capacity", "waiting", "fence",   "holder",  NULL };
static const char *const instance_columns[] = { "name",        "kind",     "state",
                                                "zone",        "region",   "address",
                                                "incarnation", "revision", NULL };
static const char *const lease_columns[] = { "shard", "holder",       "fence",
                                             "state", "remaining_ms", NULL };
static const char *const request_columns[] = { "request", "workspace", "service", "class",
                                               "state",   "engine",    "age_ms",  "deadline_ms",
                                               "tokens",  "entry",     NULL };

static const ClTable tables[] = {
  { .name = "adapters", .kind = "adapter" },
  { .name = "configuration", .columns = configuration_columns },
  { .name = "engines", .columns = engine_columns },
  { .name = "instances", .columns = instance_columns },
  { .name = "leases", .columns = lease_columns },
  { .name = "models", .kind = "model" },
  { .name = "requests", .source = CL_TABLE_ENTRIES, .columns = request_columns },
  { .name = "services", .kind = "service" },
  { .name = "workspaces", .kind = "workspace" },
  { .name = NULL },
};

const ClTable *
cl_tables (void)
{
  return tables;
}

const ClTable *
cl_table_find (const char *name)
{
  for (const ClTable *table = tables; table->name != NULL; table++)
    {
      if (strcmp (table->name, name) == 0)
        return table;
    }
  return NULL;
}

static char **
kind_columns (const CoKind *kind)
{
  GPtrArray *columns = g_ptr_array_new ();

  g_ptr_array_add (columns, g_strdup ("name"));
  for (const CoField *field = kind->fields; field->name != NULL; field++)
    g_ptr_array_add (columns, g_strdup (field->name));
  g_ptr_array_add (columns, g_strdup ("revision"));
  g_ptr_array_add (columns, NULL);
  return (char **)g_ptr_array_free (columns, FALSE);
}

char **
cl_table_columns (const ClTable *table)
{
  if (table->kind != NULL)
    return kind_columns (co_schema_kind (table->kind));
  return g_strdupv ((char **)table->columns);
}

gboolean
cl_table_has_column (const ClTable *table, const char *column)
{
  char **columns = cl_table_columns (table);
  gboolean found = g_strv_contains ((const char *const *)columns, column);

  g_strfreev (columns);
  return found;
}

void
cl_table_fill_defaults (const ClTable *table, json_t *rows)
{
  const CoKind *kind = table->kind != NULL ? co_schema_kind (table->kind) : NULL;

  for (const CoField *field = kind != NULL ? kind->fields : NULL;
       field != NULL && field->name != NULL; field++)
    {
      json_t *value;
      size_t index;
      json_t *row;

      if (field->fallback == NULL)
        continue;
      value = json_loads (field->fallback, JSON_DECODE_ANY, NULL);
      json_array_foreach (rows, index, row)
      {
        if (json_object_get (row, field->name) == NULL)
          json_object_set (row, field->name, value);
      }
      json_decref (value);
    }
}
