#pragma once

/**
 * What the core needs to know of the messages that callers and endpoints speak.
 * An adapter fills it; it translates and decides nothing.
 */

#include "http/message.h"
#include "serve/fleet.h"

/** An answer with this status is another endpoint's, at the address of the one that was asked. */
#define SV_STATUS_MISDIRECTED 421

typedef struct SvDialect SvDialect;

/** What a caller asks for, beside method, target and body. Strings live as long as the message. */
typedef struct
{
  const char *id; /**< of this attempt of the caller; NULL: none */
  const char *host;
  const char *key;        /**< API key; NULL: none */
  KnlTime limit;          /**< how long the caller waits; 0: not said */
  guint64 prompt_tokens;  /**< 0: not a prompt */
  guint64 answer_tokens;  /**< most that may be written */
  guint64 answer_hint;    /**< the caller's guess of it; 0: none */
  const char *last_event; /**< the stream goes on after this event; NULL: from its begin */
} SvAsk;

/** An endpoint that reads a part of the prompt. */
typedef struct
{
  const SvEndpoint *endpoint;
  const char *reservation; /**< memory set aside there for the part; NULL: none */
} SvHelper;

/** A request on its way to an endpoint. */
typedef struct
{
  const HtMessage *request; /**< the caller's */
  const SvAsk *ask;
  const SvEndpoint *endpoint;
  const char *workspace;  /**< NULL: none */
  KnlTime left;           /**< time that the endpoint has */
  const char *last_event; /**< as in SvAsk */
  guint urgency;          /**< 0 goes first, 9 last */
  const SvHelper *helpers;
  guint n_helpers;
} SvForward;

/** What the head of an endpoint's answer says. Strings live as long as the message. */
typedef struct
{
  guint status;
  const char *id;       /**< of the request that it answers; NULL: not said */
  gboolean is_signed;   /**< it bears the endpoint's signature */
  gboolean not_run;     /**< it promises that the request has not run and never will */
  gboolean is_encoded;  /**< the body is not the endpoint's own bytes */
  gint in_service;      /**< requests that the endpoint runs or has waiting; -1: not said */
  const char *at_fault; /**< address of the endpoint that made it fail; NULL: not said */
  KnlTime rest; /**< the endpoint wants nothing from this instance for so long; 0: not said */
  gboolean is_leaving; /**< it is about to end, by its own word */
  double limit;        /**< requests a second that the endpoint takes from all callers together;
                            POL_NO_LIMIT: any number */
} SvReply;

/** Takes what an answer says of the endpoint's limit, and logs a change. TRUE: it has changed. */
gboolean sv_reply_note_limit (const SvReply *reply, SvEndpoint *endpoint, KnlTime at);

/** Takes what an answer says of the endpoint itself, but for its load, and logs what is new. TRUE:
 * peers want to know. */
gboolean sv_reply_note_words (const SvReply *reply, SvEndpoint *endpoint, KnlTime at);

/** Sets memory of an endpoint aside, or gives it back. */
typedef struct
{
  const char *id;
  guint64 tokens; /**< 0: give it back */
  KnlTime hold;   /**< it comes back by itself after this */
} SvReserve;

typedef struct
{
  void (*read_ask) (SvDialect *dialect, const HtMessage *request, SvAsk *ask);
  /** Start line and fields of the request to the endpoint, but Content-Length. */
  GString *(*write_forward) (SvDialect *dialect, const SvForward *forward);
  void (*read_reply) (SvDialect *dialect, const HtMessage *answer, SvReply *reply);
  /** Fields of the endpoint's answer that are passed on. */
  GString *(*write_reply) (SvDialect *dialect, const HtMessage *answer);
  /** Fields of a refusal of our own: which attempt, and when to come back (0: not said). */
  GString *(*write_refusal) (SvDialect *dialect, const SvAsk *ask, KnlTime retry_after);
  /** Body and start line of an order about memory. */
  GString *(*write_reserve) (SvDialect *dialect,
                             const SvEndpoint *endpoint,
                             const SvReserve *reserve,
                             char **head);
} SvDialectClass;

struct SvDialect
{
  const SvDialectClass *klass;
};
