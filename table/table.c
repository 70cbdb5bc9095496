#include "table/table.h"

const char *
tb_status_name (TbStatus status)
{
  static const char *const names[] = {
    [TB_OK] = "ok",
    [TB_CONFLICT] = "conflict",
    [TB_UNAVAILABLE] = "unavailable",
    [TB_UNKNOWN] = "unknown",
  };

  return names[status];
}
