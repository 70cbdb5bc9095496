#pragma once

/** The value of a row "idem/WORKSPACE/KEY": the state and outcome of the request with that key. */

#include <glib.h>

#include "wire/alderturn.pb-c.h"

typedef struct
{
  Alderturn__IdemState state; /**< UNSPECIFIED: there is no record */
  char *attempt;
  guint64 digest; /**< of the request; 0: unknown */
  guint32 status; /**< of the answer; 0: the answer isn't stored */
  char *content_type;
  GBytes *body;
  guint64 epoch; /**< of the retention clock at the last write */
} CoIdemRecord;

void co_idem_record_clear (CoIdemRecord *record);
CoIdemRecord co_idem_record_copy (const CoIdemRecord *record);

/** Returns FALSE, and an empty record, when `value` isn't a valid record. */
gboolean co_idem_record_parse (const char *value, CoIdemRecord *record);

/** The row's value. Free with free(). */
char *co_idem_record_value (const CoIdemRecord *record);
