#include "mangospan/ctl/internal/write.h"

#include <chrono>
#include <optional>
#include <string>
#include <utility>

#include <nlohmann/json.hpp>

#include "mangospan/base/error.h"
#include "mangospan/ctl/internal/session.h"

namespace mangospan::ctl {

namespace {

constexpr std::chrono::milliseconds kRepeatDelay{ 200 };

platform::revision
RevisionOf(const std::optional<platform::record>& aRecord)
{
  return aRecord ? aRecord->mRevision : 0;
}

error
NotFoundOut(const error& aCause)
{
  error unknown = aCause;
  unknown.mCode = error_code::kUnknownResult;
  unknown.mMessage = "it is not known whether the change was written (" +
                     std::string(Name(aCause.mCode)) +
                     "); look again when the platform answers";
  return unknown;
}

} // namespace

std::string
ChangeIdOf(const std::string& aValue)
{
  const auto parsed = nlohmann::json::parse(aValue, nullptr, false, true);
  if (!parsed.is_object()) {
    return "";
  }
  const auto found = parsed.find("change_id");
  return found != parsed.end() && found->is_string() ? found->get<std::string>()
                                                     : "";
}

// A write whose answer was lost may still be on its way when the key is read
// back unchanged. Writing the same value again over the same revision settles
// it: at most one of the two can succeed.
result<write_outcome>
WriteOnce(session& aSession,
          const platform::swap_request& aRequest,
          const std::string& aChangeId)
{
  bool answerLost = false;
  while (true) {
    const auto written = aSession.CompareAndSwap(aRequest);
    if (written.has_value()) {
      return write_outcome{ true, written.assume_value(), {}, false };
    }
    const error& failure = written.assume_error();
    if (failure.mCode == error_code::kUnknownResult) {
      answerLost = true;
    } else if (failure.mCode != error_code::kConflict) {
      return answerLost ? NotFoundOut(failure) : failure;
    }
    const auto held = aSession.Read(aRequest.mKey);
    if (held.has_error()) {
      return answerLost ? NotFoundOut(held.assume_error())
                        : held.assume_error();
    }
    const auto& record = held.assume_value();
    if (record && ChangeIdOf(record->mValue) == aChangeId) {
      return write_outcome{ true, record->mRevision, {}, false };
    }
    if (RevisionOf(record) != aRequest.mExpected) {
      return write_outcome{ false, 0, record, answerLost };
    }
    if (failure.mCode == error_code::kConflict) {
      return error{ error_code::kInternal,
                    "store.cas",
                    failure.mPeer,
                    "the store refused the revision that it holds" };
    }
    aSession.Sleep(kRepeatDelay);
  }
}

result<bool>
UpdateRecord(session& aSession,
             const std::string& aKey,
             const std::string& aChangeId,
             const update& aUpdate)
{
  while (true) {
    BOOST_OUTCOME_TRY(held, aSession.Read(aKey));
    BOOST_OUTCOME_TRY(value, aUpdate(held));
    if (!value) {
      return false;
    }
    BOOST_OUTCOME_TRY(
      outcome,
      WriteOnce(aSession,
                { aKey, RevisionOf(held), std::move(*value), {} },
                aChangeId));
    if (outcome.mAccepted) {
      return true;
    }
  }
}

} // namespace mangospan::ctl
