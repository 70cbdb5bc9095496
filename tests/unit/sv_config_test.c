/** Tests of the selection of a request's route. */

#include <string.h>

#include "serve/config.h"
#include "suite.h"

static void
add (SvConfig *config, const char *host, const char *prefix, const char *name)
{
  SvRoute *route = sv_route_new ();

  route->name = g_strdup (name);
  route->host = g_strdup (host);
  route->prefix = g_strdup (prefix);
  sv_route_add_split (route, "s", 1);
  sv_config_add_route (config, route);
}

static void
test_the_longest_prefix_of_the_host_wins (void)
{
  static const struct
  {
    const char *host;
    const char *path;
    const char *name; /* NULL: no route */
  } rows[] = {
    { "a.example", "/x/1", "x" },      { "a.example", "/x/", "x" },
    { "a.example", "/x/y/1", "xy" },   { "a.example", "/x/y", "x" },
    { "a.example", "/x/yy/1", "x" },   { "a.example", "/x", NULL },
    { "a.example", "/z/1", NULL },     { "a.example", "", NULL },
    { "A.Example:80", "/x/1", "x" },   { "b.example", "/x/1", "root" },
    { "b.example", "/", "root" },      { "b.example", "//x//", "root" },
    { "c.example", "/x/1", NULL },     { "upper.example", "/u/1", "upper" },
    { "a.example", "/x/y/z/1", "xy" }, { "twice.example", "/t/1", "second" },
  };
  g_autoptr (SvConfig) config = sv_config_new (1);

  add (config, "a.example", "/x/", "x");
  add (config, "a.example", "/x/y/", "xy");
  add (config, "b.example", "/", "root");
  add (config, "Upper.Example", "/u/", "upper");
  add (config, "twice.example", "/t/", "first");
  add (config, "twice.example", "/t/", "second");
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      const SvRoute *route = sv_config_route (config, rows[i].host, rows[i].path);

      CU_ASSERT_EQUAL (g_strcmp0 (route != NULL ? route->name : NULL, rows[i].name), 0);
    }
}

/* Guards against paths of many slashes, for each of which a prefix would be looked up. */
static void
test_a_path_of_slashes_costs_no_more_than_the_longest_prefix (void)
{
  g_autoptr (SvConfig) config = sv_config_new (1);
  g_autofree char *path = g_strnfill (1 << 20, '/');

  add (config, "a.example", "/x/y/", "xy");
  CU_ASSERT_EQUAL (config->longest_prefix, strlen ("/x/y/"));
  for (guint i = 0; i < 10000; i++)
    CU_ASSERT_PTR_NULL (sv_config_route (config, "a.example", path));
}

static const SuiteCase cases[] = {
  { "the longest prefix of the host wins", test_the_longest_prefix_of_the_host_wins },
  { "a path of slashes costs no more than the longest prefix",
    test_a_path_of_slashes_costs_no_more_than_the_longest_prefix },
};

SUITE_MAIN ("sv_config", cases)
