#pragma once

/** A scripted controller in place of an entry's uplink. */

#include "entry/uplink.h"

/** How the scripted controller answers requests, and what it has received. */
typedef struct
{
  EnUplink base;
  KnlKernel *kernel;
  guint64 revision; /**< of the last declared object */
  const EnUplinkEvents *events;
  gpointer data;
  gboolean down;
  gboolean grants;        /**< grants the full capacity of each engine */
  gboolean ignores_begin; /**< doesn't answer IdemBegin */
  gboolean ignores_finish;
  Alderturn__IdemVerdict verdict;
  const char *stored; /**< body of the stored answer; NULL: none */
  guint64 fence;
  guint begins;
  guint finishes;
  Alderturn__IdemState last_state;
  char last_attempt[128];
  GString *last_body;
  GArray *crashes; /**< fingerprints of all crash reports */
  Alderturn__EntryStatus last_status;
  guint64 wanted_tokens; /**< sum over all engines in the last credit request */
} EnTestUplink;

/** Initially grants the full capacity of each engine and answers each IdemBegin with RUN. */
void en_test_uplink_init (EnTestUplink *uplink, KnlKernel *kernel);
void en_test_uplink_clear (EnTestUplink *uplink);

/** Pushes a configuration object; `fields` NULL: removes it. */
void en_test_uplink_declare (EnTestUplink *uplink,
                             const char *kind,
                             const char *name,
                             const char *fields);

/** Sends an update with one member; `full`: it is the only member. */
void en_test_uplink_member (EnTestUplink *uplink, Alderturn__Member *member, gboolean full);
