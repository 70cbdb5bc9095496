/** Reloads the settings file while the process runs. */

#include <sys/stat.h>

#include "common/log.h"
#include "gateway.h"

static gint64
file_mtime (const char *path)
{
  struct stat status;

  return stat (path, &status) == 0 ? (gint64)status.st_mtime : 0;
}

void
gateway_note_settings (Gateway *self)
{
  self->boot_mtime = file_mtime (self->boot_path);
}

/*
 * Only the bounds are reloaded. Names and addresses stay for the life of the process, since other
 * modules hold pointers to them.
 */
void
gateway_reload (Gateway *self, gboolean always)
{
  gint64 mtime = file_mtime (self->boot_path);
  CmFindings findings;
  PlBoot *boot;

  if (!always && mtime == self->boot_mtime)
    return;
  self->boot_mtime = mtime;
  cm_findings_init (&findings);
  boot = pl_boot_load (self->boot_path, &findings);
  if (boot != NULL)
    {
      self->boot->bounds = boot->bounds;
      sv_core_set_bounds (self->core, &boot->bounds);
      sv_confirm_set_max_staleness (self->confirm, sv_bounds_max_confirmation_age (&boot->bounds));
      gateway_apply_evacuation_bound (self);
      pl_boot_free (boot);
      cm_log (CM_LOG_NOTICE, "settings-reloaded");
    }
  else
    {
      g_autofree char *text = cm_findings_to_string (&findings);

      cm_log (CM_LOG_ERR, "settings-refused", "s", "findings", text);
    }
  cm_findings_clear (&findings);
}
