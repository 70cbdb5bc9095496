/** The contacts in the row of this instance's cell, as it was last read. */

#include <string.h>

#include "gateway.h"

guint
gateway_read_contacts (const Gateway *self, SvMember contacts[GATEWAY_MAX_CONTACTS])
{
  return self->cell_row != NULL
             ? pl_decode_contacts (self->cell_row, contacts, GATEWAY_MAX_CONTACTS)
             : 0;
}

gboolean
gateway_is_self (const Gateway *self, const SvMember *member)
{
  return strcmp (member->link_address, self->member.link_address) == 0;
}

gboolean
gateway_is_contact (const Gateway *self)
{
  SvMember contacts[GATEWAY_MAX_CONTACTS];
  guint n = gateway_read_contacts (self, contacts);

  for (guint i = 0; i < n; i++)
    {
      if (gateway_is_self (self, &contacts[i]))
        return TRUE;
    }
  return FALSE;
}

gboolean
gateway_has_outdated_contacts (const Gateway *self)
{
  SvMember contacts[GATEWAY_MAX_CONTACTS];
  guint n = gateway_read_contacts (self, contacts);
  guint alive = 0;

  for (guint i = 0; i < n; i++)
    alive += gateway_is_self (self, &contacts[i])
             || sv_peers_has_alive (self->peers, contacts[i].link_address);
  return !gateway_is_contact (self)
         || alive < MIN (GATEWAY_MAX_CONTACTS / 2, sv_peers_n_alive_in_cell (self->peers) + 1);
}
