#include "memory_network.h"

#include "wire/session.h"

typedef struct Pipe Pipe;

typedef struct
{
  WrTransport base;
  WrSessionHost host;
  FkNetwork *network;
} Node;

typedef struct
{
  Node *node;
  char *address;
  WrAcceptFunc accept;
  gpointer data;
} Listener;

typedef enum
{
  CHUNK_CONNECT,
  CHUNK_CONNECTED,
  CHUNK_BYTES,
  CHUNK_END,
} ChunkKind;

typedef struct
{
  ChunkKind kind;
  KnlTime due;
  GBytes *bytes;
} Chunk;

/* One end of a pipe, with the chunks on their way to it. */
typedef struct
{
  WrChannel base;
  Pipe *pipe;
  Node *node;         /* NULL: freed */
  WrSession *session; /* NULL: not yet accepted, or closed */
  gboolean closed;
  GQueue chunks;
  gsize queued_bytes; /* bytes in `chunks` */
  KnlTimerId timer;
} End;

struct Pipe
{
  FkNetwork *network;
  End ends[2]; /* connecting end, accepting end */
  Listener *listener;
  gboolean frozen;
};

struct FkNetwork
{
  GPtrArray *listeners;
  GPtrArray *pipes;
  GHashTable *blocked; /* set of "FROM>TO" */
  GHashTable *refusing;
  KnlTime within_zone;
  KnlTime between_zones;
  guint64 sent; /* bytes sent by all nodes */
};

static void deliver (gpointer data);

static End *
other_end (End *end)
{
  return end == &end->pipe->ends[0] ? &end->pipe->ends[1] : &end->pipe->ends[0];
}

static void
chunk_free (gpointer data)
{
  Chunk *chunk = data;

  g_bytes_unref (chunk->bytes);
  g_free (chunk);
}

static gboolean
pair_is_blocked (FkNetwork *network, const char *from, const char *to)
{
  g_autofree char *key = g_strdup_printf ("%s>%s", from, to);
  gboolean blocked = g_hash_table_contains (network->blocked, key);

  return blocked;
}

/** Whether chunks on their way to `end` are held back. */
static gboolean
is_blocked (End *end)
{
  FkNetwork *network = end->pipe->network;
  End *sender = other_end (end);
  const char *to = end->node->host.identity->instance;
  const char *from = sender->node != NULL ? sender->node->host.identity->instance : "*";

  return end->pipe->frozen || pair_is_blocked (network, from, to)
         || pair_is_blocked (network, "*", to) || pair_is_blocked (network, from, "*");
}

static void
schedule_delivery (End *end)
{
  Chunk *chunk = g_queue_peek_head (&end->chunks);
  KnlKernel *kernel;

  if (chunk == NULL || end->timer != 0 || end->node == NULL || is_blocked (end))
    return;
  kernel = end->node->host.kernel;
  end->timer = knl_timer_start (kernel, chunk->due - knl_kernel_now (kernel), deliver, end);
}

static KnlTime
delay_between (FkNetwork *network, const Node *a, const Node *b)
{
  return g_strcmp0 (a->host.identity->zone, b->host.identity->zone) == 0 ? network->within_zone
                                                                         : network->between_zones;
}

/** Queues a chunk from node `from` to `end`. */
static void
enqueue_chunk (End *end, Node *from, ChunkKind kind, const guint8 *bytes, gsize count)
{
  Chunk *chunk;

  if (end->closed || end->node == NULL)
    return;
  chunk = g_new0 (Chunk, 1);
  chunk->kind = kind;
  chunk->due =
      knl_kernel_now (from->host.kernel) + delay_between (end->pipe->network, from, end->node);
  chunk->bytes = g_bytes_new (bytes, count);
  end->queued_bytes += count;
  g_queue_push_tail (&end->chunks, chunk);
  schedule_delivery (end);
}

static void
end_clear (End *end)
{
  Chunk *chunk;

  if (end->node != NULL)
    knl_timer_stop (end->node->host.kernel, &end->timer);
  while ((chunk = g_queue_pop_head (&end->chunks)) != NULL)
    chunk_free (chunk);
  end->closed = TRUE;
  end->session = NULL;
}

static void
pipe_free (gpointer data)
{
  Pipe *pipe = data;

  end_clear (&pipe->ends[0]);
  end_clear (&pipe->ends[1]);
  g_free (pipe);
}

