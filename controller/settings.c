#include "controller/settings.h"

#include <stddef.h>

#define STRING(flag, field, value, text)                                                           \
  {                                                                                                \
    .name = (flag), .type = CM_SETTING_STRING, .offset = offsetof (CtSettings, field),             \
    .fallback = (value), .help = (text), .argument = "TEXT"                                        \
  }

#define ADDRESS(flag, field, is_optional, text)                                                    \
  {                                                                                                \
    .name = (flag), .type = CM_SETTING_ADDRESS, .offset = offsetof (CtSettings, field),            \
    .optional = (is_optional), .help = (text), .argument = "IP:PORT"                               \
  }

#define NUMBER(flag, field, value, min_value, max_value, text)                                     \
  {                                                                                                \
    .name = (flag), .type = CM_SETTING_INTEGER, .offset = offsetof (CtSettings, field),            \
    .fallback = (value), .min = (min_value), .max = (max_value), .help = (text), .argument = "N"   \
  }

static const CmSetting table[] = {
  STRING ("instance", instance, NULL, "Name of this instance"),
  STRING ("zone", zone, NULL, "Availability zone of this instance"),
  STRING ("region", region, "local", "Region of this instance"),
  ADDRESS ("listen-address",
           listen_address,
           FALSE,
           "Address for links from entries and controllers"),
  ADDRESS ("http-address", http_address, FALSE, "Address of the HTTP server for operators"),
  ADDRESS ("platform-address", platform_address, FALSE, "Address of the platform's services"),
  ADDRESS ("entry-address",
           entry_address,
           TRUE,
           "Address at which callers reach this instance's entry"),
  STRING ("secret", secret, NULL, "Secret shared by all processes of a deployment"),
  STRING ("operator-token", operator_token, NULL, "Token that operators authenticate with"),
  STRING ("log-severity", log_severity, "info", "Minimum severity of log lines"),
  NUMBER ("shards", shards, "32", 1, 1024, "Number of shards; the same at all controllers"),
  NUMBER ("lease-ms", lease_ms, "6000", 100, 600000, "Duration of a shard's lease, ms"),
  NUMBER ("platform-timeout-ms",
          platform_timeout_ms,
          "1500",
          10,
          60000,
          "Timeout of a call to the platform, ms"),
  NUMBER ("instance-poll-ms",
          instance_poll_ms,
          "1000",
          10,
          600000,
          "Time between reads of the instance list, ms"),
  NUMBER ("config-poll-ms",
          config_poll_ms,
          "1000",
          10,
          600000,
          "Time between reads of the configuration's revision by one of the zone's readers, ms"),
  NUMBER ("report-poll-ms",
          report_poll_ms,
          "500",
          10,
          60000,
          "Time between reads of an engine's report, ms"),
  NUMBER ("credit-ttl-ms", credit_ttl_ms, "2000", 100, 60000, "Duration of a credit grant, ms"),
  NUMBER ("idem-attempt-ms",
          idem_attempt_ms,
          "900000",
          1000,
          8.64e7,
          "Time after which a begun idempotency record becomes unknown, ms"),
  NUMBER ("idem-retention-hours",
          idem_retention_hours,
          "48",
          1,
          8760,
          "Minimum retention of idempotency records, hours"),
  NUMBER ("idem-answer-bytes",
          idem_answer_bytes,
          "65536",
          0,
          1048576,
          "Longest answer kept with an idempotency record, bytes"),
  NUMBER ("suspect-ttl-ms",
          suspect_ttl_ms,
          "3600000",
          1000,
          8.64e7,
          "Time that a crash fingerprint is kept, ms"),
  NUMBER ("load-interval-ms",
          load_interval_ms,
          "2000",
          0,
          3600000,
          "Minimum time between two orders of a controller that load weights, ms"),
  NUMBER ("history", history, "1000", 10, 100000, "Configuration changes kept in the table"),
  NUMBER ("drain-ms", drain_ms, "5000", 0, 600000, "Maximum duration of a graceful shutdown, ms"),
  NUMBER ("body-bytes",
          body_bytes,
          "1048576",
          1024,
          16777216,
          "Longest body of an operator's request, bytes"),
  { .name = NULL },
};

const CmSetting *
ct_settings_table (void)
{
  return table;
}
