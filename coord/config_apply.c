#include "coord/config_apply.h"

#include <stdlib.h>
#include <string.h>

#include "common/retry.h"
#include "coord/config_rows.h"

#define RETRY_MIN_DELAY (5 * KNL_MSEC)
#define RETRY_MAX_DELAY (250 * KNL_MSEC)

struct CoConfigApply
{
  const CoConfigApplyHost *host;
  char *operation;
  char *by;
  char *digest;
  json_t *changes;
  gboolean dry_run;
  CoApplyFunc done;
  gpointer data;
  TbCallId call;
  KnlTimerId retry;
  KnlTimerId deadline;
  CmBackoff backoff;
  gboolean waits_for_pull;
  guint64 revision;           /* the table's, as last read */
  guint64 revision_version;   /* version of its row */
  gboolean in_flight;         /* a transaction is in flight */
  gboolean unresolved;        /* a transaction without an answer may still take effect */
  guint64 unresolved_version; /* only while the revision's row has this version */
  CoApplyPlan *plan;
  CmFindings findings;
};

static void begin (gpointer data);

static void
apply_free (CoConfigApply *apply)
{
  tb_call_cancel (apply->host->platform, &apply->call);
  knl_timer_stop (apply->host->kernel, &apply->retry);
  knl_timer_stop (apply->host->kernel, &apply->deadline);
  if (apply->plan != NULL)
    co_apply_plan_free (apply->plan);
  cm_findings_clear (&apply->findings);
  json_decref (apply->changes);
  g_free (apply->operation);
  g_free (apply->by);
  g_free (apply->digest);
  g_free (apply);
}

static void
finish (CoConfigApply *apply, const CoApplyResult *result)
{
  apply->host->ended (apply->host->store, apply);
  apply->done (result, apply->data);
  apply_free (apply);
}

static void
finish_done (CoConfigApply *apply, guint64 revision)
{
  CoApplyResult result = { .status = CO_APPLY_DONE, .revision = revision };

  finish (apply, &result);
}

static void
finish_findings (CoConfigApply *apply)
{
  CoApplyResult result = { .status = CO_APPLY_FINDINGS, .findings = &apply->findings };

  finish (apply, &result);
}

void
co_config_apply_abandon (CoConfigApply *apply)
{
  CoApplyResult result = {
    .status = apply->in_flight || apply->unresolved ? CO_APPLY_UNKNOWN : CO_APPLY_NOT_RUN,
  };

  finish (apply, &result);
}

static void
on_deadline (gpointer data)
{
  CoConfigApply *apply = data;

  apply->deadline = 0;
  co_config_apply_abandon (apply);
}

static void
schedule_retry (CoConfigApply *apply)
{
  apply->retry = knl_timer_start (
      apply->host->kernel, cm_backoff_next (&apply->backoff, apply->host->kernel), begin, apply);
}

static void
on_conflicting_object (TbStatus status,
                       const TbRow *rows,
                       guint n_rows,
                       gboolean more,
                       gpointer data)
{
  CoConfigApply *apply = data;
  json_t *row = n_rows > 0 ? json_loads (rows[0].value, 0, NULL) : NULL;
  CoApplyResult result = {
    .status = CO_APPLY_CONFLICT,
    .conflict = {
      .kind = apply->plan->kind,
      .name = apply->plan->name,
      .expected = apply->plan->expected,
      .found = apply->plan->found,
      .operation = json_string_value (json_object_get (row, "operation")),
      .by = json_string_value (json_object_get (row, "by")),
    },
  };

  apply->call = 0;
  finish (apply, &result);
  json_decref (row);
}

/* Reads the object's row, which names the operation and the operator that changed it. */
static void
look_up_conflict (CoConfigApply *apply)
{
  char *key = co_object_key (apply->plan->kind, apply->plan->name);

  apply->call = tb_read (apply->host->platform, key, on_conflicting_object, apply);
  g_free (key);
}

