#include "entry/reservation.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "entry/length_class.h"

typedef struct
{
  EnReservation *owner;
  char *endpoint;
  char *address;
  guint64 tokens; /* of memory */
  EnCharge *charge;
  EnAttempt *attempt;
  EnProgress progress; /* required by the attempt, although a held part has no answer */
  gboolean held;
} Part;

struct EnReservation
{
  EnReservationHost host;
  GPtrArray *parts; /* Part, sorted by engine name; the last one decodes */
  KnlTime started;
  gboolean lost;
};

static void
part_free (gpointer data)
{
  Part *part = data;
  EnAttempt *attempt = part->attempt;

  part->attempt = NULL;
  if (attempt != NULL)
    en_attempt_abort (attempt);
  if (part->charge != NULL)
    en_charge_return (part->charge, part->owner->host.attempt_host->fleet);
  en_progress_clear (&part->progress);
  g_free (part->endpoint);
  g_free (part->address);
  g_free (part);
}

static void
add_part (EnReservation *self, const EnEndpoint *endpoint, guint64 tokens)
{
  Part *part = g_new0 (Part, 1);

  part->owner = self;
  part->endpoint = g_strdup (endpoint->name);
  part->address = g_strdup (endpoint->address);
  part->tokens = tokens;
  en_progress_init (&part->progress);
  g_ptr_array_add (self->parts, part);
}

static guint64
max_part_tokens (const EnReservationHost *host, const EnEndpoint *endpoint, double max_fraction)
{
  return (guint64)((double)en_credits_max_tokens (host->credits, endpoint) * max_fraction);
}

static int
compare_names (gconstpointer a, gconstpointer b)
{
  return strcmp ((*(EnEndpoint *const *)a)->name, (*(EnEndpoint *const *)b)->name);
}

/* Returns the first engines that together have enough, sorted by name as in all entries. */
static GPtrArray *
choose_engines (const EnReservationHost *host,
                const GPtrArray *engines,
                guint64 tokens,
                double max_fraction)
{
  GPtrArray *chosen = g_ptr_array_new ();

  for (guint i = 0; i < engines->len && tokens > 0; i++)
    {
      EnEndpoint *endpoint = g_ptr_array_index (engines, i);

      tokens -= MIN (max_part_tokens (host, endpoint, max_fraction), tokens);
      g_ptr_array_add (chosen, endpoint);
    }
  if (tokens > 0)
    g_ptr_array_set_size (chosen, 0);
  g_ptr_array_sort (chosen, compare_names);
  return chosen;
}

EnReservation *
en_reservation_new (const EnReservationHost *host,
                    const GPtrArray *engines,
                    double max_fraction,
                    guint64 prefill,
                    guint64 answer)
{
  EnReservation *self = g_new0 (EnReservation, 1);
  GPtrArray *chosen = choose_engines (host, engines, prefill + answer, max_fraction);
  guint64 left = prefill + answer;

  self->host = *host;
  self->parts = g_ptr_array_new_with_free_func (part_free);
  self->started = knl_kernel_now (host->attempt_host->kernel);
  for (guint i = 0; i < chosen->len && left > 0; i++)
    {
      const EnEndpoint *endpoint = g_ptr_array_index (chosen, i);
      guint64 tokens = MIN (left, max_part_tokens (host, endpoint, max_fraction));

      /* The answer is never divided: the parts before the last hold only prompt tokens. */
      if (tokens < left)
        tokens = MIN (tokens, left > answer ? left - answer : 0);
      if (tokens == 0)
        continue;
      add_part (self, endpoint, tokens);
      left -= tokens;
    }
  g_ptr_array_unref (chosen);
  if (left == 0)
    return self;
  en_reservation_free (self);
  return NULL;
}

void
en_reservation_free (EnReservation *self)
{
  if (self == NULL)
    return;
  g_ptr_array_unref (self->parts);
  g_free (self);
}

static gboolean
has_capacity (EnReservation *self, const Part *part)
{
  EnEndpoint *endpoint = en_fleet_find (self->host.attempt_host->fleet, part->endpoint);
  EnNeed need = { .tokens = part->tokens, .is_long = TRUE };

  return endpoint != NULL
         && en_endpoint_usable (endpoint, knl_kernel_now (self->host.attempt_host->kernel))
         && en_credits_has_capacity (self->host.credits, endpoint, &need);
}

gboolean
en_reservation_acquire (EnReservation *self)
{
  for (guint i = 0; i < self->parts->len; i++)
    {
      if (!has_capacity (self, g_ptr_array_index (self->parts, i)))
        return FALSE;
    }
  for (guint i = 0; i < self->parts->len; i++)
    {
      Part *part = g_ptr_array_index (self->parts, i);
      EnEndpoint *endpoint = en_fleet_find (self->host.attempt_host->fleet, part->endpoint);

      part->charge = en_charge_new (endpoint, part->tokens, 1);
    }
  return TRUE;
}

guint64
en_reservation_missing_tokens (const EnReservation *self, const char *endpoint)
{
  for (guint i = 0; i < self->parts->len; i++)
    {
      const Part *part = g_ptr_array_index (self->parts, i);

      if (part->charge == NULL && strcmp (part->endpoint, endpoint) == 0)
        return part->tokens;
    }
  return 0;
}

