#pragma once

/** The state of one run, shared by its load (soak.c) and its faults (soak_faults.c). */

#include "soak.h"
#include "tests/fakes/caller.h"
#include "tests/fakes/deployment.h"

#define INSTANCES 3
#define ENGINES   4
#define SERVICES  2

typedef struct
{
  const SoakOptions *options;
  SoakResult result;
  GRand *rand;
  FkDeployment *deployment;
  KnlPausedClock *clock;
  GPtrArray *callers; /* FkCaller, all of the run */
  guint64 next;       /* counter that makes prompts and keys unique */
  guint64 incarnations[INSTANCES];
  gboolean entry_frozen[INSTANCES];
  KnlTime frozen_until[INSTANCES];
} Soak;

/** Creates the list of active faults. */
GArray *soak_faults_new (void);

/** Begins a random fault at a random target, unless that fault or that target is already active. */
void soak_faults_begin (Soak *soak, GArray *active);

/** Ends the faults whose time has passed, or all; ending one undoes only its own effect. */
void soak_faults_end (Soak *soak, GArray *active, gboolean all);
