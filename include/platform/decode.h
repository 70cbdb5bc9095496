#pragma once

/** The platform's JSON for endpoints and members, decoded into the core's types; configurations:
 * platform/config_decoder.h. */

#include <jansson.h>

#include "serve/config.h"
#include "serve/fleet.h"
#include "serve/peers.h"

/** Where the operator's newest configuration lies. */
#define PL_CONFIG_TABLE "op"
#define PL_CONFIG_KEY   "config"

/** Where endpoints enter themselves, each under its id. */
#define PL_ENDPOINT_TABLE "servers"

/** Where our own instances enter themselves, each under its name. */
#define PL_MEMBER_TABLE "instances"

/** FALSE: something else than an endpoint wrote it, and it names none. Strings live as long as
 * `value` and `id`; `revision` is left 0. */
gboolean pl_decode_endpoint (const char *id, json_t *value, SvEndpointEntry *entry);

json_t *pl_encode_member (const SvMember *member);

/** Where the member takes datagrams, its zone and strength; the rest is left out. FALSE: the first
 * two are not said. Strings live as long as `value`. */
gboolean pl_decode_member (json_t *value, SvMember *member);

/** Body of an answer of the directory; free with free(). */
char *pl_encode_directory (const GPtrArray *addresses, guint keep_s);
