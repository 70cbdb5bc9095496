#include "entry/cancels.h"

#include "common/log.h"
#include "common/retry.h"

#define MIN_RETRY_DELAY     (100 * KNL_MSEC)
#define MAX_RETRY_DELAY     (5 * KNL_SEC)
#define SECOND_CANCEL_DELAY (2 * KNL_SEC)

/* Much longer than engines hold a request by themselves: an engine silent for that long is lost. */
#define CANCEL_TIMEOUT (600 * KNL_SEC)

/*
 * An engine that was removed from the members may only be unreachable and still hold
 * the request; its own hold time has passed by then.
 */
#define REMOVED_CANCEL_TIMEOUT (60 * KNL_SEC)

struct EnCancels
{
  KnlKernel *kernel;
  EpClient *client;
  EnFleet *fleet;
  GHashTable *pending; /* set of Cancel */
  EnCancelsFreed freed;
  gpointer freed_data;
};

typedef struct
{
  EnCancels *owner;
  char *address;
  char *request;
  EnCharge *charge;
  gboolean repeat;
  KnlTime started;
  CmBackoff backoff;
  KnlTimerId timer;
  EpCallId call;
} Cancel;

static void
cancel_free (gpointer data)
{
  Cancel *cancel = data;

  knl_timer_stop (cancel->owner->kernel, &cancel->timer);
  ep_call_cancel (cancel->owner->client, &cancel->call);
  if (cancel->charge != NULL)
    en_charge_return (cancel->charge, cancel->owner->fleet);
  g_free (cancel->address);
  g_free (cancel->request);
  g_free (cancel);
}

EnCancels *
en_cancels_new (KnlKernel *kernel, EpClient *client, EnFleet *fleet)
{
  EnCancels *self = g_new0 (EnCancels, 1);

  self->kernel = kernel;
  self->client = client;
  self->fleet = fleet;
  self->pending = g_hash_table_new_full (g_direct_hash, g_direct_equal, cancel_free, NULL);
  return self;
}

void
en_cancels_free (EnCancels *self)
{
  if (self == NULL)
    return;
  self->freed = NULL;
  g_hash_table_unref (self->pending);
  g_free (self);
}

void
en_cancels_on_freed (EnCancels *self, EnCancelsFreed func, gpointer data)
{
  self->freed = func;
  self->freed_data = data;
}

static void
drop (Cancel *cancel)
{
  EnCancels *self = cancel->owner;

  g_hash_table_remove (self->pending, cancel);
  if (self->freed != NULL)
    self->freed (self->freed_data);
}

static gboolean
endpoint_is_removed (const Cancel *cancel)
{
  const EnEndpoint *endpoint = cancel->charge != NULL
                                   ? en_fleet_find (cancel->owner->fleet, cancel->charge->endpoint)
                                   : NULL;

  return endpoint != NULL
         && (endpoint->removed || endpoint->state == ALDERTURN__MEMBER_STATE__MEMBER_STATE_DEAD);
}

static gboolean
is_obsolete (const Cancel *cancel)
{
  EnCancels *self = cancel->owner;
  KnlTime tried = knl_kernel_now (self->kernel) - cancel->started;

  if (tried > CANCEL_TIMEOUT || (tried > REMOVED_CANCEL_TIMEOUT && endpoint_is_removed (cancel)))
    return TRUE;
  return cancel->charge != NULL && !en_charge_valid (cancel->charge, self->fleet);
}

static void send_cancel (gpointer data);

static void
on_done (gboolean acknowledged, gpointer data)
{
  Cancel *cancel = data;
  KnlKernel *kernel = cancel->owner->kernel;

  cancel->call = 0;
  if (!acknowledged)
    {
      cancel->timer =
          knl_timer_start (kernel, cm_backoff_next (&cancel->backoff, kernel), send_cancel, cancel);
    }
  else if (cancel->repeat)
    {
      cancel->repeat = FALSE;
      cancel->timer = knl_timer_start (kernel, SECOND_CANCEL_DELAY, send_cancel, cancel);
    }
  else
    drop (cancel);
}

static void
send_cancel (gpointer data)
{
  Cancel *cancel = data;
  EnCancels *self = cancel->owner;

  cancel->timer = 0;
  if (is_obsolete (cancel))
    {
      cm_log (CM_LOG_INFO, "cancel-dropped", "s", "request", cancel->request);
      drop (cancel);
      return;
    }
  cancel->call = ep_client_cancel (self->client, cancel->address, cancel->request, on_done, cancel);
}

void
en_cancels_add (EnCancels *self,
                const char *address,
                const char *request,
                EnCharge *charge,
                gboolean repeat)
{
  Cancel *cancel = g_new0 (Cancel, 1);

  cancel->owner = self;
  cancel->address = g_strdup (address);
  cancel->request = g_strdup (request);
  cancel->charge = charge;
  cancel->repeat = repeat;
  cancel->started = knl_kernel_now (self->kernel);
  cancel->backoff = (CmBackoff){ .first = MIN_RETRY_DELAY, .limit = MAX_RETRY_DELAY };
  g_hash_table_add (self->pending, cancel);
  cancel->timer = knl_timer_start (self->kernel, 0, send_cancel, cancel);
}

guint
en_cancels_pending (const EnCancels *self)
{
  return g_hash_table_size (self->pending);
}
