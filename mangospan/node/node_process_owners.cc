// What a node knows of the owners on other nodes, and its readiness.
#include <set>
#include <string>

#include "mangospan/base/log.h"
#include "mangospan/node/node_process.h"

namespace mangospan::node {

using std::chrono::milliseconds;

namespace {

// Interval at which a node asks the owners on other nodes whether they serve.
constexpr milliseconds kOwnerCheckInterval{ 400 };
constexpr milliseconds kOwnerCheckTimeout{ 350 };
// An owner is replaced only this long after its election, so that two sides of
// a partition that both reach the store can not replace each other in turn.
constexpr milliseconds kMinTenure{ 5'000 };
// This node asks an owner to yield if the owner's host has a capacity shortfall
// that is greater by at least this much, once the owner has owned the jobs for
// `kYieldDelay` times one more than the number of subjects that this node owns.
// A shortfall is the sum of up to 1 each for processor and network link.
constexpr double kMinShortfallDifference = 0.5;
constexpr milliseconds kYieldDelay{ 2'000 };
constexpr std::size_t kMaxOwnedSubjects = 2;

} // namespace

// Asks the owners on other nodes whether they serve. Readiness depends on their
// answers.
void
node_process::CheckOwners()
{
  const time_point now = mClock.Now();
  std::set<std::string> addresses;
  for (auto& [service, each] : mPartitions) {
    const auto known = each.Election().CurrentOwner();
    if (each.IsServing()) {
      each.OnOwnerServing(now);
    } else if (known && known->mAddress != mSettings.mNodeAddress) {
      addresses.insert(known->mAddress);
    }
    each.ReportOwnerServing(now);
  }
  const auto fleetOwner = mFleetElection->CurrentOwner();
  if (fleetOwner && fleetOwner->mAddress != mSettings.mNodeAddress) {
    addresses.insert(fleetOwner->mAddress);
  }
  mPeerReachability.SetOwners(addresses, now);
  for (const std::string& each : addresses) {
    CheckOwnersAt(each);
  }
  ReplaceCutOffOwners();
  RequestYieldOfSmallerHost();
  ReportKeyChecks();
  mMetrics.Set("mangospan_node_config_age_seconds",
               {},
               std::chrono::duration<double>(CatalogAge()).count());
  mCheckTimer.expires_after(kOwnerCheckInterval);
  mCheckTimer.async_wait([this](const boost::system::error_code& aAbort) {
    if (!aAbort) {
      CheckOwners();
    }
  });
}

// Asks an owner on a host with much less capacity than this one to hand its
// jobs over, since that host would delay them under peak load.
void
node_process::RequestYieldOfSmallerHost()
{
  const std::size_t ownedCount = CountOwnedSubjects();
  if (ownedCount > kMaxOwnedSubjects || IsStopping() || !IsCatalogCurrent()) {
    return;
  }
  const double shortfall = CapacityShortfall(ElectionSettings());
  const auto delay = kYieldDelay * (ownedCount + 1);
  for (const auto& [service, each] : mPartitions) {
    const auto known = each.Election().CurrentOwner();
    const bool isBetter =
      known &&
      known->mCapacityShortfall - shortfall >= kMinShortfallDifference &&
      mClock.Now() - each.Election().TermObservedAt() > delay;
    if (isBetter) {
      mPeers.RequestYield(known->mAddress, service);
      return; // requests one hand-over at a time
    }
  }
}

void
node_process::CheckOwnersAt(const std::string& aAddress)
{
  mPeers.CheckHealth(
    aAddress,
    kOwnerCheckTimeout,
    [this, aAddress, sentAt = mClock.Now()](
      const result<health_report>& aResult) {
      if (aResult.has_error()) {
        return; // the owner is unreachable once its last answer is too old
      }
      mPeerReachability.OnAnswer(aAddress, aResult.assume_value(), sentAt);
      for (const service_name& each : aResult.assume_value().mServes) {
        const auto found = mPartitions.find(each);
        if (found != mPartitions.end()) {
          found->second.OnOwnerServing(sentAt);
        }
      }
    });
}

// Takes the place of owners that are cut off from the other nodes, instead of
// waiting for their leases to end: the store may extend a lease by an outage of
// its own.
void
node_process::ReplaceCutOffOwners()
{
  const time_point now = mClock.Now();
  const auto replace = [&](election& aElection) {
    const auto known = aElection.CurrentOwner();
    if (known && !IsStopping() &&
        now - aElection.TermObservedAt() >= kMinTenure &&
        mPeerReachability.IsCutOff(known->mAddress, now)) {
      aElection.ReplaceOwner();
    }
  };
  for (auto& [service, each] : mPartitions) {
    replace(each.Election());
  }
  replace(*mFleetElection);
}

void
node_process::OnStoreAnswersAgain()
{
  mFleetElection->OnStoreAnswersAgain();
  for (auto& [service, each] : mPartitions) {
    each.OnStoreAnswersAgain();
  }
  mElectionMirror->OnStoreAnswersAgain();
  mOperatorMirror->OnStoreAnswersAgain();
  ReplaceCutOffOwners();
}

health_report
node_process::Health(const std::string& aAsker)
{
  const time_point now = mClock.Now();
  mPeerReachability.OnChecked(aAsker, now);
  health_report out;
  out.mUnreachable = mPeerReachability.Unreachable(now);
  out.mIsInMajority = mPeerReachability.IsInMajority(now);
  for (const auto& [service, each] : mPartitions) {
    if (each.IsServing()) {
      out.mServes.push_back(service);
    }
  }
  return out;
}

// An owner that is known but not seen serving is unreachable from this node,
// and other nodes may reach it. While an owner is being elected, no other node
// could serve its jobs either, so that does not make this node unready.
bool
node_process::IsReady() const
{
  const time_point now = mClock.Now();
  bool isAnyOwnerServing = false;
  for (const auto& [service, each] : mPartitions) {
    const bool isOwnerServing = each.IsOwnerServing(now);
    if (!isOwnerServing && each.Election().CurrentOwner()) {
      return false;
    }
    isAnyOwnerServing = isAnyOwnerServing || isOwnerServing;
  }
  return !IsStopping() && IsCatalogCurrent() && !mIsNewestCatalogUnreadable &&
         isAnyOwnerServing;
}

http::response
node_process::AnswerReadiness() const
{
  return http::JsonResponse(IsReady() ? 200 : 503, "{}");
}

} // namespace mangospan::node
