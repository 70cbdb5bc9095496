/**
 * Divides eight duties among any number of processes, so that one process at a
 * time performs each duty. Uses the library's membership and leases without the
 * daemons.
 *
 *     duties --name=a --address=127.0.0.1:7001 --peers=b=127.0.0.1:7002
 *            --platform-address=127.0.0.1:7100 --secret=s
 */

#include <event2/event.h>
#include <signal.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "common/settings.h"
#include "coord/lease.h"
#include "coord/member.h"
#include "kernel/event_runtime.h"
#include "table/http.h"
#include "wire/tcp.h"

#define DUTIES        8
#define LEASE_TIME    (3 * KNL_SEC)
#define PLATFORM_TIME KNL_SEC
#define WORK_INTERVAL (100 * KNL_MSEC)

typedef struct
{
  char *name;
  char *address;
  char *peers;
  char *platform;
  char *secret;
} Settings;

static const CmSetting table[] = {
  { .name = "name",
    .type = CM_SETTING_STRING,
    .offset = offsetof (Settings, name),
    .help = "Name of this process" },
  { .name = "address",
    .type = CM_SETTING_ADDRESS,
    .offset = offsetof (Settings, address),
    .help = "Where the others reach it" },
  { .name = "peers",
    .type = CM_SETTING_STRING,
    .offset = offsetof (Settings, peers),
    .fallback = "",
    .help = "NAME=IP:PORT of some of the others, with commas" },
  { .name = "platform-address",
    .type = CM_SETTING_ADDRESS,
    .offset = offsetof (Settings, platform),
    .help = "The platform's table, where the leases are" },
  { .name = "secret",
    .type = CM_SETTING_STRING,
    .offset = offsetof (Settings, secret),
    .help = "Shared by all processes" },
  { .name = NULL },
};

typedef struct
{
  Settings settings;
  struct event_base *base;
  KnlRuntime *runtime;
  KnlKernel *kernel;
  WrIdentity identity;
  WrTransport *transport;
  TbTable *platform;
  CoMembers *members;
  CoLeases *leases;
  GList *peers; /* Peer */
  guint64 works;
} Node;

/* A link to another process, and its name once the handshake is done. */
typedef struct
{
  Node *node;
  WrLink *link;
  char *name;
  gboolean open;
} Peer;

static void
peer_free (gpointer data)
{
  Peer *peer = data;

  g_free (peer->name);
  g_free (peer);
}

static void
on_link_open (WrLink *link, const Alderturn__Hello *hello, gpointer data)
{
  Peer *peer = data;

  g_free (peer->name);
  peer->name = g_strdup (hello->instance);
  peer->open = TRUE;
}

static void
on_link_frame (WrLink *link, const Alderturn__Frame *frame, gpointer data)
{
  const Peer *peer = data;
  CoMembers *members = peer->node->members;

  if (frame->body_case == ALDERTURN__FRAME__BODY_PROBE)
    co_members_handle_probe (members, peer->name, frame->probe);
  else if (frame->body_case == ALDERTURN__FRAME__BODY_PROBE_ACK)
    co_members_handle_ack (members, peer->name, frame->probe_ack);
  else if (frame->body_case == ALDERTURN__FRAME__BODY_MEMBER_UPDATE)
    co_members_handle_update (members, peer->name, frame->member_update);
}

static void
on_link_closed (WrLink *link, WrCloseReason reason, gpointer data)
{
  Peer *peer = data;

  peer->node->peers = g_list_remove (peer->node->peers, peer);
  peer_free (peer);
}

static const WrLinkEvents link_events = {
  .on_open = on_link_open,
  .on_frame = on_link_frame,
  .on_closed = on_link_closed,
};

static Peer *
peer_new (Node *node, const char *name)
{
  Peer *peer = g_new0 (Peer, 1);

  peer->node = node;
  peer->name = g_strdup (name);
  node->peers = g_list_prepend (node->peers, peer);
  return peer;
}

static void
on_link_accepted (WrLink *link, const Alderturn__Hello *hello, gpointer data)
{
  Peer *peer = peer_new (data, hello->instance);

  peer->link = link;
  peer->open = TRUE;
  wr_link_set_events (link, &link_events, peer);
}

/* Sends a frame for the membership protocol, which tolerates the loss of frames for which no link
 * is open yet. */
static void
send_frame (const Alderturn__Member *to, const Alderturn__Frame *frame, gpointer data)
{
  Node *node = data;
  gboolean known = FALSE;
  Peer *peer;

  for (GList *item = node->peers; item != NULL; item = item->next)
    {
      peer = item->data;
      if (strcmp (peer->name, to->name) != 0)
        continue;
      known = TRUE;
      if (peer->open)
        {
          wr_link_send (peer->link, frame);
          return;
        }
    }
  if (known)
    return;
  peer = peer_new (node, to->name);
  peer->link = wr_transport_connect (node->transport, to->address, &link_events, peer);
}

static void
add_name (const Alderturn__Member *member, gpointer data)
{
  g_ptr_array_add (data, member->name);
}

/* All live members share the duties. An outdated member list is harmless, as the leases decide
 * which process holds a duty. */
static void
on_member (const Alderturn__Member *member, gpointer data)
{
  Node *node = data;
  GPtrArray *names = g_ptr_array_new ();

  co_members_foreach (node->members, ALDERTURN__MEMBER_KIND__MEMBER_KIND_CONTROLLER, add_name,
                      names);
  co_leases_set_candidates (node->leases, (const char *const *)names->pdata, names->len);
  g_ptr_array_unref (names);
}

