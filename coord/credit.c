#include "coord/credit_private.h"

#include <string.h>

#include "common/log.h"
#include "coord/fair_share.h"
#include "coord/request_id.h"

/* After a takeover nothing is granted for the TTL plus 1/4 of it, as clocks may differ in speed. */
#define TAKEOVER_MARGIN_DIVISOR 4

/* An entry that has sent no request for this many TTLs is no longer counted in the sharing. */
#define ENTRY_TIMEOUT_TTLS 2

/* The first entry in the queue for large requests goes to the back after this time in the queue,
   so that an entry whose request can't be served doesn't block the others. */
#define LARGE_REQUEST_QUEUE_PERIOD (30 * KNL_SEC)

KnlTime
co_credit_now (const CoCredit *credit)
{
  return knl_kernel_now (credit->options.kernel);
}

static void
account_free (gpointer data)
{
  CoCreditAccount *account = data;

  g_free (account->name);
  g_array_free (account->grants, TRUE);
  g_free (account);
}

KnlTime
co_credit_grant_lifetime (const CoCreditOptions *options)
{
  return options->ttl + options->ttl / TAKEOVER_MARGIN_DIVISOR;
}

CoCredit *
co_credit_new (const CoCreditOptions *options, KnlTime frozen_until)
{
  CoCredit *credit = g_new0 (CoCredit, 1);

  credit->options = *options;
  /*
   * The former holder may have granted the full capacity just before. Granting it
   * again at once would overcommit the engine, and it would run out of memory.
   */
  credit->frozen_until = frozen_until;
  credit->accounts = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, account_free);
  credit->listed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return credit;
}

void
co_credit_free (CoCredit *credit)
{
  if (credit == NULL)
    return;
  g_hash_table_destroy (credit->accounts);
  g_hash_table_destroy (credit->listed);
  g_free (credit);
}

CoCreditAccount *
co_credit_account (CoCredit *credit, const char *entry, guint64 incarnation, gboolean create)
{
  char *name = g_strdup_printf ("%s~%" G_GUINT64_FORMAT, entry, incarnation);
  CoCreditAccount *account = g_hash_table_lookup (credit->accounts, name);

  if (account == NULL && create)
    {
      account = g_new0 (CoCreditAccount, 1);
      account->name = g_strdup (name);
      account->grants = g_array_new (FALSE, FALSE, sizeof (CoCreditGrant));
      account->last_seen_at = -1;
      account->unclaimed_since = KNL_NEVER;
      account->absent_since = KNL_NEVER;
      g_hash_table_insert (credit->accounts, account->name, account);
    }
  g_free (name);
  return account;
}

static void
remove_expired_grants (CoCreditAccount *account, KnlTime now)
{
  while (account->grants->len > 0
         && g_array_index (account->grants, CoCreditGrant, 0).expires <= now)
    g_array_remove_index (account->grants, 0);
}

gboolean
co_credit_is_live (const CoCredit *credit, const CoCreditAccount *account)
{
  return account->last_seen_at >= 0
         && co_credit_now (credit) - account->last_seen_at
                < ENTRY_TIMEOUT_TTLS * credit->options.ttl;
}

/* Tokens and slots that count as granted to the account: any of its unexpired grants may be in
   use. */
static void
committed_to (const CoCredit *credit, CoCreditAccount *account, guint64 *tokens, guint *slots)
{
  *tokens = account->running_tokens;
  *slots = account->running_slots;
  remove_expired_grants (account, co_credit_now (credit));
  for (guint i = 0; i < account->grants->len; i++)
    {
      const CoCreditGrant *grant = &g_array_index (account->grants, CoCreditGrant, i);

      *tokens = MAX (*tokens, grant->tokens);
      *slots = MAX (*slots, grant->slots);
    }
  /* A silent entry's claim no longer counts; from then on only the engine's report does. */
  if (co_credit_is_live (credit, account))
    {
      *tokens = MAX (*tokens, account->claimed_tokens);
      *slots = MAX (*slots, account->claimed_slots);
    }
}

static void
committed_to_others (CoCredit *credit, const CoCreditAccount *except, guint64 *tokens, guint *slots)
{
  GHashTableIter iter;
  gpointer value;

  *tokens = credit->foreign_tokens;
  *slots = credit->foreign_slots;
  g_hash_table_iter_init (&iter, credit->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      guint64 account_tokens;
      guint account_slots;

      if (value == except)
        continue;
      committed_to (credit, value, &account_tokens, &account_slots);
      *tokens += account_tokens;
      *slots += account_slots;
    }
}

