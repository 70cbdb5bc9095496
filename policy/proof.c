#include "policy/proof.h"

#include <string.h>

static const PolLoss losses[] = {
  [POL_END_UNSENT] = POL_LOSS_NOT_RUN,
  [POL_END_PROMISED] = POL_LOSS_NOT_RUN,
  [POL_END_FAILED] = POL_LOSS_FAILED,
  [POL_END_LOST] = POL_LOSS_UNKNOWN,
};

PolLoss
pol_end_loss (PolEnd end)
{
  return losses[end];
}

gboolean
pol_end_may_have_run (PolEnd end)
{
  return pol_end_loss (end) != POL_LOSS_NOT_RUN;
}

PolEnd
pol_end_of_withdrawn (gboolean has_sent)
{
  return has_sent ? POL_END_LOST : POL_END_UNSENT;
}

PolAnswerOwner
pol_answer_owner (const char *named, const char *request, gboolean is_first)
{
  if (named == NULL)
    return is_first ? POL_ANSWER_OWN : POL_ANSWER_UNNAMED;
  return request != NULL && strcmp (named, request) == 0 ? POL_ANSWER_OWN : POL_ANSWER_OTHER;
}

gboolean
pol_status_promises_not_run (guint status)
{
  static const guint statuses[] = { 408, 421, 429, 503 };

  for (guint i = 0; i < G_N_ELEMENTS (statuses); i++)
    {
      if (statuses[i] == status)
        return TRUE;
    }
  return FALSE;
}
