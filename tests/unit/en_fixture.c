#include "entry/core_internal.h"
#include "tests/unit/en_fixture.h"

#include <string.h>

static const char *const addresses[EN_FIXTURE_ENGINES] = { "127.0.0.1:1001", "127.0.0.1:1002",
                                                           "127.0.0.1:1003" };

static void
caller_begin (EnCaller *caller, const char *request)
{
  EnTestCaller *self = (EnTestCaller *)caller;

  g_assert (!self->begun && self->ended == 0);
  self->begun = TRUE;
}

static gboolean
caller_tokens (EnCaller *caller, const char *request, guint64 offset, guint count, const char *text)
{
  EnTestCaller *self = (EnTestCaller *)caller;

  g_assert (self->begun && self->ended == 0 && offset == self->tokens);
  if (self->tokens == 0)
    self->first_at = knl_kernel_now (self->kernel);
  self->tokens += count;
  g_string_append (self->text, text);
  return !self->refuses_tokens;
}

static void
caller_done (EnCaller *caller, const char *request, const EnAnswer *reply)
{
  EnTestCaller *self = (EnTestCaller *)caller;

  self->ended++;
  self->done = TRUE;
  self->outcome = reply->outcome;
  self->status = reply->status;
  self->ended_at = knl_kernel_now (self->kernel);
}

static void
caller_error (EnCaller *caller, const char *request, const EnError *error)
{
  EnTestCaller *self = (EnTestCaller *)caller;

  self->ended++;
  self->code = error->code;
  self->outcome = error->outcome;
  self->retry_after = error->retry_after;
  self->ended_at = knl_kernel_now (self->kernel);
}

static const EnCallerClass caller_class = {
  .begin = caller_begin,
  .tokens = caller_tokens,
  .done = caller_done,
  .error = caller_error,
};

EnTestCaller
en_test_caller_make (KnlKernel *kernel)
{
  EnTestCaller caller = { .base.klass = &caller_class, .kernel = kernel };

  caller.text = g_string_new (NULL);
  return caller;
}

void
en_test_caller_clear (EnTestCaller *caller)
{
  g_string_free (caller->text, TRUE);
}

const char *
en_fixture_engine (guint index)
{
  return addresses[index];
}

void
en_fixture_set (EnFixture *self, const char *kind, const char *name, const char *fields)
{
  en_test_uplink_declare (&self->uplink, kind, name, fields);
}

void
en_fixture_member (EnFixture *self,
                   const char *name,
                   Alderturn__MemberKind kind,
                   Alderturn__MemberState state,
                   guint64 incarnation)
{
  Alderturn__Member member = ALDERTURN__MEMBER__INIT;

  member.name = (char *)name;
  member.kind = kind;
  member.state = state;
  member.zone = "a";
  member.incarnation = incarnation;
  member.address = "127.0.0.1:9";
  if (kind == ALDERTURN__MEMBER_KIND__MEMBER_KIND_ENGINE)
    {
      member.service = "gpu";
      member.address = (char *)addresses[name[strlen (name) - 1] - '1'];
    }
  else if (kind == ALDERTURN__MEMBER_KIND__MEMBER_KIND_SERVICE)
    {
      member.service = "app";
      member.address = EN_FIXTURE_SERVICE;
    }
  en_test_uplink_member (&self->uplink, &member, kind == ALDERTURN__MEMBER_KIND__MEMBER_KIND_ENTRY);
}

static void
declare_all (EnFixture *self)
{
  en_fixture_set (self, "model", "m", "{}");
  en_fixture_set (self, "service", "chat",
                  "{\"kind\":\"model\",\"endpoints\":\"gpu\",\"model\":\"m\","
                  "\"long-share\":0.5}");
  en_fixture_set (self, "service", "app", "{\"kind\":\"plain\",\"endpoints\":\"app\"}");
  en_fixture_set (self, "workspace", "w1", "{\"token\":\"t1\"}");
  en_fixture_set (self, "workspace", "w2", "{\"token\":\"t2\"}");
  en_fixture_member (self, "e1", ALDERTURN__MEMBER_KIND__MEMBER_KIND_ENTRY,
                     ALDERTURN__MEMBER_STATE__MEMBER_STATE_LIVE, 1);
  for (guint i = 0; i < EN_FIXTURE_ENGINES; i++)
    {
      char name[] = "engine-1";

      name[strlen (name) - 1] = (char)('1' + i);
      en_fixture_member (self, name, ALDERTURN__MEMBER_KIND__MEMBER_KIND_ENGINE,
                         ALDERTURN__MEMBER_STATE__MEMBER_STATE_LIVE, 0);
    }
  en_fixture_member (self, "app-1", ALDERTURN__MEMBER_KIND__MEMBER_KIND_SERVICE,
                     ALDERTURN__MEMBER_STATE__MEMBER_STATE_LIVE, 0);
}

