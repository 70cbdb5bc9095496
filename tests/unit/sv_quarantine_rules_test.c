/** Tests of which segments of prompts are quarantined, and which are not. */

#include "kernel/paused.h"
#include "serve/quarantine.h"
#include "suite.h"

#define SERVICE     7
#define N_ENDPOINTS 12

/* Ids of segments. */
#define DEADLY 0xdead
#define OTHER  0xbad
#define COMMON 0xaa

/* Time between two crashes that have nothing to do with each other. */
#define PAUSE (300 * KNL_MSEC)

typedef struct
{
  KnlPausedClock *clock;
  KnlKernel *kernel;
  SvFleet *fleet;
  SvQuarantine *quarantine;
  guint64 next_request;
} Fixture;

/* There is no other instance. */
static gboolean
is_elected (guint64 seed, gpointer data)
{
  return TRUE;
}

static void
fixture_open (Fixture *self)
{
  *self = (Fixture){ .clock = knl_paused_clock_new (), .next_request = 1000 };
  knl_paused_clock_advance (self->clock, 100 * KNL_SEC);
  self->kernel = knl_kernel_new (knl_paused_clock_runtime (self->clock), 5);
  self->fleet = sv_fleet_new (self->kernel, KNL_SEC);
  self->quarantine = sv_quarantine_new (self->kernel, self->fleet);
  sv_quarantine_set_election (self->quarantine, is_elected, NULL);
  for (guint i = 0; i < N_ENDPOINTS; i++)
    {
      g_autofree char *id = g_strdup_printf ("i-%u", i);
      SvEndpointEntry entry = { .id = id, .service = "s", .zone = "a", .slots = 4 };

      entry.address = "127.0.0.1:1";
      sv_fleet_update (self->fleet, &entry);
    }
}

static void
fixture_close (Fixture *self)
{
  sv_quarantine_free (self->quarantine);
  sv_fleet_free (self->fleet);
  knl_kernel_free (self->kernel);
  knl_paused_clock_free (self->clock);
}

static SvEndpoint *
endpoint_at (const Fixture *self, guint i)
{
  return g_ptr_array_index (sv_fleet_all (self->fleet), i);
}

static void
pass (Fixture *self, KnlTime time)
{
  knl_paused_clock_advance (self->clock, time);
  sv_quarantine_tick (self->quarantine);
}

static SvSegmentUse
use_at (const Fixture *self, guint endpoint, guint64 request, const guint64 *segments)
{
  SvSegmentUse use = { .request = request,
                       .endpoint = endpoint_at (self, endpoint)->key,
                       .service = SERVICE,
                       .at = knl_kernel_now (self->kernel) };

  for (guint i = 0; segments[i] != 0; i++)
    sv_segments_add (&use.segments, segments[i]);
  return use;
}

/* The endpoint closes a connection while it is about to answer a request with these segments, up to
 * a 0. */
static void
break_off (Fixture *self, guint endpoint, guint64 request, const guint64 *segments)
{
  SvSegmentUse use = use_at (self, endpoint, request, segments);

  sv_quarantine_note_loss (self->quarantine, &use, SV_CRASH_OWN);
}

/* The endpoint ends, also under another request, which has been answered for long. */
static void
lose (Fixture *self, guint endpoint, guint64 request, const guint64 *segments)
{
  break_off (self, endpoint, request, segments);
  sv_quarantine_note_closed (self->quarantine, endpoint_at (self, endpoint)->key, 1,
                             knl_kernel_now (self->kernel));
}

/* The same under a request of its own. */
static void
crash (Fixture *self, guint endpoint, const guint64 *segments)
{
  lose (self, endpoint, self->next_request++, segments);
}

/* The endpoint answers a request with the segments, and goes on after that. */
static void
answer (Fixture *self, guint endpoint, const guint64 *segments)
{
  SvSegmentUse use = use_at (self, endpoint, self->next_request++, segments);

  sv_quarantine_note_begun (self->quarantine, &use);
  knl_paused_clock_advance (self->clock, SV_CRASH_WINDOW);
  endpoint_at (self, endpoint)->signs.proven_at = knl_kernel_now (self->kernel);
  sv_quarantine_tick (self->quarantine);
}