static void
on_lease (CoLeases *leases, guint duty, guint64 fence, gpointer data)
{
  if (fence > 0)
    printf ("duty %u is mine, fencing number %" G_GUINT64_FORMAT "\n", duty, fence);
  else
    printf ("duty %u is no longer mine\n", duty);
  fflush (stdout);
}

/* Performs one step of a duty. Orders to other processes must carry the fencing number. */
static void
work (Node *node, guint duty, guint64 fence)
{
  node->works++;
}

static void
on_work_time (gpointer data)
{
  Node *node = data;
  guint64 fence;

  for (guint duty = 0; duty < DUTIES; duty++)
    {
      /* Right before each act: the process may have been paused since it was told that the duty is
       * its own, and another may do it by now. */
      if (co_lease_valid (node->leases, duty, &fence))
        work (node, duty, fence);
    }
  knl_timer_start (node->kernel, WORK_INTERVAL, on_work_time, node);
}

static void
seed_members (Node *node)
{
  char **peers = g_strsplit (node->settings.peers, ",", -1);

  for (guint i = 0; peers[i] != NULL; i++)
    {
      Alderturn__Member member = ALDERTURN__MEMBER__INIT;
      Alderturn__Member *list[] = { &member };
      char *address = strchr (peers[i], '=');

      if (address == NULL)
        continue;
      *address++ = '\0';
      member.name = peers[i];
      member.address = address;
      member.kind = ALDERTURN__MEMBER_KIND__MEMBER_KIND_CONTROLLER;
      member.state = ALDERTURN__MEMBER_STATE__MEMBER_STATE_LIVE;
      co_members_seed (node->members, list, 1);
    }
  g_strfreev (peers);
}

static void
start_coordination (Node *node)
{
  Alderturn__Member self = ALDERTURN__MEMBER__INIT;
  CoLeasesOptions leases = {
    .kernel = node->kernel,
    .platform = node->platform,
    .name = node->settings.name,
    .incarnation = node->identity.incarnation,
    .n_shards = DUTIES,
    .duration = LEASE_TIME,
  };

  self.name = node->settings.name;
  self.address = node->settings.address;
  self.kind = ALDERTURN__MEMBER_KIND__MEMBER_KIND_CONTROLLER;
  self.state = ALDERTURN__MEMBER_STATE__MEMBER_STATE_LIVE;
  self.incarnation = node->identity.incarnation;
  node->leases = co_leases_new (&leases);
  co_leases_observe (node->leases, on_lease, node);
  node->members = co_members_new (node->kernel, &self, NULL, send_frame, node);
  co_members_observe (node->members, on_member, node);
  seed_members (node);
  on_member (NULL, node);
}

static void
on_released (gpointer data)
{
  event_base_loopexit (((Node *)data)->base, NULL);
}

/* Releases the leases, so that other processes acquire them without waiting for their expiry. */
static void
on_signal (evutil_socket_t number, short what, void *data)
{
  co_leases_release (((Node *)data)->leases, on_released, data);
}

static gboolean
node_open (Node *node)
{
  node->base = event_base_new ();
  node->runtime = knl_event_runtime_new (node->base);
  node->identity = (WrIdentity){
    .instance = node->settings.name,
    .incarnation = (guint64)g_get_real_time (),
    .role = ALDERTURN__ROLE__ROLE_CONTROLLER,
    .zone = "",
    .region = "",
    .address = node->settings.address,
    .caller_address = "",
    .secret = node->settings.secret,
  };
  node->kernel = knl_kernel_new (node->runtime, (guint32)node->identity.incarnation);
  node->platform =
      tb_http_platform_new (node->kernel, node->base, node->settings.platform, PLATFORM_TIME);
  node->transport = wr_tcp_transport_new (node->kernel, node->base, &node->identity, NULL);
  if (!wr_transport_listen (node->transport, node->settings.address, on_link_accepted, node))
    return FALSE;
  start_coordination (node);
  on_work_time (node);
  return TRUE;
}

static void
node_close (Node *node)
{
  if (node->members != NULL)
    co_members_free (node->members);
  if (node->leases != NULL)
    co_leases_free (node->leases);
  wr_transport_free (node->transport);
  g_list_free_full (node->peers, peer_free);
  tb_platform_free (node->platform);
  knl_kernel_free (node->kernel);
  knl_event_runtime_free (node->runtime);
  event_base_free (node->base);
}

static int
run (const Settings *settings)
{
  Node node = { .settings = *settings };
  int status = EXIT_FAILURE;

  if (node_open (&node))
    {
      struct event *end = evsignal_new (node.base, SIGTERM, on_signal, &node);

      event_add (end, NULL);
      event_base_dispatch (node.base);
      event_free (end);
      printf ("worked %" G_GUINT64_FORMAT " times\n", node.works);
      status = EXIT_SUCCESS;
    }
  node_close (&node);
  return status;
}

int
main (int argc, char **argv)
{
  Settings settings = { 0 };
  CmFindings findings;
  CmSettingsAction action;
  int status = EXIT_SUCCESS;

  signal (SIGPIPE, SIG_IGN);
  cm_findings_init (&findings);
  action = cm_settings_parse (table, "Divides eight duties among processes.", argc, argv, &settings,
                              NULL, &findings);
  if (cm_findings_report (&findings))
    status = EXIT_FAILURE;
  else if (action == CM_SETTINGS_RUN)
    {
      cm_log_init ("duties", settings.name, CM_LOG_NOTICE);
      status = run (&settings);
    }
  cm_findings_clear (&findings);
  cm_settings_clear (table, &settings);
  return status;
}
