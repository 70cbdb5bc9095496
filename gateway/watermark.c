/** Watermarks in the rows of the cells: the era of the store, and the version of the configuration
 * that was in use in it. A store that comes back from an older copy has no row with a watermark of
 * its new era until an instance writes one that knows what was in use before. */

#include "common/log.h"
#include "gateway.h"

static void
note_evacuations (Gateway *self, json_t *row, guint64 era)
{
  SvEvacuation evacuations[SV_MAX_REPORTED_EVACUATIONS];
  guint n = pl_decode_watermark_evacuations (row, evacuations, SV_MAX_REPORTED_EVACUATIONS);
  KnlTime offset;

  if (!pl_store_clock_offset (self->store, &offset))
    return;
  for (guint i = 0; i < n; i++)
    {
      evacuations[i].until -= offset;
      sv_evacuations_note_reported (sv_fleet_evacuations (self->fleet), &evacuations[i], era);
    }
}

gboolean
gateway_note_watermark (Gateway *self, json_t *row)
{
  SvPosition watermark;

  if (!pl_decode_watermark (row, &watermark))
    return FALSE;
  note_evacuations (self, row, watermark.era);
  sv_confirm_note_watermark (self->confirm, watermark);
  return TRUE;
}

/* A row has a watermark soon after the first instance was confirmed. */
void
gateway_note_no_watermark (Gateway *self)
{
  if (self->boot->is_first_start)
    sv_confirm_note_first_start (self->confirm, self->era);
}

static void
on_watermarks (PlStatus status, PlAnswer **answer, gpointer data)
{
  Gateway *self = data;
  gboolean has_any = FALSE;

  self->watermarks_call = NULL;
  if (status != PL_OK || *answer == NULL)
    {
      cm_log (CM_LOG_NOTICE, "watermarks-not-read", "s", "status", pl_status_name (status));
      return;
    }
  for (guint i = 0; i < (*answer)->rows->len; i++)
    {
      PlRow row;

      pl_row_decode (g_ptr_array_index ((*answer)->rows, i), &row);
      has_any |= gateway_note_watermark (self, row.value);
      json_decref (row.value);
    }
  if (!has_any)
    gateway_note_no_watermark (self);
}

void
gateway_read_watermarks (gpointer data)
{
  Gateway *self = data;

  if (self->watermarks_call == NULL)
    self->watermarks_call = pl_store_get (self->store, PL_CELL_TABLE, NULL, on_watermarks, self);
}

void
gateway_stop_reading_watermarks (Gateway *self)
{
  g_clear_pointer (&self->watermarks_call, pl_call_cancel);
}

static SvPosition
written_watermark (const Gateway *self)
{
  SvPosition written = { 0 };

  pl_decode_watermark (self->cell_row, &written);
  return written;
}

/* Later configurations of the era are in the store itself. */
gboolean
gateway_is_watermark_unwritten (const Gateway *self)
{
  SvPosition own = sv_confirm_watermark (self->confirm);

  return own.version > 0 && own.era > written_watermark (self).era;
}

/* The others are in the store itself. */
static void
encode_earlier_evacuations (const Gateway *self, json_t *row, guint64 era)
{
  SvEvacuation evacuations[SV_MAX_REPORTED_EVACUATIONS];
  guint n_listed = sv_evacuations_list (sv_fleet_evacuations (self->fleet), evacuations,
                                        SV_MAX_REPORTED_EVACUATIONS);
  guint n = 0;
  KnlTime offset;

  if (!pl_store_clock_offset (self->store, &offset))
    return;
  for (guint i = 0; i < n_listed; i++)
    {
      if (evacuations[i].position.era >= era)
        continue;
      evacuations[n] = evacuations[i];
      evacuations[n++].until += offset;
    }
  pl_encode_watermark_evacuations (row, evacuations, n);
}

void
gateway_encode_watermark (const Gateway *self, json_t *row)
{
  SvPosition own = sv_confirm_watermark (self->confirm);

  if (sv_position_compare (own, written_watermark (self)) == SV_POSITION_OLDER)
    {
      pl_copy_watermark (row, self->cell_row);
      return;
    }
  pl_encode_watermark (row, own);
  encode_earlier_evacuations (self, row, own.era);
}
