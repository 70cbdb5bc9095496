#include "coord/credit_private.h"
#include "coord/request_id.h"

/* A request is a leak when, for this time, the engine has listed it and its entry has been replaced
   or has claimed nothing. */
#define LEAK_DELAY (3 * KNL_SEC)

/* The same for an entry that is missing but not known to be replaced: longer than most network
   partitions last. */
#define MISSING_LEAK_DELAY (60 * KNL_SEC)

void
co_credit_note_listed (CoCredit *credit, const EpReport *report)
{
  GHashTable *listed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);

  for (guint i = 0; i < report->n_running; i++)
    {
      const char *request = report->running[i].request;
      const KnlTime *since = g_hash_table_lookup (credit->listed, request);
      KnlTime *copy = g_new (KnlTime, 1);

      *copy = since != NULL ? *since : co_credit_now (credit);
      g_hash_table_insert (listed, g_strdup (request), copy);
    }
  g_hash_table_destroy (credit->listed);
  credit->listed = listed;
}

/* Whether no running entry owns the account's requests at the engine any longer. */
static gboolean
is_orphaned (CoCredit *credit,
             CoCreditAccount *account,
             const char *entry,
             guint64 incarnation,
             CoEntryStateFunc state_of,
             gpointer data)
{
  KnlTime now = co_credit_now (credit);
  CoEntryState state = state_of (entry, incarnation, data);

  /*
   * An entry that is cut off from the controllers, or while there are none, continues
   * its streams. If it were treated as dead at once, its streams would be cancelled.
   */
  if (state == CO_ENTRY_PRESENT
      || (state == CO_ENTRY_MISSING && co_credit_is_live (credit, account)))
    account->absent_since = KNL_NEVER;
  else if (account->absent_since == KNL_NEVER)
    account->absent_since = now;
  if (account->absent_since != KNL_NEVER
      && now - account->absent_since
             >= (state == CO_ENTRY_MISSING ? MISSING_LEAK_DELAY : LEAK_DELAY))
    return TRUE;
  return co_credit_is_live (credit, account) && account->unclaimed_since != KNL_NEVER
         && now - account->unclaimed_since >= LEAK_DELAY;
}

GPtrArray *
co_credit_leaks (CoCredit *credit, CoEntryStateFunc state_of, gpointer data)
{
  GPtrArray *leaks = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, credit->listed);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      char *entry = NULL;
      guint64 incarnation = 0;
      CoCreditAccount *account;

      if (!co_request_parse (key, &entry, &incarnation))
        continue;
      account = co_credit_account (credit, entry, incarnation, TRUE);
      if (is_orphaned (credit, account, entry, incarnation, state_of, data)
          && co_credit_now (credit) - *(const KnlTime *)value >= LEAK_DELAY)
        g_ptr_array_add (leaks, g_strdup (key));
      g_free (entry);
    }
  return leaks;
}
