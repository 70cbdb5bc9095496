/** Tests failures of the link between an entry and a controller, with real processes. */

#include "../unit/suite.h"
#include "cluster.h"

#include <string.h>

static const char completion[] =
    "{\"service\":\"letters\",\"prompt\":\"a question\",\"max_tokens\":4}";

/** Requests a completion from an entry; returns its status. */
static int
complete (HnCluster *cluster, const char *address)
{
  HnRequest request = {
    .address = address,
    .method = "POST",
    .path = "/v1/completions",
    .token = HN_TOKEN,
    .timeout_ms = "20000",
    .body = completion,
  };

  return hn_request (cluster->harness, &request, NULL);
}

/* The controller may detect the silence itself, or close the old link when the entry opens a new
 * one. */
static guint
old_links_closed (HnProcess *controller)
{
  return hn_count (controller, "link-closed", "reason", "silent")
         + hn_count (controller, "link-closed", "reason", "replaced");
}

static gboolean
old_link_is_closed (gpointer controller)
{
  return old_links_closed (controller) > 0;
}

/*
 * Guards against an entry that receives neither configuration nor credits without detecting it: the
 * link to its controller goes silent permanently while new connections work. Here a proxy between
 * them stops forwarding and keeps both ends of the connection open.
 */
static void
test_a_silent_link_is_replaced (void)
{
  HnCluster *cluster = hn_cluster_new (&(HnClusterOptions){ .proxies = HN_PROXY_LINK });
  HnInstance *instance = &cluster->instances[0];
  HnProcess *load = hn_load_start (cluster, 10, 8000);
  HnLoad result;

  CU_ASSERT_EQUAL (hn_count (instance->entry.process, "controller-link-open", NULL, NULL), 1);
  hn_fault (cluster, &instance->controller, "{\"mode\":\"freeze\"}");
  CU_ASSERT_TRUE (hn_await_count (instance->entry.process, "link-closed", "reason", "silent", 1));
  CU_ASSERT_TRUE (
      hn_await (cluster->harness, HN_TIMEOUT, old_link_is_closed, instance->controller.process));
  CU_ASSERT_TRUE (hn_await_count (instance->entry.process, "controller-link-open", NULL, NULL, 2));
  CU_ASSERT_EQUAL (complete (cluster, instance->entry.address), 200);
  result = hn_load_await (load);
  CU_ASSERT_EQUAL (result.completed, result.started);
  CU_ASSERT_EQUAL (hn_count (instance->entry.process, "link-closed", "reason", "silent"), 1);
  CU_ASSERT_EQUAL (old_links_closed (instance->controller.process), 1);
  CU_ASSERT_TRUE (hn_cluster_free (cluster));
}

/*
 * Guards against a process of another deployment joining this one: an entry with a different secret
 * connects to this deployment's controller and can't prove that it knows the secret.
 */
static void
test_a_wrong_secret_is_refused_and_affects_no_instance (void)
{
  HnCluster *cluster = hn_cluster_new (&(HnClusterOptions){ 0 });
  HnInstance *instance = &cluster->instances[0];
  const char *address = hn_address_new (cluster->harness);
  const char *arguments[] = { "--instance",
                              "stranger",
                              "--zone",
                              "a",
                              "--listen-address",
                              address,
                              "--controller-address",
                              instance->controller.address,
                              "--secret",
                              "guessed",
                              NULL };
  HnProcess *stranger = hn_start (cluster->harness, "stranger", "entry/alderturn-entry", arguments);
  HnRequest ready = { .address = address, .path = "/readyz" };
  HnRequest members = { .address = instance->operators,
                        .path = "/v1/show/instances",
                        .token = HN_OPERATOR };
  json_t *answer;
  char *text;

  CU_ASSERT_TRUE (hn_await_count (stranger, "link-closed", "reason", "bad-secret", 3));
  CU_ASSERT_TRUE (
      hn_await_count (instance->controller.process, "link-closed", "peer", "stranger", 2));
  CU_ASSERT_EQUAL (hn_count (stranger, "controller-link-open", NULL, NULL), 0);
  CU_ASSERT_EQUAL (hn_count (instance->controller.process, "link-open", "peer", "stranger"), 0);
  CU_ASSERT_EQUAL (hn_request (cluster->harness, &ready, NULL), 503);
  CU_ASSERT_EQUAL (hn_request (cluster->harness, &members, &answer), 200);
  text = json_dumps (answer, 0);
  CU_ASSERT_PTR_NULL (strstr (text, "stranger"));
  free (text);
  json_decref (answer);
  for (guint i = 0; i < cluster->options.instances; i++)
    {
      HnInstance *other = &cluster->instances[i];

      CU_ASSERT_EQUAL (complete (cluster, other->entry.address), 200);
      CU_ASSERT_EQUAL (hn_count (other->entry.process, "link-closed", "reason", "by-peer"), 0);
    }
  CU_ASSERT_TRUE (hn_cluster_free (cluster));
}

static const SuiteCase cases[] = {
  { "a silent link is replaced", test_a_silent_link_is_replaced },
  { "a wrong secret is refused and disturbs nobody",
    test_a_wrong_secret_is_refused_and_affects_no_instance },
};

SUITE_MAIN ("link", cases)
