#pragma once

/** Encodes and decodes the JSON bodies of table/http.h; no I/O. */

#include <jansson.h>

#include "table/table.h"

/** Body of POST /table/transact; free with free(). */
char *tb_codec_transaction (const TbTransaction *transaction);

/** Reads the version from the answer to a transaction; FALSE when there is none. */
gboolean tb_codec_parse_version (const char *body, gsize bytes, guint64 *version);

/** TbRow array of an answer; free with tb_codec_rows_free(). NULL when the body is malformed. */
GArray *tb_codec_parse_rows (const char *body, gsize bytes, gboolean *more);
void tb_codec_rows_free (GArray *rows);

/** Members in an answer to GET /instances, owned by the array; NULL when the body is malformed. */
GPtrArray *tb_codec_parse_instances (const char *body, gsize bytes);
