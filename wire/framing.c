#include "wire/framing.h"

#define LENGTH_BYTES 4

void
wr_framing_init (WrFraming *framing, gsize limit)
{
  framing->bytes = g_byte_array_new ();
  framing->start = 0;
  framing->limit = limit;
}

void
wr_framing_clear (WrFraming *framing)
{
  g_byte_array_unref (framing->bytes);
  framing->bytes = NULL;
}

/** Drops decoded bytes. Called only before new bytes are appended, so that the rest of the buffer
 * is moved once per push, not once per frame. */
static void
discard_decoded (WrFraming *framing)
{
  if (framing->start == 0)
    return;
  g_byte_array_remove_range (framing->bytes, 0, (guint)framing->start);
  framing->start = 0;
}

void
wr_framing_push (WrFraming *framing, const guint8 *bytes, gsize count)
{
  discard_decoded (framing);
  g_byte_array_append (framing->bytes, bytes, (guint)count);
}

static gsize
read_length (const guint8 *bytes)
{
  return (gsize)bytes[0] << 24 | (gsize)bytes[1] << 16 | (gsize)bytes[2] << 8 | bytes[3];
}

WrFramingResult
wr_framing_next (WrFraming *framing, Alderturn__Frame **frame, const char **fault)
{
  gsize waiting = framing->bytes->len - framing->start;
  const guint8 *next = framing->bytes->data + framing->start;
  gsize length;

  if (waiting < LENGTH_BYTES)
    return WR_FRAMING_MORE;
  length = read_length (next);
  if (length > framing->limit)
    {
      *fault = "frame too long";
      return WR_FRAMING_BAD;
    }
  if (waiting < LENGTH_BYTES + length)
    return WR_FRAMING_MORE;
  *frame = alderturn__frame__unpack (NULL, length, next + LENGTH_BYTES);
  if (*frame == NULL)
    {
      *fault = "frame not decodable";
      return WR_FRAMING_BAD;
    }
  framing->start += LENGTH_BYTES + length;
  return WR_FRAMING_FRAME;
}

gboolean
wr_framing_encode (const Alderturn__Frame *frame, gsize limit, GByteArray *out)
{
  gsize length = alderturn__frame__get_packed_size (frame);
  guint at = out->len;

  if (length > limit)
    return FALSE;
  g_byte_array_set_size (out, at + LENGTH_BYTES + (guint)length);
  for (guint i = 0; i < LENGTH_BYTES; i++)
    out->data[at + i] = (guint8)(length >> (8 * (LENGTH_BYTES - 1 - i)));
  alderturn__frame__pack (frame, out->data + at + LENGTH_BYTES);
  return TRUE;
}
