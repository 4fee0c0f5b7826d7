#include "mangospan/node/job_service.h"

#include <algorithm>
#include <array>
#include <utility>

namespace mangospan::node {

namespace {

constexpr std::array<std::pair<refusal_reason, const char*>, 15> kReasonNames{ {
  { refusal_reason::kNone, "" },
  { refusal_reason::kNoOwner, "no_owner" },
  { refusal_reason::kOwnerUnreachable, "owner_unreachable" },
  { refusal_reason::kNotLoaded, "not_loaded" },
  { refusal_reason::kHandover, "handover" },
  { refusal_reason::kStoreUnavailable, "store_unavailable" },
  { refusal_reason::kOtherService, "other_service" },
  { refusal_reason::kOverRate, "over_rate" },
  { refusal_reason::kNoSuchQueue, "no_such_queue" },
  { refusal_reason::kRecordRefused, "record_refused" },
  { refusal_reason::kStopping, "stopping" },
  { refusal_reason::kOverloaded, "overloaded" },
  { refusal_reason::kTimeIsUp, "time_is_up" },
  { refusal_reason::kLeaseUncertain, "lease_uncertain" },
  { refusal_reason::kNotStored, "not_stored" },
} };

} // namespace

const char*
Name(refusal_reason aReason)
{
  const auto* const found = std::find_if(
    kReasonNames.begin(), kReasonNames.end(), [aReason](const auto& aEntry) {
      return aEntry.first == aReason;
    });
  return found == kReasonNames.end() ? "" : found->second;
}

refusal_reason
ParseRefusalReason(std::string_view aName)
{
  const auto* const found = std::find_if(
    kReasonNames.begin(), kReasonNames.end(), [aName](const auto& aEntry) {
      return aEntry.second == aName;
    });
  return found == kReasonNames.end() ? refusal_reason::kNone : found->first;
}

} // namespace mangospan::node
