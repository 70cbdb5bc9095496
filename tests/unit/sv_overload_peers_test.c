/** Tests of shares at several instances before the same engines, which take time for what they
 * are sent: what callers of each kind get during a surge and after it. */

#include "peers_fixture.h"
#include "serve/engine_model.h"
#include "serve/overload.h"
#include "suite.h"

#define INSTANCES 6
#define ENGINES   10
#define STEP      (10 * KNL_MSEC)

/* As many as the endpoints of the fixture have. */
#define SLOTS 8

static const char *const zones[INSTANCES] = { "a", "a", "a", "b", "b", "b" };

static const SvEngineSpec spec = {
  .slots = SLOTS,
  .memory_tokens = 1000000,
  .stride = 50,
  .step_ms = 0.8,
  .prefill_tokens_per_ms = 100,
};

/* Requests that callers send in a second, to all instances in turn, or to one only. */
typedef struct
{
  const char *workspace;
  guint64 prompt_tokens;
  guint priority;
  double rate;
  guint instance; /* the one that they are sent to, counted from 1; 0: all */
} Kind;

typedef struct
{
  guint offered;
  guint in_share;
  guint in_time; /* begun within 500 ms */
} Count;

/* A request that an engine has. */
typedef struct
{
  guint instance;
  guint engine;
  KnlTime ends_at;
} Call;

typedef struct
{
  PeersFixture peers;
  CmMetrics *metrics;
  SvOverload *overloads[INSTANCES];
  KnlTime busy_until[ENGINES];
  GArray *calls; /* Call */
  KnlTime played;
  guint n_requests;
} Fixture;

static guint
n_instances (gpointer data)
{
  return INSTANCES;
}

static void
fixture_open (Fixture *self)
{
  *self =
      (Fixture){ .metrics = cm_metrics_new (), .calls = g_array_new (FALSE, FALSE, sizeof (Call)) };
  peers_fixture_open (&self->peers, zones, INSTANCES, ENGINES);
  peers_fixture_connect (&self->peers);
  for (guint i = 0; i < INSTANCES; i++)
    {
      SvOverloadParts parts = { .kernel = self->peers.kernel,
                                .fleet = self->peers.fleets[i],
                                .offered = self->peers.offered[i],
                                .metrics = self->metrics,
                                .n_instances = n_instances };

      self->overloads[i] = sv_overload_new (&parts, "s", &spec);
    }
}

static void
fixture_close (Fixture *self)
{
  for (guint i = 0; i < INSTANCES; i++)
    sv_overload_free (self->overloads[i]);
  peers_fixture_close (&self->peers);
  cm_metrics_free (self->metrics);
  g_array_unref (self->calls);
}

static SvEndpoint *
engine_at (Fixture *self, guint instance, guint engine)
{
  return g_ptr_array_index (sv_fleet_all (self->peers.fleets[instance]), engine);
}

static void
charge (Fixture *self, const Call *call, gint sign)
{
  static const SvLoad load = { .calls = 1 };
  SvPeerLink *link = sv_peers_link (self->peers.peers[call->instance]);

  sv_endpoint_charge (engine_at (self, call->instance, call->engine), &load, sign);
  link->klass->load_changed (link);
}

/* The engine with the fewest calls, as the instance knows them. */
static guint
choose_engine (Fixture *self, guint instance, KnlTime now)
{
  guint first = self->n_requests % ENGINES;
  guint best = first;

  for (guint i = 0; i < ENGINES; i++)
    {
      guint engine = (first + i) % ENGINES;

      if (sv_endpoint_load (engine_at (self, instance, engine), now).calls
          < sv_endpoint_load (engine_at (self, instance, best), now).calls)
        best = engine;
    }
  return best;
}

/* The engine works on all its calls at once: one that is alone takes as long as with all slots
 * taken, and none ends before the work that came earlier is done. Returns how long it waits. */
static KnlTime
run (Fixture *self, guint instance, double cost_ms)
{
  KnlTime now = knl_kernel_now (self->peers.kernel);
  Call call = { .instance = instance, .engine = choose_engine (self, instance, now) };
  KnlTime *busy_until = &self->busy_until[call.engine];
  KnlTime shortest = now + (KnlTime)(cost_ms * SLOTS * KNL_MSEC);

  *busy_until = MAX (*busy_until, now) + (KnlTime)(cost_ms * KNL_MSEC);
  call.ends_at = MAX (shortest, *busy_until);
  g_array_append_val (self->calls, call);
  charge (self, &call, 1);
  return call.ends_at - shortest;
}

