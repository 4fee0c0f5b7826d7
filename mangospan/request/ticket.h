// Tickets: idempotency keys that callers attach to requests they may resend.
//
// A ticket identifies the process that issued it; only that process knows
// whether the request has run. Over HTTP it is the value of the header
// `Idempotency-Key`:
//
//   BOOST_OUTCOME_TRY(auto ticket, ParseTicket(headerValue));
//   if (ticket.mBoot != ownBoot) { ask ticket.mIssuer; }
//
// The text comes from a caller and is not trusted: connect to `mIssuer` only if
// the view lists it as the link address of an entry, at which other entries
// reach that entry.
#ifndef MANGOSPAN_REQUEST_TICKET_H
#define MANGOSPAN_REQUEST_TICKET_H

#include <cstdint>
#include <string>
#include <string_view>

#include "mangospan/base/error.h"
#include "mangospan/base/identity.h"
#include "mangospan/base/time.h"

namespace mangospan::request {

// A ticket in decoded form.
struct ticket
{
  std::string mIssuer; // "ip:port" at which entries reach the issuing process
  boot_id mBoot;       // boot id of the issuing process
  std::uint64_t mSequence = 0; // starts at 1 in each process
  // In whole milliseconds on the issuer's clock; not comparable with the clock
  // of another process.
  time_point mExpires;

  friend bool operator==(const ticket& aLeft, const ticket& aRight)
  {
    return aLeft.mIssuer == aRight.mIssuer && aLeft.mBoot == aRight.mBoot &&
           aLeft.mSequence == aRight.mSequence &&
           aLeft.mExpires == aRight.mExpires;
  }
};

// Encodes a ticket as text of at most 128 characters that is valid as the value
// of an HTTP header.
std::string
ToText(const ticket& aTicket);

// Decodes a ticket. Accepts only text in the form that `ToText` writes; returns
// kInvalidArgument for any other text.
result<ticket>
ParseTicket(std::string_view aText);

} // namespace mangospan::request

#endif // MANGOSPAN_REQUEST_TICKET_H
