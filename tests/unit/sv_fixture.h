#pragma once

/** Fixture with the core between one caller and scripted endpoints, over loopback, with a paused
 * clock. */

#include <event2/bufferevent.h>

#include "kernel/paused.h"
#include "serve/core.h"
#include "tests/fakes/scripted_endpoint.h"

/** Header fields that sign an answer as the endpoint's own. */
#define SIGNED "X-Attempt-Id: %ID\r\nX-Server-Stamp: s\r\n"

#define MAX_ENDPOINTS 5

typedef struct
{
  struct event_base *base;
  struct event *test_timeout;
  KnlPausedClock *clock;
  KnlKernel *kernel;
  HtClient *client;
  HtUnsent *unsent; /* NULL: no bound */
  SvDialect *dialect;
  SvFleet *fleet;
  CmMetrics *metrics;
  SvCore *core;
  HtServer *front;
  char *address;
  ScriptedEndpoint *endpoints[MAX_ENDPOINTS];
  guint n_endpoints;
  gboolean is_passed; /* requests count as passed on by a peer */

  struct bufferevent *caller;
  GString *received;
  gboolean ended;
} SvFixture;

/** Opens the fixture. A timer aborts the process if the test takes too long. */
void sv_fixture_open (SvFixture *self);

/** The same, with a core that doesn't shed load. */
void sv_fixture_open_without_shedding (SvFixture *self);
void sv_fixture_close (SvFixture *self);

/** Bounds the bytes that are held of endpoints' answers. */
void sv_fixture_bound_unsent (SvFixture *self, gsize bound);

/** Sets a configuration with the routes /once/, /once-of-two/, /again/, /stream/ and /long/ of the
 * host "h"; `key` is its only API key. */
void sv_fixture_use_config (SvFixture *self, guint64 version, const char *key);

/** An engine with few slots and little memory. */
extern const SvEngineSpec sv_fixture_small_engine;

/** The same, with the service's endpoints as engines with these figures, and the key "key". */
void sv_fixture_use_engines (SvFixture *self, guint64 version, const SvEngineSpec *spec);

/** Adds an endpoint to the fleet. Where nothing else decides, requests go to the endpoint added
 * first. */
void sv_fixture_add_endpoint (SvFixture *self, const ScriptedAnswer *script, guint n);

/** Sets where a peer takes requests that are passed on; NULL: there is no peer. Must live until the
 * fixture is closed. */
void sv_fixture_set_peer (const char *address);

/** Sends bytes on the caller's connection, opening it if needed. */
void sv_fixture_send (SvFixture *self, const char *bytes);

/** Sends a full request with the key "key" and a deadline of 4 s; drops what was received before.
 */
void sv_fixture_request (SvFixture *self, const char *path);

/** The same with a body of `length` bytes. */
void sv_fixture_request_upload (SvFixture *self, const char *path, gsize length);

/** The same for a prompt of `tokens` tokens, with a deadline of 15 s. */
void sv_fixture_request_prompt (SvFixture *self, const char *path, guint64 tokens);

/** Runs the loop until the caller has received `text`, or its connection has ended. */
void sv_fixture_wait_for (SvFixture *self, const char *text);

/** Runs the loop until the caller has received a whole answer, or its connection has ended. */
void sv_fixture_wait_answer (SvFixture *self);

/** Runs the loop until the endpoint has received `n` requests. */
void sv_fixture_wait_requests (SvFixture *self, guint endpoint, guint n);

/** Number of requests received by all endpoints together. */
guint sv_fixture_all_requests (const SvFixture *self);
