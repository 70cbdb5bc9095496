#pragma once

/**
 * Model of an inference engine without I/O: continuous batching with one total
 * prefill rate and a decode rate per stream, memory in tokens, batch slots, a
 * prefix cache and a priority queue. Both the HTTP stand-in and the in-memory
 * fake run it.
 *
 * Prefill processes the batch by priority, then by arrival, so a long prompt
 * delays shorter ones of the same priority. Its cost is linear in tokens.
 */

#include "endpoint/endpoint.h"
#include "tests/standins/prefix_cache_model.h"

#include <jansson.h>

typedef struct SdEngine SdEngine;

/** Strings are copied. Rates are in tokens per second of the engine's own time. */
typedef struct
{
  guint64 incarnation;
  guint64 capacity_tokens;
  guint64 slots;
  guint64 max_waiting; /**< further requests are refused as busy */
  double prefill_rate;
  double decode_rate;
  double transfer_rate; /**< of imported KV cache */
  double clock_factor;  /**< seconds of engine time per second of the kernel's clock */
  KnlTime step;         /**< minimum time between two steps */
  KnlTime hold_timeout; /**< how long answers and held parts without a reader are kept */
  KnlTime load_lag;
  KnlTime cache_lag;
  guint cache_gap_percent;
  KnlTime model_load_time;         /**< minimum; fetching the weights may take longer */
  double weight_bytes;             /**< size of a model's weights; 0: none are fetched */
  guint64 max_short_prompt_tokens; /**< longest prompt in role "short", tokens */
  gboolean checks_fence;
  gboolean any_model; /**< accept requests for all models until the first order */
  const char *model;  /**< loaded at the start, or NULL */
  const char *adapter;
  const char *role;
} SdEngineSettings;

/** Settings of a mid-sized engine; tests copy and adjust them. */
extern const SdEngineSettings sd_engine_defaults;

typedef enum
{
  SD_ACCEPTED,
  SD_LEAVING,
  SD_BUSY,
  SD_WRONG_ROLE,
  SD_WRONG_MODEL,
  SD_DUPLICATE,
  SD_IMPORT_LOST,
} SdAdmission;

/** The error code of a refusal as in docs/ADAPTERS.md. */
const char *sd_admission_name (SdAdmission admission);

typedef enum
{
  SD_FRAME_ACCEPTED,
  SD_FRAME_TOKENS,
  SD_FRAME_HELD,
  SD_FRAME_END,
  SD_FRAME_ERROR,
} SdFrameType;

typedef struct
{
  SdFrameType type;
  const char *request;
  guint64 offset;   /**< of the first token */
  guint64 count;    /**< tokens in this frame; end: tokens of the answer; held: tokens held */
  const char *text; /**< text of the tokens, the finish reason, or the error */
} SdFrame;

/**
 * Receives the frames of a stream. An end or error frame is the last. Must not
 * call the engine.
 */
typedef void (*SdReaderFunc) (const SdFrame *frame, gpointer data);

/** Strings are copied. */
typedef struct
{
  const char *request;
  const char *model;
  const char *adapter; /**< or NULL */
  const char *prompt;
  gsize prompt_bytes;
  guint64 prompt_tokens; /**< 0: derived from prompt_bytes */
  guint64 max_tokens;
  int priority;
  gboolean hold;
  const json_t *imports;   /**< as in docs/ADAPTERS.md, or NULL; the request fails if one is lost */
  guint64 imported_tokens; /**< as returned by sd_engine_check_imports() */
} SdRequest;

/** A request that the engine has actually run. */
typedef struct
{
  char *request;
  guint64 prompt_hash;
  guint64 tokens;
  gboolean finished;
} SdRan;

typedef enum
{
  SD_FAULT_NONE,
  SD_FAULT_LATE_FRAMES,   /**< a token frame is sent after its successor */
  SD_FAULT_DOUBLE_FRAMES, /**< token frames are sent twice */
  SD_FAULT_WRONG_REQUEST, /**< a frame with another request's id and text is inserted */
  SD_FAULT_SHORT_COUNT,   /**< the last token frame is missing */
  SD_FAULT_LOSE_CANCEL,   /**< cancels have no effect */
} SdEngineFault;

/** A check of imports in progress. */
typedef struct SdImport SdImport;

