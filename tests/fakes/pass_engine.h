#pragma once

/**
 * A model of an engine that works in forward passes, as the users' platform
 * describes them, in memory and on a paused clock.
 *
 * A pass with decoding requests makes `stride` steps and emits one event for each of
 * them at its end; each step also prefills up to `chunk` prompt tokens. Without
 * decoding requests a pass is one step. Parts of prompts that belong to requests of
 * other engines are prefilled first, the newest first. Requests that exceed the
 * slots or the memory wait in the order of their arrival.
 */

#include "kernel/kernel.h"
#include "serve/config.h"

typedef struct FkPassEngine FkPassEngine;
typedef struct FkPassRequest FkPassRequest;

#define FK_PASS_HELPERS 16

typedef struct
{
  /** An event of the request; the first has `index` 0. */
  void (*event) (gpointer data, guint index);
  /** Follows the last event; the request is freed afterwards. */
  void (*done) (gpointer data);
} FkPassEvents;

typedef struct
{
  guint64 prompt_tokens;
  guint events; /**< at least one */
  FkPassEngine *helpers[FK_PASS_HELPERS];
  guint n_helpers;
} FkPassDemand;

/** `spec` isn't copied and must outlive the engine. */
FkPassEngine *fk_pass_engine_new (KnlKernel *kernel, const SvEngineSpec *spec);

/** Makes passes and prefills of the engine `slowdown` times as long as `spec` says, from the next
 * steps on. */
void fk_pass_engine_set_slowdown (FkPassEngine *engine, double slowdown);

/** Its requests are freed without callbacks. Requests of other engines that it helps must have
 * ended before. */
void fk_pass_engine_free (FkPassEngine *engine);

FkPassRequest *fk_pass_engine_submit (FkPassEngine *engine,
                                      const FkPassDemand *demand,
                                      const FkPassEvents *events,
                                      gpointer data);

/** Time that the engine has spent on prefill so far, in ms. */
double fk_pass_engine_prefill_ms (const FkPassEngine *engine);
