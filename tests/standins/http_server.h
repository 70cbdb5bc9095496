#pragma once

/** Framework of the stand-in programs: settings, event loop, HTTP server, signals, registration. */

#include "common/settings.h"
#include "kernel/kernel.h"

#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <jansson.h>
#include <stddef.h>

/** Rows of a program's settings table; `type_` is the struct that contains `field`. */
#define SD_ADDRESS(type_, flag, field, optional_, text)                                            \
  {                                                                                                \
    .name = (flag), .type = CM_SETTING_ADDRESS, .offset = offsetof (type_, field),                 \
    .optional = (optional_), .help = (text), .argument = "IP:PORT"                                 \
  }

#define SD_TEXT(type_, flag, field, value, text)                                                   \
  {                                                                                                \
    .name = (flag), .type = CM_SETTING_STRING, .offset = offsetof (type_, field),                  \
    .fallback = (value), .help = (text), .argument = "TEXT"                                        \
  }

#define SD_NUMBER(type_, flag, field, value, text)                                                 \
  {                                                                                                \
    .name = (flag), .type = CM_SETTING_INTEGER, .offset = offsetof (type_, field),                 \
    .fallback = (value), .max = 1e12, .help = (text), .argument = "N"                              \
  }

#define SD_RATE(type_, flag, field, value, text)                                                   \
  {                                                                                                \
    .name = (flag), .type = CM_SETTING_DOUBLE, .offset = offsetof (type_, field),                  \
    .fallback = (value), .max = 1e15, .help = (text), .argument = "N"                              \
  }

#define SD_FLAG(type_, flag, field, text)                                                          \
  {                                                                                                \
    .name = (flag), .type = CM_SETTING_BOOLEAN, .offset = offsetof (type_, field),                 \
    .fallback = "false", .help = (text)                                                            \
  }

typedef struct SdServer SdServer;

/** A request being answered. Every exchange must be ended by reply, end, drop or hang. */
typedef struct
{
  SdServer *server;
  struct evhttp_request *request; /* NULL once the client has disconnected */
  const char *path;
  json_t *body; /**< of the request; an empty object when it isn't valid JSON */
  struct evkeyvalq query;
  void (*on_closed) (gpointer data); /* the client disconnected before the exchange ended */
  gpointer closed_data;
  gboolean streams;
} SdExchange;

/** A path that ends in "/" matches all paths below it; the last row has no path. */
typedef struct
{
  int methods; /**< bits of enum evhttp_cmd_type */
  const char *path;
  void (*answer) (SdExchange *exchange, gpointer server);
} SdRoute;

#define SD_ANY_METHOD (~0)

/** Description of a program; functions may be NULL. */
typedef struct
{
  const char *name;
  const char *kind; /**< in the platform's instance list; NULL: the program isn't listed */
  const char *summary;
  const CmSetting *settings;
  const SdRoute *routes; /**< NULL: the program doesn't listen */
  gboolean (*start) (gpointer server);
  void (*leave) (gpointer server); /**< refuse new work from now on */
  gboolean (*is_idle) (gpointer server);
  void (*clear) (gpointer server);
} SdProgram;

/** First member of every program's struct; the settings are fields of that struct. */
struct SdServer
{
  const SdProgram *program;
  char *address; /* this and the following strings are settings */
  char *advertised_address;
  char *platform_address;
  char *name;
  char *zone;
  char *region;
  char *label;
  gboolean leaving;
  gboolean draining;
  gboolean removing;
  int status; /* exit status of the process */
  KnlTimerId retry;
  struct event_base *base;
  KnlRuntime *runtime;
  KnlKernel *kernel;
  struct evhttp *http;
  struct event *signals[2];
  GPtrArray *exchanges; /* SdExchange that have not ended */
  GHashTable *clients;  /* set of SdClient */
};

/**
 * Body of main(): parses the settings, runs the program and returns its exit status. `server` is
 * the program's struct; its SdServer must be zeroed.
 */
int sd_server_main (SdServer *server, const SdProgram *program, int argc, char **argv);

/** Marks the instance as leaving in the instance list and refuses new work. */
void sd_server_leave (SdServer *server);
void sd_server_stop (SdServer *server);

/** A query parameter, or `fallback`. */
const char *sd_exchange_query (const SdExchange *exchange, const char *name, const char *fallback);
const char *sd_exchange_header (const SdExchange *exchange, const char *name);

/** The raw request body; returns its size. `*data` is valid as long as the exchange. */
gsize sd_exchange_bytes (const SdExchange *exchange, const char **data);

/** Answers with JSON and ends the exchange; takes ownership of `body`. */
void sd_exchange_reply (SdExchange *exchange, int status, json_t *body);
void sd_exchange_reply_bytes (SdExchange *exchange,
                              int status,
                              const char *content_type,
                              const char *body,
                              gsize bytes);

/** Answers with {"error": ERROR}, or with an empty object when `error` is NULL. */
void sd_exchange_refuse (SdExchange *exchange, int status, const char *error);

/** Answers a request to set a fault: 200 if the fault is known, 400 otherwise. */
void sd_exchange_confirm (SdExchange *exchange, gboolean known);

/**
 * Sends a piece of a streamed answer; sd_exchange_end() ends it. If the client disconnects earlier,
 * on_closed is called.
 */
void sd_exchange_send (SdExchange *exchange, const char *text, gsize bytes);
void sd_exchange_end (SdExchange *exchange);

/** Closes the connection without an answer. */
void sd_exchange_drop (SdExchange *exchange);

/** Never answers: the connection stays open until the client closes it. */
void sd_exchange_hang (SdExchange *exchange);

/** The JSON in a buffer, or NULL. */
json_t *sd_json_parse (struct evbuffer *input);

/** A member of a JSON object; `fallback` (FALSE for booleans) if absent or of another type. */
gint64 sd_json_number (const json_t *object, const char *name, gint64 fallback);
const char *sd_json_text (const json_t *object, const char *name, const char *fallback);
gboolean sd_json_true (const json_t *object, const char *name);

/** Index of `name` in a table of names, or -1. */
int sd_name_index (const char *const *names, guint count, const char *name);

/** An outgoing connection for one request. Owned by the server. */
typedef struct
{
  SdServer *server;
  struct evhttp_connection *connection;
  gpointer owned; /**< freed with it by g_free; may be NULL */
} SdClient;

/**
 * Sends `request` to `address` ("IP:PORT") with `body` (NULL: none), whose ownership it takes. If
 * the connection is refused immediately, the request ends inside the call; `*client` is set first.
 */
void sd_client_start (SdClient **client,
                      SdServer *server,
                      struct evhttp_request *request,
                      enum evhttp_cmd_type method,
                      const char *address,
                      const char *path,
                      json_t *body,
                      int timeout_s);

/** Closes the connection and frees the client; the request's callback isn't called. */
void sd_client_drop (SdClient *client);

/** Frees the client after its request has ended, but not inside libevent's callback. */
void sd_client_end (SdClient *client);

/** `status` of the answer (0: none) and its JSON `body` (may be NULL; freed after the callback). */
typedef void (*SdAnswerFunc) (int status, json_t *body, gpointer data);

/**
 * Sends a request and passes the JSON of its answer to `done`. Takes ownership of `body`. Returns
 * NULL if the request ended inside the call.
 */
SdClient *sd_server_request (SdServer *server,
                             const char *address,
                             enum evhttp_cmd_type method,
                             const char *path,
                             json_t *body,
                             int timeout_s,
                             SdAnswerFunc done,
                             gpointer data);
