#pragma once

/**
 * Decides whether losses of endpoints show that they were crashed by what all the lost requests
 * have in common.
 *
 * One loss shows nothing: endpoints end for other causes, and an endpoint that ends takes requests
 * with it that only ran beside the one at fault. Such losses coincide: endpoints of a failed rack
 * end at the same moment, and a request that is retried meets the one at fault again, or crashes
 * endpoints by itself. So losses count by the moments that they are spread over, and no single
 * request may be behind most of them.
 */

#include "kernel/kernel.h"

/** Requests that are told apart at one endpoint. */
#define POL_BLAME_REQUESTS 4

/** An endpoint ended while it was about to answer one or more requests. */
typedef struct
{
  guint64 endpoint;
  KnlTime lost_at;
  guint n_requests;
  guint64 requests[POL_BLAME_REQUESTS]; /**< their fingerprints */
} PolBlameLoss;

/** What losses amount to. */
typedef struct
{
  guint moments; /**< losses that didn't happen at the same moment */
  guint others;  /**< the fewest of these that are left without the losses of any one request */
} PolBlame;

/** Losses closer to each other than this count as one: they may have one cause. */
#define POL_BLAME_MOMENT (100 * KNL_MSEC)

/** Adds a request to those of the loss. FALSE: it was there, or there are too many. */
gboolean pol_blame_add_request (PolBlameLoss *loss, guint64 request);

gboolean pol_blame_has_request (const PolBlameLoss *loss, guint64 request);

/** Sorts the losses by time. */
PolBlame pol_blame_weigh (PolBlameLoss *losses, guint n);

/** Fills in the first loss of each moment that pol_blame_weigh() counts, `max` at most; the losses
 * are sorted by time. Returns their number. */
guint pol_blame_pick_moments (const PolBlameLoss *losses, guint n, PolBlameLoss *picked, guint max);

/** Whether the losses of one request show that it crashed the endpoints, whatever else they have in
 * common. */
gboolean pol_blame_is_shown_of_request (const PolBlame *blame);

/** Whether the losses show it of something that several requests have in common. `is_ambiguous`:
 * something else is common to the same losses, and may be what crashed the endpoints instead. */
gboolean pol_blame_is_shown (const PolBlame *blame, gboolean is_ambiguous);
