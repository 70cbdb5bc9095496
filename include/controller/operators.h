#pragma once

/**
 * Operators' requests, as messages between the HTTP server and the service
 * "operators". Each CtOperatorCall is answered by one CtOperatorAnswer to its
 * sender.
 */

#include "kernel/kernel.h"

#define CT_OPERATORS_SERVICE "operators"

enum
{
  CT_OPERATOR_CALL = 1,
  CT_OPERATOR_ANSWER,
};

typedef struct
{
  KnlMessage base;
  guint64 number; /**< chosen by the sender, repeated in the answer */
  char *method;
  char *path;  /**< decoded, without the query */
  char *query; /**< or NULL */
  char *token; /**< bearer token of the Authorization header, or NULL */
  char *body;  /**< NUL-terminated, or NULL */
} CtOperatorCall;

typedef struct
{
  KnlMessage base;
  guint64 number;
  int status;
  char *content_type;
  char *body;
} CtOperatorAnswer;

CtOperatorCall *ct_operator_call_new (guint64 number, const char *method, const char *path);
/** Takes ownership of `body`, which is freed with free(). */
CtOperatorAnswer *ct_operator_answer_new (guint64 number, int status, char *body);
