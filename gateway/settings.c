#include "settings.h"

#define FIELD(name) offsetof (GatewaySettings, name)

const CmSetting gateway_settings_table[] = {
  { .name = "boot",
    .type = CM_SETTING_STRING,
    .offset = FIELD (boot),
    .help = "Settings file that the platform writes; read again when it changes",
    .argument = "FILE" },
  { .name = "log-severity",
    .type = CM_SETTING_STRING,
    .offset = FIELD (log_severity),
    .fallback = "info",
    .help = "Least severity of log lines, by its syslog name",
    .argument = "NAME" },
  { .name = "turn-limit-us",
    .type = CM_SETTING_INTEGER,
    .offset = FIELD (turn_limit_us),
    .fallback = "2000",
    .min = 1,
    .max = 1e9,
    .help = "Processor time of one callback, in microseconds, beyond which it is logged",
    .argument = "US" },
  { 0 },
};
