#include "targets.h"

#include <glib/gstdio.h>
#include <string.h>

#include "common/log.h"
#include "http/reader.h"
#include "kernel/paused.h"
#include "platform/boot.h"
#include "platform/config_decoder.h"
#include "platform/decode.h"
#include "platform/dialect.h"
#include "platform/store.h"
#include "serve/events.h"
#include "serve/peers_internal.h"

static KnlKernel *kernel;
static SvFleet *fleet;
static SvPeers *peers;
static SvDialect *dialect;
static char *settings_path;

void
fuzz_setup (void)
{
  struct event_base *base = event_base_new ();
  KnlPausedClock *clock = knl_paused_clock_new ();

  cm_log_init ("fuzz", "", CM_LOG_EMERG);
  kernel = knl_kernel_new (knl_paused_clock_runtime (clock), 3);
  fleet = sv_fleet_new (kernel, KNL_SEC);
  dialect = pl_dialect_new ();
  for (guint port = 24000; peers == NULL; port++)
    {
      g_autofree char *link = g_strdup_printf ("127.0.0.1:%u", port);
      SvMember member = { .name = "n", .incarnation = 1, .link_address = link, .zone = "a" };

      peers = sv_peers_new (kernel, base, fleet, &member);
    }
  close (g_file_open_tmp ("alderturn-fuzz-XXXXXX", &settings_path, NULL));
}

/* Feeds the input in two halves, because data from a socket also arrives in pieces. */
static HtMessage *
read_message (gboolean responses, const guint8 *bytes, gsize length)
{
  static const HtLimits limits = { .max_head_bytes = 4096, .max_body_bytes = 4096 };
  static const HtReaderEvents events = { 0 };
  HtReader *reader = ht_reader_new (responses, &limits, &events, NULL);
  HtReadStatus status;
  HtMessage *message = NULL;
  gsize consumed = 0;

  ht_reader_begin (reader, FALSE);
  status = ht_reader_feed (reader, (const char *)bytes, length / 2, &consumed);
  if (status == HT_READ_MORE)
    status =
        ht_reader_feed (reader, (const char *)bytes + length / 2, length - length / 2, &consumed);
  if (status == HT_READ_MORE)
    status = ht_reader_finish (reader);
  if (status == HT_READ_COMPLETE)
    message = ht_reader_steal (reader);
  ht_reader_free (reader);
  return message;
}

static void
run_request (const guint8 *bytes, gsize length)
{
  g_autoptr (HtMessage) message = read_message (FALSE, bytes, length);
  SvRequestParams params;

  if (message == NULL)
    return;
  dialect->klass->read_request (dialect, message, &params);
  g_free (ht_message_path (message));
  g_free (ht_message_query (message, "zone"));
}

static void
run_response (const guint8 *bytes, gsize length)
{
  g_autoptr (HtMessage) message = read_message (TRUE, bytes, length);
  SvReply reply;

  if (message != NULL)
    dialect->klass->read_reply (dialect, message, &reply);
}

static void
ignore_event (const SvEvent *event, gpointer data)
{
}

static void
run_events (const guint8 *bytes, gsize length)
{
  SvEvents events;

  sv_events_init (&events);
  sv_events_feed (&events, (const char *)bytes, length / 2, ignore_event, NULL);
  sv_events_feed (&events, (const char *)bytes + length / 2, length - length / 2, ignore_event,
                  NULL);
  sv_events_clear (&events);
}

static json_t *
read_json (const guint8 *bytes, gsize length)
{
  return json_loadb ((const char *)bytes, length, JSON_DECODE_ANY, NULL);
}

static void
run_config (const guint8 *bytes, gsize length)
{
  SvConfig *config = pl_decode_config ((const char *)bytes, length);

  if (config == NULL)
    return;
  sv_config_route (config, "h.example", "/a/1");
  sv_config_unref (config);
}

static void
run_entry (const guint8 *bytes, gsize length)
{
  json_t *value = read_json (bytes, length);
  SvEndpointEntry entry;
  SvMember members[2];
  SvQuarantined quarantined[2];
  PlTestCount counts[2];

  if (pl_decode_endpoint ("i-1", value, &entry))
    sv_fleet_update (fleet, &entry);
  else
    sv_fleet_remove (fleet, "i-1");
  pl_decode_member (value, &members[0]);
  pl_decode_contacts (value, members, G_N_ELEMENTS (members));
  pl_decode_quarantined (value, quarantined, G_N_ELEMENTS (quarantined));
  pl_decode_tests (value, counts, G_N_ELEMENTS (counts));
  json_decref (value);
}

static void
run_row (const guint8 *bytes, gsize length)
{
  PlAnswer *answer = pl_answer_parse ((const char *)bytes, length);

  for (guint i = 0; answer != NULL && i < answer->rows->len; i++)
    {
      PlRow row;

      pl_row_decode (g_ptr_array_index (answer->rows, i), &row);
      json_decref (row.value);
    }
  pl_answer_free (answer);
}

