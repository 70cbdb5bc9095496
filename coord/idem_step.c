#include "coord/idem_step.h"

#include <string.h>

#include "common/log.h"

#define NONE    ALDERTURN__IDEM_STATE__IDEM_STATE_UNSPECIFIED
#define BEGUN   ALDERTURN__IDEM_STATE__IDEM_STATE_BEGUN
#define NOT_RUN ALDERTURN__IDEM_STATE__IDEM_STATE_NOT_RUN
#define UNKNOWN ALDERTURN__IDEM_STATE__IDEM_STATE_UNKNOWN
#define FAILED  ALDERTURN__IDEM_STATE__IDEM_STATE_FAILED
#define DONE    ALDERTURN__IDEM_STATE__IDEM_STATE_DONE

static CoIdemDecision
reply (Alderturn__IdemVerdict verdict)
{
  return (CoIdemDecision){ .action = CO_IDEM_REPLY, .verdict = verdict };
}

/* Within one attempt the state only rises; a new attempt may follow only one that didn't run. */
static CoIdemDecision
write_record (const CoIdemRecord *record, CoIdemRecord next)
{
  gboolean same = record->state != NONE && strcmp (record->attempt, next.attempt) == 0;

  cm_invariant (same ? next.state > record->state
                     : record->state == NONE || record->state == NOT_RUN,
                "idempotency-record-moves-forward");
  return (CoIdemDecision){ .action = CO_IDEM_WRITE, .next = next };
}

static CoIdemDecision
begin_record (const CoIdemRecord *record, const char *attempt, guint64 digest)
{
  CoIdemRecord next = { .state = BEGUN, .attempt = g_strdup (attempt), .digest = digest };

  return write_record (record, next);
}

static CoIdemDecision
mark_unknown (const CoIdemRecord *record)
{
  CoIdemRecord next = co_idem_record_copy (record);

  next.state = UNKNOWN;
  return write_record (record, next);
}

CoIdemDecision
co_idem_decide_begin (const CoIdemRecord *record,
                      const char *attempt,
                      guint64 digest,
                      gboolean abandoned)
{
  gboolean same = record->state != NONE && strcmp (record->attempt, attempt) == 0;

  if (record->state == NONE)
    return begin_record (record, attempt, digest);
  /*
   * The attempt has given up, and is recorded as not run. Its own begin, delayed in
   * transit, must not begin the record again, as no finish would follow.
   */
  if (record->state == NOT_RUN)
    return same ? reply (ALDERTURN__IDEM_VERDICT__IDEM_VERDICT_REFUSED)
                : begin_record (record, attempt, digest);
  if (record->digest != 0 && record->digest != digest)
    return reply (ALDERTURN__IDEM_VERDICT__IDEM_VERDICT_MISMATCH);
  switch (record->state)
    {
    case BEGUN:
      if (same)
        return reply (ALDERTURN__IDEM_VERDICT__IDEM_VERDICT_RUN);
      return abandoned ? mark_unknown (record) : reply (ALDERTURN__IDEM_VERDICT__IDEM_VERDICT_BUSY);
    case FAILED:
      return reply (ALDERTURN__IDEM_VERDICT__IDEM_VERDICT_FAILED);
    case DONE:
      return reply (ALDERTURN__IDEM_VERDICT__IDEM_VERDICT_DONE);
    default:
      return reply (ALDERTURN__IDEM_VERDICT__IDEM_VERDICT_UNKNOWN);
    }
}

CoIdemDecision
co_idem_decide_finish (const CoIdemRecord *record, const CoIdemRecord *outcome)
{
  CoIdemRecord next;

  if (record->state != NONE
      && (strcmp (record->attempt, outcome->attempt) != 0 || outcome->state <= record->state))
    return reply (ALDERTURN__IDEM_VERDICT__IDEM_VERDICT_UNSPECIFIED);
  next = co_idem_record_copy (outcome);
  if (record->state != NONE)
    next.digest = record->digest;
  return write_record (record, next);
}
