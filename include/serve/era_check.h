#pragma once

/**
 * Decides whether the store's answers in an era confirm a configuration.
 *
 * An era may begin with a copy that lacks what the store had acknowledged before, such as a key's
 * withdrawal. An instance that has no recent confirmation, since it has just started or was cut
 * off, can't tell by the store's answers alone. It trusts an era once something shows which
 * configuration was the newest when the era began.
 */

#include "kernel/kernel.h"

/** What an era is trusted by. */
typedef enum
{
  SV_ERA_OWN,         /**< this instance's own confirmation was recent when the era began */
  SV_ERA_PEER,        /**< a peer answered with its version and a recent confirmation */
  SV_ERA_WATERMARK,   /**< a cell's row has a watermark of the era */
  SV_ERA_FIRST_START, /**< no instance was ever confirmed */
  SV_ERA_TIMEOUT,     /**< nobody who could know was reached in time */
} SvEraProof;

typedef struct
{
  /** Called at once and then periodically while the era isn't trusted: peers are to be asked for
   * their confirmations. */
  void (*ask_peers) (gpointer data);
  /** The same, less often: the watermarks in the cells' rows are to be read. */
  void (*read_watermarks) (gpointer data);
  /** The era has become trusted. */
  void (*trusted) (gpointer data);
} SvEraCheckEvents;

typedef struct
{
  KnlKernel *kernel;
  const SvEraCheckEvents *events;
  gpointer data;
  guint64 trusted_era; /* 0: none yet */
  guint64 era;         /* that is being checked */
  KnlTime begun_at;
  guint n_asks;
  KnlTimerId timer; /* 0: no check is in progress */
} SvEraCheck;

/** `events` isn't copied. */
void sv_era_check_init (SvEraCheck *check,
                        KnlKernel *kernel,
                        const SvEraCheckEvents *events,
                        gpointer data);
void sv_era_check_clear (SvEraCheck *check);

/** Starts to check the era; does nothing if it is trusted or being checked. 0: the store states no
 * era, which is trusted. */
void sv_era_check_begin (SvEraCheck *check, guint64 era);

/** Trusts the era, and ends its check. */
void sv_era_check_prove (SvEraCheck *check, guint64 era, SvEraProof proof);

gboolean sv_era_check_is_trusted (const SvEraCheck *check, guint64 era);

/** The era that is being checked; 0: none is. */
guint64 sv_era_check_pending (const SvEraCheck *check);
