#pragma once

/** Request ids: "INSTANCE~INCARNATION~NUMBER", assigned by the entry. */

#include <glib.h>

/**
 * Returns the process that assigned a request id, or FALSE if `request` is not
 * one. Free `instance` with g_free().
 */
gboolean co_request_parse (const char *request, char **instance, guint64 *incarnation);