/** Functions that the engine needs from its environment; they may be NULL. */
typedef struct
{
  /** A prompt with the text of sd_engine_set_crash() runs. Must not free the engine immediately. */
  void (*crash) (gpointer data);
  /**
   * Requests an export from the engine at `address`; ends with sd_engine_exported(), which may be
   * called before it returns.
   */
  void (*export_from) (const char *address, const char *request, SdImport *import, gpointer data);
  /** Fetches weights and drops an earlier fetch; ends with sd_engine_receive_weights(). */
  void (*fetch_weights) (const char *name, double bytes, gpointer data);
} SdEngineHost;

/** Creates an engine; `data` is passed to the functions of `host`. */
SdEngine *sd_engine_new (KnlKernel *kernel,
                         const SdEngineSettings *settings,
                         const SdEngineHost *host,
                         gpointer data);
void sd_engine_free (SdEngine *engine);

/** Applies `fault` to the next `count` frames or cancels; 0: to all until it is set again. */
void sd_engine_set_fault (SdEngine *engine, SdEngineFault fault, guint count);

void sd_engine_set_crash (SdEngine *engine, const char *text);
void sd_engine_set_load_lag (SdEngine *engine, KnlTime lag);
SdPrefixCache *sd_engine_cache (SdEngine *engine);

/** `held`: all imports are still held; `tokens`: their total size. */
typedef void (*SdImportsFunc) (gboolean held, guint64 tokens, gpointer data);

/** Checks with their engines that `imports` (array or NULL) are held; restarts their hold times. */
void sd_engine_check_imports (SdEngine *engine,
                              const json_t *imports,
                              SdImportsFunc done,
                              gpointer data);
void sd_engine_exported (SdImport *import, gboolean held, guint64 tokens);

/** Submits a request. Its frames go to `reader`, the first one inside this call. */
SdAdmission
sd_engine_generate (SdEngine *engine, const SdRequest *request, SdReaderFunc reader, gpointer data);

/**
 * Reattaches a reader from token `offset` on; an earlier reader gets the error "superseded". FALSE
 * when there is no such request or it hasn't produced that many tokens.
 */
gboolean sd_engine_resume (SdEngine *engine,
                           const char *request,
                           guint64 offset,
                           SdReaderFunc reader,
                           gpointer data);

/** Detaches the reader; the request keeps running and is dropped after the hold timeout. */
void sd_engine_detach (SdEngine *engine, const char *request, gpointer data);

/** Cancels the request and releases its resources; FALSE when there is no such request. */
gboolean sd_engine_cancel (SdEngine *engine, const char *request);

/** Reads the size of a held request and restarts its hold time; FALSE when it isn't held. */
gboolean sd_engine_export (SdEngine *engine, const char *request, guint64 *tokens);

/** Holds another engine's export; FALSE when it exists already or there is no free capacity. */
gboolean sd_engine_import (SdEngine *engine, const char *request, guint64 tokens);

/**
 * Applies an order; FALSE when the engine checks fencing numbers and the order's is stale. `*fence`
 * is set to the engine's fencing number after the call.
 */
gboolean sd_engine_order (SdEngine *engine, const EpOrder *order, guint64 *fence);

/** The weights requested last have been received completely. */
void sd_engine_receive_weights (SdEngine *engine);

void sd_engine_leave (SdEngine *engine);
gboolean sd_engine_is_idle (const SdEngine *engine);

/** The report as it was one load lag ago; valid until the next call. */
const EpReport *sd_engine_report (SdEngine *engine);

/**
 * Answers a call of docs/ADAPTERS.md that isn't a stream. Returns the status, or
 * 0 to close the connection without an answer. `body` contains query parameters
 * as strings; `*answer` is a new reference or NULL.
 */
int sd_engine_call (SdEngine *engine, const char *path, const json_t *body, json_t **answer);

/** All SdRan in the order in which they were started. */
const GArray *sd_engine_ran (const SdEngine *engine);

/** Tokens of memory in use by requests now, without the cache; unlike the report, up to date. */
guint64 sd_engine_reserved_tokens (const SdEngine *engine);

/** How often the request at the head of the queue had to wait for memory. */
guint64 sd_engine_memory_waits (const SdEngine *engine);

/** XXH64 of a prompt, seed 0. */
guint64 sd_prompt_hash (const char *prompt, gsize bytes);

/** Appends the text of tokens `from` to `to` (exclusive) of the answer to a prompt. */
void sd_answer_append (GString *text, guint64 prompt_hash, guint64 from, guint64 to);
