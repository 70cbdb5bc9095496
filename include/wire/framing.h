#pragma once

/**
 * Encodes and decodes frames: a length of 4 bytes, big-endian, then the packed
 * Alderturn__Frame. Received bytes may be split at any position.
 */

#include <glib.h>

#include "wire/alderturn.pb-c.h"

typedef enum
{
  WR_FRAMING_MORE,  /**< the next frame is incomplete */
  WR_FRAMING_FRAME, /**< a frame was returned */
  WR_FRAMING_BAD,   /**< invalid frame; the rest of the stream can't be decoded */
} WrFramingResult;

/** Buffer of received bytes that aren't decoded yet. */
typedef struct
{
  GByteArray *bytes;
  gsize start; /**< offset of the first byte not yet decoded */
  gsize limit; /**< longest frame accepted, in bytes, without the length field */
} WrFraming;

void wr_framing_init (WrFraming *framing, gsize limit);
void wr_framing_clear (WrFraming *framing);

void wr_framing_push (WrFraming *framing, const guint8 *bytes, gsize count);

/**
 * Decodes the next frame; free it with alderturn__frame__free_unpacked. On
 * WR_FRAMING_BAD `*fault` is set to the reason, a static string.
 */
WrFramingResult wr_framing_next (WrFraming *framing, Alderturn__Frame **frame, const char **fault);

/** Appends length and frame to `out`. FALSE, with nothing appended, if the frame is longer than
 * `limit` bytes. */
gboolean wr_framing_encode (const Alderturn__Frame *frame, gsize limit, GByteArray *out);
