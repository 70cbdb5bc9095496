#pragma once

/**
 * The platform's store on loopback, as far as it is used: rows of some tables,
 * reads of a whole table, feeds of its changes that wait, and transactions. A
 * test can have it lose its history, refuse, lose answers, or say nothing.
 */

#include <event2/event.h>

#include "kernel/kernel.h"

typedef struct RowStore RowStore;

typedef enum
{
  ROW_STORE_SERVES,
  ROW_STORE_REFUSES, /**< 503 */
  ROW_STORE_DROPS,   /**< closes the connection in place of an answer */
  ROW_STORE_SILENT,
} RowStoreMode;

RowStore *row_store_new (KnlKernel *kernel, struct event_base *base);
void row_store_free (RowStore *store);

const char *row_store_address (const RowStore *store);

/** Writes a row, or removes it with `json` NULL. */
void row_store_put_in (RowStore *store, const char *table, const char *key, const char *json);

/** The same, in every table that is asked for. */
void row_store_put (RowStore *store, const char *key, const char *json);

gboolean row_store_has (const RowStore *store, const char *table, const char *key);

/** What a row of any table holds; NULL: there is none. */
const char *row_store_value (const RowStore *store, const char *key);

/** Rows in an answer to a list, which is then read in pages. */
void row_store_set_page (RowStore *store, guint rows);

guint64 row_store_version (const RowStore *store);

/** The era that its answers tell; negative: none, as at first. */
void row_store_set_era (RowStore *store, gint64 era);

/** It comes back from a copy of when `version` was the newest, in the next era; versions after it
 * are given out again. Feeds that wait are cut. */
void row_store_return_to (RowStore *store, guint64 version);

void row_store_set_mode (RowStore *store, RowStoreMode mode);

/** Feeds that ask for what came before now are told that it is gone. */
void row_store_forget_history (RowStore *store);

/** Calls of all kinds, those that were not served too. */
guint row_store_n_calls (const RowStore *store);

guint row_store_n_lists (const RowStore *store);
guint row_store_n_feeds (const RowStore *store);
