#pragma once

/** Model of a plain service; counts the runs of each Idempotency-Key. */

#include <glib.h>

typedef enum
{
  SD_SERVICE_NORMAL,
  SD_SERVICE_HANG,          /**< accepts calls but neither runs nor answers them */
  SD_SERVICE_CUT_AFTER_RUN, /**< runs the call, then closes the connection without an answer */
  SD_SERVICE_REFUSE,        /**< answers that the call did not run */
  SD_SERVICE_SLOW,          /**< answers after the fault's delay */
} SdServiceFault;

typedef struct
{
  SdServiceFault fault;
  GHashTable *runs; /* key -> count */
  guint total;
} SdService;

void sd_service_init (SdService *service);
void sd_service_clear (SdService *service);

/** Parses the name of a fault as in docs/ADAPTERS.md; FALSE when it is unknown. */
gboolean sd_service_fault_parse (const char *name, SdServiceFault *fault);

/** Records a run of `key` and returns its total number of runs; "" counts calls without a key. */
guint sd_service_run (SdService *service, const char *key);
guint sd_service_runs (const SdService *service, const char *key);
