#include "ctl/value.h"

#include <math.h>
#include <string.h>

/* 2^53: integers up to this value are exact in a double. */
#define MAX_EXACT_INTEGER 9007199254740992.0

gboolean
cl_number_parse (const char *text, double *number)
{
  static const char suffixes[] = "kMG";
  const char *found;
  char *end;

  if (strspn (text, "+-.0123456789eE") == 0)
    return FALSE;
  *number = g_ascii_strtod (text, &end);
  if (end == text || !isfinite (*number) || strpbrk (text, "xX") != NULL)
    return FALSE;
  if (*end == '\0')
    return TRUE;
  found = strchr (suffixes, *end);
  if (found == NULL || end[1] != '\0')
    return FALSE;
  *number *= pow (1000, (double)(found - suffixes) + 1);
  return TRUE;
}

static json_t *
number_to_json (double number)
{
  if (rint (number) == number && fabs (number) <= MAX_EXACT_INTEGER)
    return json_integer ((json_int_t)number);
  return json_real (number);
}

/* Text that doesn't match the field's type stays a string, which the schema check then reports. */
static json_t *
word_to_json (const char *text, const CoField *field)
{
  double number;

  if (field == NULL)
    return json_string (text);
  switch (field->type)
    {
    case CO_FIELD_INTEGER:
    case CO_FIELD_DOUBLE:
      return cl_number_parse (text, &number) ? number_to_json (number) : json_string (text);
    case CO_FIELD_BOOLEAN:
      if (strcmp (text, "true") == 0 || strcmp (text, "false") == 0)
        return json_boolean (strcmp (text, "true") == 0);
      return json_string (text);
    case CO_FIELD_STRING:
    case CO_FIELD_NAMES:
      break;
    }
  return json_string (text);
}

static json_t *
list_parse (ClParser *parser)
{
  json_t *list = json_array ();

  while (!cl_parser_accept_symbol (parser, "]"))
    {
      const ClToken *token;

      if (json_array_size (list) > 0 && !cl_parser_expect_symbol (parser, ","))
        goto failed;
      token = cl_parser_expect_text (parser, "a value");
      if (token == NULL)
        goto failed;
      json_array_append_new (list, json_string (token->text));
    }
  return list;

failed:
  json_decref (list);
  return NULL;
}

json_t *
cl_value_parse (ClParser *parser, const CoField *field)
{
  const ClToken *token;

  if (cl_parser_accept_symbol (parser, "["))
    return list_parse (parser);
  token = cl_parser_expect_text (parser, "a value");
  if (token == NULL)
    return NULL;
  return token->type == CL_TOKEN_STRING ? json_string (token->text)
                                        : word_to_json (token->text, field);
}
