// The product's platform adapter against the stand-in, over HTTP.
#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include "mangospan/base/error.h"
#include "mangospan/base/identity.h"
#include "mangospan/base/time.h"
#include "mangospan/http/client.h"
#include "mangospan/http/message.h"
#include "mangospan/platform/hosts.h"
#include "mangospan/platform/http_platform.h"
#include "mangospan/platform/store.h"
#include "testing/fleet/fleet_file.h"
#include "testing/http/fault_server.h"
#include "testing/platform/service.h"

namespace mangospan::standin {
namespace {

using std::chrono::milliseconds;
constexpr milliseconds kTimeout{ 2'000 };

class adapter_test : public testing::Test
{
protected:
  adapter_test()
    : mService(mIo,
               mClock,
               ParseFleet(R"({"list_lag_ms":0,"hosts":[{"host":"w1",
                           "zone":"a","service":"permits"}]})",
                          "test")
                 .assume_value(),
               [](const auto&, const auto& aDone) {
                 aDone(boost::outcome_v2::success());
               })
    , mServer(mIo,
              {},
              [this](const http::request& aRequest, const replier& aReply) {
                mService.Handle(aRequest, aReply);
              })
    , mClient(mIo, {})
    , mAddress(Listen())
    , mStore(mIo, mClient, mAddress, zone_name("a"))
    , mHosts(mIo, mClient, mAddress, zone_name("a"))
  {
  }

  std::string Listen()
  {
    EXPECT_TRUE(mServer.Listen("127.0.0.1:0"));
    return "127.0.0.1:" + std::to_string(mServer.Port());
  }

  // Runs one call to its end.
  template<typename T, typename Call>
  result<T> Await(Call aCall)
  {
    std::optional<result<T>> answer;
    aCall([&answer](result<T> aResult) { answer = std::move(aResult); });
    const time_point end = boot_clock::now() + 2 * kTimeout;
    mIo.restart();
    while (!answer && boot_clock::now() < end) {
      mIo.run_one_for(milliseconds(10));
    }
    EXPECT_TRUE(answer);
    return answer ? *answer
                  : result<T>(error{ error_code::kInternal, "test", "", "" });
  }

  result<platform::revision> Swap(platform::swap_request aRequest)
  {
    return Await<platform::revision>([&](auto aHandler) {
      mStore.CompareAndSwap(aRequest, kTimeout, std::move(aHandler));
    });
  }

  std::optional<platform::record> Read(const std::string& aKey)
  {
    return Await<std::optional<platform::record>>([&](auto aHandler) {
             mStore.Read(aKey, kTimeout, std::move(aHandler));
           })
      .assume_value();
  }

  void Control(const std::string& aBody)
  {
    http::request request;
    request.mMethod = "POST";
    request.mTarget = "/control";
    request.mBody = aBody;
    mService.Handle(request, [](const reply&) {});
  }

  boost::asio::io_context mIo;
  manual_clock mClock;
  platform_service mService;
  fault_server mServer;
  http::client mClient;
  std::string mAddress;
  platform::http_store mStore;
  platform::http_hosts mHosts;
};

TEST_F(adapter_test, SwapsReadsListsAndDeletes)
{
  const std::string text = "{\"a\": \"\\u00e9 \\\" \n\"}";
  EXPECT_EQ(Swap({ "zones/a/x", 0, text, {} }).assume_value(), 1U);
  EXPECT_EQ(Swap({ "zones/a/x", 0, "y", {} }).assume_error().mCode,
            error_code::kConflict);
  EXPECT_EQ(Read("zones/a/x")->mValue, text);
  EXPECT_FALSE(Read("zones/a/y"));
  const auto records = Await<std::vector<platform::record>>([&](auto aHandler) {
    mStore.List("zones/", kTimeout, std::move(aHandler));
  });
  EXPECT_EQ(records.assume_value().size(), 1U);
  EXPECT_TRUE(Await<platform::revision>([&](auto aHandler) {
    mStore.Delete("zones/a/x", 1, kTimeout, std::move(aHandler));
  }));
  EXPECT_FALSE(Read("zones/a/x"));
}

