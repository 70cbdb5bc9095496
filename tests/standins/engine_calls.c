#include "tests/standins/engine_internal.h"

#include <stdio.h>
#include <string.h>

static const char *
text_of (const json_t *body, const char *name)
{
  const char *text = json_string_value (json_object_get (body, name));

  return text != NULL ? text : "";
}

static int
cancel (SdEngine *engine, const json_t *body, json_t **answer)
{
  if (sd_engine_consume_fault (engine, SD_FAULT_LOSE_CANCEL))
    return 0;
  *answer = json_pack ("{s:b}", "found", sd_engine_cancel (engine, text_of (body, "request")));
  return 200;
}

static int
order (SdEngine *engine, const json_t *body, json_t **answer)
{
  EpOrder wanted = {
    .fence = (guint64)json_integer_value (json_object_get (body, "fence")),
    .model = text_of (body, "model"),
    .adapter = text_of (body, "adapter"),
    .role = *text_of (body, "role") != '\0' ? text_of (body, "role") : "any",
  };
  guint64 fence;
  gboolean done = sd_engine_order (engine, &wanted, &fence);

  *answer = json_pack ("{s:I}", "fence", (json_int_t)fence);
  return done ? 200 : 409;
}

static int
report (SdEngine *engine, const json_t *body, json_t **answer)
{
  const EpReport *r = sd_engine_report (engine);
  json_t *running = json_array ();

  for (guint i = 0; i < r->n_running; i++)
    json_array_append_new (running, json_pack ("{s:s, s:I}", "request", r->running[i].request,
                                               "tokens", (json_int_t)r->running[i].tokens));
  *answer = json_pack (
      "{s:I, s:I, s:I, s:I, s:i, s:i, s:i, s:I, s:f, s:f, s:I, s:I, s:s, s:s, s:s, s:b, s:b, s:o,"
      " s:I}",
      "incarnation", (json_int_t)r->incarnation, "capacity_tokens", (json_int_t)r->capacity_tokens,
      "used_tokens", (json_int_t)r->used_tokens, "cached_tokens", (json_int_t)r->cached_tokens,
      "capacity_slots", (int)r->capacity_slots, "used_slots", (int)r->used_slots, "waiting",
      (int)r->waiting, "prefill_backlog", (json_int_t)r->prefill_backlog, "prefill_rate",
      r->prefill_rate, "decode_rate", r->decode_rate, "age_ms", (json_int_t)(r->age / KNL_MSEC),
      "fence", (json_int_t)r->fence, "model", r->model, "adapter", r->adapter, "role", r->role,
      "leaving", r->leaving, "checks_fence", r->checks_fence, "running", running, "memory_waits",
      (json_int_t)engine->memory_waits);
  return 200;
}

static int
cache_events (SdEngine *engine, const json_t *body, json_t **answer)
{
  guint64 after = g_ascii_strtoull (text_of (body, "after"), NULL, 10);
  g_autoptr (GArray) events = g_array_new (FALSE, FALSE, sizeof (EpCacheEvent));
  guint64 last = sd_prefix_cache_events (engine->cache, after, events);
  json_t *list = json_array ();

  for (guint i = 0; i < events->len; i++)
    {
      const EpCacheEvent *event = &g_array_index (events, EpCacheEvent, i);
      char prefix[17];

      snprintf (prefix, sizeof prefix, "%016" G_GINT64_MODIFIER "x", event->prefix);
      json_array_append_new (list,
                             json_pack ("{s:I, s:s, s:s}", "seq", (json_int_t)event->sequence,
                                        "prefix", prefix, "op", event->added ? "add" : "evict"));
    }
  *answer = json_pack ("{s:I, s:o}", "last", (json_int_t)last, "events", list);
  return 200;
}

static int
ran (SdEngine *engine, const json_t *body, json_t **answer)
{
  const char *request = text_of (body, "request");
  const char *prompt = text_of (body, "prompt");
  guint64 hash = g_ascii_strtoull (prompt, NULL, 16);
  const GArray *all = engine->ran;
  json_t *list = json_array ();

  for (guint i = 0; i < all->len; i++)
    {
      const SdRan *item = &g_array_index (all, SdRan, i);

      if ((*request == '\0' || strcmp (request, item->request) == 0)
          && (*prompt == '\0' || hash == item->prompt_hash))
        json_array_append_new (list,
                               json_pack ("{s:s, s:I, s:b}", "request", item->request, "tokens",
                                          (json_int_t)item->tokens, "finished", item->finished));
    }
  *answer = json_pack ("{s:o}", "ran", list);
  return 200;
}

static int
export_held (SdEngine *engine, const json_t *body, json_t **answer)
{
  guint64 tokens = 0;
  gboolean found = sd_engine_export (engine, text_of (body, "request"), &tokens);

  *answer = json_pack ("{s:I}", "tokens", (json_int_t)tokens);
  return found ? 200 : 404;
}

int
sd_engine_call (SdEngine *engine, const char *path, const json_t *body, json_t **answer)
{
  static const struct
  {
    const char *path;
    int (*answer) (SdEngine *engine, const json_t *body, json_t **answer);
  } calls[] = {
    { "/v1/cancel", cancel },         { "/v1/orders", order },
    { "/v1/load", report },           { "/v1/cache-events", cache_events },
    { "/v1/kv/export", export_held }, { "/v1/ran", ran },
  };

  *answer = NULL;
  for (guint i = 0; i < G_N_ELEMENTS (calls); i++)
    {
      if (strcmp (calls[i].path, path) == 0)
        return calls[i].answer (engine, body, answer);
    }
  return 404;
}
