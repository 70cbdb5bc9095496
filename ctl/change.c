#include "ctl/change.h"

#include "ctl/value.h"

ClChange *
cl_change_new (const CoKind *kind, const char *name, const char *source, ClLocation location)
{
  ClChange *change = g_new0 (ClChange, 1);

  change->kind = kind;
  change->name = g_strdup (name);
  change->source = g_strdup (source);
  change->location = location;
  change->fields = json_object ();
  change->field_locations = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return change;
}

void
cl_change_free (ClChange *change)
{
  if (change == NULL)
    return;
  g_free (change->name);
  g_free (change->source);
  json_decref (change->fields);
  g_hash_table_unref (change->field_locations);
  g_free (change);
}

static const CoKind *
kind_find (ClParser *parser, const ClToken *token)
{
  const CoKind *kind = co_schema_kind (token->text);
  GString *names;

  if (kind != NULL)
    return kind;
  names = g_string_new (NULL);
  for (const CoKind *known = co_schema_kinds (); known->name != NULL; known++)
    g_string_append_printf (names, "%s%s", names->len > 0 ? ", " : "", known->name);
  cl_parser_finding (parser, token, "there is no kind \"%s\"; there are %s", token->text,
                     names->str);
  g_string_free (names, TRUE);
  return NULL;
}

ClChange *
cl_change_parse (ClParser *parser)
{
  const ClToken *kind = cl_parser_expect_text (parser, "a kind");
  const ClToken *name;
  const CoKind *found;

  if (kind == NULL)
    return NULL;
  found = kind_find (parser, kind);
  name = cl_parser_expect_text (parser, "a name");
  if (name == NULL)
    return NULL;
  if (!co_schema_name_valid (name->text))
    cl_parser_finding (parser, name,
                       "\"%s\" is no name: 1 to 63 of a-z, 0-9, \"-\", \".\", first a letter or "
                       "digit",
                       name->text);
  return cl_change_new (found, name->text, parser->source,
                        (ClLocation){ kind->line, kind->column });
}

/*
 * The schema checks complete objects. Checks an object with this field only, so
 * that findings get the field's location, and drops the findings on other
 * fields, such as required fields that are missing.
 */
static void
field_check (const ClChange *change,
             const char *field,
             json_t *value,
             ClLocation location,
             CmFindings *findings)
{
  json_t *object = json_object ();
  char *where = g_strdup_printf ("%s %s.%s", change->kind->name, change->name, field);
  CmFindings all;

  cm_findings_init (&all);
  json_object_set (object, field, value);
  co_schema_check (change->kind, change->name, object, change->source, location.line,
                   location.column, &all);
  for (guint i = 0; i < cm_findings_count (&all); i++)
    {
      const CmFinding *finding = cm_findings_get (&all, i);

      if (g_strcmp0 (finding->where, where) == 0)
        cm_findings_add (findings, finding->source, finding->line, finding->column, where, "%s",
                         finding->text);
    }
  cm_findings_clear (&all);
  json_decref (object);
  g_free (where);
}

gboolean
cl_change_parse_field (ClChange *change, ClParser *parser)
{
  const ClToken *name = cl_parser_expect_text (parser, "a field");
  ClLocation location;
  json_t *value;

  if (name == NULL)
    return FALSE;
  location = (ClLocation){ name->line, name->column };
  g_hash_table_insert (change->field_locations, g_strdup (name->text),
                       g_memdup2 (&location, sizeof location));
  if (!cl_parser_expect_symbol (parser, "="))
    return FALSE;
  value = cl_value_parse (parser,
                          change->kind != NULL ? co_kind_field (change->kind, name->text) : NULL);
  if (value == NULL)
    return FALSE;
  if (json_object_get (change->fields, name->text) != NULL)
    cl_parser_finding (parser, name, "\"%s\" stands twice", name->text);
  else if (change->kind != NULL)
    field_check (change, name->text, value, location, parser->findings);
  json_object_set_new (change->fields, name->text, value);
  return TRUE;
}

gboolean
cl_change_parse_expected_revision (ClChange *change, ClParser *parser)
{
  if (!cl_parser_accept_word (parser, "if"))
    return TRUE;
  change->has_expected_revision = TRUE;
  return cl_parser_expect_revision (parser, &change->expected_revision);
}

void
cl_change_check_required (const ClChange *change, CmFindings *findings)
{
  if (change->kind == NULL)
    return;
  for (const CoField *field = change->kind->fields; field->name != NULL; field++)
    {
      char *where;

      if (!field->required || g_hash_table_contains (change->field_locations, field->name))
        continue;
      where = g_strdup_printf ("%s %s.%s", change->kind->name, change->name, field->name);
      cm_findings_add (findings, change->source, change->location.line, change->location.column,
                       where, "is required: %s", field->help);
      g_free (where);
    }
}

const char *
cl_change_find_field (const ClChange *change, const char *where)
{
  const char *key;
  json_t *value;

  if (where == NULL)
    return NULL;
  json_object_foreach (change->fields, key, value)
  {
    char *suffix = g_strconcat (".", key, NULL);
    gboolean matches = g_str_has_suffix (where, suffix);

    g_free (suffix);
    if (matches)
      return key;
  }
  return NULL;
}

ClLocation
cl_change_locate (const ClChange *change, const char *where)
{
  const char *field = cl_change_find_field (change, where);
  const ClLocation *location =
      field != NULL ? g_hash_table_lookup (change->field_locations, field) : NULL;

  return location != NULL ? *location : change->location;
}

static json_t *
change_to_json (const ClChange *change)
{
  json_t *json = json_pack ("{s:s, s:s, s:s}", "op", change->remove ? "remove" : "set", "kind",
                            change->kind->name, "name", change->name);

  if (!change->remove)
    {
      json_object_set (json, "fields", change->fields);
      json_object_set_new (json, "replace", json_boolean (change->replace));
    }
  if (change->has_expected_revision)
    json_object_set_new (json, "expect", json_integer ((json_int_t)change->expected_revision));
  return json;
}

json_t *
cl_changes_to_json (const GPtrArray *changes)
{
  json_t *list = json_array ();

  for (guint i = 0; i < changes->len; i++)
    json_array_append_new (list, change_to_json (g_ptr_array_index (changes, i)));
  return list;
}
