#pragma once

/** Decides what a request does to a record. Pure functions, no I/O. */

#include "coord/idem_record.h"

typedef enum
{
  CO_IDEM_REPLY, /**< answer from the record, which stays unchanged */
  CO_IDEM_WRITE, /**< write `next`, then decide again */
} CoIdemAction;

typedef struct
{
  CoIdemAction action;
  Alderturn__IdemVerdict verdict; /**< of a begin, with CO_IDEM_REPLY */
  CoIdemRecord next;              /**< with CO_IDEM_WRITE; owned by the caller */
} CoIdemDecision;

/** `abandoned`: the record is begun, and its attempt has timed out or its process has ended. */
CoIdemDecision co_idem_decide_begin (const CoIdemRecord *record,
                                     const char *attempt,
                                     guint64 digest,
                                     gboolean abandoned);

/** `outcome` has the new state, the attempt and the answer. */
CoIdemDecision co_idem_decide_finish (const CoIdemRecord *record, const CoIdemRecord *outcome);
