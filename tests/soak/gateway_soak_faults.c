/** The faults that the gateway soak injects into gateways, the store and endpoints. */

#include <signal.h>

#include "gateway_soak_internal.h"

/* Greatest age, in steps of the run, of the copy from which the store is restored, and the longest
 * delay until the lost rows are written again. */
#define MAX_COPY_AGE_STEPS   150
#define MAX_REWRITE_DELAY_MS 1000

static void
fault_pause (Soak *self, Gateway *gateway)
{
  gateway->is_paused = TRUE;
  gateway->paused_at = gs_now (self);
  hn_signal (gateway->process, SIGSTOP);
}

void
gs_resume (Soak *self, Gateway *gateway)
{
  if (gs_now (self) < gateway->paused_until)
    return;
  hn_signal (gateway->process, SIGCONT);
  if (gateway->is_paused)
    gateway->resumed_at = gs_now (self);
  gateway->is_paused = FALSE;
}

static void
fault_kill (Soak *self, Gateway *gateway)
{
  hn_kill (gateway->process);
  gs_start_gateway (self, (guint)(gateway - self->gateways));
}

static void
fault_terminate (Soak *self, Gateway *gateway)
{
  hn_signal (gateway->process, SIGCONT);
  hn_signal (gateway->process, SIGTERM);
  if (hn_await_exit (gateway->process, HN_TIMEOUT) != 0)
    self->violations++;
  gs_start_gateway (self, (guint)(gateway - self->gateways));
}

static void
fault_reload (Soak *self, Gateway *gateway)
{
  gs_write_settings (self, (guint)(gateway - self->gateways));
  hn_signal (gateway->process, SIGHUP);
}

static void
fault_store_mode (Soak *self, Gateway *gateway)
{
  self->store_mode = (RowStoreMode)g_rand_int_range (self->rand, 0, 4);
  row_store_set_mode (self->store, self->store_mode);
}

static void
fault_truncate_history (Soak *self, Gateway *gateway)
{
  row_store_truncate_history (self->store);
}

/* Restores the store from a copy that is up to three seconds old. */
static void
fault_restore (Soak *self, Gateway *gateway)
{
  guint steps = (guint)g_rand_int_range (self->rand, 1, MAX_COPY_AGE_STEPS);
  guint64 version = g_array_index (self->versions, guint64,
                                   self->versions->len - MIN (steps, self->versions->len));

  row_store_restore (self->store, version);
  self->rewrite_at =
      gs_now (self) + g_rand_int_range (self->rand, 1, MAX_REWRITE_DELAY_MS) * KNL_MSEC;
  gs_note_store_fault (self, self->rewrite_at + GS_ROW_TIME);
}

void
gs_rewrite_lost_rows (Soak *self)
{
  if (self->rewrite_at == 0 || gs_now (self) < self->rewrite_at)
    return;
  self->rewrite_at = 0;
  gs_put_rows (self);
}

static void
fault_config (Soak *self, Gateway *gateway)
{
  gs_put_config (self);
}

void
gs_set_proxy_fault (Soak *self, const char *fault)
{
  HnRequest request = {
    .address = self->proxy,
    .method = "POST",
    .path = "/fault",
    .body = fault,
  };

  hn_request (self->harness, &request, NULL);
}

static void
fault_proxy (Soak *self, Gateway *gateway)
{
  static const char *const faults[] = {
    "{\"mode\":\"none\"}",
    "{\"mode\":\"cut\"}",
    "{\"mode\":\"cut\",\"after\":40}",
    "{\"mode\":\"freeze\",\"new\":true}",
    "{\"mode\":\"freeze\",\"direction\":\"from-target\"}",
    "{\"mode\":\"delay\",\"ms\":150}",
    "{\"mode\":\"refuse\"}",
  };

  gs_set_proxy_fault (self, faults[g_rand_int_range (self->rand, 0, G_N_ELEMENTS (faults))]);
}

/* In the list of faults, the first CALM_FAULTS affect neither the processes nor the store's
 * service; the next STORE_FAULTS affect the store, and the others the processes. */
#define CALM_FAULTS  5
#define STORE_FAULTS 1

void
gs_inject (Soak *self)
{
  static void (*const faults[]) (Soak *, Gateway *) = {
    fault_reload,    fault_truncate_history, fault_config, fault_proxy,
    fault_restore,   fault_store_mode,       fault_pause,  fault_kill,
    fault_terminate,
  };
  guint n = self->is_calm ? CALM_FAULTS : G_N_ELEMENTS (faults);
  guint chosen = (guint)g_rand_int_range (self->rand, 0, (gint32)n);
  Gateway *gateway = &self->gateways[g_rand_int_range (self->rand, 0, GATEWAYS)];

  /* Resumes all processes first, so that at most one is stopped. */
  for (guint i = 0; i < GATEWAYS; i++)
    gs_resume (self, &self->gateways[i]);
  if (chosen >= CALM_FAULTS + STORE_FAULTS)
    gateway->faulted_at = gs_now (self);
  faults[chosen](self, gateway);
}
