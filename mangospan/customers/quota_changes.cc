#include "mangospan/customers/quota_changes.h"

#include <utility>

namespace mangospan::customers {

std::vector<quota_change>
quota_changes::Update(const quota_report& aReport,
                      std::set<customer_name> aLimited)
{
  std::vector<quota_change> out;
  const auto add = [&](const customer_name& aCustomer, bool aIsLimited) {
    const auto found = aReport.mUsage.find(aCustomer);
    out.push_back(
      { aCustomer,
        aIsLimited,
        found == aReport.mUsage.end() ? quota_usage{} : found->second });
  };
  for (const customer_name& each : mLimited) {
    if (aLimited.count(each) == 0) {
      add(each, false);
    }
  }
  for (const customer_name& each : aLimited) {
    if (mLimited.count(each) == 0) {
      add(each, true);
    }
  }
  mLimited = std::move(aLimited);
  return out;
}

// A label stays with its customer: the metrics keep each series that they have
// once exported, so labels that change hands would add up without a bound.
std::string
usage_by_label::LabelOf(const customer_name& aCustomer)
{
  const std::string& label = aCustomer.Str();
  const bool isNew = label != kOther && mLabels.count(label) == 0;
  if (label == kOther || (isNew && mLabels.size() >= kMaxLabelled)) {
    mHasOther = true;
    return kOther;
  }
  if (isNew) {
    mLabels.insert(label);
  }
  return label;
}

std::map<std::string, labelled_usage>
usage_by_label::Update(const quota_report& aReport)
{
  std::map<std::string, labelled_usage> out;
  for (const std::string& each : mLabels) {
    out[each] = {};
  }
  if (mHasOther) {
    out[kOther] = {};
  }
  for (const auto& [customer, usage] : aReport.mUsage) {
    labelled_usage& sum = out[LabelOf(customer)];
    sum.mShare += Fraction(usage.mShare);
    sum.mUsed += Fraction(usage.mUsed);
  }
  return out;
}

} // namespace mangospan::customers
