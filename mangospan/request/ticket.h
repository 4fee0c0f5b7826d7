// The name a caller gives to a request that it may resend.
//
// A ticket says which process issued it; only that process knows whether the
// request has run. On the wire it is the value of `Idempotency-Key`:
//
//   BOOST_OUTCOME_TRY(auto ticket, ParseTicket(headerValue));
//   if (ticket.mBoot != ownBoot) { ask ticket.mIssuer; }
//
// The text comes from a caller: connect to `mIssuer` only if the view lists it
// as an entry's link address.
#ifndef MANGOSPAN_REQUEST_TICKET_H
#define MANGOSPAN_REQUEST_TICKET_H

#include <cstdint>
#include <string>
#include <string_view>

#include "mangospan/base/error.h"
#include "mangospan/base/identity.h"
#include "mangospan/base/time.h"

namespace mangospan::request {

struct ticket
{
  std::string mIssuer; // "ip:port" of the issuing process's link listener
  boot_id mBoot;       // of the issuing process
  std::uint64_t mSequence = 0;
  time_point mExpires; // on the issuer's clock, whole milliseconds; others
                       // can't compare it with theirs

  friend bool operator==(const ticket& aLeft, const ticket& aRight)
  {
    return aLeft.mIssuer == aRight.mIssuer && aLeft.mBoot == aRight.mBoot &&
           aLeft.mSequence == aRight.mSequence &&
           aLeft.mExpires == aRight.mExpires;
  }
};

// The ticket as text of at most 128 characters, safe as a header's value.
std::string
ToText(const ticket& aTicket);

// Reads a ticket back. Only what `ToText` writes is taken; anything else is
// kInvalidArgument.
result<ticket>
ParseTicket(std::string_view aText);

} // namespace mangospan::request

#endif // MANGOSPAN_REQUEST_TICKET_H
