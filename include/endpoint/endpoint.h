#pragma once

/**
 * Client interface for endpoints: model engines and plain services.
 * endpoint/http.h implements it over HTTP, tests/fakes/memory_engine.h with an
 * engine model in memory.
 *
 * Callbacks never run inside the call that they were passed to.
 */

#include "kernel/kernel.h"

typedef struct EpClient EpClient;
typedef struct EpStream EpStream;

/** Handle of a call that isn't a stream; 0 means none. */
typedef guint64 EpCallId;

/** How a request failed; says whether the endpoint may have run it. */
typedef enum
{
  EP_NOT_SENT,  /**< no byte of the request can have reached the endpoint */
  EP_REFUSED,   /**< the endpoint reported that it did not run it (busy, leaving, unknown model) */
  EP_FAILED,    /**< the endpoint ran it and reported that it failed */
  EP_CUT,       /**< connection lost or silent; whether it ran or still runs is unknown */
  EP_MALFORMED, /**< frames of another request, offsets out of order, or a wrong count */
} EpFailureKind;

typedef struct
{
  EpFailureKind kind;
  gboolean leaving;   /**< the endpoint refused because it is leaving */
  const char *detail; /**< short description, valid during the callback */
} EpFailure;

/** One generation on an engine. Strings are copied by ep_client_generate(). */
typedef struct
{
  const char *address;
  const char *request; /**< unique id: INSTANCE~INCARNATION~NUMBER */
  const char *model;
  const char *adapter; /**< or NULL */
  const char *prompt;
  gsize prompt_bytes;
  guint64 prompt_tokens;
  guint64 max_tokens;
  int priority;            /**< higher priorities are served first */
  guint64 from_offset;     /**< with `resume`: offset of the first token to send */
  gboolean resume;         /**< resume a stream that the engine already has */
  gboolean hold;           /**< prefill and keep the KV cache; no tokens are generated */
  const char *imports;     /**< JSON array of {"engine","request"}: held parts to import, or NULL */
  KnlTime connect_timeout; /**< timeout for connecting */
  KnlTime first_byte_timeout; /**< timeout for the first frame */
  KnlTime idle_timeout;       /**< timeout between later frames */
} EpGenerate;

/** Events of a stream. on_end and on_failed are the last; the stream is freed after them. */
typedef struct
{
  /** The engine has accepted the request; from now on it may run it. */
  void (*on_accepted) (EpStream *stream, gpointer data);
  /** `text` holds `count` tokens, the first at `offset`. Offsets are consecutive over all calls. */
  void (
      *on_tokens) (EpStream *stream, guint64 offset, guint count, const char *text, gpointer data);
  void (*on_end) (EpStream *stream, guint64 count, const char *finish, gpointer data);
  void (*on_failed) (EpStream *stream, const EpFailure *failure, gpointer data);
} EpStreamEvents;

/** A request that the engine lists in its report. */
typedef struct
{
  char *request;
  guint64 tokens; /**< memory that it occupies, in tokens */
} EpRunning;

/** An engine's load report; `age` is how old its values are. */
typedef struct
{
  guint64 incarnation; /**< changes when the engine restarts */
  guint64 capacity_tokens;
  guint64 used_tokens;
  guint64 cached_tokens; /**< tokens of used_tokens that can be evicted */
  guint capacity_slots;
  guint used_slots;
  guint waiting;
  guint64 prefill_backlog; /**< tokens still to be prefilled */
  double prefill_rate;     /**< tokens per second */
  double decode_rate;      /**< tokens per second of one stream */
  KnlTime age;
  guint64 fence;
  const char *model;
  const char *adapter;
  const char *role;
  gboolean leaving;
  gboolean checks_fence;
  const EpRunning *running;
  guint n_running;
} EpReport;

/** `report` is NULL on failure; it is freed after the callback. */
typedef void (*EpReportFunc) (const EpReport *report, gpointer data);

/** An order to an engine. It gives the complete target state, never a difference to it. */
typedef struct
{
  guint64 fence;
  const char *model;
  const char *adapter; /**< or NULL */
  const char *role;    /**< "any", "short", "long" */
} EpOrder;

typedef enum
{
  EP_ORDER_DONE,
  EP_ORDER_STALE,   /**< the engine has seen a higher fencing number */
  EP_ORDER_UNKNOWN, /**< no usable answer: the order may have taken effect, or may do so later */
} EpOrderResult;

