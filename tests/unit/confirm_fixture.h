#pragma once

/** Instances that request confirmations of the configuration from each other by datagrams on
 * loopback, on a paused clock. */

#include "kernel/paused.h"
#include "serve/confirm.h"

/* Enough instances for them to request confirmations from each other; two of them query the store.
 */
#define INSTANCES 14

#define MAX_STALENESS    (4500 * KNL_MSEC)
#define REQUEST_INTERVAL (MAX_STALENESS / 5)
#define STEP             (100 * KNL_MSEC)

typedef struct
{
  SvFleet *fleet;
  SvPeers *peers;
  SvConfirm *confirm;
  char *link;
  guint64 era;
  guint64 version;
  KnlTime confirmed_at;
  guint64 config_known;
  guint64 endpoints;
  KnlTime endpoints_last_seen_at;
  guint n_store_queries;
  guint n_endpoint_queries;
  guint n_watermark_reads;
} ConfirmInstance;

typedef struct
{
  struct event_base *base;
  struct event *test_timeout;
  KnlPausedClock *clock;
  KnlKernel *kernel;
  const char *last_zone; /* of the last two instances; the others are in "a" */
  ConfirmInstance instances[INSTANCES];
} ConfirmFixture;

/** Starts the instances, which know and hear each other, all with version 7 and just confirmed. */
void confirm_fixture_open (ConfirmFixture *self);
void confirm_fixture_close (ConfirmFixture *self);

/** The same, with the last two instances in another zone. */
void confirm_fixture_open_in (ConfirmFixture *self, const char *last_zone);

/** Returns an instance that doesn't query the store itself. */
ConfirmInstance *confirm_fixture_non_follower (ConfirmFixture *self);

/** The store confirms the configurations of the instances that query it. */
void confirm_fixture_confirm_followers (ConfirmFixture *self);

/** Delivers all datagrams. */
void confirm_fixture_run_loop (ConfirmFixture *self);

/** Advances the clock in small steps; all datagrams are delivered. If `confirmed`, the instances
 * that query the store are confirmed at each step. */
void confirm_fixture_advance (ConfirmFixture *self, KnlTime time, gboolean confirmed);

KnlTime confirm_fixture_age (const ConfirmFixture *self, const ConfirmInstance *instance);