static gboolean
is_refused (Fixture *self, guint64 segment)
{
  SvSegments segments = { { segment }, 1 };
  gboolean is_test = FALSE;

  return sv_quarantine_check (self->quarantine, SERVICE, &segments, &is_test) != NULL;
}

/* Guards against requests with the segment that go on ending endpoints after the third. */
static void
test_three_crashes_quarantine_a_segment (void)
{
  static const guint64 rows[][3] = { { 1, DEADLY }, { 2, DEADLY }, { 3, DEADLY } };
  Fixture fixture;

  fixture_open (&fixture);
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      CU_ASSERT_FALSE (is_refused (&fixture, DEADLY));
      crash (&fixture, i, rows[i]);
      pass (&fixture, PAUSE);
    }
  CU_ASSERT_TRUE (is_refused (&fixture, DEADLY));
  for (guint segment = 1; segment <= 3; segment++)
    CU_ASSERT_FALSE (is_refused (&fixture, segment));
  fixture_close (&fixture);
}

/* Guards against a segment that crashes endpoints in quick succession, is quarantined by one count
 * of its losses, and let go by another. */
static void
test_quick_successions_quarantine_a_segment (void)
{
  static const KnlTime gaps[] = { 30 * KNL_MSEC, 60 * KNL_MSEC, 80 * KNL_MSEC, 90 * KNL_MSEC,
                                  POL_BLAME_MOMENT };
  static const guint64 segments[] = { DEADLY, 0 };

  for (guint i = 0; i < G_N_ELEMENTS (gaps); i++)
    {
      Fixture fixture;

      fixture_open (&fixture);
      for (guint j = 0; j < N_ENDPOINTS; j++)
        {
          crash (&fixture, j, segments);
          knl_paused_clock_advance (fixture.clock, gaps[i]);
        }
      for (guint j = 0; j < 3; j++)
        {
          pass (&fixture, PAUSE);
          CU_ASSERT_TRUE (is_refused (&fixture, DEADLY));
        }
      fixture_close (&fixture);
    }
}

/* Guards against sound prompts that are refused since they share a segment with the crashing ones.
 */
static void
test_shared_segments_are_not_blamed (void)
{
  static const guint64 bad[] = { COMMON, DEADLY, 0 };
  static const guint64 good[] = { COMMON, 0 };
  Fixture fixture;

  fixture_open (&fixture);
  for (guint i = 0; i < 4; i++)
    {
      crash (&fixture, i, bad);
      answer (&fixture, N_ENDPOINTS - 1, good);
      CU_ASSERT_FALSE (is_refused (&fixture, COMMON));
    }
  CU_ASSERT_TRUE (is_refused (&fixture, DEADLY));
  fixture_close (&fixture);
}

/* Guards against segments that are blamed for a rack or a zone that fails as a whole. */
static void
test_endpoints_that_end_together_convict_nothing (void)
{
  static const guint64 segments[] = { COMMON, 0 };
  Fixture fixture;

  fixture_open (&fixture);
  for (guint i = 0; i < N_ENDPOINTS; i++)
    {
      crash (&fixture, i, segments);
      knl_paused_clock_advance (fixture.clock, 2 * KNL_MSEC);
    }
  pass (&fixture, PAUSE);
  CU_ASSERT_FALSE (is_refused (&fixture, COMMON));
  fixture_close (&fixture);
}

/* Guards against losses of one cause that count several times. */
static void
test_losses_of_one_moment_count_once (void)
{
  static const struct
  {
    KnlTime at[4];
    guint moments;
  } rows[] = {
    { { 0, 1, 2, 3 }, 1 },
    { { 0, POL_BLAME_MOMENT - 1, POL_BLAME_MOMENT, POL_BLAME_MOMENT + 1 }, 2 },
    { { 3 * POL_BLAME_MOMENT, 0, POL_BLAME_MOMENT, 2 * POL_BLAME_MOMENT }, 4 },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      PolBlameLoss losses[4];
      PolBlame blame;

      for (guint j = 0; j < G_N_ELEMENTS (losses); j++)
        {
          losses[j] = (PolBlameLoss){ .endpoint = j, .lost_at = rows[i].at[j] };
          pol_blame_add_request (&losses[j], 100 + j);
        }
      blame = pol_blame_weigh (losses, G_N_ELEMENTS (losses));
      CU_ASSERT_EQUAL (blame.moments, rows[i].moments);
    }
}

