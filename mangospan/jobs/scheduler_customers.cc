// What customers may have running, and which of their jobs are taken and go
// first.
#include <algorithm>

#include "mangospan/jobs/scheduler.h"

namespace mangospan::jobs {

namespace {

using customers::customer_resources;

constexpr double kCpuUnitsPerCore = 1'000; // of `resources::mCpu`

// Adds what the unfinished tasks take whose steps are ready.
void
AddReadyTasks(const job& aJob, wall_time aWall, resources& aSum)
{
  const std::size_t due = aJob.DueOccurrences(aWall);
  for (const auto& [k, occurrence] : aJob.mOccurrences) {
    for (std::size_t s = 0; s < occurrence.mSteps.size(); ++s) {
      const step& each = occurrence.mSteps[s];
      if (!aJob.IsDueOrBegun(k, due) || !aJob.IsStepReady(k, s)) {
        continue;
      }
      const auto unfinished =
        static_cast<std::int64_t>(each.mTasks.size() - each.mDoneCount);
      const resources one = aJob.mSpec.mSteps[s].Reservation();
      aSum += { one.mCpu * unfinished,
                one.mMemoryMb * unfinished,
                one.mGpus * unfinished };
    }
  }
}

// Returns the work of the tasks of the step that wait, in core-seconds.
double
WaitingWork(const step_spec& aSpec,
            const step& aStep,
            std::chrono::milliseconds aRunTime)
{
  const auto waiting =
    std::count_if(aStep.mTasks.begin(),
                  aStep.mTasks.end(),
                  [](const task& aOne) { return aOne.IsIdle(); });
  return static_cast<double>(waiting) *
         static_cast<double>(aSpec.mTaskResources.mCpu) / kCpuUnitsPerCore *
         std::chrono::duration<double>(aRunTime).count();
}

} // namespace

// Returns whether tasks of such a job would wait: for capacity, or for the
// quota of its customer.
bool
scheduler::IsFullFor(const job_spec& aSpec, const queue_policy& aQueue) const
{
  return mServicesWithoutFreeCapacity.count(ServiceOf(aQueue)) > 0 ||
         !MayStartMore(aSpec);
}

// Returns what a new job finds before it.
customers::pool_backlog
scheduler::Backlog(const service_name& aService) const
{
  customers::pool_backlog out;
  for (const auto& [runnerName, each] : mRunners) {
    if (each.mInfo.mService == aService && each.mListed && each.IsAnswering()) {
      out.mCapacity +=
        static_cast<double>(each.mInfo.mCapacity.mCpu) / kCpuUnitsPerCore;
    }
  }
  for (const job_name& name : mActiveJobs) {
    const job& each = mJobs.at(name);
    for (const auto& [k, occurrence] : each.mOccurrences) {
      for (std::size_t s = 0; s < occurrence.mSteps.size(); ++s) {
        out.mWaiting += each.mIsExcess || each.mSpec.mSteps[s].mLongRunning
                          ? 0
                          : WaitingWork(each.mSpec.mSteps[s],
                                        occurrence.mSteps[s],
                                        RunTimes().Mean(each.mSpec, s));
      }
    }
  }
  return out;
}

// Returns the work of the job in host-seconds, by the resource of which each
// task takes the largest part of a host.
double
scheduler::DominantWork(const job_spec& aSpec,
                        const service_name& aService) const
{
  resources host;
  for (const auto& [runnerName, each] : mRunners) {
    if (each.mInfo.mService == aService) {
      host = each.mInfo.mCapacity;
      break;
    }
  }
  const auto part = [](std::int64_t aAmount, std::int64_t aOfHost) {
    // Without a known host the work is not charged.
    return aOfHost > 0
             ? static_cast<double>(aAmount) / static_cast<double>(aOfHost)
             : 0;
  };
  double work = 0;
  for (std::size_t i = 0; i < aSpec.mSteps.size(); ++i) {
    const step_spec& each = aSpec.mSteps[i];
    const double dominant =
      std::max({ part(each.mTaskResources.mCpu, host.mCpu),
                 part(each.mTaskResources.mMemoryMb, host.mMemoryMb),
                 part(each.mTaskResources.mGpus, host.mGpus) });
    work += dominant * static_cast<double>(each.mTaskCount) *
            std::chrono::duration<double>(RunTimes().Mean(aSpec, i)).count();
  }
  return work;
}

void
scheduler::ApplyQuota(const customers::quota_instructions& aInstructions)
{
  mQuota.Apply(aInstructions);
}

// Returns what the customers with caps use. An earlier owner may have filled a
// runner that this one has not reached, for any customer.
customer_resources
scheduler::CustomerUse(time_point aNow) const
{
  customer_resources out;
  if (!mQuota.HasCaps()) {
    return out;
  }
  resources unknown;
  for (const auto& [runnerName, each] : mRunners) {
    if (MayHoldUnknownRuns(each, aNow)) {
      unknown += each.mInfo.mCapacity;
      continue;
    }
    for (const auto& [key, live] : each.Runs()) {
      if (live.mIsOfUnknownJob) {
        unknown += live.mReservation;
      } else if (!live.mCustomer.Empty()) {
        out[live.mCustomer] += live.mReservation;
      }
    }
  }
  const bool isAllKnown =
    unknown.mCpu == 0 && unknown.mMemoryMb == 0 && unknown.mGpus == 0;
  for (const auto& [customerName, policy] : mCatalog.mCustomers) {
    if (!isAllKnown) {
      out[customerName] += unknown;
    }
  }
  return out;
}

void
scheduler::AddToCustomerUse(const run& aRun)
{
  if (!aRun.mCustomer.Empty()) {
    mCustomerUse[aRun.mCustomer] += aRun.mReservation;
  }
}

// Returns whether `aTasks` tasks that take `aNeed` together may start beside
// what the job's customer had running at the last plan.
bool
scheduler::IsWithinQuota(const job_spec& aSpec,
                         const resources& aNeed,
                         std::size_t aTasks) const
{
  const customer_name& customer = aSpec.mCustomer;
  if (customer.Empty() || !mQuota.IsCapped(customer)) {
    return true;
  }
  const auto used = mCustomerUse.find(customer);
  return mQuota.MayStart(customer,
                         aNeed,
                         used == mCustomerUse.end() ? resources{}
                                                    : used->second,
                         aTasks);
}

// Returns whether a further task of the job is within its customer's quota.
bool
scheduler::MayStartMore(const job_spec& aSpec) const
{
  return std::any_of(
    aSpec.mSteps.begin(), aSpec.mSteps.end(), [&](const step_spec& aStep) {
      return IsWithinQuota(aSpec, aStep.Reservation());
    });
}

customers::quota_report
scheduler::ReportQuota(time_point aNow, wall_time aWall) const
{
  customer_resources wanted;
  if (mQuota.HasCaps()) {
    for (const job_name& name : mActiveJobs) {
      const job& each = mJobs.at(name);
      if (!each.mSpec.mCustomer.Empty()) {
        AddReadyTasks(each, aWall, wanted[each.mSpec.mCustomer]);
      }
    }
  }
  return mQuota.Report(CustomerUse(aNow), wanted);
}

} // namespace mangospan::jobs
