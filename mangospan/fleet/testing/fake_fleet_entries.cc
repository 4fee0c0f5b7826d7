// The behaviour of the entries in the fake fleet: messages, requests and
// reports.
#include "mangospan/fleet/testing/fake_fleet.h"

#include <algorithm>
#include <utility>

#include "mangospan/config/patch.h"

namespace mangospan::fleet::testing {

namespace {

// Returns the entry's slots at a serving endpoint of its view, or 0.
std::size_t
ShareOf(const fake_entry& aEntry, const host_name& aHost)
{
  for (const view::endpoint& endpoint : aEntry.mView.mEndpoints) {
    if (endpoint.mHost != aHost ||
        endpoint.mState != view::endpoint_state::kServing) {
      continue;
    }
    for (const view::slot_share& share : endpoint.mShares) {
      if (share.mEntry == aEntry.mId) {
        return share.mSlots;
      }
    }
  }
  return 0;
}

bool
IsDraining(const view::zone_view& aView, const host_name& aHost)
{
  return std::any_of(aView.mEndpoints.begin(),
                     aView.mEndpoints.end(),
                     [&](const view::endpoint& aEndpoint) {
                       return aEndpoint.mHost == aHost &&
                              aEndpoint.mState ==
                                view::endpoint_state::kDraining;
                     });
}

} // namespace

void
fake_fleet::OnHeartbeat(fake_entry& aEntry,
                        fake_process& aFrom,
                        std::uint64_t aTerm,
                        const send_heartbeat& aHeartbeat)
{
  if (aTerm < aEntry.mTermHeard) {
    return;
  }
  const auto& registered = aHeartbeat.mRegistered;
  const bool isNewTerm = aTerm > aEntry.mTermHeard;
  aEntry.mTermHeard = aTerm;
  aEntry.mLeaderProcess = aFrom.mNumber;
  const bool isListed =
    std::find(registered.begin(), registered.end(), aEntry.mId) !=
    registered.end();
  if (aEntry.mRegistered && !isListed) {
    AddViolation("entry " + aEntry.mId.mHost.Str() +
                 " was told that it is no longer registered");
  }
  aEntry.mRegistered = isListed;
  if (isListed) {
    FillShares(aEntry);
  }
  if (isNewTerm || !aEntry.mRegistered) {
    SendHello(aEntry);
  }
}

void
fake_fleet::OnView(fake_entry& aEntry, const view::zone_view& aView)
{
  if (aView.mVersion.mTerm < aEntry.mTermHeard ||
      !(aEntry.mView.mVersion < aView.mVersion)) {
    return;
  }
  aEntry.mTermHeard = aView.mVersion.mTerm;
  aEntry.mView = aView;
  aEntry.mMinEndpoints =
    std::min(aEntry.mMinEndpoints, aView.mEndpoints.size());
  FillShares(aEntry);
  SendReport(aEntry);
}

void
fake_fleet::OnConfig(fake_entry& aEntry, const push_config& aPush)
{
  if (aPush.mRevision <= aEntry.mConfigRevision) {
    return;
  }
  if (aPush.mBaseRevision == 0) {
    aEntry.mConfigText = aPush.mText;
  } else if (aPush.mBaseRevision == aEntry.mConfigRevision) {
    aEntry.mConfigText =
      config::ApplyPatch(aEntry.mConfigText, aPush.mText).value();
  } else {
    return;
  }
  aEntry.mConfigRevision = aPush.mRevision;
}

void
fake_fleet::FillShares(fake_entry& aEntry)
{
  for (const view::endpoint& endpoint : aEntry.mView.mEndpoints) {
    const std::size_t share = ShareOf(aEntry, endpoint.mHost);
    std::size_t& inFlight = aEntry.mInFlight[endpoint.mHost];
    if (aEntry.mRegistered && inFlight < share) {
      inFlight = share;
      if (InFlight(endpoint.mHost) > mOptions.mSlots) {
        AddViolation("more requests than slots at endpoint " +
                     endpoint.mHost.Str());
      }
    }
  }
  for (const auto& [host, inFlight] : aEntry.mInFlight) {
    for (std::size_t i = ShareOf(aEntry, host); i < inFlight; ++i) {
      mEvents.After(
        milliseconds(1 + mRandom() % mOptions.mMaxRequestTime.count()),
        [this, &aEntry, boot = aEntry.mId.mBoot, host = host] {
          if (aEntry.mId.mBoot == boot) {
            FinishRequest(aEntry, host);
          }
        });
    }
  }
}

void
fake_fleet::FinishRequest(fake_entry& aEntry, const host_name& aHost)
{
  if (aEntry.mFrozen) {
    mEvents.After(milliseconds(100),
                  [this, &aEntry, boot = aEntry.mId.mBoot, aHost] {
                    if (aEntry.mId.mBoot == boot) {
                      FinishRequest(aEntry, aHost);
                    }
                  });
    return;
  }
  std::size_t& inFlight = aEntry.mInFlight[aHost];
  if (inFlight > ShareOf(aEntry, aHost)) {
    --inFlight;
  }
}

void
fake_fleet::SendReport(fake_entry& aEntry)
{
  if (mEvents.Now() >= aEntry.mNextReport) {
    aEntry.mNextReport = mEvents.Now() + kReportInterval;
    mEvents.After(kReportInterval, [this, &aEntry] { SendReport(aEntry); });
  }
  bool withinShares = true;
  wire::entry_report report;
  for (const auto& [host, inFlight] : aEntry.mInFlight) {
    withinShares = withinShares && (inFlight <= ShareOf(aEntry, host) ||
                                    IsDraining(aEntry.mView, host));
  }
  if (withinShares) {
    aEntry.mReportedView = aEntry.mView.mVersion;
  }
  report.mView = aEntry.mReportedView;
  report.mConfigRevision = aEntry.mConfigRevision;
  for (const view::endpoint& endpoint : aEntry.mView.mEndpoints) {
    if (endpoint.mState == view::endpoint_state::kDraining &&
        aEntry.mInFlight[endpoint.mHost] == 0) {
      report.mEmptied.push_back({ endpoint.mHost, endpoint.mEpoch });
    }
  }
  if (mReportsDemand) {
    wire::class_demand demand;
    demand.mClass = class_name("checks");
    demand.mArrivals = mDemandRate * kReportInterval.count() / 1000;
    demand.mAnswered = demand.mArrivals;
    demand.mBusy = std::chrono::milliseconds(300) * demand.mAnswered;
    report.mDemand.push_back(demand);
  }
  SendToLeader(aEntry,
               [this, id = aEntry.mId, report](zone_controller& aController) {
                 return aController.OnEntryReport(id, report, mEvents.Now());
               });
}

void
fake_fleet::SendHello(fake_entry& aEntry)
{
  wire::hello hello;
  hello.mPeerAddress = aEntry.mAddress;
  hello.mView = aEntry.mReportedView;
  hello.mConfigRevision = aEntry.mConfigRevision;
  hello.mTermHeard = aEntry.mTermHeard;
  for (const auto& [host, inFlight] : aEntry.mInFlight) {
    hello.mShares.push_back(
      { host, 0, std::max(inFlight, ShareOf(aEntry, host)) });
  }
  SendToLeader(aEntry,
               [this, id = aEntry.mId, hello](zone_controller& aController) {
                 return aController.OnEntryHello(id, hello, mEvents.Now());
               });
}

void
fake_fleet::SendToLeader(fake_entry& aEntry,
                         const std::function<actions(zone_controller&)>& aInput)
{
  if (aEntry.mFrozen || aEntry.mPartitioned || aEntry.mTermHeard == 0) {
    return;
  }
  ++mMessageCount;
  fake_process& leader = *mProcesses.at(aEntry.mLeaderProcess);
  mEvents.After(RandomDelay(),
                [this, &leader, aInput] { HandleInput(leader, aInput); });
}

std::size_t
fake_fleet::InFlight(const host_name& aHost) const
{
  std::size_t count = 0;
  for (const auto& entry : mEntries) {
    const auto found = entry->mInFlight.find(aHost);
    count += found == entry->mInFlight.end() ? 0 : found->second;
  }
  return count;
}

} // namespace mangospan::fleet::testing
