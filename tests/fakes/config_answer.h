#pragma once

#include <glib.h>

/**
 * An answer of the platform's store with a configuration of `n_routes` routes
 * and the version `changed`. Configurations with different `changed` differ in
 * one route. Free with g_free().
 */
char *fk_config_answer (guint n_routes, guint changed);
