#include "common/version.h"

const char *
cm_version (void)
{
  return CM_VERSION;
}
