#pragma once

/**
 * Parses HTTP/1.1 messages from a byte stream, one at a time, with libhttp-parser. Enforces the
 * limits, and refuses messages that two parsers might frame differently: both Content-Length and
 * Transfer-Encoding, repeated framing fields, field names that aren't tokens, control characters;
 * in requests also lines that end without a carriage return, and more than two spaces in the first
 * line; in responses a status that isn't three digits from 100 to 599.
 */

#include "http/message.h"

typedef struct HtReader HtReader;

typedef enum
{
  HT_READ_MORE,       /**< the message isn't complete; all bytes were consumed */
  HT_READ_COMPLETE,   /**< the message is complete; bytes after it weren't consumed */
  HT_READ_BAD,        /**< not a valid HTTP message */
  HT_READ_HEAD_LARGE, /**< the head exceeds its limit, or the interim responses before it do */
  HT_READ_BODY_LARGE, /**< the body exceeds its limit */
} HtReadStatus;

typedef struct
{
  gsize max_head_bytes;
  gsize max_body_bytes;
} HtLimits;

/** Callbacks of a reader; `head` may be NULL. */
typedef struct
{
  /** The head is complete. Returning FALSE refuses the message: its status is HT_READ_BAD. */
  gboolean (*head) (HtMessage *message, gpointer data);
  /** Part of the body; NULL: the body is collected in the message. */
  void (*body) (const char *bytes, gsize length, gpointer data);
} HtReaderEvents;

HtReader *ht_reader_new (gboolean reads_responses,
                         const HtLimits *limits,
                         const HtReaderEvents *events,
                         gpointer data);
void ht_reader_free (HtReader *reader);

void ht_reader_set_limits (HtReader *reader, const HtLimits *limits);

/** Starts a new message. `no_body`: it is the response to a HEAD request. */
void ht_reader_begin (HtReader *reader, gboolean no_body);

/** Parses up to `length` bytes; sets `consumed` to the number consumed. */
HtReadStatus ht_reader_feed (HtReader *reader, const char *bytes, gsize length, gsize *consumed);

/** The stream has ended. Returns HT_READ_COMPLETE if that ends a response without a length, or if
 * the message was complete already, else HT_READ_BAD. */
HtReadStatus ht_reader_finish (HtReader *reader);

/** Whether the response ends when the connection closes. */
gboolean ht_reader_ends_by_close (const HtReader *reader);

/** Whether any byte of the message has been received. */
gboolean ht_reader_has_begun (const HtReader *reader);

/** Whether the head of the message is complete. */
gboolean ht_reader_has_head (const HtReader *reader);

/** The message being read; owned by the reader until ht_reader_steal(). */
HtMessage *ht_reader_message (HtReader *reader);

/** Transfers the message to the caller; free with ht_message_free(). */
HtMessage *ht_reader_steal (HtReader *reader);
