#pragma once

#include <glib.h>

/**
 * An answer of the platform's store with a configuration of so many routes, of
 * the version `changed`; one route is another than with a different `changed`.
 * Free with g_free().
 */
char *fk_config_answer (guint n_routes, guint changed);
