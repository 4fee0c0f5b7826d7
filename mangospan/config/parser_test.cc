#include "mangospan/config/parser.h"

#include <chrono>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "mangospan/base/error.h"
#include "mangospan/config/check.h"
#include "mangospan/config/document.h"

namespace mangospan::config {
namespace {

constexpr const char* kWhole = R"({
  // a newcomer may write comments
  "pools": [
    { "name": "survey", "service": "survey-check", "max_unavailable": "25%",
      "min_hosts": 2, "zones": ["a", "b"], "racks": ["a-1"] },
    { "name": "office", "service": "office-support", "max_unavailable": 2,
      "spare": true }
  ],
  "classes": [
    { "name": "loader", "target": "99.5% within 2s", "urgent": true,
      "idempotent": false,
      "match": { "service": "survey-check", "path_prefix": "/loader",
                 "methods": ["POST"] } },
    { "name": "office", "target": "within 500ms",
      "match": { "service": "office-support" } }
  ],
  "maintenance": { "period": "14d", "reboot_limit": "5m",
                   "allowed_hours": ["22:00-04:30"],
                   "stop_after_failures": 3 },
  "teams": [ { "name": "quarry", "requests_per_second": 12.5,
               "processors": 64 } ],
  "prefer": "fast-roll-out"
})";

std::string
Refusal(const std::string& aText)
{
  const auto parsed = Parse(aText, "f.json");
  if (parsed.has_value()) {
    return "(accepted)";
  }
  const error& failure = parsed.assume_error();
  EXPECT_EQ(failure.mPeer, "f.json");
  EXPECT_EQ(failure.mCode, error_code::kInvalidArgument);
  EXPECT_EQ(Describe(failure).find('\n'), std::string::npos);
  return failure.mMessage;
}

// The refusal of kWhole with `aOld` replaced by `aNew`.
std::string
RefusalWith(const std::string& aOld, const std::string& aNew)
{
  std::string text = kWhole;
  const std::size_t at = text.find(aOld);
  EXPECT_NE(at, std::string::npos) << aOld;
  return at == std::string::npos ? ""
                                 : Refusal(text.replace(at, aOld.size(), aNew));
}

TEST(ConfigParser, EveryKeyReachesItsMember)
{
  const auto parsed = Parse(kWhole, "f.json");
  ASSERT_TRUE(parsed.has_value()) << Describe(parsed.assume_error());
  const document& whole = parsed.assume_value();
  ASSERT_EQ(whole.mPools.size(), 2U);
  const pool& survey = whole.mPools[0];
  EXPECT_EQ(survey.mService, service_name("survey-check"));
  EXPECT_EQ(survey.mMaxUnavailable.mShare, 0.25);
  EXPECT_EQ(survey.mMinHosts, 2U);
  EXPECT_EQ(survey.mZones.size(), 2U);
  EXPECT_EQ(survey.mRacks.at(0), rack_name("a-1"));
  EXPECT_EQ(whole.mPools[1].mMaxUnavailable.mCount, 2U);
  EXPECT_TRUE(whole.mPools[1].mSpare);
  const work_class& loader = whole.mClasses.at(0);
  EXPECT_EQ(loader.mTarget.mShare, 0.995);
  EXPECT_EQ(loader.mTarget.mWithin, std::chrono::seconds(2));
  EXPECT_EQ(loader.mIdempotent, false);
  EXPECT_TRUE(loader.mUrgent);
  EXPECT_EQ(loader.mMatch.mPathPrefix, "/loader");
  EXPECT_EQ(loader.mMatch.mMethods, std::vector<std::string>{ "POST" });
  EXPECT_EQ(whole.mClasses.at(1).mTarget.mShare, 1.0);
  EXPECT_FALSE(whole.mClasses.at(1).mIdempotent.has_value());
  EXPECT_EQ(whole.mMaintenance.mPeriod, std::chrono::hours(14 * 24));
  EXPECT_EQ(whole.mMaintenance.mRebootLimit, std::chrono::minutes(5));
  EXPECT_EQ(whole.mMaintenance.mStopAfterFailures, 3U);
  EXPECT_EQ(whole.mMaintenance.mAllowed.at(0).mFrom, std::chrono::hours(22));
  EXPECT_EQ(whole.mMaintenance.mAllowed.at(0).mUntil,
            std::chrono::minutes(4 * 60 + 30));
  EXPECT_EQ(whole.mTeams.at(0).mRequestsPerSecond, 12.5);
  EXPECT_EQ(whole.mTeams.at(0).mProcessors, 64U);
  EXPECT_EQ(whole.mPrefer, preference::kFastRollOut);
}

