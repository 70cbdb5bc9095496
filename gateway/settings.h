#pragma once

/** Command line settings of alderturn-gateway; all other settings are in the platform's settings
 * file. */

#include "common/settings.h"

typedef struct
{
  char *boot;
  char *log_severity;
  gint64 turn_limit_us;
} GatewaySettings;

extern const CmSetting gateway_settings_table[];
