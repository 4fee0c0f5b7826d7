#include "mangospan/customers/pool_quota.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace mangospan::customers {

namespace {

// The part of each cap that all guaranteed parts add up to.
constexpr cap_part kGuaranteedInTotal = 800;

bool
IsLimited(const resources& aCap)
{
  return aCap.mCpu > 0 || aCap.mMemoryMb > 0 || aCap.mGpus > 0;
}

// Returns the part of the limit that the amount is, rounded up.
cap_part
PartOf(std::int64_t aAmount, std::int64_t aLimit)
{
  if (aLimit <= 0 || aAmount <= 0) {
    return 0;
  }
  const double part = std::ceil(static_cast<double>(aAmount) /
                                static_cast<double>(aLimit) * kWholeCap);
  constexpr cap_part kMost = std::numeric_limits<cap_part>::max() / 2;
  return part < kMost ? static_cast<cap_part>(part) : kMost;
}

cap_part
PartOf(const resources& aAmount, const resources& aCap)
{
  return std::max({ PartOf(aAmount.mCpu, aCap.mCpu),
                    PartOf(aAmount.mMemoryMb, aCap.mMemoryMb),
                    PartOf(aAmount.mGpus, aCap.mGpus) });
}

resources
AmountOf(const customer_resources& aAmounts, const customer_name& aCustomer)
{
  const auto found = aAmounts.find(aCustomer);
  return found == aAmounts.end() ? resources{} : found->second;
}

} // namespace

cap_part
GuaranteedPart(std::size_t aPools)
{
  return aPools == 0 ? 0 : static_cast<cap_part>(kGuaranteedInTotal / aPools);
}

void
pool_quota::SetCustomers(
  const std::map<customer_name, customer_policy>& aCustomers,
  std::size_t aPools,
  std::uint64_t aConfigVersion)
{
  mGuaranteed = GuaranteedPart(aPools);
  mConfigVersion = aConfigVersion;
  mCaps.clear();
  for (const auto& [customerName, each] : aCustomers) {
    if (IsLimited(each.mCap)) {
      mCaps.emplace(customerName, each.mCap);
    }
  }
}

void
pool_quota::Apply(const quota_instructions& aInstructions)
{
  if (mInstructions.mVersion < aInstructions.mVersion) {
    mInstructions = aInstructions;
  }
}

bool
pool_quota::IsCapped(const customer_name& aCustomer) const
{
  return mCaps.count(aCustomer) > 0;
}

cap_part
pool_quota::ShareOf(const customer_name& aCustomer) const
{
  const auto found = mInstructions.mShares.find(aCustomer);
  return found == mInstructions.mShares.end()
           ? mGuaranteed
           : std::max(mGuaranteed, found->second);
}

bool
pool_quota::MayStart(const customer_name& aCustomer,
                     const resources& aNeed,
                     const resources& aUsed,
                     std::size_t aTasks) const
{
  const auto cap = mCaps.find(aCustomer);
  if (cap == mCaps.end()) {
    return true;
  }
  const cap_part used = PartOf(aUsed, cap->second);
  if (aTasks == 1 && used == 0 && ShareOf(aCustomer) > kWholeCap / 2) {
    return true;
  }
  resources after = aUsed;
  after += aNeed;
  return PartOf(after, cap->second) <= ShareOf(aCustomer);
}

quota_report
pool_quota::Report(const customer_resources& aUsed,
                   const customer_resources& aWanted) const
{
  quota_report out;
  out.mApplied = mInstructions.mVersion;
  out.mConfigVersion = mCaps.empty() ? 0 : mConfigVersion;
  for (const auto& [customerName, cap] : mCaps) {
    const quota_usage usage{ ShareOf(customerName),
                             PartOf(AmountOf(aUsed, customerName), cap),
                             PartOf(AmountOf(aWanted, customerName), cap) };
    if (usage.mUsed > 0 || usage.mWanted > 0 || usage.mShare > mGuaranteed) {
      out.mUsage.emplace(customerName, usage);
    }
  }
  return out;
}

} // namespace mangospan::customers
