/** Unit tests of the policies: fair order, credits, choice of engines. */

#include <string.h>

#include "entry/queue.h"
#include "entry/router.h"
#include "kernel/paused.h"
#include "suite.h"

typedef struct
{
  KnlPausedClock *clock;
  KnlKernel *kernel;
  EnFleet *fleet;
  EnCredits *credits;
  EnShares *shares;
  EnQueue *queue;
} Policy;

static Policy
policy_new (void)
{
  Policy policy = { 0 };

  policy.clock = knl_paused_clock_new ();
  policy.kernel = knl_kernel_new (knl_paused_clock_runtime (policy.clock), 1);
  policy.fleet = en_fleet_new (policy.kernel);
  policy.credits = en_credits_new (policy.kernel, policy.fleet, "e1");
  policy.shares = en_shares_new (policy.kernel);
  policy.queue = en_queue_new (policy.shares);
  return policy;
}

static void
policy_clear (Policy *policy)
{
  en_queue_free (policy->queue);
  en_shares_free (policy->shares);
  en_credits_free (policy->credits);
  en_fleet_free (policy->fleet);
  knl_kernel_free (policy->kernel);
  knl_paused_clock_free (policy->clock);
}

G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (Policy, policy_clear)

static void
add_member (Policy *policy, const char *name, Alderturn__MemberKind kind)
{
  Alderturn__MemberUpdate update = ALDERTURN__MEMBER_UPDATE__INIT;
  Alderturn__Member member = ALDERTURN__MEMBER__INIT;
  Alderturn__Member *members[] = { &member };

  member.name = (char *)name;
  member.kind = kind;
  member.state = ALDERTURN__MEMBER_STATE__MEMBER_STATE_LIVE;
  member.service = "gpu";
  member.zone = "a";
  member.incarnation = 1;
  update.n_members = 1;
  update.members = members;
  en_fleet_apply_members (policy->fleet, &update);
}

static EnEndpoint *
add_engine (Policy *policy, const char *name)
{
  add_member (policy, name, ALDERTURN__MEMBER_KIND__MEMBER_KIND_ENGINE);
  return en_fleet_find (policy->fleet, name);
}

static EnRequest *
push_request (Policy *policy,
              const char *workspace,
              guint64 tokens,
              gboolean is_long,
              KnlTime deadline)
{
  static guint64 number;
  EnRequest *request = en_request_new (NULL, ++number, "r", 0);

  request->workspace = g_strdup (workspace);
  request->service = g_strdup ("chat");
  request->need = (EnNeed){ .tokens = tokens, .prefill = tokens, .is_long = is_long };
  request->deadline = deadline;
  en_queue_push (policy->queue, request);
  return request;
}

typedef struct
{
  Policy *policy;
  guint64 free_tokens;        /* tokens of free capacity */
  guint64 max_request_tokens; /* limit for one request */
  GString *order;             /* first letter of each workspace dispatched */
  gboolean rejects_long;      /* accepts no long requests */
} Server;

static gboolean
try_serve (EnRequest *request, gpointer data)
{
  Server *server = data;

  if (request->need.tokens > MIN (server->free_tokens, server->max_request_tokens)
      || (server->rejects_long && request->need.is_long))
    return FALSE;
  server->free_tokens -= request->need.tokens;
  g_string_append_c (server->order, request->need.is_long ? g_ascii_toupper (request->workspace[0])
                                                          : request->workspace[0]);
  en_shares_note_dispatched (server->policy->shares, request->workspace, request->need.tokens);
  en_queue_remove (server->policy->queue, request);
  en_request_free (request);
  return TRUE;
}

typedef struct
{
  const char *name;
  gint64 weight_a;
  guint64 reported_a; /* workspace a's use over all entries in an update; 0: no update */
  const char *order;
} FairCase;

/*
 * Guards against a flood by one workspace, at this entry or others, delaying another workspace.
 * Workspace a queues many requests before b's first one. The fault: serving requests in order of
 * arrival, or counting use at one entry only.
 */
static const FairCase fair_cases[] = {
  { "equal weights", 1, 0, "abababaaaa" },
  { "a weighs three times", 3, 0, "abaaabaaab" },
  { "a has used much elsewhere", 1, 4000, "bbbaaaaaaa" },
};

