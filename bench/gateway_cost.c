/** Measures the gateway's processor time for decoding a configuration of many routes, and for
 * unpacking the datagrams that instances send to each other, and for segments of prompts that
 * endpoints were lost under. Prints JSON lines; the figures depend
 * on the machine. */

#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "platform/config_decoder.h"
#include "kernel/paused.h"
#include "platform/store.h"
#include "serve/quarantine.h"
#include "tests/fakes/config_answer.h"
#include "wire/datagram.pb-c.h"

#define ROUNDS 50

/* Bytes of a value that a feed decodes in one slice. */
#define SLICE 16384

static double
cpu_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

/* Processor time of decoding answers, in microseconds. */
typedef struct
{
  double longest; /* of a single slice */
  double total;
} Cost;

static void
note_slice (Cost *cost, double begun)
{
  double took = cpu_us () - begun;

  cost->longest = MAX (cost->longest, took);
  cost->total += took;
}

/* Decodes like a feed: parses the answer in one slice, then decodes the value piece by piece. */
static void
decode_answer (PlConfigDecoder *decoder, const char *text, gsize length, Cost *cost)
{
  double begun = cpu_us ();
  PlAnswer *answer = pl_answer_parse (text, length);
  const PlAnswerRow *row = g_ptr_array_index (answer->rows, 0);
  gint state = 0;
  guint save = 0;

  note_slice (cost, begun);
  pl_config_decoder_begin (decoder);
  for (gsize done = 0; done < row->value_length; done += SLICE)
    {
      guchar piece[SLICE];
      gsize decoded;

      begun = cpu_us ();
      decoded = g_base64_decode_step (row->value + done, MIN (SLICE, row->value_length - done),
                                      piece, &state, &save);
      pl_config_decoder_feed (decoder, (const char *)piece, decoded);
      note_slice (cost, begun);
    }
  begun = cpu_us ();
  sv_config_unref (pl_config_decoder_end (decoder));
  note_slice (cost, begun);
  begun = cpu_us ();
  pl_answer_free (answer);
  note_slice (cost, begun);
}

static void
print_cost (const char *what, guint n_routes, gsize bytes, const Cost *cost, guint rounds)
{
  g_print ("{\"what\":\"%s\",\"routes\":%u,\"bytes\":%zu,\"total-us\":%.0f,"
           "\"longest-us\":%.0f}\n",
           what, n_routes, bytes, cost->total / rounds, cost->longest);
}

static void
measure_config (guint n_routes)
{
  g_autofree char *answer = fk_config_answer (n_routes, 7);
  g_autofree char *changed = fk_config_answer (n_routes, 8);
  gsize length = strlen (answer);
  PlConfigDecoder *decoder = pl_config_decoder_new ();
  Cost fresh_cost = { 0 };
  Cost reused_cost = { 0 };

  for (guint i = 0; i < ROUNDS; i++)
    {
      PlConfigDecoder *fresh = pl_config_decoder_new ();

      decode_answer (fresh, answer, length, &fresh_cost);
      pl_config_decoder_free (fresh);
      decode_answer (decoder, i % 2 == 0 ? answer : changed, length, &reused_cost);
    }
  pl_config_decoder_free (decoder);
  print_cost ("configuration", n_routes, length, &fresh_cost, ROUNDS);
  print_cost ("configuration, one route changed", n_routes, length, &reused_cost, ROUNDS);
}

static void
measure_datagram (guint n_loads)
{
  Alderturn__Datagram datagram = ALDERTURN__DATAGRAM__INIT;
  Alderturn__EndpointLoad loads[36];
  Alderturn__EndpointLoad *rows[36];
  guint8 bytes[2048];
  gsize length;
  double start;

  for (guint i = 0; i < n_loads; i++)
    {
      alderturn__endpoint_load__init (&loads[i]);
      loads[i].endpoint = 0x1234567890ULL + i;
      loads[i].calls = 3;
      loads[i].tokens = 50000;
      rows[i] = &loads[i];
    }
  datagram.incarnation = 1764722741000000;
  datagram.sequence = 1000;
  datagram.n_loads = n_loads;
  datagram.loads = rows;
  length = alderturn__datagram__pack (&datagram, bytes);
  start = cpu_us ();
  for (guint i = 0; i < ROUNDS * 100; i++)
    alderturn__datagram__free_unpacked (alderturn__datagram__unpack (NULL, length, bytes), NULL);
  g_print ("{\"what\":\"datagram\",\"loads\":%u,\"bytes\":%zu,\"unpack-us\":%.2f}\n", n_loads,
           length, (cpu_us () - start) / (ROUNDS * 100));
}

