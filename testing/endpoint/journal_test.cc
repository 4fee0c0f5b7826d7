#include "testing/endpoint/journal.h"

#include <chrono>

#include <gtest/gtest.h>

#include "mangospan/base/time.h"

namespace mangospan::standin {
namespace {

TEST(Journal, RunsKeepTheirOrderAndOutcomeThroughJson)
{
  manual_clock clock;
  journal journal;
  run first;
  first.mRequest = "r-1";
  first.mRunner = host_name("w1");
  run second;
  second.mRequest = "r-2";
  const run_index index = journal.Begin(first, clock.Now());
  journal.Begin(second, clock.Now());
  clock.Advance(std::chrono::milliseconds(7));
  journal.End(index, run_outcome::kCutByStop, clock.Now());
  EXPECT_EQ(journal.Count(run_outcome::kCutByStop), 1U);
  EXPECT_EQ(journal.Count(run_outcome::kRunning), 1U);

  const auto runs = ParseJournal(FormatJournal(journal.Runs()));
  ASSERT_EQ(runs.size(), 2U);
  EXPECT_EQ(runs[0].mRequest, "r-1");
  EXPECT_EQ(runs[0].mRunner, host_name("w1"));
  EXPECT_EQ(runs[0].mOutcome, run_outcome::kCutByStop);
  EXPECT_EQ(runs[0].mEnd - runs[0].mStart, std::chrono::milliseconds(7));
  EXPECT_EQ(runs[1].mOutcome, run_outcome::kRunning);
}

} // namespace
} // namespace mangospan::standin
