#include "coord/gossip.h"

typedef struct
{
  Alderturn__MemberKind kind;
  char *name;
  guint sent;
  guint64 order;
} Item;

struct CoGossip
{
  GSequence *items;  /* Item, by number of sends, then by age */
  GHashTable *index; /* Item -> GSequenceIter */
  guint64 last_order;
};

static gint
compare (gconstpointer a, gconstpointer b, gpointer data)
{
  const Item *x = a;
  const Item *y = b;

  if (x->sent != y->sent)
    return x->sent < y->sent ? -1 : 1;
  return x->order < y->order ? -1 : x->order > y->order;
}

static guint
item_hash (gconstpointer key)
{
  const Item *item = key;

  return g_str_hash (item->name) + (guint)item->kind;
}

static gboolean
item_equal (gconstpointer a, gconstpointer b)
{
  const Item *x = a;
  const Item *y = b;

  return x->kind == y->kind && g_str_equal (x->name, y->name);
}

static void
item_free (gpointer data)
{
  Item *item = data;

  g_free (item->name);
  g_free (item);
}

CoGossip *
co_gossip_new (void)
{
  CoGossip *gossip = g_new0 (CoGossip, 1);

  gossip->items = g_sequence_new (item_free);
  gossip->index = g_hash_table_new (item_hash, item_equal);
  return gossip;
}

void
co_gossip_free (CoGossip *gossip)
{
  g_hash_table_unref (gossip->index);
  g_sequence_free (gossip->items);
  g_free (gossip);
}

static void
remove_item (CoGossip *gossip, Item *item)
{
  GSequenceIter *iter = g_hash_table_lookup (gossip->index, item);

  if (iter == NULL)
    return;
  g_hash_table_remove (gossip->index, item);
  g_sequence_remove (iter);
}

void
co_gossip_add (CoGossip *gossip, Alderturn__MemberKind kind, const char *name)
{
  Item *item = g_new0 (Item, 1);

  item->kind = kind;
  item->name = g_strdup (name);
  item->order = ++gossip->last_order;
  remove_item (gossip, item);
  g_hash_table_insert (gossip->index, item,
                       g_sequence_insert_sorted (gossip->items, item, compare, NULL));
}

void
co_gossip_pick (CoGossip *gossip, guint count, guint max_sends, CoGossipFunc func, gpointer data)
{
  GPtrArray *batch = g_ptr_array_new ();
  GSequenceIter *iter = g_sequence_get_begin_iter (gossip->items);

  for (; batch->len < count && !g_sequence_iter_is_end (iter); iter = g_sequence_iter_next (iter))
    g_ptr_array_add (batch, g_sequence_get (iter));
  for (guint i = 0; i < batch->len; i++)
    {
      Item *item = g_ptr_array_index (batch, i);

      func (item->kind, item->name, data);
      item->sent++;
      if (item->sent >= max_sends)
        remove_item (gossip, item);
      else
        g_sequence_sort_changed (g_hash_table_lookup (gossip->index, item), compare, NULL);
    }
  g_ptr_array_unref (batch);
}

guint
co_gossip_length (const CoGossip *gossip)
{
  return g_hash_table_size (gossip->index);
}
