#include "tests/unit/en_test_uplink.h"

#include <string.h>

#include "tests/standins/engine_model.h"

static void
answer (EnTestUplink *self, Alderturn__Frame__BodyCase body_case, gpointer body)
{
  Alderturn__Frame frame = ALDERTURN__FRAME__INIT;

  frame.body_case = body_case;
  frame.heartbeat = body;
  self->events->on_frame (&frame, self->data);
}

static void
grant_all (EnTestUplink *self, const Alderturn__CreditRequest *request)
{
  Alderturn__CreditReply reply = ALDERTURN__CREDIT_REPLY__INIT;
  Alderturn__CreditGrant *grants = g_new0 (Alderturn__CreditGrant, request->n_wants);
  Alderturn__CreditGrant **list = g_new0 (Alderturn__CreditGrant *, request->n_wants);

  self->wanted_tokens = 0;
  for (size_t i = 0; i < request->n_wants; i++)
    {
      alderturn__credit_grant__init (&grants[i]);
      grants[i].endpoint = request->wants[i]->endpoint;
      grants[i].tokens = sd_engine_defaults.capacity_tokens;
      grants[i].capacity_tokens = sd_engine_defaults.capacity_tokens;
      grants[i].slots = grants[i].capacity_slots = sd_engine_defaults.slots;
      grants[i].ttl_ms = 1000;
      grants[i].fence = self->fence;
      list[i] = &grants[i];
      self->wanted_tokens += request->wants[i]->wanted_tokens;
    }
  reply.call = request->call;
  reply.n_grants = request->n_wants;
  reply.grants = list;
  if (self->grants)
    answer (self, ALDERTURN__FRAME__BODY_CREDIT_REPLY, &reply);
  g_free (list);
  g_free (grants);
}

static void
handle_begin (EnTestUplink *self, const Alderturn__IdemBegin *begin)
{
  Alderturn__IdemReply reply = ALDERTURN__IDEM_REPLY__INIT;

  self->begins++;
  reply.call = begin->call;
  reply.verdict = self->verdict;
  if (self->stored != NULL)
    {
      reply.status = 200;
      reply.body.data = (guint8 *)self->stored;
      reply.body.len = strlen (self->stored);
    }
  if (!self->ignores_begin)
    answer (self, ALDERTURN__FRAME__BODY_IDEM_REPLY, &reply);
}

static void
handle_finish (EnTestUplink *self, const Alderturn__IdemFinish *finish)
{
  Alderturn__IdemFinishReply reply = ALDERTURN__IDEM_FINISH_REPLY__INIT;

  self->finishes++;
  self->last_state = finish->state;
  g_strlcpy (self->last_attempt, finish->attempt, sizeof self->last_attempt);
  g_string_truncate (self->last_body, 0);
  g_string_append_len (self->last_body, (const char *)finish->body.data, (gssize)finish->body.len);
  reply.call = finish->call;
  reply.durable = TRUE;
  if (!self->ignores_finish)
    answer (self, ALDERTURN__FRAME__BODY_IDEM_FINISH_REPLY, &reply);
}

/* Requests are answered from a timer, as no callback may run inside a send. */
typedef struct
{
  EnTestUplink *uplink;
  Alderturn__Frame *frame;
} Delivery;

static void
deliver (gpointer data)
{
  Delivery *delivery = data;
  EnTestUplink *self = delivery->uplink;
  const Alderturn__Frame *frame = delivery->frame;

  if (frame->body_case == ALDERTURN__FRAME__BODY_CREDIT_REQUEST)
    grant_all (self, frame->credit_request);
  else if (frame->body_case == ALDERTURN__FRAME__BODY_IDEM_BEGIN)
    handle_begin (self, frame->idem_begin);
  else if (frame->body_case == ALDERTURN__FRAME__BODY_IDEM_FINISH)
    handle_finish (self, frame->idem_finish);
  alderturn__frame__free_unpacked (delivery->frame, NULL);
  g_free (delivery);
}

static void
uplink_send (EnUplink *uplink, const Alderturn__Frame *frame)
{
  EnTestUplink *self = (EnTestUplink *)uplink;
  gsize size = alderturn__frame__get_packed_size (frame);
  guint8 *bytes;
  Delivery *delivery;

  if (self->down)
    return;
  if (frame->body_case == ALDERTURN__FRAME__BODY_CRASH_REPORT)
    g_array_append_vals (self->crashes, frame->crash_report->fingerprints,
                         (guint)frame->crash_report->n_fingerprints);
  else if (frame->body_case == ALDERTURN__FRAME__BODY_ENTRY_STATUS)
    self->last_status = *frame->entry_status;
  bytes = g_malloc (size);
  delivery = g_new0 (Delivery, 1);
  alderturn__frame__pack (frame, bytes);
  delivery->uplink = self;
  delivery->frame = alderturn__frame__unpack (NULL, size, bytes);
  knl_timer_start (self->kernel, 0, deliver, delivery);
  g_free (bytes);
}

static gboolean
uplink_is_up (EnUplink *uplink)
{
  return !((EnTestUplink *)uplink)->down;
}

static void
uplink_set_events (EnUplink *uplink, const EnUplinkEvents *events, gpointer data)
{
  ((EnTestUplink *)uplink)->events = events;
  ((EnTestUplink *)uplink)->data = data;
}

static void
uplink_set_others (EnUplink *uplink, const char *const *others)
{
}

static const EnUplinkClass uplink_class = {
  .send = uplink_send,
  .is_up = uplink_is_up,
  .set_events = uplink_set_events,
  .set_others = uplink_set_others,
};

void
en_test_uplink_declare (EnTestUplink *self, const char *kind, const char *name, const char *fields)
{
  Alderturn__ConfigPush push = ALDERTURN__CONFIG_PUSH__INIT;
  Alderturn__ConfigChange change = ALDERTURN__CONFIG_CHANGE__INIT;
  Alderturn__ConfigChange *changes[] = { &change };

  push.from_revision = self->revision;
  push.revision = change.revision = ++self->revision;
  change.kind = (char *)kind;
  change.name = (char *)name;
  change.fields = (char *)(fields != NULL ? fields : "");
  change.removed = fields == NULL;
  push.n_changes = 1;
  push.changes = changes;
  answer (self, ALDERTURN__FRAME__BODY_CONFIG_PUSH, &push);
}

void
en_test_uplink_member (EnTestUplink *self, Alderturn__Member *member, gboolean full)
{
  Alderturn__MemberUpdate update = ALDERTURN__MEMBER_UPDATE__INIT;
  Alderturn__Member *members[] = { member };

  update.full = full;
  update.n_members = 1;
  update.members = members;
  answer (self, ALDERTURN__FRAME__BODY_MEMBER_UPDATE, &update);
}

void
en_test_uplink_init (EnTestUplink *self, KnlKernel *kernel)
{
  *self = (EnTestUplink){
    .base.klass = &uplink_class,
    .kernel = kernel,
    .grants = TRUE,
    .verdict = ALDERTURN__IDEM_VERDICT__IDEM_VERDICT_RUN,
    .fence = 1,
    .last_body = g_string_new (NULL),
    .crashes = g_array_new (FALSE, FALSE, sizeof (guint64)),
  };
}

void
en_test_uplink_clear (EnTestUplink *self)
{
  g_string_free (self->last_body, TRUE);
  g_array_unref (self->crashes);
}