/* Guards against a segment that is blamed for a single request that crashes endpoints by itself. */
static void
test_one_request_convicts_no_segment (void)
{
  static const guint64 segments[] = { COMMON, 0 };
  Fixture fixture;

  fixture_open (&fixture);
  for (guint i = 0; i < 6; i++)
    {
      lose (&fixture, i, 77, segments);
      if (i == 2)
        crash (&fixture, i, segments);
      pass (&fixture, PAUSE);
    }
  CU_ASSERT_FALSE (is_refused (&fixture, COMMON));
  fixture_close (&fixture);
}

/* Guards against bystanders that are blamed for crashes which a quarantined segment explains. */
static void
test_bystanders_of_crashes_are_not_blamed (void)
{
  static const guint64 bad[] = { DEADLY, 0 };
  static const guint64 bystander[] = { OTHER, 0 };
  Fixture fixture;

  fixture_open (&fixture);
  for (guint i = 0; i < 6; i++)
    {
      crash (&fixture, i, bad);
      if (i > 0)
        crash (&fixture, i, bystander);
      pass (&fixture, PAUSE);
    }
  CU_ASSERT_TRUE (is_refused (&fixture, DEADLY));
  CU_ASSERT_FALSE (is_refused (&fixture, OTHER));
  fixture_close (&fixture);
}

/* Guards against a bystander that is quarantined first, as it was there at the first crashes, and
 * stays so. */
static void
test_a_blamed_bystander_is_let_go (void)
{
  static const guint64 both[][3] = { { DEADLY, OTHER }, { DEADLY, OTHER }, { DEADLY, OTHER } };
  static const guint64 bad[] = { DEADLY, 0 };
  Fixture fixture;

  fixture_open (&fixture);
  for (guint i = 0; i < 5; i++)
    {
      crash (&fixture, i, both[i % 3]);
      pass (&fixture, PAUSE);
    }
  CU_ASSERT_TRUE (is_refused (&fixture, DEADLY));
  CU_ASSERT_TRUE (is_refused (&fixture, OTHER));
  crash (&fixture, 5, bad);
  pass (&fixture, PAUSE);
  CU_ASSERT_TRUE (is_refused (&fixture, DEADLY));
  CU_ASSERT_FALSE (is_refused (&fixture, OTHER));
  fixture_close (&fixture);
}

/* Guards against a bystander that another instance blames as it has missed some of the losses, and
 * behind which the segment at fault then hides. */
static void
test_who_knows_of_more_losses_decides (void)
{
  static const guint64 bad[] = { DEADLY, 0 };
  static const guint64 bystander[] = { OTHER, 0 };
  Fixture fixture;
  SvQuarantined told = { .service = SERVICE, .segment = OTHER, .n_losses = 3 };

  fixture_open (&fixture);
  for (guint i = 0; i < 3; i++)
    {
      crash (&fixture, i, bad);
      crash (&fixture, i, bystander);
      told.losses[i] = (PolBlameLoss){ .endpoint = endpoint_at (&fixture, i)->key,
                                       .lost_at = knl_kernel_now (fixture.kernel) };
      pass (&fixture, PAUSE);
    }
  crash (&fixture, 3, bad);
  told.since = knl_kernel_now (fixture.kernel);
  CU_ASSERT_FALSE (sv_quarantine_adopt (fixture.quarantine, &told, SV_CRASH_OF_CELL));
  pass (&fixture, PAUSE);
  CU_ASSERT_TRUE (is_refused (&fixture, DEADLY));
  CU_ASSERT_FALSE (is_refused (&fixture, OTHER));
  fixture_close (&fixture);
}

/* Guards against segments that are blamed for closed or reset connections of endpoints that live.
 */
