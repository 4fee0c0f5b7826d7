// Finds contradictions that no single value of a configuration shows.
//
// `Parse` has checked what it returns; use this for documents made elsewhere:
//
//   BOOST_OUTCOME_TRY(config::Check(document, "fleet.json"));
#ifndef MANGOSPAN_CONFIG_CHECK_H
#define MANGOSPAN_CONFIG_CHECK_H

#include <cstddef>
#include <string_view>

#include "mangospan/base/error.h"
#include "mangospan/config/document.h"

namespace mangospan::config {

// More hosts than one availability zone can have.
inline constexpr std::size_t kMaxHostsPerZone = 10'000;

// Refuses the first contradiction: kInvalidArgument with `aSource` as the peer
// and the JSON pointer of the value in the message.
status
Check(const document& aDocument, std::string_view aSource);

} // namespace mangospan::config

#endif // MANGOSPAN_CONFIG_CHECK_H
