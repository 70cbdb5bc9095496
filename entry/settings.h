#pragma once

/** Settings of alderturn-entry. */

#include "common/settings.h"

typedef struct
{
  char *instance;
  char *zone;
  char *region;
  char *listen_address;
  char *controller_address;
  char *secret;
  char *operator_token;
  char *log_severity;
  char *router;
  gint64 keep_ms;
  gint64 drain_ms;
  gint64 max_in_flight;
  gint64 max_queued;
  gint64 max_new_tokens;
  gint64 max_limit_ms;
  gint64 max_body_bytes;
  gint64 max_header_bytes;
  gint64 max_unread_bytes;
} EntrySettings;

extern const CmSetting entry_settings_table[];