static void
test_endpoints_that_are_heard_from_have_not_crashed (void)
{
  static const guint64 segments[] = { COMMON, 0 };
  Fixture fixture;

  fixture_open (&fixture);
  for (guint i = 0; i < 6; i++)
    {
      crash (&fixture, i, segments);
      CU_ASSERT_FALSE (is_refused (&fixture, COMMON));
      knl_paused_clock_advance (fixture.clock, PAUSE);
      endpoint_at (&fixture, i)->signs.proven_at = knl_kernel_now (fixture.kernel);
      sv_quarantine_tick (fixture.quarantine);
    }
  CU_ASSERT_FALSE (is_refused (&fixture, COMMON));
  fixture_close (&fixture);
}

/* Guards against segments that are blamed for endpoints which break off answers, or close
 * connections, and have no other requests by which they would be heard from. */
static void
test_single_lost_answers_convict_nothing (void)
{
  static const guint64 segments[] = { COMMON, 0 };
  Fixture fixture;

  fixture_open (&fixture);
  for (guint i = 0; i < 6; i++)
    {
      break_off (&fixture, i, fixture.next_request++, segments);
      pass (&fixture, PAUSE);
    }
  CU_ASSERT_FALSE (is_refused (&fixture, COMMON));
  /* They refuse connections as well: they had ended. */
  for (guint i = 0; i < 6; i++)
    sv_quarantine_note_refused (fixture.quarantine, endpoint_at (&fixture, i)->key);
  CU_ASSERT_TRUE (is_refused (&fixture, COMMON));
  fixture_close (&fixture);
}

/* Guards against an endpoint that counts as ended by every closed connection, since an instance
 * once lost all its connections to it. */
static void
test_an_endpoint_that_lives_again_has_not_ended (void)
{
  static const guint64 segments[] = { COMMON, 0 };
  Fixture fixture;

  fixture_open (&fixture);
  for (guint i = 0; i < 4; i++)
    lose (&fixture, i, 90 + i, segments);
  knl_paused_clock_advance (fixture.clock, PAUSE);
  for (guint i = 0; i < 4; i++)
    endpoint_at (&fixture, i)->signs.proven_at = knl_kernel_now (fixture.kernel);
  for (guint i = 0; i < 4; i++)
    {
      pass (&fixture, PAUSE);
      break_off (&fixture, i, fixture.next_request++, segments);
    }
  pass (&fixture, PAUSE);
  CU_ASSERT_FALSE (is_refused (&fixture, COMMON));
  fixture_close (&fixture);
}

/* Guards against crashes that don't count, as the endpoints had lost a connection under the segment
 * before. */
static void
test_endpoints_crash_after_a_lost_connection (void)
{
  static const guint64 bad[] = { DEADLY, 0 };
  Fixture fixture;

  fixture_open (&fixture);
  for (guint i = 0; i < 3; i++)
    break_off (&fixture, i, 90 + i, bad);
  knl_paused_clock_advance (fixture.clock, PAUSE);
  for (guint i = 0; i < 3; i++)
    endpoint_at (&fixture, i)->signs.proven_at = knl_kernel_now (fixture.kernel);
  for (guint i = 0; i < 3; i++)
    {
      pass (&fixture, PAUSE);
      crash (&fixture, i, bad);
    }
  pass (&fixture, PAUSE);
  CU_ASSERT_TRUE (is_refused (&fixture, DEADLY));
  fixture_close (&fixture);
}

/* Guards against answers that acquit nothing since their endpoint isn't heard from at once. */
static void
test_answers_acquit_when_the_endpoint_is_heard_from (void)
{
  static const guint64 segments[] = { COMMON, 0 };
  Fixture fixture;
  SvSegmentUse use;

  fixture_open (&fixture);
  use = use_at (&fixture, 7, 500, segments);
  sv_quarantine_note_begun (fixture.quarantine, &use);
  for (guint i = 0; i < 2; i++)
    {
      crash (&fixture, i, segments);
      pass (&fixture, KNL_SEC);
    }
  endpoint_at (&fixture, 7)->signs.proven_at = knl_kernel_now (fixture.kernel);
  pass (&fixture, PAUSE);
  use = use_at (&fixture, 8, 501, segments);
  sv_quarantine_note_begun (fixture.quarantine, &use);
  pass (&fixture, 2 * KNL_SEC);
  endpoint_at (&fixture, 8)->signs.proven_at = knl_kernel_now (fixture.kernel);
  pass (&fixture, PAUSE);
  crash (&fixture, 2, segments);
  pass (&fixture, PAUSE);
  CU_ASSERT_FALSE (is_refused (&fixture, COMMON));
  fixture_close (&fixture);
}

