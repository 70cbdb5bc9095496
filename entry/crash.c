/** Crashes of engines: reports the requests that ran there, and retries or refuses them. */

#include <string.h>

#include "common/log.h"
#include "entry/core_internal.h"
#include "wire/frame.h"

static GArray *
requests_at (EnCore *core, const char *endpoint)
{
  GArray *numbers = g_array_new (FALSE, FALSE, sizeof (guint64));
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, core->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const EnRequest *request = value;

      if ((request->attempt != NULL && strcmp (request->endpoint, endpoint) == 0)
          || (request->reservation != NULL && en_reservation_uses (request->reservation, endpoint)))
        g_array_append_val (numbers, request->number);
    }
  return numbers;
}

static void
send_report (EnCore *core, const EnEndpoint *endpoint, guint64 incarnation, GArray *fingerprints)
{
  Alderturn__CrashReport report = ALDERTURN__CRASH_REPORT__INIT;

  report.endpoint = endpoint->name;
  report.endpoint_incarnation = incarnation;
  report.reporter = core->instance;
  report.n_fingerprints = fingerprints->len;
  report.fingerprints = (guint64 *)(gpointer)fingerprints->data;
  en_uplink_send (core->uplink, WR_FRAME (CRASH_REPORT, crash_report, &report));
}

/*
 * A request that crashes engines would be retried on one engine after the other
 * until none is left. All requests that ran on the crashed engine become suspects
 * and run alone next, which identifies the request that causes the crashes.
 */
void
en_core_report_crash (EnCore *core, EnEndpoint *endpoint, guint epoch, guint64 incarnation)
{
  GArray *numbers;
  GArray *fingerprints;

  if (endpoint->crash_reported > epoch)
    return;
  endpoint->crash_reported = epoch + 1;
  numbers = requests_at (core, endpoint->name);
  fingerprints = g_array_new (FALSE, FALSE, sizeof (guint64));
  for (guint i = 0; i < numbers->len; i++)
    {
      EnRequest *request =
          g_hash_table_lookup (core->requests, &g_array_index (numbers, guint64, i));

      pol_suspects_note_crash (core->suspects, request->fingerprint);
      g_array_append_val (fingerprints, request->fingerprint);
    }
  cm_log (CM_LOG_WARNING, "engine-crashed", "s", "endpoint", endpoint->name, "i", "in_flight",
          (gint64)numbers->len);
  if (fingerprints->len > 0)
    send_report (core, endpoint, incarnation, fingerprints);
  g_array_unref (fingerprints);
  g_array_unref (numbers);
}

void
en_core_engine_restarted (EnEndpoint *endpoint, guint64 before, gpointer data)
{
  EnCore *core = data;
  GArray *numbers = requests_at (core, endpoint->name);

  en_core_report_crash (core, endpoint, endpoint->epoch - 1, before);
  for (guint i = 0; i < numbers->len; i++)
    {
      EnRequest *request =
          g_hash_table_lookup (core->requests, &g_array_index (numbers, guint64, i));

      if (request == NULL)
        continue;
      if (request->attempt != NULL && strcmp (request->endpoint, endpoint->name) == 0)
        en_attempt_engine_restarted (request->attempt);
      else if (request->reservation != NULL)
        en_reservation_engine_restarted (request->reservation, endpoint->name);
    }
  g_array_unref (numbers);
}

gboolean
en_core_refuse_quarantined (EnCore *core, EnRequest *request)
{
  PolSuspicion suspicion = pol_suspects_check (core->suspects, request->fingerprint);
  EnError error = {
    .code = EN_ERROR_QUARANTINED,
    .outcome = en_core_outcome_if_ended (request),
    .message = "endpoints that ran this request died",
  };

  request->need.alone = suspicion == POL_SUSPICION_RUN_ALONE;
  if (suspicion != POL_SUSPICION_REFUSED)
    return FALSE;
  en_core_end_error (core, request, &error);
  return TRUE;
}
