#include "mangospan/node/job_service.h"

#include <gtest/gtest.h>

namespace mangospan::node {
namespace {

// The reason crosses from the owner's node to the caller's by its name.
TEST(refusal_reason_test, EveryReasonIsParsedFromItsName)
{
  for (const auto each : { refusal_reason::kNone,
                           refusal_reason::kNoOwner,
                           refusal_reason::kOwnerUnreachable,
                           refusal_reason::kNotLoaded,
                           refusal_reason::kHandover,
                           refusal_reason::kStoreUnavailable,
                           refusal_reason::kOtherService,
                           refusal_reason::kNoSuchQueue,
                           refusal_reason::kRecordRefused,
                           refusal_reason::kStopping,
                           refusal_reason::kOverloaded,
                           refusal_reason::kTimeIsUp,
                           refusal_reason::kLeaseUncertain,
                           refusal_reason::kNotStored }) {
    EXPECT_EQ(ParseRefusalReason(Name(each)), each);
  }
  EXPECT_EQ(ParseRefusalReason("of a newer version"), refusal_reason::kNone);
}

} // namespace
} // namespace mangospan::node