static void
end_close (End *end)
{
  Pipe *pipe = end->pipe;
  End *other = other_end (end);

  if (end->closed)
    return;
  end_clear (end);
  enqueue_chunk (other, end->node, CHUNK_END, NULL, 0);
  if (other->closed)
    g_ptr_array_remove_fast (pipe->network->pipes, pipe);
}

static void
channel_write (WrChannel *channel, const guint8 *bytes, gsize count)
{
  End *end = (End *)channel;

  end->pipe->network->sent += count;
  enqueue_chunk (other_end (end), end->node, CHUNK_BYTES, bytes, count);
}

static gsize
channel_unsent (WrChannel *channel)
{
  return other_end ((End *)channel)->queued_bytes;
}

static void
channel_close (WrChannel *channel)
{
  end_close ((End *)channel);
}

static const WrChannelClass channel_class = {
  .write = channel_write,
  .unsent = channel_unsent,
  .close = channel_close,
};

static void
accept_connection (End *end)
{
  Listener *listener = end->pipe->listener;
  End *connecting = other_end (end);
  const char *from = connecting->node != NULL ? connecting->node->host.identity->instance : "?";

  if (listener == NULL)
    {
      end_close (end);
      return;
    }
  end->session =
      wr_session_accept (&end->node->host, &end->base, from, listener->accept, listener->data);
  enqueue_chunk (connecting, end->node, CHUNK_CONNECTED, NULL, 0);
}

static void
deliver (gpointer data)
{
  End *end = data;
  Chunk *chunk;
  const guint8 *bytes;
  gsize count;

  end->timer = 0;
  if (is_blocked (end))
    return;
  chunk = g_queue_pop_head (&end->chunks);
  bytes = g_bytes_get_data (chunk->bytes, &count);
  end->queued_bytes -= count;
  schedule_delivery (end);
  /* The session may close this end and free the pipe: `end` must not be used after the call. */
  if (chunk->kind == CHUNK_CONNECT)
    accept_connection (end);
  else if (chunk->kind == CHUNK_CONNECTED)
    wr_session_connected (end->session);
  else if (chunk->kind == CHUNK_BYTES)
    wr_session_receive (end->session, bytes, count);
  else if (end->session != NULL)
    wr_session_lost (end->session);
  else
    end_close (end);
  chunk_free (chunk);
}

static Listener *
find_listener (FkNetwork *network, const char *address)
{
  for (guint i = 0; i < network->listeners->len; i++)
    {
      Listener *listener = g_ptr_array_index (network->listeners, i);

      if (g_strcmp0 (listener->address, address) == 0)
        return listener;
    }
  return NULL;
}

static void
listener_free (gpointer data)
{
  Listener *listener = data;

  g_free (listener->address);
  g_free (listener);
}

static gboolean
node_listen (WrTransport *transport, const char *address, WrAcceptFunc accept, gpointer data)
{
  Node *node = (Node *)transport;
  Listener *listener;

  if (find_listener (node->network, address) != NULL)
    return FALSE;
  listener = g_new0 (Listener, 1);
  *listener = (Listener){ node, g_strdup (address), accept, data };
  g_ptr_array_add (node->network->listeners, listener);
  return TRUE;
}

static gboolean
is_refused (FkNetwork *network, const Listener *listener)
{
  return listener == NULL
         || g_hash_table_contains (network->refusing, listener->node->host.identity->instance);
}

static WrLink *
node_connect (WrTransport *transport,
              const char *address,
              const WrLinkEvents *events,
              gpointer data)
{
  Node *node = (Node *)transport;
  Listener *listener = find_listener (node->network, address);
  Pipe *pipe;

  if (is_refused (node->network, listener))
    return (WrLink *)wr_session_connect (&node->host, NULL, address, events, data);
  pipe = g_new0 (Pipe, 1);
  pipe->network = node->network;
  pipe->listener = listener;
  for (guint i = 0; i < 2; i++)
    {
      pipe->ends[i].base.klass = &channel_class;
      pipe->ends[i].pipe = pipe;
      pipe->ends[i].node = i == 0 ? node : listener->node;
    }
  g_ptr_array_add (node->network->pipes, pipe);
  pipe->ends[0].session =
      wr_session_connect (&node->host, &pipe->ends[0].base, address, events, data);
  enqueue_chunk (&pipe->ends[1], node, CHUNK_CONNECT, NULL, 0);
  return (WrLink *)pipe->ends[0].session;
}

