#include "mangospan/http/message.h"

#include <gtest/gtest.h>

#include "mangospan/http/address.h"

namespace mangospan::http {
namespace {

TEST(HeaderList, ComparesNamesIgnoringCase)
{
  request message;
  message.Set("Idempotency-Key", "one");
  message.Set("idempotency-key", "two");
  EXPECT_EQ(message.mHeaders.size(), 1U);
  EXPECT_EQ(message.Get("IDEMPOTENCY-KEY"), "two");
  message.Remove("Idempotency-KEY");
  EXPECT_FALSE(message.Has("Idempotency-Key"));
  EXPECT_EQ(message.Get("Idempotency-Key"), "");
}

TEST(Request, SplitsTargetIntoPathAndQuery)
{
  request message;
  message.mTarget = "/tickets?count=3&empty&zone=a=b";
  EXPECT_EQ(Path(message), "/tickets");
  EXPECT_EQ(QueryValue(message, "count"), "3");
  EXPECT_EQ(QueryValue(message, "empty"), "");
  EXPECT_EQ(QueryValue(message, "zone"), "a=b");
  EXPECT_EQ(QueryValue(message, "absent"), "");
  message.mTarget = "/plain";
  EXPECT_EQ(Path(message), "/plain");
  EXPECT_EQ(QueryValue(message, "count"), "");
}

TEST(Address, AcceptsOnlyIpAndPort)
{
  EXPECT_EQ(FormatAddress(ParseAddress("127.0.0.1:80").assume_value()),
            "127.0.0.1:80");
  EXPECT_EQ(FormatAddress(ParseAddress("[::1]:8080").assume_value()),
            "[::1]:8080");
  for (const char* bad : { "",
                           "127.0.0.1",
                           "127.0.0.1:",
                           "localhost:80",
                           "127.0.0.1:65536",
                           "127.0.0.1:-1",
                           "127.0.0.1:80x",
                           "::1:80" }) {
    EXPECT_TRUE(ParseAddress(bad).has_error()) << bad;
  }
}

} // namespace
} // namespace mangospan::http