static gboolean
account_is_empty (const CoCredit *credit, const CoCreditAccount *account)
{
  return account->grants->len == 0 && account->running_slots == 0 && account->running_tokens == 0
         && !co_credit_is_live (credit, account);
}

static void
count_running (CoCredit *credit, const EpRunning *running)
{
  char *instance = NULL;
  guint64 incarnation = 0;
  CoCreditAccount *account;

  if (!co_request_parse (running->request, &instance, &incarnation))
    {
      credit->foreign_tokens += running->tokens;
      credit->foreign_slots++;
      return;
    }
  account = co_credit_account (credit, instance, incarnation, TRUE);
  account->running_tokens += running->tokens;
  account->running_slots++;
  g_free (instance);
}

void
co_credit_report (CoCredit *credit, const EpReport *report)
{
  GHashTableIter iter;
  gpointer value;

  credit->reported = TRUE;
  credit->capacity_tokens = report->capacity_tokens;
  credit->capacity_slots = report->capacity_slots;
  credit->used_tokens = report->used_tokens;
  credit->waiting = report->waiting;
  credit->prefill_backlog = report->prefill_backlog;
  credit->leaving = report->leaving;
  credit->report_made_at = co_credit_now (credit) - report->age;
  credit->foreign_tokens = 0;
  credit->foreign_slots = 0;
  g_hash_table_iter_init (&iter, credit->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      ((CoCreditAccount *)value)->running_tokens = 0;
      ((CoCreditAccount *)value)->running_slots = 0;
    }
  for (guint i = 0; i < report->n_running; i++)
    count_running (credit, &report->running[i]);
  co_credit_note_listed (credit, report);
  g_hash_table_iter_init (&iter, credit->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      remove_expired_grants (value, co_credit_now (credit));
      if (account_is_empty (credit, value))
        g_hash_table_iter_remove (&iter);
    }
}

static void
note_claim (CoCredit *credit, CoCreditAccount *account, guint64 tokens, guint slots)
{
  KnlTime now = co_credit_now (credit);

  account->last_seen_at = now;
  account->claimed_tokens = tokens;
  account->claimed_slots = slots;
  if (tokens > 0 || slots > 0)
    account->unclaimed_since = KNL_NEVER;
  else if (account->unclaimed_since == KNL_NEVER)
    account->unclaimed_since = now;
}

void
co_credit_note_unclaimed (CoCredit *credit, const char *entry, guint64 incarnation)
{
  CoCreditAccount *account = co_credit_account (credit, entry, incarnation, FALSE);

  if (account == NULL)
    return;
  note_claim (credit, account, 0, 0);
  account->wanted_tokens = 0;
  account->wanted_slots = 0;
  account->largest = 0;
}

static gint
compare_wants (gconstpointer a, gconstpointer b)
{
  guint64 x = *(const guint64 *)a;
  guint64 y = *(const guint64 *)b;

  return x < y ? -1 : x > y;
}

static void
collect_wants (const CoCredit *credit, GArray *tokens, GArray *slots)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, credit->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const CoCreditAccount *account = value;
      guint64 wanted_slots = account->wanted_slots;

      if (!co_credit_is_live (credit, account))
        continue;
      g_array_append_val (tokens, account->wanted_tokens);
      g_array_append_val (slots, wanted_slots);
    }
  g_array_sort (tokens, compare_wants);
  g_array_sort (slots, compare_wants);
}

/*
 * With an even division of a busy engine, no entry would ever get enough for a large
 * request: each would hold a share that it can't use until its request times out. So
 * entries with a large request queue, and the first in line may accumulate tokens.
 */
static CoCreditAccount *
find_first_in_queue (const CoCredit *credit)
{
  GHashTableIter iter;
  gpointer value;
  CoCreditAccount *first = NULL;

  g_hash_table_iter_init (&iter, credit->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      CoCreditAccount *account = value;

      if (account->largest == 0 || !co_credit_is_live (credit, account))
        continue;
      if (first == NULL || account->queued_since < first->queued_since
          || (account->queued_since == first->queued_since
              && strcmp (account->name, first->name) < 0))
        first = account;
    }
  return first;
}

static void
note_largest (const CoCredit *credit, CoCreditAccount *account, guint64 largest)
{
  KnlTime now = co_credit_now (credit);

  if (account->largest == 0
      || (now - account->queued_since > LARGE_REQUEST_QUEUE_PERIOD
          && find_first_in_queue (credit) == account))
    account->queued_since = now;
  account->largest = largest;
}

