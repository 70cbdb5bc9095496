#include "tests/standins/engine_internal.h"

/* How often a running request checks that its imports are still held. */
#define IMPORT_CHECK_INTERVAL KNL_SEC

struct SdImport
{
  SdEngine *engine;
  json_t *list;
  char *request; /* running request to watch the imports for; NULL: check once */
  SdImportsFunc done;
  gpointer data;
  guint outstanding; /* outstanding answers */
  gboolean held;
  guint64 tokens;
  KnlTimerId timer;
};

void
sd_import_free (gpointer data)
{
  SdImport *import = data;

  knl_timer_stop (import->engine->kernel, &import->timer);
  json_decref (import->list);
  g_free (import->request);
  g_free (import);
}

static void
import_drop (SdImport *import)
{
  g_hash_table_remove (import->engine->imports, import);
}

static SdImport *
import_new (SdEngine *engine, const json_t *list)
{
  SdImport *import = g_new0 (SdImport, 1);

  import->engine = engine;
  import->list = list != NULL ? json_incref ((json_t *)list) : json_array ();
  g_hash_table_add (engine->imports, import);
  return import;
}

static void
request_exports (SdImport *import)
{
  const SdEngine *engine = import->engine;
  size_t i;
  json_t *item;

  /* One extra, so that answers made inside the calls can't end the check before all are sent. */
  import->outstanding = (guint)json_array_size (import->list) + 1;
  import->held = TRUE;
  import->tokens = 0;
  json_array_foreach (import->list, i, item)
  {
    const char *address = json_string_value (json_object_get (item, "engine"));
    const char *request = json_string_value (json_object_get (item, "request"));

    if (address != NULL && request != NULL)
      engine->host->export_from (address, request, import, engine->host_data);
    else
      sd_engine_exported (import, FALSE, 0);
  }
  sd_engine_exported (import, TRUE, 0);
}

static void
check_again (gpointer data)
{
  SdImport *import = data;
  const Request *request = g_hash_table_lookup (import->engine->by_id, import->request);

  import->timer = 0;
  if (request != NULL && request->state != REQUEST_ENDED)
    request_exports (import);
  else
    import_drop (import);
}

static void
watch (SdImport *import)
{
  import->timer =
      knl_timer_start (import->engine->kernel, IMPORT_CHECK_INTERVAL, check_again, import);
}

void
sd_engine_exported (SdImport *import, gboolean held, guint64 tokens)
{
  import->held = import->held && held;
  import->tokens += tokens;
  if (--import->outstanding > 0)
    return;
  if (import->request != NULL && import->held)
    {
      watch (import);
      return;
    }
  if (import->request != NULL)
    sd_engine_fail (import->engine, import->request, "import");
  else
    import->done (import->held, import->tokens, import->data);
  import_drop (import);
}

void
sd_engine_check_imports (SdEngine *engine, const json_t *imports, SdImportsFunc done, gpointer data)
{
  SdImport *import = import_new (engine, imports);

  import->done = done;
  import->data = data;
  request_exports (import);
}

void
sd_engine_watch_imports (SdEngine *engine, const char *request, const json_t *imports)
{
  SdImport *import = import_new (engine, imports);

  import->request = g_strdup (request);
  watch (import);
}
