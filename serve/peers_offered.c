/** Reports of offered load that instances send each other while a service is saturated. */

#include "peers_internal.h"
#include "serve/offered.h"

/* Interval of the reports of an instance. It grows with the number of peers, so that the reports
 * that an instance receives per second stay bounded, up to less than half of the time after which
 * they aren't used any more. */
#define REPORT_INTERVAL          (200 * KNL_MSEC)
#define REPORT_INTERVAL_PER_PEER (4 * KNL_MSEC)
#define MAX_REPORT_INTERVAL      (900 * KNL_MSEC)

/* Rows of a datagram, with the array of pointers that protobuf-c needs. */
typedef struct
{
  Alderturn__OfferedLoad rows[SV_OFFERED_MAX_ROWS];
  Alderturn__OfferedLoad *row_pointers[SV_OFFERED_MAX_ROWS];
} OfferedRows;

static void
fill_row (Alderturn__OfferedLoad *row, const SvOfferedReport *report, const PolOfferedRow *offered)
{
  alderturn__offered_load__init (row);
  row->service = report->service;
  row->class_ = offered->class;
  row->workspace = offered->workspace;
  /* Rounded up: a row of little load remains one. */
  row->cost = (guint32)MIN ((offered->load + KNL_MSEC - 1) / KNL_MSEC, G_MAXUINT32);
  row->age_ms = (guint32)(report->age / KNL_MSEC);
  row->workspaces = offered->workspace == 0 ? offered->n : 0;
}

static void
add_report (Alderturn__Datagram *datagram, OfferedRows *rows, const SvOfferedReport *report)
{
  static const PolOfferedRow none = { 0 };

  for (guint i = 0; i < report->n_rows; i++)
    fill_row (&rows->rows[i], report, &report->rows[i]);
  /* An instance that is offered nothing counts as heard only if it says so. */
  if (report->n_rows == 0)
    fill_row (&rows->rows[0], report, &none);
  datagram->n_offered = MAX (report->n_rows, 1);
  datagram->offered = rows->row_pointers;
  for (guint i = 0; i < datagram->n_offered; i++)
    rows->row_pointers[i] = &rows->rows[i];
}

static void
send_own_report (SvPeers *self, guint32 service)
{
  Alderturn__Datagram datagram;
  SvOfferedReport report;
  OfferedRows offered;
  Rows rows;

  sv_peers_begin_datagram (self, &datagram, &rows);
  sv_offered_report_own (self->offered, service, &report);
  add_report (&datagram, &offered, &report);
  sv_peers_send_to_cell (self, &datagram);
}

static void
send_cell_report (SvPeers *self, guint32 service)
{
  Alderturn__Cell cell = ALDERTURN__CELL__INIT;
  Alderturn__Datagram datagram;
  SvOfferedReport report;
  OfferedRows offered;
  Rows rows;

  sv_peers_begin_datagram (self, &datagram, &rows);
  cell.id = self->cell;
  datagram.cell = &cell;
  sv_offered_report_cell (self->offered, service, 1 + sv_peers_n_alive_in_cell (self), &report);
  add_report (&datagram, &offered, &report);
  sv_relay_send_to_cells (self, &datagram);
}

static KnlTime
report_interval (const SvPeers *self)
{
  return CLAMP ((KnlTime)self->n_in_cell * REPORT_INTERVAL_PER_PEER, REPORT_INTERVAL,
                MAX_REPORT_INTERVAL);
}

static void
on_report_due (gpointer data)
{
  SvPeers *self = data;
  g_autoptr (GArray) services = sv_offered_reported_services (self->offered);
  gboolean is_relay = sv_peers_is_relay (self);

  self->offered_timer = 0;
  for (guint i = 0; i < services->len; i++)
    {
      guint32 service = g_array_index (services, guint32, i);

      send_own_report (self, service);
      if (is_relay)
        send_cell_report (self, service);
    }
  if (services->len > 0)
    self->offered_timer =
        knl_timer_start (self->kernel, report_interval (self), on_report_due, self);
}

/* All instances see the saturation at the same time; their reports are spread over an interval. */
static void
on_saturated (gpointer data)
{
  SvPeers *self = data;
  KnlTime wait =
      (KnlTime)(g_rand_double (knl_kernel_rand (self->kernel)) * (double)report_interval (self));

  if (self->offered_timer == 0)
    self->offered_timer = knl_timer_start (self->kernel, wait, on_report_due, self);
}

void
sv_peers_set_offered (SvPeers *self, SvOffered *offered)
{
  if (self->offered != NULL)
    sv_offered_on_saturated (self->offered, NULL, NULL);
  knl_timer_stop (self->kernel, &self->offered_timer);
  self->offered = offered;
  if (offered != NULL)
    sv_offered_on_saturated (offered, on_saturated, self);
}

void
sv_peers_handle_offered (SvPeers *self,
                         const SvOfferedSource *source,
                         const Alderturn__Datagram *datagram)
{
  SvOfferedReport report = { 0 };

  if (self->offered == NULL || datagram->n_offered == 0)
    return;
  report.service = datagram->offered[0]->service;
  report.age = (KnlTime)datagram->offered[0]->age_ms * KNL_MSEC;
  for (guint i = 0; i < datagram->n_offered && report.n_rows < SV_OFFERED_MAX_ROWS; i++)
    {
      const Alderturn__OfferedLoad *row = datagram->offered[i];

      if (row->service != report.service)
        continue;
      report.rows[report.n_rows++] = (PolOfferedRow){ .class = row->class_,
                                                      .workspace = row->workspace,
                                                      .n = row->workspaces,
                                                      .load = (guint64)row->cost * KNL_MSEC };
    }
  sv_offered_note_report (self->offered, source, &report);
}
