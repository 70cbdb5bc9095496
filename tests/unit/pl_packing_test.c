/** Compression of bodies between instances. */

#include <string.h>

#include "platform/packing.h"
#include "suite.h"

#define MAX_PLAIN_BYTES ((gsize)1 << 20)

static GBytes *
routes (guint n)
{
  GString *text = g_string_new (NULL);

  for (guint i = 0; i < n; i++)
    g_string_append_printf (text, "{\"name\":\"r-%08x\",\"timeoutMs\":1500}", i * 2654435761U);
  return g_string_free_to_bytes (text);
}

/* Returns FALSE if a piece was refused. */
static gboolean
unpack (GBytes *packed, gsize piece, GString *plain, gsize max_bytes)
{
  PlUnpacker *unpacker = pl_unpacker_new ();
  gsize length;
  const char *bytes = g_bytes_get_data (packed, &length);
  gboolean accepted = TRUE;

  for (gsize at = 0; at < length && accepted; at += piece)
    accepted = pl_unpacker_feed (unpacker, bytes + at, MIN (piece, length - at), plain, max_bytes);
  pl_unpacker_free (unpacker);
  return accepted;
}

/* Guards against a configuration that is truncated at the end of a packed piece. */
static void
test_pieces_of_any_size (void)
{
  static const gsize pieces[] = { 1, 7, 1000, 16384, MAX_PLAIN_BYTES };
  g_autoptr (GBytes) plain = routes (9000);
  g_autoptr (GBytes) packed = pl_pack (plain);

  CU_ASSERT (g_bytes_get_size (packed) < g_bytes_get_size (plain) / 3);
  for (guint i = 0; i < G_N_ELEMENTS (pieces); i++)
    {
      GString *got = g_string_new (NULL);

      CU_ASSERT_TRUE (unpack (packed, pieces[i], got, MAX_PLAIN_BYTES));
      CU_ASSERT_EQUAL (got->len, g_bytes_get_size (plain));
      CU_ASSERT_EQUAL (memcmp (got->str, g_bytes_get_data (plain, NULL), got->len), 0);
      g_string_free (got, TRUE);
    }
}

/* Guards against a short body that exhausts the memory when it is unpacked, and against a body that
 * isn't packed. */
static void
test_large_or_unpacked_bodies_are_refused (void)
{
  g_autoptr (GBytes) plain = routes (9000);
  g_autoptr (GBytes) packed = pl_pack (plain);
  GString *got = g_string_new (NULL);

  CU_ASSERT_FALSE (unpack (packed, 1000, got, 1000));
  CU_ASSERT (got->len <= 1000);
  CU_ASSERT_FALSE (unpack (plain, 1000, got, MAX_PLAIN_BYTES));
  g_string_free (got, TRUE);
}

static const SuiteCase cases[] = {
  { "any pieces give the same", test_pieces_of_any_size },
  { "large or unpacked bodies are refused", test_large_or_unpacked_bodies_are_refused },
};

SUITE_MAIN ("pl_packing", cases)
