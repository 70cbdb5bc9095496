/** Quarantines of whole gateways that are killed, or don't hear each other while they reach the
 * store: one verdict for all, and tests of it that are bounded for all together. */

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "suite.h"
#include "tests/fakes/gateway_fleet.h"

#define SERVICE 7
#define SEGMENT 0xdead

#define START_TIME (3 * KNL_SEC)

/* Interval at which an instance that starts is looked at. */
#define START_STEP (2 * KNL_MSEC)

/* Requests that may be let through to find out, of all together. */
#define MAX_LET_THROUGH 3

/* A verdict is known to all instances that reach the store within this. */
#define VERDICT_TIME (3 * KNL_SEC)

#define MAX_FILES 1024

static const GfSize size = { .n_instances = 6, .n_zones = 3, .n_endpoints = 3 };

static const struct
{
  const char *name;
  guint32 service;
  guint64 id;
} verdicts[] = {
  { "a segment", SERVICE, SEGMENT },
  { "a request", SV_QUARANTINE_REQUESTS, SEGMENT },
};

static SvQuarantine *
quarantine_of (const GfFleet *fleet, guint i)
{
  return sv_core_quarantine (fleet->instances[i].gateway.core);
}

static void
open_settled (GfFleet *fleet)
{
  gf_fleet_open (fleet, &size);
  gf_fleet_start_all (fleet, 0);
  gf_fleet_settle (fleet, START_TIME);
  gf_fleet_advance (fleet, START_TIME);
}

static void
restart_all (GfFleet *fleet)
{
  for (guint i = 0; i < size.n_instances; i++)
    gf_fleet_kill (fleet, i);
  gf_fleet_start_all (fleet, 0);
  gf_fleet_settle (fleet, START_TIME);
  gf_fleet_advance (fleet, START_TIME);
}

/* Instance `i` has seen three endpoints end. */
static void
convict (GfFleet *fleet, guint i, guint32 service, guint64 id)
{
  SvQuarantined quarantined = {
    .service = service, .segment = id, .since = knl_kernel_now (fleet->kernel), .n_losses = 3
  };

  for (guint j = 0; j < quarantined.n_losses; j++)
    quarantined.losses[j] = (PolBlameLoss){ .endpoint = 100 + j, .lost_at = quarantined.since };
  sv_quarantine_adopt (quarantine_of (fleet, i), &quarantined, SV_CRASH_OWN);
}

static guint
count_quarantined (const GfFleet *fleet)
{
  guint n = 0;

  for (guint i = 0; i < size.n_instances; i++)
    n += sv_quarantine_n (quarantine_of (fleet, i));
  return n;
}

/* The socket for datagrams that is bound to the address. */
static int
find_socket (const char *address)
{
  struct sockaddr_in wanted;
  int length = sizeof wanted;

  evutil_parse_sockaddr_port (address, (struct sockaddr *)&wanted, &length);
  for (int fd = 3; fd < MAX_FILES; fd++)
    {
      struct sockaddr_in bound = { 0 };
      socklen_t bound_length = sizeof bound;
      socklen_t type_length = sizeof (int);
      int type = 0;

      if (getsockopt (fd, SOL_SOCKET, SO_TYPE, &type, &type_length) == 0 && type == SOCK_DGRAM
          && getsockname (fd, (struct sockaddr *)&bound, &bound_length) == 0
          && bound.sin_addr.s_addr == wanted.sin_addr.s_addr && bound.sin_port == wanted.sin_port)
        return fd;
    }
  return -1;
}

/* Instances hear nothing of each other any more: a connected socket receives from its peer alone.
 */
