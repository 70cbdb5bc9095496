#pragma once

/**
 * Prefill backlog of an engine: prompts, or parts of them, that it has yet to
 * prefill.
 *
 * Engines process the newest part first: a prompt placed on top of others starts
 * at once, and the others wait. If their remaining prefill weren't counted, the
 * engine would look idle and get more prompts, and the older ones would wait for
 * seconds past their expected first event.
 */

#include "kernel/kernel.h"

typedef struct
{
  GArray *rows;   /**< oldest first */
  KnlTime at;     /**< time that `left` of the rows applies to */
  KnlTime placed; /**< total declared length of all rows added so far */
} SvPrefills;

/** Prefill of one prompt, or of a part of it, at one engine. */
typedef struct
{
  guint64 prompt;       /**< id of the prompt, the same at all engines that prefill parts of it */
  KnlTime length;       /**< time that the engine needs */
  KnlTime declared;     /**< time by the declared figures; 0: the same */
  gboolean until_ended; /**< counts until sv_prefills_end(), but at most for SV_PREFILL_TTL; FALSE:
                          until its time has passed */
} SvPrefill;

/** Longest time that a prefill is counted, in case its end isn't reported. No caller waits longer
 * for a first event. */
#define SV_PREFILL_TTL (12 * KNL_SEC)

void sv_prefills_init (SvPrefills *prefills);
void sv_prefills_clear (SvPrefills *prefills);

void sv_prefills_add (SvPrefills *prefills, const SvPrefill *prefill, KnlTime now);

/** Removes the prompt: its prefill is complete or was cancelled. No effect if unknown. */
void sv_prefills_end (SvPrefills *prefills, guint64 prompt, KnlTime now);

/** Finds a prompt and sets `prefill->length` and `prefill->declared` to the prefill time left.
 * FALSE: not in the backlog. */
gboolean sv_prefills_find (SvPrefills *prefills, guint64 prompt, KnlTime now, SvPrefill *prefill);

/** Number of rows with `until_ended`: parts of split prompts in progress or waiting. */
guint sv_prefills_count_parts (const SvPrefills *prefills);

/** Time until the whole backlog has been processed. */
KnlTime sv_prefills_time_left (SvPrefills *prefills, KnlTime now);

/** The same by the declared figures. */
KnlTime sv_prefills_declared_left (SvPrefills *prefills, KnlTime now);
