#pragma once

/** Converts between the platform's JSON and the core's types for endpoints, members and the
 * directory. For configurations see platform/config_decoder.h. */

#include <jansson.h>

#include "serve/config.h"
#include "serve/fleet.h"
#include "serve/peers.h"

/** Row with the operator's newest configuration. */
#define PL_CONFIG_TABLE "op"
#define PL_CONFIG_KEY   "config"

/** Table in which endpoints register, each under its id. */
#define PL_ENDPOINT_TABLE "servers"

/** Table in which instances register, each under its name. */
#define PL_MEMBER_TABLE "instances"

/** Returns FALSE if `value` isn't a valid endpoint entry. The entry's strings are borrowed from
 * `id` and `value`; `revision` is left 0. */
gboolean pl_decode_endpoint (const char *id, json_t *value, SvEndpointEntry *entry);

json_t *pl_encode_member (const SvMember *member);

/** Reads the member's datagram address, zone and strength only. Returns FALSE if the address or the
 * zone is missing. The strings are borrowed from `value`. */
gboolean pl_decode_member (json_t *value, SvMember *member);

/** Body of an answer of the directory, which callers may cache for `ttl_s` seconds. Free with
 * free(). */
char *pl_encode_directory (const GPtrArray *addresses, guint ttl_s);
