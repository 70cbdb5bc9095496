#pragma once

/**
 * The entry's credits: how much of each engine's memory and batch slots it may use.
 *
 * The holder of the engine's shard grants shares that expire, so that all entries
 * together never use more than the engine has. While there is no holder, each
 * entry uses a static share that needs no coordination.
 */

#include "entry/fleet.h"
#include "entry/request.h"

/**
 * Fraction of an engine's memory that one entry can expect to be granted at once:
 * holders reserve some for all entries, and the other entries' headroom is
 * granted too.
 */
#define EN_ENGINE_FRACTION 0.35

typedef struct EnCredits EnCredits;

/** What this entry's waiting requests need of one engine. */
typedef struct
{
  guint64 tokens;
  guint slots;
  guint64 largest; /**< tokens of a long prompt that needs the engine kept free; 0: none */
} EnWant;

/** Fills in `want`, which is zeroed, for `endpoint`. */
typedef void (*EnWantsFunc) (const EnEndpoint *endpoint, EnWant *want, gpointer data);

/** `instance` is this entry's own name, by which it recognizes itself among the entries; copied. */
EnCredits *en_credits_new (KnlKernel *kernel, EnFleet *fleet, const char *instance);
void en_credits_free (EnCredits *credits);

/** Sets this process's incarnation, by which holders distinguish it from its predecessor. */
void en_credits_set_incarnation (EnCredits *credits, guint64 incarnation);

/** Whether the grant in force, or else the static share, has free capacity for `need`. */
gboolean
en_credits_has_capacity (EnCredits *credits, const EnEndpoint *endpoint, const EnNeed *need);

/**
 * The most tokens of the engine that this entry could get now: all of its capacity,
 * or without a grant the static share; 0: unknown.
 */
guint64 en_credits_max_tokens (EnCredits *credits, const EnEndpoint *endpoint);

/** Whether no grant is in force, so that the static share applies. */
gboolean en_credits_is_static (EnCredits *credits, const EnEndpoint *endpoint);

/**
 * Whether this entry gets the half of the engine that is not divided among all
 * entries while there is no holder.
 */
gboolean en_credits_owns_undivided_half (EnCredits *credits, const EnEndpoint *endpoint);

/** Creates the next credit request; the lifetime of its grants counts from this call. */
Alderturn__CreditRequest *en_credits_request (EnCredits *credits, EnWantsFunc wants, gpointer data);
void en_credits_request_free (Alderturn__CreditRequest *request);

/** Applies grants; drops late answers and those of a replaced holder. */
void en_credits_apply (EnCredits *credits, const Alderturn__CreditReply *reply);

/** Notes an engine's capacity from a grant or from its own report; 0 `tokens`: unknown, ignored. */
void en_credits_note_capacity (EnEndpoint *endpoint, guint64 tokens, guint slots);
