#include "mangospan/fleet/maintenance_waves.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <string>
#include <utility>

namespace mangospan::fleet {

namespace {

constexpr std::int64_t kSecondsPerDay = 86400;

bool
IsRequested(const wave_request& aRequest, const pool_name& aPool)
{
  return !aRequest.mId.empty() &&
         (aRequest.mPool.Empty() || aRequest.mPool == aPool);
}

// The state of maintenance in one pool. All counts are numbers of hosts.
struct pool_wave
{
  // Serving hosts that are due for maintenance, sorted by rack and host. This
  // is the order in which they are maintained.
  std::vector<std::pair<rack_name, host_name>> mDueHosts;
  std::size_t mHostCount = 0;
  std::size_t mServingCount = 0;
  std::size_t mActiveCount = 0;
  std::size_t mDoneCount = 0;
  std::size_t mFailedCount = 0;
  // Hosts that are due but down without a planned purpose. They are not
  // rebooted while they are down.
  std::size_t mDueDownCount = 0;
  // The racks of the hosts in maintenance that have not failed. A host may be
  // missing from the platform's list while it reboots. The empty name then
  // stands for its rack, so the wave waits until the host is back.
  std::set<rack_name> mActiveRacks;
};

// Reduces the due hosts to those of one rack: the rack that has hosts in
// maintenance, or else the first one. The hosts of the next rack wait until the
// hosts of this rack are back, so a rack failure during a wave affects only the
// rack that is in maintenance. A host that failed in maintenance may stay out
// of service for long, so it does not hold up other racks.
void
KeepOneRack(pool_wave& aWave)
{
  if (aWave.mDueHosts.empty()) {
    return;
  }
  const rack_name rack = aWave.mActiveRacks.empty()
                           ? aWave.mDueHosts.front().first
                           : *aWave.mActiveRacks.begin();
  aWave.mDueHosts.erase(
    std::remove_if(aWave.mDueHosts.begin(),
                   aWave.mDueHosts.end(),
                   [&](const auto& aDue) { return aDue.first != rack; }),
    aWave.mDueHosts.end());
}

class wave_planner
{
public:
  explicit wave_planner(const wave_inputs& aInputs)
    : mInputs(aInputs)
  {
  }

  wave_plan Plan()
  {
    for (const config::pool& pool : mInputs.mDocument.mPools) {
      PlanPool(pool);
    }
    return std::move(mPlan);
  }

private:
  bool IsDue(const pool_name& aPool, const host_record& aHost) const
  {
    if (IsRequested(mInputs.mRequest, aPool) &&
        aHost.mLastWave != mInputs.mRequest.mId) {
      return true;
    }
    const std::int64_t period =
      std::chrono::seconds(mInputs.mDocument.mMaintenance.mPeriod).count();
    return aHost.mMaintainedAt + period <= mInputs.mUtcSeconds;
  }

  pool_wave Collect(const pool_name& aPool) const
  {
    pool_wave wave;
    for (const auto& [host, record] : mInputs.mHosts.Record().mHosts) {
      if (record.mPool != aPool) {
        continue;
      }
      const platform::host_info* info = mInputs.mHosts.Find(host);
      ++wave.mHostCount;
      if (record.mPurpose == host_purpose::kMaintenance) {
        ++wave.mActiveCount;
        wave.mFailedCount += record.mFailed ? 1 : 0;
        if (!record.mFailed) {
          wave.mActiveRacks.insert(info == nullptr ? rack_name() : info->mRack);
        }
        continue;
      }
      if (record.mPhase != host_phase::kServing || info == nullptr ||
          info->mState != platform::host_state::kLive) {
        const bool planned = record.mPurpose != host_purpose::kNone;
        wave.mDueDownCount += !planned && IsDue(aPool, record) ? 1 : 0;
        continue;
      }
      ++wave.mServingCount;
      if (IsDue(aPool, record)) {
        wave.mDueHosts.emplace_back(info->mRack, host);
      } else {
        ++wave.mDoneCount;
      }
    }
    std::sort(wave.mDueHosts.begin(), wave.mDueHosts.end());
    return wave;
  }

  // Returns the state of the pool's wave as operators see it. New hosts are
  // taken out of service only in the state "running".
  std::string State(const pool_name& aPool, const pool_wave& aWave) const
  {
    const config::maintenance& rules = mInputs.mDocument.mMaintenance;
    const std::size_t failures =
      std::max(mInputs.mHosts.Record().mFailedAt.size(),
               mInputs.mCountFailedHosts(aPool));
    if (failures >= rules.mStopAfterFailures && rules.mStopAfterFailures != 0) {
      return "stopped: " + std::to_string(failures) + " hosts failed";
    }
    if (IsRequested(mInputs.mRequest, aPool) && mInputs.mRequest.mPaused) {
      return "paused";
    }
    if (aWave.mDueHosts.empty() && aWave.mActiveCount != 0) {
      return "running";
    }
    if (aWave.mDueHosts.empty()) {
      return aWave.mDueDownCount == 0 ? "done"
                                      : "waits for hosts that are down: " +
                                          std::to_string(aWave.mDueDownCount);
    }
    return InAllowedHours(rules, mInputs.mUtcSeconds)
             ? "running"
             : "waits for allowed hours";
  }

  void PlanPool(const config::pool& aPool)
  {
    pool_wave wave = Collect(aPool.mName);
    const bool requested = IsRequested(mInputs.mRequest, aPool.mName);
    if (wave.mHostCount == 0 ||
        (wave.mDueHosts.empty() && wave.mActiveCount == 0 && !requested)) {
      return;
    }
    const std::string state = State(aPool.mName, wave);
    mPlan.mProgress.push_back({ aPool.mName,
                                requested ? mInputs.mRequest.mId : "",
                                state,
                                wave.mHostCount,
                                wave.mDoneCount,
                                wave.mActiveCount,
                                wave.mFailedCount });
    if (state != "running") {
      return;
    }
    KeepOneRack(wave);
    // One host at a time is maintained even if the demand needs every host;
    // otherwise a pool that is always short of hosts would never be maintained.
    const std::size_t needed = mInputs.mCountNeededHosts(aPool.mName);
    const std::size_t spare =
      wave.mServingCount > needed ? wave.mServingCount - needed : 0;
    const std::size_t minimum = wave.mActiveCount == 0 ? 1 : 0;
    const std::size_t count =
      std::min(wave.mDueHosts.size(), std::max(spare, minimum));
    for (std::size_t i = 0; i < count; ++i) {
      mPlan.mIntents[wave.mDueHosts[i].second] = {
        host_purpose::kMaintenance, {}, requested ? mInputs.mRequest.mId : ""
      };
    }
  }

  const wave_inputs& mInputs;
  wave_plan mPlan;
};

} // namespace

bool
InAllowedHours(const config::maintenance& aRules, std::int64_t aUtcSeconds)
{
  if (aRules.mAllowed.empty()) {
    return true;
  }
  const std::chrono::seconds now(aUtcSeconds % kSecondsPerDay);
  return std::any_of(aRules.mAllowed.begin(),
                     aRules.mAllowed.end(),
                     [&](const config::daily_hours& aHours) {
                       return aHours.mFrom <= aHours.mUntil
                                ? aHours.mFrom <= now && now < aHours.mUntil
                                : now >= aHours.mFrom || now < aHours.mUntil;
                     });
}

wave_plan
PlanWaves(const wave_inputs& aInputs)
{
  return wave_planner(aInputs).Plan();
}

} // namespace mangospan::fleet
