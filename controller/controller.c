#include "controller/controller.h"

#include "common/log.h"
#include "controller/state.h"
#include "wire/frame.h"

/* Poll interval for the relay's pending requests while draining. */
#define DRAIN_POLL_INTERVAL (50 * KNL_MSEC)

/* Time for the goodbye frames to be sent before links are closed. */
#define GOODBYE_DELAY (100 * KNL_MSEC)

CtController *
ct_controller_new (const CtControllerOptions *options)
{
  CtController *controller = g_new0 (CtController, 1);

  controller->options = *options;
  controller->kernel = options->kernel;
  controller->settings = options->settings;
  controller->config = options->config;
  ct_controller_create_modules (controller);
  co_config_observe (controller->config, ct_config_on_changed, controller);
  if (ct_links_listen (controller->links, options->identity->address))
    return controller;
  ct_controller_free (controller);
  return NULL;
}

void
ct_controller_free (CtController *controller)
{
  if (controller == NULL)
    return;
  controller->ending = TRUE;
  knl_timer_stop (controller->kernel, &controller->drain_timer);
  ct_gather_free (controller->gather);
  co_config_store_free (controller->store);
  ct_operators_detach (controller->kernel, controller->operators);
  ct_links_free (controller->links);
  co_idem_sweep_free (controller->sweep);
  co_config_compact_free (controller->compact);
  co_idem_free (controller->idem);
  ct_relay_free (controller->relay);
  ct_engines_free (controller->engines);
  co_suspects_free (controller->suspects);
  ct_members_free (controller->members);
  co_leases_free (controller->leases);
  co_shares_free (controller->shares);
  tb_platform_free (controller->platform);
  g_free (controller);
}

static void
tell_drained (gpointer data)
{
  CtController *controller = data;

  controller->drain_timer = 0;
  cm_log (CM_LOG_NOTICE, "drained");
  controller->drained (controller->drained_data);
}

static void
send_goodbye (CtController *controller)
{
  Alderturn__Goodbye goodbye = ALDERTURN__GOODBYE__INIT;

  goodbye.reason = "drain";
  ct_links_broadcast (controller->links, ALDERTURN__ROLE__ROLE_UNSPECIFIED,
                      WR_FRAME (GOODBYE, goodbye, &goodbye));
  controller->drain_timer =
      knl_timer_start (controller->kernel, GOODBYE_DELAY, tell_drained, controller);
}

/*
 * If its link closes while a request for an idempotency record is pending, an
 * entry must refuse that request. So links stay open until the relay has answered
 * all pending requests, or until the drain deadline.
 */
static void
wait_for_relay (gpointer data)
{
  CtController *controller = data;

  controller->drain_timer = 0;
  if (ct_relay_pending (controller->relay) > 0
      && knl_kernel_now (controller->kernel) < controller->drain_deadline)
    controller->drain_timer =
        knl_timer_start (controller->kernel, DRAIN_POLL_INTERVAL, wait_for_relay, controller);
  else
    send_goodbye (controller);
}

void
ct_controller_drain (CtController *controller, void (*done) (gpointer data), gpointer data)
{
  if (controller->draining)
    return;
  controller->draining = TRUE;
  controller->drained = done;
  controller->drained_data = data;
  controller->drain_deadline =
      knl_kernel_now (controller->kernel) + controller->settings->drain_ms * KNL_MSEC;
  co_members_leave (ct_members_membership (controller->members));
  co_leases_release (controller->leases, wait_for_relay, controller);
}

gboolean
ct_controller_ready (const CtController *controller)
{
  return co_config_store_ready (controller->store) && !controller->draining;
}
