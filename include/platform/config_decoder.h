#pragma once

/**
 * Decodes the operator's configurations incrementally, so that a large one
 * doesn't block the event loop. Routes whose JSON text is the same as in the
 * previous configuration are reused from it.
 */

#include "serve/config.h"

typedef struct PlConfigDecoder PlConfigDecoder;

PlConfigDecoder *pl_config_decoder_new (void);
void pl_config_decoder_free (PlConfigDecoder *decoder);

/** Begins a configuration; discards one that was begun and not ended. */
void pl_config_decoder_begin (PlConfigDecoder *decoder);

/** Adds the next piece of the JSON text; it may be split at any byte. */
void pl_config_decoder_feed (PlConfigDecoder *decoder, const char *text, gsize length);

/** Returns the configuration, owned by the caller. NULL if none was begun, or if its text is
 * truncated or invalid. */
SvConfig *pl_config_decoder_end (PlConfigDecoder *decoder);

/** Number of routes of the last configuration that were decoded rather than reused. */
guint pl_config_decoder_n_decoded (const PlConfigDecoder *decoder);

/** Decodes a complete text. Returns NULL if it isn't a valid configuration. */
SvConfig *pl_decode_config (const char *text, gsize length);