/* An outage: each prompt has segments of its own, and the endpoints aren't listed any more. */
static SvSegmentUse
made_up_use (KnlKernel *kernel, guint64 i)
{
  SvSegmentUse use = { .request = i, .endpoint = i % 1000, .service = 1 };

  use.at = knl_kernel_now (kernel);
  for (guint64 s = 0; s < 4; s++)
    sv_segments_add (&use.segments, (i / 3) * 4 + s + 1);
  return use;
}

/* `n_losses` losses of three to a segment, then a tick and a check of a prompt at that state. */
static void
measure_quarantine (guint n_losses)
{
  KnlPausedClock *clock = knl_paused_clock_new ();
  KnlKernel *kernel = knl_kernel_new (knl_paused_clock_runtime (clock), 5);
  SvFleet *fleet = sv_fleet_new (kernel, KNL_SEC);
  SvQuarantine *quarantine = sv_quarantine_new (kernel, fleet);
  SvSegments checked = { { 1, 2, 3, 4 }, 4 };
  gboolean is_test = FALSE;
  double start = cpu_us ();
  double noted;
  double ticked;

  for (guint i = 0; i < n_losses; i++)
    {
      SvSegmentUse use;

      knl_paused_clock_advance (clock, KNL_MSEC);
      use = made_up_use (kernel, i);
      sv_quarantine_note_loss (quarantine, &use, SV_CRASH_OF_CELL);
    }
  noted = cpu_us ();
  sv_quarantine_tick (quarantine);
  ticked = cpu_us ();
  for (guint i = 0; i < ROUNDS; i++)
    sv_quarantine_check (quarantine, 1, &checked, &is_test);
  g_print ("{\"what\":\"quarantine\",\"losses\":%u,\"suspects\":%u,\"loss-us\":%.2f,"
           "\"tick-us\":%.0f,\"check-us\":%.2f}\n",
           n_losses, sv_quarantine_n_suspects (quarantine), (noted - start) / n_losses,
           ticked - noted, (cpu_us () - ticked) / ROUNDS);
  sv_quarantine_free (quarantine);
  sv_fleet_free (fleet);
  knl_kernel_free (kernel);
  knl_paused_clock_free (clock);
}

/* Losses under requests of their own at endpoints that aren't listed any more, a tick, and a look
 * for losses to be repeated. */
static void
measure_crashes (guint n_losses)
{
  KnlPausedClock *clock = knl_paused_clock_new ();
  KnlKernel *kernel = knl_kernel_new (knl_paused_clock_runtime (clock), 5);
  SvFleet *fleet = sv_fleet_new (kernel, KNL_SEC);
  SvCrashes *crashes = sv_crashes_new (kernel, fleet);
  double start = cpu_us ();
  double noted;
  double ticked;

  for (guint i = 0; i < n_losses; i++)
    {
      SvCrash crash = { i / 2, i % 1000, knl_kernel_now (kernel) };

      sv_crashes_note_loss (crashes, &crash, SV_CRASH_OF_CELL);
    }
  noted = cpu_us ();
  sv_crashes_tick (crashes);
  ticked = cpu_us ();
  sv_crashes_repeat (crashes, TRUE);
  g_print ("{\"what\":\"crashes\",\"losses\":%u,\"requests\":%u,\"loss-us\":%.2f,"
           "\"tick-us\":%.0f,\"repeat-us\":%.0f}\n",
           n_losses, sv_crashes_n_requests (crashes), (noted - start) / n_losses, ticked - noted,
           cpu_us () - ticked);
  sv_crashes_free (crashes);
  sv_fleet_free (fleet);
  knl_kernel_free (kernel);
  knl_paused_clock_free (clock);
}

int
main (void)
{
  static const guint routes[] = { 100, 1400, 10000 };
  static const guint loads[] = { 0, 1, 4, 30 };
  static const guint losses[] = { 30, 300, 3000, 30000 };

  for (guint i = 0; i < G_N_ELEMENTS (routes); i++)
    measure_config (routes[i]);
  for (guint i = 0; i < G_N_ELEMENTS (loads); i++)
    measure_datagram (loads[i]);
  for (guint i = 0; i < G_N_ELEMENTS (losses); i++)
    measure_quarantine (losses[i]);
  for (guint i = 0; i < G_N_ELEMENTS (losses); i++)
    measure_crashes (losses[i]);
  return EXIT_SUCCESS;
}
