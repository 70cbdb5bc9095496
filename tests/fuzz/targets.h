#pragma once

/** Fuzz targets: decoders of untrusted input, each with examples of valid input. */

#include <glib.h>

typedef struct
{
  const char *name;
  /** Decodes the bytes; must return normally for any input. */
  void (*run) (const guint8 *bytes, gsize length);
  const char *const *examples; /**< ends with NULL */
} FuzzTarget;

extern const FuzzTarget fuzz_targets[];
extern const guint fuzz_n_targets;

/** Creates the state that the targets share; call it once before running any of them. */
void fuzz_setup (void);
