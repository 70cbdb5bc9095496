#pragma once

/** The bodies that table/http.h sends and takes: JSON in and out, no sockets. */

#include <jansson.h>

#include "table/table.h"

/** Body of POST /table/transact; free with free(). */
char *tb_codec_transaction (const TbTransaction *transaction);

/** The version in the answer to a transaction; FALSE when there is none. */
gboolean tb_codec_parse_version (const char *body, gsize bytes, guint64 *version);

/** Rows of an answer, owned by the caller (tb_codec_rows_free); NULL when it is none. */
GArray *tb_codec_parse_rows (const char *body, gsize bytes, gboolean *more);
void tb_codec_rows_free (GArray *rows);

/** Members of an answer to GET /instances, freed with the array; NULL when it is none. */
GPtrArray *tb_codec_parse_instances (const char *body, gsize bytes);
