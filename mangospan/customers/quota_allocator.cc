#include "mangospan/customers/quota_allocator.h"

#include <algorithm>

namespace mangospan::customers {

quota_allocator::quota_allocator(std::uint64_t aFleetTerm)
  : mFleetTerm(aFleetTerm)
{
}

void
quota_allocator::SetPools(const std::vector<service_name>& aPools,
                          std::size_t aSharing)
{
  for (const service_name& each : aPools) {
    mPools[each];
  }
  if (mGuaranteed == GuaranteedPart(aSharing)) {
    return;
  }
  mGuaranteed = GuaranteedPart(aSharing);
  mTotals.clear();
  for (const auto& [service, each] : mPools) {
    AddToTotals(each);
  }
}

void
quota_allocator::SetCapsVersion(std::uint64_t aConfigVersion)
{
  mCapsVersion = aConfigVersion;
}

// Returns whether the pool's last report tells what it may use.
bool
quota_allocator::IsKnown(const pool& aPool) const
{
  return aPool.mHasReported && aPool.mConfigVersion >= mCapsVersion;
}

// Returns the part that the pool may use, as far as it has reported.
cap_part
quota_allocator::HeldBy(const pool& aPool, const customer_name& aCustomer) const
{
  cap_part held = mGuaranteed;
  const auto reported = aPool.mUsage.find(aCustomer);
  if (reported != aPool.mUsage.end()) {
    held = std::max({ held, reported->second.mShare, reported->second.mUsed });
  }
  const auto unconfirmed = aPool.mUnconfirmed.find(aCustomer);
  return unconfirmed == aPool.mUnconfirmed.end()
           ? held
           : std::max(held, unconfirmed->second);
}

// Returns the part that the pool could use, between the guaranteed part and the
// whole.
cap_part
quota_allocator::WantedBy(const pool& aPool,
                          const customer_name& aCustomer) const
{
  const auto reported = aPool.mUsage.find(aCustomer);
  const cap_part wanted =
    reported == aPool.mUsage.end()
      ? 0
      : std::max(reported->second.mWanted, reported->second.mUsed);
  return std::clamp(wanted, mGuaranteed, kWholeCap);
}

// Adds each customer that the pool holds or wants more of than the guaranteed
// part.
void
quota_allocator::AddToTotals(const pool& aPool)
{
  for (const auto& [customer, usage] : aPool.mUsage) {
    total& sum = mTotals[customer];
    sum.mHeld += HeldBy(aPool, customer) - mGuaranteed;
    sum.mWanted += WantedBy(aPool, customer) - mGuaranteed;
  }
  for (const auto& [customer, share] : aPool.mUnconfirmed) {
    if (aPool.mUsage.count(customer) == 0) {
      mTotals[customer].mHeld += HeldBy(aPool, customer) - mGuaranteed;
    }
  }
}

void
quota_allocator::SubtractFromTotals(const pool& aPool)
{
  for (const auto& [customer, usage] : aPool.mUsage) {
    total& sum = mTotals[customer];
    sum.mHeld -= HeldBy(aPool, customer) - mGuaranteed;
    sum.mWanted -= WantedBy(aPool, customer) - mGuaranteed;
  }
  for (const auto& [customer, share] : aPool.mUnconfirmed) {
    if (aPool.mUsage.count(customer) == 0) {
      mTotals[customer].mHeld -= HeldBy(aPool, customer) - mGuaranteed;
    }
  }
}

// Returns the part of the cap that certainly no other pool holds. One that has
// not reported may hold all.
cap_part
quota_allocator::FreeFor(const pool& aPool,
                         const customer_name& aCustomer) const
{
  if (!mAreAllKnown) {
    return 0;
  }
  const auto sum = mTotals.find(aCustomer);
  const std::uint64_t heldInTotal =
    mGuaranteed * mPools.size() +
    (sum == mTotals.end() ? 0 : sum->second.mHeld);
  const std::uint64_t heldByOthers = heldInTotal - HeldBy(aPool, aCustomer);
  return kWholeCap - static_cast<cap_part>(
                       std::min<std::uint64_t>(kWholeCap, heldByOthers));
}

// Returns the pool's part if the cap could be divided anew: what the pool wants
// beyond the guaranteed part, in proportion to what all want. What nobody wants
// goes to those with demand as well, so that they need not ask again soon.
cap_part
quota_allocator::FairShare(const pool& aPool,
                           const customer_name& aCustomer) const
{
  const std::uint64_t wanted = WantedBy(aPool, aCustomer) - mGuaranteed;
  if (wanted == 0) {
    return mGuaranteed;
  }
  const std::uint64_t guaranteed = mGuaranteed * mPools.size();
  const std::uint64_t divisible =
    kWholeCap - std::min<std::uint64_t>(kWholeCap, guaranteed);
  return mGuaranteed + static_cast<cap_part>(divisible * wanted /
                                             mTotals.at(aCustomer).mWanted);
}

std::optional<quota_instructions>
quota_allocator::Instruct(const service_name& aPool)
{
  const auto found = mPools.find(aPool);
  if (found == mPools.end() || !IsKnown(found->second)) {
    return std::nullopt;
  }
  pool& target = found->second;
  mAreAllKnown =
    std::all_of(mPools.begin(), mPools.end(), [this](const auto& aEntry) {
      return IsKnown(aEntry.second);
    });
  quota_instructions out;
  bool isChanged = !target.mUnconfirmed.empty();
  for (const auto& [customer, usage] : target.mUsage) {
    const cap_part present = std::max(mGuaranteed, usage.mShare);
    const cap_part share =
      std::min(FairShare(target, customer),
               std::max(present, FreeFor(target, customer)));
    isChanged = isChanged || share != present;
    if (share > mGuaranteed) {
      out.mShares.emplace(customer, share);
    }
  }
  if (!isChanged) {
    return std::nullopt;
  }
  out.mVersion = { mFleetTerm, ++mSequence };
  target.mLastSequence = mSequence;
  SubtractFromTotals(target);
  for (const auto& [customer, share] : out.mShares) {
    cap_part& unconfirmed = target.mUnconfirmed[customer];
    unconfirmed = std::max(unconfirmed, share);
  }
  AddToTotals(target);
  return out;
}

void
quota_allocator::OnReport(const service_name& aPool,
                          const quota_report& aReport)
{
  pool& target = mPools[aPool];
  target.mHasReported = true;
  target.mConfigVersion = aReport.mConfigVersion;
  SubtractFromTotals(target);
  target.mUsage = aReport.mUsage;
  const bool isConfirmed = aReport.mApplied.mFleetTerm == mFleetTerm &&
                           aReport.mApplied.mSequence >= target.mLastSequence;
  if (isConfirmed) {
    target.mUnconfirmed.clear();
  }
  AddToTotals(target);
}

} // namespace mangospan::customers