static void
test_workspaces_share_by_weight (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (fair_cases); i++)
    {
      const FairCase *c = &fair_cases[i];
      g_auto (Policy) policy = policy_new ();
      Server server = { .policy = &policy, .free_tokens = 10000, .max_request_tokens = 10000 };
      Alderturn__ShareUpdate update = ALDERTURN__SHARE_UPDATE__INIT;
      Alderturn__ShareUpdate__Share share = ALDERTURN__SHARE_UPDATE__SHARE__INIT;
      Alderturn__ShareUpdate__Share *shares[] = { &share };

      server.order = g_string_new (NULL);
      en_shares_set_weight (policy.shares, "a", c->weight_a);
      share.workspace = "a";
      share.served_tokens = c->reported_a;
      update.n_shares = 1;
      update.shares = shares;
      if (c->reported_a > 0)
        en_shares_apply (policy.shares, &update);
      for (guint r = 0; r < 7; r++)
        push_request (&policy, "a", 1000, FALSE, r);
      for (guint r = 0; r < 3; r++)
        push_request (&policy, "b", 1000, FALSE, r);
      en_queue_run (policy.queue, try_serve, &server);
      if (strcmp (server.order->str, c->order) != 0)
        printf ("\n  %s: %s", c->name, server.order->str);
      CU_ASSERT_STRING_EQUAL (server.order->str, c->order);
      CU_ASSERT_EQUAL (en_queue_length (policy.queue), 0);
      g_string_free (server.order, TRUE);
    }
}

/*
 * Guards against a short prompt waiting behind a long one. A long prompt, or a larger one in the
 * same lane, is first in the queue and doesn't fit; it must not block the requests behind it.
 */
static void
test_short_requests_pass_long_ones (void)
{
  g_auto (Policy) policy = policy_new ();
  Server server = {
    .policy = &policy, .free_tokens = 10000, .max_request_tokens = 1000, .rejects_long = TRUE
  };

  server.order = g_string_new (NULL);
  push_request (&policy, "x", 500, TRUE, 1);
  push_request (&policy, "a", 5000, FALSE, 2);
  push_request (&policy, "a", 100, FALSE, 3);
  push_request (&policy, "b", 100, FALSE, 4);
  en_queue_run (policy.queue, try_serve, &server);
  CU_ASSERT_STRING_EQUAL (server.order->str, "ab");
  CU_ASSERT_EQUAL (en_queue_waiting (policy.queue, "chat", EN_LANE_SHORT).tokens, 5000);
  CU_ASSERT_EQUAL (en_queue_waiting (policy.queue, "chat", EN_LANE_LONG).count, 1);
  server.max_request_tokens = 10000;
  server.rejects_long = FALSE;
  en_queue_run (policy.queue, try_serve, &server);
  CU_ASSERT_STRING_EQUAL (server.order->str, "abaX");
  g_string_free (server.order, TRUE);
}

typedef struct
{
  const char *name;
  guint64 fence;
  guint64 call; /* number of the credit request that it answers: 1 or 2 */
  guint ttl_ms;
  KnlTime after;       /* time from its arrival to the check */
  guint64 free_tokens; /* expected free tokens, at most 100 */
} GrantCase;

/*
 * Guards against entries together using more of an engine than it has. A holder that lost its lease
 * grants late, answers are reordered, or a grant expires. The fault: accepting the last grant to
 * arrive, and counting its time to live from its arrival.
 */
static const GrantCase grant_cases[] = {
  { "in force", 5, 2, 1000, 0, 60 },
  { "of a replaced holder", 4, 2, 1000, 0, 100 },
  { "of a newer holder", 6, 1, 1000, 0, 60 },
  { "an answer overtaken by a later one", 5, 1, 1000, 0, 100 },
  { "lapsed, counted from the sending", 5, 2, 1000, 900 * KNL_MSEC, 0 },
};

static void
apply_grant (Policy *policy, guint64 call, guint64 tokens, guint64 fence, guint ttl_ms)
{
  Alderturn__CreditReply reply = ALDERTURN__CREDIT_REPLY__INIT;
  Alderturn__CreditGrant grant = ALDERTURN__CREDIT_GRANT__INIT;
  Alderturn__CreditGrant *grants[] = { &grant };

  grant.endpoint = "engine-1";
  grant.tokens = tokens;
  grant.slots = 10;
  grant.fence = fence;
  grant.ttl_ms = ttl_ms;
  grant.capacity_tokens = 100;
  grant.capacity_slots = 10;
  reply.call = call;
  reply.n_grants = 1;
  reply.grants = grants;
  en_credits_apply (policy->credits, &reply);
}

static void
no_wants (const EnEndpoint *endpoint, EnWant *want, gpointer data)
{
}

static guint64
free_tokens_of (Policy *policy, const EnEndpoint *engine)
{
  guint64 free_tokens = 0;

  for (EnNeed need = { .tokens = 10 }; need.tokens <= 200; need.tokens += 10)
    {
      if (en_credits_has_capacity (policy->credits, engine, &need))
        free_tokens = need.tokens;
    }
  return free_tokens;
}

