#pragma once

/**
 * An in-memory network for kernels on one paused clock: the links of wire/link.h
 * with the sessions of the daemons, over channels with delays and faults. A
 * blocked direction holds its bytes back and delivers them once it is unblocked,
 * as TCP does; a frozen link never delivers and reports no error.
 */

#include "wire/link.h"

typedef struct FkNetwork FkNetwork;

FkNetwork *fk_network_new (void);

/** All transports on the network must be freed before. */
void fk_network_free (FkNetwork *network);

/** Sets the one-way delays within a zone and between zones; they apply to bytes sent from now on,
 * also on existing links. */
void fk_network_set_delay (FkNetwork *network, KnlTime within_zone, KnlTime between_zones);

/** Creates a transport for one process, named by `identity->instance` in the faults below. */
WrTransport *fk_network_transport_new (FkNetwork *network,
                                       KnlKernel *kernel,
                                       const WrIdentity *identity,
                                       const guint64 *config_revision);

/** While `blocked`, nothing is delivered from `from` to `to`; NULL: every instance. */
void fk_network_block (FkNetwork *network, const char *from, const char *to, gboolean blocked);

/** Blocks both directions between `instance` and all others, or unblocks them. */
void fk_network_cut_off (FkNetwork *network, const char *instance, gboolean cut_off);

/** Freezes all existing links between `a` and `b` permanently; new links work. */
void fk_network_freeze (FkNetwork *network, const char *a, const char *b);

/** While `refuse` is set, new links to `instance` fail immediately. */
void fk_network_refuse (FkNetwork *network, const char *instance, gboolean refuse);

/** Number of bytes sent by all processes. */
guint64 fk_network_bytes_sent (const FkNetwork *network);
