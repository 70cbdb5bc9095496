/** The same decoders under the compiler's own fuzzer: the first byte chooses one. */

#include <stdint.h>

#include "targets.h"

/* The fuzzer's names. NOLINTBEGIN(readability-identifier-naming) */
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
