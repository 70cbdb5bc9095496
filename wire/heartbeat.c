#include "wire/heartbeat.h"

void
wr_heartbeat_start (WrHeartbeat *heartbeat, KnlTime now, KnlTime interval, KnlTime timeout)
{
  *heartbeat = (WrHeartbeat){
    .interval = interval, .timeout = timeout, .answered_at = now, .checked_at = now
  };
}

/*
 * When a process resumes after a stop, its timers fire before the answers that
 * wait in its sockets are read. It would close all its links as silent although
 * the peers have answered. Time for which this side was stalled is therefore not
 * counted as silence of the peer.
 */
static void
exclude_local_stall (WrHeartbeat *heartbeat, KnlTime now)
{
  KnlTime stall = now - heartbeat->checked_at - heartbeat->interval;

  if (stall > heartbeat->interval)
    heartbeat->answered_at = MIN (heartbeat->answered_at + stall, now);
}

gboolean
wr_heartbeat_check (WrHeartbeat *heartbeat, KnlTime now)
{
  exclude_local_stall (heartbeat, now);
  heartbeat->checked_at = now;
  heartbeat->sequence++;
  return now - heartbeat->answered_at <= heartbeat->timeout;
}

void
wr_heartbeat_answered (WrHeartbeat *heartbeat, KnlTime now, guint64 sequence)
{
  if (sequence >= 1 && sequence <= heartbeat->sequence)
    heartbeat->answered_at = now;
}
