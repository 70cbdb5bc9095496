#include "coord/config.h"

#include <string.h>

#include "common/log.h"
#include "coord/schema.h"

/* Changes retained for replicas that are slightly behind; others get a snapshot. */
#define MAX_HISTORY_CHANGES 1024

typedef struct
{
  CoObject base;
  json_t *defaults; /* of the kind's fields; owns default strings returned to callers */
} Object;

typedef struct
{
  CoConfigFunc func;
  gpointer data;
} Observer;

struct CoConfig
{
  guint64 revision;
  GTree *objects;       /* "KIND/NAME" -> Object */
  GQueue history;       /* Alderturn__ConfigChange, oldest first */
  guint64 history_from; /* the history is complete after this revision */
  GArray *observers;
};

static void
object_free (gpointer data)
{
  Object *object = data;

  g_free (object->base.kind);
  g_free (object->base.name);
  json_decref (object->base.fields);
  json_decref (object->defaults);
  g_free (object);
}

static gint
compare_keys (gconstpointer a, gconstpointer b, gpointer data)
{
  return strcmp (a, b);
}

static json_t *
defaults_of_kind (const char *name)
{
  const CoKind *kind = co_schema_kind (name);
  json_t *defaults = json_object ();

  for (const CoField *field = kind != NULL ? kind->fields : NULL;
       field != NULL && field->name != NULL; field++)
    {
      if (field->fallback != NULL)
        json_object_set_new (defaults, field->name,
                             json_loads (field->fallback, JSON_DECODE_ANY, NULL));
    }
  return defaults;
}

CoConfig *
co_config_new (void)
{
  CoConfig *config = g_new0 (CoConfig, 1);

  config->objects = g_tree_new_full (compare_keys, NULL, g_free, object_free);
  config->observers = g_array_new (FALSE, FALSE, sizeof (Observer));
  g_queue_init (&config->history);
  return config;
}

static void
change_free (gpointer data)
{
  alderturn__config_change__free_unpacked (data, NULL);
}

void
co_config_free (CoConfig *config)
{
  if (config == NULL)
    return;
  g_tree_destroy (config->objects);
  g_queue_clear_full (&config->history, change_free);
  g_array_free (config->observers, TRUE);
  g_free (config);
}

const guint64 *
co_config_revision (const CoConfig *config)
{
  return &config->revision;
}

/* Takes ownership of `fields`. protobuf-c frees with free(): g_strdup() uses malloc() as well. */
static Alderturn__ConfigChange *
change_new (guint64 revision, const char *kind, const char *name, char *fields, gboolean removed)
{
  Alderturn__ConfigChange *change = g_new (Alderturn__ConfigChange, 1);

  alderturn__config_change__init (change);
  change->revision = revision;
  change->kind = g_strdup (kind);
  change->name = g_strdup (name);
  change->fields = fields != NULL ? fields : g_strdup ("");
  change->removed = removed;
  return change;
}

static Alderturn__ConfigChange *
change_copy (const Alderturn__ConfigChange *change)
{
  return change_new (change->revision, change->kind, change->name, g_strdup (change->fields),
                     change->removed);
}

static void
apply_change (CoConfig *config, const Alderturn__ConfigChange *change)
{
  char *key = g_strconcat (change->kind, "/", change->name, NULL);
  json_t *fields = change->removed ? NULL : json_loads (change->fields, 0, NULL);
  Object *object;

  if (change->removed)
    {
      g_tree_remove (config->objects, key);
      g_free (key);
      return;
    }
  object = g_new0 (Object, 1);
  object->base.kind = g_strdup (change->kind);
  object->base.name = g_strdup (change->name);
  object->base.fields = fields != NULL ? fields : json_object ();
  object->base.revision = change->revision;
  object->defaults = defaults_of_kind (change->kind);
  g_tree_replace (config->objects, key, object);
}

static void
history_add (CoConfig *config, const Alderturn__ConfigChange *change)
{
  g_queue_push_tail (&config->history, change_copy (change));
  if (g_queue_get_length (&config->history) > MAX_HISTORY_CHANGES)
    {
      Alderturn__ConfigChange *oldest = g_queue_pop_head (&config->history);

      config->history_from = oldest->revision;
      change_free (oldest);
    }
}

static void
apply_snapshot (CoConfig *config, const Alderturn__ConfigPush *push)
{
  g_tree_remove_all (config->objects);
  g_queue_clear_full (&config->history, change_free);
  config->history_from = push->revision;
  for (size_t i = 0; i < push->n_changes; i++)
    apply_change (config, push->changes[i]);
}

