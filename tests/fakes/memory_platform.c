#include "tests/fakes/memory_platform.h"

#include "table/codec.h"
#include "tests/fakes/memory_call.h"

#include <stdlib.h>
#include <string.h>

#define CALL_LIMIT (2 * KNL_SEC)

struct FkStore
{
  KnlKernel *kernel;
  SdTable *table;
  SdInstanceList *instances;
  GHashTable *in_flight; /* set of FkCall */
};

typedef struct
{
  TbTable base;
  FkCalls calls;
  FkStore *store;
  FkPlatformFault fault;
} MemoryPlatform;

typedef enum
{
  CALL_TRANSACT,
  CALL_READ,
  CALL_INSTANCES,
} CallKind;

typedef struct
{
  FkCall base;
  CallKind kind;
  FkStore *store;
  FkPlatformFault fault;
  gboolean delayed; /* the delay of a slow table has passed */
  json_t *transaction;
  char *key;
  char *after;
  gboolean prefix;
  guint limit_rows;
  TbStatus status;
  json_t *answer; /* in the format of docs/ADAPTERS.md */
  union
  {
    TbTransactFunc transact;
    TbRowsFunc rows;
    TbInstancesFunc instances;
  } done;
  gpointer data;
} Call;

static void
call_destroy (FkCall *base)
{
  Call *call = (Call *)base;

  json_decref (call->transaction);
  json_decref (call->answer);
  g_free (call->key);
  g_free (call->after);
  g_free (call);
}

static void
end_rows (Call *call, const char *text)
{
  gboolean more = FALSE;
  GArray *rows = tb_codec_parse_rows (text, strlen (text), &more);

  if (rows == NULL)
    {
      call->done.rows (call->status, NULL, 0, FALSE, call->data);
      return;
    }
  call->done.rows (TB_OK, (const TbRow *)(gpointer)rows->data, rows->len, more, call->data);
  tb_codec_rows_free (rows);
}

static void
end_instances (Call *call, const char *text)
{
  g_autoptr (GPtrArray) members = tb_codec_parse_instances (text, strlen (text));

  if (members == NULL)
    {
      call->done.instances (call->status, NULL, 0, call->data);
      return;
    }
  call->done.instances (TB_OK, (Alderturn__Member *const *)members->pdata, members->len,
                        call->data);
}

static void
finish (Call *call)
{
  char *text = call->answer != NULL ? json_dumps (call->answer, JSON_COMPACT) : strdup ("");
  guint64 version;

  if (call->kind == CALL_READ)
    end_rows (call, text);
  else if (call->kind == CALL_INSTANCES)
    end_instances (call, text);
  else
    {
      tb_codec_parse_version (text, strlen (text), &version);
      call->done.transact (call->status, version, call->data);
    }
  free (text);
}

/* The answer is converted to text and parsed again, as by the client over HTTP. */
static void
call_receive (FkCall *base, gpointer answered)
{
  Call *call = (Call *)base;

  if (answered == NULL)
    {
      call->status = call->kind == CALL_TRANSACT ? TB_UNKNOWN : TB_UNAVAILABLE;
      g_clear_pointer (&call->answer, json_decref);
    }
  fk_call_end (base);
  finish (call);
}

static void
execute_call (Call *call)
{
  if (call->kind == CALL_TRANSACT)
    call->status = sd_table_transact (call->store->table, call->transaction, &call->answer);
  else
    {
      call->answer = call->kind == CALL_READ ? sd_table_read (
                         call->store->table, call->key, call->prefix, call->after, call->limit_rows)
                                             : sd_instance_list_visible (call->store->instances);
      call->status = call->answer != NULL ? TB_OK : TB_UNAVAILABLE;
    }
  if (call->fault != FK_PLATFORM_LOSES_ANSWERS)
    fk_call_answer (&call->base, 0, call);
}

