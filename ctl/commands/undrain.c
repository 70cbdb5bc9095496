#include "ctl/drain.h"

static ClCommand *
undrain_parse (ClParser *parser)
{
  return cl_drain_parse (parser, &cl_command_undrain, "serving");
}

const ClCommandClass cl_command_undrain = {
  .name = "undrain",
  .usage = "undrain INSTANCE",
  .help = "Ends the drain of an instance: it gets new work again.\n",
  .parse = undrain_parse,
  .run = cl_drain_run,
  .destroy = cl_drain_destroy,
};
