#include "entry/credits.h"

#include <string.h>
#include <xxhash.h>

#include "common/log.h"

/* Number of requests whose answers are accepted; grants in older answers have expired. */
#define MAX_PENDING_CALLS 64

/*
 * A holder that failed may just have granted all of an engine to other entries:
 * the static share applies only after such grants must have lapsed.
 */
#define STATIC_SHARE_DELAY (2 * KNL_SEC)

/* Interval of requests for an idle engine: half of the shortest default lifetime of a grant. */
#define IDLE_REQUEST_INTERVAL (1 * KNL_SEC)

/* Requested even when nothing waits, so that a first short request need not wait for a grant. */
#define HEADROOM_TOKENS 8192
#define HEADROOM_SLOTS  2

struct EnCredits
{
  KnlKernel *kernel;
  EnFleet *fleet;
  char *instance;
  guint64 incarnation;
  guint64 last_call;
  KnlTime sent_at[MAX_PENDING_CALLS]; /* by call number modulo MAX_PENDING_CALLS */
};

EnCredits *
en_credits_new (KnlKernel *kernel, EnFleet *fleet, const char *instance)
{
  EnCredits *self = g_new0 (EnCredits, 1);

  self->kernel = kernel;
  self->fleet = fleet;
  self->instance = g_strdup (instance);
  return self;
}

void
en_credits_free (EnCredits *self)
{
  if (self == NULL)
    return;
  g_free (self->instance);
  g_free (self);
}

void
en_credits_set_incarnation (EnCredits *self, guint64 incarnation)
{
  self->incarnation = incarnation;
}

static gboolean
peer_is_alive (const EnPeer *peer)
{
  return peer->state != ALDERTURN__MEMBER_STATE__MEMBER_STATE_DEAD;
}

static guint
count_entries (EnCredits *self)
{
  const GPtrArray *entries = en_fleet_entries (self->fleet);
  guint count = 0;

  for (guint i = 0; i < entries->len; i++)
    count += peer_is_alive (g_ptr_array_index (entries, i));
  return MAX (count, 1);
}

/* Rendezvous hashing: all entries with the same list of entries choose the same owner. */
gboolean
en_credits_owns_undivided_half (EnCredits *self, const EnEndpoint *endpoint)
{
  const GPtrArray *entries = en_fleet_entries (self->fleet);
  guint64 seed = XXH3_64bits (endpoint->name, strlen (endpoint->name));
  const char *owner = self->instance;
  guint64 best = 0;

  for (guint i = 0; i < entries->len; i++)
    {
      const EnPeer *peer = g_ptr_array_index (entries, i);
      guint64 score = XXH3_64bits_withSeed (peer->name, strlen (peer->name), seed);

      if (peer_is_alive (peer) && score > best)
        {
          best = score;
          owner = peer->name;
        }
    }
  return strcmp (owner, self->instance) == 0;
}

gboolean
en_credits_is_static (EnCredits *self, const EnEndpoint *endpoint)
{
  return endpoint->grant.expires <= knl_kernel_now (self->kernel);
}

static void
static_share (EnCredits *self, const EnEndpoint *endpoint, guint64 *tokens, guint *slots)
{
  guint entries = count_entries (self);
  KnlTime since = MAX (endpoint->grant.expires, endpoint->known_since);

  *tokens = 0;
  *slots = 0;
  if (endpoint->capacity_tokens == 0 || knl_kernel_now (self->kernel) - since < STATIC_SHARE_DELAY)
    return;
  *tokens = endpoint->capacity_tokens / 2 / entries;
  *slots = MAX (endpoint->capacity_slots / 2 / entries, 1);
  if (!en_credits_owns_undivided_half (self, endpoint))
    return;
  *tokens += endpoint->capacity_tokens / 2;
  *slots += endpoint->capacity_slots / 2;
}

gboolean
en_credits_has_capacity (EnCredits *self, const EnEndpoint *endpoint, const EnNeed *need)
{
  guint64 tokens = endpoint->grant.tokens;
  guint slots = endpoint->grant.slots;

  if (en_credits_is_static (self, endpoint))
    static_share (self, endpoint, &tokens, &slots);
  return endpoint->used_tokens + need->tokens <= tokens && endpoint->used_slots + 1 <= slots;
}

guint64
en_credits_max_tokens (EnCredits *self, const EnEndpoint *endpoint)
{
  guint64 tokens = endpoint->capacity_tokens;
  guint slots;

  if (en_credits_is_static (self, endpoint))
    static_share (self, endpoint, &tokens, &slots);
  return tokens;
}

static Alderturn__CreditWant *
want_new (const EnEndpoint *endpoint, EnWantsFunc wants, gpointer data)
{
  Alderturn__CreditWant *want = g_new0 (Alderturn__CreditWant, 1);
  EnWant waiting = { 0 };

  alderturn__credit_want__init (want);
  wants (endpoint, &waiting, data);
  want->endpoint = g_strdup (endpoint->name);
  want->used_tokens = endpoint->used_tokens;
  want->used_slots = endpoint->used_slots;
  want->wanted_tokens = waiting.tokens + HEADROOM_TOKENS;
  want->wanted_slots = waiting.slots + HEADROOM_SLOTS;
  want->largest_tokens = waiting.largest;
  return want;
}

