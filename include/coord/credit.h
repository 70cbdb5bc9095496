#pragma once

/**
 * Credits: the ledger of an engine's memory (in tokens) and batch slots, kept by
 * the holder of the engine's shard. It gives entries grants that expire; all
 * unexpired grants together never exceed the engine's capacity. Use that entries
 * or the engine report counts as granted, so that a lost grant or a dead entry is
 * accounted for until the engine has freed the memory.
 *
 * Does no I/O: the owner passes reports and requests in, and sends the grants.
 */

#include "endpoint/endpoint.h"
#include "wire/alderturn.pb-c.h"

typedef struct CoCredit CoCredit;

typedef struct
{
  KnlKernel *kernel;
  KnlTime ttl; /**< of a grant */
  /** Fraction of an engine that is divided evenly, regardless of demand, so that there is always
      free capacity for short requests. */
  double reserve;
} CoCreditOptions;

/** State of one process of an entry, as far as it is known. */
typedef enum
{
  CO_ENTRY_PRESENT,  /**< it is running, or nothing is known */
  CO_ENTRY_MISSING,  /**< dead by membership: only a hint, as a process that is cut off looks the
                        same */
  CO_ENTRY_REPLACED, /**< it has certainly ended: a later process has its name */
} CoEntryState;

typedef CoEntryState (*CoEntryStateFunc) (const char *entry, guint64 incarnation, gpointer data);

/**
 * Creates one engine's ledger. It grants nothing until `frozen_until`, as grants of
 * a former holder's ledger may be unexpired until then.
 */
CoCredit *co_credit_new (const CoCreditOptions *options, KnlTime frozen_until);

/** How long grants of a ledger that ends now may stay valid, also on clocks that run slower. */
KnlTime co_credit_grant_lifetime (const CoCreditOptions *options);
void co_credit_free (CoCredit *credit);

/** Applies the engine's report: its capacity, and the requests that it runs. */
void co_credit_report (CoCredit *credit, const EpReport *report);

/** Notes that an entry's credit request doesn't list this engine: it claims nothing there. */
void co_credit_note_unclaimed (CoCredit *credit, const char *entry, guint64 incarnation);

/**
 * Grants an entry what is available now. Returns FALSE before the first report, and
 * until `frozen_until`: no grant yet. Fills `grant`, except its strings and its fence.
 */
gboolean co_credit_grant (CoCredit *credit,
                          const char *entry,
                          guint64 incarnation,
                          const Alderturn__CreditWant *want,
                          Alderturn__CreditGrant *grant);

/**
 * Returns copies of the ids of leaked requests, which the engine still lists: those of entries
 * that have ended, and those of live entries that have claimed nothing for a while. The caller
 * cancels them at the engine, repeatedly as long as they are listed.
 */
GPtrArray *co_credit_leaks (CoCredit *credit, CoEntryStateFunc state_of, gpointer data);

/** Tokens granted in total: for each entry the larger of its unexpired grants and its use. */
guint64 co_credit_committed (CoCredit *credit);

guint64 co_credit_capacity (const CoCredit *credit);
