#pragma once

/** Settings of alderturn-gateway itself; all else stands in the platform's file. */

#include "common/settings.h"

typedef struct
{
  char *boot;
  char *log_severity;
  gint64 turn_limit_us;
} GatewaySettings;

extern const CmSetting gateway_settings_table[];
