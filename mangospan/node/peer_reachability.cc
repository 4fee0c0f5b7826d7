#include "mangospan/node/peer_reachability.h"

#include <algorithm>

namespace mangospan::node {

using std::chrono::milliseconds;

namespace {

// Three checks in a row have failed by then, so that one slow answer or one
// connection that has gone silent does not make an owner unreachable.
constexpr milliseconds kUnreachableAfter{ 1'500 };
// What a node reported longer ago no longer counts.
constexpr milliseconds kMaxReportAge{ 1'000 };
// A node that has not checked this node's health for longer is not in touch.
constexpr milliseconds kInTouchFor{ 1'200 };
// A node that has not checked this node's health for longer no longer counts.
constexpr milliseconds kForgottenAfter{ 30'000 };

} // namespace

void
peer_reachability::SetOwners(const std::set<std::string>& aAddresses,
                             time_point aNow)
{
  for (auto it = mOwners.begin(); it != mOwners.end();) {
    it = aAddresses.count(it->first) == 0 ? mOwners.erase(it) : std::next(it);
  }
  for (const std::string& each : aAddresses) {
    mOwners.try_emplace(each, owner{ aNow, false, {} });
  }
}

void
peer_reachability::OnAnswer(const std::string& aAddress,
                            const health_report& aReport,
                            time_point aSentAt)
{
  const auto found = mOwners.find(aAddress);
  if (found != mOwners.end()) {
    owner& answering = found->second;
    answering.mReachedAt = std::max(answering.mReachedAt, aSentAt);
    answering.mHasAnswered = true;
    answering.mReport = aReport;
  }
}

void
peer_reachability::OnChecked(const std::string& aBy, time_point aNow)
{
  if (!aBy.empty()) {
    mCheckers[aBy] = aNow;
  }
  for (auto it = mCheckers.begin(); it != mCheckers.end();) {
    it =
      aNow - it->second > kForgottenAfter ? mCheckers.erase(it) : std::next(it);
  }
}

bool
peer_reachability::IsUnreachable(const std::string& aAddress,
                                 time_point aNow) const
{
  const auto found = mOwners.find(aAddress);
  return found != mOwners.end() &&
         aNow - found->second.mReachedAt >= kUnreachableAfter;
}

std::set<std::string>
peer_reachability::Unreachable(time_point aNow) const
{
  std::set<std::string> out;
  for (const auto& [address, each] : mOwners) {
    if (IsUnreachable(address, aNow)) {
      out.insert(address);
    }
  }
  return out;
}

bool
peer_reachability::IsInMajority(time_point aNow) const
{
  std::size_t known = 1; // this node
  std::size_t inTouch = 1;
  for (const auto& [address, checkedAt] : mCheckers) {
    known += aNow - checkedAt <= kForgottenAfter ? 1 : 0;
    inTouch += aNow - checkedAt <= kInTouchFor ? 1 : 0;
  }
  return known > 1 && 2 * inTouch > known;
}

bool
peer_reachability::IsCutOff(const std::string& aAddress, time_point aNow) const
{
  if (!IsUnreachable(aAddress, aNow)) {
    return false;
  }
  bool isMajoritySeen = IsInMajority(aNow);
  for (const auto& [address, each] : mOwners) {
    if (!each.mHasAnswered || aNow - each.mReachedAt > kMaxReportAge) {
      continue;
    }
    if (each.mReport.mUnreachable.count(aAddress) == 0) {
      return false;
    }
    isMajoritySeen = isMajoritySeen || each.mReport.mIsInMajority;
  }
  return isMajoritySeen;
}

} // namespace mangospan::node
