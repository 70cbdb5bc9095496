/** Quarantined segments, and the losses behind them, that instances tell each other. */

#include "peers_internal.h"

#define MAX_LOSS_ROWS     G_N_ELEMENTS (((SvQuarantineNews *)NULL)->losses)
#define MAX_SURVIVAL_ROWS G_N_ELEMENTS (((SvQuarantineNews *)NULL)->survivals)
#define MAX_ENTRY_ROWS    G_N_ELEMENTS (((SvQuarantineNews *)NULL)->entries)

/* Rows of a datagram, with the arrays that protobuf-c needs. */
typedef struct
{
  SvQuarantineNews news;
  Alderturn__SegmentLoss losses[MAX_LOSS_ROWS];
  Alderturn__SegmentLoss *loss_rows[MAX_LOSS_ROWS];
  Alderturn__SegmentSurvival survivals[MAX_SURVIVAL_ROWS];
  Alderturn__SegmentSurvival *survival_rows[MAX_SURVIVAL_ROWS];
  Alderturn__QuarantinedSegment entries[MAX_ENTRY_ROWS];
  Alderturn__QuarantinedSegment *entry_rows[MAX_ENTRY_ROWS];
  guint64 endpoints[MAX_ENTRY_ROWS][SV_QUARANTINE_LOSSES];
  guint32 lost_ms[MAX_ENTRY_ROWS][SV_QUARANTINE_LOSSES];
} NewsRows;

static guint32
age_ms (const SvPeers *self, KnlTime since)
{
  return (guint32)CLAMP ((knl_kernel_now (self->kernel) - since) / KNL_MSEC, 0, G_MAXUINT32);
}

/* The latest time that it may be. */
static KnlTime
time_of (const SvPeers *self, guint32 age)
{
  return knl_kernel_now (self->kernel) - (KnlTime)age * KNL_MSEC;
}

static void
add_losses (const SvPeers *self, Alderturn__Datagram *datagram, NewsRows *rows)
{
  datagram->segment_losses = rows->loss_rows;
  datagram->n_segment_losses = rows->news.n_losses;
  for (guint i = 0; i < rows->news.n_losses; i++)
    {
      SvSegmentUse *use = &rows->news.losses[i];
      Alderturn__SegmentLoss *row = &rows->losses[i];

      alderturn__segment_loss__init (row);
      row->request = use->request;
      row->endpoint = use->endpoint;
      row->service = use->service;
      row->age_ms = age_ms (self, use->at);
      row->segments = use->segments.ids;
      row->n_segments = use->segments.n;
      rows->loss_rows[i] = row;
    }
}

static void
add_survivals (const SvPeers *self, Alderturn__Datagram *datagram, NewsRows *rows)
{
  datagram->survivals = rows->survival_rows;
  datagram->n_survivals = rows->news.n_survivals;
  for (guint i = 0; i < rows->news.n_survivals; i++)
    {
      SvSegmentSurvival *survival = &rows->news.survivals[i];
      Alderturn__SegmentSurvival *row = &rows->survivals[i];

      alderturn__segment_survival__init (row);
      row->service = survival->service;
      row->age_ms = age_ms (self, survival->at);
      row->segments = survival->segments.ids;
      row->n_segments = survival->segments.n;
      rows->survival_rows[i] = row;
    }
}

static void
add_entries (const SvPeers *self, Alderturn__Datagram *datagram, NewsRows *rows)
{
  datagram->quarantined = rows->entry_rows;
  datagram->n_quarantined = rows->news.n_entries;
  for (guint i = 0; i < rows->news.n_entries; i++)
    {
      const SvQuarantined *entry = &rows->news.entries[i];
      Alderturn__QuarantinedSegment *row = &rows->entries[i];

      alderturn__quarantined_segment__init (row);
      row->segment = entry->segment;
      row->service = entry->service;
      row->age_ms = age_ms (self, entry->since);
      row->tests = entry->tests;
      for (guint j = 0; j < entry->n_losses; j++)
        {
          rows->endpoints[i][j] = entry->losses[j].endpoint;
          rows->lost_ms[i][j] = age_ms (self, entry->losses[j].lost_at);
        }
      row->endpoints = rows->endpoints[i];
      row->lost_ms = rows->lost_ms[i];
      row->n_endpoints = row->n_lost_ms = entry->n_losses;
      rows->entry_rows[i] = row;
    }
}

/* FALSE: there is nothing to send. */
static gboolean
fill_news (SvPeers *self, Alderturn__Datagram *datagram, NewsRows *rows, SvCrashAudience audience)
{
  if (self->quarantine == NULL
      || !sv_quarantine_take_news (self->quarantine, audience, &rows->news))
    return FALSE;
  add_losses (self, datagram, rows);
  add_survivals (self, datagram, rows);
  add_entries (self, datagram, rows);
  return TRUE;
}

/* Without a sequence number: it may overtake, or be overtaken by, the datagram sent just before,
 * and either would be dropped then. What it tells is the same in any order. */
static void
begin_news (SvPeers *self, Alderturn__Datagram *datagram, Rows *rows)
{
  sv_peers_begin_datagram (self, datagram, rows);
  self->sequence--;
  datagram->sequence = 0;
}

gboolean
sv_peers_send_quarantine (SvPeers *self)
{
  Alderturn__Datagram datagram;
  NewsRows news;
  Rows rows;

  begin_news (self, &datagram, &rows);
  if (!fill_news (self, &datagram, &news, SV_CRASHES_FOR_CELL))
    return FALSE;
  sv_peers_send_to_cell (self, &datagram);
  return TRUE;
}

