#pragma once

/** Plans and checks a list of configuration changes against a replica; does no I/O. */

#include "common/findings.h"
#include "coord/config.h"

/** One change in the form in which it is written to the table. */
typedef struct
{
  char *kind;
  char *name;
  char *fields; /**< JSON text of the object after the change; NULL: removed */
} CoPlannedChange;

typedef struct
{
  GArray *changes; /**< CoPlannedChange, in the order given */
  /** TRUE when an object isn't at its expected revision; the fields below describe the first. */
  gboolean conflict;
  char *kind;
  char *name;
  guint64 expected;
  guint64 found;
} CoApplyPlan;

/**
 * Plans `changes` (a JSON list of {"op","kind","name","fields","replace","expect"})
 * on top of `config`. Errors are added to `findings`; their `line` is the index
 * of the change, from 1. Free with co_apply_plan_free().
 */
CoApplyPlan *co_apply_plan (const json_t *changes, const CoConfig *config, CmFindings *findings);
void co_apply_plan_free (CoApplyPlan *plan);
