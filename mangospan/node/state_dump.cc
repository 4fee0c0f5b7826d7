#include "mangospan/node/state_dump.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "mangospan/customers/quota_changes.h"

namespace mangospan::node {

using nlohmann::json;

namespace {

// Returns the state of a job, with the number of tasks that run, that wait for
// free capacity and that wait for other steps.
json
DumpJob(const jobs::job& aJob, time_point aNow)
{
  std::size_t live = 0;
  std::size_t waiting = 0;
  std::size_t blocked = 0;
  for (const auto& [k, each] : aJob.mOccurrences) {
    const auto& steps = each.mSteps;
    for (std::size_t s = 0; s < steps.size(); ++s) {
      const bool isReady = aJob.IsStepReady(k, s);
      for (const jobs::task& one : steps[s].mTasks) {
        live += one.mLive ? 1 : 0;
        waiting += !one.mLive && !one.mDone && isReady ? 1 : 0;
        blocked += !one.mLive && !one.mDone && !isReady ? 1 : 0;
      }
    }
  }
  return { { "queue", aJob.mSpec.mQueue.Str() },
           { "state", jobs::Name(aJob.mState) },
           { "stored", aJob.IsStored() },
           { "age_ms", CountMilliseconds(aNow - aJob.mAcceptedAt) },
           { "tasks_live", live },
           { "tasks_waiting_for_room", waiting },
           { "tasks_waiting_for_steps", blocked } };
}

} // namespace

void
AddOwner(const election& aElection, const char* aKey, json& aInto)
{
  if (const auto known = aElection.CurrentOwner()) {
    aInto[aKey] = { { "node", known->mNode }, { "term", known->mTerm } };
  }
}

json
DumpCustomers(const customers::quota_report& aReport)
{
  json out = json::object();
  for (const auto& [customerName, each] : aReport.mUsage) {
    out[customerName.Str()] = { { "share", customers::Fraction(each.mShare) },
                                { "used", customers::Fraction(each.mUsed) },
                                { "wanted",
                                  customers::Fraction(each.mWanted) } };
  }
  return out;
}

json
DumpPartition(const partition& aPartition, time_point aNow)
{
  json out = json::object();
  AddOwner(aPartition.Election(), "owner", out);
  if (aPartition.LocalOwner() == nullptr) {
    return out;
  }
  const jobs::scheduler& scheduler = aPartition.LocalOwner()->Scheduler();
  json runners = json::object();
  for (const auto& [runnerName, each] : scheduler.Runners()) {
    runners[runnerName.Str()] = { { "runs", each.Runs().size() },
                                  { "listed", each.mListed },
                                  { "closed", each.mCordoned },
                                  { "failed_looks", each.mFailedPolls } };
  }
  json jobs = json::object();
  for (const auto& [jobName, each] : scheduler.Jobs()) {
    jobs[jobName.Str()] = DumpJob(each, aNow);
  }
  out["runners"] = std::move(runners);
  out["jobs"] = std::move(jobs);
  const auto& report = aPartition.LocalOwner()->LastQuotaReport();
  if (!report.mUsage.empty()) {
    out["customers"] = DumpCustomers(report);
  }
  return out;
}

} // namespace mangospan::node
