#pragma once

/**
 * Collects rows that each controller has only for itself: queries all other
 * controllers and joins their rows with this controller's. Queries are sent only
 * for an operator's request; missing links are opened for it.
 */

#include <jansson.h>

#include "controller/links.h"

typedef struct CtGather CtGather;

/** This controller's own rows of `table`; a new reference. */
typedef json_t *(*CtGatherRowsFunc) (const char *table, gpointer data);

/** `rows` is a JSON list, freed after the call. */
typedef void (*CtGatherFunc) (const json_t *rows, gpointer data);

/** Opens links to all other known controllers, and returns the number of these controllers. */
typedef guint (*CtGatherConnectFunc) (gpointer data);

typedef struct
{
  KnlKernel *kernel;
  CtLinks *links;
  CtGatherRowsFunc own_rows;
  CtGatherConnectFunc connect_all;
  gpointer data;
} CtGatherOptions;

CtGather *ct_gather_new (const CtGatherOptions *options);

/** Pending queries are dropped; their callbacks aren't called. */
void ct_gather_free (CtGather *gather);

/**
 * Calls `done` once, when all controllers have answered or after 700 ms; never inside this call.
 */
void ct_gather_start (CtGather *gather, const char *table, CtGatherFunc done, gpointer data);

/** A link to a controller has opened: sends it the queries that are still pending. */
void ct_gather_on_peer_opened (CtGather *gather, CtPeer *peer);

/** Handle frames received from peers. */
void ct_gather_handle_query (CtGather *gather, CtPeer *peer, const Alderturn__Query *query);
void ct_gather_handle_reply (CtGather *gather, const Alderturn__QueryReply *reply);
