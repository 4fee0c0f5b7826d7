#include "mangospan/platform/http_platform.h"

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>

#include "mangospan/http/client.h"
#include "mangospan/http/server.h"

namespace mangospan::platform {
namespace {

using std::chrono::milliseconds;

// Runs a platform that sends the response `mAnswer` to every request.
class http_platform_adapter : public testing::Test
{
protected:
  void SetUp() override
  {
    ASSERT_TRUE(mServer.Listen("127.0.0.1:0").has_value());
    mAddress = "127.0.0.1:" + std::to_string(mServer.Port());
    mStore.emplace(mIo, mClient, mAddress, zone_name("a"));
    mHosts.emplace(mIo, mClient, mAddress, zone_name("a"));
  }

  void AnswerWith(int aStatus, const std::string& aBody)
  {
    mAnswer = http::JsonResponse(aStatus, aBody);
  }

  // Makes one call and runs the event loop until the call's handler has run.
  template<typename T>
  result<T> Await(const std::function<void(handler<T>)>& aCall)
  {
    std::optional<result<T>> outcome;
    aCall(
      [&outcome](result<T> aResult) { outcome.emplace(std::move(aResult)); });
    EXPECT_FALSE(outcome) << "the handler ran inside the call";
    mIo.restart();
    while (!outcome && mIo.run_one() > 0) {
    }
    return std::move(*outcome);
  }

  result<revision> Swap(swap_request aRequest)
  {
    return Await<revision>([&](handler<revision> aHandler) {
      mStore->CompareAndSwap(aRequest, kTimeout, std::move(aHandler));
    });
  }

  result<std::optional<record>> Read(const std::string& aKey)
  {
    return Await<std::optional<record>>(
      [&](handler<std::optional<record>> aHandler) {
        mStore->Read(aKey, kTimeout, std::move(aHandler));
      });
  }

