#pragma once

/**
 * Which instances send requests to an endpoint that is cold, and how many. Each instance decides by
 * itself, from the members that it knows, so that all of them together stay within a bound.
 */

#include "kernel/kernel.h"

/** The instances of an availability zone. */
typedef struct
{
  guint64 order;   /**< hash of endpoint and zone: cells with a higher one come first */
  guint instances; /**< those that are heard, this instance included */
} PolColdCell;

/** What an instance knows when it decides about an endpoint. */
typedef struct
{
  double rate;              /**< requests a second that the endpoint takes from all instances */
  double bound;             /**< requests that it may get in any one second */
  guint known;              /**< instances that exist, this one included */
  guint heard;              /**< of these, the ones that this instance hears, itself included */
  const PolColdCell *cells; /**< cells that are heard, its own included */
  guint n_cells;
  guint own;  /**< index of its own cell */
  guint rank; /**< instances of its own cell that come before it for this endpoint */
  KnlTime
      detection_time; /**< after which all of its cell have noticed that an instance has ended */
} PolColdView;

/** An instance's part in sending to the endpoint. */
typedef struct
{
  guint n_senders; /**< among the instances that are heard */
  gboolean is_sender;
  gboolean hears_most; /**< it hears nearly all known instances */
  double rate;         /**< requests a second that this instance may send; 0: not a sender */
  KnlTime handover;    /**< how long the sender that it replaces may send after it */
} PolColdShare;

/** Token bucket of one instance for one endpoint; it holds one token at most. */
typedef struct
{
  PolColdShare share;
  double tokens;
  KnlTime filled_at; /**< when `tokens` was last updated; in the future: it fills from then on */
} PolColdBucket;

/** Largest number of senders among all instances. */
guint pol_cold_max_senders (double rate, double bound, guint instances);

PolColdShare pol_cold_share (const PolColdView *view);

/** The endpoint has become cold, as this instance has just learned. */
void pol_cold_bucket_start (PolColdBucket *bucket, const PolColdShare *share, KnlTime now);

/** The known members have changed. */
void pol_cold_bucket_update (PolColdBucket *bucket, const PolColdShare *share, KnlTime now);

/** Charges `n` requests sent by this instance. */
void pol_cold_bucket_charge (PolColdBucket *bucket, guint n);

/** How long until this instance may send a request; 0: now. KNL_NEVER: it isn't a sender. */
KnlTime pol_cold_bucket_wait (PolColdBucket *bucket, KnlTime now);