guint
en_reservation_n_parts (const EnReservation *self)
{
  return self->parts->len;
}

KnlTime
en_reservation_started_at (const EnReservation *self)
{
  return self->started;
}

static char *
imports_json (const EnReservation *self)
{
  json_t *rows;
  char *text;

  if (self->parts->len == 1)
    return NULL;
  rows = json_array ();
  for (guint i = 0; i + 1 < self->parts->len; i++)
    {
      const Part *part = g_ptr_array_index (self->parts, i);

      json_array_append_new (rows, json_pack ("{s:s, s:s}", "engine", part->address, "request",
                                              en_attempt_request (part->attempt)));
    }
  text = json_dumps (rows, JSON_COMPACT);
  json_decref (rows);
  return text;
}

static void
notify_if_held (EnReservation *self)
{
  Part *last = g_ptr_array_index (self->parts, self->parts->len - 1);
  EnCharge *charge = last->charge;
  char *imports;

  for (guint i = 0; i + 1 < self->parts->len; i++)
    {
      if (!((Part *)g_ptr_array_index (self->parts, i))->held)
        return;
    }
  imports = imports_json (self);
  last->charge = NULL;
  self->host.events->on_held (self, last->endpoint, charge, imports, self->host.data);
  free (imports);
}

static void
on_part_accepted (EnAttempt *attempt, gpointer data)
{
}

static void
on_part_tokens (EnAttempt *attempt, guint64 offset, guint count, const char *text, gpointer data)
{
}

static void
on_part_held (EnAttempt *attempt, guint64 count, const char *finish, gpointer data)
{
  Part *part = data;

  part->held = TRUE;
  notify_if_held (part->owner);
}

static void
on_part_lost (EnAttempt *attempt, const EnLoss *loss, gpointer data)
{
  Part *part = data;
  EnReservation *self = part->owner;

  part->attempt = NULL;
  part->held = FALSE;
  if (self->lost)
    return;
  self->lost = TRUE;
  self->host.events->on_lost (self, loss, self->host.data);
}

static const EnAttemptEvents part_events = {
  .on_accepted = on_part_accepted,
  .on_tokens = on_part_tokens,
  .on_end = on_part_held,
  .on_lost = on_part_lost,
};

/* Moves the cut to the start of a character, as each part must be valid UTF-8 by itself. */
static gsize
char_boundary_at (const char *text, gsize length, gsize wanted)
{
  gsize at = MIN (wanted, length);

  while (at > 0 && at < length && ((guchar)text[at] & 0xc0) == 0x80)
    at--;
  return at;
}

void
en_reservation_start (EnReservation *self,
                      const EnAttemptStart *start,
                      char *(*next_id) (gpointer data))
{
  gsize length;
  const char *text = g_bytes_get_data (start->prompt, &length);
  gsize from = 0;

  /*
   * With a single part there is no held part whose event would call on_held, and
   * the request would wait until its deadline without an engine. A plan has a single
   * part when the other engines contribute nothing: a new engine, or one whose
   * grant has just lapsed.
   */
  if (self->parts->len == 1)
    {
      notify_if_held (self);
      return;
    }
  for (guint i = 0; i + 1 < self->parts->len; i++)
    {
      Part *part = g_ptr_array_index (self->parts, i);
      EnEndpoint *endpoint = en_fleet_find (self->host.attempt_host->fleet, part->endpoint);
      gsize to = char_boundary_at (text, length, from + part->tokens * EN_TOKEN_BYTES);
      char *id = next_id (self->host.data);
      EnAttemptStart part_start = *start;
      EnCharge *charge = part->charge;

      cm_invariant (endpoint != NULL && charge != NULL, "a reservation has all its parts");
      part_start.request = id;
      part_start.prompt = g_bytes_new_from_bytes (start->prompt, from, to - from);
      part_start.prompt_tokens = part->tokens;
      part_start.max_tokens = 0;
      part_start.hold = TRUE;
      part_start.progress = &part->progress;
      part->charge = NULL;
      part->attempt = en_attempt_new (self->host.attempt_host, endpoint, charge, &part_start,
                                      &part_events, part);
      g_bytes_unref (part_start.prompt);
      g_free (id);
      from = to;
    }
}

gboolean
en_reservation_uses (const EnReservation *self, const char *endpoint)
{
  for (guint i = 0; i < self->parts->len; i++)
    {
      const Part *part = g_ptr_array_index (self->parts, i);

      if (part->attempt != NULL && strcmp (part->endpoint, endpoint) == 0)
        return TRUE;
    }
  return FALSE;
}

void
en_reservation_engine_restarted (EnReservation *self, const char *endpoint)
{
  for (guint i = 0; i < self->parts->len; i++)
    {
      Part *part = g_ptr_array_index (self->parts, i);

      if (part->attempt == NULL || strcmp (part->endpoint, endpoint) != 0)
        continue;
      /* Each engine has at most one part, whose loss frees the reservation: stop here. */
      en_attempt_engine_restarted (part->attempt);
      return;
    }
}
