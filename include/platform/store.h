#pragma once

/**
 * The one client of the platform's store: conditional writes, reads, and feeds
 * of changes. Every call ends by one callback, never inside the call itself.
 */

#include <jansson.h>

#include "http/client.h"
#include "platform/answer.h"
#include "serve/position.h"

typedef struct PlStore PlStore;
typedef struct PlCall PlCall;
typedef struct PlFeed PlFeed;
typedef struct PlRows PlRows;

typedef enum
{
  PL_OK,
  PL_CONFLICT,  /**< a condition does not hold; nothing was written */
  PL_FORGOTTEN, /**< the history asked for is no longer there */
  PL_REFUSED,   /**< refused, certainly without effect: too many calls, or not available */
  PL_UNKNOWN,   /**< no answer; a write may have taken effect, or may yet */
} PlStatus;

const char *pl_status_name (PlStatus status);

/** `*answer` is NULL where there is none, or it can't be read. It is freed when the callback
 * returns, unless that has stolen it. */
typedef void (*PlCallFunc) (PlStatus status, PlAnswer **answer, gpointer data);

/** How far the answer to a call has come. */
typedef struct
{
  KnlTime first_at; /**< its head has come; 0: it has not */
  gsize bytes;      /**< of its body */
} PlTransfer;

/** What the store tells as era 0, as an era of a SvPosition. */
#define PL_ERA_FIRST 1

/** The store has come back from an older copy, and its versions are of another era. Whatever was
 * read before is to be read anew. */
typedef void (*PlEraFunc) (PlStore *store, gpointer data);

PlStore *pl_store_new (KnlKernel *kernel, HtClient *client, const char *address);
void pl_store_free (PlStore *store);

/** Another instance that answers in the store's place; it is told the era that is known. */
PlStore *pl_store_new_peer (KnlKernel *kernel, HtClient *client, const char *address);

void pl_store_on_era (PlStore *store, PlEraFunc func, gpointer data);

/** The newest era that is known; 0: none. Answers of earlier ones, and those that tell none
 * although one is known, count as lost. A read that finds a new one ends as PL_FORGOTTEN. */
guint64 pl_store_era (const PlStore *store);
void pl_store_note_era (PlStore *store, guint64 era);

/** Reads the rows of a table from the key `from` (may be NULL) on, in pages. */
PlCall *
pl_store_get (PlStore *store, const char *table, const char *from, PlCallFunc func, gpointer data);

/** Writes a row whatever it holds now; `value` is taken over. */
PlCall *pl_store_put (PlStore *store,
                      const char *table,
                      const char *key,
                      json_t *value,
                      PlCallFunc func,
                      gpointer data);

/** Removes a row that still has the version `ver`; 0: whatever version. */
PlCall *pl_store_remove (PlStore *store,
                         const char *table,
                         const char *key,
                         guint64 ver,
                         PlCallFunc func,
                         gpointer data);

/** Drops the callback; a write may take effect all the same. */
void pl_call_cancel (PlCall *call);

PlTransfer pl_call_transfer (const PlCall *call);

/** A row as feeds hand it on. */
typedef struct
{
  const char *key;
  guint64 version;
  json_t *value; /**< NULL: the row is gone, holds no JSON, or was handed on in pieces */
  gboolean gone;
} PlRow;

/** Decodes a row of an answer; free `value` with json_decref. */
void pl_row_decode (const PlAnswerRow *answer, PlRow *row);

/** What a feed hands on. */
typedef struct
{
  /** The whole table follows, row by row. */
  void (*begin_list) (gpointer data);
  void (*end_list) (gpointer data);
  void (*row) (const PlRow *row, gpointer data);
  /** Both NULL, or the values of rows that have one come in pieces of text, before `row`. Pieces of
   * one that begins anew were for nothing. */
  void (*begin_value) (const char *key, gpointer data);
  void (*value) (const char *text, gsize length, gpointer data);
  /** Rows have come and may be passed on, though they are not taken in yet; may be NULL. */
  void (*arrived) (gpointer data);
  /** All changes up to that time, on our own clock, have been handed on. */
  void (*confirmed) (KnlTime at, gpointer data);
  /** The store answers again after it did not; may be NULL. */
  void (*regained) (gpointer data);
  /** A call has failed, and is made again later; may be NULL. The feed's source is not to be
   * changed inside. */
  void (*lost) (gpointer data);
} PlFeedEvents;

/** How often a feed asks; each question is a call that is paid for. */
typedef struct
{
  KnlTime wait;        /**< how long the store holds an answer back when nothing changes */
  KnlTime gather;      /**< after changes, before the next question: those in a row come together */
  KnlTime gather_most; /**< the same where changes take long to take in; 0: as `gather` */
} PlFeedPace;

/**
 * Follows a table for ever: reads it whole, then waits for changes; begins
 * again when the store has forgotten too much.
 */
PlFeed *pl_feed_new (PlStore *store,
                     const char *table,
                     const PlFeedPace *pace,
                     const PlFeedEvents *events,
                     gpointer data);
void pl_feed_free (PlFeed *feed);

/** Asks `store` from now on, beginning at once. What is known stays. */
void pl_feed_set_source (PlFeed *feed, PlStore *store);

/** All changes up to this position have been handed on; version 0: none yet. */
SvPosition pl_feed_position (const PlFeed *feed);

/** Its store may have another era: the table is read anew then. */
void pl_feed_note_era (PlFeed *feed);

/** Whether an answer has begun to come and is not taken in, or a list has pages that have not come.
 */
gboolean pl_feed_is_receiving (const PlFeed *feed);

/** The newest answer. */
typedef struct
{
  const char *source;  /**< address of who sent it */
  KnlTime asked_at;    /**< the question was sent */
  KnlTime received_at; /**< the last byte had come */
  PlTransfer transfer;
} PlFeedAnswer;

PlFeedAnswer pl_feed_last_answer (const PlFeed *feed);

/** All that has been handed on. */
const PlRows *pl_feed_rows (const PlFeed *feed);

/** For calls from now on. */
void pl_feed_set_wait (PlFeed *feed, KnlTime wait);

/** Asks at once, in place of a call that waits; one whose answer has begun to come ends first. */
void pl_feed_ask_again (PlFeed *feed);
