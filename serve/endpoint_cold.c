/** Endpoints that are cold: since when, and how many requests this instance may send there. */

#include <string.h>
#include <xxhash.h>

#include "common/log.h"
#include "serve/fleet.h"

/* An instance knows its peers only some time after its start; until then it isn't a sender. */
#define INTRODUCTION_TIME (1 * KNL_SEC)

/* A row that arrives within this time of an answer may have been written before it. */
#define ROW_DELAY (1 * KNL_SEC)

/* An instance that isn't a sender advises this wait at most: another instance may be one. */
#define MAX_ADVISED_WAIT (1 * KNL_SEC)

/* Restored zones are remembered for this long, more than an endpoint is cold after its start. */
#define RESTORED_TTL (3600 * KNL_SEC)

typedef struct
{
  SvPosition revision;
  KnlTime at;
} RestoredZone;

struct SvColdRules
{
  gint refs;
  KnlTime begun_at;
  double overage;
  double slack;
  GHashTable *specs;    /* service -> SvColdSpec, of services with a rate only */
  GHashTable *restored; /* zone -> RestoredZone */
  gboolean has_members; /* and their number is known */
  guint32 id;
  guint known;
  guint known_in_cell;
  KnlTime detection_time;
  GArray *peers; /* guint32 */
  GArray *cells; /* SvCellSize, our own first */
};

SvColdRules *
sv_cold_rules_new (KnlTime now)
{
  SvColdRules *self = g_new0 (SvColdRules, 1);

  self->refs = 1;
  self->begun_at = now;
  self->overage = 1;
  self->specs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  self->restored = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  self->peers = g_array_new (FALSE, FALSE, sizeof (guint32));
  self->cells = g_array_new (FALSE, FALSE, sizeof (SvCellSize));
  return self;
}

SvColdRules *
sv_cold_rules_ref (SvColdRules *self)
{
  self->refs++;
  return self;
}

void
sv_cold_rules_unref (SvColdRules *self)
{
  if (self == NULL || --self->refs > 0)
    return;
  g_hash_table_unref (self->specs);
  g_hash_table_unref (self->restored);
  g_array_unref (self->peers);
  g_array_unref (self->cells);
  g_free (self);
}

void
sv_cold_rules_set_members (SvColdRules *self, const SvMembers *members)
{
  SvCellSize own = { .id = members->cell, .instances = 1 + members->n_peers };

  self->has_members = members->is_counted;
  self->id = members->id;
  self->known = MAX (members->known, 1);
  self->known_in_cell = members->known_in_cell;
  self->detection_time = members->detection_time;
  g_array_set_size (self->peers, 0);
  g_array_set_size (self->cells, 0);
  g_array_append_val (self->cells, own);
  if (members->n_peers > 0)
    g_array_append_vals (self->peers, members->peers, members->n_peers);
  if (members->n_cells > 0)
    g_array_append_vals (self->cells, members->cells, members->n_cells);
}

void
sv_cold_rules_set_bounds (SvColdRules *self, const SvBounds *bounds)
{
  /* Deployments without such a rule don't state it. */
  self->overage = MAX (bounds->cold_overage, 1);
  self->slack = bounds->cold_slack;
}

void
sv_cold_rules_set_config (SvColdRules *self, const SvConfig *config)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_remove_all (self->specs);
  g_hash_table_iter_init (&iter, config->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const SvService *service = value;

      if (service->cold.rate > 0)
        g_hash_table_replace (self->specs, g_strdup (service->name),
                              g_memdup2 (&service->cold, sizeof service->cold));
    }
}

static gboolean
is_outdated (gpointer zone, gpointer value, gpointer now)
{
  return *(KnlTime *)now - ((RestoredZone *)value)->at > RESTORED_TTL;
}

void
sv_cold_rules_note_zone_restored (SvColdRules *self,
                                  const char *zone,
                                  SvPosition revision,
                                  KnlTime now)
{
  const RestoredZone *known = g_hash_table_lookup (self->restored, zone);
  RestoredZone restored = { .revision = revision, .at = now };
  SvPositionOrder order =
      known != NULL ? sv_position_compare (revision, known->revision) : SV_POSITION_NEWER;

  if (order == SV_POSITION_OLDER || (order == SV_POSITION_SAME && revision.version > 0))
    return;
  g_hash_table_foreach_remove (self->restored, is_outdated, &now);
  g_hash_table_replace (self->restored, g_strdup (zone), g_memdup2 (&restored, sizeof restored));
}

static guint64
order_of (const SvEndpoint *endpoint, guint32 id)
{
  guint64 pair[2] = { endpoint->key, id };

  return XXH64 (pair, sizeof pair, 0);
}

static guint
rank_of (const SvColdRules *self, const SvEndpoint *endpoint)
{
  guint64 own = order_of (endpoint, self->id);
  guint rank = 0;

  for (guint i = 0; i < self->peers->len; i++)
    rank += order_of (endpoint, g_array_index (self->peers, guint32, i)) > own;
  return rank;
}

static GArray *
cells_for (const SvColdRules *self, const SvEndpoint *endpoint, guint *heard)
{
  GArray *cells = g_array_sized_new (FALSE, FALSE, sizeof (PolColdCell), self->cells->len);

  *heard = 0;
  for (guint i = 0; i < self->cells->len; i++)
    {
      const SvCellSize *size = &g_array_index (self->cells, SvCellSize, i);
      PolColdCell cell = { .order = order_of (endpoint, size->id), .instances = size->instances };

      *heard += size->instances;
      g_array_append_val (cells, cell);
    }
  return cells;
}

