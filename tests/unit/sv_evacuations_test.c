/** The set of evacuated zones, fed by rows and lists in any order and of several eras. */

#include <string.h>

#include "kernel/paused.h"
#include "serve/evacuations.h"
#include "suite.h"

#define RESTORE_DELAY (5 * KNL_SEC)
#define MAX_STEPS     12

typedef enum
{
  PUT,
  REMOVE,
  BEGIN,
  END,
  WAIT,   /* `version` is the time in ms */
  REPORT, /* by another instance */
} Operation;

typedef struct
{
  Operation operation;
  const char *zone;
  SvPosition position;
  const char *evacuated; /* zones of "abc" that are in the set afterwards; NULL: end of the steps */
  guint64 era;           /* of the reporting instance */
  KnlTime remaining;     /* as reported */
} Step;

typedef struct
{
  const char *name;
  Step steps[MAX_STEPS];
  SvPosition newest;
  const char *events; /* a letter for each event: the zone evacuated, or in capitals restored */
} Row;

static const Row rows[] = {
  { "a row counts at once, and a removed row too",
    { { PUT, "a", { 1, 5 }, "a" }, { REMOVE, "a", { 1, 6 }, "" } },
    { 1, 6 },
    "aA" },
  { "an older row changes nothing",
    { { REMOVE, "a", { 1, 6 }, "" },
      { PUT, "a", { 1, 5 }, "" },
      { PUT, "a", { 1, 7 }, "a" },
      { REMOVE, "a", { 1, 6 }, "a" } },
    { 1, 7 },
    "Aa" },
  { "a row that is written again is no new evacuation",
    { { PUT, "a", { 1, 5 }, "a" }, { PUT, "a", { 1, 9 }, "a" }, { REMOVE, "a", { 1, 8 }, "a" } },
    { 1, 9 },
    "a" },
  { "a removed row of a zone that wasn't known as evacuated ends an evacuation, once",
    { { REMOVE, "a", { 1, 6 }, "" },
      { REMOVE, "a", { 1, 6 }, "" },
      { REMOVE, "a", { 1, 5 }, "" },
      { REMOVE, "a", { 1, 8 }, "" } },
    { 1, 8 },
    "AA" },
  { "a removed row is forgotten after some time, with the next row",
    { { REMOVE, "a", { 1, 6 }, "" },
      { WAIT, NULL, { 0, 599000 }, "" },
      { PUT, "b", { 1, 7 }, "b" },
      { PUT, "a", { 1, 5 }, "b" },
      { WAIT, NULL, { 0, 2000 }, "b" },
      { PUT, "c", { 1, 8 }, "bc" },
      { PUT, "a", { 1, 5 }, "abc" } },
    { 1, 8 },
    "Abca" },
  { "several zones",
    { { PUT, "a", { 1, 5 }, "a" },
      { PUT, "b", { 1, 6 }, "ab" },
      { REMOVE, "a", { 1, 7 }, "b" },
      { PUT, "c", { 1, 8 }, "bc" } },
    { 1, 8 },
    "abAc" },
  { "a list ends evacuations that it lacks, whatever the order of its rows",
    { { PUT, "a", { 1, 5 }, "a" },
      { BEGIN, NULL, { 0 }, "a" },
      { PUT, "c", { 1, 9 }, "a" },
      { PUT, "b", { 1, 7 }, "a" },
      { END, NULL, { 1, 9 }, "bc" },
      { BEGIN, NULL, { 0 }, "bc" },
      { PUT, "b", { 1, 11 }, "bc" },
      { PUT, "c", { 1, 10 }, "bc" },
      { END, NULL, { 1, 12 }, "bc" } },
    { 1, 11 },
    NULL },
  { "a list that was dropped changes nothing",
    { { PUT, "a", { 1, 5 }, "a" },
      { BEGIN, NULL, { 0 }, "a" },
      { PUT, "b", { 1, 7 }, "a" },
      { BEGIN, NULL, { 0 }, "a" },
      { PUT, "a", { 1, 5 }, "a" },
      { END, NULL, { 1, 9 }, "a" } },
    { 1, 5 },
    "a" },
  { "a list older than a row changes nothing",
    { { PUT, "a", { 1, 9 }, "a" },
      { BEGIN, NULL, { 0 }, "a" },
      { PUT, "b", { 1, 5 }, "a" },
      { END, NULL, { 1, 8 }, "a" } },
    { 1, 9 },
    "a" },
  { "a list older than another list changes nothing",
    { { BEGIN, NULL, { 0 }, "" },
      { PUT, "a", { 1, 2 }, "" },
      { END, NULL, { 1, 20 }, "a" },
      { BEGIN, NULL, { 0 }, "a" },
      { PUT, "b", { 1, 5 }, "a" },
      { END, NULL, { 1, 19 }, "a" },
      { PUT, "b", { 1, 19 }, "a" },
      { PUT, "b", { 1, 21 }, "ab" } },
    { 1, 21 },
    "ab" },
  { "the same list again",
    { { BEGIN, NULL, { 0 }, "" },
      { PUT, "a", { 1, 2 }, "" },
      { END, NULL, { 1, 20 }, "a" },
      { BEGIN, NULL, { 0 }, "a" },
      { PUT, "a", { 1, 2 }, "a" },
      { END, NULL, { 1, 20 }, "a" } },
    { 1, 2 },
    "a" },
  { "after a new era an evacuation lasts for the delay from the first list on",
    { { PUT, "a", { 1, 50 }, "a" },
      { WAIT, NULL, { 0, 60000 }, "a" },
      { BEGIN, NULL, { 0 }, "a" },
      { END, NULL, { 2, 7 }, "a" },
      { WAIT, NULL, { 0, 3000 }, "a" },
      { BEGIN, NULL, { 0 }, "a" },
      { END, NULL, { 2, 9 }, "a" },
      { WAIT, NULL, { 0, 1999 }, "a" },
      { WAIT, NULL, { 0, 1 }, "" } },
    { 1, 50 },
    "aA" },
  { "a row that is written again in the new era keeps the zone evacuated",
    { { PUT, "a", { 1, 50 }, "a" },
      { BEGIN, NULL, { 0 }, "a" },
      { END, NULL, { 2, 7 }, "a" },
      { WAIT, NULL, { 0, 4999 }, "a" },
      { PUT, "a", { 2, 8 }, "a" },
      { WAIT, NULL, { 0, 60000 }, "a" },
      { BEGIN, NULL, { 0 }, "a" },
      { END, NULL, { 2, 9 }, "" } },
    { 2, 8 },
    "aA" },
  { "a row that is removed in the new era ends the evacuation at once",
    { { PUT, "a", { 1, 50 }, "a" },
      { BEGIN, NULL, { 0 }, "a" },
      { END, NULL, { 2, 7 }, "a" },
      { REMOVE, "a", { 2, 8 }, "" },
      { WAIT, NULL, { 0, 60000 }, "" } },
    { 2, 8 },
    "aA" },
  { "a further era begins the delay anew",
    { { PUT, "a", { 1, 50 }, "a" },
      { BEGIN, NULL, { 0 }, "a" },
      { END, NULL, { 2, 7 }, "a" },
      { WAIT, NULL, { 0, 4000 }, "a" },
      { BEGIN, NULL, { 0 }, "a" },
      { END, NULL, { 3, 2 }, "a" },
      { WAIT, NULL, { 0, 4999 }, "a" },
      { WAIT, NULL, { 0, 1 }, "" } },
    { 1, 50 },
    "aA" },
  { "rows and lists of an earlier era change nothing",
    { { PUT, "a", { 2, 5 }, "a" },
      { REMOVE, "a", { 1, 90 }, "a" },
      { BEGIN, NULL, { 0 }, "a" },
      { END, NULL, { 1, 91 }, "a" },
      { WAIT, NULL, { 0, 60000 }, "a" } },
    { 2, 5 },
    "a" },
  { "a list of an era that was unknown counts as one of another era",
    { { PUT, "a", { 0, 50 }, "a" },
      { BEGIN, NULL, { 0 }, "a" },
      { END, NULL, { 1, 7 }, "a" },
      { WAIT, NULL, { 0, 5000 }, "" },
      { PUT, "b", { 1, 8 }, "b" } },
    { 1, 8 },
    "aAb" },
  { "a reported evacuation whose row is lost counts until its end",
    { { BEGIN, NULL, { 0 }, "" },
      { END, NULL, { 2, 7 }, "" },
      { REPORT, "a", { 1, 50 }, "a", 2, 3 * KNL_SEC },
      { WAIT, NULL, { 0, 2999 }, "a" },
      { WAIT, NULL, { 0, 1 }, "" } },
    { 0 },
    "aA" },
  { "it lasts no longer than the delay, and later lists and reports don't extend it",
    { { BEGIN, NULL, { 0 }, "" },
      { END, NULL, { 2, 7 }, "" },
      { REPORT, "a", { 1, 50 }, "a", 2, 60 * KNL_SEC },
      { WAIT, NULL, { 0, 3000 }, "a" },
      { REPORT, "a", { 1, 50 }, "a", 2, 5 * KNL_SEC },
      { BEGIN, NULL, { 0 }, "a" },
      { END, NULL, { 2, 8 }, "a" },
      { WAIT, NULL, { 0, 2000 }, "" } },
    { 0 },
    "aA" },
  { "it lasts on when its row is written again, and ends when that is removed",
    { { BEGIN, NULL, { 0 }, "" },
      { END, NULL, { 2, 7 }, "" },
      { REPORT, "a", { 1, 50 }, "a", 2, KNL_SEC },
      { PUT, "a", { 2, 8 }, "a" },
      { WAIT, NULL, { 0, 6000 }, "a" },
      { REMOVE, "a", { 2, 9 }, "" },
      { REPORT, "a", { 1, 50 }, "", 2, KNL_SEC } },
    { 2, 9 },
    "aA" },
  { "one that is reported before the first list",
    { { REPORT, "a", { 1, 50 }, "a", 2, 3 * KNL_SEC },
      { REPORT, "b", { 1, 51 }, "ab", 1, 3 * KNL_SEC },
      { BEGIN, NULL, { 0 }, "ab" },
      { END, NULL, { 2, 7 }, "ab" },
      { WAIT, NULL, { 0, 3000 }, "b" },
      { WAIT, NULL, { 0, 2000 }, "" } },
    { 0 },
    NULL },
  { "the same, where the list is of the era of the row",
    { { REPORT, "a", { 2, 50 }, "a", 2, 3 * KNL_SEC },
      { BEGIN, NULL, { 0 }, "a" },
      { END, NULL, { 2, 70 }, "" } },
    { 0 },
    "aA" },
  { "one whose row the present list would have is none",
    { { BEGIN, NULL, { 0 }, "" },
      { END, NULL, { 2, 70 }, "" },
      { REPORT, "a", { 2, 50 }, "", 2, 3 * KNL_SEC },
      { REPORT, "a", { 3, 50 }, "", 3, 3 * KNL_SEC },
      { REPORT, "a", { 0, 50 }, "", 2, 3 * KNL_SEC },
      { REPORT, "a", { 1, 0 }, "", 2, 3 * KNL_SEC },
      { REPORT, "a", { 1, 50 }, "", 2, 0 } },
    { 0 },
    "" },
};

