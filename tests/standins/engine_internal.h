#pragma once

/** Private declarations of the engine model. */

#include "tests/standins/engine_model.h"

typedef enum
{
  REQUEST_WAITING,
  REQUEST_PREFILL,
  REQUEST_DECODE,
  REQUEST_HELD,
  REQUEST_ENDED, /* memory released; the answer can still be read until the hold timeout */
} RequestState;

typedef struct
{
  char *id;
  RequestState state;
  guint64 prompt_hash;
  GArray *blocks;
  guint64 prompt_tokens;
  guint64 imported_tokens;
  guint64 max_tokens;
  int priority;
  gboolean hold;
  gboolean crashes;
  guint64 memory;      /* in tokens; reserved when the request starts */
  double prefill_left; /* remaining prefill work, in tokens */
  double decoded;
  guint64 produced;
  guint64 sent;
  guint64 late_from; /* a token frame delayed by SD_FAULT_LATE_FRAMES */
  guint64 late_to;
  int ran; /* index in SdEngine.ran, or -1 */
  SdReaderFunc reader;
  gpointer reader_data;
  KnlTime unread_since;
} Request;

typedef struct
{
  KnlTime taken_at;
  EpReport report;
  GArray *running; /* EpRunning */
} Snapshot;

struct SdEngine
{
  KnlKernel *kernel;
  SdEngineSettings settings;
  GPtrArray *requests; /* Request, by priority, then by arrival */
  GHashTable *by_id;   /* id -> Request */
  GArray *ran;         /* SdRan */
  SdPrefixCache *cache;
  guint64 reserved_tokens;
  guint used_slots;
  guint waiting;
  guint64 memory_waits;
  gboolean head_waits;
  KnlTimerId timer;
  gboolean timer_is_idle; /* no request makes progress; the timer only expires kept answers */
  KnlTime stepped_at;
  gboolean leaving;
  guint64 fence;
  KnlTime model_ready_at; /* earliest time at which the model can serve */
  gboolean weights_missing;
  SdEngineFault fault;
  guint fault_count;
  gboolean fault_counts;
  char *crash_text;
  const SdEngineHost *host;
  gpointer host_data;
  GHashTable *imports; /* set of SdImport */
  gboolean crashed;
  GQueue snapshots; /* Snapshot, oldest first */
  KnlTime changed_at;
  Snapshot *answer;
};

/** TRUE when `fault` is set; uses up one of its remaining occurrences. */
gboolean sd_engine_consume_fault (SdEngine *engine, SdEngineFault fault);

/** Sends the reader of `request` all tokens not yet sent, and the end frame if it has ended. */
void sd_engine_deliver (SdEngine *engine, Request *request);

/** Sends a frame to the reader, if there is one; an end or error frame detaches the reader. */
void sd_engine_send (Request *request,
                     SdFrameType type,
                     guint64 offset,
                     guint64 count,
                     const char *text);

/** TRUE while no model can serve because one is being loaded. */
gboolean sd_engine_is_loading (const SdEngine *engine);

/** Ends the request with an error unless it has already ended. */
void sd_engine_fail (SdEngine *engine, const char *request, const char *error);

/** Makes the request fail when one of its imports is no longer held. */
void sd_engine_watch_imports (SdEngine *engine, const char *request, const json_t *imports);
void sd_import_free (gpointer import);

/** Releases the request's memory and slot; its record stays, so that its answer can be read. */
void sd_engine_release (SdEngine *engine, Request *request);

/** Removes and frees the request's record. */
void sd_engine_drop (SdEngine *engine, Request *request);

/** Records a change of the engine's state for the lagging report. */
void sd_engine_changed (SdEngine *engine);

/** Starts waiting requests in queue order while slots and memory are free. */
void sd_engine_start_waiting (SdEngine *engine);

/** Schedules the next step if there are any requests. */
void sd_engine_schedule (SdEngine *engine);

void sd_snapshot_free (gpointer snapshot);
