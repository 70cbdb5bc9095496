#include "ctl/query.h"

#include <string.h>

void
cl_query_free (ClQuery *query)
{
  if (query == NULL)
    return;
  cl_condition_free (query->where);
  g_strfreev (query->columns);
  g_free (query->order);
  g_free (query);
}

static const ClTable *
table_parse (ClParser *parser)
{
  const ClToken *token = cl_parser_expect_text (parser, "a table");
  const ClTable *table;
  GString *names;

  if (token == NULL)
    return NULL;
  table = cl_table_find (token->text);
  if (table != NULL)
    return table;
  names = g_string_new (NULL);
  for (const ClTable *known = cl_tables (); known->name != NULL; known++)
    g_string_append_printf (names, "%s%s", names->len > 0 ? ", " : "", known->name);
  cl_parser_finding (parser, token, "there is no table \"%s\"; there are %s", token->text,
                     names->str);
  g_string_free (names, TRUE);
  return NULL;
}

static void
where_parse (ClParser *parser, ClQuery *query)
{
  query->where = cl_condition_parse (parser, query->table);
}

static void
columns_parse (ClParser *parser, ClQuery *query)
{
  GPtrArray *columns = g_ptr_array_new ();
  char *column;

  do
    {
      column = cl_column_parse (parser, query->table);
      if (column != NULL)
        g_ptr_array_add (columns, column);
    }
  while (column != NULL && cl_parser_accept_symbol (parser, ","));
  g_ptr_array_add (columns, NULL);
  query->columns = (char **)g_ptr_array_free (columns, FALSE);
}

static void
order_parse (ClParser *parser, ClQuery *query)
{
  if (!cl_parser_accept_word (parser, "by"))
    {
      cl_parser_finding (parser, cl_parser_peek (parser), "\"by\" was expected after \"order\"");
      return;
    }
  query->order = cl_column_parse (parser, query->table);
  query->descending = cl_parser_accept_word (parser, "desc");
  if (!query->descending)
    cl_parser_accept_word (parser, "asc");
}

static void
limit_parse (ClParser *parser, ClQuery *query)
{
  const ClToken *token = cl_parser_expect_text (parser, "a number of rows");

  if (token != NULL
      && !g_ascii_string_to_unsigned (token->text, 10, 0, G_MAXINT64, &query->limit, NULL))
    cl_parser_finding (parser, token, "\"%s\" is not a number of rows", token->text);
}

typedef struct
{
  const char *name;
  void (*parse) (ClParser *parser, ClQuery *query);
} Clause;

static const Clause clauses[] = {
  { "columns", columns_parse },
  { "limit", limit_parse },
  { "order", order_parse },
  { "where", where_parse },
};

static int
clause_find (const ClToken *token)
{
  for (guint i = 0; i < G_N_ELEMENTS (clauses); i++)
    {
      if (token->type == CL_TOKEN_WORD && strcmp (token->text, clauses[i].name) == 0)
        return (int)i;
    }
  return -1;
}

/* Skips to the next clause after an error, so that findings on later clauses are reported too. */
static void
skip_to_clause (ClParser *parser)
{
  while (!cl_parser_at_end (parser) && clause_find (cl_parser_peek (parser)) < 0)
    cl_parser_next (parser);
}

static void
clauses_parse (ClParser *parser, ClQuery *query)
{
  guint seen = 0;

  while (!cl_parser_at_end (parser))
    {
      const ClToken *token = cl_parser_next (parser);
      int index = clause_find (token);
      guint findings_before = cm_findings_count (parser->findings);

      if (index < 0)
        cl_parser_finding (parser, token, "\"%s\" is none of where, columns, order by, limit",
                           token->text);
      else if ((seen & (1u << index)) != 0)
        cl_parser_finding (parser, token, "\"%s\" stands twice", token->text);
      else
        {
          seen |= 1u << index;
          clauses[index].parse (parser, query);
        }
      if (cm_findings_count (parser->findings) > findings_before)
        skip_to_clause (parser);
    }
}

ClQuery *
cl_query_parse (ClParser *parser)
{
  ClQuery *query = g_new0 (ClQuery, 1);
  guint findings_before = cm_findings_count (parser->findings);

  query->limit = G_MAXUINT64;
  query->table = table_parse (parser);
  if (!cl_parser_at_end (parser) && query->table == NULL)
    skip_to_clause (parser);
  clauses_parse (parser, query);
  if (cm_findings_count (parser->findings) == findings_before)
    return query;
  cl_query_free (query);
  return NULL;
}

char **
cl_query_columns (const ClQuery *query)
{
  return query->columns != NULL ? g_strdupv (query->columns) : cl_table_columns (query->table);
}

/* Sorts null and missing cells first, then numbers, then texts. */
static int
compare_cells (const json_t *a, const json_t *b)
{
  gboolean known_a = a != NULL && !json_is_null (a);
  gboolean known_b = b != NULL && !json_is_null (b);
  char *text_a;
  char *text_b;
  int order;

  if (!known_a || !known_b)
    return (known_a ? 1 : 0) - (known_b ? 1 : 0);
  if (json_is_number (a) && json_is_number (b))
    return (json_number_value (a) > json_number_value (b))
           - (json_number_value (a) < json_number_value (b));
  if (json_is_number (a) != json_is_number (b))
    return json_is_number (a) ? -1 : 1;
  text_a = cl_cell_to_text (a);
  text_b = cl_cell_to_text (b);
  order = strcmp (text_a, text_b);
  g_free (text_a);
  g_free (text_b);
  return order;
}

static gint
compare_rows (gconstpointer a, gconstpointer b, gpointer data)
{
  const ClQuery *query = data;
  int order = compare_cells (json_object_get (a, query->order), json_object_get (b, query->order));

  return query->descending ? -order : order;
}

static json_t *
row_project (const ClQuery *query, json_t *row)
{
  json_t *projected;

  if (query->columns == NULL)
    return json_incref (row);
  projected = json_object ();
  for (guint i = 0; query->columns[i] != NULL; i++)
    {
      json_t *cell = json_object_get (row, query->columns[i]);

      json_object_set_new (projected, query->columns[i],
                           cell != NULL ? json_incref (cell) : json_null ());
    }
  return projected;
}

json_t *
cl_query_run (const ClQuery *query, const json_t *rows)
{
  GList *chosen = NULL;
  json_t *result = json_array ();
  size_t index;
  json_t *row;

  json_array_foreach (rows, index, row)
  {
    if (query->where == NULL || cl_condition_matches (query->where, row))
      chosen = g_list_prepend (chosen, row);
  }
  chosen = g_list_reverse (chosen);
  if (query->order != NULL)
    chosen = g_list_sort_with_data (chosen, compare_rows, (gpointer)query);
  for (GList *item = chosen; item != NULL && json_array_size (result) < query->limit;
       item = item->next)
    json_array_append_new (result, row_project (query, item->data));
  g_list_free (chosen);
  return result;
}
