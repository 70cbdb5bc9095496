#pragma once

/**
 * Reads HTTP/1.1 messages from a byte stream, one at a time, on libhttp-parser.
 * It enforces the limits and refuses what two parties might frame differently:
 * both Content-Length and Transfer-Encoding, repeated framing fields, field
 * names that are no tokens, control characters; in requests also lines that end
 * without a carriage return, and more spaces in the first line than two.
 */

#include "http/message.h"

typedef struct HtReader HtReader;

typedef enum
{
  HT_READ_MORE,       /**< the message is not complete; all bytes were taken */
  HT_READ_COMPLETE,   /**< the message is complete; bytes after it were not taken */
  HT_READ_BAD,        /**< no message of the protocol */
  HT_READ_HEAD_LARGE, /**< the head is over its limit */
  HT_READ_BODY_LARGE, /**< the body is over its limit */
} HtReadStatus;

typedef struct
{
  gsize max_head_bytes;
  gsize max_body_bytes;
} HtLimits;

/** What a reader hands on while it reads; `head` may be NULL. */
typedef struct
{
  /** The head is complete. FALSE: the rest is not wanted, and the message is bad. */
  gboolean (*head) (HtMessage *message, gpointer data);
  /** Bytes of the body; NULL: they are collected in the message. */
  void (*body) (const char *bytes, gsize length, gpointer data);
} HtReaderEvents;

HtReader *ht_reader_new (gboolean responses,
                         const HtLimits *limits,
                         const HtReaderEvents *events,
                         gpointer data);
void ht_reader_free (HtReader *reader);

void ht_reader_set_limits (HtReader *reader, const HtLimits *limits);

/** Starts on a message. `no_body`: the response to a HEAD request. */
void ht_reader_begin (HtReader *reader, gboolean no_body);

/** Reads `length` bytes; `*taken` says how many were used. */
HtReadStatus ht_reader_feed (HtReader *reader, const char *bytes, gsize length, gsize *taken);

/** The stream has ended: COMPLETE where that ends a response without a length, else BAD. */
HtReadStatus ht_reader_finish (HtReader *reader);

/** Whether the response's end is the connection's end. */
gboolean ht_reader_ends_by_close (const HtReader *reader);

/** Whether some byte of the message has been read. */
gboolean ht_reader_has_begun (const HtReader *reader);

/** Whether the head of the message is complete. */
gboolean ht_reader_has_head (const HtReader *reader);

/** The message being read; owned by the reader until ht_reader_steal(). */
HtMessage *ht_reader_message (HtReader *reader);

/** The message, taken over by the caller. */
HtMessage *ht_reader_steal (HtReader *reader);
