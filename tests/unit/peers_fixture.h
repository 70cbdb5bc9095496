#pragma once

/** Instances in several zones that exchange datagrams on loopback, on a paused clock. */

#include "kernel/paused.h"
#include "serve/peers.h"

#define MAX_PEERS 8

/* Time within which a change at one instance is known in all cells; after a lost datagram it takes
 * another heartbeat. */
#define PEERS_PROPAGATION_TIME   (20 * KNL_MSEC)
#define PEERS_HEARTBEAT_INTERVAL (400 * KNL_MSEC)

typedef struct
{
  struct event_base *base;
  struct event *test_timeout;
  KnlPausedClock *clock;
  KnlKernel *kernel;
  guint n;
  guint n_endpoints;
  const char *const *zones;  /* zone of each instance */
  guint strength[MAX_PEERS]; /* of each instance; change it before starting one again */
  SvFleet *fleets[MAX_PEERS];
  SvPeers *peers[MAX_PEERS];
  char *links[MAX_PEERS];
  SvCrashes *crashes[MAX_PEERS];
  SvQuarantine *quarantines[MAX_PEERS];
  SvOffered *offered[MAX_PEERS];
  guint64 incarnation; /* of instances that are started */
  /* Of an instance that can be frozen; NULL: those above */
  struct event_base *own_base[MAX_PEERS];
  KnlRuntime *own_runtime[MAX_PEERS];
  KnlKernel *own_kernel[MAX_PEERS];
  gboolean is_frozen[MAX_PEERS];
} PeersFixture;

/** Starts `n` instances, each with `n_endpoints` endpoints. `zones` has `n` names and must outlive
 * the fixture. */
void peers_fixture_open (PeersFixture *self, const char *const *zones, guint n, guint n_endpoints);
void peers_fixture_close (PeersFixture *self);

/** Starts the instance, at its previous address if it has had one; it knows no peers. */
void peers_fixture_start (PeersFixture *self, guint i);

/** Stops the instance without notice to its peers. */
void peers_fixture_stop (PeersFixture *self, guint i);

/** Starts the instance again, with an event loop of its own, so that it can be frozen. */
void peers_fixture_separate (PeersFixture *self, guint i);

/** Pauses the process of a separate instance, as SIGSTOP does, or continues it: it then reads what
 * has waited in its socket before its overdue timers run. */
void peers_fixture_set_frozen (PeersFixture *self, guint i, gboolean is_frozen);

/** Instance `i` discovers instance `j`, as from its row in the store. */
void peers_fixture_discover (PeersFixture *self, guint i, guint j);

/** Each instance discovers those before it, and time passes until the cells know of each other. */
void peers_fixture_connect (PeersFixture *self);

/** Advances the clock in small steps; all datagrams are delivered in each. */
void peers_fixture_advance (PeersFixture *self, KnlTime time);

/** The last of the endpoints, in the fleet of instance `i`. */
SvEndpoint *peers_fixture_endpoint (PeersFixture *self, guint i);

/** The load of all instances at that endpoint, as known by instance `i`. */
SvLoad peers_fixture_load (PeersFixture *self, guint i);

/** Changes the number of calls of instance `i` at that endpoint by `calls`, and announces it. */
void peers_fixture_call (PeersFixture *self, guint i, gint calls);
