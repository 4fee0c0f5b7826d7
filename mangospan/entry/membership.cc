#include "mangospan/entry/membership.h"

#include <algorithm>
#include <string>
#include <utility>

#include "mangospan/base/log.h"
#include "mangospan/config/parser.h"
#include "mangospan/config/patch.h"

namespace mangospan::entry {

namespace {

// Whether there is such a view: sequence 0 stands for none of that term yet.
bool
IsIssued(const view::version& aVersion)
{
  return aVersion.mSequence > 0;
}

} // namespace

zone_membership::zone_membership(view::entry_id aOwn, zone_name aZone)
  : mOwn(std::move(aOwn))
  , mZone(std::move(aZone))
{
}

membership_effects
zone_membership::OnHello(const wire::sender& aSender, const wire::hello& aHello)
{
  membership_effects effects;
  if (IsOwnZone(aSender)) {
    effects.mSayHello = HearTerm(aSender);
    effects.mAskState = Behind(aHello.mView, aHello.mConfigRevision);
  }
  return effects;
}

membership_effects
zone_membership::OnHeartbeat(const wire::sender& aSender,
                             const wire::heartbeat& aHeartbeat)
{
  membership_effects effects;
  if (!IsOwnZone(aSender)) {
    return effects;
  }
  effects.mSayHello = HearTerm(aSender);
  effects.mAskState = Behind(aHeartbeat.mView, aHeartbeat.mConfigRevision);
  if (aSender.mTerm == 0 || aSender.mTerm < mTermHeard) {
    return effects; // only the acting process knows the membership
  }
  // Before its first view a new acting process has not read the membership;
  // until then the registration under the term before holds.
  if (aHeartbeat.mRegistered || IsIssued(aHeartbeat.mView)) {
    mIsRegistered = aHeartbeat.mRegistered;
  }
  if (aHeartbeat.mView == mView.mVersion) {
    mIsFresh = true;
  }
  return effects;
}

membership_effects
zone_membership::OnView(const wire::sender& aSender,
                        const wire::view_push& aPush)
{
  membership_effects effects;
  const view::zone_view& pushed = aPush.mView;
  if (!IsOwnZone(aSender) || pushed.mZone != mZone) {
    return effects;
  }
  effects.mSayHello = HearTerm(aSender);
  if (pushed.mVersion.mTerm < mTermHeard || pushed.mVersion < mView.mVersion) {
    return effects;
  }
  mTermHeard = std::max(mTermHeard, pushed.mVersion.mTerm);
  mIsFresh = true;
  if (pushed.mVersion == mView.mVersion) {
    return effects;
  }
  if (Lists(mView) && !Lists(pushed)) {
    mIsRegistered = false; // the zone has gone on without this process
  }
  mView = pushed;
  effects.mViewChanged = true;
  LogEvent(
    log_level::kInfo,
    "view.adopted",
    { { "term", pushed.mVersion.mTerm },
      { "sequence", pushed.mVersion.mSequence },
      { "endpoints", static_cast<std::uint64_t>(pushed.mEndpoints.size()) },
      { "from", aSender.mHost.Str() } });
  return effects;
}

membership_effects
zone_membership::OnConfig(const wire::sender& aSender,
                          const wire::config_push& aPush)
{
  membership_effects effects;
  if (IsOwnZone(aSender)) {
    effects.mSayHello = HearTerm(aSender);
  }
  if (aPush.mRevision <= mConfig.mRevision) {
    return effects;
  }
  const result<std::string> text =
    config::ApplyUpdate(mConfig, aPush.mBaseRevision, aPush.mText);
  if (text.has_error()) {
    effects.mAskState = true;
    return effects;
  }
  auto parsed = config::Parse(text.assume_value(),
                              "revision " + std::to_string(aPush.mRevision));
  if (parsed.has_error()) {
    LogError("config.refused", parsed.assume_error());
    mRefusedRevision = std::max(mRefusedRevision, aPush.mRevision);
    return effects;
  }
  mConfig = { aPush.mRevision,
              text.assume_value(),
              std::move(parsed).assume_value() };
  effects.mConfigChanged = true;
  LogEvent(log_level::kInfo,
           "config.adopted",
           { { "revision", aPush.mRevision },
             { "patch", aPush.mBaseRevision != 0 },
             { "from", aSender.mHost.Str() } });
  return effects;
}

void
zone_membership::OnSuspended()
{
  mIsFresh = false;
}

bool
zone_membership::MayDispatch() const
{
  return mIsRegistered && HasFreshView() && mConfig.mRevision != 0;
}

bool
zone_membership::HasFreshView() const
{
  return mIsFresh && mView.mVersion.mTerm != 0;
}

bool
zone_membership::IsOwnZone(const wire::sender& aSender) const
{
  return aSender.mZone == mZone;
}

bool
zone_membership::Lists(const view::zone_view& aView) const
{
  return std::any_of(
    aView.mEntries.begin(),
    aView.mEntries.end(),
    [this](const view::entry_member& aEach) { return aEach.mId == mOwn; });
}

bool
zone_membership::HearTerm(const wire::sender& aSender)
{
  if (aSender.mRole != wire::process_role::kFleet ||
      aSender.mTerm <= mTermHeard) {
    return false;
  }
  mTermHeard = aSender.mTerm;
  return true;
}

bool
zone_membership::Behind(const view::version& aView,
                        std::uint64_t aRevision) const
{
  const bool lacksView =
    mView.mVersion < aView && IsIssued(aView) && aView.mTerm >= mTermHeard;
  return lacksView ||
         (aRevision > mConfig.mRevision && aRevision > mRefusedRevision);
}

} // namespace mangospan::entry