/* Guards against a segment that is acquitted by the first events of an answer whose endpoint ends
 * right after them. */
static void
test_begun_answers_acquit_only_if_survived (void)
{
  static const guint64 bad[] = { DEADLY, 0 };
  Fixture fixture;

  fixture_open (&fixture);
  for (guint i = 0; i < 3; i++)
    {
      SvSegmentUse use = use_at (&fixture, i, fixture.next_request++, bad);
      SvSegmentUse lost = { .endpoint = use.endpoint, .service = SERVICE };

      sv_quarantine_note_begun (fixture.quarantine, &use);
      endpoint_at (&fixture, i)->signs.proven_at = use.at;
      knl_paused_clock_advance (fixture.clock, SV_CRASH_WINDOW / 2);
      lost.at = knl_kernel_now (fixture.kernel);
      /* The answer was complete; what shows the end is other requests. */
      sv_quarantine_note_loss (fixture.quarantine, &lost, SV_CRASH_OWN);
      sv_quarantine_note_closed (fixture.quarantine, lost.endpoint, 1, lost.at);
      pass (&fixture, SV_CRASH_WINDOW);
    }
  CU_ASSERT_TRUE (is_refused (&fixture, DEADLY));
  fixture_close (&fixture);
}

/* Guards against a segment that is acquitted by an answer which its caller cancelled in time. */
static void
test_cancelled_answers_acquit_nothing (void)
{
  static const guint64 bad[] = { DEADLY, 0 };
  Fixture fixture;
  SvSegmentUse use;

  fixture_open (&fixture);
  for (guint i = 0; i < 3; i++)
    {
      crash (&fixture, i, bad);
      pass (&fixture, PAUSE);
    }
  use = use_at (&fixture, 5, 500, bad);
  sv_quarantine_note_begun (fixture.quarantine, &use);
  sv_quarantine_forget_begun (fixture.quarantine, use.request, use.endpoint);
  knl_paused_clock_advance (fixture.clock, SV_CRASH_WINDOW);
  endpoint_at (&fixture, 5)->signs.proven_at = knl_kernel_now (fixture.kernel);
  sv_quarantine_tick (fixture.quarantine);
  CU_ASSERT_TRUE (is_refused (&fixture, DEADLY));
  fixture_close (&fixture);
}

/* Guards against a second segment that crashes endpoints and hides behind the first. */
static void
test_two_segments_at_once_are_both_found (void)
{
  static const guint64 first[] = { COMMON, DEADLY, 0 };
  static const guint64 second[] = { COMMON, OTHER, 0 };
  static const guint64 good[] = { COMMON, 0 };
  Fixture fixture;

  fixture_open (&fixture);
  for (guint i = 0; i < 8; i++)
    {
      crash (&fixture, i, i % 2 == 0 ? first : second);
      pass (&fixture, PAUSE);
      if (i % 2 == 1)
        answer (&fixture, N_ENDPOINTS - 1, good);
    }
  CU_ASSERT_TRUE (is_refused (&fixture, DEADLY));
  CU_ASSERT_TRUE (is_refused (&fixture, OTHER));
  CU_ASSERT_FALSE (is_refused (&fixture, COMMON));
  fixture_close (&fixture);
}

/* Guards against a segment that is never quarantined since another one always comes with it. */
static void
test_segments_that_come_together_are_quarantined_later (void)
{
  static const guint64 both[] = { DEADLY, OTHER, 0 };
  Fixture fixture;

  fixture_open (&fixture);
  for (guint i = 0; i < 5; i++)
    {
      CU_ASSERT_FALSE (is_refused (&fixture, DEADLY));
      crash (&fixture, i, both);
      pass (&fixture, PAUSE);
    }
  CU_ASSERT_TRUE (is_refused (&fixture, DEADLY));
  fixture_close (&fixture);
}

/* Guards against a segment that is never quarantined, or memory without bound, as thousands of
 * made-up segments were lost before. */