static void
run_datagram (const guint8 *bytes, gsize length)
{
  sv_peers_receive_bytes (peers, bytes, length);
}

static void
run_settings (const guint8 *bytes, gsize length)
{
  CmFindings findings;

  if (!g_file_set_contents_full (settings_path, (const char *)bytes, (gssize)length,
                                 G_FILE_SET_CONTENTS_NONE, 0600, NULL))
    return;
  cm_findings_init (&findings);
  pl_boot_free (pl_boot_load (settings_path, &findings));
  cm_findings_clear (&findings);
}

static const char *const requests[] = {
  "POST /a/1?zone=b HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\nX-Deadline-Ms: 4000\r\n"
  "X-Token-Counts: 1460,80\r\nX-Length-Hint: 12\r\nAuthorization: Bearer k\r\n"
  "Content-Length: 2\r\n\r\nhi",
  "GET /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
  NULL,
};

static const char *const responses[] = {
  "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Server-Stamp: s\r\nX-Server-Load: 3,0,8\r\n"
  "Content-Length: 4\r\n\r\ngood",
  "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nAt-Server: 10.0.0.1:80\r\nTransfer-Encoding: "
  "chunked\r\n\r\n"
  "0\r\n\r\n",
  NULL,
};

static const char *const events[] = { "id: 1\ndata: x\n\nid: 2\r\ndata: y\r\n\r\n", NULL };

static const char *const configs[] = {
  "{\"version\":7,\"routes\":[{\"name\":\"r\",\"hostname\":\"h.example\",\"prefix\":\"/a/\","
  "\"routeKind\":\"streaming\",\"timeoutMs\":10000,\"targetLatencyMs\":300,\"priority\":1,"
  "\"trafficSplit\":[{\"service\":\"x\",\"weight\":90}],\"maxAttempts\":2,\"gapAimMs\":250}],"
  "\"services\":[{\"name\":\"x\",\"engine\":{\"slots\":16,\"kvCapacity\":315000,\"stride\":51}}],"
  "\"limits\":{\"maxHeaderBytes\":16384},\"tenants\":[{\"name\":\"w\",\"apiKeys\":[\"k\"]}]}",
  NULL,
};

static const char *const entries[] = {
  "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":12,"
  "\"state\":\"ready\",\"coldLeftMs\":0,\"born\":1764722741000,\"seqNo\":4}",
  "{\"link\":\"10.0.0.1:7340\",\"callers\":\"10.0.0.1:80\",\"incarnation\":1}",
  NULL,
};

static const char *const rows[] = {
  "{\"table\":\"servers\",\"part\":\"\",\"key\":\"i-1\",\"value\":\"eyJhIjoxfQ==\",\"ver\":9}",
  "{\"key\":\"i-1\",\"tombstone\":true,\"ver\":10}",
  NULL,
};

/* First example: sender, incarnation, sequence, one load and one prompt. */
static const char *const datagrams[] = {
  "\x0d\x01\x02\x03\x04\x10\x07\x18\x09\x3a\x0b\x09\x01\x02\x03\x04\x05\x06\x07\x08\x10\x03"
  "\x42\x0b\x09\x01\x02\x03\x04\x05\x06\x07\x08\x18\x05",
  "\x2a\x10\x0a\x01\x6e\x12\x0b"
  "127.0.0.1:1",
  NULL,
};

static const char *const settings[] = {
  "{\"nodeName\":\"n\",\"zone\":\"z\",\"region\":\"r\",\"ip\":\"10.0.0.1\",\"portRange\":[7340,"
  "7355],"
  "\"listen\":{\"front\":\"10.0.0.1:1\",\"ready\":\"10.0.0.1:2\",\"directory\":\"10.0.0.1:3\"},"
  "\"platform\":{\"address\":\"10.0.0.2:3\",\"readsPerS\":2000},\"limits\":{\"maxFds\":4100,"
  "\"cpuShare\":0.25,\"cores\":1,\"linkMbps\":200},"
  "\"bounds\":{\"strictRevoke\":true,\"revokeMs\":5000,\"configApplyMs\":2000,\"drainMs\":2000,"
  "\"freeMs\":4000,\"idleMaxMs\":9000,\"graceS\":8,\"retryBudgetRatio\":0.2,\"retrySlack\":100,"
  "\"budgetWindowS\":10,\"ttl_max_s\":5}}",
  NULL,
};

const FuzzTarget fuzz_targets[] = {
  { "request", run_request, requests },    { "response", run_response, responses },
  { "events", run_events, events },        { "configuration", run_config, configs },
  { "entry", run_entry, entries },         { "row", run_row, rows },
  { "datagram", run_datagram, datagrams }, { "settings", run_settings, settings },
};

const guint fuzz_n_targets = G_N_ELEMENTS (fuzz_targets);
