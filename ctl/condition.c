#include "ctl/condition.h"

#include <string.h>

#include "ctl/value.h"

/* Conditions are parsed and evaluated recursively. Without these limits a very long condition from
 * a script would overflow the stack and crash the program instead of giving a finding. */
#define MAX_NESTING 64
#define MAX_JOINS   256

typedef enum
{
  CONDITION_AND,
  CONDITION_OR,
  CONDITION_NOT,
  CONDITION_COMPARE,
} ConditionType;

typedef enum
{
  OPERATOR_EQUAL,
  OPERATOR_UNEQUAL,
  OPERATOR_BELOW,
  OPERATOR_ABOVE,
  OPERATOR_AT_MOST,
  OPERATOR_AT_LEAST,
  OPERATOR_GLOB,
  OPERATOR_IN,
} Operator;

struct ClCondition
{
  ConditionType type;
  ClCondition *left; /* also the operand of CONDITION_NOT */
  ClCondition *right;
  char *column;
  Operator op;
  char **values; /* NULL-terminated; several for OPERATOR_IN only */
};

void
cl_condition_free (ClCondition *condition)
{
  if (condition == NULL)
    return;
  cl_condition_free (condition->left);
  cl_condition_free (condition->right);
  g_free (condition->column);
  g_strfreev (condition->values);
  g_free (condition);
}

char *
cl_column_parse (ClParser *parser, const ClTable *table)
{
  const ClToken *token = cl_parser_expect_text (parser, "a column");
  char **columns;
  char *list;

  if (token == NULL)
    return NULL;
  if (table == NULL || cl_table_has_column (table, token->text))
    return g_strdup (token->text);
  columns = cl_table_columns (table);
  list = g_strjoinv (", ", columns);
  cl_parser_finding (parser, token, "%s have no column \"%s\"; there are %s", table->name,
                     token->text, list);
  g_free (list);
  g_strfreev (columns);
  return g_strdup (token->text);
}

static gboolean
operator_parse (ClParser *parser, Operator *op)
{
  static const char *const symbols[] = {
    [OPERATOR_EQUAL] = "=", [OPERATOR_UNEQUAL] = "!=", [OPERATOR_BELOW] = "<",
    [OPERATOR_ABOVE] = ">", [OPERATOR_AT_MOST] = "<=", [OPERATOR_AT_LEAST] = ">=",
    [OPERATOR_GLOB] = "~",
  };

  for (guint i = 0; i < G_N_ELEMENTS (symbols); i++)
    {
      if (cl_parser_accept_symbol (parser, symbols[i]))
        {
          *op = (Operator)i;
          return TRUE;
        }
    }
  *op = OPERATOR_IN;
  if (cl_parser_accept_word (parser, "in"))
    return TRUE;
  cl_parser_finding (parser, cl_parser_peek (parser),
                     "one of = != < > <= >= ~ in was expected after a column");
  return FALSE;
}

static gboolean
values_parse (ClParser *parser, GPtrArray *values, gboolean is_list)
{
  do
    {
      const ClToken *token = cl_parser_expect_text (parser, "a value");

      if (token == NULL)
        return FALSE;
      g_ptr_array_add (values, g_strdup (token->text));
    }
  while (is_list && cl_parser_accept_symbol (parser, ","));
  return !is_list || cl_parser_expect_symbol (parser, ")");
}

static ClCondition *
comparison_parse (ClParser *parser, const ClTable *table)
{
  ClCondition *condition = g_new0 (ClCondition, 1);
  GPtrArray *values = g_ptr_array_new ();
  gboolean good;

  condition->type = CONDITION_COMPARE;
  condition->column = cl_column_parse (parser, table);
  good = condition->column != NULL && operator_parse (parser, &condition->op);
  if (good && condition->op == OPERATOR_IN)
    good = cl_parser_expect_symbol (parser, "(");
  good = good && values_parse (parser, values, condition->op == OPERATOR_IN);
  g_ptr_array_add (values, NULL);
  condition->values = (char **)g_ptr_array_free (values, FALSE);
  if (good)
    return condition;
  cl_condition_free (condition);
  return NULL;
}

static ClCondition *or_parse (ClParser *parser, const ClTable *table, guint depth);

static ClCondition *
factor_parse (ClParser *parser, const ClTable *table, guint depth)
{
  ClCondition *condition;

  if (depth > MAX_NESTING)
    {
      cl_parser_finding (parser, cl_parser_peek (parser), "is nested too deeply");
      return NULL;
    }
  if (cl_parser_accept_word (parser, "not"))
    {
      ClCondition *inner = factor_parse (parser, table, depth + 1);

      if (inner == NULL)
        return NULL;
      condition = g_new0 (ClCondition, 1);
      *condition = (ClCondition){ .type = CONDITION_NOT, .left = inner };
      return condition;
    }
  if (!cl_parser_accept_symbol (parser, "("))
    return comparison_parse (parser, table);
  condition = or_parse (parser, table, depth + 1);
  if (condition != NULL && cl_parser_expect_symbol (parser, ")"))
    return condition;
  cl_condition_free (condition);
  return NULL;
}

/* Joins two conditions. Frees `left` and returns NULL if `right` is NULL. */
static ClCondition *
conditions_join (ConditionType type, ClCondition *left, ClCondition *right)
{
  ClCondition *condition;

  if (right == NULL)
    {
      cl_condition_free (left);
      return NULL;
    }
  condition = g_new0 (ClCondition, 1);
  *condition = (ClCondition){ .type = type, .left = left, .right = right };
  return condition;
}

