/** What instances announce of slow endpoints, and how reports of it are handled. */

#include "serve/pace.h"

#include "peers_internal.h"

/* A newer statement of an endpoint is told to other cells if it is newer than the last one by this:
 * its time is known to some ms only, and each repetition of it would be told otherwise. */
#define MIN_STATEMENT_INTERVAL (1 * KNL_SEC)

/* Most bytes of a pace in its row, and of a row without load that is added for a pace. */
#define PACE_BYTES      16
#define PACED_ROW_BYTES 96

/* What it takes to pass a datagram on within another one. */
#define PASSING_BYTES 64

static gboolean
has_space (const Alderturn__Datagram *datagram, gsize bytes)
{
  return alderturn__datagram__get_packed_size (datagram) + bytes <= MAX_DATAGRAM_BYTES;
}

static void
add_pace (const SvPeers *self, Rows *rows, guint row, const PolPaceEstimate *estimate)
{
  Alderturn__EndpointPace *pace = &rows->paces[row];
  KnlTime age = knl_kernel_now (self->kernel) - estimate->at;

  alderturn__endpoint_pace__init (pace);
  pace->percent = sv_pace_percent (TRUE, estimate);
  pace->samples = estimate->samples;
  pace->stated = estimate->is_stated;
  pace->age_ms = (guint32)CLAMP (age / KNL_MSEC, 0, (KnlTime)G_MAXUINT32);
  rows->loads[row].pace = pace;
  rows->n_paces++;
}

static gboolean
own_report (const SvPeers *self, const SvEndpoint *endpoint, PolPaceEstimate *estimate)
{
  return pol_pace_own_report (&endpoint->pace, knl_kernel_now (self->kernel), estimate);
}

static gboolean
cell_report (const SvPeers *self, const SvEndpoint *endpoint, PolPaceEstimate *estimate)
{
  return pol_pace_cell_report (&endpoint->pace, knl_kernel_now (self->kernel), estimate);
}

void
sv_peers_add_own_paces (const SvPeers *self, Alderturn__Datagram *datagram, Rows *rows)
{
  for (guint i = 0; i < datagram->n_loads; i++)
    {
      SvEndpoint *endpoint = rows->endpoints[i];
      PolPaceEstimate estimate;
      gboolean is_known = own_report (self, endpoint, &estimate);

      if (is_known && !has_space (datagram, PACE_BYTES))
        {
          endpoint->own_changed = TRUE;
          continue;
        }
      endpoint->announced_pace = sv_pace_percent (is_known, &estimate);
      if (is_known)
        add_pace (self, rows, i, &estimate);
    }
}

void
sv_peers_add_cell_paces (const SvPeers *self, Alderturn__Datagram *datagram, Rows *rows)
{
  for (guint i = 0; i < datagram->n_loads; i++)
    {
      SvEndpoint *endpoint = rows->endpoints[i];
      PolPaceEstimate estimate;
      gboolean is_known = cell_report (self, endpoint, &estimate);

      if (is_known && !has_space (datagram, PACE_BYTES + PASSING_BYTES))
        {
          endpoint->cell_changed = TRUE;
          continue;
        }
      endpoint->announced_cell_pace = sv_pace_percent (is_known, &estimate);
      if (is_known && estimate.is_stated)
        endpoint->announced_cell_statement = estimate.at;
      if (is_known)
        add_pace (self, rows, i, &estimate);
    }
}

/* Index of the endpoint's row; the number of rows if it has none. */
static guint
find_row (const Alderturn__Datagram *datagram, const SvEndpoint *endpoint)
{
  guint i = 0;

  while (i < datagram->n_loads && datagram->loads[i]->endpoint != endpoint->key)
    i++;
  return i;
}

/* FALSE: there is no space left. */
static gboolean
add_pace_in_turn (SvPeers *self,
                  Alderturn__Datagram *datagram,
                  Rows *rows,
                  SvEndpoint *endpoint,
                  const PolPaceEstimate *estimate)
{
  guint row = find_row (datagram, endpoint);
  gboolean is_new = row == datagram->n_loads;
  gsize n_rows = datagram->n_loads + rows->n_limits + rows->n_paces + 1 + is_new;

  if (n_rows > MAX_ROWS + SPARE_PACE_ROWS
      || !has_space (datagram, is_new ? PACED_ROW_BYTES : PACE_BYTES))
    return FALSE;
  if (is_new)
    sv_peers_add_own_load (self, datagram, rows, endpoint);
  endpoint->announced_pace = sv_pace_percent (TRUE, estimate);
  add_pace (self, rows, row, estimate);
  return TRUE;
}

void
sv_peers_add_paces_in_turn (SvPeers *self, Alderturn__Datagram *datagram, Rows *rows)
{
  const GPtrArray *endpoints = sv_fleet_all (self->fleet);
  guint first = self->next_paced;

  for (guint i = 0; i < endpoints->len; i++)
    {
      guint at = (first + i) % endpoints->len;
      SvEndpoint *endpoint = g_ptr_array_index (endpoints, at);
      PolPaceEstimate estimate;

      self->next_paced = at;
      if (own_report (self, endpoint, &estimate)
          && !add_pace_in_turn (self, datagram, rows, endpoint, &estimate))
        return;
    }
}

gboolean
sv_peers_has_told_cell_pace (const SvPeers *self, const SvEndpoint *endpoint)
{
  PolPaceEstimate estimate;
  gboolean is_known = cell_report (self, endpoint, &estimate);
  gint64 percent = sv_pace_percent (is_known, &estimate);
  gint64 announced = endpoint->announced_cell_pace;

  /* Other cells would otherwise ask the endpoint again. */
  if (is_known && estimate.is_stated
      && estimate.at >= endpoint->announced_cell_statement + MIN_STATEMENT_INTERVAL)
    return FALSE;
  return ABS (percent - announced) <= announced / 10;
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
                  .at = self->sent_at - (KnlTime)pace->age_ms * KNL_MSEC,
                  .is_stated = pace->stated },
  };

  sv_pace_note_report (endpoint, &report, now);
}
