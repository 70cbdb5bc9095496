/** Confirmations by the store's own answers. */

#include "confirm_internal.h"

/* Instances of its cell that one whose era isn't trusted asks at once. */
#define MAX_ASKED 8

/* Instances of a cell that ask the relays of other cells, and read the watermarks, at once. After
 * an outage all of a cell would; who learns something tells the others. */
#define MAX_ASKING_OUTSIDE 8

/* How long answers to a request are waited for before the next one has another stamp: their age is
 * counted from the first request with it. */
#define STAMP_TTL (500 * KNL_MSEC)

static gboolean
is_recent (const SvConfirm *self, KnlTime at)
{
  return at != -KNL_NEVER && knl_kernel_now (self->kernel) - at < self->max_staleness;
}

static gboolean
has_recent_confirmation (const SvConfirm *self)
{
  return is_recent (self, self->events->confirmed_at (self->data));
}

/* Where the store may have been restored, and without a recent confirmation, the order in which the
 * store and a peer have answered says nothing of which of them knows more. */
static gboolean
is_config_lost (const SvConfirm *self, guint64 era)
{
  if (era == 0 || has_recent_confirmation (self))
    return sv_confirm_store_lost_config (self, self->store_at);
  return sv_confirm_stale_since (self) != KNL_NEVER;
}

static void
confirm_by_store (SvConfirm *self)
{
  guint64 era = self->events->config_known (self->data).era;

  if (self->store_at == -KNL_NEVER || is_config_lost (self, era)
      || !sv_era_check_is_trusted (&self->era_check, era))
    return;
  self->events->confirm (self->store_at, self->data);
}

static gboolean
asks_outside (const SvConfirm *self)
{
  guint n = sv_peers_n_alive_in_cell (self->peers) + 1;

  return n <= MAX_ASKING_OUTSIDE
         || g_rand_int_range (knl_kernel_rand (self->kernel), 0, (gint32)n) < MAX_ASKING_OUTSIDE;
}

/* Asks some of the cell in turn, as those that have started together with this instance have
 * nothing to tell, and the relays of all other cells. */
static void
ask_peers (gpointer data)
{
  SvConfirm *self = data;
  const GPtrArray *alive = sv_cells_alive (self->peers);
  g_autoptr (GPtrArray) asked = g_ptr_array_new ();
  Alderturn__Confirmation request = ALDERTURN__CONFIRMATION__INIT;
  KnlTime now = knl_kernel_now (self->kernel);

  if (self->check_stamp == 0 || now - self->check_asked_at >= STAMP_TTL)
    {
      self->check_stamp = sv_confirm_new_stamp (self);
      self->check_asked_at = now;
    }
  for (guint i = 0; i < MIN (alive->len, MAX_ASKED); i++)
    g_ptr_array_add (asked, g_ptr_array_index (alive, self->next_asked++ % alive->len));
  if (asks_outside (self))
    sv_cells_add_relays (self->peers, asked);
  request.stamp = self->check_stamp;
  for (guint i = 0; i < asked->len; i++)
    sv_peers_send_confirmation (self->peers, g_ptr_array_index (asked, i), &request);
}

gboolean
sv_confirm_handle_check_answer (SvConfirm *self,
                                const Peer *peer,
                                const Alderturn__Confirmation *reported)
{
  KnlTime proven_at = self->check_asked_at - (KnlTime)reported->age_ms * KNL_MSEC;

  if (self->check_stamp == 0 || reported->stamp != self->check_stamp)
    return FALSE;
  sv_confirm_note_reported (self, peer->name, reported->version);
  sv_confirm_note_evacuations (self, peer, reported);
  if (is_recent (self, proven_at))
    sv_era_check_prove (&self->era_check, sv_era_check_pending (&self->era_check), SV_ERA_PEER);
  return TRUE;
}

/* A store whose configuration is below a watermark of its era has lost one. */
static void
use_watermark (SvConfirm *self, guint64 era)
{
  if (self->watermark.era != era || sv_era_check_is_trusted (&self->era_check, era))
    return;
  sv_confirm_note_reported (self, "watermark", self->watermark.version);
  sv_era_check_prove (&self->era_check, era, SV_ERA_WATERMARK);
}

void
sv_confirm_note_watermark (SvConfirm *self, SvPosition watermark)
{
  if (sv_position_compare (watermark, self->watermark) != SV_POSITION_NEWER)
    return;
  self->watermark = watermark;
  use_watermark (self, sv_era_check_pending (&self->era_check));
}

void
sv_confirm_note_first_start (SvConfirm *self, guint64 era)
{
  self->first_start_era = era;
  if (sv_era_check_pending (&self->era_check) == era)
    sv_era_check_prove (&self->era_check, era, SV_ERA_FIRST_START);
}

SvPosition
sv_confirm_watermark (const SvConfirm *self)
{
  SvPosition own = self->events->version (self->data);

  if (own.era == 0 || !has_recent_confirmation (self) || sv_confirm_stale_since (self) != KNL_NEVER)
    return (SvPosition){ 0 };
  return own;
}

void
sv_confirm_note_store (SvConfirm *self, KnlTime at)
{
  guint64 era = self->events->config_known (self->data).era;

  self->store_at = at;
  sv_confirm_note_newest (self, at);
  if (has_recent_confirmation (self))
    sv_era_check_prove (&self->era_check, era, SV_ERA_OWN);
  use_watermark (self, era);
  if (era == self->first_start_era)
    sv_era_check_prove (&self->era_check, era, SV_ERA_FIRST_START);
  sv_era_check_begin (&self->era_check, era);
  confirm_by_store (self);
}

static void
on_trusted (gpointer data)
{
  SvConfirm *self = data;

  self->check_stamp = 0;
  confirm_by_store (self);
}

static void
read_watermarks (gpointer data)
{
  const SvConfirm *self = data;

  if (asks_outside (self))
    self->events->read_watermarks (self->data);
}

static const SvEraCheckEvents era_check_events = {
  .ask_peers = ask_peers,
  .read_watermarks = read_watermarks,
  .trusted = on_trusted,
};

void
sv_confirm_init_store (SvConfirm *self)
{
  self->store_at = -KNL_NEVER;
  sv_era_check_init (&self->era_check, self->kernel, &era_check_events, self);
}

void
sv_confirm_clear_store (SvConfirm *self)
{
  sv_era_check_clear (&self->era_check);
}
