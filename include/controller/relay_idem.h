#pragma once

/** Requests for idempotency records: retried until a holder has answered or they time out. */

#include "controller/relay.h"

typedef struct CtRelayIdem CtRelayIdem;

CtRelayIdem *ct_relay_idem_new (const CtRelayOptions *options);
void ct_relay_idem_free (CtRelayIdem *relay);

void ct_relay_idem_begin (CtRelayIdem *relay, CtPeer *peer, const Alderturn__IdemBegin *begin);
void ct_relay_idem_finish (CtRelayIdem *relay, CtPeer *peer, const Alderturn__IdemFinish *finish);

/** Handle answers of other controllers. */
void ct_relay_idem_handle_reply (CtRelayIdem *relay, const Alderturn__IdemReply *reply);
void ct_relay_idem_handle_finish_reply (CtRelayIdem *relay,
                                        const Alderturn__IdemFinishReply *reply);

guint ct_relay_idem_pending (const CtRelayIdem *relay);
