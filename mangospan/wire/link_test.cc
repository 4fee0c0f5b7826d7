#include "mangospan/wire/link.h"

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>

namespace mangospan::wire {
namespace {

using std::chrono::milliseconds;

// One process's link together with what it heard.
struct node
{
  node(boost::asio::io_context& aIo,
       const std::string& aHost,
       const std::string& aZone,
       const std::string& aAddress = "127.0.0.1:0")
    : mLink(aIo,
            [aHost, aZone] {
              return sender{ process_role::kEntry,
                             host_name(aHost),
                             zone_name(aZone),
                             boot_id{ 1 },
                             0 };
            },
            mGate,
            { [this](connection_id aId, const std::string& aDialled) {
               mOpen[aId] = aDialled;
             },
              [this](connection_id, envelope aEnvelope) {
                mHeard.push_back(std::move(aEnvelope));
              },
              [this](connection_id aId) { mOpen.erase(aId); } })
  {
    EXPECT_TRUE(mLink.Listen(aAddress).has_value());
  }

  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(mLink.Port());
  }
  connection_id Connection() const
  {
    return mOpen.empty() ? 0 : mOpen.rbegin()->first;
  }

  traffic_gate mGate;
  std::map<connection_id, std::string> mOpen;
  std::vector<envelope> mHeard;
  link mLink;
};

class wire_link : public testing::Test
{
protected:
  template<typename Condition>
  bool Eventually(Condition aCondition)
  {
    const auto end =
      std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!aCondition() && std::chrono::steady_clock::now() < end) {
      mIo.restart();
      mIo.run_for(milliseconds(5));
    }
    return aCondition();
  }

  void Connect(node& aFrom, const node& aTo)
  {
    aFrom.mLink.SetPeers({ aTo.Address() });
    ASSERT_TRUE(Eventually(
      [&] { return aFrom.mOpen.size() == 1 && aTo.mOpen.size() == 1; }));
  }

  boost::asio::io_context mIo;
};

TEST_F(wire_link, CarriesMessagesBothWays)
{
  node left(mIo, "left", "a");
  node right(mIo, "right", "b");
  Connect(left, right);
  EXPECT_EQ(left.mOpen.begin()->second, right.Address());
  EXPECT_EQ(right.mOpen.begin()->second, "");
  left.mLink.Send(left.Connection(), hello{ "here", {}, 7, {}, 0 });
  right.mLink.Send(right.Connection(), goodbye{});
  ASSERT_TRUE(Eventually(
    [&] { return left.mHeard.size() == 1 && right.mHeard.size() == 1; }));
  EXPECT_EQ(right.mHeard[0].mSender.mHost, host_name("left"));
  EXPECT_EQ(std::get<hello>(right.mHeard[0].mMessage).mConfigRevision, 7U);
  EXPECT_EQ(left.mLink.Counters().mSentMessages, 1U);
  EXPECT_EQ(right.mLink.Counters().mReceivedBytes,
            left.mLink.Counters().mSentBytes);
}

TEST_F(wire_link, RedialsAfterTheOtherSideRestarts)
{
  node left(mIo, "left", "a");
  auto right = std::make_unique<node>(mIo, "right", "b");
  const std::string address = right->Address();
  Connect(left, *right);
  right.reset();
  ASSERT_TRUE(Eventually([&] { return left.mOpen.empty(); }));
  mIo.restart();
  mIo.run_for(milliseconds(300)); // some attempts fail
  right = std::make_unique<node>(mIo, "right", "b", address);
  EXPECT_TRUE(Eventually(
    [&] { return left.mOpen.size() == 1 && right->mOpen.size() == 1; }));
}

TEST_F(wire_link, DropsPeersThatAreNoLongerNamed)
{
  node left(mIo, "left", "a");
  node right(mIo, "right", "b");
  Connect(left, right);
  left.mLink.SetPeers({});
  ASSERT_TRUE(
    Eventually([&] { return left.mOpen.empty() && right.mOpen.empty(); }));
  mIo.restart();
  mIo.run_for(milliseconds(300));
  EXPECT_TRUE(right.mOpen.empty());
}

TEST_F(wire_link, DoesNotHearSendersThatTheGateBlocks)
{
  node left(mIo, "left", "a");
  node right(mIo, "right", "b");
  Connect(left, right);
  right.mGate.BlockZone(zone_name("a"));
  left.mLink.Send(left.Connection(), goodbye{});
  mIo.restart();
  mIo.run_for(milliseconds(200));
  EXPECT_TRUE(right.mHeard.empty());
  right.mGate.Clear();
  right.mGate.BlockHost(host_name("other"));
  left.mLink.Send(left.Connection(), goodbye{});
  EXPECT_TRUE(Eventually([&] { return right.mHeard.size() == 1; }));
}

TEST_F(wire_link, SendsNoOversizedMessageAndKeepsTheConnection)
{
  node left(mIo, "left", "a");
  node right(mIo, "right", "b");
  Connect(left, right);
  left.mLink.Send(left.Connection(),
                  config_push{ 1, 0, std::string(kMaxMessageBytes, 'x') });
  left.mLink.Send(left.Connection(),
                  config_push{ 2, 0, std::string(1'000'000, 'x') });
  ASSERT_TRUE(Eventually([&] { return right.mHeard.size() == 1; }));
  EXPECT_EQ(std::get<config_push>(right.mHeard[0].mMessage).mRevision, 2U);
}

TEST_F(wire_link, BoundsTheQueueOfSlowConnections)
{
  node left(mIo, "left", "a");
  node right(mIo, "right", "b");
  Connect(left, right);
  constexpr std::uint64_t kMessages = 100;
  for (std::uint64_t i = 0; i < kMessages; ++i) { // nothing is read meanwhile
    left.mLink.Send(left.Connection(),
                    config_push{ i, 0, std::string(1'000'000, 'x') });
  }
  EXPECT_LT(left.mLink.Counters().mSentMessages, kMessages / 2);
  EXPECT_TRUE(Eventually([&] {
    return right.mHeard.size() == left.mLink.Counters().mSentMessages;
  }));
}

TEST_F(wire_link, RunsNoHandlerAfterStop)
{
  node left(mIo, "left", "a");
  node right(mIo, "right", "b");
  Connect(left, right);
  left.mLink.Stop();
  left.mOpen.clear();
  right.mLink.Send(right.Connection(), goodbye{});
  ASSERT_TRUE(Eventually([&] { return right.mOpen.empty(); }));
  EXPECT_TRUE(left.mHeard.empty());
  EXPECT_TRUE(left.mOpen.empty());
}

TEST_F(wire_link, RefusesBadAndTakenAddresses)
{
  node left(mIo, "left", "a");
  node right(mIo, "right", "b");
  EXPECT_EQ(right.mLink.Listen("nowhere").assume_error().mCode,
            error_code::kInvalidArgument);
  traffic_gate gate;
  link third(mIo, [] { return sender{}; }, gate, {});
  EXPECT_EQ(third.Listen(left.Address()).assume_error().mCode,
            error_code::kUnavailable);
}

} // namespace
} // namespace mangospan::wire
