#pragma once

/**
 * Decodes the operator's configurations piece by piece, so that a large one
 * holds nothing else up. Routes whose text is the same as in the configuration
 * before are taken over from it.
 */

#include "serve/config.h"

typedef struct PlConfigDecoder PlConfigDecoder;

PlConfigDecoder *pl_config_decoder_new (void);
void pl_config_decoder_free (PlConfigDecoder *decoder);

/** A configuration begins; one that was not ended is dropped. */
void pl_config_decoder_begin (PlConfigDecoder *decoder);

/** The next piece of its JSON text, in any sizes. */
void pl_config_decoder_feed (PlConfigDecoder *decoder, const char *text, gsize length);

/** The configuration, or NULL: its text ends early or is none. */
SvConfig *pl_config_decoder_end (PlConfigDecoder *decoder);

/** Routes of the last configuration that were decoded, not taken over. */
guint pl_config_decoder_n_decoded (const PlConfigDecoder *decoder);

/** All at once; NULL: it is no configuration. */
SvConfig *pl_decode_config (const char *text, gsize length);
