#pragma once

/** The core between one caller and scripted endpoints, over loopback, with the clock paused. */

#include <event2/bufferevent.h>

#include "kernel/paused.h"
#include "serve/core.h"
#include "tests/fakes/scripted_endpoint.h"

/** Fields that make an answer the endpoint's own. */
#define SIGNED "X-Attempt-Id: %ID\r\nX-Server-Stamp: s\r\n"

#define ENDPOINTS_MOST 3

typedef struct
{
  struct event_base *base;
  struct event *stuck;
  KnlPausedClock *clock;
  KnlKernel *kernel;
  HtClient *client;
  SvDialect *dialect;
  SvFleet *fleet;
  CmMetrics *metrics;
  SvCore *core;
  HtServer *front;
  char *address;
  ScriptedEndpoint *endpoints[ENDPOINTS_MOST];
  guint n_endpoints;

  struct bufferevent *caller;
  GString *got;
  gboolean ended;
} SvFixture;

/** Ends the process when nothing happens for a while. */
void sv_fixture_open (SvFixture *self);
void sv_fixture_close (SvFixture *self);

/** Routes /once/, /once-of-two/, /again/ and /stream/ of the host "h"; `key` is the one that
 * callers have. */
void sv_fixture_use_config (SvFixture *self, guint64 version, const char *key);

/** An engine with few slots and little memory. */
extern const SvEngineSpec sv_fixture_small_engine;

/** The same, with the service's endpoints as engines of these figures. */
void sv_fixture_use_engines (SvFixture *self, guint64 version, const SvEngineSpec *spec);

/** An endpoint in the fleet; the ones added first are chosen first where nothing else decides. */
void sv_fixture_add_endpoint (SvFixture *self, const ScriptedAnswer *script, guint n);

/** Sends bytes on the caller's connection, which is opened when there is none. */
void sv_fixture_send (SvFixture *self, const char *bytes);

/** Sends a whole request with the key "key" and 4 s to wait. */
void sv_fixture_ask (SvFixture *self, const char *path);

/** The same for a prompt of so many tokens, with 15 s to wait. */
void sv_fixture_ask_prompt (SvFixture *self, const char *path, guint64 tokens);

/** Runs the loop until the caller has got `text`, or its connection has ended. */
void sv_fixture_wait_for (SvFixture *self, const char *text);

/** Runs the loop until `n` requests have come to that endpoint. */
void sv_fixture_wait_requests (SvFixture *self, guint endpoint, guint n);

/** Requests that have come to all endpoints. */
guint sv_fixture_all_requests (const SvFixture *self);