/* Applies the accepted changes to the local replica without waiting for its next poll. */
static void
apply_to_replica (CoConfigApply *apply)
{
  Alderturn__ConfigPush push = ALDERTURN__CONFIG_PUSH__INIT;
  GArray *changes = apply->plan->changes;
  Alderturn__ConfigChange *list = g_new (Alderturn__ConfigChange, changes->len);
  Alderturn__ConfigChange **pointers = g_new (Alderturn__ConfigChange *, changes->len);

  push.from_revision = apply->revision;
  push.revision = apply->revision + changes->len;
  push.n_changes = changes->len;
  push.changes = pointers;
  for (guint i = 0; i < changes->len; i++)
    {
      const CoPlannedChange *planned = &g_array_index (changes, CoPlannedChange, i);

      alderturn__config_change__init (&list[i]);
      list[i].revision = apply->revision + i + 1;
      list[i].kind = planned->kind;
      list[i].name = planned->name;
      list[i].fields = planned->fields != NULL ? planned->fields : (char *)"";
      list[i].removed = planned->fields == NULL;
      pointers[i] = &list[i];
    }
  co_config_apply (apply->host->replica, &push);
  g_free (pointers);
  g_free (list);
}

static void
on_written (TbStatus status, guint64 version, gpointer data)
{
  CoConfigApply *apply = data;

  apply->call = 0;
  apply->in_flight = FALSE;
  if (status == TB_OK)
    {
      apply_to_replica (apply);
      finish_done (apply, apply->revision + apply->plan->changes->len);
      return;
    }
  /*
   * Without an answer the write may have taken effect, or may still do so. If it
   * were treated as a failure, the operator would get the reply that nothing changed,
   * and would apply again. begin() reads the operation's row back; the checks on that row and on
   * the revision ensure that the operation takes effect once only.
   */
  if (status == TB_UNKNOWN)
    {
      apply->unresolved = TRUE;
      apply->unresolved_version = apply->revision_version;
    }
  schedule_retry (apply);
}

typedef struct
{
  GPtrArray *keys;   /* char *, g_free */
  GPtrArray *values; /* char *, free */
} Rows;

static void
rows_add (Rows *rows, char *key, char *value)
{
  g_ptr_array_add (rows->keys, key);
  g_ptr_array_add (rows->values, value);
}

static Rows
rows_to_write (const CoConfigApply *apply)
{
  Rows rows = { g_ptr_array_new_with_free_func (g_free), g_ptr_array_new_with_free_func (free) };
  GArray *changes = apply->plan->changes;

  rows_add (&rows, g_strdup (CO_REVISION_ROW), co_revision_value (apply->revision + changes->len));
  rows_add (&rows, co_operation_key (apply->operation),
            co_operation_value (apply->revision + changes->len, apply->digest));
  for (guint i = 0; i < changes->len; i++)
    {
      const CoPlannedChange *change = &g_array_index (changes, CoPlannedChange, i);
      guint64 revision = apply->revision + i + 1;

      rows_add (&rows, co_change_key (revision),
                co_change_value (change, revision, apply->operation, apply->by));
      rows_add (&rows, co_object_key (change->kind, change->name),
                co_object_value (change, revision, apply->operation, apply->by));
    }
  return rows;
}

/* A list that changes an object twice has two values for its row: only the last is written. */
static gboolean
is_overwritten (const Rows *rows, guint index)
{
  for (guint i = index + 1; i < rows->keys->len; i++)
    {
      if (strcmp (g_ptr_array_index (rows->keys, i), g_ptr_array_index (rows->keys, index)) == 0)
        return TRUE;
    }
  return FALSE;
}

static void
write_rows (CoConfigApply *apply)
{
  Rows rows = rows_to_write (apply);
  TbWrite *writes = g_new0 (TbWrite, rows.keys->len);
  TbCheck checks[] = {
    { .key = CO_REVISION_ROW, .version = apply->revision_version },
    { .key = g_ptr_array_index (rows.keys, 1), .version = 0 },
  };
  TbTransaction transaction = { .checks = checks,
                                .n_checks = G_N_ELEMENTS (checks),
                                .writes = writes };

  for (guint i = 0; i < rows.keys->len; i++)
    {
      if (is_overwritten (&rows, i))
        continue;
      writes[transaction.n_writes].key = g_ptr_array_index (rows.keys, i);
      writes[transaction.n_writes++].value = g_ptr_array_index (rows.values, i);
    }
  apply->in_flight = TRUE;
  apply->call = tb_transact (apply->host->platform, &transaction, on_written, apply);
  g_ptr_array_free (rows.keys, TRUE);
  g_ptr_array_free (rows.values, TRUE);
  g_free (writes);
}

