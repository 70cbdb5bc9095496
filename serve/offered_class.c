#include <string.h>
#include <xxhash.h>

#include "serve/offered.h"

guint
sv_offered_class_index (const SvOfferedClass *class)
{
  guint priority = MIN (class->priority, SV_OFFERED_PRIORITIES - 1);

  return priority * SV_N_PREFILL_LENGTHS + class->length;
}

char *
sv_offered_class_name (guint index)
{
  static const char *const lengths[SV_N_PREFILL_LENGTHS] = { "short", "medium", "long" };

  return g_strdup_printf ("priority-%u-%s", index / SV_N_PREFILL_LENGTHS,
                          lengths[index % SV_N_PREFILL_LENGTHS]);
}

guint32
sv_offered_workspace_id (const char *workspace)
{
  guint32 id;

  if (workspace == NULL)
    workspace = "";
  id = (guint32)XXH64 (workspace, strlen (workspace), 0);
  return MAX (id, 1);
}

guint32
sv_offered_service_id (const char *service)
{
  return (guint32)XXH64 (service, strlen (service), 0);
}
