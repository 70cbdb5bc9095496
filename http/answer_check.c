#include "http/answer_check.h"

#include "http/reader.h"

/* Heads of engines, services, the table and controllers have a few short fields. */
#define MAX_HEAD_BYTES ((gsize)64 << 10)

struct HtAnswerCheck
{
  struct evbuffer *input;
  struct evbuffer_cb_entry *watch;
  HtReader *reader;
  gboolean has_passed;
  gboolean has_failed;
};

static const HtLimits limits = { .max_head_bytes = MAX_HEAD_BYTES, .max_body_bytes = G_MAXSIZE };

static gboolean
on_head (HtMessage *message, gpointer data)
{
  ((HtAnswerCheck *)data)->has_passed = TRUE;
  return TRUE;
}

/* Bodies are evhttp's, which also bounds them. */
static void
drop_body (const char *bytes, gsize length, gpointer data)
{
}

static const HtReaderEvents events = { .head = on_head, .body = drop_body };

static void
on_input (struct evbuffer *input, const struct evbuffer_cb_info *info, void *data)
{
  HtAnswerCheck *self = data;
  struct evbuffer_ptr added;
  gsize consumed;
  char *bytes;

  if (info->n_added == 0 || self->has_passed || self->has_failed)
    return;
  bytes = g_malloc (info->n_added);
  evbuffer_ptr_set (input, &added, evbuffer_get_length (input) - info->n_added, EVBUFFER_PTR_SET);
  evbuffer_copyout_from (input, &added, bytes, info->n_added);
  self->has_failed = ht_reader_feed (self->reader, bytes, info->n_added, &consumed) != HT_READ_MORE;
  g_free (bytes);
}

HtAnswerCheck *
ht_answer_check_new (struct evbuffer *input)
{
  HtAnswerCheck *self = g_new0 (HtAnswerCheck, 1);

  self->input = input;
  self->reader = ht_reader_new (TRUE, &limits, &events, self);
  self->watch = evbuffer_add_cb (input, on_input, self);
  return self;
}

void
ht_answer_check_free (HtAnswerCheck *self)
{
  if (self == NULL)
    return;
  evbuffer_remove_cb_entry (self->input, self->watch);
  ht_reader_free (self->reader);
  g_free (self);
}

gboolean
ht_answer_check_has_passed (const HtAnswerCheck *self)
{
  return self->has_passed;
}
