#include "mangospan/fleet/records.h"

#include <gtest/gtest.h>

namespace mangospan::fleet {
namespace {

TEST(records, HostsRecordKeepsEveryFieldAsText)
{
  hosts_record record;
  record.mTerm = 7;
  record.mWrite = { { 5 }, 3 };
  host_record host;
  host.mPool = pool_name("work");
  host.mPhase = host_phase::kStopping;
  host.mPurpose = host_purpose::kMove;
  host.mTarget = pool_name("spare");
  host.mEpoch = 4;
  host.mHostActionId = { { 5 }, 2 };
  host.mMaintainedAt = 100;
  host.mLastWave = "w1";
  host.mFailed = true;
  record.mHosts[host_name("a-0")] = host;
  record.mFailedAt[host_name("a-1")] = 200;
  record.mFailuresWave = "w1";
  const hosts_record read = ParseHosts(ToText(record), "hosts").value();
  EXPECT_EQ(read.mHosts, record.mHosts);
  EXPECT_EQ(read.mFailedAt, record.mFailedAt);
  EXPECT_EQ(ToText(read), ToText(record));
}

TEST(records, BudgetRecordKeepsEveryFieldAsText)
{
  budget_record record;
  record.mWrite = { { 5 }, 3 };
  zone_budget_part& part = record.mZones[zone_name("a")];
  part.mTerm = 7;
  part.mHostCount = 12;
  part.mDownHosts = { host_name("a-2") };
  part.mPermits = { { host_name("a-1"), host_purpose::kMaintenance, 9, true } };
  const budget_record read = ParseBudget(ToText(record), "budget").value();
  EXPECT_EQ(read.mZones, record.mZones);
}

TEST(records, AcceptsADocumentAsJsonObjectOrString)
{
  const auto nested =
    ParseConfigRecord(R"({"change_id":"c","document":{"pools":[]}})", "k");
  EXPECT_EQ(nested.value().mDocument, R"({"pools":[]})");
  const auto text = ParseConfigRecord(R"({"document":"{}"})", "k");
  EXPECT_EQ(text.value().mDocument, "{}");
}

TEST(records, InvalidTextIsAnErrorThatNamesTheKey)
{
  for (const char* text : { "", "{", "[]", R"({"term":1})" }) {
    const auto parsed = ParseHosts(text, "zones/a/hosts");
    ASSERT_TRUE(parsed.has_error()) << text;
    EXPECT_EQ(parsed.assume_error().mPeer, "zones/a/hosts");
  }
}

} // namespace
} // namespace mangospan::fleet
