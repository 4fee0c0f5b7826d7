#include "testing/platform/service.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include "mangospan/base/time.h"
#include "mangospan/http/message.h"
#include "testing/fleet/fleet_file.h"
#include "testing/http/fault_server.h"

namespace mangospan::standin {
namespace {

using std::chrono::milliseconds;

class platform_service_test : public testing::Test
{
protected:
  platform_service_test()
    : mFleet(ParseFleet(R"({"list_lag_ms":0,"reboot_ms":100,"hosts":[
               {"host":"w1","zone":"a","service":"permits"}]})",
                        "test")
               .assume_value())
    , mService(mIo,
               mClock,
               mFleet,
               [this](const runner_command& aCommand, const auto& aDone) {
                 mCommands.push_back(aCommand);
                 aDone(boost::outcome_v2::success());
               })
  {
  }

  // The answer given at once, if there was one.
  std::optional<reply> Call(const char* aMethod,
                            const char* aTarget,
                            const char* aBody = "",
                            const char* aZone = "")
  {
    http::request request;
    request.mMethod = aMethod;
    request.mTarget = aTarget;
    request.mBody = aBody;
    request.Set("Mangospan-Zone", aZone);
    mLast.reset();
    mService.Handle(request, [this](const reply& aReply) { mLast = aReply; });
    return mLast;
  }

  int Status(const char* aMethod, const char* aTarget, const char* aBody = "")
  {
    const auto answer = Call(aMethod, aTarget, aBody);
    return answer ? answer->mResponse.mStatus : 0;
  }

  // Lets the service's own ticks run.
  void RunTicks()
  {
    mIo.restart();
    mIo.run_for(milliseconds(60));
  }

  boost::asio::io_context mIo;
  manual_clock mClock;
  fleet_file mFleet;
  std::vector<runner_command> mCommands;
  platform_service mService;
  std::optional<reply> mLast;
};

TEST_F(platform_service_test, KeysAreWrittenReadListedAndDeleted)
{
  EXPECT_EQ(Status("GET", "/v1/kv/zones/a/x"), 404);
  EXPECT_EQ(Status("PUT", "/v1/kv/zones/a/x", R"({"expect":0,"value":"v"})"),
            200);
  EXPECT_EQ(Status("PUT", "/v1/kv/zones/a/x", R"({"expect":0,"value":"v"})"),
            409);
  EXPECT_EQ(Call("GET", "/v1/kv/zones/a/x")->mResponse.mBody,
            R"({"key":"zones/a/x","revision":1,"value":"v"})");
  EXPECT_NE(
    Call("GET", "/v1/kv?prefix=zones/")->mResponse.mBody.find("zones/a/x"),
    std::string::npos);
  EXPECT_EQ(Status("DELETE", "/v1/kv/zones/a/x?expect=1"), 200);
  EXPECT_EQ(Status("GET", "/v1/kv/zones/a/x"), 404);
}

TEST_F(platform_service_test, MalformedBodyIsRefused)
{
  EXPECT_EQ(Status("PUT", "/v1/kv/x", "{"), 400);
  EXPECT_EQ(Status("PUT", "/v1/kv/x", R"({"value":"v"})"), 400);
}

TEST_F(platform_service_test, WaitingWatchIsAnsweredByTheNextChange)
{
  EXPECT_FALSE(Call("GET", "/v1/watch?prefix=a/&after=0&wait_ms=1000"));
  std::optional<reply> watched;
  http::request watch;
  watch.mTarget = "/v1/watch?prefix=a/&after=0&wait_ms=1000";
  mService.Handle(watch, [&](const reply& aReply) { watched = aReply; });
  EXPECT_EQ(Status("PUT", "/v1/kv/b/1", R"({"expect":0,"value":"v"})"), 200);
  EXPECT_FALSE(watched);
  EXPECT_EQ(Status("PUT", "/v1/kv/a/1", R"({"expect":0,"value":"v"})"), 200);
  ASSERT_TRUE(watched);
  EXPECT_NE(watched->mResponse.mBody.find("a/1"), std::string::npos);
}

TEST_F(platform_service_test, LostAnswerIsCarriedOutAllTheSame)
{
  EXPECT_EQ(Status("POST", "/control", R"({"lose_answers":1})"), 200);
  EXPECT_EQ(Call("PUT", "/v1/kv/x", R"({"expect":0,"value":"v"})")->mDelivery,
            delivery::kDrop);
  EXPECT_EQ(Status("GET", "/v1/kv/x"), 200);
}

TEST_F(platform_service_test, OutageAndCutZoneGetNoAnswer)
{
  EXPECT_EQ(Status("POST", "/control", R"({"cut_zones":["a"]})"), 200);
  EXPECT_EQ(Call("GET", "/v1/kv/x", "", "a")->mDelivery, delivery::kDrop);
  EXPECT_EQ(Call("GET", "/v1/kv/x", "", "b")->mDelivery, delivery::kWhole);
  EXPECT_EQ(Status("POST", "/control", R"({"outage_ms":100})"), 200);
  EXPECT_EQ(Call("GET", "/v1/kv/x", "", "b")->mDelivery, delivery::kDrop);
  EXPECT_EQ(Status("GET", "/control/records?prefix=x"), 200);
  mClock.Advance(milliseconds(100));
  EXPECT_EQ(Call("GET", "/v1/kv/x", "", "b")->mDelivery, delivery::kWhole);
}

TEST_F(platform_service_test, RebootEndsAfterItsTimeAndIsNotRepeated)
{
  const char* reboot = R"({"action":"reboot","service":"permits","id":"1-1"})";
  EXPECT_NE(Call("POST", "/v1/hosts/w1/actions", reboot)
              ->mResponse.mBody.find("pending"),
            std::string::npos);
  mClock.Advance(milliseconds(100));
  RunTicks();
  EXPECT_NE(
    Call("POST", "/v1/hosts/w1/actions", reboot)->mResponse.mBody.find("done"),
    std::string::npos);
  ASSERT_EQ(mCommands.size(), 2U);
  EXPECT_FALSE(mCommands[0].mStart);
  EXPECT_TRUE(mCommands[1].mStart);
  EXPECT_NE(
    Call("GET", "/v1/hosts?known=0")->mResponse.mBody.find(R"("boot_count":2)"),
    std::string::npos);
}

TEST_F(platform_service_test, UnknownHostAndActionAreRefused)
{
  EXPECT_EQ(Status("POST", "/v1/hosts/w9/actions", R"({"id":"1-1"})"), 404);
  EXPECT_EQ(
    Status("POST", "/v1/hosts/w1/actions", R"({"action":"x","id":"1-1"})"),
    400);
}

TEST_F(platform_service_test, CallsAreCountedByKindAndHistoryIsKept)
{
  Call("PUT", "/v1/kv/x", R"({"expect":0,"value":"v"})");
  Call("DELETE", "/v1/kv/x?expect=1");
  EXPECT_EQ(Call("GET", "/control/calls")->mResponse.mBody,
            R"({"write":{"most_in_one_second":2,"total":2}})");
  const std::string history =
    Call("GET", "/control/history?prefix=x")->mResponse.mBody;
  EXPECT_NE(history.find(R"("deleted":true)"), std::string::npos);
  EXPECT_NE(history.find(R"("value":"v")"), std::string::npos);
}

} // namespace
} // namespace mangospan::standin
