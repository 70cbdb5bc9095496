/** The configuration replica: its revision only rises, regardless of the order of pushes. */

#include "coord/config.h"
#include "suite.h"

typedef struct
{
  guint64 from;
  guint64 to;
  const char *weight; /* of workspace "a" after the push; NULL: removed */
  gboolean applied;
  guint64 revision;
  gint64 expected; /* weight in the replica afterwards; 0: no such workspace */
} Step;

static gboolean
apply_step (CoConfig *config, const Step *step)
{
  Alderturn__ConfigChange change = ALDERTURN__CONFIG_CHANGE__INIT;
  Alderturn__ConfigChange *changes[] = { &change };
  Alderturn__ConfigPush push = ALDERTURN__CONFIG_PUSH__INIT;
  g_autofree char *fields = g_strdup_printf ("{\"token\":\"t\",\"weight\":%s}", step->weight);
  gboolean applied;

  change.revision = step->to;
  change.kind = "workspace";
  change.name = "a";
  change.fields = step->weight != NULL ? fields : "";
  change.removed = step->weight == NULL;
  push.from_revision = step->from;
  push.revision = step->to;
  push.changes = changes;
  push.n_changes = 1;
  applied = co_config_apply (config, &push);
  return applied;
}

/*
 * Guards against a replica returning to a value that an operator has replaced.
 * Pushes arrive over several links in any order: after revision 3 has been applied,
 * a slow peer's push of revision 2 or an old snapshot may still arrive.
 */
static void
test_a_late_push_never_brings_an_older_revision_back (void)
{
  static const Step steps[] = {
    { 0, 1, "1", TRUE, 1, 1 }, { 1, 3, "3", TRUE, 3, 3 },  { 1, 2, "2", TRUE, 3, 3 },
    { 0, 2, "2", TRUE, 3, 3 }, { 5, 6, "6", FALSE, 3, 3 }, { 2, 4, "4", TRUE, 4, 4 },
    { 0, 7, "7", TRUE, 7, 7 }, { 7, 8, NULL, TRUE, 8, 0 }, { 0, 7, "7", TRUE, 8, 0 },
    { 8, 9, "9", TRUE, 9, 9 }, { 3, 9, "10", TRUE, 9, 9 },
  };
  g_autoptr (CoConfig) config = co_config_new ();

  for (guint i = 0; i < G_N_ELEMENTS (steps); i++)
    {
      const CoObject *object;

      CU_ASSERT_EQUAL (apply_step (config, &steps[i]), steps[i].applied);
      CU_ASSERT_EQUAL (*co_config_revision (config), steps[i].revision);
      object = co_config_find (config, "workspace", "a");
      CU_ASSERT_EQUAL (object != NULL ? co_object_integer (object, "weight") : 0,
                       steps[i].expected);
    }
}

static void
test_a_push_brings_a_replica_up_from_any_revision (void)
{
  g_autoptr (CoConfig) source = co_config_new ();

  for (guint64 r = 1; r <= 1500; r++)
    {
      Step step = { r - 1, r, r % 7 == 0 ? NULL : "2", TRUE, r, 0 };

      apply_step (source, &step);
    }
  for (guint64 have = 0; have <= 1500; have += 100)
    {
      g_autoptr (CoConfig) replica = co_config_new ();
      Step start = { 0, have, "2", TRUE, have, 0 };
      Alderturn__ConfigPush *push = co_config_push_since (source, have);

      if (have > 0)
        apply_step (replica, &start);
      CU_ASSERT_EQUAL (push->from_revision, have < 476 ? 0 : have);
      CU_ASSERT_TRUE (co_config_apply (replica, push));
      CU_ASSERT_EQUAL (*co_config_revision (replica), 1500);
      CU_ASSERT_PTR_NOT_NULL (co_config_find (replica, "workspace", "a"));
      alderturn__config_push__free_unpacked (push, NULL);
    }
}

static const SuiteCase cases[] = {
  { "a late push never brings an older revision back",
    test_a_late_push_never_brings_an_older_revision_back },
  { "a push brings a replica up from any revision",
    test_a_push_brings_a_replica_up_from_any_revision },
};

SUITE_MAIN ("co_config", cases)
