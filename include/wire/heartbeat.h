#pragma once

/** Tracks whether the peer of a link still answers heartbeats. */

#include "kernel/kernel.h"

typedef struct
{
  KnlTime interval;
  KnlTime timeout;
  KnlTime answered_at; /**< when the peer last answered, or the start */
  KnlTime checked_at;  /**< when wr_heartbeat_check() last ran, or the start */
  guint64 sequence;    /**< of the last heartbeat sent */
} WrHeartbeat;

void wr_heartbeat_start (WrHeartbeat *heartbeat, KnlTime now, KnlTime interval, KnlTime timeout);

/** Call once per interval, then send heartbeat `sequence`. FALSE: the peer hasn't answered for
 * longer than `timeout`. */
gboolean wr_heartbeat_check (WrHeartbeat *heartbeat, KnlTime now);

/** The peer answered heartbeat `sequence`; a number that was never sent is ignored. */
void wr_heartbeat_answered (WrHeartbeat *heartbeat, KnlTime now, guint64 sequence);
