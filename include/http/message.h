#pragma once

/**
 * One HTTP/1.1 message: the start line, the header fields in their order, and the body. Field names
 * are compared case-insensitively; values are kept as received.
 */

#include <glib.h>

typedef struct
{
  guint32 name;        /**< offset into `text` */
  guint32 name_length; /**< bytes */
  guint32 value;
  guint32 value_length;
} HtField;

typedef struct
{
  char method[16]; /**< of requests only */
  char *target;    /**< of requests only: path and query as received */
  guint status;    /**< of responses only */
  gboolean keep_alive;
  gboolean ends_by_close;    /**< of answers: nothing but the end of the connection ends the body */
  gboolean supports_chunked; /**< of requests only: the caller's HTTP version allows chunked
                                answers */
  GString *text;             /**< all names and values, each ended by a NUL */
  GArray *fields;            /**< HtField */
  GString *body;             /**< the complete body if the reader collects it, else empty */
} HtMessage;

HtMessage *ht_message_new (void);
HtMessage *ht_message_copy (const HtMessage *message);
void ht_message_free (HtMessage *message);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HtMessage, ht_message_free)

/** Adds a field; `name` and `value` are copied. */
void ht_message_add (HtMessage *message, const char *name, const char *value);

guint ht_message_n_fields (const HtMessage *message);
const char *ht_message_field_name (const HtMessage *message, guint index);
const char *ht_message_field_value (const HtMessage *message, guint index);

/** The value of the first field with that name, or NULL; owned by the message. */
const char *ht_message_get (const HtMessage *message, const char *name);

/** Number of fields with that name. */
guint ht_message_count (const HtMessage *message, const char *name);

/** Whether the field applies to one connection only, by its name or because Connection lists it. */
gboolean ht_message_is_hop_by_hop (const HtMessage *message, guint index);

/** The path of the target, without its query; free with g_free. */
char *ht_message_path (const HtMessage *message);

/** A parameter of the target's query, percent-decoded, or NULL; free with g_free. */
char *ht_message_query (const HtMessage *message, const char *name);
