#pragma once

/** Whether the endpoints that a prompt was placed at have room for it. */

#include "serve/router.h"

typedef enum
{
  SV_LACK_NONE,
  SV_LACK_MEMORY,
  SV_LACK_SLOTS,
  SV_LACK_PREFILL, /**< prefill is queued there, and ends at a known time */
  SV_LACK_STREAMS, /**< running streams would pause for longer than their callers tolerate */
} SvLack;

/** What the endpoints lack first. */
SvLack sv_room_lack (const SvPlacement *placement);

/** Reason of a wait or a refusal; for SV_LACK_NONE, that others use the room. */
const char *sv_lack_name (SvLack lack);

/** Whether the prompt is to be sent if nobody precedes it; `longest`: how long it could wait. */
gboolean sv_room_is_free (const SvPlacement *placement, KnlTime longest);
