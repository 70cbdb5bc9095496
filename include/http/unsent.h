#pragma once

/**
 * The bytes that a process holds in memory because a caller, an endpoint or a peer hasn't read them
 * yet, summed over the connections of servers and clients. When the sum reaches its bound, the
 * connection that holds the most is ended first, until the sum is below the bound. Bytes that have
 * been held for a while decide before those that have just been written: a caller that reads a fast
 * stream may hold as much for a moment as one that has stopped reading.
 */

#include <event2/buffer.h>

#include "kernel/kernel.h"

typedef struct HtUnsent HtUnsent;
typedef struct HtHolder HtHolder;

/** Virtual functions of a kind of connection. */
typedef struct
{
  /** The connection's remote address, "IP:PORT"; free with g_free. */
  char *(*address) (HtHolder *holder);
  /** Ends the connection, so that its answer can't appear complete. Must call ht_holder_leave(). */
  void (*end) (HtHolder *holder);
} HtHolderClass;

/** Part of a connection; its fields are private to unsent.c. */
struct HtHolder
{
  const HtHolderClass *klass;
  HtUnsent *sum; /* NULL: not counted */
  guint index;   /* in the holders of `sum` */
  gsize output;  /* bytes in the connection's output buffer */
  gsize body;    /* bytes of an answer that is collected whole */
  gsize marked;  /* of what was held at the last mark, the bytes that still are */
  gsize old;     /* the same of the mark before */
  struct evbuffer *buffer;
  struct evbuffer_cb_entry *watch;
};

/** `bound` in bytes; 0: the sum isn't bounded. Must outlive the servers and clients that use it. */
HtUnsent *ht_unsent_new (KnlKernel *kernel, gsize bound);

/** All holders must have left; NULL is allowed. */
void ht_unsent_free (HtUnsent *unsent);

gsize ht_unsent_bytes (const HtUnsent *unsent);

/** Whether connections are ended at a bound; `unsent` may be NULL. */
gboolean ht_unsent_is_bounded (const HtUnsent *unsent);

/** Counts the bytes in `output`, the connection's output buffer, from now on. `sum` may be NULL:
 * the connection isn't counted. */
void ht_holder_join (HtHolder *holder,
                     HtUnsent *sum,
                     const HtHolderClass *klass,
                     struct evbuffer *output);

/** Ends the counting; must be called before the output buffer is freed. */
void ht_holder_leave (HtHolder *holder);

/** Sets the number of bytes of the collected answer. */
void ht_holder_set_body (HtHolder *holder, gsize bytes);

/** Bytes that one connection holds. */
typedef struct
{
  gsize held;
  gsize old; /**< of these, the ones held for at least the interval between two marks */
} HtHolding;

/** The index of the connection to end: the one with the most old bytes, of those with equally many
 * the one that holds the most, of equal ones the first. -1: the sum of what they hold is below
 * `bound`, or `bound` is 0. */
gint ht_unsent_choose (const HtHolding *holdings, guint n, gsize bound);
