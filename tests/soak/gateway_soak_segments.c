/** Prompts of the gateway soak: all share segments, and some have one that crashes each endpoint
 * that answers them. What has crashed comes back as another endpoint. */

#include <string.h>

#include "gateway_soak_internal.h"

/* Fraction of the requests that are prompts, and of the prompts that crash their endpoint while
 * such come. */
#define PROMPT_FRACTION 0.5
#define DEADLY_FRACTION 0.1

/* Segments that sound prompts have one of, besides their own. */
#define SHARED_SEGMENTS 5

/* Time from a crash until the endpoint's next process runs. */
#define MIN_RESTART_MS 200
#define MAX_RESTART_MS 1500

/* Crashes after which the gateways must know the segment, the time that they have for that, and the
 * prompts with it that may reach endpoints afterwards, sent by gateways that had no fault within
 * that time. */
#define MAX_CRASHES      5
#define KNOWN_WITHIN     (3 * KNL_SEC)
#define MAX_LATE_PROMPTS 3

char *
gs_prompt_fields (Soak *self, Request *request)
{
  guint shared = (guint)g_rand_int_range (self->rand, 0, SHARED_SEGMENTS);

  if (g_rand_double (self->rand) >= PROMPT_FRACTION)
    return g_strdup ("");
  request->is_deadly = self->sends_deadly && g_rand_double (self->rand) < DEADLY_FRACTION;
  return g_strdup_printf ("X-Token-Counts: 200,10\r\nX-Prompt-Prefix: %x:40%s,%s:60\r\n",
                          0xaa0 + shared, request->is_deadly ? "," GS_DEADLY ":100" : "",
                          request->id + 1);
}

static void
on_restart (gpointer data)
{
  Endpoint *self = data;

  self->restart_timer = 0;
  gs_restart_endpoint (self->soak, (guint)(self - self->soak->endpoints));
}

void
gs_crash_endpoint (Endpoint *self, gboolean is_repeat)
{
  Soak *soak = self->soak;

  gs_end_endpoint (self);
  if (is_repeat)
    gs_note_repeat_crash (soak);
  else if (++soak->n_crashes == MAX_CRASHES)
    soak->known_from = gs_now (soak) + KNOWN_WITHIN;
  self->restart_timer = knl_timer_start (
      soak->harness->kernel,
      g_rand_int_range (soak->rand, MIN_RESTART_MS, MAX_RESTART_MS) * KNL_MSEC, on_restart, self);
}

/* The proxy in front of the first endpoint may hold requests for any time. An instance that has
 * just started, or was stopped, is told by its peers or by the store. */
void
gs_check_deadly (Endpoint *self, const Request *request)
{
  Soak *soak = self->soak;
  const Gateway *gateway = request->gateway;

  if (!request->is_deadly || request->is_repeat || self == soak->endpoints || soak->known_from == 0
      || request->sent_at < soak->known_from || request->sent_at < soak->rows_read_at
      || request->sent_at < MAX (gateway->faulted_at, gateway->resumed_at) + KNOWN_WITHIN)
    return;
  if (++soak->n_late_prompts <= MAX_LATE_PROMPTS)
    return;
  soak->violations++;
  fprintf (stderr,
           "broken: prompt %s to gateway-%d reached endpoint %d, number %u after %u crashes\n",
           request->id, (int)(gateway - soak->gateways), (int)(self - soak->endpoints),
           soak->n_late_prompts, soak->n_crashes);
}

/* Sound segments may share endpoints' ends by chance, but don't stay quarantined. */
void
gs_check_quarantined (Soak *self)
{
  const GPtrArray *processes = self->harness->processes;

  for (guint i = 0; i < processes->len; i++)
    {
      g_auto (GStrv) lines = g_strsplit (hn_output (g_ptr_array_index (processes, i)), "\n", -1);

      for (guint j = 0; lines[j] != NULL; j++)
        {
          if (strstr (lines[j], "\"event\":\"segment-quarantined\"") == NULL)
            continue;
          if (strstr (lines[j], "\"" GS_DEADLY "\"") != NULL)
            self->n_quarantined++;
          else
            {
              self->n_wrong++;
              fprintf (stderr, "wrong: %s\n", lines[j]);
            }
        }
    }
}
