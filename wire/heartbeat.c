#include "wire/heartbeat.h"

void
wr_heartbeat_start (WrHeartbeat *heartbeat, KnlTime now, KnlTime interval, KnlTime limit)
{
  *heartbeat =
      (WrHeartbeat){ .interval = interval, .limit = limit, .answered = now, .checked = now };
}

/*
 * When a process resumes after a stop, its timers fire before the answers that
 * wait in its sockets are read. It would close all its links as silent although
 * the peers have answered. Time for which this side was stalled is therefore not
 * counted as silence of the peer.
 */
static void
forgive_own_pause (WrHeartbeat *heartbeat, KnlTime now)
{
  KnlTime late = now - heartbeat->checked - heartbeat->interval;

  if (late > heartbeat->interval)
    heartbeat->answered = MIN (heartbeat->answered + late, now);
}

gboolean
wr_heartbeat_check (WrHeartbeat *heartbeat, KnlTime now)
{
  forgive_own_pause (heartbeat, now);
  heartbeat->checked = now;
  heartbeat->sequence++;
  return now - heartbeat->answered <= heartbeat->limit;
}

void
wr_heartbeat_answered (WrHeartbeat *heartbeat, KnlTime now, guint64 sequence)
{
  if (sequence >= 1 && sequence <= heartbeat->sequence)
    heartbeat->answered = now;
}