static void
test_made_up_segments_take_bounded_memory (void)
{
  static const guint64 bad[] = { DEADLY, 0 };
  Fixture fixture;

  fixture_open (&fixture);
  for (guint64 i = 1; i <= 20000; i++)
    {
      guint64 made_up[] = { 0x10000 + i, 0 };

      crash (&fixture, (guint)(i % N_ENDPOINTS), made_up);
    }
  CU_ASSERT_TRUE (sv_quarantine_n_suspects (fixture.quarantine) <= 4096);
  pass (&fixture, 3 * KNL_SEC);
  for (guint i = 0; i < 3; i++)
    {
      crash (&fixture, i, bad);
      pass (&fixture, PAUSE);
    }
  CU_ASSERT_TRUE (is_refused (&fixture, DEADLY));
  fixture_close (&fixture);
}

/* The endpoint's process is gone for good: its row is removed. */
static void
remove_endpoint (Fixture *self, const char *id)
{
  sv_fleet_remove (self->fleet, id);
  pass (self, 2 * KNL_SEC);
  sv_fleet_sweep (self->fleet);
}

static const char *const removed_ids[] = { "i-0", "i-1", "i-2", "i-3" };

/* Guards against a segment whose prompts come too rarely for their losses to count together. */
static void
test_rare_segments_are_quarantined (void)
{
  static const guint64 bad[] = { DEADLY, 0 };
  Fixture fixture;

  fixture_open (&fixture);
  for (guint i = 0; i < 3; i++)
    {
      crash (&fixture, 0, bad);
      remove_endpoint (&fixture, removed_ids[i]);
      for (guint minute = 0; minute < 30; minute++)
        pass (&fixture, 60 * KNL_SEC);
    }
  CU_ASSERT_TRUE (sv_quarantine_contains (fixture.quarantine, SERVICE, DEADLY));
  fixture_close (&fixture);
}

/* Guards against a segment that is blamed for endpoints which lived on, or were idle, and were
 * scaled in later. */
static void
test_endpoints_that_leave_later_have_not_ended (void)
{
  static const guint64 segments[] = { COMMON, 0 };

  for (guint is_heard = 0; is_heard < 2; is_heard++)
    {
      Fixture fixture;

      fixture_open (&fixture);
      for (guint i = 0; i < 4; i++)
        {
          break_off (&fixture, 0, 100 + i, segments);
          pass (&fixture, PAUSE);
          if (is_heard)
            endpoint_at (&fixture, 0)->signs.proven_at = knl_kernel_now (fixture.kernel);
          pass (&fixture, is_heard ? KNL_SEC : 61 * KNL_SEC);
          remove_endpoint (&fixture, removed_ids[i]);
        }
      CU_ASSERT_FALSE (is_refused (&fixture, COMMON));
      fixture_close (&fixture);
    }
}

/* Guards against an instance whose suspects an outage has filled, and which finds no other segment
 * for hours. */
static void
test_old_suspects_make_way (void)
{
  static const guint64 bad[] = { DEADLY, 0 };
  Fixture fixture;

  fixture_open (&fixture);
  for (guint64 i = 1; i <= 5000; i++)
    {
      guint64 rare[] = { 0x10000 + i, 0 };

      crash (&fixture, 0, rare);
      crash (&fixture, 1, rare);
    }
  remove_endpoint (&fixture, "i-0");
  remove_endpoint (&fixture, "i-1");
  pass (&fixture, 61 * KNL_SEC);
  for (guint i = 2; i < 5; i++)
    {
      crash (&fixture, i, bad);
      pass (&fixture, PAUSE);
    }
  CU_ASSERT_TRUE (sv_quarantine_n_suspects (fixture.quarantine) <= 4096);
  CU_ASSERT_TRUE (is_refused (&fixture, DEADLY));
  fixture_close (&fixture);
}