TEST(ConfigParser, CanonicalTextReadsBackAndLeavesDefaultsOut)
{
  const document whole = Parse(kWhole, "f.json").assume_value();
  const std::string text = ToText(whole);
  EXPECT_TRUE(Parse(text, "f.json").assume_value() == whole);
  EXPECT_NE(text.find("\"99.5% within 2s\""), std::string::npos) << text;
  EXPECT_NE(text.find("\"22:00-04:30\""), std::string::npos) << text;
  EXPECT_EQ(text.find("\"spare\":false"), std::string::npos) << text;
}

TEST(ConfigParser, UnknownKeysNameTheNearest)
{
  EXPECT_EQ(
    RefusalWith("\"min_hosts\"", "\"minhosts\""),
    "/pools/0/minhosts: unknown key; the nearest known one is 'min_hosts'");
}

TEST(ConfigParser, SyntaxErrorsNameTheLine)
{
  EXPECT_EQ(Refusal("{\n\"pools\": [,]\n}").rfind("line 2, column 11:", 0), 0U)
    << Refusal("{\n\"pools\": [,]\n}");
}

struct wrong_text
{
  const char* mOld;
  const char* mNew;
  const char* mPointer;
};

class refused_text : public testing::TestWithParam<wrong_text>
{};

TEST_P(refused_text, NamesItsPointer)
{
  const std::string message = RefusalWith(GetParam().mOld, GetParam().mNew);
  EXPECT_EQ(message.rfind(std::string(GetParam().mPointer) + ": ", 0), 0U)
    << GetParam().mNew << ": " << message;
}

INSTANTIATE_TEST_SUITE_P(
  Units,
  refused_text,
  testing::Values(
    wrong_text{ "\"25%\"", "\"25\"", "/pools/0/max_unavailable" },
    wrong_text{ "\"25%\"", "\"101%\"", "/pools/0/max_unavailable" },
    wrong_text{ "\"25%\"", "\"0.00001%\"", "/pools/0/max_unavailable" },
    wrong_text{ "\"25%\"", "\"2 or 25%\"", "/pools/0/max_unavailable" },
    wrong_text{ "\"25%\"", "-1", "/pools/0/max_unavailable" },
    wrong_text{ "\"25%\"", "1.5", "/pools/0/max_unavailable" },
    wrong_text{ "\"14d\"", "14", "/maintenance/period" },
    wrong_text{ "\"14d\"", "\"14\"", "/maintenance/period" },
    wrong_text{ "\"14d\"", "\"2w\"", "/maintenance/period" },
    wrong_text{ "\"14d\"", "\"90m\"", "/maintenance/period" },
    wrong_text{ "\"14d\"", "\"999999999d\"", "/maintenance/period" },
    wrong_text{ "\"14d\"", "\"99999999999999999999d\"", "/maintenance/period" },
    wrong_text{ "22:00-04:30", "22:00", "/maintenance/allowed_hours/0" },
    wrong_text{ "22:00-04:30", "22:00-24:01", "/maintenance/allowed_hours/0" },
    wrong_text{ "22:00-04:30", "22:60-04:30", "/maintenance/allowed_hours/0" },
    wrong_text{ "22:00-04:30", "22:00-22:00", "/maintenance/allowed_hours/0" },
    wrong_text{ "99.5% within 2s", "99.5% in 2s", "/classes/0/target" },
    wrong_text{ "99.5% within 2s", "0% within 2s", "/classes/0/target" },
    wrong_text{ "99.5% within 2s", "99% within 0s", "/classes/0/target" },
    wrong_text{ "99.5% within 2s", "99%within 2s", "/classes/0/target" },
    wrong_text{ "99.5% within 2s", "120% within 2s", "/classes/0/target" },
    wrong_text{ "\"/loader\"", "\"loader\"", "/classes/0/match/path_prefix" },
    wrong_text{ "\"/loader\"", "\"/a?b\"", "/classes/0/match/path_prefix" },
    wrong_text{ "\"POST\"", "\"post\"", "/classes/0/match/methods/0" },
    wrong_text{ "fast-roll-out", "fast", "/prefer" },
    wrong_text{ "12.5", "-1", "/teams/0/requests_per_second" }));