  static constexpr milliseconds kTimeout{ 5'000 };
  boost::asio::io_context mIo;
  http::response mAnswer;
  bool mWithholdsResponses = false;
  std::vector<http::request> mRequests;
  std::vector<http::responder> mPendingResponders;
  http::server mServer{ mIo,
                        {},
                        [this](http::request aRequest,
                               http::responder aRespond) {
                          mRequests.push_back(std::move(aRequest));
                          if (mWithholdsResponses) {
                            mPendingResponders.push_back(std::move(aRespond));
                          } else {
                            aRespond(mAnswer);
                          }
                        } };
  http::client mClient{ mIo, {} };
  std::string mAddress;
  std::optional<http_store> mStore;
  std::optional<http_hosts> mHosts;
};

TEST_F(http_platform_adapter, ReadsKeysWithSlashes)
{
  AnswerWith(200, R"({"key":"zones/a/hosts","value":"text","revision":7})");
  const auto found = Read("zones/a/hosts");
  ASSERT_TRUE(found.has_value() && found.assume_value().has_value());
  EXPECT_EQ(found.assume_value()->mValue, "text");
  EXPECT_EQ(found.assume_value()->mRevision, 7U);
  EXPECT_EQ(mRequests.at(0).mTarget, "/v1/kv/zones/a/hosts");
  AnswerWith(404, "{}");
  const auto absent = Read("zones/a/hosts");
  ASSERT_TRUE(absent.has_value());
  EXPECT_FALSE(absent.assume_value().has_value());
}

TEST_F(http_platform_adapter, SwapsAndReportsConflicts)
{
  AnswerWith(200, R"({"revision":9})");
  EXPECT_EQ(Swap({ "k", 8, "new \"text\"", lease_id{ 5 } }).assume_value(), 9U);
  EXPECT_EQ(mRequests.at(0).mMethod, "PUT");
  EXPECT_EQ(mRequests.at(0).Get("Mangospan-Zone"), "a");
  EXPECT_EQ(mRequests.at(0).mBody,
            R"({"expect":8,"lease":5,"value":"new \"text\""})");
  AnswerWith(409, R"({"revision":10})");
  const auto lost = Swap({ "k", 8, "new", {} });
  ASSERT_TRUE(lost.has_error());
  EXPECT_EQ(lost.assume_error().mCode, error_code::kConflict);
  EXPECT_EQ(lost.assume_error().mStep, "store.cas");
  EXPECT_EQ(lost.assume_error().mPeer, mAddress);
}

TEST_F(http_platform_adapter, RejectsInvalidInputBeforeSending)
{
  EXPECT_EQ(Swap({ "k", 0, std::string(kMaxValueBytes + 1, 'x'), {} })
              .assume_error()
              .mCode,
            error_code::kTooLarge);
  EXPECT_EQ(Swap({ "k", 0, "\xff", {} }).assume_error().mCode,
            error_code::kInvalidArgument);
  for (const char* key : { "", "a b", "a?b", "a%20b", "a#b", "a&b" }) {
    EXPECT_EQ(Read(key).assume_error().mCode, error_code::kInvalidArgument)
      << key;
  }
  EXPECT_TRUE(mRequests.empty());
}

TEST_F(http_platform_adapter, DistinguishesUnavailableFromUnknownResult)
{
  const swap_request write{ "k", 0, "v", {} };
  AnswerWith(503, "down");
  EXPECT_EQ(Swap(write).assume_error().mCode, error_code::kUnavailable);
  EXPECT_EQ(Read("k").assume_error().mCode, error_code::kUnavailable);
  AnswerWith(500, "oops");
  EXPECT_EQ(Swap(write).assume_error().mCode, error_code::kUnknownResult);
  EXPECT_EQ(Read("k").assume_error().mCode, error_code::kUnavailable);
  for (const char* malformed :
       { "", "[]", "{", R"({"revision":"x"})", R"({"other":1})" }) {
    AnswerWith(200, malformed);
    EXPECT_EQ(Swap(write).assume_error().mCode, error_code::kUnknownResult)
      << malformed;
    EXPECT_EQ(Read("k").assume_error().mCode, error_code::kUnavailable)
      << malformed;
  }
}

TEST_F(http_platform_adapter, ReportsTimeoutAsUnknownResultForWritesOnly)
{
  mWithholdsResponses = true;
  const auto write = Await<revision>([&](handler<revision> aHandler) {
    mStore->Delete("k", 3, milliseconds(50), std::move(aHandler));
  });
  EXPECT_EQ(write.assume_error().mCode, error_code::kUnknownResult);
  EXPECT_EQ(mRequests.at(0).mTarget, "/v1/kv/k?expect=3");
  const auto read = Await<host_list>([&](handler<host_list> aHandler) {
    mHosts->List(4, milliseconds(50), std::move(aHandler));
  });
  EXPECT_EQ(read.assume_error().mCode, error_code::kUnavailable);
}

TEST_F(http_platform_adapter, ReportsRefusedConnectionAsUnavailable)
{
  mServer.StopAccepting();
  EXPECT_EQ(Swap({ "k", 0, "v", {} }).assume_error().mCode,
            error_code::kUnavailable);
}

TEST_F(http_platform_adapter, ListsAndWatches)
{
  AnswerWith(200,
             R"({"revision":5,"records":[{"key":"a/1","value":"x","revision":4},
                 {"key":"a/2","value":"y","revision":5}]})");
  const auto list =
    Await<std::vector<record>>([&](handler<std::vector<record>> aHandler) {
      mStore->List("a/", kTimeout, std::move(aHandler));
    });
  ASSERT_EQ(list.assume_value().size(), 2U);
  EXPECT_EQ(list.assume_value()[1].mKey, "a/2");

