#include "serve/reservation.h"

#include <string.h>

#include "common/log.h"

/* An order without an answer after this time counts as lost. */
#define ORDER_LIMIT (800 * KNL_MSEC)

#define CONNECT_TIMEOUT (300 * KNL_MSEC)
#define REUSE_IDLE      (1 * KNL_SEC)

/* Renewals within the length of a lease, since one order in three may be lost. */
#define RENEWALS 5

/* Delay after ORDER_LIMIT until a release is sent again, which goes on until the lease has
 * expired. */
#define RELEASE_AGAIN (400 * KNL_MSEC)

typedef enum
{
  TICKET_ASKED,
  TICKET_HELD,
  TICKET_FAILED,
  TICKET_FREE,
} TicketState;

typedef struct
{
  SvReservation *reservation;
  SvEndpoint *endpoint;
  SvLoad load;
  char *id;
  TicketState state;
  HtExchange *exchange;
  KnlTimerId limit_timer;
} Ticket;

struct SvReservation
{
  SvReservationParts parts;
  SvReservationFunc func;
  gpointer data;
  Ticket *tickets;
  guint n_tickets;
  KnlTimerId timer; /* next renewal or release */
  gboolean releasing;
  KnlTime release_until;
};

static void on_timer (gpointer data);

static void
ticket_clear (Ticket *self)
{
  knl_timer_stop (self->reservation->parts.kernel, &self->limit_timer);
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
  for (guint i = 0; i < self->n_tickets; i++)
    ticket_clear (&self->tickets[i]);
  g_free (self->tickets);
  g_free (self);
}

static guint
count (const SvReservation *self, TicketState state)
{
  guint n = 0;

  for (guint i = 0; i < self->n_tickets; i++)
    n += self->tickets[i].state == state;
  return n;
}

/* Calls the callback once every initial order has an answer or counts as lost. */
static void
take_first_round (SvReservation *self)
{
  SvReservationFunc func = self->func;

  if (func == NULL || count (self, TICKET_ASKED) > 0)
    return;
  self->func = NULL;
  if (count (self, TICKET_HELD) == self->n_tickets)
    {
      func (TRUE, self->data);
      return;
    }
  sv_reservation_release (self);
  func (FALSE, self->data);
}

static void
take_release (SvReservation *self)
{
  if (count (self, TICKET_FREE) == self->n_tickets)
    reservation_free (self);
}

static void
end_order (Ticket *self, guint status)
{
  SvReservation *reservation = self->reservation;

  self->exchange = NULL;
  knl_timer_stop (reservation->parts.kernel, &self->limit_timer);
  if (status != 200)
    cm_log (CM_LOG_INFO, "reserve-failed", "s", "reservation", self->id, "s", "endpoint",
            self->endpoint->id, "i", "status", (gint64)status, "b", "releasing",
            reservation->releasing);
  if (reservation->releasing)
    {
      if (status == 200)
        self->state = TICKET_FREE;
      take_release (reservation);
      return;
    }
  if (self->state == TICKET_ASKED)
    self->state = status == 200 ? TICKET_HELD : TICKET_FAILED;
  take_first_round (reservation);
}

static HtHeadVerdict
on_head (HtExchange *exchange, HtMessage *answer, gpointer data)
{
  const Ticket *self = data;
  const SvReservationParts *parts = &self->reservation->parts;
  SvReply reply;

  parts->dialect->klass->read_reply (parts->dialect, answer, &reply);
  sv_reply_note_words (&reply, self->endpoint, knl_kernel_now (parts->kernel));
  return HT_HEAD_TAKE;
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
  Ticket *self = data;
  HtExchange *exchange = self->exchange;

  self->limit_timer = 0;
  ht_exchange_cancel (exchange);
  end_order (self, 0);
}

static void
send_order (Ticket *self, guint64 tokens)
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
    .max_idle = REUSE_IDLE,
  };

  if (self->exchange != NULL)
    ht_exchange_cancel (self->exchange);
  knl_timer_stop (parts->kernel, &self->limit_timer);
  self->limit_timer = knl_timer_start (parts->kernel, ORDER_LIMIT, on_order_limit, self);
  self->exchange = ht_client_send (parts->client, &request, &order_events, self);
  g_string_free (body, TRUE);
}

static void
release_all (SvReservation *self)
{
  for (guint i = 0; i < self->n_tickets; i++)
    {
      if (self->tickets[i].state != TICKET_FREE)
        send_order (&self->tickets[i], 0);
    }
  self->timer = knl_timer_start (self->parts.kernel, RELEASE_AGAIN + ORDER_LIMIT, on_timer, self);
}

static void
on_timer (gpointer data)
{
  SvReservation *self = data;

  self->timer = 0;
  if (!self->releasing)
    {
      /* An order without an answer yet isn't sent again: that would restart its time-out, and it
       * would never count as lost. */
      for (guint i = 0; i < self->n_tickets; i++)
        {
          /* After a restart of the endpoint a renewal would reserve memory anew, for a prompt that
           * is lost. */
          if (self->tickets[i].state == TICKET_HELD && !self->tickets[i].endpoint->is_replaced)
            send_order (&self->tickets[i], self->tickets[i].load.tokens);
        }
      self->timer =
          knl_timer_start (self->parts.kernel, self->parts.hold / RENEWALS, on_timer, self);
    }
  else if (knl_kernel_now (self->parts.kernel) >= self->release_until)
    reservation_free (self);
  else
    release_all (self);
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

  self->parts = *parts;
  self->func = func;
  self->data = data;
  self->tickets = g_new0 (Ticket, n);
  self->n_tickets = n;
  for (guint i = 0; i < n; i++)
    {
      Ticket *ticket = &self->tickets[i];

      ticket->reservation = self;
      ticket->endpoint = sv_endpoint_ref (endpoints[i]);
      ticket->load.tokens = tokens[i];
      ticket->id =
          g_strdup_printf ("%s.%u.%x", name, i, g_rand_int (knl_kernel_rand (parts->kernel)));
      sv_endpoint_charge (ticket->endpoint, &ticket->load, 1);
      send_order (ticket, tokens[i]);
    }
  self->timer = knl_timer_start (parts->kernel, parts->hold / RENEWALS, on_timer, self);
  return self;
}

const char *
sv_reservation_id (const SvReservation *self, const SvEndpoint *endpoint)
{
  for (guint i = 0; i < self->n_tickets; i++)
    {
      if (self->tickets[i].endpoint == endpoint)
        return self->tickets[i].id;
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