static void
end_calls (Fixture *self)
{
  KnlTime now = knl_kernel_now (self->peers.kernel);

  for (guint i = self->calls->len; i > 0; i--)
    {
      const Call *call = &g_array_index (self->calls, Call, i - 1);

      if (call->ends_at > now)
        continue;
      charge (self, call, -1);
      g_array_remove_index_fast (self->calls, i - 1);
    }
}

static void
request (Fixture *self, const Kind *kind, Count *count)
{
  guint instance = kind->instance > 0 ? kind->instance - 1 : self->n_requests % INSTANCES;
  g_autofree char *id = g_strdup_printf ("r%u", self->n_requests++);
  SvOverloadRequest offered = { .id = id,
                                .workspace = kind->workspace,
                                .prompt_tokens = kind->prompt_tokens,
                                .answer_tokens = 100,
                                .priority = kind->priority };
  double cost_ms = sv_model_request_ms (&spec, (double)kind->prompt_tokens, 100);

  count->offered++;
  if (!sv_overload_is_in_share (self->overloads[instance], &offered))
    return;
  count->in_share++;
  count->in_time += run (self, instance, cost_ms) < 500 * KNL_MSEC;
}

static void
play (Fixture *self, const Kind *kinds, guint n, KnlTime time, Count *counts)
{
  for (KnlTime end = self->played + time; self->played < end; self->played += STEP)
    {
      for (guint i = 0; i < n; i++)
        {
          guint before = (guint)(kinds[i].rate * (double)self->played / KNL_SEC);
          guint after = (guint)(kinds[i].rate * (double)(self->played + STEP) / KNL_SEC);

          for (guint j = before; j < after; j++)
            request (self, &kinds[i], &counts[i]);
        }
      peers_fixture_advance (&self->peers, STEP);
      end_calls (self);
    }
}

static double
fraction (const Count *count)
{
  return (double)count->in_share / count->offered;
}

/* Engine time a second that is asked for, in engines. */
static double
offered_engines (const Kind *kinds, guint n)
{
  double sum = 0;

  for (guint i = 0; i < n; i++)
    sum += kinds[i].rate * sv_model_request_ms (&spec, (double)kinds[i].prompt_tokens, 100) / 1000;
  return sum;
}

static const Kind surge[] = {
  { "w0", 1000, 0, 610 }, { "w1", 1000, 0, 12 },  { "w2", 1000, 0, 520 },
  { "w3", 1000, 0, 390 }, { "w2", 12000, 0, 10 }, { "w3", 1000, 2, 50 },
};

static const Kind calm[] = {
  { "w0", 1000, 0, 120 },
  { "w1", 1000, 0, 12 },
  { "w2", 1000, 0, 120 },
};

/* Guards against instances whose shares are more together than the engines can do, so that what
 * is within them is late, against idle engines, and against a small workspace that is refused, or
 * has to wait, because another one asks for a third of 3.5 times the capacity. */
static void
test_surge_at_several_instances (void)
{
  Count before[G_N_ELEMENTS (surge)] = { 0 };
  Count counts[G_N_ELEMENTS (surge)] = { 0 };
  double in_share = 0;
  guint all = 0;
  guint in_time = 0;
  Fixture self;

  CU_ASSERT_DOUBLE_EQUAL (offered_engines (surge, G_N_ELEMENTS (surge)), 35, 3);
  fixture_open (&self);
  play (&self, surge, G_N_ELEMENTS (surge), 4 * KNL_SEC, before);
  play (&self, surge, G_N_ELEMENTS (surge), 8 * KNL_SEC, counts);
  for (guint i = 0; i < G_N_ELEMENTS (surge); i++)
    {
      in_share += fraction (&counts[i]) * offered_engines (&surge[i], 1);
      all += counts[i].in_share;
      in_time += counts[i].in_time;
    }
  CU_ASSERT_EQUAL (fraction (&counts[1]), 1);
  CU_ASSERT (counts[1].in_time > 0.9 * counts[1].offered);
  CU_ASSERT (in_share > 0.7 * ENGINES && in_share < 1.1 * ENGINES);
  CU_ASSERT (in_time > 0.9 * all);
  CU_ASSERT (fraction (&counts[0]) < fraction (&counts[2]));
  CU_ASSERT (fraction (&counts[2]) < fraction (&counts[3]));
  /* The last classes get their minimum, 0.2; all classes get less, in proportion, while that is
   * above the planned load, which is never below half of the engines' time. */
  for (guint i = 4; i < G_N_ELEMENTS (surge); i++)
    CU_ASSERT (fraction (&counts[i]) > 0.5 * ENGINES / 35 && fraction (&counts[i]) < 0.3);
  fixture_close (&self);
}

