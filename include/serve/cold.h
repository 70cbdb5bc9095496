#pragma once

/** Endpoints that are cold, and what this instance may send to them; see policy/cold_start.h. */

#include "policy/cold_start.h"
#include "serve/bounds.h"
#include "serve/config.h"
#include "serve/position.h"

/** Another cell. */
typedef struct
{
  guint32 id;      /**< hash of its zone's name */
  guint instances; /**< those that its relay hears */
} SvCellSize;

/** The instances as this one knows them. */
typedef struct
{
  guint32 id;           /**< of this instance */
  guint32 cell;         /**< of its own cell */
  const guint32 *peers; /**< ids of the live peers of its cell */
  guint n_peers;
  guint known_in_cell;     /**< instances that exist in its own cell, this one included */
  const SvCellSize *cells; /**< other cells that are heard */
  guint n_cells;
  guint known;            /**< instances that exist, this one included */
  gboolean is_counted;    /**< their number is known, and not only those that were found so far */
  KnlTime detection_time; /**< after which all of its cell have noticed that a peer has ended */
} SvMembers;

/** What decides about all cold endpoints; shared by them. */
typedef struct SvColdRules SvColdRules;

/** Part of an SvEndpoint; all zero: it isn't cold. */
typedef struct
{
  SvColdRules *rules;
  KnlTime until;              /**< end of the cold time; 0: it isn't cold */
  KnlTime stated_until;       /**< by the newest statement; 0: none */
  SvPosition stated_revision; /**< of the row that stated it last */
  KnlTime answered_at;        /**< when an answer last stated it; 0: never */
  PolColdBucket bucket;
} SvEndpointCold;

typedef struct SvEndpoint SvEndpoint;

/** `now`: when this instance started. */
SvColdRules *sv_cold_rules_new (KnlTime now);
SvColdRules *sv_cold_rules_ref (SvColdRules *rules);
void sv_cold_rules_unref (SvColdRules *rules);

/** The following change the rules; sv_endpoint_update_cold() is to be called for all endpoints
 * afterwards. */
void sv_cold_rules_set_members (SvColdRules *rules, const SvMembers *members);
void sv_cold_rules_set_bounds (SvColdRules *rules, const SvBounds *bounds);
void sv_cold_rules_set_config (SvColdRules *rules, const SvConfig *config);
void sv_cold_rules_note_zone_restored (SvColdRules *rules,
                                       const char *zone,
                                       SvPosition revision,
                                       KnlTime now);

/** Applies what a row with that revision states, which may have been written `lag` ago; `left` as
 * in SvEndpointEntry. */
void sv_endpoint_note_cold_row (SvEndpoint *endpoint,
                                KnlTime left,
                                SvPosition revision,
                                KnlTime lag,
                                KnlTime now);

/** Applies what an answer states; `left` as in SvReply. */
void sv_endpoint_note_cold_answer (SvEndpoint *endpoint, KnlTime left, KnlTime now);

/** Applies the current rules, and ends the cold time when it is over. */
void sv_endpoint_update_cold (SvEndpoint *endpoint, KnlTime now);

gboolean sv_endpoint_is_cold (SvEndpoint *endpoint, KnlTime now);

/** Charges `n` requests of this instance. */
void sv_endpoint_charge_cold (SvEndpoint *endpoint, guint n);

/** Time until this instance may send it a request; 0: now, or it isn't cold. */
KnlTime sv_endpoint_cold_wait (SvEndpoint *endpoint, KnlTime now);