static EnFixture *
fixture_new (const SdEngineSettings *settings, KnlTime age)
{
  EnFixture *self = g_new0 (EnFixture, 1);
  EnCoreSettings core = {
    .instance = "e1",
    .zone = "a",
    .incarnation = 7,
    .max_in_flight = 1000,
    .max_queued = 100,
    .max_new_tokens = 10000,
    .max_timeout = 1000 * KNL_SEC,
    .entries_ttl = KNL_SEC,
  };
  EnCoreParts parts;
  SdEngineSettings engine = settings != NULL ? *settings : sd_engine_defaults;

  engine.any_model = TRUE;
  self->clock = knl_paused_clock_new ();
  self->runtime = knl_paused_clock_runtime (self->clock);
  self->kernel = knl_kernel_new (self->runtime, 1);
  self->fleet = fk_fleet_new (self->clock);
  for (guint i = 0; i < EN_FIXTURE_ENGINES; i++)
    fk_fleet_add_engine (self->fleet, addresses[i], &engine);
  fk_fleet_add_service (self->fleet, EN_FIXTURE_SERVICE);
  self->client = fk_fleet_client_new (self->fleet, self->kernel);
  self->config = co_config_new ();
  en_test_uplink_init (&self->uplink, self->kernel);
  parts = (EnCoreParts){ .kernel = self->kernel,
                         .client = self->client,
                         .uplink = &self->uplink.base,
                         .config = self->config };
  self->core = en_core_new (&parts, &core);
  en_fixture_advance (self, age);
  self->caller = en_test_caller_make (self->kernel);
  declare_all (self);
  en_fixture_advance (self, KNL_SEC);
  return self;
}

EnFixture *
en_fixture_new (const SdEngineSettings *settings)
{
  return fixture_new (settings, en_retry_budget.window);
}

EnFixture *
en_fixture_new_at_start (void)
{
  return fixture_new (NULL, 0);
}

void
en_fixture_free (EnFixture *self)
{
  en_core_free (self->core);
  en_fixture_advance (self, 0);
  co_config_free (self->config);
  ep_client_free (self->client);
  knl_kernel_free (self->kernel);
  fk_fleet_free (self->fleet);
  knl_paused_clock_free (self->clock);
  en_test_caller_clear (&self->caller);
  en_test_uplink_clear (&self->uplink);
  g_free (self);
}

void
en_fixture_advance (EnFixture *self, KnlTime delta)
{
  knl_paused_clock_advance (self->clock, delta);
}

static gboolean
has_ended (gpointer data)
{
  return ((EnTestCaller *)data)->ended > 0;
}

gboolean
en_fixture_wait (EnFixture *self, EnTestCaller *caller, KnlTime limit)
{
  return knl_paused_clock_advance_until (self->clock, limit, has_ended, caller);
}

int
en_fixture_busy_engine (EnFixture *self)
{
  const GPtrArray *endpoints = en_fleet_endpoints (en_core_fleet (self->core));

  for (guint i = 0; i < endpoints->len; i++)
    {
      const EnEndpoint *endpoint = g_ptr_array_index (endpoints, i);

      if (endpoint->used_tokens > 0)
        return endpoint->name[strlen (endpoint->name) - 1] - '1';
    }
  return -1;
}

guint64
en_fixture_submit (EnFixture *self,
                   EnTestCaller *caller,
                   const char *prompt,
                   guint64 max_tokens,
                   KnlTime limit)
{
  EnSubmission submission = {
    .token = "t1",
    .service = "chat",
    .prompt = prompt,
    .prompt_bytes = strlen (prompt),
    .max_tokens = max_tokens,
    .timeout = limit,
  };

  return en_core_submit (self->core, &submission, &caller->base);
}

gboolean
en_test_caller_has_answer (const EnTestCaller *caller, const char *prompt, guint64 count)
{
  g_autoptr (GString) expected = g_string_new (NULL);
  gboolean same;

  sd_answer_append (expected, sd_prompt_hash (prompt, strlen (prompt)), 0, count);
  same = caller->done && caller->tokens == count && g_string_equal (expected, caller->text);
  return same;
}

static void
count_run (const char *address, const SdRan *ran, gpointer data)
{
  (*(guint *)data)++;
}

guint
en_fixture_runs (EnFixture *self)
{
  guint runs = 0;

  fk_fleet_foreach_ran (self->fleet, count_run, &runs);
  return runs;
}

guint64
en_fixture_in_use (EnFixture *self)
{
  const GPtrArray *endpoints = en_fleet_endpoints (en_core_fleet (self->core));
  guint64 used = 0;

  for (guint i = 0; i < EN_FIXTURE_ENGINES; i++)
    {
      SdEngine *engine = fk_fleet_engine (self->fleet, addresses[i]);

      used += engine != NULL ? sd_engine_reserved_tokens (engine) : 0;
    }
  for (guint i = 0; i < endpoints->len; i++)
    {
      const EnEndpoint *endpoint = g_ptr_array_index (endpoints, i);

      used += endpoint->used_tokens + endpoint->used_slots + endpoint->pending_prefill;
    }
  return used;
}
