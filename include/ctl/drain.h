#pragma once

/** Shared by drain and undrain: sets the administrative state of an instance. */

#include "ctl/command.h"

/** Parses the instance's name; `state` is the value to set in its field "state". */
ClCommand *cl_drain_parse (ClParser *parser, const ClCommandClass *klass, const char *state);
ClResult *cl_drain_run (ClCommand *command, ClSession *session);
void cl_drain_destroy (ClCommand *command);