/** Closes the accepting ends of `node`. Those never accepted have no session to close them. */
static void
close_ends_of (Node *node)
{
  GPtrArray *pipes = node->network->pipes;

  for (guint i = pipes->len; i > 0; i--)
    {
      Pipe *pipe = g_ptr_array_index (pipes, i - 1);
      End *end = &pipe->ends[1];

      if (pipe->listener != NULL && pipe->listener->node == node)
        pipe->listener = NULL;
      if (end->node == node)
        end_close (end);
    }
}

static void
detach_node (Node *node)
{
  for (guint i = 0; i < node->network->pipes->len; i++)
    {
      Pipe *pipe = g_ptr_array_index (node->network->pipes, i);

      for (guint j = 0; j < 2; j++)
        {
          if (pipe->ends[j].node == node)
            pipe->ends[j].node = NULL;
        }
    }
}

static void
node_free (WrTransport *transport)
{
  Node *node = (Node *)transport;
  GPtrArray *listeners = node->network->listeners;

  wr_session_host_clear (&node->host);
  close_ends_of (node);
  detach_node (node);
  for (guint i = listeners->len; i > 0; i--)
    {
      if (((Listener *)g_ptr_array_index (listeners, i - 1))->node == node)
        g_ptr_array_remove_index_fast (listeners, i - 1);
    }
  g_free (node);
}

static const WrTransportClass node_class = {
  .listen = node_listen,
  .connect = node_connect,
  .free = node_free,
};

WrTransport *
fk_network_transport_new (FkNetwork *network,
                          KnlKernel *kernel,
                          const WrIdentity *identity,
                          const guint64 *config_revision)
{
  Node *node = g_new0 (Node, 1);

  node->base.klass = &node_class;
  node->network = network;
  wr_session_host_init (&node->host, kernel, identity, config_revision);
  return &node->base;
}

FkNetwork *
fk_network_new (void)
{
  FkNetwork *network = g_new0 (FkNetwork, 1);

  network->listeners = g_ptr_array_new_with_free_func (listener_free);
  network->pipes = g_ptr_array_new_with_free_func (pipe_free);
  network->blocked = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  network->refusing = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  network->within_zone = 100 * KNL_USEC;
  network->between_zones = KNL_MSEC;
  return network;
}

void
fk_network_free (FkNetwork *network)
{
  g_ptr_array_unref (network->pipes);
  g_ptr_array_unref (network->listeners);
  g_hash_table_unref (network->blocked);
  g_hash_table_unref (network->refusing);
  g_free (network);
}

void
fk_network_set_delay (FkNetwork *network, KnlTime within_zone, KnlTime between_zones)
{
  network->within_zone = within_zone;
  network->between_zones = between_zones;
}

void
fk_network_block (FkNetwork *network, const char *from, const char *to, gboolean blocked)
{
  char *key = g_strdup_printf ("%s>%s", from != NULL ? from : "*", to != NULL ? to : "*");

  if (blocked)
    {
      g_hash_table_add (network->blocked, key);
      return;
    }
  g_hash_table_remove (network->blocked, key);
  g_free (key);
  for (guint i = 0; i < network->pipes->len; i++)
    {
      Pipe *pipe = g_ptr_array_index (network->pipes, i);

      schedule_delivery (&pipe->ends[0]);
      schedule_delivery (&pipe->ends[1]);
    }
}

void
fk_network_cut_off (FkNetwork *network, const char *instance, gboolean cut_off)
{
  fk_network_block (network, instance, NULL, cut_off);
  fk_network_block (network, NULL, instance, cut_off);
}

static gboolean
end_belongs_to (const End *end, const char *instance)
{
  return end->node != NULL && g_strcmp0 (end->node->host.identity->instance, instance) == 0;
}

void
fk_network_freeze (FkNetwork *network, const char *a, const char *b)
{
  for (guint i = 0; i < network->pipes->len; i++)
    {
      Pipe *pipe = g_ptr_array_index (network->pipes, i);

      if ((end_belongs_to (&pipe->ends[0], a) && end_belongs_to (&pipe->ends[1], b))
          || (end_belongs_to (&pipe->ends[0], b) && end_belongs_to (&pipe->ends[1], a)))
        pipe->frozen = TRUE;
    }
}

void
fk_network_refuse (FkNetwork *network, const char *instance, gboolean refuse)
{
  if (refuse)
    g_hash_table_add (network->refusing, g_strdup (instance));
  else
    g_hash_table_remove (network->refusing, instance);
}

guint64
fk_network_bytes_sent (const FkNetwork *network)
{
  return network->sent;
}
