#pragma once

/** Shared by the sources of the crashes module only; not included elsewhere. */

#include "serve/crashes.h"
#include "serve/quarantine.h"

/* A harmless request can lose its endpoint twice by coincidence. */
#define MAX_CRASHES 2

/* Time for which a loss counts. By its end the row of an endpoint that has ended is gone, and the
 * loss then counts for as long as a quarantine: a request that comes back rarely would be new each
 * time. */
#define LOSS_TTL       (60 * KNL_SEC)
#define ENDED_LOSS_TTL SV_QUARANTINE_TTL

/* Losses recorded of one request. More than are needed to refuse it, as some may not count. */
#define MAX_LOSSES 6

/** An endpoint was lost under the request. */
typedef struct
{
  guint64 endpoint;
  KnlTime lost_at;
  SvCrashOrigin origin;
  gboolean is_survived; /* the endpoint was heard from since; it may have left later */
  gboolean unsent[SV_CRASHES_N_AUDIENCES];
} Loss;

/** What is known of a request. */
typedef struct
{
  guint64 fingerprint;
  KnlTime answered_at; /* losses before it don't count; 0: never */
  KnlTime tested_at;   /* when it was last let through to find out; 0: never */
  gboolean acquittal_unsent[SV_CRASHES_N_AUDIENCES];
  guint n_losses;
  Loss losses[MAX_LOSSES];
} Record;

struct SvCrashes
{
  KnlKernel *kernel;
  SvFleet *fleet;
  GHashTable *records;      /* &fingerprint -> Record */
  KnlTime swept_at;         /* when records were last removed to make room */
  SvQuarantine *quarantine; /* NULL: none */
  /* Whether any may be unsent. Each announcement of loads asks for them: without this it would look
   * at all records, thousands after many endpoints have failed at once. */
  gboolean has_unsent_losses[SV_CRASHES_N_AUDIENCES];
  gboolean has_unsent_acquittals[SV_CRASHES_N_AUDIENCES];
};

/** Whether the endpoint has been heard from after the loss. */
gboolean sv_crashes_has_survived (const SvCrashes *self, const Loss *loss);

/** Whether the loss counts against its request. */
gboolean sv_crashes_counts (const SvCrashes *self, const Loss *loss);

/** Whether the request is refused by its quarantine, and not by its record. */
gboolean sv_crashes_is_quarantined (const SvCrashes *self, guint64 fingerprint);

/** Notes to which audiences something may have to be sent. */
void sv_crashes_note_unsent (gboolean *has_unsent, const gboolean *unsent);