static void
cut_off (GfFleet *fleet, guint i)
{
  struct sockaddr_in nobody = { .sin_family = AF_INET,
                                .sin_port = htons (9),
                                .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = find_socket (fleet->instances[i].gateway.boot->link_address);

  CU_ASSERT_FATAL (fd >= 0);
  CU_ASSERT_EQUAL (connect (fd, (struct sockaddr *)&nobody, sizeof nobody), 0);
}

static void
cut_off_all (GfFleet *fleet)
{
  for (guint i = 0; i < size.n_instances; i++)
    cut_off (fleet, i);
  gf_fleet_advance (fleet, START_TIME);
}

/* Whether the instance lets a request with it through. */
static gboolean
lets_through (const GfFleet *fleet, guint i, guint32 service, guint64 id)
{
  SvSegments segments = { { id }, 1 };
  gboolean is_test = FALSE;

  return sv_quarantine_check (quarantine_of (fleet, i), service, &segments, &is_test) == NULL;
}

/* Asks each instance once in half a second. Returns how many requests were let through. */
static guint
count_let_through (GfFleet *fleet, guint32 service, guint64 id, guint seconds)
{
  guint n = 0;

  for (guint s = 0; s < 2 * seconds; s++)
    {
      for (guint i = 0; i < size.n_instances; i++)
        n += lets_through (fleet, i, service, id);
      gf_fleet_advance (fleet, KNL_SEC / 2);
    }
  return n;
}

/* Guards against instances that don't hear each other, and of which each makes all tests of a
 * verdict by itself. */
static void
test_parted_instances_share_the_tests (void)
{
  for (guint v = 0; v < G_N_ELEMENTS (verdicts); v++)
    {
      GfFleet fleet;
      guint n;

      open_settled (&fleet);
      convict (&fleet, 0, verdicts[v].service, verdicts[v].id);
      gf_fleet_advance (&fleet, VERDICT_TIME);
      CU_ASSERT_EQUAL (count_quarantined (&fleet), size.n_instances);
      cut_off_all (&fleet);
      n = count_let_through (&fleet, verdicts[v].service, verdicts[v].id, 130);
      if (n > MAX_LET_THROUGH || n == 0)
        printf ("%s: %u let through\n", verdicts[v].name, n);
      CU_ASSERT (n >= 1 && n <= MAX_LET_THROUGH);
      gf_fleet_close (&fleet);
    }
}

/* Guards against tests that are forgotten because all instances are killed right after each. */
static void
test_tests_outlive_restarts_of_all (void)
{
  GfFleet fleet;
  guint n = 0;

  open_settled (&fleet);
  convict (&fleet, 0, SERVICE, SEGMENT);
  gf_fleet_advance (&fleet, VERDICT_TIME);
  for (guint restart = 0; restart < 6; restart++)
    {
      guint let_through = 0;

      for (guint s = 0; s < 80 && let_through == 0; s++)
        {
          gf_fleet_advance (&fleet, KNL_SEC / 2);
          for (guint i = 0; i < size.n_instances && let_through == 0; i++)
            let_through = lets_through (&fleet, i, SERVICE, SEGMENT);
        }
      n += let_through;
      restart_all (&fleet);
      CU_ASSERT_EQUAL (count_quarantined (&fleet), size.n_instances);
    }
  if (n > MAX_LET_THROUGH)
    printf ("%u let through\n", n);
  CU_ASSERT (n <= MAX_LET_THROUGH);
  gf_fleet_close (&fleet);
}

/* Guards against tests that are made anew because the verdict has ended and was made again. */
static void
test_tests_outlive_the_verdict (void)
{
  GfFleet fleet;
  guint n = 0;

  open_settled (&fleet);
  for (guint round = 0; round < 4; round++)
    {
      SvSegmentSurvival survival = { SERVICE, 0, { { SEGMENT }, 1 } };

      convict (&fleet, round, SERVICE, SEGMENT);
      gf_fleet_advance (&fleet, VERDICT_TIME);
      CU_ASSERT_EQUAL (count_quarantined (&fleet), size.n_instances);
      n += count_let_through (&fleet, SERVICE, SEGMENT, 70);
      survival.at = knl_kernel_now (fleet.kernel);
      for (guint i = 0; i < size.n_instances; i++)
        sv_quarantine_note_survival (quarantine_of (&fleet, i), &survival, SV_CRASH_OWN);
      gf_fleet_advance (&fleet, VERDICT_TIME);
      CU_ASSERT_EQUAL (count_quarantined (&fleet), 0);
    }
  if (n > MAX_LET_THROUGH)
    printf ("%u let through\n", n);
  CU_ASSERT (n <= MAX_LET_THROUGH);
  gf_fleet_close (&fleet);
}

/* Guards against instances that hear nobody, reach the store, and let requests through whose
 * verdict others have made. */
static void
test_verdicts_reach_parted_instances (void)
{
  GfFleet fleet;

  open_settled (&fleet);
  cut_off_all (&fleet);
  convict (&fleet, 1, SERVICE, SEGMENT);
  gf_fleet_advance (&fleet, VERDICT_TIME);
  CU_ASSERT_EQUAL (count_quarantined (&fleet), size.n_instances);
  restart_all (&fleet);
  CU_ASSERT_EQUAL (count_quarantined (&fleet), size.n_instances);
  gf_fleet_close (&fleet);
}

/* Guards against a verdict that an instance which hears nobody drops from the row of its cell, as
 * it doesn't know it. */
static void
test_rows_keep_verdicts_of_others (void)
{
  GfFleet fleet;

  open_settled (&fleet);
  for (guint i = size.n_zones; i < size.n_instances; i++)
    cut_off (&fleet, i);
  convict (&fleet, 0, SERVICE, SEGMENT);
  convict (&fleet, size.n_zones, SERVICE, SEGMENT + 1);
  gf_fleet_advance (&fleet, 10 * KNL_SEC);
  restart_all (&fleet);
  CU_ASSERT_EQUAL (count_quarantined (&fleet), 2 * size.n_instances);
  gf_fleet_close (&fleet);
}

/* Returns how many requests the instance lets through from its readiness on. */
static guint
count_let_through_when_ready (GfFleet *fleet, guint i, KnlTime time)
{
  guint n = 0;

  for (KnlTime passed = 0; passed < time; passed += START_STEP)
    {
      gf_fleet_advance (fleet, START_STEP);
      if (gateway_is_ready (&fleet->instances[i].gateway))
        n += lets_through (fleet, i, SERVICE, SEGMENT);
    }
  return n;
}

/* Guards against an instance that starts after the store has lost a verdict, and lets requests
 * through whose verdict the others keep. */
static void
test_lost_verdicts_are_told_at_the_start (void)
{
  static const GfSize sizes[] = {
    { .n_instances = 2, .n_zones = 1, .n_endpoints = 3 },
    { .n_instances = 3, .n_zones = 3, .n_endpoints = 3 },
    { .n_instances = 12, .n_zones = 2, .n_endpoints = 3 },
  };

  for (guint i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      guint last = sizes[i].n_instances - 1;
      GfFleet fleet;
      guint64 copy;

      gf_fleet_open (&fleet, &sizes[i]);
      row_store_set_era (fleet.store, 0);
      gf_fleet_start_all (&fleet, 0);
      gf_fleet_settle (&fleet, START_TIME);
      gf_fleet_advance (&fleet, START_TIME);
      gf_fleet_kill (&fleet, last);
      copy = row_store_version (fleet.store);
      convict (&fleet, 0, SERVICE, SEGMENT);
      gf_fleet_advance (&fleet, VERDICT_TIME);
      row_store_restore (fleet.store, copy);
      gf_fleet_start (&fleet, last);
      CU_ASSERT_EQUAL (count_let_through_when_ready (&fleet, last, START_TIME), 0);
      CU_ASSERT (gateway_is_ready (&fleet.instances[last].gateway));
      gf_fleet_close (&fleet);
    }
}

/* Guards against a verdict that has ended and begins again, as it still stands in a row. */
static void
test_ended_verdicts_are_not_read_again (void)
{
  SvSegmentSurvival survival = { SERVICE, 0, { { SEGMENT }, 1 } };
  GfFleet fleet;

  open_settled (&fleet);
  convict (&fleet, 0, SERVICE, SEGMENT);
  gf_fleet_advance (&fleet, VERDICT_TIME);
  cut_off_all (&fleet);
  survival.at = knl_kernel_now (fleet.kernel);
  sv_quarantine_note_survival (quarantine_of (&fleet, 2), &survival, SV_CRASH_OWN);
  gf_fleet_advance (&fleet, 30 * KNL_SEC);
  CU_ASSERT_EQUAL (sv_quarantine_n (quarantine_of (&fleet, 2)), 0);
  gf_fleet_close (&fleet);
}

static const SuiteCase cases[] = {
  { "parted instances share the tests", test_parted_instances_share_the_tests },
  { "tests outlive restarts of all", test_tests_outlive_restarts_of_all },
  { "tests outlive the verdict", test_tests_outlive_the_verdict },
  { "verdicts reach parted instances", test_verdicts_reach_parted_instances },
  { "rows keep verdicts of others", test_rows_keep_verdicts_of_others },
  { "lost verdicts are told at the start", test_lost_verdicts_are_told_at_the_start },
  { "ended verdicts are not read again", test_ended_verdicts_are_not_read_again },
};

SUITE_MAIN ("gw_quarantine", cases)
