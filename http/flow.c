#include <event2/buffer.h>

#include "http/flow_internal.h"

/* Unsent bytes of a call above which its source isn't read, and down to which they must have been
 * sent before it is read again. An event of a stream has a few hundred bytes, so a stream is paused
 * only after its caller has left hundreds of events unread; the rest keeps a caller that reads on
 * busy until the source's next bytes arrive. */
#define PAUSE_BYTES  ((gsize)256 << 10)
#define RESUME_BYTES ((gsize)64 << 10)

/* The caller's stream reports that bytes were sent when as many as its watermark, or fewer, are
 * left. */
static void
set_paused (HtFlow *self, gboolean paused)
{
  HtSource *source = self->source;

  bufferevent_setwatermark (self->stream, EV_WRITE, paused ? RESUME_BYTES : 0, 0);
  source->is_paused = paused;
  source->set_paused (source, paused);
}

void
ht_flow_update (HtFlow *self)
{
  gsize unsent = evbuffer_get_length (bufferevent_get_output (self->stream));

  if (self->source == NULL)
    return;
  if (!self->source->is_paused && unsent > PAUSE_BYTES)
    set_paused (self, TRUE);
  else if (self->source->is_paused && unsent <= RESUME_BYTES)
    set_paused (self, FALSE);
}

void
ht_flow_disconnect (HtFlow *self)
{
  if (self->source == NULL)
    return;
  if (self->source->is_paused)
    set_paused (self, FALSE);
  self->source->flow = NULL;
  self->source = NULL;
}

void
ht_flow_connect (HtFlow *self, HtSource *source)
{
  ht_flow_disconnect (self);
  if (source->flow != NULL)
    ht_flow_disconnect (source->flow);
  self->source = source;
  source->flow = self;
  ht_flow_update (self);
}
