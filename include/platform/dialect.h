#pragma once

/** SvDialect implementation for the platform's header fields. */

#include "serve/dialect.h"

SvDialect *pl_dialect_new (void);
void pl_dialect_free (SvDialect *dialect);
