#include "ctl/change.h"

#include "ctl/value.h"

ClChange *
cl_change_new (const CoKind *kind, const char *name, const char *source, ClPlace place)
{
  ClChange *change = g_new0 (ClChange, 1);

  change->kind = kind;
  change->name = g_strdup (name);
  change->source = g_strdup (source);
  change->place = place;
  change->fields = json_object ();
  change->places = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
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
  g_hash_table_unref (change->places);
  g_free (change);
}

static const CoKind *
kind_check (ClParser *parser, const ClToken *token)
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
  found = kind_check (parser, kind);
  name = cl_parser_expect_text (parser, "a name");
  if (name == NULL)
    return NULL;
  if (!co_schema_name_valid (name->text))
    cl_parser_finding (parser, name,
                       "\"%s\" is no name: 1 to 63 of a-z, 0-9, \"-\", \".\", first a letter or "
                       "digit",
                       name->text);
  return cl_change_new (found, name->text, parser->source, (ClPlace){ kind->line, kind->column });
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
             ClPlace place,
             CmFindings *findings)
{
  json_t *alone = json_object ();
  char *where = g_strdup_printf ("%s %s.%s", change->kind->name, change->name, field);
  CmFindings all;

  cm_findings_init (&all);
  json_object_set (alone, field, value);
  co_schema_check (change->kind, change->name, alone, change->source, place.line, place.column,
                   &all);
  for (guint i = 0; i < cm_findings_count (&all); i++)
    {
      const CmFinding *finding = cm_findings_get (&all, i);

      if (g_strcmp0 (finding->where, where) == 0)
        cm_findings_add (findings, finding->source, finding->line, finding->column, where, "%s",
                         finding->text);
    }
  cm_findings_clear (&all);
  json_decref (alone);
  g_free (where);
}

gboolean
cl_change_parse_field (ClChange *change, ClParser *parser)
{
  const ClToken *name = cl_parser_expect_text (parser, "a field");
  ClPlace place;
  json_t *value;

  if (name == NULL)
    return FALSE;
  place = (ClPlace){ name->line, name->column };
  g_hash_table_insert (change->places, g_strdup (name->text), g_memdup2 (&place, sizeof place));
  if (!cl_parser_expect_symbol (parser, "="))
    return FALSE;
  value = cl_value_parse (parser,
                          change->kind != NULL ? co_kind_field (change->kind, name->text) : NULL);
  if (value == NULL)
    return FALSE;
  if (json_object_get (change->fields, name->text) != NULL)
    cl_parser_finding (parser, name, "\"%s\" stands twice", name->text);
  else if (change->kind != NULL)
    field_check (change, name->text, value, place, parser->findings);
  json_object_set_new (change->fields, name->text, value);
  return TRUE;
}

gboolean
cl_change_parse_expect (ClChange *change, ClParser *parser)
{
  if (!cl_parser_accept_word (parser, "if"))
    return TRUE;
  change->expects = TRUE;
  return cl_parser_expect_revision (parser, &change->expect);
}

void
cl_change_check_required (const ClChange *change, CmFindings *findings)
{
  if (change->kind == NULL)
    return;
  for (const CoField *field = change->kind->fields; field->name != NULL; field++)
    {
      char *where;

      if (!field->required || g_hash_table_contains (change->places, field->name))
        continue;
      where = g_strdup_printf ("%s %s.%s", change->kind->name, change->name, field->name);
      cm_findings_add (findings, change->source, change->place.line, change->place.column, where,
                       "is required: %s", field->help);
      g_free (where);
    }
}

const char *
cl_change_field_of (const ClChange *change, const char *where)
{
  const char *key;
  json_t *value;

  if (where == NULL)
    return NULL;
  json_object_foreach (change->fields, key, value)
  {
    char *suffix = g_strconcat (".", key, NULL);
    gboolean named = g_str_has_suffix (where, suffix);

    g_free (suffix);
    if (named)
      return key;
  }
  return NULL;
}

ClPlace
cl_change_locate (const ClChange *change, const char *where)
{
  const char *field = cl_change_field_of (change, where);
  const ClPlace *place = field != NULL ? g_hash_table_lookup (change->places, field) : NULL;

  return place != NULL ? *place : change->place;
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
  if (change->expects)
    json_object_set_new (json, "expect", json_integer ((json_int_t)change->expect));
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
