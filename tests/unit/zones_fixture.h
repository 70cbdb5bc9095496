#pragma once

/** The core with endpoints in several zones, and a bound for evacuations. */

#include "sv_fixture.h"

/* Bounds and what they allow: confirmations younger than 0.9 of the evacuation bound. */
#define EVACUATION   (5 * KNL_SEC)
#define WITHIN_BOUND (4490 * KNL_MSEC)
#define PAST_BOUND   (4500 * KNL_MSEC)

/** Answers: a complete one, none, the first event of a stream, and to an order for memory. */
extern const ScriptedAnswer zones_good;
extern const ScriptedAnswer zones_silent;
extern const ScriptedAnswer zones_begun;
extern const ScriptedAnswer zones_accepted;

/** Opens the fixture with an endpoint in zone "a" and one in zone "b". */
void
zones_fixture_open (SvFixture *self, const ScriptedAnswer *first, const ScriptedAnswer *second);

/** Sets bounds of which only that for evacuations matters here; 0: none. */
void zones_fixture_set_bounds (SvFixture *self, KnlTime evacuation);

/** Evacuates the zones, each a letter of `zones`. */
void zones_fixture_evacuate (SvFixture *self, const char *zones);

SvEndpoint *zones_fixture_endpoint (const SvFixture *self, guint index);

/** Writes the endpoint's row again, with this zone. */
void zones_fixture_update (SvFixture *self, guint index, const char *zone);

/** Runs the loop until no more bytes arrive. */
void zones_fixture_settle (SvFixture *self);

/** Number of requests that the endpoint has received. */
guint zones_fixture_n_requests (const SvFixture *self, guint endpoint);

/** Checks that the caller was refused for that reason and told when to come back. */
void zones_fixture_check_refused (const SvFixture *self, const char *reason);
