/** What is known of whether a request has run: which answers are to it, what callers may be told.
 */

#include <string.h>

#include "common/log.h"
#include "serve/core_internal.h"

static void
log_skipped (const SvRequest *self, const HtExchange *exchange, const SvReply *reply)
{
  cm_log (CM_LOG_INFO, "answer-skipped", "s", "request", self->params.id, "s", "endpoint",
          self->exchange != NULL ? self->placement.first->id : NULL, "s", "peer", self->passed_to,
          "i", "status", (gint64)reply->status, "s", "names", reply->id, "b", "not-run",
          reply->not_run, "b", "reused", ht_exchange_is_reused (exchange));
}

HtHeadVerdict
sv_request_read_head (SvRequest *self, const HtExchange *exchange, const HtMessage *answer)
{
  SvDialect *dialect = self->core->parts.dialect;
  PolAnswerOwner owner;
  SvReply reply;

  dialect->klass->read_reply (dialect, answer, &reply);
  owner = pol_answer_owner (reply.id, self->params.id, ht_exchange_awaits_first_answer (exchange));
  if (owner == POL_ANSWER_OWN)
    {
      self->reply = reply;
      return HT_HEAD_ACCEPT;
    }
  log_skipped (self, exchange, &reply);
  /* If it is to this request, none follows. One that may run again needn't wait to find out. */
  self->is_doubtful =
      owner == POL_ANSWER_UNNAMED && reply.not_run && sv_route_is_idempotent (self->route);
  return self->is_doubtful ? HT_HEAD_REFUSE : HT_HEAD_SKIP;
}

void
sv_request_forward_endpoint (SvRequest *self, const HtMessage *answer)
{
  if (sv_route_is_idempotent (self->route) || !pol_status_promises_not_run (answer->status))
    sv_request_forward (self, answer);
  else
    sv_request_fail (self, 502, "endpoint-failed");
}

const char *
sv_request_told_endpoint (const SvRequest *self, const HtMessage *answer)
{
  const SvEndpoint *endpoint = answer == self->failure ? self->failed_at : self->placement.first;

  return self->is_passed && endpoint != NULL ? endpoint->id : NULL;
}

gboolean
sv_request_may_have_run (const SvRequest *self)
{
  return self->runs > 0 || (self->exchange != NULL && ht_exchange_has_sent (self->exchange))
         || (self->pass != NULL && ht_exchange_has_sent (self->pass));
}

gboolean
sv_request_was_sent_to (const SvRequest *self, const char *address)
{
  for (guint i = 0; i < self->excluded->len; i++)
    {
      const SvEndpoint *tried = g_ptr_array_index (self->excluded, i);

      if (strcmp (tried->address, address) == 0)
        return TRUE;
    }
  return FALSE;
}