/* Guards against instances that divide the capacity by their own callers alone: a workspace whose
 * callers all come to one instance must get as much as one whose callers come to all. */
static void
test_callers_at_one_instance (void)
{
  static const Kind uneven[] = { { "w0", 1000, 0, 1200, 1 },
                                 { "w1", 1000, 0, 60, 6 },
                                 { "w2", 1000, 0, 600 } };
  Count before[G_N_ELEMENTS (uneven)] = { 0 };
  Count counts[G_N_ELEMENTS (uneven)] = { 0 };
  Fixture self;

  fixture_open (&self);
  play (&self, uneven, G_N_ELEMENTS (uneven), 4 * KNL_SEC, before);
  play (&self, uneven, G_N_ELEMENTS (uneven), 8 * KNL_SEC, counts);
  CU_ASSERT_EQUAL (fraction (&counts[1]), 1);
  CU_ASSERT_DOUBLE_EQUAL (counts[0].in_share / (double)counts[2].in_share, 1, 0.15);
  fixture_close (&self);
}

/* Guards against shares that lapse during a surge, so that all requests are within them for a
 * moment and the engines are flooded. */
static void
test_shares_last_as_long_as_the_surge (void)
{
  Count counts[G_N_ELEMENTS (surge)] = { 0 };
  Fixture self;

  fixture_open (&self);
  play (&self, surge, G_N_ELEMENTS (surge), 2 * KNL_SEC, counts);
  for (guint i = 0; i < 100; i++)
    {
      play (&self, surge, G_N_ELEMENTS (surge), 100 * KNL_MSEC, counts);
      for (guint j = 0; j < INSTANCES; j++)
        CU_ASSERT_TRUE (sv_overload_is_saturated (self.overloads[j]));
    }
  fixture_close (&self);
}

/* Guards against shares that outlast the surge by more than 2 s. */
static void
test_step_down_ends_shares (void)
{
  Count during[G_N_ELEMENTS (surge)] = { 0 };
  Count step[G_N_ELEMENTS (calm)] = { 0 };
  Count after[G_N_ELEMENTS (calm)] = { 0 };
  Fixture self;

  fixture_open (&self);
  play (&self, surge, G_N_ELEMENTS (surge), 8 * KNL_SEC, during);
  CU_ASSERT (fraction (&during[0]) < 0.8);
  play (&self, calm, G_N_ELEMENTS (calm), 2 * KNL_SEC, step);
  play (&self, calm, G_N_ELEMENTS (calm), 6 * KNL_SEC, after);
  for (guint i = 0; i < G_N_ELEMENTS (calm); i++)
    CU_ASSERT_EQUAL (after[i].in_share, after[i].offered);
  fixture_close (&self);
}

/* Guards against requests beyond a share while the engines have room, whatever the mix of kinds. */
static void
test_none_over_share_with_room (void)
{
  static const Kind mixes[][3] = {
    { { "w0", 1000, 0, 350 } },
    { { "w0", 60000, 0, 5 }, { "w1", 1000, 4, 150 }, { "w2", 100000, 0, 1 } },
    { { "w0", 100, 2, 400 }, { "w1", 20000, 1, 10 }, { "w2", 1000, 0, 40 } },
  };

  for (guint i = 0; i < G_N_ELEMENTS (mixes); i++)
    {
      Count counts[G_N_ELEMENTS (mixes[i])] = { 0 };
      Fixture self;

      CU_ASSERT (offered_engines (mixes[i], G_N_ELEMENTS (mixes[i])) < 0.8 * ENGINES);
      fixture_open (&self);
      play (&self, mixes[i], G_N_ELEMENTS (mixes[i]), 4 * KNL_SEC, counts);
      for (guint j = 0; j < G_N_ELEMENTS (counts); j++)
        CU_ASSERT_EQUAL (counts[j].in_share, counts[j].offered);
      fixture_close (&self);
    }
}

static const SuiteCase cases[] = {
  { "a surge at several instances", test_surge_at_several_instances },
  { "callers at one instance", test_callers_at_one_instance },
  { "shares last as long as the surge", test_shares_last_as_long_as_the_surge },
  { "a step down ends shares", test_step_down_ends_shares },
  { "none over share with room", test_none_over_share_with_room },
};

SUITE_MAIN ("sv_overload_peers", cases)
