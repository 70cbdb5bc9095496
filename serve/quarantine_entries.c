/** Quarantined segments and requests, and how long each stays so. */

#include "common/log.h"
#include "serve/quarantine_internal.h"

Entry *
sv_quarantine_find_entry (const SvQuarantine *self, const SegmentKey *key)
{
  return g_hash_table_size (self->entries) > 0 ? g_hash_table_lookup (self->entries, key) : NULL;
}

const char *
sv_quarantined_field (const SvQuarantined *self)
{
  return self->service == SV_QUARANTINE_REQUESTS ? "fingerprint" : "segment";
}

char *
sv_quarantined_format (const SvQuarantined *self)
{
  return self->service == SV_QUARANTINE_REQUESTS
             ? g_strdup_printf ("%016" G_GINT64_MODIFIER "x", self->segment)
             : sv_segment_format (self->segment);
}

static char *
format_endpoints (const SvQuarantine *self, const SvQuarantined *quarantined)
{
  GString *text = g_string_new (NULL);

  for (guint i = 0; i < quarantined->n_losses; i++)
    {
      const char *id = sv_quarantine_endpoint_id (self, quarantined->losses[i].endpoint);

      g_string_append (text, i > 0 ? "," : "");
      if (id != NULL)
        g_string_append (text, id);
      else
        g_string_append_printf (text, "key-%016" G_GINT64_MODIFIER "x",
                                quarantined->losses[i].endpoint);
    }
  return g_string_free (text, FALSE);
}

/* NULL: they aren't known, as another instance has decided. */
static char *
format_requests (const SvQuarantined *quarantined)
{
  GString *text = g_string_new (NULL);

  for (guint i = 0; i < quarantined->n_losses; i++)
    {
      if (quarantined->losses[i].n_requests > 0)
        g_string_append_printf (text, "%s%016" G_GINT64_MODIFIER "x", text->len > 0 ? "," : "",
                                quarantined->losses[i].requests[0]);
    }
  return g_string_free (text, text->len == 0);
}

static void
log_entry (const SvQuarantine *self,
           const char *event,
           const SvQuarantined *quarantined,
           guint n_weighed,
           const char *told_by)
{
  KnlTime now = knl_kernel_now (self->kernel);
  g_autofree char *id = sv_quarantined_format (quarantined);
  g_autofree char *endpoints = format_endpoints (self, quarantined);
  g_autofree char *requests = format_requests (quarantined);

  cm_log (CM_LOG_WARNING, event, "s", sv_quarantined_field (quarantined), id, "s", "endpoints",
          endpoints, "s", "fingerprints", requests, "i", "losses-weighed", (gint64)n_weighed, "i",
          "first-loss-us", now - quarantined->losses[0].lost_at, "i", "age-us",
          now - quarantined->since, "i", "tests", (gint64)quarantined->tests, "s", "told-by",
          told_by, "i", "quarantined", (gint64)g_hash_table_size (self->entries));
}

static void
note_changed (SvQuarantine *self)
{
  if (self->on_changed != NULL)
    self->on_changed (self->on_changed_data);
}

void
sv_quarantine_mark_unsent (Entry *entry, SvCrashOrigin origin)
{
  for (guint i = 0; i < SV_CRASHES_N_AUDIENCES; i++)
    entry->unsent[i] |= sv_quarantine_is_for (i, origin);
}

static Entry *
add_entry (SvQuarantine *self, const SvQuarantined *quarantined, SvCrashOrigin origin)
{
  Entry *entry;

  if (g_hash_table_size (self->entries) >= SV_MAX_QUARANTINED)
    {
      cm_log (CM_LOG_ERR, "quarantine-full", "i", "quarantined", (gint64)SV_MAX_QUARANTINED);
      return NULL;
    }
  entry = g_new0 (Entry, 1);
  entry->key = (SegmentKey){ quarantined->segment, quarantined->service };
  entry->told = *quarantined;
  sv_quarantine_mark_unsent (entry, origin);
  g_hash_table_replace (self->entries, &entry->key, entry);
  note_changed (self);
  return entry;
}

void
sv_quarantine_begin (SvQuarantine *self,
                     const SegmentKey *key,
                     const PolBlameLoss *losses,
                     guint n,
                     guint tests)
{
  SvQuarantined quarantined = { .service = key->service,
                                .segment = key->segment,
                                .since = knl_kernel_now (self->kernel),
                                .tests = tests };

  quarantined.n_losses =
      pol_blame_pick_moments (losses, n, quarantined.losses, SV_QUARANTINE_LOSSES);
  if (add_entry (self, &quarantined, SV_CRASH_OWN) != NULL)
    log_entry (self,
               key->service == SV_QUARANTINE_REQUESTS ? "fingerprint-quarantined"
                                                      : "segment-quarantined",
               &quarantined, n, NULL);
}

