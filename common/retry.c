#include "common/retry.h"

#define MAX_DOUBLINGS 30

KnlTime
cm_backoff_next (CmBackoff *backoff, KnlKernel *kernel)
{
  guint doublings = MIN (backoff->retries, MAX_DOUBLINGS);
  KnlTime delay = backoff->first;

  for (guint i = 0; i < doublings && delay < backoff->limit; i++)
    delay *= 2;
  delay = MIN (delay, backoff->limit);
  backoff->retries++;
  /* Without jitter, callers that failed together would retry together after every delay. */
  return delay / 2 + (KnlTime)(g_rand_double (knl_kernel_rand (kernel)) * (double)delay / 2);
}

void
cm_backoff_reset (CmBackoff *backoff)
{
  backoff->retries = 0;
}
