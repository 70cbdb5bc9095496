#pragma once

/** What the kernel says of the bytes that were written to a connection, and how long it waits for
 * them to be acknowledged. */

#include <event2/util.h>
#include <glib.h>

typedef struct
{
  guint in_flight;     /**< segments that were sent and aren't acknowledged */
  guint waiting;       /**< bytes that weren't sent yet */
  guint since_sent_ms; /**< since bytes were last sent; probes of a closed window don't count */
  guint since_ack_ms;  /**< since the peer last acknowledged anything, probes included */
} HtDelivery;

/** Time without an acknowledgement after which a connection fails; tolerates two consecutive lost
 * packets. */
#define HT_UNACKNOWLEDGED_TIMEOUT_MS 2000

/** The same while the process holds bytes for a peer of which the kernel doesn't say whether it is
 * alive. Endpoints cut off answers that stay unread for some seconds, so more time would not help a
 * stream. */
#define HT_SLOW_READER_TIMEOUT_MS 10000

/** Whether all bytes are sent, and acknowledged. */
gboolean ht_delivery_is_complete (const HtDelivery *delivery);

/**
 * The timeout to be set at the kernel. A peer that has closed its window, since its process doesn't
 * read, acknowledges the kernel's probes, but the kernel counts from when the window was closed.
 * The timeout is so long that HT_UNACKNOWLEDGED_TIMEOUT_MS are left after the last acknowledgement.
 */
guint ht_delivery_timeout_ms (const HtDelivery *delivery);

/** The same, also where the kernel doesn't say (`delivery` is NULL), or says of a connection for
 * which the process holds `unsent` bytes, since it takes no more, that nothing is left to deliver.
 */
guint ht_delivery_known_timeout_ms (const HtDelivery *delivery, gsize unsent);

/** FALSE: the kernel doesn't say. */
gboolean ht_delivery_read (evutil_socket_t fd, HtDelivery *delivery);

/** Sets how long the connection may make no progress before it fails. */
void ht_delivery_set_timeout (evutil_socket_t fd, guint timeout_ms);