static void
test_grants (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (grant_cases); i++)
    {
      const GrantCase *c = &grant_cases[i];
      EnEndpoint *engine;
      g_auto (Policy) policy = policy_new ();

      engine = add_engine (&policy, "engine-1");
      for (guint call = 0; call < 2; call++)
        en_credits_request_free (en_credits_request (policy.credits, no_wants, NULL));
      /* Answers request 1 if the case's grant is of the same holder and answers request 2. */
      apply_grant (&policy, c->call == 2 && c->fence == 5 ? 1 : 2, 100, 5, 1000);
      knl_paused_clock_advance (policy.clock, 100 * KNL_MSEC);
      apply_grant (&policy, c->call, 60, c->fence, c->ttl_ms);
      knl_paused_clock_advance (policy.clock, c->after);
      if (free_tokens_of (&policy, engine) != c->free_tokens)
        printf ("\n  %s: %d", c->name, (int)free_tokens_of (&policy, engine));
      CU_ASSERT_EQUAL (free_tokens_of (&policy, engine), c->free_tokens);
    }
}

/*
 * Guards against serving nothing, or overloading engines, in an outage of the platform. No shard
 * has a holder for a long time, so no credits are granted; the static shares of nine entries must
 * add up to the engine's capacity.
 */
static void
test_static_shares_fit (void)
{
  guint64 sum = 0;
  guint owners = 0;

  for (guint entry = 1; entry <= 9; entry++)
    {
      char name[] = "e0";
      EnCredits *credits;
      EnEndpoint *engine;
      EnNeed need = { 0 };
      g_auto (Policy) policy = policy_new ();

      engine = add_engine (&policy, "engine-1");
      for (guint e = 1; e <= 9; e++)
        {
          name[1] = (char)('0' + e);
          add_member (&policy, name, ALDERTURN__MEMBER_KIND__MEMBER_KIND_ENTRY);
        }
      name[1] = (char)('0' + entry);
      credits = en_credits_new (policy.kernel, policy.fleet, name);
      en_credits_note_capacity (engine, 9000, 36);
      need.tokens = 1;
      /* The previous holder's grants to other entries may still be in force. */
      CU_ASSERT_FALSE (en_credits_has_capacity (credits, engine, &need));
      knl_paused_clock_advance (policy.clock, 3 * KNL_SEC);
      CU_ASSERT_TRUE (en_credits_has_capacity (credits, engine, &need));
      sum += en_credits_max_tokens (credits, engine);
      owners += en_credits_owns_undivided_half (credits, engine);
      en_credits_free (credits);
    }
  CU_ASSERT_EQUAL (owners, 1);
  CU_ASSERT_EQUAL (sum, 9000);
}

typedef enum
{
  SETUP_IDLE,
  SETUP_BACKLOG,
  SETUP_RECENT,
  SETUP_FAILED,
  SETUP_LEAVING,
  SETUP_FULL,
  SETUP_HELD,
  SETUP_OTHER_ZONE,
  SETUP_CACHED,
} EngineSetup;

typedef struct
{
  const char *name;
  EngineSetup first; /* state of engine-1; engine-2 has a backlog of 1,000 tokens */
  const char *chosen;
} ChoiceCase;

static const ChoiceCase choice_cases[] = {
  { "the one without a backlog", SETUP_IDLE, "engine-1" },
  { "not the one with more backlog", SETUP_BACKLOG, "engine-2" },
  { "not the one that was just given more", SETUP_RECENT, "engine-2" },
  { "not the one that just failed", SETUP_FAILED, "engine-2" },
  { "not the one that is leaving", SETUP_LEAVING, "engine-2" },
  { "not the one without free capacity", SETUP_FULL, "engine-2" },
  { "not the one kept for another", SETUP_HELD, "engine-2" },
  { "another zone rather than a queue", SETUP_OTHER_ZONE, "engine-1" },
  { "the prompt's cached part counts", SETUP_CACHED, "engine-1" },
};

static void
set_up_engine (Policy *policy, EnEndpoint *engine, EngineSetup what, guint64 block)
{
  KnlTime now = knl_kernel_now (policy->kernel);

  engine->grant = (EnGrant){ .tokens = 100000, .slots = 10, .expires = now + KNL_SEC };
  engine->load.prefill_backlog = what == SETUP_BACKLOG ? 5000 : 0;
  engine->recent_tokens = what == SETUP_RECENT ? 5000 : 0;
  engine->held_for = what == SETUP_HELD ? 99 : 0;
  if (what == SETUP_FAILED)
    en_endpoint_note_failure (engine, now);
  if (what == SETUP_LEAVING)
    en_endpoint_note_leaving (engine, now);
  if (what == SETUP_FULL)
    engine->used_tokens = 100000;
  if (what == SETUP_OTHER_ZONE)
    engine->zone[0] = 'z';
  if (what == SETUP_CACHED)
    {
      engine->load.prefill_backlog = 3000;
      g_hash_table_add (engine->prefixes, g_memdup2 (&block, sizeof block));
    }
}

