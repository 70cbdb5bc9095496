#pragma once

/** Wraps a single message in a frame. */

#include "wire/alderturn.pb-c.h"

/**
 * Pointer to a frame that carries `message`, valid until the end of the enclosing block. BODY is
 * the message's suffix in the enum of body cases, `field` its member of the union, as in
 * WR_FRAME (CONFIG_PULL, config_pull, &pull).
 */
#define WR_FRAME(BODY, field, message)                                                             \
  (&(Alderturn__Frame){ .base = PROTOBUF_C_MESSAGE_INIT (&alderturn__frame__descriptor),           \
                        .body_case = ALDERTURN__FRAME__BODY_##BODY,                                \
                        .field = (message) })
