#include "mangospan/json/text_file.h"

#include <fstream>
#include <string>

#include <gtest/gtest.h>

#include "mangospan/base/error.h"

namespace mangospan::json {
namespace {

TEST(TextFile, IsReadWholeAndMayBeEmpty)
{
  const std::string file = testing::TempDir() + "mangospan_text_file_test";
  std::ofstream(file) << "a\nb";
  EXPECT_EQ(ReadFile(file, "read").assume_value(), "a\nb");
  std::ofstream(file, std::ios::trunc).close();
  EXPECT_EQ(ReadFile(file, "read").assume_value(), "");
}

TEST(TextFile, MissingFileAndDirectoryAreRefused)
{
  for (const std::string& file :
       { std::string("no/such"), testing::TempDir() }) {
    const auto text = ReadFile(file, "read");
    ASSERT_TRUE(text.has_error());
    EXPECT_EQ(text.assume_error().mCode, error_code::kNotFound);
    EXPECT_EQ(text.assume_error().mPeer, file);
  }
}

} // namespace
} // namespace mangospan::json
