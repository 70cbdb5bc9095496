#include "serve/departed.h"

/* Time for which an endpoint is kept, and how many are. It exits within seconds. */
#define DEPARTED_TTL (600 * KNL_SEC)
#define MAX_DEPARTED 4096

typedef struct
{
  guint64 endpoint;
  KnlTime advertised_at;
} Departure;

struct SvDeparted
{
  KnlKernel *kernel;
  GHashTable *departures; /* &endpoint -> Departure */
};

SvDeparted *
sv_departed_new (KnlKernel *kernel)
{
  SvDeparted *self = g_new0 (SvDeparted, 1);

  self->kernel = kernel;
  self->departures = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return self;
}

void
sv_departed_free (SvDeparted *self)
{
  g_hash_table_unref (self->departures);
  g_free (self);
}

static gboolean
is_expired (gpointer key, gpointer value, gpointer data)
{
  return ((const Departure *)value)->advertised_at + DEPARTED_TTL <= knl_kernel_now (data);
}

void
sv_departed_note (SvDeparted *self, guint64 endpoint, KnlTime advertised_at)
{
  Departure *departure;

  if (g_hash_table_size (self->departures) >= MAX_DEPARTED)
    g_hash_table_foreach_remove (self->departures, is_expired, self->kernel);
  if (g_hash_table_size (self->departures) >= MAX_DEPARTED)
    return;
  departure = g_new0 (Departure, 1);
  *departure = (Departure){ endpoint, advertised_at };
  g_hash_table_replace (self->departures, &departure->endpoint, departure);
}

KnlTime
sv_departed_time (const SvDeparted *self, guint64 endpoint)
{
  const Departure *departure = g_hash_table_lookup (self->departures, &endpoint);

  return departure != NULL && !is_expired (NULL, (gpointer)departure, self->kernel)
             ? departure->advertised_at
             : 0;
}
