// What an owner reports of the customers with caps.
#include <string>

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "mangospan/node/state_dump.h"
#include "mangospan/node/testing/lone_owner.h"

namespace mangospan::node {
namespace {

using jobs::job_name;
using std::chrono::milliseconds;

constexpr milliseconds kTimeout{ 1'000 };
constexpr milliseconds kTwoReports{ 2'100 };
const customer_name kRinks{ "rinks" };

// An owner with one job of a customer whose cap is `aCapCpu`, or without one if
// that is 0. The owner's share is the guaranteed 0.08.
class owner_of_customer
{
public:
  explicit owner_of_customer(std::int64_t aCapCpu)
  {
    SetCap(aCapCpu);
    jobs::job_spec job = testing::OneTask();
    job.mCustomer = kRinks;
    mLone.Owner().Submit(
      job_name{ "a" }, job, kTimeout, [](const job_reply& /*aReply*/) {});
  }

  void SetCap(std::int64_t aCpu)
  {
    jobs::catalog customers = testing::OneQueue();
    customers.mVersion = ++mVersion;
    customers.mCustomers[kRinks].mName = kRinks;
    customers.mCustomers[kRinks].mApiKeys = { "secret" };
    customers.mCustomers[kRinks].mCap.mCpu = aCpu;
    mLone.Owner().SetCatalog(customers);
  }

  // Returns what is logged until two reports are due.
  std::string LogOfTwoReports()
  {
    ::testing::internal::CaptureStdout();
    ::testing::internal::CaptureStderr();
    mLone.RunFor(kTwoReports);
    return ::testing::internal::GetCapturedStdout() +
           ::testing::internal::GetCapturedStderr();
  }

  std::string Metrics() const { return mLone.Metrics().Render(); }
  owner& Owner() { return mLone.Owner(); }

private:
  testing::lone_owner mLone;
  std::uint64_t mVersion = 0;
};

std::size_t
Count(const std::string& aText, const std::string& aPart)
{
  std::size_t count = 0;
  for (std::size_t at = aText.find(aPart); at != std::string::npos;
       at = aText.find(aPart, at + 1)) {
    ++count;
  }
  return count;
}

// Guards against a customer that its quota holds back without a trace for
// operators, and against a line or a value that stays after the cap is gone.
TEST(owner_customers_test, LimitedCustomerIsReportedUntilItIsNot)
{
  owner_of_customer world(1'000); // the task takes 0.1 of it
  const std::string limited = world.LogOfTwoReports();
  EXPECT_EQ(Count(limited, "event=customer.limited"), 1U) << limited;
  EXPECT_EQ(Count(limited, "service=ours customer=rinks share=0.080000 "), 1U)
    << limited;
  const std::string labels = "{service=\"ours\",customer=\"rinks\"} ";
  EXPECT_EQ(
    Count(world.Metrics(), "mangospan_node_customer_share" + labels + "0.08"),
    1U)
    << world.Metrics();
  EXPECT_EQ(DumpCustomers(world.Owner().LastQuotaReport()),
            nlohmann::json::parse(
              R"({ "rinks": { "share": 0.08, "used": 0.0, "wanted": 0.1 } })"));
  EXPECT_EQ(Count(world.LogOfTwoReports(), "event=customer."), 0U);

  world.SetCap(0);
  const std::string unlimited = world.LogOfTwoReports();
  EXPECT_EQ(Count(unlimited, "event=customer.unlimited"), 1U) << unlimited;
  EXPECT_EQ(
    Count(world.Metrics(), "mangospan_node_customer_share" + labels + "0\n"),
    1U)
    << world.Metrics();
}

// Guards against lines, series or dump entries in a deployment without caps.
TEST(owner_customers_test, NothingIsReportedWithoutCaps)
{
  owner_of_customer world(0);
  EXPECT_EQ(Count(world.LogOfTwoReports(), "event=customer."), 0U);
  EXPECT_EQ(Count(world.Metrics(), "mangospan_node_customer_"), 0U);
  EXPECT_TRUE(world.Owner().LastQuotaReport().mUsage.empty());
}

} // namespace
} // namespace mangospan::node
