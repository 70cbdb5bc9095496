#pragma once

/**
 * The replica of the declared configuration that every daemon keeps.
 *
 * Objects are declared by operators and have a kind, a name and fields
 * (coord/schema.h). Each accepted change has its own revision, one higher than
 * that of the change before it. A replica's revision only rises: a change or
 * snapshot older than the replica is dropped.
 */

#include <glib.h>
#include <jansson.h>

#include "wire/alderturn.pb-c.h"

typedef struct CoConfig CoConfig;

typedef struct
{
  char *kind; /**< "model", "adapter", "service", "workspace", "instance" */
  char *name;
  json_t *fields;
  guint64 revision; /**< of the last change to the object */
} CoObject;

/** Called after the replica has changed, with the revision it had before. */
typedef void (*CoConfigFunc) (CoConfig *config, guint64 before, gpointer data);

CoConfig *co_config_new (void);
void co_config_free (CoConfig *config);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (CoConfig, co_config_free)

/** The replica's revision; 0 while it has none. The pointer is valid for the replica's lifetime. */
const guint64 *co_config_revision (const CoConfig *config);

/**
 * Applies a push. A push that starts after the replica's revision (a gap), or that
 * doesn't go beyond it, is ignored. Returns TRUE when the replica is now at
 * push->revision or later.
 */
gboolean co_config_apply (CoConfig *config, const Alderturn__ConfigPush *push);

/**
 * Builds the push that brings a replica from revision `have` to this one's: a snapshot
 * when `have` is 0 or older than the retained history. Free with
 * alderturn__config_push__free_unpacked().
 */
Alderturn__ConfigPush *co_config_push_since (const CoConfig *config, guint64 have);

/** Returns the object, or NULL; owned by the replica, valid until the next apply. */
const CoObject *co_config_find (const CoConfig *config, const char *kind, const char *name);

/** Calls `func` for each object of `kind` (NULL: of every kind), ordered by kind and name. */
void co_config_foreach (const CoConfig *config,
                        const char *kind,
                        void (*func) (const CoObject *object, gpointer data),
                        gpointer data);

/** Adds an observer; it can't be removed and must stay valid as long as the replica. */
void co_config_observe (CoConfig *config, CoConfigFunc func, gpointer data);

/** Typed access to a field; a field that isn't set has the schema's default. */
const char *co_object_string (const CoObject *object, const char *field);
gint64 co_object_integer (const CoObject *object, const char *field);
double co_object_double (const CoObject *object, const char *field);
gboolean co_object_boolean (const CoObject *object, const char *field);
