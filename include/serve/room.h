#pragma once

/** Whether the endpoints that a prompt was placed at have room for it. */

#include "serve/router.h"

/** What the endpoints lack for the prompt, as the reason of a refusal; NULL: nothing. Queued
 * prefill isn't a lack: it is known when it ends. */
const char *sv_room_lack (const SvPlacement *placement);

/** Whether the prompt is to be sent if nobody precedes it; `longest`: how long it could wait. */
gboolean sv_room_is_free (const SvPlacement *placement, KnlTime longest);
