#pragma once

/**
 * Real processes for the tests of failures: starts stand-ins and daemons on
 * loopback, reads their log lines, asks over HTTP, sends signals, and ends all
 * that it started. Waiting is for a condition; limits only stop a test that hangs.
 */

#include "kernel/kernel.h"

#include <event2/event.h>
#include <jansson.h>
#include <signal.h>

/** A limit for what should happen within a few seconds, on a busy machine too. */
#define HN_LIMIT (30 * KNL_SEC)

typedef struct HnProcess HnProcess;
typedef struct HnCall HnCall;

typedef struct
{
  struct event_base *base;
  KnlRuntime *runtime;
  KnlKernel *kernel;
  GPtrArray *processes; /**< HnProcess, ended ones too */
  GPtrArray *addresses;
  GArray *sockets; /**< that keep the addresses */
  struct event *tick;
  unsigned int failures; /**< of CUnit when the harness was made */
} HnHarness;

HnHarness *hn_harness_new (void);

/**
 * Ends all processes; prints their last lines when a check failed. FALSE when
 * one that was asked to end did not with status 0, or logged a failed invariant
 * or a sanitizer's report.
 */
gboolean hn_harness_free (HnHarness *harness);

/**
 * A loopback address that no other test process running at the same time has. Free with g_free.
 * Gateways serve their metrics at one port of it: two runs of the tests at once would
 * share it otherwise, and a gateway of one of them would not start.
 */
char *hn_own_ip (guint index);

/** "127.0.0.1:PORT", free for the harness's life, restarts included; owned by the harness. */
const char *hn_address_new (HnHarness *harness);

/** Runs events until `done` says so; its last verdict. */
gboolean
hn_await (HnHarness *harness, KnlTime limit, gboolean (*done) (gpointer data), gpointer data);

/** Runs events for `time`, where a test must let load go on. */
void hn_pass (HnHarness *harness, KnlTime time);

/* Processes */

/** Starts `program` ("entry/alderturn-entry") with `arguments`, which ends with NULL. */
HnProcess *
hn_start (HnHarness *harness, const char *name, const char *program, const char *const *arguments);

void hn_signal (HnProcess *process, int number);

/** Ends it without a word and waits for it; the handle stays for its log. */
void hn_kill (HnProcess *process);

/** Waits for its end; the exit status, or -1 when it was killed or goes on. */
int hn_await_exit (HnProcess *process, KnlTime limit);

/** What it wrote to standard output so far. */
const char *hn_output (HnProcess *process);

/** Log lines of that event so far; with `field`, those in which it has the text `value`. */
guint hn_count (HnProcess *process, const char *event, const char *field, const char *value);

/** Waits until hn_count() is at least `count`. */
gboolean hn_await_count (HnProcess *process,
                         const char *event,
                         const char *field,
                         const char *value,
                         guint count);

/** The last log line of that event, or NULL. */
const json_t *hn_last (HnProcess *process, const char *event);

/* HTTP */

/** A request to an address. Fields that are NULL are left out. */
typedef struct
{
  const char *address;
  const char *method; /**< POST, PUT, or NULL: GET */
  const char *path;
  const char *token; /**< bearer */
  const char *key;   /**< Idempotency-Key */
  const char *timeout_ms;
  const char *body;
} HnRequest;

HnCall *hn_call_start (HnHarness *harness, const HnRequest *request);
/** Drops the connection if it is not over. */
void hn_call_free (HnCall *call);

/** Waits for the end of the answer; FALSE: not over. */
gboolean hn_call_await (HnCall *call, KnlTime limit);
/** Waits until the body so far has `text`. */
gboolean hn_call_await_text (HnCall *call, const char *text);

/** Of an answer that is over; 0: it is not, or the connection broke. */
int hn_call_status (const HnCall *call);
const char *hn_call_body (const HnCall *call);

/** One call to its end; the status, and the body as JSON (or NULL) in `*answer`, to be freed. */
int hn_ask (HnHarness *harness, const HnRequest *request, json_t **answer);

/** Waits until a GET of `path` gives `status`. */
gboolean hn_await_status (HnHarness *harness, const char *address, const char *path, int status);
