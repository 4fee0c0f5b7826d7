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

// One pool's hosts in the order in which they are maintained.
struct pool_wave
{
  std::vector<std::pair<rack_name, host_name>> mDue;
  std::size_t mHosts = 0;
  std::size_t mServing = 0;
  std::size_t mActive = 0;
  std::size_t mDone = 0;
  std::size_t mFailed = 0;
  std::size_t mDown = 0; // due, and not to be rebooted while down
  // Without hosts that failed. A host may be off the list while it reboots; the
  // empty name then stands for its rack, and the wave waits for its return.
  std::set<rack_name> mActiveRacks;
};

// A rack that fails during a wave takes only hosts of its own, so hosts of the
// next rack wait until those of this one are back. A host that failed may stay
// out for long and holds up no other rack.
void
KeepOneRack(pool_wave& aWave)
{
  if (aWave.mDue.empty()) {
    return;
  }
  const rack_name rack = aWave.mActiveRacks.empty()
                           ? aWave.mDue.front().first
                           : *aWave.mActiveRacks.begin();
  aWave.mDue.erase(
    std::remove_if(aWave.mDue.begin(),
                   aWave.mDue.end(),
                   [&](const auto& aDue) { return aDue.first != rack; }),
    aWave.mDue.end());
}

class planner
{
public:
  explicit planner(const wave_inputs& aInputs)
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
        aHost.mWave != mInputs.mRequest.mId) {
      return true;
    }
    const std::int64_t period =
      std::chrono::seconds(mInputs.mDocument.mMaintenance.mPeriod).count();
    return aHost.mMaintained + period <= mInputs.mUtc;
  }

  pool_wave Collect(const pool_name& aPool) const
  {
    pool_wave wave;
    for (const auto& [host, record] : mInputs.mHosts.Record().mHosts) {
      if (record.mPool != aPool) {
        continue;
      }
      const platform::host_info* info = mInputs.mHosts.Find(host);
      ++wave.mHosts;
      if (record.mPurpose == host_purpose::kMaintenance) {
        ++wave.mActive;
        wave.mFailed += record.mFailed ? 1 : 0;
        if (!record.mFailed) {
          wave.mActiveRacks.insert(info == nullptr ? rack_name() : info->mRack);
        }
        continue;
      }
      if (record.mPhase != host_phase::kServing || info == nullptr ||
          info->mState != platform::host_state::kLive) {
        const bool planned = record.mPurpose != host_purpose::kNone;
        wave.mDown += !planned && IsDue(aPool, record) ? 1 : 0;
        continue;
      }
      ++wave.mServing;
      if (IsDue(aPool, record)) {
        wave.mDue.emplace_back(info->mRack, host);
      } else {
        ++wave.mDone;
      }
    }
    std::sort(wave.mDue.begin(), wave.mDue.end());
    return wave;
  }

  std::string State(const pool_name& aPool, const pool_wave& aWave) const
  {
    const config::maintenance& rules = mInputs.mDocument.mMaintenance;
    const std::size_t failures = std::max(
      mInputs.mHosts.Record().mFailures.size(), mInputs.mFailures(aPool));
    if (failures >= rules.mStopAfterFailures && rules.mStopAfterFailures != 0) {
      return "stopped: " + std::to_string(failures) + " hosts failed";
    }
    if (IsRequested(mInputs.mRequest, aPool) && mInputs.mRequest.mPaused) {
      return "paused";
    }
    if (aWave.mDue.empty() && aWave.mActive != 0) {
      return "running";
    }
    if (aWave.mDue.empty()) {
      return aWave.mDown == 0 ? "done"
                              : "waits for hosts that are down: " +
                                  std::to_string(aWave.mDown);
    }
    return InAllowedHours(rules, mInputs.mUtc) ? "running"
                                               : "waits for allowed hours";
  }

  void PlanPool(const config::pool& aPool)
  {
    pool_wave wave = Collect(aPool.mName);
    const bool requested = IsRequested(mInputs.mRequest, aPool.mName);
    if (wave.mHosts == 0 ||
        (wave.mDue.empty() && wave.mActive == 0 && !requested)) {
      return;
    }
    const std::string state = State(aPool.mName, wave);
    mPlan.mProgress.push_back({ aPool.mName,
                                requested ? mInputs.mRequest.mId : "",
                                state,
                                wave.mHosts,
                                wave.mDone,
                                wave.mActive,
                                wave.mFailed });
    if (state != "running") {
      return;
    }
    KeepOneRack(wave);
    // One host at a time goes even when demand needs every host; otherwise a
    // pool that is always short would never be maintained.
    const std::size_t needed = mInputs.mNeeded(aPool.mName);
    const std::size_t spare =
      wave.mServing > needed ? wave.mServing - needed : 0;
    const std::size_t least = wave.mActive == 0 ? 1 : 0;
    const std::size_t count =
      std::min(wave.mDue.size(), std::max(spare, least));
    for (std::size_t i = 0; i < count; ++i) {
      mPlan.mIntents[wave.mDue[i].second] = {
        host_purpose::kMaintenance, {}, requested ? mInputs.mRequest.mId : ""
      };
    }
  }

  const wave_inputs& mInputs;
  wave_plan mPlan;
};

} // namespace

bool
InAllowedHours(const config::maintenance& aRules, std::int64_t aUtc)
{
  if (aRules.mAllowed.empty()) {
    return true;
  }
  const std::chrono::seconds now(aUtc % kSecondsPerDay);
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
  return planner(aInputs).Plan();
}

} // namespace mangospan::fleet
