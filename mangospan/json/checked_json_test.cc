#include "mangospan/json/checked_json.h"

#include <cstddef>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "mangospan/base/error.h"

namespace mangospan::json {
namespace {

struct retry_rule
{
  std::string mStep;
  std::size_t mAttempts = 1;
  std::vector<host_name> mHosts;
};

const field_table<retry_rule>&
Fields()
{
  static const field_table<retry_rule> kFields{
    Required("step", &retry_rule::mStep),
    Optional("attempts", &retry_rule::mAttempts),
    Optional("hosts", &retry_rule::mHosts),
  };
  return kFields;
}

result<retry_rule>
Read(const std::string& aText)
{
  const location where{ "rule.parse", "rule.json", "" };
  BOOST_OUTCOME_TRY(value, ParseText(aText, where));
  retry_rule rule;
  BOOST_OUTCOME_TRY(ReadObject(value, where, Fields(), rule));
  return rule;
}

std::string
Refusal(const std::string& aText)
{
  const auto parsed = Read(aText);
  return parsed.has_error() ? parsed.assume_error().mMessage : "(accepted)";
}

TEST(CheckedJson, CommentsAreAllowed)
{
  const auto rule =
    Read("// one\n{\"step\": \"a\", /* two */ \"attempts\": 3}");
  ASSERT_TRUE(rule.has_value());
  EXPECT_EQ(rule.assume_value().mAttempts, 3U);
}

TEST(CheckedJson, SyntaxErrorNamesLineAndColumn)
{
  EXPECT_EQ(Refusal("{\n  \"step\": \"a\",\n  }")
              .rfind("line 3, column 3: not JSON:", 0),
            0U);
}

TEST(CheckedJson, UnknownKeyNamesTheNearest)
{
  EXPECT_EQ(Refusal(R"({"step": "a", "atempts": 2})"),
            "/atempts: unknown key; the nearest known one is 'attempts'");
}

TEST(CheckedJson, RepeatedMissingAndMistypedKeysAreRefused)
{
  EXPECT_EQ(Refusal(R"({"step": "a", "step": "b"})"),
            "the key 'step' is written twice in one object");
  EXPECT_EQ(Refusal("{}"), "the key 'step' is missing");
  EXPECT_EQ(Refusal("[]"), "an object is due here, not an array");
  EXPECT_EQ(Refusal(R"({"step": "a", "attempts": -1})"),
            "/attempts: a whole number of 0 or more is due here, not -1");
  EXPECT_EQ(Refusal(R"({"step": "a", "hosts": ["b", "c d"]})")
              .rfind("/hosts/1: 'c d' is not a name", 0),
            0U);
}

TEST(CheckedJson, RefusalsStayOnOneLine)
{
  EXPECT_EQ(Refusal("{\"step\": \"a\", \"x\\ny\": 1}").find('\n'),
            std::string::npos);
  EXPECT_EQ(Refusal(std::string(5000, '[')).find('\n'), std::string::npos);
  EXPECT_NE(Refusal(std::string(40, '[') + std::string(40, ']')), "(accepted)");
}

} // namespace
} // namespace mangospan::json
