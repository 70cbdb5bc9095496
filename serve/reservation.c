#include "serve/reservation.h"

#include <string.h>
#include <xxhash.h>

#include "common/log.h"
#include "policy/proof.h"

/* An order without an answer after this time counts as lost. */
#define ORDER_TIMEOUT (800 * KNL_MSEC)

#define CONNECT_TIMEOUT (300 * KNL_MSEC)
#define MAX_IDLE        (1 * KNL_SEC)

/* Renewals within the length of a lease, since one order in three may be lost. */
#define RENEWALS_PER_LEASE 5

/* Delay after ORDER_TIMEOUT until a release is sent again, which goes on until the lease has
 * expired. */
#define RELEASE_RETRY_DELAY (400 * KNL_MSEC)

/* Longest name that is part of a reservation's id as it is. */
#define MAX_NAME_BYTES 64

typedef enum
{
  ORDER_PENDING,
  ORDER_HELD,
  ORDER_FAILED,
  ORDER_RELEASED,
} OrderState;

typedef struct
{
  SvReservation *reservation;
  SvEndpoint *endpoint;
  SvLoad load;
  char *id;
  OrderState state;
  HtExchange *exchange;
  KnlTimerId timeout_timer;
} Order;

struct SvReservation
{
  SvReservationParts parts;
  SvReservationFunc func;
  gpointer data;
  Order *orders;
  guint n_orders;
  KnlTimerId timer; /* next renewal or release */
  gboolean releasing;
  KnlTime release_until;
};

static void on_timer (gpointer data);

static void
order_clear (Order *self)
{
  knl_timer_stop (self->reservation->parts.kernel, &self->timeout_timer);
  if (self->exchange != NULL)
    ht_exchange_cancel (self->exchange);
  sv_endpoint_charge (self->endpoint, &self->load, -1);
  sv_endpoint_unref (self->endpoint);
  g_free (self->id);
}

static void
reservation_free (SvReservation *self)
{
  knl_timer_stop (self->parts.kernel, &self->timer);
  for (guint i = 0; i < self->n_orders; i++)
    order_clear (&self->orders[i]);
  g_free (self->orders);
  g_free (self);
}

static guint
count_orders (const SvReservation *self, OrderState state)
{
  guint n = 0;

  for (guint i = 0; i < self->n_orders; i++)
    n += self->orders[i].state == state;
  return n;
}

/* Calls the callback once every initial order has an answer or counts as lost. */
static void
report_result (SvReservation *self)
{
  SvReservationFunc func = self->func;

  if (func == NULL || count_orders (self, ORDER_PENDING) > 0)
    return;
  self->func = NULL;
  if (count_orders (self, ORDER_HELD) == self->n_orders)
    {
      func (TRUE, self->data);
      return;
    }
  sv_reservation_release (self);
  func (FALSE, self->data);
}

static void
free_if_released (SvReservation *self)
{
  if (count_orders (self, ORDER_RELEASED) == self->n_orders)
    reservation_free (self);
}

static void
end_order (Order *self, guint status)
{
  SvReservation *reservation = self->reservation;

  self->exchange = NULL;
  knl_timer_stop (reservation->parts.kernel, &self->timeout_timer);
  if (status != 200)
    cm_log (CM_LOG_INFO, "reserve-failed", "s", "reservation", self->id, "s", "endpoint",
            self->endpoint->id, "i", "status", (gint64)status, "b", "releasing",
            reservation->releasing);
  if (reservation->releasing)
    {
      if (status == 200)
        self->state = ORDER_RELEASED;
      free_if_released (reservation);
      return;
    }
  if (self->state == ORDER_PENDING)
    self->state = status == 200 ? ORDER_HELD : ORDER_FAILED;
  report_result (reservation);
}

static HtHeadVerdict
on_head (HtExchange *exchange, HtMessage *answer, gpointer data)
{
  const Order *self = data;
  const SvReservationParts *parts = &self->reservation->parts;
  SvReply reply;

  parts->dialect->klass->read_reply (parts->dialect, answer, &reply);
  if (pol_answer_owner (reply.id, NULL, TRUE) != POL_ANSWER_OWN)
    return HT_HEAD_SKIP;
  sv_reply_note_signals (&reply, self->endpoint, knl_kernel_now (parts->kernel));
  return HT_HEAD_ACCEPT;
}

static void
on_done (HtExchange *exchange, HtMessage *answer, gpointer data)
{
  end_order (data, answer->status);
}

static void
on_failed (HtExchange *exchange, HtFailure failure, gpointer data)
{
  end_order (data, 0);
}

static const HtExchangeEvents order_events = {
  .head = on_head,
  .done = on_done,
  .failed = on_failed,
};

