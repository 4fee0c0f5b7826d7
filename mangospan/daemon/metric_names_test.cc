// Dashboards rely on the metrics' names: each that a daemon exports has to be
// listed in docs/OPERATIONS.md.
#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>

#include <gtest/gtest.h>

namespace mangospan::daemon {
namespace {

namespace fs = std::filesystem;

const fs::path kRoot = MANGOSPAN_SOURCE_ROOT;

std::string
Text(const fs::path& aFile)
{
  std::ifstream stream(aFile);
  return { std::istreambuf_iterator<char>(stream), {} };
}

bool
IsProductSource(const fs::path& aFile)
{
  const std::string name = aFile.filename().string();
  return aFile.extension() == ".cc" &&
         name.find("_test.cc") == std::string::npos;
}

std::set<std::string>
ExportedNames()
{
  const std::regex quoted("\"(mangospan_(?:entry|fleet|node)_[a-z_]+)\"");
  std::set<std::string> names;
  for (const char* folder : { "mangospan", "platform" }) {
    for (const auto& entry : fs::recursive_directory_iterator(kRoot / folder)) {
      if (!IsProductSource(entry.path())) {
        continue;
      }
      const std::string text = Text(entry.path());
      const std::sregex_iterator begin(text.begin(), text.end(), quoted);
      for (auto found = begin; found != std::sregex_iterator(); ++found) {
        names.insert((*found)[1]);
      }
    }
  }
  return names;
}

TEST(MetricNames, AreListedForOperators)
{
  const std::string page = Text(kRoot / "docs" / "OPERATIONS.md");
  const std::set<std::string> names = ExportedNames();
  EXPECT_FALSE(names.empty());
  for (const std::string& name : names) {
    const std::regex whole(name + "(?![a-z_])");
    EXPECT_TRUE(std::regex_search(page, whole)) << name;
  }
}

} // namespace
} // namespace mangospan::daemon
