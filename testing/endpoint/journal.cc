#include "testing/endpoint/journal.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "mangospan/base/identity.h"
#include "mangospan/base/time.h"

namespace mangospan::standin {

namespace {

using nlohmann::json;

constexpr run_outcome kOutcomes[] = { run_outcome::kRunning,
                                      run_outcome::kCompleted,
                                      run_outcome::kCutByStop,
                                      run_outcome::kKilled };

std::int64_t
ToMicroseconds(time_point aTime)
{
  return std::chrono::duration_cast<std::chrono::microseconds>(
           aTime.time_since_epoch())
    .count();
}

time_point
FromMicroseconds(const json& aValue)
{
  return time_point(std::chrono::microseconds(aValue.get<std::int64_t>()));
}

} // namespace

const char*
Name(run_outcome aOutcome)
{
  switch (aOutcome) {
    case run_outcome::kRunning:
      return "running";
    case run_outcome::kCompleted:
      return "completed";
    case run_outcome::kCutByStop:
      return "cut-by-stop";
    case run_outcome::kKilled:
      return "killed";
  }
  return "running";
}

std::optional<run_outcome>
ParseRunOutcome(const std::string& aName)
{
  for (const run_outcome each : kOutcomes) {
    if (aName == Name(each)) {
      return each;
    }
  }
  return std::nullopt;
}

run_index
journal::Begin(run aRun, time_point aNow)
{
  aRun.mStart = aNow;
  aRun.mOutcome = run_outcome::kRunning;
  mRuns.push_back(std::move(aRun));
  return mRuns.size() - 1;
}

void
journal::End(run_index aIndex, run_outcome aOutcome, time_point aNow)
{
  mRuns[aIndex].mEnd = aNow;
  mRuns[aIndex].mOutcome = aOutcome;
}

std::size_t
journal::Count(run_outcome aOutcome) const
{
  return static_cast<std::size_t>(
    std::count_if(mRuns.begin(), mRuns.end(), [aOutcome](const run& aRun) {
      return aRun.mOutcome == aOutcome;
    }));
}

std::string
FormatJournal(const std::vector<run>& aRuns)
{
  json runs = json::array();
  for (const run& each : aRuns) {
    runs.push_back({ { "request", each.mRequest },
                     { "runner", each.mRunner.Str() },
                     { "service", each.mService.Str() },
                     { "method", each.mMethod },
                     { "body_hash", each.mBodyHash },
                     { "start_us", ToMicroseconds(each.mStart) },
                     { "end_us", ToMicroseconds(each.mEnd) },
                     { "outcome", Name(each.mOutcome) } });
  }
  return json{ { "runs", std::move(runs) } }.dump();
}

std::vector<run>
ParseJournal(const std::string& aText)
{
  std::vector<run> runs;
  const json document = json::parse(aText);
  for (const json& each : document.at("runs")) {
    run parsed;
    parsed.mRequest = each.at("request").get<std::string>();
    parsed.mRunner = host_name(each.at("runner").get<std::string>());
    parsed.mService = service_name(each.at("service").get<std::string>());
    parsed.mMethod = each.at("method").get<std::string>();
    parsed.mBodyHash = each.at("body_hash").get<std::size_t>();
    parsed.mStart = FromMicroseconds(each.at("start_us"));
    parsed.mEnd = FromMicroseconds(each.at("end_us"));
    parsed.mOutcome = ParseRunOutcome(each.at("outcome").get<std::string>())
                        .value_or(run_outcome::kRunning);
    runs.push_back(std::move(parsed));
  }
  return runs;
}

} // namespace mangospan::standin
