// Waits until a configuration is in force in every zone.
#ifndef MANGOSPAN_CTL_INTERNAL_WAIT_H
#define MANGOSPAN_CTL_INTERNAL_WAIT_H

#include <nlohmann/json_fwd.hpp>

#include "mangospan/base/error.h"
#include "mangospan/ctl/internal/printer.h"
#include "mangospan/ctl/internal/session.h"
#include "mangospan/platform/store.h"

namespace mangospan::ctl {

// Reports each zone as soon as it is in force there, and at the end the zones
// and entries that lack it. Fills `aReport` with the same. True if it is in
// force in every known zone, false at the session's deadline. Errors of the
// store, once it has not answered until the deadline.
result<bool>
WaitUntilInForce(session& aSession,
                 platform::revision aRevision,
                 printer& aPrinter,
                 nlohmann::json& aReport);

} // namespace mangospan::ctl

#endif // MANGOSPAN_CTL_INTERNAL_WAIT_H
