/** Evacuations in the confirmations that instances give each other: the store may have lost their
 * rows, which instances that start can't know by its answers. */

#include <string.h>

#include "confirm_internal.h"

/* Bytes of all names in one message, so that its datagram stays below MAX_DATAGRAM_BYTES. */
#define MAX_NAME_BYTES 1000

void
sv_confirm_add_evacuations (SvConfirm *self, Alderturn__Confirmation *answer, EvacuationRows *rows)
{
  SvEvacuation list[SV_MAX_REPORTED_EVACUATIONS];
  guint n = sv_evacuations_list (sv_fleet_evacuations (self->peers->fleet), list,
                                 SV_MAX_REPORTED_EVACUATIONS);
  KnlTime now = knl_kernel_now (self->kernel);
  gsize name_bytes = 0;

  answer->evacuated = rows->pointers;
  for (guint i = 0; i < n; i++)
    {
      Alderturn__Evacuation *row = &rows->rows[answer->n_evacuated];

      name_bytes += strlen (list[i].zone);
      if (name_bytes > MAX_NAME_BYTES)
        break;
      alderturn__evacuation__init (row);
      row->zone = (char *)list[i].zone;
      row->era = list[i].position.era;
      row->version = list[i].position.version;
      row->remaining_ms = (guint32)CLAMP ((list[i].until - now) / KNL_MSEC, 0, G_MAXUINT32);
      rows->pointers[answer->n_evacuated++] = row;
    }
  if (answer->n_evacuated < sv_evacuations_count (sv_fleet_evacuations (self->peers->fleet))
      && cm_log_rate_limit_allows (&self->evacuations_log_limit, now))
    cm_log (CM_LOG_WARNING, "evacuations-not-reported", "i", "reported",
            (gint64)answer->n_evacuated, "i", "evacuated",
            (gint64)sv_evacuations_count (sv_fleet_evacuations (self->peers->fleet)), "i", "so-far",
            self->evacuations_log_limit.count);
}

void
sv_confirm_note_evacuations (SvConfirm *self,
                             const Peer *peer,
                             const Alderturn__Confirmation *answer)
{
  SvEvacuations *evacuations = sv_fleet_evacuations (self->peers->fleet);

  for (gsize i = 0; i < answer->n_evacuated; i++)
    {
      const Alderturn__Evacuation *row = answer->evacuated[i];
      SvEvacuation reported = {
        .zone = row->zone,
        .position = { row->era, row->version },
        .until = knl_kernel_now (self->kernel) + (KnlTime)row->remaining_ms * KNL_MSEC,
      };

      if (sv_evacuations_note_reported (evacuations, &reported, answer->era))
        cm_log (CM_LOG_NOTICE, "evacuation-reported", "s", "peer", peer->name, "s", "zone",
                row->zone, "i", "row-era", (gint64)row->era, "i", "row-version",
                (gint64)row->version, "i", "remaining-ms", (gint64)row->remaining_ms);
    }
}
