#pragma once

/** One apply of an operator's changes, from the first read to the answer. */

#include "coord/config_store.h"

typedef struct CoConfigApply CoConfigApply;

/** What an apply needs of its store. */
typedef struct
{
  KnlKernel *kernel;
  TbTable *platform;
  CoConfig *replica;
  KnlTime limit;
  /** The table is ahead of the replica: co_config_apply_resume() is wanted after a pull. */
  void (*want_pull) (gpointer store, guint64 revision);
  /** The apply has ended and is freed after the call. */
  void (*ended) (gpointer store, CoConfigApply *apply);
  gpointer store;
} CoConfigApplyHost;

/** `host` must outlive it. */
CoConfigApply *co_config_apply_new (const CoConfigApplyHost *host,
                                    const CoApply *what,
                                    CoApplyFunc done,
                                    gpointer data);

/** A pull has ended. */
void co_config_apply_resume (CoConfigApply *apply);

/** Ends it now, with the outcome that can be told. */
void co_config_apply_abandon (CoConfigApply *apply);
