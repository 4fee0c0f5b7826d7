#include "testing/endpoint/runner_state.h"

#include <gtest/gtest.h>

#include "mangospan/base/identity.h"
#include "mangospan/platform/hosts.h"

namespace mangospan::standin {
namespace {

platform::host_info
WorkerWithTwoSlots()
{
  platform::host_info host;
  host.mHost = host_name("w1");
  host.mService = service_name("permits");
  host.mSlots = 2;
  return host;
}

TEST(RunnerState, RequestsOverTheSlotsAreRefusedAndCounted)
{
  runner_state runner(WorkerWithTwoSlots());
  const service_name service("permits");
  runner.Begin(0);
  EXPECT_EQ(runner.Admit(service), admission::kRun);
  runner.Begin(1);
  EXPECT_EQ(runner.Admit(service), admission::kOverSlots);
  EXPECT_TRUE(runner.End(0));
  EXPECT_EQ(runner.Admit(service), admission::kRun);
  EXPECT_EQ(runner.Violations().mOverSlots, 1U);
}

TEST(RunnerState, AnotherServicesRequestIsRefusedAndCounted)
{
  runner_state runner(WorkerWithTwoSlots());
  EXPECT_EQ(runner.Admit(service_name("royalties")), admission::kWrongService);
  EXPECT_EQ(runner.Violations().mWrongService, 1U);
}

TEST(RunnerState, StopReportsWhatItCutAndServesNothing)
{
  runner_state runner(WorkerWithTwoSlots());
  runner.Begin(4);
  EXPECT_EQ(runner.Stop().count(4), 1U);
  EXPECT_FALSE(runner.End(4));
  EXPECT_FALSE(runner.Running());
  EXPECT_EQ(runner.Admit(service_name("permits")), admission::kWrongService);
}

TEST(RunnerState, UnknownFaultHasNoKind)
{
  EXPECT_EQ(ParseFaultKind("hang"), fault_kind::kHang);
  EXPECT_FALSE(ParseFaultKind("tired"));
}

} // namespace
} // namespace mangospan::standin