static void
on_order_limit (gpointer data)
{
  Order *self = data;
  HtExchange *exchange = self->exchange;

  self->timeout_timer = 0;
  ht_exchange_cancel (exchange);
  end_order (self, 0);
}

static void
send_order (Order *self, guint64 tokens)
{
  const SvReservationParts *parts = &self->reservation->parts;
  SvReserve reserve = { .id = self->id, .tokens = tokens, .hold = parts->hold };
  g_autofree char *head = NULL;
  GString *body =
      parts->dialect->klass->write_reserve (parts->dialect, self->endpoint, &reserve, &head);
  HtExchangeRequest request = {
    .address = self->endpoint->address,
    .head = head,
    .body = body->str,
    .body_length = body->len,
    .connect_timeout = CONNECT_TIMEOUT,
    .max_idle = MAX_IDLE,
  };

  if (self->exchange != NULL)
    ht_exchange_cancel (self->exchange);
  knl_timer_stop (parts->kernel, &self->timeout_timer);
  self->timeout_timer = knl_timer_start (parts->kernel, ORDER_TIMEOUT, on_order_limit, self);
  self->exchange = ht_client_send (parts->client, &request, &order_events, self);
  g_string_free (body, TRUE);
}

static void
release_all (SvReservation *self)
{
  for (guint i = 0; i < self->n_orders; i++)
    {
      if (self->orders[i].state != ORDER_RELEASED)
        send_order (&self->orders[i], 0);
    }
  self->timer =
      knl_timer_start (self->parts.kernel, RELEASE_RETRY_DELAY + ORDER_TIMEOUT, on_timer, self);
}

static void
on_timer (gpointer data)
{
  SvReservation *self = data;

  self->timer = 0;
  if (!self->releasing)
    {
      /* An order without an answer yet isn't sent again: that would restart its timeout, and it
       * would never count as lost. */
      for (guint i = 0; i < self->n_orders; i++)
        {
          /* After a restart of the endpoint a renewal would reserve memory anew, for a prompt that
           * is lost. */
          if (self->orders[i].state == ORDER_HELD && !self->orders[i].endpoint->is_replaced)
            send_order (&self->orders[i], self->orders[i].load.tokens);
        }
      self->timer = knl_timer_start (self->parts.kernel, self->parts.hold / RENEWALS_PER_LEASE,
                                     on_timer, self);
    }
  else if (knl_kernel_now (self->parts.kernel) >= self->release_until)
    reservation_free (self);
  else
    release_all (self);
}

/* Names of requests are the callers'; a reservation's id stands in orders, and in lists of header
 * fields. Free with g_free. */
static char *
make_plain (const char *name)
{
  if (strlen (name) <= MAX_NAME_BYTES
      && strspn (name, G_CSET_A_2_Z G_CSET_a_2_z G_CSET_DIGITS "-_") == strlen (name))
    return g_strdup (name);
  return g_strdup_printf ("%016" G_GINT64_MODIFIER "x", (guint64)XXH64 (name, strlen (name), 0));
}

SvReservation *
sv_reservation_new (const SvReservationParts *parts,
                    const char *name,
                    SvEndpoint *const *endpoints,
                    const guint64 *tokens,
                    guint n,
                    SvReservationFunc func,
                    gpointer data)
{
  SvReservation *self = g_new0 (SvReservation, 1);
  g_autofree char *plain_name = make_plain (name);

  self->parts = *parts;
  self->func = func;
  self->data = data;
  self->orders = g_new0 (Order, n);
  self->n_orders = n;
  for (guint i = 0; i < n; i++)
    {
      Order *order = &self->orders[i];

      order->reservation = self;
      order->endpoint = sv_endpoint_ref (endpoints[i]);
      order->load.tokens = tokens[i];
      order->id =
          g_strdup_printf ("%s.%u.%x", plain_name, i, g_rand_int (knl_kernel_rand (parts->kernel)));
      sv_endpoint_charge (order->endpoint, &order->load, 1);
      send_order (order, tokens[i]);
    }
  self->timer = knl_timer_start (parts->kernel, parts->hold / RENEWALS_PER_LEASE, on_timer, self);
  return self;
}

const char *
sv_reservation_id (const SvReservation *self, const SvEndpoint *endpoint)
{
  for (guint i = 0; i < self->n_orders; i++)
    {
      if (self->orders[i].endpoint == endpoint)
        return self->orders[i].id;
    }
  return NULL;
}

void
sv_reservation_release (SvReservation *self)
{
  if (self == NULL || self->releasing)
    return;
  self->releasing = TRUE;
  self->func = NULL;
  self->release_until = knl_kernel_now (self->parts.kernel) + self->parts.hold;
  knl_timer_stop (self->parts.kernel, &self->timer);
  release_all (self);
}
