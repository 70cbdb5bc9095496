#pragma once

/**
 * A model engine that works in passes, as the users' platform describes it, in
 * memory and on a paused clock.
 *
 * A pass with requests that write makes `stride` steps and brings each of them
 * one event at its end; each step also reads up to `chunk` tokens of prompts.
 * Without writers a pass is one step. Parts of prompts that other engines run go
 * before everything else, the newest first. Requests beyond the slots or the
 * memory wait in the order in which they came.
 */

#include "kernel/kernel.h"
#include "serve/config.h"

typedef struct FkPassEngine FkPassEngine;
typedef struct FkPassRequest FkPassRequest;

#define FK_PASS_HELPERS 16

typedef struct
{
  /** An event has come, the first with `index` 0. */
  void (*event) (gpointer data, guint index);
  /** The last event has come; the request is freed afterwards. */
  void (*done) (gpointer data);
} FkPassEvents;

typedef struct
{
  guint64 prompt_tokens;
  guint events; /**< at least one */
  FkPassEngine *helpers[FK_PASS_HELPERS];
  guint n_helpers;
} FkPassDemand;

/** `spec` outlives the engine. */
FkPassEngine *fk_pass_engine_new (KnlKernel *kernel, const SvEngineSpec *spec);

/** Its requests end without a word; those of other engines that it helps must have ended. */
void fk_pass_engine_free (FkPassEngine *engine);

FkPassRequest *fk_pass_engine_submit (FkPassEngine *engine,
                                      const FkPassDemand *demand,
                                      const FkPassEvents *events,
                                      gpointer data);

/** Time that it has spent reading so far, in ms. */
double fk_pass_engine_read_ms (const FkPassEngine *engine);