/* Guards against a quarantine that never ends: the engines run other software now. */
static void
test_a_survived_test_ends_the_quarantine (void)
{
  static const guint64 bad[] = { DEADLY, 0 };
  Fixture fixture;
  guint let_through = 0;

  fixture_open (&fixture);
  for (guint i = 0; i < 3; i++)
    {
      crash (&fixture, i, bad);
      pass (&fixture, PAUSE);
    }
  for (guint s = 0; s < 3600; s++)
    {
      let_through += !is_refused (&fixture, DEADLY);
      pass (&fixture, KNL_SEC);
    }
  /* With the three crashes before, no more than three prompts after the fifth. */
  CU_ASSERT_TRUE (let_through >= 1 && let_through <= 2 + 3);
  answer (&fixture, 5, bad);
  CU_ASSERT_FALSE (is_refused (&fixture, DEADLY));
  CU_ASSERT_EQUAL (sv_quarantine_n (fixture.quarantine), 0);
  fixture_close (&fixture);
}

/* Guards against a quarantine by an instance that was cut off and took that for crashes. */
static void
test_quarantines_that_endpoints_contradict_end (void)
{
  static const guint64 bad[] = { DEADLY, 0 };
  Fixture fixture;
  SvQuarantined told = { .service = SERVICE, .segment = OTHER, .n_losses = 3 };

  fixture_open (&fixture);
  for (guint i = 0; i < 3; i++)
    {
      crash (&fixture, i, bad);
      pass (&fixture, PAUSE);
      told.losses[i] = (PolBlameLoss){ .endpoint = endpoint_at (&fixture, i)->key,
                                       .lost_at = knl_kernel_now (fixture.kernel) };
    }
  told.since = knl_kernel_now (fixture.kernel);
  CU_ASSERT_TRUE (is_refused (&fixture, DEADLY));
  pass (&fixture, PAUSE);
  endpoint_at (&fixture, 1)->signs.proven_at = knl_kernel_now (fixture.kernel);
  CU_ASSERT_FALSE (is_refused (&fixture, DEADLY));
  CU_ASSERT_FALSE (sv_quarantine_adopt (fixture.quarantine, &told, SV_CRASH_OF_CELL));
  fixture_close (&fixture);
}

static void
crash_three (Fixture *self, const guint64 *segments)
{
  for (guint i = 0; i < 3; i++)
    {
      crash (self, i, segments);
      pass (self, PAUSE);
    }
}

/* Guards against a quarantine that is ended by the next process of an endpoint which has crashed:
 * it answers under the same key until its row is read. */
static void
test_the_next_process_acquits_nothing (void)
{
  static const guint64 bad[] = { DEADLY, 0 };
  Fixture fixture;
  SvSegmentUse use;

  fixture_open (&fixture);
  crash_three (&fixture, bad);
  CU_ASSERT_TRUE (is_refused (&fixture, DEADLY));
  use = use_at (&fixture, 4, 500, bad);
  sv_quarantine_note_begun (fixture.quarantine, &use);
  pass (&fixture, SV_CRASH_WINDOW / 2);
  lose (&fixture, 4, 500, bad);
  pass (&fixture, KNL_SEC);
  endpoint_at (&fixture, 4)->signs.proven_at = knl_kernel_now (fixture.kernel);
  pass (&fixture, PAUSE);
  CU_ASSERT_TRUE (is_refused (&fixture, DEADLY));
  fixture_close (&fixture);
}

/* Guards against answers that were survived before their endpoint ended, and acquit nothing. */
static void
test_answers_survived_before_the_end_acquit (void)
{
  static const guint64 common[] = { COMMON, 0 };
  static const guint64 bad[] = { DEADLY, 0 };
  Fixture fixture;
  SvSegmentUse use;

  fixture_open (&fixture);
  for (guint i = 0; i < 2; i++)
    {
      crash (&fixture, i, common);
      pass (&fixture, PAUSE);
    }
  use = use_at (&fixture, 4, 500, common);
  sv_quarantine_note_begun (fixture.quarantine, &use);
  knl_paused_clock_advance (fixture.clock, 2 * SV_CRASH_WINDOW);
  endpoint_at (&fixture, 4)->signs.proven_at = knl_kernel_now (fixture.kernel);
  lose (&fixture, 4, 600, bad);
  crash (&fixture, 5, common);
  pass (&fixture, PAUSE);
  CU_ASSERT_FALSE (is_refused (&fixture, COMMON));
  fixture_close (&fixture);
}

/* Guards against a quarantine that ends since another segment may explain it, while that one isn't
 * refused either. */
