#pragma once

/**
 * An entry's core on a paused clock, with engines and a plain service in memory, a
 * controller scripted by the test, and callers that record what they receive.
 */

#include "entry/core.h"
#include "tests/fakes/memory_engine.h"
#include "tests/unit/en_test_uplink.h"

#define EN_FIXTURE_ENGINES 3
#define EN_FIXTURE_SERVICE "127.0.0.1:2001"

typedef struct
{
  EnCaller base;
  KnlKernel *kernel;
  gboolean begun;
  GString *text;
  guint64 tokens;
  guint ended; /**< calls of done or error */
  gboolean done;
  EnErrorCode code;
  EnOutcome outcome;
  KnlTime retry_after;
  KnlTime ended_at;
  KnlTime first_at;
  int status;
  gboolean refuses_tokens; /**< like a caller that doesn't read */
} EnTestCaller;

typedef struct
{
  KnlPausedClock *clock;
  KnlRuntime *runtime;
  KnlKernel *kernel;
  FkFleet *fleet;
  EpClient *client;
  EnTestUplink uplink;
  CoConfig *config;
  EnCore *core;
  EnTestCaller caller; /**< the first caller; en_test_caller_make() makes more */
} EnFixture;

/** `settings` NULL: engines with default settings. Credits are granted from the start. The entry
 * has run for so long that it has slack in its retry budgets. */
EnFixture *en_fixture_new (const SdEngineSettings *settings);

/** The same with an entry that has just started. */
EnFixture *en_fixture_new_at_start (void);
void en_fixture_free (EnFixture *fixture);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (EnFixture, en_fixture_free)

/** Sets a configuration object, or removes it if `fields` is NULL. */
void en_fixture_set (EnFixture *fixture, const char *kind, const char *name, const char *fields);

void en_fixture_advance (EnFixture *fixture, KnlTime delta);

/** Advances until the caller's request has ended; FALSE: not within `limit`. */
gboolean en_fixture_wait (EnFixture *fixture, EnTestCaller *caller, KnlTime limit);

/** Address of engine `index` (0 to 2), which is named "engine-1" to "engine-3". */
const char *en_fixture_engine (guint index);

/** Index of the first engine that the entry counts as used; -1: none. */
int en_fixture_busy_engine (EnFixture *fixture);

/** Sends a member update for one endpoint or entry. */
void en_fixture_member (EnFixture *fixture,
                        const char *name,
                        Alderturn__MemberKind kind,
                        Alderturn__MemberState state,
                        guint64 incarnation);

EnTestCaller en_test_caller_make (KnlKernel *kernel);
void en_test_caller_clear (EnTestCaller *caller);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (EnTestCaller, en_test_caller_clear)

/** Submits a completion to service "chat" for workspace "w1". */
guint64 en_fixture_submit (EnFixture *fixture,
                           EnTestCaller *caller,
                           const char *prompt,
                           guint64 max_tokens,
                           KnlTime limit);

/** TRUE if the caller has the complete, correct answer of `count` tokens to `prompt`. */
gboolean en_test_caller_has_answer (const EnTestCaller *caller, const char *prompt, guint64 count);

/** Number of runs that all engines have started. */
guint en_fixture_runs (EnFixture *fixture);

/** Memory in use on all engines, by their own state, plus what the entry counts as used there. */
guint64 en_fixture_in_use (EnFixture *fixture);
