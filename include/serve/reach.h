#pragma once

/**
 * Whether this instance has lost its links to the endpoints of a service while other instances
 * reach them.
 *
 * An instance that is cut off sees every endpoint fail, one after the other. If it blamed each of
 * them, its callers would wait for one connect timeout after the other and be refused. Losses at
 * two endpoints in a row start a probe: a connection to another endpoint, without a request. The
 * links count as lost if the probe fails too, and peers have since heard from endpoints of the
 * service; without that it is an outage for all. Probes go on until two endpoints in a row are
 * reached, or the only one: an instance that reaches just a few of them stays cut off.
 */

#include "http/client.h"
#include "serve/fleet.h"

typedef struct SvReach SvReach;

/** The links are lost, or are back. */
typedef void (*SvReachFunc) (gboolean is_lost, gpointer data);

SvReach *sv_reach_new (KnlKernel *kernel,
                       HtClient *client,
                       SvFleet *fleet,
                       const char *service,
                       SvReachFunc changed,
                       gpointer data);
void sv_reach_free (SvReach *reach);

/** A connection to the endpoint couldn't be established, or it stayed silent. */
void sv_reach_note_failure (SvReach *reach, const SvEndpoint *endpoint);

/** An endpoint has answered on a new connection; no-op while the links are lost. Answers on older
 * ones prove nothing: they may live on while new ones fail. */
void sv_reach_note_connected (SvReach *reach);

gboolean sv_reach_is_lost (const SvReach *reach);