typedef void (*EpOrderFunc) (EpOrderResult result, guint64 engine_fence, gpointer data);
typedef void (*EpDoneFunc) (gboolean acknowledged, gpointer data);

/**
 * A change of the contents of an engine's prefix cache. Events are published with a delay, and
 * some never are, which leaves gaps in `sequence`.
 */
typedef struct
{
  guint64 sequence;
  guint64 prefix; /**< hash of the prefix's blocks, as computed by common/prefix.h */
  gboolean added;
} EpCacheEvent;

typedef void (*EpCacheFunc) (gboolean ok,
                             const EpCacheEvent *events,
                             guint n_events,
                             guint64 last_sequence,
                             gpointer data);

/** A call to a plain service. Strings and the body are copied. */
typedef struct
{
  const char *address;
  const char *request;
  const char *method; /**< GET, POST, PUT or DELETE */
  const char *path;   /**< with the query string */
  const char *content_type;
  const char *body;
  gsize body_bytes;
  const char *idempotency_key; /**< sent as Idempotency-Key unless NULL */
  KnlTime connect_timeout;
  KnlTime answer_timeout; /**< timeout for the first byte of the answer, and between later bytes */
  gsize max_answer_bytes; /**< bytes; a longer answer is EP_MALFORMED */
} EpServiceCall;

/** `failure` is NULL when the service answered, with any status. */
typedef void (*EpServiceFunc) (const EpFailure *failure,
                               int status,
                               const char *content_type,
                               const char *body,
                               gsize body_bytes,
                               gpointer data);

typedef struct
{
  EpStream *(*generate) (EpClient *client,
                         const EpGenerate *generate,
                         const EpStreamEvents *events,
                         gpointer data);
  /** Closes the stream without further events. Doesn't cancel it on the engine: see `cancel`. */
  void (*stream_close) (EpClient *client, EpStream *stream);
  /** Cancels `request` on the engine, which frees its memory; idempotent. */
  EpCallId (*cancel) (EpClient *client,
                      const char *address,
                      const char *request,
                      EpDoneFunc done,
                      gpointer data);
  EpCallId (*report) (EpClient *client, const char *address, EpReportFunc done, gpointer data);
  EpCallId (*order) (EpClient *client,
                     const char *address,
                     const EpOrder *order,
                     EpOrderFunc done,
                     gpointer data);
  EpCallId (*cache_events) (EpClient *client,
                            const char *address,
                            guint64 after,
                            EpCacheFunc done,
                            gpointer data);
  EpCallId (*service_call) (EpClient *client,
                            const EpServiceCall *call,
                            EpServiceFunc done,
                            gpointer data);
  /** Drops the call's callback; the endpoint may still carry out the request. */
  void (*call_cancel) (EpClient *client, EpCallId call);
  void (*free) (EpClient *client);
} EpClientClass;

struct EpClient
{
  const EpClientClass *klass;
};

static inline EpStream *
ep_client_generate (EpClient *client,
                    const EpGenerate *generate,
                    const EpStreamEvents *events,
                    gpointer data)
{
  return client->klass->generate (client, generate, events, data);
}

static inline void
ep_stream_close (EpClient *client, EpStream *stream)
{
  client->klass->stream_close (client, stream);
}

static inline EpCallId
ep_client_cancel (EpClient *client,
                  const char *address,
                  const char *request,
                  EpDoneFunc done,
                  gpointer data)
{
  return client->klass->cancel (client, address, request, done, data);
}

static inline EpCallId
ep_client_report (EpClient *client, const char *address, EpReportFunc done, gpointer data)
{
  return client->klass->report (client, address, done, data);
}

static inline EpCallId
ep_client_order (EpClient *client,
                 const char *address,
                 const EpOrder *order,
                 EpOrderFunc done,
                 gpointer data)
{
  return client->klass->order (client, address, order, done, data);
}

static inline EpCallId
ep_client_cache_events (EpClient *client,
                        const char *address,
                        guint64 after,
                        EpCacheFunc done,
                        gpointer data)
{
  return client->klass->cache_events (client, address, after, done, data);
}

static inline EpCallId
ep_client_service_call (EpClient *client,
                        const EpServiceCall *call,
                        EpServiceFunc done,
                        gpointer data)
{
  return client->klass->service_call (client, call, done, data);
}

static inline void
ep_call_cancel (EpClient *client, EpCallId *call)
{
  if (*call != 0)
    client->klass->call_cancel (client, *call);
  *call = 0;
}

static inline void
ep_client_free (EpClient *client)
{
  client->klass->free (client);
}
