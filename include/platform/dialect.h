#pragma once

/** The platform's header fields, as the core's dialect. */

#include "serve/dialect.h"

SvDialect *pl_dialect_new (void);
void pl_dialect_free (SvDialect *dialect);