  const auto watch = [&] {
    return Await<change_batch>([&](handler<change_batch> aHandler) {
      mStore->Watch("a/", 5, milliseconds(1), std::move(aHandler));
    });
  };
  AnswerWith(200,
             R"({"revision":6,"changes":[
                 {"key":"a/1","value":"","revision":6,"deleted":true}]})");
  const auto batch = watch();
  EXPECT_EQ(mRequests.back().mTarget, "/v1/watch?prefix=a/&after=5&wait_ms=1");
  EXPECT_EQ(batch.assume_value().mRevision, 6U);
  EXPECT_TRUE(batch.assume_value().mChanges.at(0).mDeleted);
  AnswerWith(404, "{}");
  EXPECT_EQ(watch().assume_error().mCode, error_code::kNotFound);
}

TEST_F(http_platform_adapter, GrantsRenewsAndRevokesLeases)
{
  AnswerWith(200, R"({"lease":12})");
  const auto granted = Await<lease_id>([&](handler<lease_id> aHandler) {
    mStore->GrantLease(milliseconds(6'000), kTimeout, std::move(aHandler));
  });
  EXPECT_EQ(granted.assume_value().mValue, 12U);
  EXPECT_EQ(mRequests.back().mBody, R"({"ttl_ms":6000})");
  AnswerWith(200, "{}");
  const auto renewed = Await<lease_id>([&](handler<lease_id> aHandler) {
    mStore->RenewLease({ 12 }, kTimeout, std::move(aHandler));
  });
  EXPECT_EQ(renewed.assume_value().mValue, 12U);
  EXPECT_EQ(mRequests.back().mTarget, "/v1/leases/12/renew");
  AnswerWith(404, "{}");
  const auto ended = Await<lease_id>([&](handler<lease_id> aHandler) {
    mStore->RevokeLease({ 12 }, kTimeout, std::move(aHandler));
  });
  EXPECT_EQ(ended.assume_error().mCode, error_code::kNotFound);
  EXPECT_EQ(mRequests.back().mMethod, "DELETE");
}

TEST_F(http_platform_adapter, ReadsHostsAndStartsActions)
{
  AnswerWith(200,
             R"({"revision":3,"hosts":[{"host":"w1","zone":"a","rack":"r1",
      "role":"worker","state":"leaving","address":"127.0.0.1:9","service":"s",
      "slots":8,"connections":64,"boot_count":2,"processors":16,
      "memory_bytes":64000000000}]})");
  const auto list = [&] {
    return Await<host_list>([&](handler<host_list> aHandler) {
      mHosts->List(2, kTimeout, std::move(aHandler));
    });
  };
  const auto hosts = list();
  ASSERT_EQ(hosts.assume_value().mHosts.size(), 1U);
  EXPECT_EQ(hosts.assume_value().mHosts[0].mState, host_state::kLeaving);
  EXPECT_EQ(hosts.assume_value().mHosts[0].mMemoryBytes, 64'000'000'000U);
  EXPECT_EQ(mRequests.back().mTarget, "/v1/hosts?known=2");
  AnswerWith(200, R"({"revision":3,"hosts":[{"host":"w1","role":"other"}]})");
  EXPECT_TRUE(list().has_error());

  AnswerWith(200, R"({"state":"failed","message":"no such service"})");
  const auto acted = Await<action_status>([&](handler<action_status> aHandler) {
    mHosts->StartAction({ host_name("w1"),
                          host_action::kStartRunner,
                          service_name("s"),
                          { boot_id{ 4 }, 5 } },
                        kTimeout,
                        std::move(aHandler));
  });
  EXPECT_EQ(acted.assume_value().mState, action_state::kFailed);
  EXPECT_EQ(acted.assume_value().mMessage, "no such service");
  EXPECT_EQ(mRequests.back().mTarget, "/v1/hosts/w1/actions");
  EXPECT_EQ(mRequests.back().mBody,
            R"({"action":"start_runner","id":"4-5","service":"s"})");
}

} // namespace
} // namespace mangospan::platform
