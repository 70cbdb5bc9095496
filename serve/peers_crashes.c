/** Crashes under requests, and answers to these, that instances tell each other. */

#include <xxhash.h>

#include "peers_internal.h"

/* Datagrams with losses for an instance that has just started. */
#define MAX_SNAPSHOTS 4

/* Instances of a cell that tell one which has just started what they know of crashes. Several, as
 * others may have started just before it and know as little. */
#define TELLERS 8

static guint32
age_ms (const SvPeers *self, KnlTime since)
{
  return (guint32)((knl_kernel_now (self->kernel) - since) / KNL_MSEC);
}

static void
add_losses (const SvPeers *self,
            Alderturn__Datagram *datagram,
            Rows *rows,
            const SvCrash *losses,
            guint n)
{
  datagram->n_crashes = n;
  datagram->crashes = rows->crash_rows;
  for (guint i = 0; i < n; i++)
    {
      alderturn__endpoint_crash__init (&rows->crashes[i]);
      rows->crashes[i].request = losses[i].fingerprint;
      rows->crashes[i].endpoint = losses[i].endpoint;
      rows->crashes[i].age_ms = age_ms (self, losses[i].lost_at);
      rows->crash_rows[i] = &rows->crashes[i];
    }
}

gboolean
sv_peers_add_crashes (SvPeers *self,
                      Alderturn__Datagram *datagram,
                      Rows *rows,
                      SvCrashAudience audience)
{
  SvCrash losses[MAX_CRASH_ROWS];
  SvAcquittal acquittals[MAX_ANSWERED_ROWS];

  if (self->crashes == NULL)
    return FALSE;
  add_losses (self, datagram, rows, losses,
              sv_crashes_take_losses (self->crashes, audience, losses, MAX_CRASH_ROWS));
  datagram->n_answered =
      sv_crashes_take_acquittals (self->crashes, audience, acquittals, MAX_ANSWERED_ROWS);
  datagram->answered = rows->answered_rows;
  for (guint i = 0; i < datagram->n_answered; i++)
    {
      alderturn__answered_request__init (&rows->answered[i]);
      rows->answered[i].request = acquittals[i].fingerprint;
      rows->answered[i].age_ms = age_ms (self, acquittals[i].answered_at);
      rows->answered_rows[i] = &rows->answered[i];
    }
  return datagram->n_crashes + datagram->n_answered > 0;
}

void
sv_peers_repeat_crashes (SvPeers *self)
{
  gboolean repeats_all = sv_cells_rank (self) < CRASH_REPEATERS;

  if (self->crashes != NULL && sv_crashes_repeat (self->crashes, repeats_all))
    self->link.klass->crashes_changed (&self->link);
}

static void
send_losses (SvPeers *self, const Peer *peer, const SvCrash *losses, guint n)
{
  Alderturn__Cell cell = ALDERTURN__CELL__INIT;
  Alderturn__Datagram datagram;
  Alderturn__Sender sender;
  Rows rows;

  sv_peers_begin_datagram (self, &datagram, &rows);
  sv_peers_fill_sender (self, &datagram, &sender);
  cell.id = self->cell;
  datagram.cell = peer->is_in_cell ? NULL : &cell;
  add_losses (self, &datagram, &rows, losses, n);
  sv_peers_send (self, peer, &datagram);
}

/* Whether this instance tells the peer: a relay those of other cells, and some instances a new one
 * of their own cell. */
static gboolean
is_teller (const SvPeers *self, const Peer *peer)
{
  guint64 draw[] = { peer->incarnation, peer->id, self->id };
  guint n = sv_cells_alive (self)->len;

  if (!peer->is_in_cell)
    return sv_peers_is_relay (self);
  return n <= TELLERS || XXH64 (draw, sizeof draw, 0) <= G_MAXUINT64 / n * TELLERS;
}

void
sv_peers_send_known_crashes (SvPeers *self, const Peer *peer)
{
  SvCrash losses[MAX_SNAPSHOTS * MAX_CRASH_ROWS];
  guint n;

  if (!is_teller (self, peer))
    return;
  n = self->crashes != NULL ? sv_crashes_list (self->crashes, losses, G_N_ELEMENTS (losses)) : 0;
  for (guint i = 0; i < n; i += MAX_CRASH_ROWS)
    send_losses (self, peer, &losses[i], MIN (n - i, MAX_CRASH_ROWS));
  sv_peers_send_known_quarantines (self, peer);
}

static void
log_crash (const SvPeers *self, const SvCrash *crash, const Peer *peer)
{
  const SvEndpoint *endpoint = sv_fleet_by_key (self->fleet, crash->endpoint);
  g_autofree char *fingerprint = g_strdup_printf ("%016" G_GINT64_MODIFIER "x", crash->fingerprint);

  cm_log (CM_LOG_NOTICE, "crash-reported", "s", "fingerprint", fingerprint, "s", "endpoint",
          endpoint != NULL ? endpoint->id : NULL, "s", "peer", peer->name, "i", "age-us",
          knl_kernel_now (self->kernel) - crash->lost_at, "i", "crashes",
          (gint64)sv_crashes_count (self->crashes, crash->fingerprint));
}

void
sv_peers_handle_crashes (SvPeers *self,
                         const Peer *peer,
                         const Alderturn__Datagram *datagram,
                         SvCrashOrigin origin)
{
  KnlTime now = knl_kernel_now (self->kernel);

  for (guint i = 0; i < datagram->n_answered && self->crashes != NULL; i++)
    {
      const Alderturn__AnsweredRequest *row = datagram->answered[i];
      SvAcquittal acquittal = { row->request, self->sent_at - (KnlTime)row->age_ms * KNL_MSEC };

      sv_crashes_note_answer (self->crashes, &acquittal, origin);
    }
  for (guint i = 0; i < datagram->n_crashes && self->crashes != NULL; i++)
    {
      const Alderturn__EndpointCrash *row = datagram->crashes[i];
      SvCrash crash = { row->request, row->endpoint, now - (KnlTime)row->age_ms * KNL_MSEC };

      if (self->quarantine != NULL)
        sv_quarantine_note_closed (self->quarantine, crash.endpoint, crash.fingerprint,
                                   crash.lost_at);
      if (sv_crashes_note_loss (self->crashes, &crash, origin))
        log_crash (self, &crash, peer);
    }
}
