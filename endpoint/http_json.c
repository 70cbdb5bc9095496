#include "endpoint/http_json.h"

json_t *
ep_json_parse (const char *text, gsize bytes)
{
  return json_loadb (text, bytes, JSON_ALLOW_NUL, NULL);
}

char *
ep_json_from_generate (const EpGenerate *generate)
{
  json_t *body = json_pack (
      "{s:s, s:s, s:s*, s:s%, s:I, s:I, s:i, s:b}", "request", generate->request, "model",
      generate->model, "adapter", generate->adapter, "prompt", generate->prompt,
      generate->prompt_bytes, "prompt_tokens", (json_int_t)generate->prompt_tokens, "max_tokens",
      (json_int_t)generate->max_tokens, "priority", generate->priority, "hold", generate->hold);
  char *text;

  if (body == NULL)
    return NULL;
  if (generate->imports != NULL)
    json_object_set_new (body, "imports", json_loads (generate->imports, 0, NULL));
  text = json_dumps (body, JSON_COMPACT);
  json_decref (body);
  return text;
}

char *
ep_json_from_order (const EpOrder *order)
{
  json_t *body = json_pack ("{s:I, s:s, s:s*, s:s}", "fence", (json_int_t)order->fence, "model",
                            order->model, "adapter", order->adapter, "role", order->role);
  char *text = json_dumps (body, JSON_COMPACT);

  json_decref (body);
  return text;
}

static guint64
uint_member (json_t *object, const char *name)
{
  return (guint64)MAX (json_integer_value (json_object_get (object, name)), 0);
}

static const char *
text_member (json_t *object, const char *name)
{
  return json_string_value (json_object_get (object, name));
}

static void
read_running (json_t *rows, EpReport *report)
{
  size_t index;
  json_t *row;
  EpRunning *running = g_new0 (EpRunning, json_array_size (rows) + 1);

  json_array_foreach (rows, index, row)
  {
    const char *request = text_member (row, "request");

    if (request == NULL)
      continue;
    running[report->n_running].request = (char *)request;
    running[report->n_running].tokens = uint_member (row, "tokens");
    report->n_running++;
  }
  report->running = running;
}

gboolean
ep_json_to_report (json_t *json, EpReport *report)
{
  if (!json_is_integer (json_object_get (json, "incarnation"))
      || !json_is_integer (json_object_get (json, "capacity_tokens")))
    return FALSE;
  *report = (EpReport){
    .incarnation = uint_member (json, "incarnation"),
    .capacity_tokens = uint_member (json, "capacity_tokens"),
    .used_tokens = uint_member (json, "used_tokens"),
    .cached_tokens = uint_member (json, "cached_tokens"),
    .capacity_slots = (guint)uint_member (json, "capacity_slots"),
    .used_slots = (guint)uint_member (json, "used_slots"),
    .waiting = (guint)uint_member (json, "waiting"),
    .prefill_backlog = uint_member (json, "prefill_backlog"),
    .prefill_rate = json_number_value (json_object_get (json, "prefill_rate")),
    .decode_rate = json_number_value (json_object_get (json, "decode_rate")),
    .age = (KnlTime)uint_member (json, "age_ms") * KNL_MSEC,
    .fence = uint_member (json, "fence"),
    .model = text_member (json, "model"),
    .adapter = text_member (json, "adapter"),
    .role = text_member (json, "role"),
    .leaving = json_is_true (json_object_get (json, "leaving")),
    .checks_fence = json_is_true (json_object_get (json, "checks_fence")),
  };
  read_running (json_object_get (json, "running"), report);
  return TRUE;
}

GArray *
ep_json_to_cache_events (json_t *json, guint64 *last)
{
  GArray *events = g_array_new (FALSE, TRUE, sizeof (EpCacheEvent));
  size_t index;
  json_t *row;

  *last = uint_member (json, "last");
  json_array_foreach (json_object_get (json, "events"), index, row)
  {
    const char *prefix = text_member (row, "prefix");
    EpCacheEvent event = {
      .sequence = uint_member (row, "seq"),
      .prefix = prefix != NULL ? g_ascii_strtoull (prefix, NULL, 16) : 0,
      .added = g_strcmp0 (text_member (row, "op"), "add") == 0,
    };

    if (prefix != NULL)
      g_array_append_val (events, event);
  }
  return events;
}