typedef struct
{
  KnlPausedClock *clock;
  KnlKernel *kernel;
  SvEvacuations *set;
  GString *events;
} Fixture;

static void
on_evacuated (const char *zone, SvPosition position, gpointer data)
{
  g_string_append (((Fixture *)data)->events, zone);
}

static void
on_restored (const char *zone, SvPosition position, gpointer data)
{
  g_string_append_c (((Fixture *)data)->events, g_ascii_toupper (zone[0]));
}

static const SvEvacuationEvents events = { .evacuated = on_evacuated, .restored = on_restored };

static void
fixture_open (Fixture *self)
{
  self->clock = knl_paused_clock_new ();
  knl_paused_clock_advance (self->clock, 100 * KNL_SEC);
  self->kernel = knl_kernel_new (knl_paused_clock_runtime (self->clock), 1);
  self->events = g_string_new (NULL);
  self->set = sv_evacuations_new (self->kernel, &events, self);
  sv_evacuations_set_restore_delay (self->set, RESTORE_DELAY);
}

static void
fixture_close (Fixture *self)
{
  sv_evacuations_free (self->set);
  g_string_free (self->events, TRUE);
  knl_kernel_free (self->kernel);
  knl_paused_clock_free (self->clock);
}

static void
report (Fixture *self, const Step *step)
{
  SvEvacuation reported = { .zone = step->zone,
                            .position = step->position,
                            .until = knl_kernel_now (self->kernel) + step->remaining };

  sv_evacuations_note_reported (self->set, &reported, step->era);
}