/* Tokens that the account which is first in line should have. */
static guint64
first_in_queue_tokens (const CoCredit *credit, const CoCreditAccount *first_in_queue)
{
  return MIN (first_in_queue->claimed_tokens + first_in_queue->largest, credit->capacity_tokens);
}

/* Tokens that the account should have, regardless of what others still hold. */
static guint64
target_tokens (const CoCredit *credit, const CoCreditAccount *account, const GArray *wants)
{
  CoCreditAccount *first_in_queue = find_first_in_queue (credit);
  guint64 left = credit->capacity_tokens;

  if (first_in_queue == account)
    return MAX (first_in_queue_tokens (credit, first_in_queue),
                co_fair_share (wants, account->wanted_tokens, left, credit->options.reserve));
  if (first_in_queue != NULL)
    left -= first_in_queue_tokens (credit, first_in_queue);
  return co_fair_share (wants, account->wanted_tokens, left, credit->options.reserve);
}

static void
add_grant (CoCredit *credit, CoCreditAccount *account, guint64 tokens, guint slots)
{
  CoCreditGrant grant = {
    .tokens = tokens,
    .slots = slots,
    .expires = co_credit_now (credit) + credit->options.ttl,
  };

  /* This grant covers older ones that aren't larger, as it expires later. */
  for (guint i = account->grants->len; i > 0; i--)
    {
      const CoCreditGrant *older = &g_array_index (account->grants, CoCreditGrant, i - 1);

      if (older->tokens <= tokens && older->slots <= slots)
        g_array_remove_index (account->grants, i - 1);
    }
  g_array_append_val (account->grants, grant);
}

static void
fill_grant (const CoCredit *credit, guint64 tokens, guint slots, Alderturn__CreditGrant *grant)
{
  KnlTime age = co_credit_now (credit) - credit->report_made_at;

  grant->tokens = tokens;
  grant->slots = slots;
  grant->ttl_ms = (guint32)(credit->options.ttl / KNL_MSEC);
  grant->capacity_tokens = credit->capacity_tokens;
  grant->capacity_slots = credit->capacity_slots;
  grant->used_tokens = credit->used_tokens;
  grant->waiting = credit->waiting;
  grant->report_age_ms = (guint32)MIN (age / KNL_MSEC, G_MAXUINT32);
  grant->prefill_backlog = credit->prefill_backlog;
  grant->leaving = credit->leaving;
}

gboolean
co_credit_grant (CoCredit *credit,
                 const char *entry,
                 guint64 incarnation,
                 const Alderturn__CreditWant *want,
                 Alderturn__CreditGrant *grant)
{
  CoCreditAccount *account = co_credit_account (credit, entry, incarnation, TRUE);
  GArray *wants = g_array_new (FALSE, FALSE, sizeof (guint64));
  GArray *slot_wants = g_array_new (FALSE, FALSE, sizeof (guint64));
  guint64 tokens;
  guint64 slots;
  guint64 other_tokens;
  guint other_slots;
  gboolean granted = credit->reported && co_credit_now (credit) >= credit->frozen_until;

  note_claim (credit, account, want->used_tokens, want->used_slots);
  account->wanted_tokens = want->used_tokens + want->wanted_tokens;
  account->wanted_slots = want->used_slots + want->wanted_slots;
  note_largest (credit, account, want->largest_tokens);
  if (!granted)
    goto out;
  collect_wants (credit, wants, slot_wants);
  committed_to_others (credit, account, &other_tokens, &other_slots);
  tokens = target_tokens (credit, account, wants);
  slots = co_fair_share (slot_wants, account->wanted_slots, credit->capacity_slots,
                         credit->options.reserve);
  tokens = MIN (tokens, credit->capacity_tokens - MIN (credit->capacity_tokens, other_tokens));
  slots = MIN (slots, credit->capacity_slots - MIN (credit->capacity_slots, other_slots));
  cm_invariant (tokens == 0 || tokens + other_tokens <= credit->capacity_tokens,
                "grants-within-capacity");
  cm_invariant (slots == 0 || slots + other_slots <= credit->capacity_slots, "grants-within-slots");
  add_grant (credit, account, tokens, (guint)slots);
  fill_grant (credit, tokens, (guint)slots, grant);
out:
  g_array_free (wants, TRUE);
  g_array_free (slot_wants, TRUE);
  return granted;
}

guint64
co_credit_committed (CoCredit *credit)
{
  guint64 tokens;
  guint slots;

  committed_to_others (credit, NULL, &tokens, &slots);
  return tokens;
}

guint64
co_credit_capacity (const CoCredit *credit)
{
  return credit->capacity_tokens;
}
