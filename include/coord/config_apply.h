#pragma once

/** One apply of an operator's changes, from the first read of the table to the result. */

#include "coord/config_store.h"

typedef struct CoConfigApply CoConfigApply;

/** The store on whose behalf an apply runs. */
typedef struct
{
  KnlKernel *kernel;
  TbTable *platform;
  CoConfig *replica;
  KnlTime timeout;
  /** Called when the table is ahead of the replica; co_config_apply_resume() must follow a pull. */
  void (*request_pull) (gpointer store, guint64 revision);
  /** Called when the apply has ended; it is freed after the call. */
  void (*ended) (gpointer store, CoConfigApply *apply);
  gpointer store;
} CoConfigApplyHost;

/** Starts an apply. `host` must outlive it; `request` is copied. */
CoConfigApply *co_config_apply_new (const CoConfigApplyHost *host,
                                    const CoApply *request,
                                    CoApplyFunc done,
                                    gpointer data);

/** Continues an apply that waits for a pull, after the pull has ended. */
void co_config_apply_resume (CoConfigApply *apply);

/** Ends the apply now: UNKNOWN when a write may have taken effect, else NOT_RUN. */
void co_config_apply_abandon (CoConfigApply *apply);
