/** Runs the fuzz targets under libFuzzer; the first byte of the input selects the target. */

#include <stdint.h>

#include "targets.h"

/* Names required by libFuzzer. NOLINTBEGIN(readability-identifier-naming) */
int LLVMFuzzerInitialize (int *argc, char ***argv);
int LLVMFuzzerTestOneInput (const uint8_t *bytes, size_t length);
/* NOLINTEND(readability-identifier-naming) */

int
LLVMFuzzerInitialize (int *argc, char ***argv)
{
  fuzz_setup ();
  return 0;
}

int
LLVMFuzzerTestOneInput (const uint8_t *bytes, size_t length)
{
  if (length > 0)
    fuzz_targets[bytes[0] % fuzz_n_targets].run (bytes + 1, length - 1);
  return 0;
}