/*
 * An engine on which this entry has no charges and for which nothing waits is
 * requested only every IDLE_REQUEST_INTERVAL, which keeps the grant from lapsing. Most
 * engines are idle in this sense, and including them in each request would make up
 * most of an entry's traffic to controllers.
 */
static gboolean
is_idle (const EnEndpoint *endpoint, const Alderturn__CreditWant *want, KnlTime now)
{
  return want->used_slots == 0 && want->used_tokens == 0 && want->largest_tokens == 0
         && want->wanted_tokens <= HEADROOM_TOKENS && endpoint->requested_at != 0
         && now - endpoint->requested_at < IDLE_REQUEST_INTERVAL;
}

static void
want_free (Alderturn__CreditWant *want)
{
  g_free (want->endpoint);
  g_free (want);
}

static void
add_want (EnCredits *self,
          EnEndpoint *endpoint,
          Alderturn__CreditRequest *request,
          EnWantsFunc wants,
          gpointer data)
{
  KnlTime now = knl_kernel_now (self->kernel);
  Alderturn__CreditWant *want;

  if (endpoint->kind != ALDERTURN__MEMBER_KIND__MEMBER_KIND_ENGINE
      || (endpoint->other_subset && endpoint->used_slots == 0))
    return;
  want = want_new (endpoint, wants, data);
  if (is_idle (endpoint, want, now))
    {
      want_free (want);
      return;
    }
  endpoint->requested_at = now;
  request->wants[request->n_wants++] = want;
}

Alderturn__CreditRequest *
en_credits_request (EnCredits *self, EnWantsFunc wants, gpointer data)
{
  Alderturn__CreditRequest *request = g_new0 (Alderturn__CreditRequest, 1);
  const GPtrArray *endpoints = en_fleet_endpoints (self->fleet);

  alderturn__credit_request__init (request);
  request->call = ++self->last_call;
  self->sent_at[request->call % MAX_PENDING_CALLS] = knl_kernel_now (self->kernel);
  request->entry = self->instance;
  request->incarnation = self->incarnation;
  request->wants = g_new0 (Alderturn__CreditWant *, endpoints->len + 1);
  for (guint i = 0; i < endpoints->len; i++)
    add_want (self, g_ptr_array_index (endpoints, i), request, wants, data);
  return request;
}

void
en_credits_request_free (Alderturn__CreditRequest *request)
{
  for (size_t i = 0; i < request->n_wants; i++)
    {
      want_free (request->wants[i]);
    }
  g_free (request->wants);
  g_free (request);
}

/*
 * A grant of a holder that lost its lease may arrive after its successor's. Grants
 * with a lower fencing number than the last are dropped; otherwise both holders'
 * grants together could exceed the engine's capacity.
 */
static gboolean
is_stale (const EnEndpoint *endpoint, const Alderturn__CreditGrant *grant, guint64 call)
{
  if (grant->fence != endpoint->grant.fence)
    return grant->fence < endpoint->grant.fence;
  return call < endpoint->grant.call;
}

static void
apply_grant (EnCredits *self, const Alderturn__CreditGrant *grant, guint64 call, KnlTime sent_at)
{
  EnEndpoint *endpoint = en_fleet_find (self->fleet, grant->endpoint);
  KnlTime now = knl_kernel_now (self->kernel);

  if (endpoint == NULL || is_stale (endpoint, grant, call))
    return;
  cm_invariant (grant->fence >= endpoint->grant.fence, "a grant's fence never falls");
  endpoint->grant = (EnGrant){
    .tokens = grant->tokens,
    .slots = grant->slots,
    .expires = sent_at + (KnlTime)grant->ttl_ms * KNL_MSEC,
    .fence = grant->fence,
    .call = call,
  };
  en_credits_note_capacity (endpoint, grant->capacity_tokens, grant->capacity_slots);
  if (grant->leaving)
    en_endpoint_note_leaving (endpoint, now);
  if (now - (KnlTime)grant->report_age_ms * KNL_MSEC <= endpoint->load.at)
    return;
  endpoint->load = (EnLoad){
    .used_tokens = grant->used_tokens,
    .waiting = grant->waiting,
    .prefill_backlog = grant->prefill_backlog,
    .at = now - (KnlTime)grant->report_age_ms * KNL_MSEC,
  };
  endpoint->recent_tokens = 0;
}

void
en_credits_apply (EnCredits *self, const Alderturn__CreditReply *reply)
{
  if (reply->call > self->last_call || reply->call + MAX_PENDING_CALLS <= self->last_call)
    return;
  for (size_t i = 0; i < reply->n_grants; i++)
    apply_grant (self, reply->grants[i], reply->call,
                 self->sent_at[reply->call % MAX_PENDING_CALLS]);
}

void
en_credits_note_capacity (EnEndpoint *endpoint, guint64 tokens, guint slots)
{
  if (tokens == 0)
    return;
  endpoint->capacity_tokens = tokens;
  endpoint->capacity_slots = slots;
}
