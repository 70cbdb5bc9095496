#pragma once

/**
 * Segments of prompts that crash every endpoint that begins to answer a prompt with them.
 *
 * An endpoint that ends takes a dozen requests with it, of many callers and instances, and each
 * request has several segments. Each instance records, for each segment, which endpoints were lost
 * when they were about to answer a prompt with it, or had just begun to; all instances exchange
 * these losses. They count once it is certain that the endpoint has ended. A prompt with the
 * segment that an endpoint survives clears its losses. What is left is weighed by PolBlame; then
 * the segment is quarantined: prompts with it are refused.
 *
 * The quarantine is one for all instances: the first to decide tells the others, with the losses
 * that show it. It stands for as long as nothing proves that these processes live. It ends with the
 * first answer that an endpoint survives; to find out, a few prompts are let through, each at the
 * one instance that is elected for it, once it is counted where all instances count.
 *
 * Segments are kept by service, since another service's engines may run other software.
 *
 * A request that crashes endpoints by itself, whatever its segments, is quarantined in the same
 * way; its losses are in SvCrashes.
 */

#include "policy/blame.h"
#include "serve/crashes.h"
#include "serve/segments.h"

/** In place of the hash of a service's name: a whole request is quarantined, by its fingerprint. */
#define SV_QUARANTINE_REQUESTS 0

/** A quarantine ends after this time, as the engines may have been replaced by then. */
#define SV_QUARANTINE_TTL (21600 * KNL_SEC)

/** Prompts that all instances together let through at most to find out about a segment or request
 * within SV_QUARANTINE_TTL, however often its quarantine ends and begins again. */
#define SV_MAX_TESTS 2

/** Segments and requests that are quarantined at most. Each has crashed several endpoints, so that
 * there are few. */
#define SV_MAX_QUARANTINED 64

/** Losses that are kept, and told, of a quarantined segment. */
#define SV_QUARANTINE_LOSSES 5

/** How long after its first event an endpoint may still crash because of a prompt. */
#define SV_CRASH_WINDOW (500 * KNL_MSEC)

/** A prompt whose answer an endpoint was about to begin, or had just begun. */
typedef struct
{
  guint64 request;  /**< its fingerprint */
  guint64 endpoint; /**< key of the endpoint, see SvEndpoint */
  guint32 service;  /**< hash of the service's name */
  KnlTime at;       /**< when the endpoint was lost, or has begun, on this instance's clock */
  SvSegments segments;
} SvSegmentUse;

/** An endpoint has survived answering a prompt. */
typedef struct
{
  guint32 service;
  KnlTime at; /**< when this showed, on this instance's clock */
  SvSegments segments;
} SvSegmentSurvival;

/** A quarantined segment, or request. */
typedef struct
{
  guint32 service;
  guint64 segment; /**< or the request's fingerprint */
  KnlTime since;   /**< on this instance's clock */
  guint tests;     /**< prompts that instances have let through to find out */
  guint n_losses;
  PolBlameLoss losses[SV_QUARANTINE_LOSSES]; /**< that show it; `requests` aren't told to others */
} SvQuarantined;

/** Name of the field of log lines that holds its id. */
const char *sv_quarantined_field (const SvQuarantined *quarantined);

/** Its id in log lines. Free with g_free. */
char *sv_quarantined_format (const SvQuarantined *quarantined);

SvQuarantine *sv_quarantine_new (KnlKernel *kernel, SvFleet *fleet);
void sv_quarantine_free (SvQuarantine *quarantine);

/** Whether this instance, of all, lets a prompt through to find out about the segment. `seed`: see
 * SvPeerLinkClass. */
typedef gboolean (*SvElectFunc) (guint64 seed, gpointer data);

/** Sets what is asked before a prompt is let through; NULL: none is. */
void sv_quarantine_set_election (SvQuarantine *quarantine, SvElectFunc is_elected, gpointer data);

/** Whether this instance is the one that is elected of all. TRUE also if there is no election. */
gboolean sv_quarantine_is_elected (const SvQuarantine *quarantine, guint64 seed);

/** Asks for the right to let one prompt through. It must be counted where all instances count, as
 * this one may hear no others, and may end before it has told of the test. The answer is given to
 * sv_quarantine_note_claim(), later or never. `tests`: those that this instance knows of. */
typedef void (*SvClaimFunc) (guint32 service, guint64 segment, guint tests, gpointer data);

/** Sets who counts tests; NULL: nobody, each instance counts those that it is told of. */
void sv_quarantine_set_claims (SvQuarantine *quarantine, SvClaimFunc claim, gpointer data);

/** `tests`: those that have been counted, the one that is granted included. */
void sv_quarantine_note_claim (SvQuarantine *quarantine,
                               guint32 service,
                               guint64 segment,
                               guint tests,
                               gboolean is_granted);

