#pragma once

/** Fixture that forwards requests from an HtServer by an HtClient to an endpoint, over loopback,
 * with a paused clock; callers and endpoint read when the test says so. */

#include <event2/bufferevent.h>

#include "http/client.h"
#include "http/server.h"
#include "http/unsent.h"
#include "kernel/paused.h"

#define RELAY_MAX_CALLERS 48

/** Larger than any descriptor of a test. */
#define RELAY_MAX_FD 512

typedef struct RelayFixture RelayFixture;

/** What a caller has received. */
typedef struct
{
  RelayFixture *fixture;
  struct bufferevent *stream;
  HtReader *reader;
  gsize length;       /**< bytes of the answer's body */
  gboolean differs;   /**< they aren't those that the endpoint sent */
  gboolean complete;  /**< the answer is complete */
  gboolean has_ended; /**< its connection has ended */
} RelayCaller;

struct RelayFixture
{
  struct event_base *base;
  struct event *test_timeout;
  KnlPausedClock *clock;
  KnlKernel *kernel;
  HtUnsent *unsent;
  HtClient *client;
  HtServer *front;
  HtServer *endpoint;
  char *front_address;
  char *endpoint_address;
  RelayCaller callers[RELAY_MAX_CALLERS];
  guint n_callers;
  guint n_ended; /**< log lines "slow-reader-ended" */
  gboolean
      keeps_user_timeouts; /**< FALSE: the kernel doesn't end connections with closed windows */
  GString *ended;          /**< these lines */
  guint n_unsent;          /**< exchanges that failed with HT_FAIL_UNSENT */
  guint n_requests;        /**< requests that the endpoint has received */
  gsize body_length;       /**< body bytes of the newest of them */
  gsize peak;              /**< largest sum seen after a turn of the loop */
};

/** `bound`: of the sum of unsent bytes. */
void relay_fixture_open (RelayFixture *self, gsize bound);
void relay_fixture_close (RelayFixture *self);

/** Replaces the endpoint by one that accepts connections and doesn't read; it answers once it is
 * told to read. */
void relay_fixture_use_deaf_endpoint (RelayFixture *self);
void relay_fixture_let_endpoint_read (RelayFixture *self);

/**
 * A new caller sends "GET TARGET"; or with a body of `body_length` bytes, "POST". The endpoint
 * answers "/stream/N" with N bytes that are forwarded as they arrive, "/whole/N" with N bytes that
 * are collected first. The caller doesn't read yet.
 */
RelayCaller *
relay_fixture_call (RelayFixture *self, const char *target, const char *version, gsize body_length);

void relay_caller_set_reading (RelayCaller *caller, gboolean reads);

/** Sends another "GET TARGET" on the same connection, once the last answer is complete. */
void relay_caller_call_again (RelayCaller *caller, const char *target);

/** Runs the loop until the answer is complete or its connection has ended. */
void relay_caller_wait (RelayCaller *caller);

/** Runs `n` turns of the loop without waiting. */
void relay_fixture_turn (RelayFixture *self, guint n);