static void
evaluate (CoConfigApply *apply)
{
  if (*co_config_revision (apply->host->replica) != apply->revision)
    {
      apply->waits_for_pull = TRUE;
      apply->host->request_pull (apply->host->store, apply->revision);
      return;
    }
  if (apply->plan != NULL)
    co_apply_plan_free (apply->plan);
  apply->plan = co_apply_plan (apply->changes, apply->host->replica, &apply->findings);
  if (apply->plan->conflict)
    look_up_conflict (apply);
  else if (cm_findings_count (&apply->findings) > 0)
    finish_findings (apply);
  else if (apply->dry_run)
    finish_done (apply, apply->revision);
  else
    write_rows (apply);
}

static void
on_operation (TbStatus status, const TbRow *rows, guint n_rows, gboolean more, gpointer data)
{
  CoConfigApply *apply = data;
  json_t *row = n_rows > 0 ? json_loads (rows[0].value, 0, NULL) : NULL;
  const char *digest = json_string_value (json_object_get (row, "digest"));

  apply->call = 0;
  if (status != TB_OK)
    schedule_retry (apply);
  else if (row == NULL)
    {
      /* The revision was read before this row: a write that checked an older version of
         the revision's row can no longer take effect. */
      if (apply->unresolved_version != apply->revision_version)
        apply->unresolved = FALSE;
      evaluate (apply);
    }
  else if (g_strcmp0 (digest, apply->digest) == 0)
    finish_done (apply, (guint64)json_integer_value (json_object_get (row, "revision")));
  else
    {
      cm_findings_add (&apply->findings, "change", 1, 0, "operation",
                       "\"%s\" was used for other changes", apply->operation);
      finish_findings (apply);
    }
  json_decref (row);
}

static void
on_revision (TbStatus status, const TbRow *rows, guint n_rows, gboolean more, gpointer data)
{
  CoConfigApply *apply = data;
  char *key;

  apply->call = 0;
  if (status != TB_OK)
    {
      schedule_retry (apply);
      return;
    }
  apply->revision = n_rows > 0 ? co_row_revision (rows[0].value) : 0;
  apply->revision_version = n_rows > 0 ? rows[0].version : 0;
  key = co_operation_key (apply->operation);
  apply->call = tb_read (apply->host->platform, key, on_operation, apply);
  g_free (key);
}

static void
begin (gpointer data)
{
  CoConfigApply *apply = data;

  apply->retry = 0;
  apply->call = tb_read (apply->host->platform, CO_REVISION_ROW, on_revision, apply);
}

void
co_config_apply_resume (CoConfigApply *apply)
{
  if (!apply->waits_for_pull)
    return;
  apply->waits_for_pull = FALSE;
  schedule_retry (apply);
}

CoConfigApply *
co_config_apply_new (const CoConfigApplyHost *host,
                     const CoApply *request,
                     CoApplyFunc done,
                     gpointer data)
{
  CoConfigApply *apply = g_new0 (CoConfigApply, 1);

  apply->host = host;
  apply->operation = g_strdup (request->operation);
  apply->by = g_strdup (request->by);
  apply->changes = json_incref (request->changes);
  apply->digest = co_changes_digest (request->changes);
  apply->dry_run = request->dry_run;
  apply->done = done;
  apply->data = data;
  apply->backoff = (CmBackoff){ .first = RETRY_MIN_DELAY, .limit = RETRY_MAX_DELAY };
  cm_findings_init (&apply->findings);
  apply->deadline = knl_timer_start (host->kernel, host->timeout, on_deadline, apply);
  begin (apply);
  return apply;
}
