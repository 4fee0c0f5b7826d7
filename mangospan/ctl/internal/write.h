// Writes one record with a change id, and finds out whether it was written
// when the answer was lost.
//
//   BOOST_OUTCOME_TRY(written, WriteOnce(session, { key, revision, text },
//   id)); if (written.mAccepted) { ... }
#ifndef MANGOSPAN_CTL_INTERNAL_WRITE_H
#define MANGOSPAN_CTL_INTERNAL_WRITE_H

#include <functional>
#include <optional>
#include <string>

#include "mangospan/base/error.h"
#include "mangospan/ctl/internal/session.h"
#include "mangospan/platform/store.h"

namespace mangospan::ctl {

// The member "change_id" of a record's JSON object; empty if there is none.
std::string
ChangeIdOf(const std::string& aValue);

struct write_outcome
{
  bool mAccepted = false;
  platform::revision mRevision = 0;      // of the accepted write
  std::optional<platform::record> mHeld; // what came first, if not accepted
  bool mMayHaveBeenHeld = false; // ours may have been written before `mHeld`
};

// Compares and swaps. The value must carry `aChangeId`. Errors: those of the
// store; kUnknownResult if it could not be found out whether it was written.
result<write_outcome>
WriteOnce(session& aSession,
          const platform::swap_request& aRequest,
          const std::string& aChangeId);

// What an update wants: a new value with the change id, or none if the record
// is right as it is.
using update = std::function<result<std::optional<std::string>>(
  const std::optional<platform::record>& aHeld)>;

// Reads, updates and writes, again whenever another writer came first. True if
// a value was written.
result<bool>
UpdateRecord(session& aSession,
             const std::string& aKey,
             const std::string& aChangeId,
             const update& aUpdate);

} // namespace mangospan::ctl

#endif // MANGOSPAN_CTL_INTERNAL_WRITE_H
