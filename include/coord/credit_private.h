#pragma once

/** State of the ledger, shared by credit.c (grants) and credit_leaks.c (leaked requests). */

#include "coord/credit.h"

typedef struct
{
  guint64 tokens;
  guint slots;
  KnlTime expires;
} CoCreditGrant;

/* Grants, use and demand of one process of an entry at the engine. */
typedef struct
{
  char *name; /* "ENTRY~INCARNATION" */
  GArray *grants;
  guint64 claimed_tokens; /* in use, according to its last request */
  guint claimed_slots;
  guint64 wanted_tokens; /* in total, including what is in use */
  guint wanted_slots;
  guint64 largest;         /* tokens that one waiting request needs at once; 0: none */
  KnlTime queued_since;    /* when it joined the queue for `largest` */
  KnlTime last_seen_at;    /* time of its last request; -1: none */
  KnlTime unclaimed_since; /* when it stopped claiming anything; KNL_NEVER: it claims something */
  KnlTime absent_since;   /* since when it is replaced, or missing and silent; KNL_NEVER: neither */
  guint64 running_tokens; /* according to the engine's last report */
  guint running_slots;
} CoCreditAccount;

struct CoCredit
{
  CoCreditOptions options;
  KnlTime frozen_until;
  gboolean reported;
  guint64 capacity_tokens;
  guint capacity_slots;
  guint64 used_tokens;
  guint waiting;
  guint64 prefill_backlog;
  gboolean leaving;
  KnlTime report_made_at; /* when the engine made the report, on this process's clock */
  guint64 foreign_tokens; /* of requests whose id names no entry */
  guint foreign_slots;
  GHashTable *accounts; /* name -> CoCreditAccount */
  GHashTable *listed;   /* request id -> KnlTime *, time of the first report that listed it */
};

KnlTime co_credit_now (const CoCredit *credit);

/** The account of one process of an entry, created if `create`; NULL when there is none. */
CoCreditAccount *
co_credit_account (CoCredit *credit, const char *entry, guint64 incarnation, gboolean create);

/** Whether the account's process has sent a request recently. */
gboolean co_credit_is_live (const CoCredit *credit, const CoCreditAccount *account);

/** Updates, for each request in the report, the time since when it has been listed. */
void co_credit_note_listed (CoCredit *credit, const EpReport *report);
