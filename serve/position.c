#include "serve/position.h"

static SvPositionOrder
compare_numbers (guint64 a, guint64 b)
{
  if (a == b)
    return SV_POSITION_SAME;
  return a < b ? SV_POSITION_OLDER : SV_POSITION_NEWER;
}

SvPositionOrder
sv_position_compare (SvPosition a, SvPosition b)
{
  if (a.version == 0 || b.version == 0)
    return compare_numbers (a.version != 0, b.version != 0);
  if (a.era == b.era)
    return compare_numbers (a.version, b.version);
  if (a.era == 0 || b.era == 0)
    return SV_POSITION_UNRELATED;
  return compare_numbers (a.era, b.era);
}

SvPosition
sv_position_newest (SvPosition a, SvPosition b)
{
  return sv_position_compare (a, b) == SV_POSITION_NEWER ? a : b;
}
