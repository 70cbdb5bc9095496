#pragma once

/**
 * Prompts, or parts of them, that an engine has yet to read.
 *
 * Engines take the newest part first, so that a prompt that is placed on top of
 * others starts at once and the others wait. What is not counted as left looks
 * free: more is placed on top, and the older ones wait for seconds; one would
 * see first events long after their expected time at engines that look idle.
 */

#include "kernel/kernel.h"

typedef struct
{
  GArray *rows; /**< the oldest first */
  KnlTime at;   /**< when `left` of the rows was worked out */
} SvReads;

/** Reading of one prompt at one engine. */
typedef struct
{
  guint64 prompt;      /**< the same at all engines that read parts of it */
  KnlTime length;      /**< time that it takes the engine */
  gboolean until_told; /**< counts until sv_reads_end(), or for SV_READ_LIFE */
} SvRead;

/** No caller waits longer for a first event; an end that was not told is not waited for either. */
#define SV_READ_LIFE (12 * KNL_SEC)

void sv_reads_init (SvReads *reads);
void sv_reads_clear (SvReads *reads);

void sv_reads_add (SvReads *reads, const SvRead *read, KnlTime now);

/** The prompt has been read, or will not be. */
void sv_reads_end (SvReads *reads, guint64 prompt, KnlTime now);

/** A prompt that is not read yet; `read->length` is what is left of it. FALSE: there is none. */
gboolean sv_reads_find (SvReads *reads, guint64 prompt, KnlTime now, SvRead *read);

/** Prompts that count until their end is told: parts that are being read, or wait to be. */
guint sv_reads_n_parts (const SvReads *reads);

/** Time until all of it has been read. */
KnlTime sv_reads_left (SvReads *reads, KnlTime now);
