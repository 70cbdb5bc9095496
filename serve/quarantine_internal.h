#pragma once

/** Shared by the sources of the quarantine module only; not included elsewhere. */

#include "serve/quarantine.h"

/* Time for which a loss counts. By its end the row of an endpoint that has ended is gone, and the
 * loss then counts for as long as a quarantine. */
#define SUSPECT_LOSS_TTL (60 * KNL_SEC)

/* Ended endpoints that show something; fewer are a coincidence. */
#define MIN_ENDS 3

/* Losses kept of a segment; more than are needed, as some may not count. */
#define MAX_SUSPECT_LOSSES 12

typedef struct
{
  guint64 segment;
  guint32 service;
} SegmentKey;

/** A segment that endpoints were lost under. */
typedef struct
{
  SegmentKey key;
  KnlTime survived_at; /* losses before it don't count; 0: never */
  KnlTime expires;
  guint n;
  PolBlameLoss losses[MAX_SUSPECT_LOSSES];
} Suspect;

typedef struct
{
  SegmentKey key;
  SvQuarantined told;
  gboolean unsent[SV_CRASHES_N_AUDIENCES];
} Entry;

/** What shows whether an endpoint has ended. */
typedef struct
{
  guint64 endpoint;
  char *id;        /* of the endpoint, for the log; NULL: not known */
  guint64 request; /* that was lost there last */
  KnlTime lost_at;
  gboolean has_ended;
} EndpointEnd;

struct SvQuarantine
{
  KnlKernel *kernel;
  SvFleet *fleet;
  SvElectFunc is_elected; /* NULL: no test is made */
  gpointer election_data;
  SvQuarantineFunc on_changed;
  gpointer on_changed_data;
  SvQuarantineFunc before_decision; /* NULL: nothing */
  gpointer before_decision_data;
  GHashTable *suspects; /* SegmentKey -> Suspect */
  KnlTime swept_at;     /* when suspects were last dropped to make room */
  GHashTable *entries;  /* SegmentKey -> Entry */
  SvClaimFunc claim;    /* NULL: tests are counted here alone */
  gpointer claim_data;
  GHashTable *claims; /* SegmentKey -> Claim, of quarantine_tests.c */
  GHashTable *ends;   /* key of an endpoint -> EndpointEnd */
  GQueue *begun;      /* SvSegmentUse, the oldest first: answers that have begun, at `at` */
  GQueue *losses[SV_CRASHES_N_AUDIENCES];    /* SvSegmentUse, to be sent */
  GQueue *survivals[SV_CRASHES_N_AUDIENCES]; /* SvSegmentSurvival, to be sent */
};

/* quarantine.c */

/** Quarantines the segment if its losses show that it crashes endpoints. */
void sv_quarantine_decide (SvQuarantine *self, const SegmentKey *key);

/** The losses of the suspect that count. Returns their number. */
guint sv_quarantine_counted (const SvQuarantine *self,
                             const Suspect *suspect,
                             PolBlameLoss losses[MAX_SUSPECT_LOSSES]);

/* quarantine_suspects.c */

/** NULL: nothing is known of it. */
Suspect *sv_quarantine_find_suspect (const SvQuarantine *self, const SegmentKey *key);

/** The same, and creates it if need be; NULL: there are too many. */
Suspect *sv_quarantine_ensure_suspect (SvQuarantine *self, const SegmentKey *key);

/** Drops suspects and losses that are too old, and losses at endpoints that have lived on. */
void sv_quarantine_drop_old_suspects (SvQuarantine *self);

/* quarantine_begun.c */

/** Clears the segments of answers that endpoints have survived. TRUE: there were some. */
gboolean sv_quarantine_note_survivors (SvQuarantine *self);

/** Whether the endpoint survives the answers that it has begun won't show. */
void sv_quarantine_forget_begun_at (SvQuarantine *self, guint64 endpoint);

/* quarantine_ends.c */

/** Whether it is certain that the endpoint has ended. */
gboolean sv_quarantine_has_ended (const SvQuarantine *self, guint64 endpoint);

/** The endpoint's id, also of one that isn't listed any more; NULL: not known. */
const char *sv_quarantine_endpoint_id (const SvQuarantine *self, guint64 endpoint);

void sv_endpoint_end_free (gpointer end);

/** Drops what is too old. */
void sv_quarantine_drop_old_ends (SvQuarantine *self);

/* quarantine_entries.c */

Entry *sv_quarantine_find_entry (const SvQuarantine *self, const SegmentKey *key);

/** Quarantines the segment for these losses, sorted by time. `tests`: how often it has been let
 * through to find out already. */
void sv_quarantine_begin (SvQuarantine *self,
                          const SegmentKey *key,
                          const PolBlameLoss *losses,
                          guint n,
                          guint tests);

/** Whether a quarantined request has ended the endpoint, and the loss didn't happen under that. */
gboolean sv_quarantine_is_by_request (const SvQuarantine *self, const PolBlameLoss *loss);

/** Ends a quarantine, and logs why. */
void sv_quarantine_end (SvQuarantine *self, Entry *entry, const char *reason);

/** Ends those that are too old, or that the endpoints have contradicted. */
void sv_quarantine_review (SvQuarantine *self);

/** Has the entry told to others again, as `origin` has changed it. */
void sv_quarantine_mark_unsent (Entry *entry, SvCrashOrigin origin);

/* quarantine_tests.c */

/** Whether a prompt of the entry is let through to find out about it. */
gboolean sv_quarantine_is_let_through (SvQuarantine *self, Entry *entry);

/* quarantine_news.c */

void sv_quarantine_queue_loss (SvQuarantine *self, const SvSegmentUse *use, SvCrashOrigin origin);
void sv_quarantine_queue_survival (SvQuarantine *self,
                                   const SvSegmentSurvival *survival,
                                   SvCrashOrigin origin);

/** Whether the audience is to hear from this instance what it has from there. */
static inline gboolean
sv_quarantine_is_for (SvCrashAudience audience, SvCrashOrigin origin)
{
  return audience == SV_CRASHES_FOR_CELL ? origin == SV_CRASH_OWN
                                         : origin != SV_CRASH_OF_OTHER_CELL;
}