static void
test_choice_of_an_engine (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (choice_cases); i++)
    {
      const ChoiceCase *c = &choice_cases[i];
      guint64 block = 77;
      EnRoute route = { .label = "gpu",
                        .zone = "a",
                        .need = { .tokens = 6000, .prefill = 5000 },
                        .number = 1,
                        .blocks = &block,
                        .n_blocks = 1 };
      EnRouter *router;
      EnEndpoint *chosen;
      const char *name;
      g_auto (Policy) policy = policy_new ();

      router = en_router_new ("credits", policy.kernel, policy.fleet, policy.credits);
      set_up_engine (&policy, add_engine (&policy, "engine-1"), c->first, block);
      set_up_engine (&policy, add_engine (&policy, "engine-2"), SETUP_IDLE, block);
      en_fleet_find (policy.fleet, "engine-2")->load.prefill_backlog = 1000;
      route.now = knl_kernel_now (policy.kernel);
      chosen = en_router_choose (router, &route);
      name = chosen != NULL ? chosen->name : "none";
      if (strcmp (name, c->chosen) != 0)
        printf ("\n  %s: %s", c->name, name);
      CU_ASSERT_STRING_EQUAL (name, c->chosen);
      en_router_free (router);
    }
}

/* Engines in role "short" refuse long prompts, so they must not get any. */
static void
test_long_prompts_keep_to_their_engines (void)
{
  EnRoute route = { .label = "gpu", .zone = "a", .need = { .tokens = 6000, .prefill = 5000 } };
  EnRouter *router;
  EnEndpoint *first;
  EnEndpoint *second;
  g_auto (Policy) policy = policy_new ();

  router = en_router_new ("credits", policy.kernel, policy.fleet, policy.credits);
  set_up_engine (&policy, add_engine (&policy, "engine-1"), SETUP_IDLE, 0);
  set_up_engine (&policy, add_engine (&policy, "engine-2"), SETUP_IDLE, 0);
  first = en_fleet_find (policy.fleet, "engine-1");
  second = en_fleet_find (policy.fleet, "engine-2");
  first->role = EN_ROLE_SHORT;
  second->role = EN_ROLE_LONG;
  second->load.prefill_backlog = 1000;
  route.now = knl_kernel_now (policy.kernel);
  CU_ASSERT_PTR_EQUAL (en_router_choose (router, &route), first);
  route.need.is_long = TRUE;
  CU_ASSERT_PTR_EQUAL (en_router_choose (router, &route), second);
  second->pending_long = 400000;
  CU_ASSERT_PTR_NULL (en_router_choose (router, &route));
  en_router_free (router);
}

/*
 * Guards against a flood by one workspace delaying the first tokens of all others despite a fair
 * queue. The engines have capacity, so everything is dispatched and waits in the engines' own
 * queues, which know priorities but not workspaces; the flood must be detected and get a lower one.
 */
static void
test_a_flood_is_distinguished_from_large_users (void)
{
  static const struct
  {
    guint requests[4];
    gint64 weight; /* weight of the first workspace */
    gboolean floods;
  } rows[] = {
    { { 100, 30, 30, 5 }, 1, TRUE },  { { 100, 90, 80, 5 }, 1, FALSE },
    { { 100, 30, 30, 5 }, 4, FALSE }, { { 15, 1, 1, 1 }, 1, FALSE },
    { { 100, 100, 20, 5 }, 1, TRUE }, { { 100, 0, 0, 0 }, 1, FALSE },
  };
  static const char *const names[] = { "a", "b", "c", "d" };

  for (guint r = 0; r < G_N_ELEMENTS (rows); r++)
    {
      g_auto (Policy) policy = policy_new ();

      en_shares_set_weight (policy.shares, "a", rows[r].weight);
      for (guint i = 0; i < G_N_ELEMENTS (names); i++)
        {
          for (guint n = 0; n < rows[r].requests[i]; n++)
            en_shares_note_dispatched (policy.shares, names[i], 1000);
        }
      CU_ASSERT_EQUAL (en_shares_is_flooding (policy.shares, "a"), rows[r].floods);
      knl_paused_clock_advance (policy.clock, 600 * KNL_SEC);
      CU_ASSERT_FALSE (en_shares_is_flooding (policy.shares, "a"));
    }
}

static const SuiteCase cases[] = {
  { "a flood is distinguished from large users", test_a_flood_is_distinguished_from_large_users },
  { "workspaces share by weight over all entries", test_workspaces_share_by_weight },
  { "short requests pass long ones", test_short_requests_pass_long_ones },
  { "grants are applied in order and lapse", test_grants },
  { "static shares of all entries fit the engine", test_static_shares_fit },
  { "the choice of an engine", test_choice_of_an_engine },
  { "long prompts keep to their engines", test_long_prompts_keep_to_their_engines },
};

SUITE_MAIN ("en_policy", cases)
