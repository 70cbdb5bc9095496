#pragma once

/** The settings of alderturn-controller. */

#include "common/settings.h"

typedef struct
{
  char *instance;
  char *zone;
  char *region;
  char *listen_address;   /**< for links of entries and controllers */
  char *http_address;     /**< for operators */
  char *platform_address; /**< the table, the object store, the instance list */
  char *entry_address;    /**< where callers reach the entry of this instance; may be NULL */
  char *secret;
  char *operator_token;
  char *log_severity;
  gint64 shards;
  gint64 lease_ms;
  gint64 platform_timeout_ms;
  gint64 instance_poll_ms;
  gint64 config_poll_ms;
  gint64 report_poll_ms;
  gint64 credit_ttl_ms;
  gint64 idem_attempt_ms;
  gint64 idem_retention_hours;
  gint64 idem_answer_bytes;
  gint64 suspect_ttl_ms;
  gint64 load_interval_ms;
  gint64 history;
  gint64 drain_ms;
  gint64 body_bytes;
} CtSettings;

const CmSetting *ct_settings_table (void);
