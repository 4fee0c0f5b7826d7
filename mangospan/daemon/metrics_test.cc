#include "mangospan/daemon/metrics.h"

#include <random>
#include <string>

#include <gtest/gtest.h>

namespace mangospan::daemon {
namespace {

// The value of the line that begins with `aSeries` and a blank.
double
ValueOf(const std::string& aText, const std::string& aSeries)
{
  const std::size_t start = aText.find("\n" + aSeries + " ");
  EXPECT_NE(start, std::string::npos) << aSeries << " in\n" << aText;
  return start == std::string::npos
           ? -1
           : std::stod(aText.substr(start + aSeries.size() + 2));
}

TEST(Metrics, CountersAddAndGaugesReplace)
{
  metrics all;
  all.Add("mangospan_entry_requests_total", { { "class", "survey" } });
  all.Add("mangospan_entry_requests_total", { { "class", "survey" } }, 2);
  all.Set("mangospan_entry_queued", {}, 4);
  all.Set("mangospan_entry_queued", {}, 0.5);
  EXPECT_EQ(all.Render(),
            "# TYPE mangospan_entry_queued gauge\n"
            "mangospan_entry_queued 0.5\n"
            "# TYPE mangospan_entry_requests_total counter\n"
            "mangospan_entry_requests_total{class=\"survey\"} 3\n");
}

TEST(Metrics, DescribedNameAppearsBeforeItsFirstValue)
{
  metrics all;
  all.Describe("mangospan_fleet_moves_total", "Moves\nfinished.");
  EXPECT_EQ(all.Render(),
            "# HELP mangospan_fleet_moves_total Moves\\nfinished.\n"
            "# TYPE mangospan_fleet_moves_total untyped\n");
}

TEST(Metrics, LabelValuesAreEscaped)
{
  metrics all;
  all.Set("m", { { "a", "x\"y\\z\n" }, { "b", "2" } }, 1);
  EXPECT_NE(all.Render().find("m{a=\"x\\\"y\\\\z\\n\",b=\"2\"} 1\n"),
            std::string::npos);
}

TEST(Metrics, QuantilesOfFewSamplesAreExact)
{
  metrics all;
  all.Observe("m", {}, 3);
  EXPECT_EQ(ValueOf(all.Render(), "m{quantile=\"0.99\"}"), 3);
  all.Observe("m", {}, 1);
  all.Observe("m", {}, 2);
  const std::string text = all.Render();
  EXPECT_EQ(ValueOf(text, "m{quantile=\"0.5\"}"), 2);
  EXPECT_EQ(ValueOf(text, "m{quantile=\"0.99\"}"), 3);
  EXPECT_EQ(ValueOf(text, "m_sum"), 6);
  EXPECT_EQ(ValueOf(text, "m_count"), 3);
}

TEST(Metrics, QuantilesOfManySamplesAreNear)
{
  constexpr unsigned kSeed = 7;
  constexpr int kSamples = 20000;
  SCOPED_TRACE("seed " + std::to_string(kSeed));
  std::mt19937 random(kSeed);
  std::uniform_real_distribution<double> draw(0, 1);
  metrics all;
  for (int i = 0; i < kSamples; ++i) {
    all.Observe("m", { { "class", "a" } }, draw(random));
  }
  const std::string text = all.Render();
  EXPECT_NEAR(ValueOf(text, "m{class=\"a\",quantile=\"0.5\"}"), 0.5, 0.02);
  EXPECT_NEAR(ValueOf(text, "m{class=\"a\",quantile=\"0.9\"}"), 0.9, 0.02);
  EXPECT_NEAR(ValueOf(text, "m{class=\"a\",quantile=\"0.99\"}"), 0.99, 0.02);
}

} // namespace
} // namespace mangospan::daemon