TEST_F(adapter_test, LeaseIsRenewedRevokedAndThenUnknown)
{
  const auto lease =
    Await<platform::lease_id>([&](auto aHandler) {
      mStore.GrantLease(milliseconds(500), kTimeout, std::move(aHandler));
    }).assume_value();
  EXPECT_TRUE(Swap({ "leader", 0, "me", lease }));
  const auto renew = [&](auto aHandler) {
    mStore.RenewLease(lease, kTimeout, std::move(aHandler));
  };
  EXPECT_TRUE(Await<platform::lease_id>(renew));
  EXPECT_TRUE(Await<platform::lease_id>([&](auto aHandler) {
    mStore.RevokeLease(lease, kTimeout, std::move(aHandler));
  }));
  EXPECT_FALSE(Read("leader"));
  EXPECT_EQ(Await<platform::lease_id>(renew).assume_error().mCode,
            error_code::kNotFound);
}

TEST_F(adapter_test, WatchReportsChangesAfterARevision)
{
  EXPECT_TRUE(Swap({ "a/1", 0, "x", {} }));
  EXPECT_TRUE(Swap({ "a/2", 0, "y", {} }));
  const auto watch = [&](platform::revision aAfter) {
    return Await<platform::change_batch>([&](auto aHandler) {
      mStore.Watch("a/", aAfter, milliseconds(0), std::move(aHandler));
    });
  };
  const auto batch = watch(1).assume_value();
  ASSERT_EQ(batch.mChanges.size(), 1U);
  EXPECT_EQ(batch.mChanges[0].mRecord.mKey, "a/2");
  EXPECT_EQ(batch.mRevision, 2U);
  EXPECT_TRUE(watch(2).assume_value().mChanges.empty());
  EXPECT_EQ(watch(99).assume_error().mCode, error_code::kNotFound);
}

TEST_F(adapter_test, LostAnswerIsAnUnknownResultAndTheWriteIsThere)
{
  Control(R"({"lose_answers":1})");
  EXPECT_EQ(Swap({ "x", 0, "v", {} }).assume_error().mCode,
            error_code::kUnknownResult);
  EXPECT_TRUE(Read("x"));
}

TEST_F(adapter_test, HostsAreListedAndActedOn)
{
  const auto list = [&](platform::revision aKnown) {
    return Await<platform::host_list>([&](auto aHandler) {
             mHosts.List(aKnown, kTimeout, std::move(aHandler));
           })
      .assume_value();
  };
  const auto first = list(0);
  ASSERT_EQ(first.mHosts.size(), 1U);
  EXPECT_EQ(first.mHosts[0].mService, service_name("permits"));
  EXPECT_TRUE(list(first.mRevision).mHosts.empty());
  const platform::action_request stop{ host_name("w1"),
                                       platform::host_action::kStopRunner,
                                       service_name("permits"),
                                       { boot_id{ 7 }, 1 } };
  const auto act = [&] {
    return Await<platform::action_status>([&](auto aHandler) {
             mHosts.StartAction(stop, kTimeout, std::move(aHandler));
           })
      .assume_value()
      .mState;
  };
  EXPECT_EQ(act(), platform::action_state::kDone);
  EXPECT_EQ(act(), platform::action_state::kDone);
  const auto later = list(first.mRevision);
  ASSERT_EQ(later.mHosts.size(), 1U);
  EXPECT_TRUE(later.mHosts[0].mService.Empty());
}

TEST_F(adapter_test, CutZoneGetsNoAnswerToReadsAndWrites)
{
  Control(R"({"cut_zones":["a"]})");
  EXPECT_TRUE(Swap({ "x", 0, "v", {} }).has_error());
  Control(R"({"cut_zones":["b"]})");
  EXPECT_TRUE(Swap({ "x", 0, "v", {} }).has_value());
}

} // namespace
} // namespace mangospan::standin