static void
call_arrive (FkCall *base)
{
  Call *call = (Call *)base;
  KnlTime delay = sd_table_delay (call->store->table);

  if (call->kind == CALL_INSTANCES || call->delayed || delay == 0)
    execute_call (call);
  else if (delay != KNL_NEVER)
    {
      call->delayed = TRUE;
      fk_call_arrive_later (base, delay);
    }
}

static const FkCallClass call_class = {
  .arrive = call_arrive,
  .receive = call_receive,
  .destroy = call_destroy,
};

/* Copies `from` and takes ownership of its strings. */
static TbCallId
call_start (TbTable *platform, const Call *from)
{
  MemoryPlatform *self = (MemoryPlatform *)platform;
  Call *call = g_memdup2 (from, sizeof *from);

  call->store = self->store;
  call->fault = self->fault;
  fk_call_open (&call->base, &call_class, &self->calls, CALL_LIMIT);
  if (call->fault == FK_PLATFORM_UNREACHABLE)
    {
      call->status = TB_UNAVAILABLE;
      fk_call_answer (&call->base, 0, call);
    }
  else if (call->fault != FK_PLATFORM_SILENT)
    fk_call_send (&call->base, call->store->kernel, call->store->in_flight);
  return call->base.id;
}

static TbCallId
memory_transact (TbTable *platform,
                 const TbTransaction *transaction,
                 TbTransactFunc done,
                 gpointer data)
{
  char *text = tb_codec_transaction (transaction);
  Call call = { .kind = CALL_TRANSACT,
                .transaction = json_loads (text, 0, NULL),
                .done.transact = done,
                .data = data };

  free (text);
  return call_start (platform, &call);
}

static TbCallId
memory_read (TbTable *platform,
             const char *key,
             gboolean prefix,
             const char *after,
             guint limit,
             TbRowsFunc done,
             gpointer data)
{
  Call call = { .kind = CALL_READ,
                .key = g_strdup (key),
                .after = g_strdup (after),
                .prefix = prefix,
                .limit_rows = limit,
                .done.rows = done,
                .data = data };

  return call_start (platform, &call);
}

static TbCallId
memory_instances (TbTable *platform, TbInstancesFunc done, gpointer data)
{
  Call call = { .kind = CALL_INSTANCES, .done.instances = done, .data = data };

  return call_start (platform, &call);
}

static void
memory_cancel (TbTable *platform, TbCallId id)
{
  fk_calls_drop (&((MemoryPlatform *)platform)->calls, id);
}

static void
memory_free (TbTable *platform)
{
  fk_calls_clear (&((MemoryPlatform *)platform)->calls);
  g_free (platform);
}

static const TbTableClass memory_class = {
  .transact = memory_transact,
  .read = memory_read,
  .instances = memory_instances,
  .cancel = memory_cancel,
  .free = memory_free,
};

TbTable *
fk_memory_platform_new (FkStore *store, KnlKernel *kernel)
{
  MemoryPlatform *self = g_new0 (MemoryPlatform, 1);

  self->base.klass = &memory_class;
  self->store = store;
  fk_calls_init (&self->calls, kernel);
  return &self->base;
}

void
fk_memory_platform_set_fault (TbTable *platform, FkPlatformFault fault)
{
  ((MemoryPlatform *)platform)->fault = fault;
}

FkStore *
fk_store_new (KnlKernel *kernel, KnlTime instances_lag)
{
  FkStore *store = g_new0 (FkStore, 1);

  store->kernel = kernel;
  store->table = sd_table_new (kernel, 0, 0);
  store->instances = sd_instance_list_new (kernel, instances_lag);
  store->in_flight = g_hash_table_new (g_direct_hash, g_direct_equal);
  return store;
}

void
fk_store_free (FkStore *store)
{
  if (store == NULL)
    return;
  fk_calls_abort (store->in_flight, FALSE);
  g_hash_table_unref (store->in_flight);
  sd_instance_list_free (store->instances);
  sd_table_free (store->table);
  g_free (store);
}

SdTable *
fk_store_table (FkStore *store)
{
  return store->table;
}

SdInstanceList *
fk_store_instances (FkStore *store)
{
  return store->instances;
}
