#pragma once

/**
 * Measures how slow endpoints are from the answers of this instance's requests, and keeps the
 * slowdown that decisions use up to date.
 */

#include "serve/config.h"
#include "serve/fleet.h"

/** State of a stream's endpoint at the time of an event. */
typedef struct
{
  KnlTime at;       /**< 0: there was no event */
  double pass_ms;   /**< expected duration of the pass that began */
  gboolean is_full; /**< its slots were used up, or its memory nearly */
  guint parts;      /**< parts of split prompts in progress there */
  KnlTime left;     /**< declared prefill that was placed there and not complete */
  KnlTime placed;   /**< all prefill that had been placed there, see SvPrefills */
} SvPaceMark;

/** The last two reads of a stream that brought events; all zero before the first. */
typedef struct
{
  SvPaceMark previous;
  SvPaceMark last;
  guint n_events; /**< in the last read */
} SvPaceStream;

/** Notes an event of a stream from an engine. TRUE: that gave a sample of its endpoint. */
gboolean sv_pace_note_event (SvPaceStream *stream,
                             SvEndpoint *endpoint,
                             const SvEngineSpec *spec,
                             KnlTime now);

/** Notes the time from a plain request to its complete answer. TRUE: that gave a sample. */
gboolean
sv_pace_note_answer (const SvFleet *fleet, SvEndpoint *endpoint, KnlTime time, KnlTime now);

/** Updates the slowdown of all endpoints of the service, in relation to each other; at most every
 * 50 ms. Returns the number of slow ones, or -1 if nothing was updated. */
gint sv_pace_refresh (const SvFleet *fleet, const char *service, KnlTime now);

/** Whether what this instance announces of the endpoint differs from what it announced last. Then
 * its row is marked as changed. */
gboolean sv_pace_mark_changed (SvEndpoint *endpoint, KnlTime now);

/** Handles what the endpoint states itself; its row is marked as changed, also if the value is the
 * same: peers need its age. */
void sv_pace_note_statement (SvEndpoint *endpoint, double ratio, KnlTime now);

/** Handles a report of a peer or another cell's relay. */
void sv_pace_note_report (SvEndpoint *endpoint, const PolPaceReport *report, KnlTime now);

/** The estimate in percent; 0: there is none. */
guint32 sv_pace_percent (gboolean is_known, const PolPaceEstimate *estimate);
