#pragma once

/**
 * A client's call in memory: it is transmitted to the far end, executed on that
 * end's kernel, and answered by one or more pieces on the client's kernel. A call
 * in flight is executed even when its client has given up or is frozen.
 */

#include "kernel/kernel.h"

typedef struct FkCall FkCall;

/** A client's calls that have not ended. */
typedef struct
{
  KnlKernel *kernel;
  KnlTime latency; /**< in one direction */
  guint64 last_id;
  GHashTable *open; /* id -> FkCall */
} FkCalls;

typedef struct
{
  /** The call has arrived at the far end. */
  void (*arrive) (FkCall *call);
  /** The client receives a piece of the answer; NULL: the time limit has passed. The call
   * stays open until the implementation ends it with fk_call_end(). */
  void (*receive) (FkCall *call, gpointer piece);
  /** The client has closed its end; may be NULL. */
  void (*closed) (FkCall *call);
  /** The far end's process has ended. */
  void (*lost) (FkCall *call);
  void (*destroy) (FkCall *call);
  GDestroyNotify free_piece; /**< may be NULL */
} FkCallClass;

/** First member of a call. */
struct FkCall
{
  const FkCallClass *klass;
  guint64 id;
  FkCalls *calls;           /* NULL once it has ended for the client */
  KnlKernel *far_kernel;    /* kernel of the far end */
  GHashTable *in_flight;    /* set of the far end's calls in flight; contains this one */
  KnlTimerId arrival_timer; /* arrival at the far end */
  gboolean attached;        /* the far end still works on it after arrive() */
  guint pins;               /* callbacks on the stack that use it; it isn't freed meanwhile */
  KnlTimerId limit;
  GQueue pieces; /* Piece, in transit to the client */
};

void fk_calls_init (FkCalls *calls, KnlKernel *kernel);

/** Ends all calls; those in flight are still executed. */
void fk_calls_clear (FkCalls *calls);

/** Ends the call with this id, if it is still open. */
void fk_calls_drop (FkCalls *calls, guint64 id);

/** Opens `call`, allocated by the caller. */
void fk_call_open (FkCall *call, const FkCallClass *klass, FkCalls *calls, KnlTime limit);

/** Sets the time limit for the next piece, counted from now. */
void fk_call_set_limit (FkCall *call, KnlTime limit);

/** Sends the call to `far_kernel`; `in_flight` contains it until the far end has finished with it.
 */
void fk_call_send (FkCall *call, KnlKernel *far_kernel, GHashTable *in_flight);

/** Called within arrive(): arrive() is called again after `delay`. */
void fk_call_arrive_later (FkCall *call, KnlTime delay);

/** Whether the far end keeps working on the call, or has finished with it. */
void fk_call_set_attached (FkCall *call, gboolean attached);

/** Sends `piece` to the client, where it arrives after `delay` and the latency. Takes ownership;
 * the piece is freed at once if the call has ended. */
void fk_call_answer (FkCall *call, KnlTime delay, gpointer piece);

/** Closes the client's end; pieces in transit are dropped. */
void fk_call_end (FkCall *call);

/** Frees the call unless one of the ends still uses it. */
void fk_call_release (FkCall *call);

/** Drops all calls at a far end that ends; with `notify`, lost() is called for each. */
void fk_calls_abort (GHashTable *in_flight, gboolean notify);