static void
run_step (Fixture *self, const Step *step)
{
  switch (step->operation)
    {
    case PUT:
      sv_evacuations_put (self->set, step->zone, step->position);
      break;
    case REMOVE:
      sv_evacuations_remove (self->set, step->zone, step->position);
      break;
    case BEGIN:
      sv_evacuations_begin_list (self->set);
      break;
    case END:
      sv_evacuations_end_list (self->set, step->position);
      break;
    case WAIT:
      knl_paused_clock_advance (self->clock, (KnlTime)step->position.version * KNL_MSEC);
      break;
    case REPORT:
      report (self, step);
      break;
    }
}

static char *
evacuated_zones (const Fixture *self)
{
  GString *found = g_string_new (NULL);

  for (const char *zone = "abc"; *zone != '\0'; zone++)
    {
      const char name[] = { *zone, '\0' };

      if (sv_evacuations_has (self->set, name))
        g_string_append_c (found, *zone);
    }
  return g_string_free (found, FALSE);
}

static void
check_step (const Fixture *self, const Row *row, guint i)
{
  g_autofree char *found = evacuated_zones (self);

  if (strcmp (found, row->steps[i].evacuated) != 0)
    printf ("\n  %s: step %u: evacuated \"%s\"", row->name, i, found);
  CU_ASSERT_STRING_EQUAL (found, row->steps[i].evacuated);
  CU_ASSERT_EQUAL (sv_evacuations_count (self->set), strlen (row->steps[i].evacuated));
}

