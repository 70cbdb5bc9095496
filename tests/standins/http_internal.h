#pragma once

/** Private declarations shared by http_server.c and program.c. */

#include "tests/standins/http_server.h"

/** Listens at the server's address; logs and returns FALSE when it can't bind to it. */
gboolean sd_server_listen (SdServer *server);

void sd_exchange_free (gpointer exchange);
void sd_client_free (gpointer client);
