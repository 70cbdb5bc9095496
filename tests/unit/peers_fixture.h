#pragma once

/** Instances in some zones that tell each other what they do, over datagrams on loopback and on a
 * paused clock. */

#include "kernel/paused.h"
#include "serve/peers.h"

#define PEERS_MOST 8

/* What an instance has seen is known in all cells within this, and within a heartbeat if a datagram
 * was lost. */
#define PEERS_ACROSS (20 * KNL_MSEC)
#define PEERS_BEAT   (400 * KNL_MSEC)

typedef struct
{
  struct event_base *base;
  struct event *stuck;
  KnlPausedClock *clock;
  KnlKernel *kernel;
  guint n;
  guint n_endpoints;
  const char *const *zones;   /* of each instance */
  guint strength[PEERS_MOST]; /* the same; changed before an instance is opened again */
  SvFleet *fleets[PEERS_MOST];
  SvPeers *peers[PEERS_MOST];
  char *links[PEERS_MOST];
  guint64 suspect;     /* the last that any instance was told of */
  guint64 incarnation; /* of instances that are opened */
} PeersFixture;

/** `zones` has `n` names, and lives as long as the fixture; every instance knows `n_endpoints`. */
void peers_fixture_open (PeersFixture *self, const char *const *zones, guint n, guint n_endpoints);
void peers_fixture_close (PeersFixture *self);

/** Opens the instance, at the address that it had if it was open before; it knows nobody. */
void peers_fixture_start (PeersFixture *self, guint i);

/** Nothing more is heard from the instance. */
void peers_fixture_stop (PeersFixture *self, guint i);

/** Instance `i` reads the row of `j` in the store. */
void peers_fixture_learn (PeersFixture *self, guint i, guint j);

/** Each learns of those before it, and time passes until the cells know of each other. */
void peers_fixture_meet (PeersFixture *self);

/** Time passes in steps in which all datagrams are delivered. */
void peers_fixture_pass (PeersFixture *self, KnlTime time);

/** The last of the endpoints, as instance `i` knows it. */
SvEndpoint *peers_fixture_endpoint (PeersFixture *self, guint i);

/** All that is in flight there, as far as instance `i` knows. */
SvLoad peers_fixture_load (PeersFixture *self, guint i);

/** Instance `i` has so many more calls there, and tells it. */
void peers_fixture_call (PeersFixture *self, guint i, gint calls);
