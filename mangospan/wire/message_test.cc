#include "mangospan/wire/message.h"

#include <random>
#include <string>
#include <variant>
#include <vector>

#include <gtest/gtest.h>

namespace mangospan::wire {
namespace {

constexpr std::uint64_t kLarge = 0xfedc'ba98'7654'3210U;

view::zone_view
SampleView()
{
  const view::entry_id entry{ host_name("entry-1"), boot_id{ kLarge } };
  view::endpoint endpoint;
  endpoint.mHost = host_name("worker-1");
  endpoint.mAddress = "127.0.0.1:9001";
  endpoint.mPool = pool_name("survey");
  endpoint.mService = service_name("survey-check");
  endpoint.mState = view::endpoint_state::kDraining;
  endpoint.mEpoch = 7;
  endpoint.mShares = { { entry, 3 } };
  return {
    { 5, 9 }, zone_name("a"), { endpoint }, { { entry, "127.0.0.1:7400" } }
  };
}

std::vector<message>
EveryMessage()
{
  return {
    hello{ "127.0.0.1:1", { 1, 2 }, 3, { { host_name("worker-1"), 4, 5 } }, 6 },
    heartbeat{ { 1, 2 }, 3, true },
    view_push{ SampleView() },
    config_push{ 4, 3, "[]" },
    state_request{},
    entry_report{
      { 1, 2 },
      3,
      { { class_name("survey"), 1, 2, 3, 4, std::chrono::microseconds(5), 6 } },
      { { host_name("worker-1"), 8 } },
      { host_name("worker-2") } },
    goodbye{},
    grant_request{ "ticket", "attempt", kLarge },
    grant_reply{ "ticket",
                 "attempt",
                 grant_verdict::kMismatch,
                 201,
                 "text/plain",
                 std::string("bytes \0 \xff", 9) },
    ticket_report{
      "ticket", "attempt", ticket_outcome::kNotRun, 503, "a/b", "body" },
  };
}

envelope
Wrap(const message& aMessage)
{
  return { { process_role::kFleet,
             host_name("entry-2"),
             zone_name("a"),
             boot_id{ 77 },
             kLarge },
           aMessage };
}

TEST(Message, RoundTripsEveryType)
{
  const auto all = EveryMessage();
  ASSERT_EQ(all.size(), std::variant_size_v<message>);
  for (const message& each : all) {
    const std::string bytes = Encode(Wrap(each));
    const auto decoded = Decode(bytes);
    ASSERT_TRUE(decoded.has_value()) << TypeName(each);
    const envelope& back = decoded.assume_value();
    EXPECT_EQ(back.mMessage.index(), each.index());
    EXPECT_EQ(back.mSender.mRole, process_role::kFleet);
    EXPECT_EQ(back.mSender.mHost, host_name("entry-2"));
    EXPECT_EQ(back.mSender.mTerm, kLarge);
    EXPECT_EQ(Encode(back), bytes) << TypeName(each);
  }
}

TEST(Message, KeepsFieldsOfTheView)
{
  const auto decoded = Decode(Encode(Wrap(view_push{ SampleView() })));
  const auto& back = std::get<view_push>(decoded.assume_value().mMessage).mView;
  EXPECT_EQ(back.mVersion, (view::version{ 5, 9 }));
  ASSERT_EQ(back.mEndpoints.size(), 1U);
  EXPECT_EQ(back.mEndpoints[0].mState, view::endpoint_state::kDraining);
  EXPECT_EQ(back.mEndpoints[0].mShares[0].mEntry.mBoot.mValue, kLarge);
  EXPECT_EQ(back.mEntries[0].mPeerAddress, "127.0.0.1:7400");
}

TEST(Message, KeepsFieldsOfTheHello)
{
  const auto decoded = Decode(Encode(Wrap(EveryMessage().front())));
  const auto& back = std::get<hello>(decoded.assume_value().mMessage);
  EXPECT_EQ(back.mPeerAddress, "127.0.0.1:1");
  EXPECT_EQ(back.mConfigRevision, 3U);
  ASSERT_EQ(back.mShares.size(), 1U);
  EXPECT_EQ(back.mShares[0].mSlots, 5U);
  EXPECT_EQ(back.mTermHeard, 6U);
}

TEST(Message, RefusesTruncatedBytes)
{
  for (const message& each : EveryMessage()) {
    const std::string bytes = Encode(Wrap(each));
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      EXPECT_TRUE(Decode(bytes.substr(0, size)).has_error())
        << TypeName(each) << " cut to " << size;
    }
  }
}

TEST(Message, SurvivesGarbage)
{
  const unsigned seed = std::random_device{}();
  SCOPED_TRACE("seed " + std::to_string(seed));
  std::mt19937 random(seed);
  const auto all = EveryMessage();
  for (int round = 0; round < 20'000; ++round) {
    std::string bytes = Encode(Wrap(all[random() % all.size()]));
    for (unsigned change = random() % 4; change < 4; ++change) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    const auto decoded = Decode(bytes);
    if (decoded.has_value()) {
      Encode(decoded.assume_value());
    }
  }
}

TEST(Message, RefusesDeepNestingAndOversizedBytes)
{
  EXPECT_EQ(Decode(std::string(kMaxMessageBytes, '\x81')).assume_error().mCode,
            error_code::kInvalidArgument);
  EXPECT_EQ(
    Decode(std::string(kMaxMessageBytes + 1, '\0')).assume_error().mCode,
    error_code::kTooLarge);
}

TEST(Message, RefusesUnknownTypesAndVersions)
{
  std::string bytes = Encode(Wrap(goodbye{}));
  const std::size_t type = bytes.find("goodbye");
  bytes.replace(type, 7, "goodbyf");
  EXPECT_EQ(Decode(bytes).assume_error().mCode, error_code::kInvalidArgument);

  bytes = Encode(Wrap(goodbye{}));
  const std::size_t version = bytes.find("av"); // text of length 1, then "v"
  ASSERT_NE(version, std::string::npos);
  bytes[version + 2] = 2;
  EXPECT_EQ(Decode(bytes).assume_error().mCode, error_code::kInvalidArgument);
}

} // namespace
} // namespace mangospan::wire
