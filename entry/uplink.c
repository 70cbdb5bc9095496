#include "entry/uplink.h"

#include <string.h>

#include "common/log.h"
#include "common/retry.h"

#define MIN_RETRY_DELAY (50 * KNL_MSEC)
#define MAX_RETRY_DELAY (1 * KNL_SEC)

/* Interval of attempts to return to the local controller while another one is in use. */
#define LOCAL_RETRY_INTERVAL (2 * KNL_SEC)

typedef struct
{
  EnUplink base;
  KnlKernel *kernel;
  WrTransport *transport;
  const EnUplinkEvents *events;
  gpointer data;
  char *local;
  char **others;
  guint next_other;
  WrLink *link;         /* in use, or NULL */
  WrLink *opening_link; /* being opened, or NULL */
  gboolean link_is_local;
  gboolean opening_is_local;
  gboolean local_failed; /* the local one failed last: the next attempt goes to another */
  CmBackoff backoff;
  KnlTimerId timer;
} Uplink;

static void on_timer (gpointer data);

static void
schedule (Uplink *self, KnlTime delay)
{
  knl_timer_stop (self->kernel, &self->timer);
  self->timer = knl_timer_start (self->kernel, delay, on_timer, self);
}

static void
on_open (WrLink *link, const Alderturn__Hello *peer, gpointer data)
{
  Uplink *self = data;

  if (link != self->opening_link)
    return;
  if (self->link != NULL)
    wr_link_close (self->link);
  self->link = link;
  self->link_is_local = self->opening_is_local;
  self->opening_link = NULL;
  self->local_failed = !self->link_is_local;
  cm_backoff_reset (&self->backoff);
  cm_log (CM_LOG_INFO, "controller-link-open", "s", "controller", peer->instance, "b", "local",
          self->link_is_local);
  schedule (self, LOCAL_RETRY_INTERVAL);
  self->events->on_up (self->data);
}

static void
on_frame (WrLink *link, const Alderturn__Frame *frame, gpointer data)
{
  Uplink *self = data;

  if (link == self->link)
    self->events->on_frame (frame, self->data);
}

static void
on_closed (WrLink *link, WrCloseReason reason, gpointer data)
{
  Uplink *self = data;

  if (link == self->opening_link)
    {
      self->opening_link = NULL;
      if (self->opening_is_local)
        self->local_failed = TRUE;
      schedule (self, self->link != NULL ? LOCAL_RETRY_INTERVAL
                                         : cm_backoff_next (&self->backoff, self->kernel));
    }
  else if (link == self->link)
    {
      cm_log (CM_LOG_WARNING, "controller-link-closed", "s", "reason",
              wr_close_reason_name (reason), "b", "local", self->link_is_local);
      self->link = NULL;
      self->local_failed = FALSE;
      schedule (self, 0);
      self->events->on_down (self->data);
    }
}

static const WrLinkEvents link_events = {
  .on_open = on_open,
  .on_frame = on_frame,
  .on_closed = on_closed,
};

static const char *
next_other (Uplink *self)
{
  guint count = self->others != NULL ? g_strv_length (self->others) : 0;

  for (guint i = 0; i < count; i++)
    {
      const char *address = self->others[self->next_other++ % count];

      if (strcmp (address, self->local) != 0)
        return address;
    }
  return NULL;
}

/*
 * Tries the local controller first; after it has failed, alternates between the
 * others and the local one.
 */
static void
on_timer (gpointer data)
{
  Uplink *self = data;
  const char *address = self->local;

  self->timer = 0;
  if (self->opening_link != NULL || (self->link != NULL && self->link_is_local))
    return;
  if (self->link == NULL && self->local_failed)
    {
      const char *other = next_other (self);

      if (other != NULL)
        address = other;
    }
  self->opening_is_local = address == self->local;
  self->local_failed = FALSE;
  self->opening_link = wr_transport_connect (self->transport, address, &link_events, self);
  if (self->opening_link == NULL)
    schedule (self, cm_backoff_next (&self->backoff, self->kernel));
}

static void
uplink_send (EnUplink *uplink, const Alderturn__Frame *frame)
{
  Uplink *self = (Uplink *)uplink;

  if (self->link != NULL)
    wr_link_send (self->link, frame);
}

static gboolean
uplink_is_up (EnUplink *uplink)
{
  return ((Uplink *)uplink)->link != NULL;
}

static void
uplink_set_events (EnUplink *uplink, const EnUplinkEvents *events, gpointer data)
{
  Uplink *self = (Uplink *)uplink;

  self->events = events;
  self->data = data;
  schedule (self, 0);
}

static void
uplink_set_others (EnUplink *uplink, const char *const *addresses)
{
  Uplink *self = (Uplink *)uplink;

  g_strfreev (self->others);
  self->others = g_strdupv ((char **)addresses);
}

static void
uplink_free (EnUplink *uplink)
{
  Uplink *self = (Uplink *)uplink;

  knl_timer_stop (self->kernel, &self->timer);
  if (self->link != NULL)
    wr_link_close (self->link);
  if (self->opening_link != NULL)
    wr_link_close (self->opening_link);
  g_strfreev (self->others);
  g_free (self->local);
  g_free (self);
}

static const EnUplinkClass uplink_class = {
  .send = uplink_send,
  .is_up = uplink_is_up,
  .set_events = uplink_set_events,
  .set_others = uplink_set_others,
  .free = uplink_free,
};

EnUplink *
en_uplink_new (KnlKernel *kernel, WrTransport *transport, const char *local_address)
{
  Uplink *self = g_new0 (Uplink, 1);

  self->base.klass = &uplink_class;
  self->kernel = kernel;
  self->transport = transport;
  self->local = g_strdup (local_address);
  self->backoff = (CmBackoff){ .first = MIN_RETRY_DELAY, .limit = MAX_RETRY_DELAY };
  return &self->base;
}