void
sv_quarantine_end (SvQuarantine *self, Entry *entry, const char *reason)
{
  g_autofree char *id = sv_quarantined_format (&entry->told);

  cm_log (CM_LOG_WARNING, "quarantine-ended", "s", sv_quarantined_field (&entry->told), id, "s",
          "reason", reason, "i", "age-us", knl_kernel_now (self->kernel) - entry->told.since, "i",
          "tests", (gint64)entry->told.tests, "i", "losses", (gint64)entry->told.n_losses);
  g_hash_table_remove (self->entries, &entry->key);
  note_changed (self);
}

/* Whether it stands only for want of proof that endpoints live which have been heard from. */
static gboolean
is_doubtful (const SvQuarantine *self, const SvQuarantined *quarantined)
{
  guint n = 0;

  for (guint i = 0; i < quarantined->n_losses; i++)
    n += !sv_crash_is_survived (self->fleet, quarantined->losses[i].endpoint,
                                quarantined->losses[i].lost_at);
  return n < MIN_ENDS;
}

gboolean
sv_quarantine_has_doubt (const SvQuarantine *self)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, self->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      if (is_doubtful (self, &((const Entry *)value)->told))
        return TRUE;
    }
  return FALSE;
}

/* Whether enough of the endpoints haven't been shown to live since. */
static gboolean
is_shown (const SvQuarantine *self, const SvQuarantined *quarantined)
{
  guint n = 0;

  for (guint i = 0; i < quarantined->n_losses; i++)
    n += !sv_crash_is_refuted (self->fleet, quarantined->losses[i].endpoint,
                               quarantined->losses[i].lost_at);
  return n >= MIN_ENDS;
}

static gboolean
has_loss_of (const PolBlameLoss *losses, guint n, guint64 endpoint)
{
  for (guint i = 0; i < n; i++)
    {
      if (losses[i].endpoint == endpoint)
        return TRUE;
    }
  return FALSE;
}

static gboolean
has_lost (const SvQuarantine *self, const Entry *entry, guint64 endpoint)
{
  const Suspect *suspect = sv_quarantine_find_suspect (self, &entry->key);

  return has_loss_of (entry->told.losses, entry->told.n_losses, endpoint)
         || (suspect != NULL && has_loss_of (suspect->losses, suspect->n, endpoint));
}

/* Whether another segment was there at all of these losses, and at more. */
static gboolean
is_explained_by (const SvQuarantined *quarantined, guint n_losses, const Suspect *other)
{
  if (other->n <= n_losses || other->key.service != quarantined->service
      || other->key.segment == quarantined->segment)
    return FALSE;
  for (guint i = 0; i < quarantined->n_losses; i++)
    {
      if (!has_loss_of (other->losses, other->n, quarantined->losses[i].endpoint))
        return FALSE;
    }
  return TRUE;
}

/* An instance that was away, or missed datagrams, may have decided without all losses.
 * `is_standing`: only what is quarantined itself explains it, so that one of the two is refused. */
static gboolean
is_explained (const SvQuarantine *self, const SvQuarantined *quarantined, gboolean is_standing)
{
  SegmentKey key = { quarantined->segment, quarantined->service };
  const Suspect *suspect = sv_quarantine_find_suspect (self, &key);
  guint n_losses = MAX (suspect != NULL ? suspect->n : 0, quarantined->n_losses);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, self->suspects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Suspect *other = value;

      if (is_explained_by (quarantined, n_losses, other)
          && (!is_standing
              || sv_quarantine_contains (self, other->key.service, other->key.segment)))
        return TRUE;
    }
  return FALSE;
}

gboolean
sv_quarantine_is_by_request (const SvQuarantine *self, const PolBlameLoss *loss)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, self->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Entry *entry = value;

      if (entry->key.service == SV_QUARANTINE_REQUESTS
          && has_loss_of (entry->told.losses, entry->told.n_losses, loss->endpoint)
          && !pol_blame_has_request (loss, entry->key.segment))
        return TRUE;
    }
  return FALSE;
}

/* Whether requests that were quarantined later explain it. Nothing is known of the losses if
 * another instance has decided. */
static gboolean
is_by_requests (const SvQuarantine *self, const SvQuarantined *quarantined)
{
  guint n_left = quarantined->n_losses;

  for (guint i = 0; i < quarantined->n_losses; i++)
    n_left -= quarantined->losses[i].n_requests > 0
              && sv_quarantine_is_by_request (self, &quarantined->losses[i]);
  return n_left < MIN_ENDS && quarantined->n_losses >= MIN_ENDS;
}

