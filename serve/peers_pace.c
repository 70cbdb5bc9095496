/** What instances announce of slow endpoints, and how reports of it are handled. */

#include "serve/pace.h"

#include "peers_internal.h"

/* A newer statement of an endpoint is told to other cells if it is newer than the last one by this:
 * its time is known to some ms only, and each repetition of it would be told otherwise. */
#define MIN_STATEMENT_INTERVAL (1 * KNL_SEC)

static void
add_pace (const SvPeers *self,
          Alderturn__Datagram *datagram,
          Rows *rows,
          const PolPaceEstimate *estimate)
{
  gsize last = datagram->n_loads - 1;
  Alderturn__EndpointPace *pace = &rows->paces[last];
  KnlTime age = knl_kernel_now (self->kernel) - estimate->at;

  alderturn__endpoint_pace__init (pace);
  pace->percent = sv_pace_percent (TRUE, estimate);
  pace->samples = estimate->samples;
  pace->stated = estimate->is_stated;
  pace->age_ms = (guint32)CLAMP (age / KNL_MSEC, 0, (KnlTime)G_MAXUINT32);
  rows->loads[last].pace = pace;
  rows->n_paces++;
}

void
sv_peers_add_own_pace (const SvPeers *self,
                       Alderturn__Datagram *datagram,
                       Rows *rows,
                       SvEndpoint *endpoint)
{
  PolPaceEstimate estimate;
  gboolean is_known =
      pol_pace_own_report (&endpoint->pace, knl_kernel_now (self->kernel), &estimate);

  endpoint->announced_pace = sv_pace_percent (is_known, &estimate);
  if (is_known)
    add_pace (self, datagram, rows, &estimate);
}

gboolean
sv_peers_announces_pace (const SvPeers *self, const SvEndpoint *endpoint)
{
  PolPaceEstimate estimate;

  return pol_pace_own_report (&endpoint->pace, knl_kernel_now (self->kernel), &estimate);
}

gboolean
sv_peers_has_told_cell_pace (const SvPeers *self, const SvEndpoint *endpoint)
{
  PolPaceEstimate estimate;
  gboolean is_known =
      pol_pace_cell_report (&endpoint->pace, knl_kernel_now (self->kernel), &estimate);
  gint64 percent = sv_pace_percent (is_known, &estimate);
  gint64 announced = endpoint->announced_cell_pace;

  /* Other cells would otherwise ask the endpoint again. */
  if (is_known && estimate.is_stated
      && estimate.at >= endpoint->announced_cell_statement + MIN_STATEMENT_INTERVAL)
    return FALSE;
  return ABS (percent - announced) <= announced / 10;
}

void
sv_peers_add_cell_pace (const SvPeers *self,
                        Alderturn__Datagram *datagram,
                        Rows *rows,
                        SvEndpoint *endpoint)
{
  PolPaceEstimate estimate;
  gboolean is_known =
      pol_pace_cell_report (&endpoint->pace, knl_kernel_now (self->kernel), &estimate);

  endpoint->announced_cell_pace = sv_pace_percent (is_known, &estimate);
  if (is_known && estimate.is_stated)
    endpoint->announced_cell_statement = estimate.at;
  if (is_known)
    add_pace (self, datagram, rows, &estimate);
}

void
sv_peers_handle_pace (SvPeers *self,
                      SvEndpoint *endpoint,
                      const Alderturn__EndpointPace *pace,
                      guint32 source,
                      gboolean is_cell)
{
  KnlTime now = knl_kernel_now (self->kernel);
  PolPaceReport report = {
    .source = source,
    .is_cell = is_cell,
    .estimate = { .ratio = pace->percent / 100.0,
                  .samples = pace->samples,
                  .at = now - (KnlTime)pace->age_ms * KNL_MSEC,
                  .is_stated = pace->stated },
  };

  sv_pace_note_report (endpoint, &report, now);
}