/** Takes the right to let a prompt through, or asks for it. FALSE: it isn't there. */
gboolean
sv_quarantine_take_test (SvQuarantine *quarantine, guint32 service, guint64 segment, guint tests);

/** Hash of a service's name, as in SvSegmentUse. */
guint32 sv_quarantine_service (const char *name);

/** An endpoint was lost under the prompt. TRUE: there is something to be sent to others. */
gboolean
sv_quarantine_note_loss (SvQuarantine *quarantine, const SvSegmentUse *use, SvCrashOrigin origin);

/** Whatever request it is: the endpoint's connection ended while it ran the request. An endpoint
 * that ends loses all its requests at once, one that closes a connection a single one. */
void
sv_quarantine_note_closed (SvQuarantine *quarantine, guint64 endpoint, guint64 request, KnlTime at);

/** The endpoint accepts no connections, or another process has its address. */
void sv_quarantine_note_refused (SvQuarantine *quarantine, guint64 endpoint);

/** An endpoint has begun to answer the prompt. If it is heard from after SV_CRASH_WINDOW it has
 * survived. TRUE: there is something to be sent to others. */
gboolean sv_quarantine_note_begun (SvQuarantine *quarantine, const SvSegmentUse *use);

/** The answer was cancelled: whether its endpoint survives it won't show. */
void sv_quarantine_forget_begun (SvQuarantine *quarantine, guint64 request, guint64 endpoint);

/** A segment has been quarantined, here or by another instance, or isn't any more. */
typedef void (*SvQuarantineFunc) (gpointer data);

/** Sets what is called at each change; NULL: nothing. It must not end requests. */
void sv_quarantine_on_changed (SvQuarantine *quarantine, SvQuarantineFunc func, gpointer data);

/** Sets what is called before a segment is quarantined, so that requests which explain its losses
 * are found first; NULL: nothing. */
void sv_quarantine_before_decision (SvQuarantine *quarantine, SvQuarantineFunc func, gpointer data);

/** TRUE: that wasn't known, and is to be sent to others. */
gboolean sv_quarantine_note_survival (SvQuarantine *quarantine,
                                      const SvSegmentSurvival *survival,
                                      SvCrashOrigin origin);

/** Another instance has quarantined a segment. FALSE: that was known, or isn't accepted, as the
 * endpoints or prompts with the segment have survived. */
gboolean sv_quarantine_adopt (SvQuarantine *quarantine,
                              const SvQuarantined *quarantined,
                              SvCrashOrigin origin);

/** Quarantines the request if it is certain that these endpoints have ended, and no outage of many
 * explains it. Sorts the losses. */
void sv_quarantine_note_request (SvQuarantine *quarantine,
                                 guint64 fingerprint,
                                 PolBlameLoss *losses,
                                 guint n);

/** Whether a quarantine stands only for want of proof that its endpoints live: a newer list of
 * endpoints would give it. */
gboolean sv_quarantine_has_doubt (const SvQuarantine *quarantine);

/** Whether it is quarantined, and the endpoints that show it haven't been proven to live since. */
gboolean sv_quarantine_contains (const SvQuarantine *quarantine, guint32 service, guint64 segment);

/** The quarantined segment because of which a prompt is refused; NULL: it isn't. If the prompt is
 * let through to put the quarantine to the test, `is_test` is set, and others are to be told. */
const SvQuarantined *sv_quarantine_check (SvQuarantine *quarantine,
                                          guint32 service,
                                          const SvSegments *segments,
                                          gboolean *is_test);

/** Whether the endpoint was lost under a prompt with a quarantined segment. */
gboolean sv_quarantine_explains (const SvQuarantine *quarantine, guint64 endpoint);

/** Fills in the quarantined segments, the newest first. Returns their number, at most `max`. */
guint sv_quarantine_list (const SvQuarantine *quarantine, SvQuarantined *list, guint max);

/** Number of quarantined segments. */
guint sv_quarantine_n (const SvQuarantine *quarantine);

/** Number of segments that losses are kept of. */
guint sv_quarantine_n_suspects (const SvQuarantine *quarantine);

/** Drops what has expired and notes answers that endpoints have survived. To be called several
 * times a second. TRUE: there is something to be sent to others. */
gboolean sv_quarantine_tick (SvQuarantine *quarantine);

/** Marks all quarantined segments for being sent again. FALSE: there are none. */
gboolean sv_quarantine_repeat (SvQuarantine *quarantine);

/** What is to be sent to others. The segments of losses and survivals are in the rows. */
typedef struct
{
  SvSegmentUse losses[6];
  guint n_losses;
  SvSegmentSurvival survivals[3];
  guint n_survivals;
  SvQuarantined entries[4];
  guint n_entries;
} SvQuarantineNews;

/** Takes as much as fits of what the audience has not been sent; it then counts as sent. FALSE:
 * there is nothing. */
gboolean sv_quarantine_take_news (SvQuarantine *quarantine,
                                  SvCrashAudience audience,
                                  SvQuarantineNews *news);
