#pragma once

/**
 * Interface between the core and the HTTP messages of callers and endpoints. It is
 * implemented by an adapter that only translates and makes no decisions.
 */

#include "http/message.h"
#include "serve/fleet.h"
#include "serve/segments.h"

/** Status of an answer by another endpoint than the intended one, at the same address. */
#define SV_STATUS_MISDIRECTED 421

typedef struct SvDialect SvDialect;

/** A caller's request, besides method, target and body. Strings are owned by the message. */
typedef struct
{
  const char *id; /**< id of this attempt by the caller; NULL: none */
  const char *host;
  const char *key;        /**< API key; NULL: none */
  KnlTime timeout;        /**< how long the caller waits; 0: not stated */
  guint64 prompt_tokens;  /**< 0: not a prompt */
  guint64 answer_tokens;  /**< maximum number of tokens to generate */
  guint64 answer_hint;    /**< the caller's estimate of that number; 0: none */
  const char *last_event; /**< the stream resumes after this event; NULL: it starts anew */
  SvSegments segments;    /**< of its prompt; without the last one, which is the request's own */
} SvRequestParams;

/** An endpoint that processes a part of the prompt. */
typedef struct
{
  const SvEndpoint *endpoint;
  const char *reservation; /**< id of the memory reserved there; NULL: none */
} SvHelper;

/** A request to be sent to an endpoint. */
typedef struct
{
  const HtMessage *request; /**< the caller's */
  const SvRequestParams *params;
  const SvEndpoint *endpoint;
  const char *workspace;  /**< NULL: none */
  KnlTime left;           /**< time until the deadline; 0: none */
  const char *last_event; /**< as in SvRequestParams */
  guint urgency;          /**< from 0 (first) to 9 (last) */
  const SvHelper *helpers;
  guint n_helpers;
} SvForward;

/** Content of the head of an endpoint's answer. Strings are owned by the message. */
typedef struct
{
  guint status;
  const char *id; /**< id of the request that it answers; NULL: not stated */
  const char
      *endpoint;       /**< id of the endpoint, if a peer hands over its answer; NULL: not stated */
  gboolean is_signed;  /**< the answer has the endpoint's signature */
  gboolean not_run;    /**< the answer promises that its request has not run and never will */
  gboolean was_sent;   /**< a peer that refuses it had sent it to endpoints */
  gboolean is_encoded; /**< the body has a content encoding */
  gint in_service;     /**< running and queued requests at the endpoint; -1: not stated */
  const char *at_fault; /**< address of the endpoint that caused the failure; NULL: not stated */
  KnlTime retry_after;  /**< Retry-After: time until this instance may send again; 0: none */
  gboolean is_leaving;  /**< the endpoint advertises that it is about to exit */
  double limit;      /**< requests per second that the endpoint accepts from all callers together;
                          POL_NO_LIMIT: any number */
  KnlTime cold_left; /**< how long the endpoint stays cold; -1: not stated */
} SvReply;

/** Applies the limit that an answer advertises, and logs a change. TRUE: it has changed. */
gboolean sv_reply_note_limit (const SvReply *reply, SvEndpoint *endpoint, KnlTime at);

/** Applies the signals about the endpoint in an answer (leaving, Retry-After, limit) and logs
 * changes. TRUE: the limit has changed, which is to be announced to peers. */
gboolean sv_reply_note_signals (const SvReply *reply, SvEndpoint *endpoint, KnlTime at);

/** An order that reserves memory of an endpoint, or releases it. */
typedef struct
{
  const char *id;
  guint64 tokens; /**< 0: release the reservation */
  KnlTime hold;   /**< lease: the endpoint releases it after this time */
} SvReserve;

/** What a refusal by this instance states besides its status. */
typedef struct
{
  KnlTime retry_after; /**< 0: none */
  gboolean is_to_peer; /**< the promise that the request has not run is spelled out: a peer can't
                            tell this instance's own status from one of an endpoint */
  gboolean was_sent;   /**< stated to a peer: endpoints have got the request, and rejected it */
} SvRefusal;

typedef struct
{
  void (*read_request) (SvDialect *dialect, const HtMessage *request, SvRequestParams *params);
  /** Start line and header fields of the request to the endpoint, except Content-Length. */
  GString *(*write_forward) (SvDialect *dialect, const SvForward *forward);
  /** The same for a request that is passed on to a peer as the caller sent it, key included;
   * `left`: time until the deadline, 0: none. */
  GString *(*write_pass) (SvDialect *dialect, const HtMessage *request, KnlTime left);
  void (*read_reply) (SvDialect *dialect, const HtMessage *answer, SvReply *reply);
  /** Header fields of the endpoint's answer that are forwarded. `endpoint`: its id, for a peer that
   * is handed the answer; NULL: the answer is for a caller. */
  GString *(*write_reply) (SvDialect *dialect, const HtMessage *answer, const char *endpoint);
  /** Header fields of an answer by this instance: the attempt's id, and what the refusal states. */
  GString *(*write_refusal) (SvDialect *dialect,
                             const SvRequestParams *params,
                             const SvRefusal *refusal);
  /** Returns the body of a reservation order; sets `head` to its start line and header fields. Both
   * are owned by the caller. */
  GString *(*write_reserve) (SvDialect *dialect,
                             const SvEndpoint *endpoint,
                             const SvReserve *reserve,
                             char **head);
  /** Start line and header fields of a call that asks an endpoint how slow it is. */
  GString *(*write_pace_call) (SvDialect *dialect, const SvEndpoint *endpoint);
  /** Reads the body of the answer to it; sets `slowdown` to a number from 1 to POL_PACE_MAX.
   * FALSE: it has none. */
  gboolean (*read_pace) (SvDialect *dialect, const char *body, gsize length, double *slowdown);
} SvDialectClass;

struct SvDialect
{
  const SvDialectClass *klass;
};