INSTANTIATE_TEST_SUITE_P(
  Contradictions,
  refused_text,
  testing::Values(
    wrong_text{ "\"service\": \"office-support\", \"max",
                "\"service\": \"survey-check\", \"max",
                "/pools/1/service" },
    wrong_text{ "\"min_hosts\": 2", "\"spare\": true", "/pools/1/spare" },
    wrong_text{ "\"min_hosts\": 2",
                "\"min_hosts\": 10001",
                "/pools/0/min_hosts" },
    wrong_text{ "\"name\": \"office\", \"service\"",
                "\"name\": \"survey\", \"service\"",
                "/pools/1/name" },
    wrong_text{ "\"name\": \"office\", \"target\"",
                "\"name\": \"loader\", \"target\"",
                "/classes/1/name" },
    wrong_text{ "\"service\": \"survey-check\", \"path",
                "\"service\": \"surveys\", \"path",
                "/classes/0/match/service" },
    wrong_text{ "[\"a\", \"b\"]", "[\"a\", \"a\"]", "/pools/0/zones/1" },
    wrong_text{ "[\"POST\"]",
                "[\"POST\", \"POST\"]",
                "/classes/0/match/methods/1" },
    wrong_text{ "\"service\": \"survey-check\", \"max",
                "\"service\": \"mangospan\", \"max",
                "/pools/0/service" },
    wrong_text{ "\"14d\"", "\"0d\"", "/maintenance/period" },
    wrong_text{ "\"5m\"", "\"20d\"", "/maintenance/reboot_limit" },
    wrong_text{ "\"stop_after_failures\": 3",
                "\"stop_after_failures\": 0",
                "/maintenance/stop_after_failures" }));

TEST(ConfigParser, MissingKeysAreNamed)
{
  EXPECT_EQ(Refusal("{\"pools\": []}"), "the key 'prefer' is missing");
  EXPECT_EQ(RefusalWith("\"max_unavailable\": 2,", ""),
            "/pools/1: the key 'max_unavailable' is missing");
  EXPECT_EQ(Refusal("{\"pools\": [], \"prefer\": \"low-buffer\"}"),
            "/pools: at least one pool is due");
}

TEST(ConfigParser, RepeatedKeyIsRefused)
{
  EXPECT_EQ(RefusalWith("\"max_unavailable\": 2,",
                        "\"max_unavailable\": 2, \"max_unavailable\": \"5%\","),
            "the key 'max_unavailable' is written twice in one object");
}

TEST(ConfigCheck, BudgetOfBothKindsOrNoneIsRefused)
{
  document both = Parse(kWhole, "f.json").assume_value();
  both.mPools[0].mMaxUnavailable = { 2, 0.25 };
  EXPECT_TRUE(Check(both, "f.json").has_error());
  both.mPools[0].mMaxUnavailable = {};
  EXPECT_TRUE(Check(both, "f.json").has_error());
  both.mPools[0].mMaxUnavailable = { {}, 1.01 };
  EXPECT_TRUE(Check(both, "f.json").has_error());
}

TEST(ConfigParser, DocumentOverTheStoresLimitIsRefused)
{
  document large = Parse(kWhole, "f.json").assume_value();
  while (ToText(large).size() <= kMaxDocumentBytes) {
    for (int i = 0; i < 1000; ++i) {
      const std::string name = "t" + std::to_string(large.mTeams.size());
      large.mTeams.push_back({ team_name(name), 0, 0 });
    }
  }
  const auto parsed = Parse(ToText(large), "f.json");
  ASSERT_TRUE(parsed.has_error());
  EXPECT_EQ(parsed.assume_error().mCode, error_code::kTooLarge);
  EXPECT_EQ(parsed.assume_error().mPeer, "f.json");
}

TEST(ConfigParser, CommentsDoNotCountTowardsTheStoresLimit)
{
  const std::string comment = "/*" + std::string(kMaxDocumentBytes, ' ') + "*/";
  EXPECT_TRUE(Parse(comment + kWhole, "f.json").has_value());
}

} // namespace
} // namespace mangospan::config
