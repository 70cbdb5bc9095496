#include "wire/handshake.h"

#include <string.h>

#define MAX_NAME_BYTES 255

static void
update_number (GHmac *hmac, guint64 number)
{
  guint64 big = GUINT64_TO_BE (number);

  g_hmac_update (hmac, (const guchar *)&big, sizeof big);
}

static GHmac *
hmac_new (const char *secret, const char *label)
{
  GHmac *hmac = g_hmac_new (G_CHECKSUM_SHA256, (const guchar *)secret, strlen (secret));

  g_hmac_update (hmac, (const guchar *)label, (gssize)strlen (label) + 1);
  return hmac;
}

static void
hmac_finish (GHmac *hmac, guint8 *digest)
{
  gsize length = WR_PROOF_BYTES;

  g_hmac_get_digest (hmac, digest, &length);
  g_hmac_unref (hmac);
}

void
wr_handshake_nonce (const WrIdentity *identity, guint64 number, guint8 nonce[WR_NONCE_BYTES])
{
  GHmac *hmac = hmac_new (identity->secret, "alderturn nonce");

  g_hmac_update (hmac, (const guchar *)identity->instance, -1);
  update_number (hmac, identity->role);
  update_number (hmac, identity->incarnation);
  update_number (hmac, number);
  hmac_finish (hmac, nonce);
}

void
wr_handshake_proof (const char *secret,
                    WrSide side,
                    const guint8 connecting[WR_NONCE_BYTES],
                    const guint8 accepting[WR_NONCE_BYTES],
                    guint8 proof[WR_PROOF_BYTES])
{
  const char *label = side == WR_SIDE_CONNECTING ? "alderturn connecting" : "alderturn accepting";
  GHmac *hmac = hmac_new (secret, label);

  g_hmac_update (hmac, connecting, WR_NONCE_BYTES);
  g_hmac_update (hmac, accepting, WR_NONCE_BYTES);
  hmac_finish (hmac, proof);
}

gboolean
wr_handshake_equal (const guint8 *expected, const ProtobufCBinaryData *given)
{
  guint8 difference = 0;

  if (given->len != WR_PROOF_BYTES)
    return FALSE;
  for (guint i = 0; i < WR_PROOF_BYTES; i++)
    difference |= (guint8)(expected[i] ^ given->data[i]);
  return difference == 0;
}

static gboolean
name_is_usable (const char *name)
{
  return strlen (name) <= MAX_NAME_BYTES && g_utf8_validate (name, -1, NULL);
}

const char *
wr_handshake_fault (const Alderturn__Hello *hello)
{
  const char *names[] = { hello->instance, hello->zone, hello->region, hello->address,
                          hello->caller_address };

  for (guint i = 0; i < G_N_ELEMENTS (names); i++)
    {
      if (!name_is_usable (names[i]))
        return "hello with a bad name";
    }
  if (hello->instance[0] == '\0')
    return "hello without an instance";
  if (hello->nonce.len != WR_NONCE_BYTES)
    return "hello with a bad nonce";
  if (hello->role != ALDERTURN__ROLE__ROLE_ENTRY && hello->role != ALDERTURN__ROLE__ROLE_CONTROLLER)
    return "hello of an unknown role";
  return NULL;
}

void
wr_handshake_hello (const WrIdentity *identity,
                    guint8 nonce[WR_NONCE_BYTES],
                    Alderturn__Hello *hello)
{
  alderturn__hello__init (hello);
  hello->version = WR_VERSION;
  hello->instance = (char *)identity->instance;
  hello->incarnation = identity->incarnation;
  hello->role = identity->role;
  hello->zone = (char *)identity->zone;
  hello->region = (char *)identity->region;
  hello->address = (char *)identity->address;
  hello->caller_address = (char *)identity->caller_address;
  hello->nonce.data = nonce;
  hello->nonce.len = WR_NONCE_BYTES;
}