static void
apply_changes (CoConfig *config, const Alderturn__ConfigPush *push)
{
  for (size_t i = 0; i < push->n_changes; i++)
    {
      if (push->changes[i]->revision <= config->revision)
        continue;
      apply_change (config, push->changes[i]);
      history_add (config, push->changes[i]);
    }
}

gboolean
co_config_apply (CoConfig *config, const Alderturn__ConfigPush *push)
{
  guint64 before = config->revision;

  /* A push that was delayed in transit, or that a peer which is behind has sent, would
     restore older objects, and the revision in force would go down. */
  if (push->revision <= before)
    return TRUE;
  if (push->from_revision > before)
    return FALSE;
  if (push->from_revision == 0)
    apply_snapshot (config, push);
  else
    apply_changes (config, push);
  config->revision = push->revision;
  cm_invariant (config->revision > before, "config-revision-rises");
  for (guint i = 0; i < config->observers->len; i++)
    {
      Observer observer = g_array_index (config->observers, Observer, i);

      observer.func (config, before, observer.data);
    }
  return TRUE;
}

static gboolean
add_object_to_push (gpointer key, gpointer value, gpointer data)
{
  const Object *object = value;
  Alderturn__ConfigPush *push = data;

  push->changes[push->n_changes++] =
      change_new (object->base.revision, object->base.kind, object->base.name,
                  json_dumps (object->base.fields, JSON_COMPACT | JSON_SORT_KEYS), FALSE);
  return FALSE;
}

Alderturn__ConfigPush *
co_config_push_since (const CoConfig *config, guint64 have)
{
  Alderturn__ConfigPush *push = g_new (Alderturn__ConfigPush, 1);
  gboolean snapshot = have == 0 || have < config->history_from;

  alderturn__config_push__init (push);
  push->from_revision = snapshot ? 0 : have;
  push->revision = MAX (config->revision, push->from_revision);
  if (snapshot)
    {
      push->changes = g_new0 (Alderturn__ConfigChange *, g_tree_nnodes (config->objects) + 1);
      g_tree_foreach (config->objects, add_object_to_push, push);
      return push;
    }
  push->changes = g_new0 (Alderturn__ConfigChange *, config->history.length + 1);
  for (GList *l = config->history.head; l != NULL; l = l->next)
    {
      Alderturn__ConfigChange *change = l->data;

      if (change->revision > have)
        push->changes[push->n_changes++] = change_copy (change);
    }
  return push;
}

const CoObject *
co_config_find (const CoConfig *config, const char *kind, const char *name)
{
  char *key = g_strconcat (kind, "/", name, NULL);
  const Object *object = g_tree_lookup (config->objects, key);

  g_free (key);
  return object != NULL ? &object->base : NULL;
}

typedef struct
{
  const char *kind;
  void (*func) (const CoObject *object, gpointer data);
  gpointer data;
} Walk;

static gboolean
walk_object (gpointer key, gpointer value, gpointer data)
{
  const Walk *walk = data;
  const Object *object = value;

  if (walk->kind == NULL || strcmp (walk->kind, object->base.kind) == 0)
    walk->func (&object->base, walk->data);
  return FALSE;
}

void
co_config_foreach (const CoConfig *config,
                   const char *kind,
                   void (*func) (const CoObject *object, gpointer data),
                   gpointer data)
{
  Walk walk = { .kind = kind, .func = func, .data = data };

  g_tree_foreach (config->objects, walk_object, &walk);
}

void
co_config_observe (CoConfig *config, CoConfigFunc func, gpointer data)
{
  Observer observer = { .func = func, .data = data };

  g_array_append_val (config->observers, observer);
}

static const json_t *
object_value (const CoObject *object, const char *field)
{
  const json_t *value = json_object_get (object->fields, field);

  return value != NULL ? value : json_object_get (((const Object *)object)->defaults, field);
}

const char *
co_object_string (const CoObject *object, const char *field)
{
  return json_string_value (object_value (object, field));
}

gint64
co_object_integer (const CoObject *object, const char *field)
{
  return json_integer_value (object_value (object, field));
}

double
co_object_double (const CoObject *object, const char *field)
{
  return json_number_value (object_value (object, field));
}

gboolean
co_object_boolean (const CoObject *object, const char *field)
{
  return json_is_true (object_value (object, field));
}
