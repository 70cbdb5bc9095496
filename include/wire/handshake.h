#pragma once

/** Proofs of the handshake: HMAC-SHA256 over both sides' nonces, keyed with the shared secret. */

#include <glib.h>

#include "wire/link.h"

#define WR_NONCE_BYTES 32
#define WR_PROOF_BYTES 32

/** The side that makes a proof. It is part of the HMAC's input, so that a proof can't be reflected
 * to the side that made it. */
typedef enum
{
  WR_SIDE_CONNECTING,
  WR_SIDE_ACCEPTING,
} WrSide;

/**
 * Makes a nonce that is unique for an identity and unpredictable without the
 * secret: an HMAC over instance, role, incarnation and `number`. `number` must
 * differ in each call of one incarnation.
 */
void wr_handshake_nonce (const WrIdentity *identity, guint64 number, guint8 nonce[WR_NONCE_BYTES]);

void wr_handshake_proof (const char *secret,
                         WrSide side,
                         const guint8 connecting[WR_NONCE_BYTES],
                         const guint8 accepting[WR_NONCE_BYTES],
                         guint8 proof[WR_PROOF_BYTES]);

/** Compares two proofs in constant time; FALSE also if `given` has another length. */
gboolean wr_handshake_equal (const guint8 *expected, const ProtobufCBinaryData *given);

/** Validates `hello`, except for its version. Returns the fault as a static string, or NULL. */
const char *wr_handshake_fault (const Alderturn__Hello *hello);

/** Fills `hello` with pointers into `identity` and `nonce`. */
void wr_handshake_hello (const WrIdentity *identity,
                         guint8 nonce[WR_NONCE_BYTES],
                         Alderturn__Hello *hello);