static void
test_only_a_verdict_explains_another (void)
{
  static const guint64 other[] = { OTHER, 0 };
  Fixture fixture;
  SvQuarantined told = { .service = SERVICE, .segment = DEADLY, .n_losses = 3 };

  fixture_open (&fixture);
  for (guint i = 0; i < 3; i++)
    told.losses[i] = (PolBlameLoss){ .endpoint = endpoint_at (&fixture, i)->key,
                                     .lost_at = knl_kernel_now (fixture.kernel) };
  told.since = knl_kernel_now (fixture.kernel);
  CU_ASSERT_TRUE (sv_quarantine_adopt (fixture.quarantine, &told, SV_CRASH_OF_CELL));
  /* Closed connections, of endpoints that aren't known to have ended. */
  for (guint i = 0; i < 4; i++)
    break_off (&fixture, i, 700 + i, other);
  pass (&fixture, PAUSE);
  CU_ASSERT_FALSE (is_refused (&fixture, OTHER));
  CU_ASSERT_TRUE (is_refused (&fixture, DEADLY));
  fixture_close (&fixture);
}

/* Guards against prompts that are refused at one service for crashes at another. */
static void
test_services_are_kept_apart (void)
{
  static const guint64 bad[] = { DEADLY, 0 };
  SvSegments segments = { { DEADLY }, 1 };
  gboolean is_test = FALSE;
  Fixture fixture;

  fixture_open (&fixture);
  for (guint i = 0; i < 3; i++)
    {
      crash (&fixture, i, bad);
      pass (&fixture, PAUSE);
    }
  CU_ASSERT_TRUE (is_refused (&fixture, DEADLY));
  CU_ASSERT_PTR_NULL (sv_quarantine_check (fixture.quarantine, SERVICE + 1, &segments, &is_test));
  fixture_close (&fixture);
}

static const SuiteCase cases[] = {
  { "three crashes quarantine a segment", test_three_crashes_quarantine_a_segment },
  { "quick successions quarantine a segment", test_quick_successions_quarantine_a_segment },
  { "shared segments are not blamed", test_shared_segments_are_not_blamed },
  { "endpoints that end together convict nothing",
    test_endpoints_that_end_together_convict_nothing },
  { "losses of one moment count once", test_losses_of_one_moment_count_once },
  { "one request convicts no segment", test_one_request_convicts_no_segment },
  { "bystanders of crashes are not blamed", test_bystanders_of_crashes_are_not_blamed },
  { "a blamed bystander is let go", test_a_blamed_bystander_is_let_go },
  { "who knows of more losses decides", test_who_knows_of_more_losses_decides },
  { "endpoints that are heard from have not crashed",
    test_endpoints_that_are_heard_from_have_not_crashed },
  { "single lost answers convict nothing", test_single_lost_answers_convict_nothing },
  { "an endpoint that lives again has not ended", test_an_endpoint_that_lives_again_has_not_ended },
  { "endpoints crash after a lost connection", test_endpoints_crash_after_a_lost_connection },
  { "answers acquit when the endpoint is heard from",
    test_answers_acquit_when_the_endpoint_is_heard_from },
  { "begun answers acquit only if survived", test_begun_answers_acquit_only_if_survived },
  { "cancelled answers acquit nothing", test_cancelled_answers_acquit_nothing },
  { "two segments at once are both found", test_two_segments_at_once_are_both_found },
  { "segments that come together are quarantined later",
    test_segments_that_come_together_are_quarantined_later },
  { "made-up segments take bounded memory", test_made_up_segments_take_bounded_memory },
  { "rare segments are quarantined", test_rare_segments_are_quarantined },
  { "endpoints that leave later have not ended", test_endpoints_that_leave_later_have_not_ended },
  { "old suspects make way", test_old_suspects_make_way },
  { "a survived test ends the quarantine", test_a_survived_test_ends_the_quarantine },
  { "quarantines that endpoints contradict end", test_quarantines_that_endpoints_contradict_end },
  { "the next process acquits nothing", test_the_next_process_acquits_nothing },
  { "answers survived before the end acquit", test_answers_survived_before_the_end_acquit },
  { "only a verdict explains another", test_only_a_verdict_explains_another },
  { "services are kept apart", test_services_are_kept_apart },
};

SUITE_MAIN ("sv_quarantine_rules", cases)
