#include "testing/platform/host_directory.h"

#include <chrono>

#include <gtest/gtest.h>

#include "mangospan/base/time.h"
#include "mangospan/platform/hosts.h"

namespace mangospan::standin {
namespace {

using platform::host_state;
using std::chrono::milliseconds;

platform::host_info
Worker(const char* aName)
{
  platform::host_info host;
  host.mHost = host_name(aName);
  return host;
}

TEST(HostDirectory, ListShowsAChangeOnlyAfterTheLag)
{
  manual_clock clock;
  host_directory hosts({ Worker("w1") }, milliseconds(500));
  const auto first = hosts.List(0, clock.Now());
  ASSERT_EQ(first.mHosts.size(), 1U);
  ASSERT_TRUE(
    hosts.SetState(host_name("w1"), host_state::kLeaving, clock.Now()));
  EXPECT_EQ(hosts.Find(host_name("w1"))->mState, host_state::kLeaving);
  clock.Advance(milliseconds(499));
  EXPECT_TRUE(hosts.List(first.mRevision, clock.Now()).mHosts.empty());
  clock.Advance(milliseconds(1));
  const auto later = hosts.List(first.mRevision, clock.Now());
  ASSERT_EQ(later.mHosts.size(), 1U);
  EXPECT_EQ(later.mHosts[0].mState, host_state::kLeaving);
  EXPECT_GT(later.mRevision, first.mRevision);
}

TEST(HostDirectory, UnknownHostIsAnError)
{
  host_directory hosts({}, milliseconds(0));
  EXPECT_TRUE(hosts.CountBoot(host_name("w9"), time_point{}).has_error());
}

TEST(ActionLedger, RepeatedIdIsAnsweredAndNotBegunAgain)
{
  action_ledger ledger;
  EXPECT_TRUE(ledger.Begin("1-1"));
  EXPECT_FALSE(ledger.Begin("1-1"));
  EXPECT_EQ(ledger.Status("1-1").mState, platform::action_state::kPending);
  ledger.Finish("1-1", { platform::action_state::kDone, "" });
  EXPECT_FALSE(ledger.Begin("1-1"));
  EXPECT_EQ(ledger.Status("1-1").mState, platform::action_state::kDone);
}

} // namespace
} // namespace mangospan::standin
