#pragma once

/**
 * The entry's link to a controller: the local controller or, while that is
 * unreachable or silent, any other known controller.
 */

#include "wire/link.h"

typedef struct EnUplink EnUplink;

typedef struct
{
  /** A link to a controller has opened; state that depends on it has to be requested again. */
  void (*on_up) (gpointer data);
  void (*on_down) (gpointer data);
  void (*on_frame) (const Alderturn__Frame *frame, gpointer data);
} EnUplinkEvents;

typedef struct
{
  /** Sends on the open link; drops the frame while there is none. */
  void (*send) (EnUplink *uplink, const Alderturn__Frame *frame);
  gboolean (*is_up) (EnUplink *uplink);
  void (*set_events) (EnUplink *uplink, const EnUplinkEvents *events, gpointer data);
  /** Sets the NULL-terminated addresses of all known controllers; the array is copied. */
  void (*set_others) (EnUplink *uplink, const char *const *addresses);
  void (*free) (EnUplink *uplink);
} EnUplinkClass;

struct EnUplink
{
  const EnUplinkClass *klass;
};

/** Creates an uplink over `transport`, which must outlive it; connects once events are set. */
EnUplink *en_uplink_new (KnlKernel *kernel, WrTransport *transport, const char *local_address);

static inline void
en_uplink_send (EnUplink *uplink, const Alderturn__Frame *frame)
{
  uplink->klass->send (uplink, frame);
}

static inline gboolean
en_uplink_is_up (EnUplink *uplink)
{
  return uplink->klass->is_up (uplink);
}

static inline void
en_uplink_set_events (EnUplink *uplink, const EnUplinkEvents *events, gpointer data)
{
  uplink->klass->set_events (uplink, events, data);
}

static inline void
en_uplink_set_others (EnUplink *uplink, const char *const *addresses)
{
  uplink->klass->set_others (uplink, addresses);
}

static inline void
en_uplink_free (EnUplink *uplink)
{
  uplink->klass->free (uplink);
}