/* NULL: it stands. */
static const char *
end_reason (const SvQuarantine *self, const Entry *entry)
{
  if (entry->told.since + SV_QUARANTINE_TTL <= knl_kernel_now (self->kernel))
    return "expired";
  return is_shown (self, &entry->told) ? NULL : "endpoints-answer";
}

gboolean
sv_quarantine_contains (const SvQuarantine *self, guint32 service, guint64 segment)
{
  SegmentKey key = { segment, service };
  const Entry *entry = sv_quarantine_find_entry (self, &key);

  return entry != NULL && end_reason (self, entry) == NULL;
}

void
sv_quarantine_review (SvQuarantine *self)
{
  g_autoptr (GList) entries = g_hash_table_get_values (self->entries);

  for (GList *link = entries; link != NULL; link = link->next)
    {
      Entry *entry = link->data;
      const char *reason = end_reason (self, entry);

      if (reason == NULL
          && (is_explained (self, &entry->told, TRUE) || is_by_requests (self, &entry->told)))
        reason = "explained";
      if (reason != NULL)
        sv_quarantine_end (self, entry, reason);
    }
}

/* TRUE: it has been tested since this instance was told of it. */
static gboolean
take_tests (Entry *entry, const SvQuarantined *quarantined, SvCrashOrigin origin)
{
  if (quarantined->tests <= entry->told.tests)
    return FALSE;
  entry->told.tests = quarantined->tests;
  sv_quarantine_mark_unsent (entry, origin);
  return TRUE;
}

/* Who has told of an adopted quarantine, for the log. */
static const char *const tellers[] = {
  [SV_CRASH_OWN] = "row",
  [SV_CRASH_OF_CELL] = "peer",
  [SV_CRASH_OF_OTHER_CELL] = "other-cell",
};

gboolean
sv_quarantine_adopt (SvQuarantine *self, const SvQuarantined *quarantined, SvCrashOrigin origin)
{
  SegmentKey key = { quarantined->segment, quarantined->service };
  const Suspect *suspect = sv_quarantine_find_suspect (self, &key);
  Entry *known = sv_quarantine_find_entry (self, &key);

  if (known != NULL)
    return take_tests (known, quarantined, origin);
  if (quarantined->since + SV_QUARANTINE_TTL <= knl_kernel_now (self->kernel)
      || !is_shown (self, quarantined) || is_explained (self, quarantined, FALSE))
    return FALSE;
  if (suspect != NULL && suspect->survived_at >= quarantined->since)
    {
      /* Who tells of it has missed the word of that. */
      SvSegmentSurvival survival = { quarantined->service,
                                     suspect->survived_at,
                                     { { quarantined->segment }, 1 } };

      sv_quarantine_queue_survival (self, &survival, SV_CRASH_OWN);
      return FALSE;
    }
  if (add_entry (self, quarantined, origin) == NULL)
    return FALSE;
  log_entry (self, "quarantine-adopted", quarantined, quarantined->n_losses, tellers[origin]);
  return TRUE;
}

const SvQuarantined *
sv_quarantine_check (SvQuarantine *self,
                     guint32 service,
                     const SvSegments *segments,
                     gboolean *is_test)
{
  for (guint i = 0; i < segments->n; i++)
    {
      SegmentKey key = { segments->ids[i], service };
      Entry *entry;

      sv_quarantine_decide (self, &key);
      entry = sv_quarantine_find_entry (self, &key);
      if (entry == NULL || end_reason (self, entry) != NULL)
        continue;
      if (!sv_quarantine_is_let_through (self, entry))
        return &entry->told;
      *is_test = TRUE;
    }
  return NULL;
}

gboolean
sv_quarantine_explains (const SvQuarantine *self, guint64 endpoint)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, self->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Entry *entry = value;

      /* What a request's segments were lost at must still count for them. */
      if (entry->key.service != SV_QUARANTINE_REQUESTS && has_lost (self, entry, endpoint))
        return TRUE;
    }
  return FALSE;
}

static gint
compare_ages (gconstpointer a, gconstpointer b)
{
  KnlTime left = ((const Entry *)a)->told.since;
  KnlTime right = ((const Entry *)b)->told.since;

  return (left < right) - (left > right);
}

guint
sv_quarantine_list (const SvQuarantine *self, SvQuarantined *list, guint max)
{
  g_autoptr (GList) entries = g_list_sort (g_hash_table_get_values (self->entries), compare_ages);
  guint n = 0;

  for (const GList *link = entries; link != NULL && n < max; link = link->next)
    list[n++] = ((const Entry *)link->data)->told;
  return n;
}

guint
sv_quarantine_n (const SvQuarantine *self)
{
  return g_hash_table_size (self->entries);
}
