#pragma once

/** Decoders that read bytes of others, each with examples of what it usually gets. */

#include <glib.h>

typedef struct
{
  const char *name;
  /** Reads the bytes; it must come back whatever they are. */
  void (*run) (const guint8 *bytes, gsize length);
  const char *const *examples; /**< ends with NULL */
} FuzzTarget;

extern const FuzzTarget fuzz_targets[];
extern const guint fuzz_n_targets;

/** Makes what the targets share; to be called once, before any of them runs. */
void fuzz_setup (void);