/* Guards against requests to an evacuated zone after old rows, old lists or a new era, and against
 * zones that stay evacuated. */
static void
test_rows_and_lists (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      Fixture fixture;
      SvPosition newest;

      fixture_open (&fixture);
      for (guint j = 0; j < MAX_STEPS && rows[i].steps[j].evacuated != NULL; j++)
        {
          run_step (&fixture, &rows[i].steps[j]);
          check_step (&fixture, &rows[i], j);
        }
      newest = sv_evacuations_newest (fixture.set);
      CU_ASSERT_EQUAL (newest.era, rows[i].newest.era);
      CU_ASSERT_EQUAL (newest.version, rows[i].newest.version);
      if (rows[i].events != NULL)
        CU_ASSERT_STRING_EQUAL (fixture.events->str, rows[i].events);
      fixture_close (&fixture);
    }
}

/* Guards against zones that stay evacuated after a new era where no bound is set. */
static void
test_no_delay (void)
{
  static const Step reported = { REPORT, "a", { 1, 50 }, "", 2, KNL_SEC };
  Fixture fixture;

  fixture_open (&fixture);
  sv_evacuations_set_restore_delay (fixture.set, 0);
  sv_evacuations_put (fixture.set, "a", (SvPosition){ 1, 50 });
  sv_evacuations_begin_list (fixture.set);
  sv_evacuations_end_list (fixture.set, (SvPosition){ 2, 7 });
  CU_ASSERT_FALSE (sv_evacuations_has (fixture.set, "a"));
  CU_ASSERT_FALSE (sv_evacuations_has (fixture.set, NULL));
  report (&fixture, &reported);
  CU_ASSERT_FALSE (sv_evacuations_has (fixture.set, "a"));
  fixture_close (&fixture);
}

/* Guards against evacuations that others keep, and that aren't reported to them. */
static void
test_what_is_listed (void)
{
  SvEvacuation list[3];
  Fixture fixture;
  KnlTime now;

  fixture_open (&fixture);
  now = knl_kernel_now (fixture.kernel);
  sv_evacuations_put (fixture.set, "a", (SvPosition){ 1, 50 });
  sv_evacuations_put (fixture.set, "b", (SvPosition){ 1, 51 });
  sv_evacuations_remove (fixture.set, "b", (SvPosition){ 1, 52 });
  CU_ASSERT_EQUAL (sv_evacuations_list (fixture.set, list, 3), 1);
  CU_ASSERT_STRING_EQUAL (list[0].zone, "a");
  CU_ASSERT (list[0].position.era == 1 && list[0].position.version == 50);
  CU_ASSERT_EQUAL (list[0].until, now + RESTORE_DELAY);
  sv_evacuations_begin_list (fixture.set);
  sv_evacuations_end_list (fixture.set, (SvPosition){ 2, 7 });
  knl_paused_clock_advance (fixture.clock, KNL_SEC);
  CU_ASSERT_EQUAL (sv_evacuations_list (fixture.set, list, 3), 1);
  CU_ASSERT_EQUAL (list[0].until, now + RESTORE_DELAY);
  sv_evacuations_put (fixture.set, "b", (SvPosition){ 2, 8 });
  CU_ASSERT_EQUAL (sv_evacuations_list (fixture.set, list, 3), 2);
  CU_ASSERT_EQUAL (sv_evacuations_list (fixture.set, list, 1), 1);
  sv_evacuations_put (fixture.set, "c", (SvPosition){ 0, 9 });
  CU_ASSERT_EQUAL (sv_evacuations_list (fixture.set, list, 3), 2);
  fixture_close (&fixture);
}

static const SuiteCase cases[] = {
  { "what is listed", test_what_is_listed },
  { "rows and lists", test_rows_and_lists },
  { "no delay after a new era", test_no_delay },
};

SUITE_MAIN ("sv_evacuations", cases)