/* An instance that hears few of its cell ranks first for most endpoints, as many others may. */
static gboolean
hears_half_of_cell (const SvColdRules *self)
{
  return 2 * (1 + self->peers->len) >= self->known_in_cell;
}

static PolColdShare
share_of (const SvColdRules *self, const SvEndpoint *endpoint, const SvColdSpec *spec, KnlTime now)
{
  g_autoptr (GArray) cells = NULL;
  PolColdView view = { .rate = spec->rate, .bound = spec->rate * self->overage + self->slack };

  if (!self->has_members || now - self->begun_at < INTRODUCTION_TIME || !hears_half_of_cell (self))
    return (PolColdShare){ 0 };
  cells = cells_for (self, endpoint, &view.heard);
  view.known = MAX (self->known, view.heard);
  view.detection_time = self->detection_time;
  view.cells = (const PolColdCell *)cells->data;
  view.n_cells = cells->len;
  view.rank = rank_of (self, endpoint);
  return pol_cold_share (&view);
}

/* End of the time for which the endpoint counts as cold after the evacuation of its zone has ended;
 * 0: a newer row states something else, or there was no evacuation. */
static KnlTime
restored_until (const SvEndpoint *self, const SvColdSpec *spec)
{
  const SvEndpointCold *cold = &self->cold;
  const RestoredZone *restored =
      self->zone != NULL ? g_hash_table_lookup (cold->rules->restored, self->zone) : NULL;

  if (restored == NULL
      || sv_position_compare (cold->stated_revision, restored->revision) == SV_POSITION_NEWER)
    return 0;
  return restored->at + spec->duration;
}

static const char *
source_of (const SvEndpoint *self, KnlTime until)
{
  if (until != self->cold.stated_until)
    return "zone-restored";
  return self->cold.answered_at > 0 ? "answer" : "row";
}

static void
log_cold (const SvEndpoint *self, const SvColdSpec *spec, KnlTime until, KnlTime now)
{
  const PolColdShare *share = &self->cold.bucket.share;

  cm_log (CM_LOG_NOTICE, "endpoint-cold", "s", "endpoint", self->id, "s", "source",
          source_of (self, until), "i", "until-us", until - now, "b", "sender", share->is_sender,
          "i", "senders", (gint64)share->n_senders, "f", "requests-a-second", spec->rate, "f",
          "own-requests-a-second", share->rate);
}

static void
end_cold (SvEndpoint *self)
{
  if (self->cold.until > 0)
    cm_log (CM_LOG_NOTICE, "endpoint-warm", "s", "endpoint", self->id);
  self->cold.until = 0;
}

void
sv_endpoint_update_cold (SvEndpoint *self, KnlTime now)
{
  SvEndpointCold *cold = &self->cold;
  const SvColdSpec *spec = g_hash_table_lookup (cold->rules->specs, self->service);
  KnlTime until = spec != NULL ? MAX (cold->stated_until, restored_until (self, spec)) : 0;
  PolColdShare share;

  if (spec == NULL || until <= now)
    {
      end_cold (self);
      return;
    }
  share = share_of (cold->rules, self, spec, now);
  if (cold->until > 0)
    pol_cold_bucket_update (&cold->bucket, &share, now);
  else
    {
      pol_cold_bucket_start (&cold->bucket, &share, now);
      log_cold (self, spec, until, now);
    }
  cold->until = until;
}

void
sv_endpoint_note_cold_row (SvEndpoint *self,
                           KnlTime left,
                           SvPosition revision,
                           KnlTime lag,
                           KnlTime now)
{
  SvEndpointCold *cold = &self->cold;
  gboolean is_repeated =
      revision.version > 0
      && sv_position_compare (revision, cold->stated_revision) == SV_POSITION_SAME;
  gboolean may_precede_answer =
      cold->answered_at > 0 && now - cold->answered_at < MAX (lag, ROW_DELAY);

  /* A list that is read again states nothing new. */
  if (left >= 0 && !is_repeated)
    {
      cold->stated_until = may_precede_answer ? MAX (cold->stated_until, now + left) : now + left;
      cold->stated_revision = revision;
      if (!may_precede_answer)
        cold->answered_at = 0;
    }
  sv_endpoint_update_cold (self, now);
}

void
sv_endpoint_note_cold_answer (SvEndpoint *self, KnlTime left, KnlTime now)
{
  if (left < 0)
    return;
  self->cold.stated_until = now + left;
  self->cold.answered_at = now;
  sv_endpoint_update_cold (self, now);
}

/* Called for every endpoint and request, so the common case returns early. */
gboolean
sv_endpoint_is_cold (SvEndpoint *self, KnlTime now)
{
  if (self->cold.until == 0)
    return FALSE;
  if (now >= self->cold.until)
    sv_endpoint_update_cold (self, now);
  return self->cold.until > 0;
}

void
sv_endpoint_charge_cold (SvEndpoint *self, guint n)
{
  if (self->cold.until > 0)
    pol_cold_bucket_charge (&self->cold.bucket, n);
}

KnlTime
sv_endpoint_cold_wait (SvEndpoint *self, KnlTime now)
{
  KnlTime wait;
  KnlTime left;

  if (!sv_endpoint_is_cold (self, now))
    return 0;
  left = self->cold.until - now;
  wait = pol_cold_bucket_wait (&self->cold.bucket, now);
  return MIN (wait == KNL_NEVER ? MAX_ADVISED_WAIT : wait, left);
}