typedef ClCondition *(*OperandParseFunc) (ClParser *parser, const ClTable *table, guint depth);

/* Parses one or more operands separated by `word`. */
static ClCondition *
operands_parse (ClParser *parser,
                const ClTable *table,
                guint depth,
                OperandParseFunc parse_operand,
                const char *word,
                ConditionType type)
{
  ClCondition *condition = parse_operand (parser, table, depth);
  guint joins = 0;

  while (condition != NULL && cl_parser_next_is_word (parser, word))
    {
      if (++joins > MAX_JOINS)
        {
          cl_parser_finding (parser, cl_parser_peek (parser), "more than %d times \"%s\"",
                             MAX_JOINS, word);
          cl_condition_free (condition);
          return NULL;
        }
      cl_parser_next (parser);
      condition = conditions_join (type, condition, parse_operand (parser, table, depth));
    }
  return condition;
}

static ClCondition *
and_parse (ClParser *parser, const ClTable *table, guint depth)
{
  return operands_parse (parser, table, depth, factor_parse, "and", CONDITION_AND);
}

static ClCondition *
or_parse (ClParser *parser, const ClTable *table, guint depth)
{
  return operands_parse (parser, table, depth, and_parse, "or", CONDITION_OR);
}

ClCondition *
cl_condition_parse (ClParser *parser, const ClTable *table)
{
  return or_parse (parser, table, 0);
}

char *
cl_cell_to_text (const json_t *cell)
{
  char buffer[G_ASCII_DTOSTR_BUF_SIZE];

  switch (json_typeof (cell))
    {
    case JSON_STRING:
      return g_strdup (json_string_value (cell));
    case JSON_INTEGER:
      return g_strdup_printf ("%" JSON_INTEGER_FORMAT, json_integer_value (cell));
    case JSON_REAL:
      return g_strdup (g_ascii_formatd (buffer, sizeof buffer, "%.6g", json_real_value (cell)));
    case JSON_TRUE:
      return g_strdup ("true");
    case JSON_FALSE:
      return g_strdup ("false");
    case JSON_ARRAY:
      {
        GString *text = g_string_new (NULL);
        size_t index;
        json_t *item;

        json_array_foreach (cell, index, item)
        {
          char *part = cl_cell_to_text (item);

          g_string_append_printf (text, "%s%s", index > 0 ? "," : "", part);
          g_free (part);
        }
        return g_string_free (text, FALSE);
      }
    case JSON_OBJECT:
    case JSON_NULL:
      break;
    }
  return g_strdup ("-");
}

/* Negative, 0 or positive if the cell is less than, equal to or greater than `value`. */
static int
cell_compare (const json_t *cell, const char *value)
{
  double number;
  double cell_number;
  char *text;
  int order;

  if (json_is_number (cell) && cl_number_parse (value, &number))
    {
      cell_number = json_number_value (cell);
      return (cell_number > number) - (cell_number < number);
    }
  text = cl_cell_to_text (cell);
  order = strcmp (text, value);
  g_free (text);
  return order;
}

static gboolean
cell_matches_glob (const json_t *cell, const char *pattern)
{
  char *text = cl_cell_to_text (cell);
  gboolean matches = g_pattern_match_simple (pattern, text);

  g_free (text);
  return matches;
}

static gboolean
cell_in (const json_t *cell, char *const *values)
{
  for (guint i = 0; values[i] != NULL; i++)
    {
      if (cell_compare (cell, values[i]) == 0)
        return TRUE;
    }
  return FALSE;
}

static gboolean
cell_matches (const ClCondition *condition, const json_t *cell)
{
  switch (condition->op)
    {
    case OPERATOR_EQUAL:
    case OPERATOR_UNEQUAL:
      return cell_compare (cell, condition->values[0]) == 0;
    case OPERATOR_BELOW:
      return cell_compare (cell, condition->values[0]) < 0;
    case OPERATOR_ABOVE:
      return cell_compare (cell, condition->values[0]) > 0;
    case OPERATOR_AT_MOST:
      return cell_compare (cell, condition->values[0]) <= 0;
    case OPERATOR_AT_LEAST:
      return cell_compare (cell, condition->values[0]) >= 0;
    case OPERATOR_GLOB:
      return cell_matches_glob (cell, condition->values[0]);
    case OPERATOR_IN:
      return cell_in (cell, condition->values);
    }
  return FALSE;
}

static gboolean
comparison_matches (const ClCondition *condition, const json_t *row)
{
  const json_t *cell = json_object_get (row, condition->column);
  gboolean negated = condition->op == OPERATOR_UNEQUAL;
  gboolean matches = FALSE;

  if (cell == NULL || json_is_null (cell))
    matches = condition->op <= OPERATOR_UNEQUAL && strcmp (condition->values[0], "null") == 0;
  else if (json_is_array (cell))
    {
      for (size_t i = 0; i < json_array_size (cell) && !matches; i++)
        matches = cell_matches (condition, json_array_get (cell, i));
    }
  else
    matches = cell_matches (condition, cell);
  return matches != negated;
}

gboolean
cl_condition_matches (const ClCondition *condition, const json_t *row)
{
  switch (condition->type)
    {
    case CONDITION_AND:
      return cl_condition_matches (condition->left, row)
             && cl_condition_matches (condition->right, row);
    case CONDITION_OR:
      return cl_condition_matches (condition->left, row)
             || cl_condition_matches (condition->right, row);
    case CONDITION_NOT:
      return !cl_condition_matches (condition->left, row);
    case CONDITION_COMPARE:
      break;
    }
  return comparison_matches (condition, row);
}