gboolean
sv_relay_send_quarantine (SvPeers *self)
{
  Alderturn__Cell cell = ALDERTURN__CELL__INIT;
  Alderturn__Datagram datagram;
  NewsRows news;
  Rows rows;

  begin_news (self, &datagram, &rows);
  cell.id = self->cell;
  datagram.cell = &cell;
  if (!fill_news (self, &datagram, &news, SV_CRASHES_FOR_CELLS))
    return FALSE;
  sv_relay_send_to_cells (self, &datagram);
  return TRUE;
}

void
sv_peers_send_known_quarantines (SvPeers *self, const Peer *peer)
{
  SvQuarantined known[SV_MAX_QUARANTINED];
  guint n = self->quarantine != NULL
                ? sv_quarantine_list (self->quarantine, known, G_N_ELEMENTS (known))
                : 0;
  Alderturn__Cell cell = ALDERTURN__CELL__INIT;

  cell.id = self->cell;
  for (guint i = 0; i < n; i += MAX_ENTRY_ROWS)
    {
      Alderturn__Datagram datagram;
      NewsRows news = { .news.n_entries = MIN (n - i, (guint)MAX_ENTRY_ROWS) };
      Rows rows;

      for (guint j = 0; j < news.news.n_entries; j++)
        news.news.entries[j] = known[i + j];
      begin_news (self, &datagram, &rows);
      datagram.cell = peer->is_in_cell ? NULL : &cell;
      add_entries (self, &datagram, &news);
      sv_peers_send (self, peer, &datagram);
    }
}

static void
read_segments (SvSegments *segments, const guint64 *ids, gsize n)
{
  for (gsize i = 0; i < n; i++)
    sv_segments_add (segments, ids[i]);
}

static void
take_losses (SvPeers *self, const Alderturn__Datagram *datagram, SvCrashOrigin origin)
{
  for (gsize i = 0; i < datagram->n_segment_losses; i++)
    {
      const Alderturn__SegmentLoss *row = datagram->segment_losses[i];
      SvSegmentUse use = { .request = row->request,
                           .endpoint = row->endpoint,
                           .service = row->service,
                           .at = time_of (self, row->age_ms) };

      read_segments (&use.segments, row->segments, row->n_segments);
      sv_quarantine_note_loss (self->quarantine, &use, origin);
    }
}

static void
take_survivals (SvPeers *self, const Alderturn__Datagram *datagram, SvCrashOrigin origin)
{
  for (gsize i = 0; i < datagram->n_survivals; i++)
    {
      const Alderturn__SegmentSurvival *row = datagram->survivals[i];
      SvSegmentSurvival survival = { .service = row->service,
                                     .at = self->sent_at - (KnlTime)row->age_ms * KNL_MSEC };

      read_segments (&survival.segments, row->segments, row->n_segments);
      sv_quarantine_note_survival (self->quarantine, &survival, origin);
    }
}

static void
take_entries (SvPeers *self, const Alderturn__Datagram *datagram, SvCrashOrigin origin)
{
  for (gsize i = 0; i < datagram->n_quarantined; i++)
    {
      const Alderturn__QuarantinedSegment *row = datagram->quarantined[i];
      SvQuarantined entry = { .service = row->service,
                              .segment = row->segment,
                              .since = time_of (self, row->age_ms),
                              .tests = row->tests };

      entry.n_losses =
          (guint)MIN (MIN (row->n_endpoints, row->n_lost_ms), G_N_ELEMENTS (entry.losses));
      for (guint j = 0; j < entry.n_losses; j++)
        entry.losses[j] = (PolBlameLoss){ .endpoint = row->endpoints[j],
                                          .lost_at = time_of (self, row->lost_ms[j]) };
      sv_quarantine_adopt (self->quarantine, &entry, origin);
    }
}

gboolean
sv_peers_is_quarantine_news (const Alderturn__Datagram *datagram)
{
  return datagram->sequence == 0
         && datagram->n_segment_losses + datagram->n_survivals + datagram->n_quarantined > 0;
}

void
sv_peers_handle_quarantine (SvPeers *self,
                            const Alderturn__Datagram *datagram,
                            SvCrashOrigin origin)
{
  if (self->quarantine == NULL)
    return;
  take_survivals (self, datagram, origin);
  take_losses (self, datagram, origin);
  take_entries (self, datagram, origin);
  /* Who tells of a quarantine that has ended is answered. */
  if (datagram->n_quarantined > 0)
    self->link.klass->crashes_changed (&self->link);
}

void
sv_peers_tick_quarantine (SvPeers *self)
{
  /* First: what a request explains counts for no segment. */
  gboolean is_news = self->crashes != NULL && sv_crashes_tick (self->crashes);

  is_news |= self->quarantine != NULL && sv_quarantine_tick (self->quarantine);
  if (is_news)
    self->link.klass->crashes_changed (&self->link);
}

void
sv_peers_repeat_quarantine (SvPeers *self)
{
  if (self->quarantine != NULL && sv_cells_rank (self) < CRASH_REPEATERS
      && sv_quarantine_repeat (self->quarantine))
    self->link.klass->crashes_changed (&self->link);
}

void
sv_peers_set_quarantine (SvPeers *self, SvQuarantine *quarantine)
{
  self->quarantine = quarantine;
}
