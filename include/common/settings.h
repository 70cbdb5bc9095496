#pragma once

/**
 * Settings of a program: flags, read by GLib's option parser, each with an
 * environment variable ALDERTURN_<NAME>. A flag overrides its variable, which
 * overrides the default. All invalid settings are reported in one pass.
 */

#include <glib.h>

#include "common/findings.h"

typedef enum
{
  CM_SETTING_STRING,
  CM_SETTING_INTEGER, /**< gint64 within [min, max] */
  CM_SETTING_DOUBLE,  /**< within [min, max] */
  CM_SETTING_BOOLEAN, /**< a flag without a value; the variable is "true" or "false" */
  CM_SETTING_ADDRESS, /**< "IP:PORT" */
} CmSettingType;

/** One row of a program's table of settings; a row without a name ends the table. */
typedef struct
{
  const char *name; /**< flag without leading dashes, such as "listen-address" */
  CmSettingType type;
  gsize offset; /**< of the field in the settings struct: char *, gint64, double, gboolean */
  const char *fallback; /**< default as text; NULL: required unless `optional` */
  gboolean optional;    /**< a string or address that may be NULL */
  double min;
  double max;
  const char *help;     /**< one line, with the unit */
  const char *argument; /**< placeholder in --help */
} CmSetting;

/** Action requested on the command line. */
typedef enum
{
  CM_SETTINGS_RUN,
  CM_SETTINGS_CHECK, /**< --check: report the findings and exit */
  CM_SETTINGS_EXIT,  /**< --version was printed */
} CmSettingsAction;

/**
 * Fills `values` from the environment and `argv`. Unknown flags, unknown
 * ALDERTURN_ variables, missing values and invalid values are added to
 * `findings`. For --help GLib prints the help text and exits with status 0.
 * If `positional` isn't NULL, it receives the positional arguments (NULL-terminated,
 * free with g_strfreev), unless --version was given. If it is NULL, positional
 * arguments are findings.
 */
CmSettingsAction cm_settings_parse (const CmSetting *table,
                                    const char *summary,
                                    int argc,
                                    char **argv,
                                    gpointer values,
                                    char ***positional,
                                    CmFindings *findings);

/** Frees the strings in `values` and sets them to NULL. */
void cm_settings_clear (const CmSetting *table, gpointer values);

/** Splits "IP:PORT" or "[IPv6]:PORT"; FALSE if malformed. `host` may be NULL; free with g_free. */
gboolean cm_address_parse (const char *address, char **host, guint16 *port);
