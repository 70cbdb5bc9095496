/** How long the kernel waits for a peer that doesn't read. */

#include "http/delivery.h"
#include "suite.h"

#define USUAL HT_UNACKNOWLEDGED_TIMEOUT_MS

/* Guards against a peer that doesn't read and is taken for a broken link, and against a broken link
 * that is found later because of such peers. */
static void
test_only_a_live_peer_gets_more_time (void)
{
  static const struct
  {
    const char *name;
    HtDelivery delivery;
    guint timeout_ms;
  } rows[] = {
    { "all delivered", { 0, 0, 9000, 9000 }, USUAL },
    { "in flight", { 3, 0, 10, 12 }, USUAL },
    { "in flight, and not acknowledged for long", { 3, 0, 1500, 1500 }, USUAL },
    { "in flight, more waits", { 3, 80000, 900, 950 }, USUAL },
    { "window just closed", { 0, 80000, 1, 1 }, USUAL },
    { "window closed, no probe acknowledged", { 0, 80000, 1800, 1800 }, USUAL },
    { "window closed, last byte acknowledged late", { 0, 80000, 1800, 1799 }, USUAL + 1 },
    { "window closed, probe acknowledged", { 0, 80000, 1500, 100 }, USUAL + 1400 },
    { "window closed for long, alive", { 0, 80000, 60000, 300 }, USUAL + 59700 },
    { "window closed for long, then silent", { 0, 80000, 60000, 1900 }, USUAL + 58100 },
    { "clocks of the two fields differ", { 0, 80000, 100, 101 }, USUAL },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      guint timeout_ms = ht_delivery_timeout_ms (&rows[i].delivery);

      if (timeout_ms != rows[i].timeout_ms)
        printf ("%s: %u ms\n", rows[i].name, timeout_ms);
      CU_ASSERT_EQUAL (timeout_ms, rows[i].timeout_ms);
    }
}

/* Guards against a slow reader that is cut off where the kernel says nothing, or nothing that can
 * be true, and against a broken link that is borne for longer where it does. */
static void
test_what_the_kernel_does_not_say (void)
{
  static const HtDelivery nothing = { 0 };
  static const HtDelivery in_flight = { .in_flight = 1 };
  static const HtDelivery closed = { 0, 80000, 1500, 100 };
  static const struct
  {
    const HtDelivery *delivery;
    gsize unsent;
    guint timeout_ms;
  } rows[] = {
    { NULL, 0, USUAL },           { NULL, 1, HT_SLOW_READER_TIMEOUT_MS },
    { &nothing, 0, USUAL },       { &nothing, 1, HT_SLOW_READER_TIMEOUT_MS },
    { &in_flight, 0, USUAL },     { &in_flight, 1, USUAL },
    { &closed, 0, USUAL + 1400 }, { &closed, 1, USUAL + 1400 },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    CU_ASSERT_EQUAL (ht_delivery_known_timeout_ms (rows[i].delivery, rows[i].unsent),
                     rows[i].timeout_ms);
}

/* Guards against a watch on a connection that goes on when nothing is left to deliver. */
static void
test_what_is_complete (void)
{
  static const HtDelivery in_flight = { .in_flight = 1 };
  static const HtDelivery waiting = { .waiting = 1 };
  static const HtDelivery none = { .since_sent_ms = 9, .since_ack_ms = 8 };

  CU_ASSERT_FALSE (ht_delivery_is_complete (&in_flight));
  CU_ASSERT_FALSE (ht_delivery_is_complete (&waiting));
  CU_ASSERT_TRUE (ht_delivery_is_complete (&none));
}

static const SuiteCase cases[] = {
  { "only a live peer gets more time", test_only_a_live_peer_gets_more_time },
  { "what the kernel does not say", test_what_the_kernel_does_not_say },
  { "what is complete", test_what_is_complete },
};

SUITE_MAIN ("ht_delivery", cases)
