// What operators see of the quotas of one pool: the customers whose state
// changes, and a bounded number of values for metrics.
#ifndef MANGOSPAN_CUSTOMERS_QUOTA_CHANGES_H
#define MANGOSPAN_CUSTOMERS_QUOTA_CHANGES_H

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "mangospan/customers/quota.h"

namespace mangospan::customers {

// A customer that the quota holds back from now on, or no longer.
struct quota_change
{
  customer_name mCustomer;
  bool mIsLimited = false;
  quota_usage mUsage; // all 0 if the report does not name the customer
};

// Finds the changes from one report to the next.
class quota_changes
{
public:
  // Returns at most one change for each customer. `aLimited` has those with
  // waiting tasks that the quota holds back.
  std::vector<quota_change> Update(const quota_report& aReport,
                                   std::set<customer_name> aLimited);

private:
  std::set<customer_name> mLimited;
};

// The values of one label, 1 for a whole cap.
struct labelled_usage
{
  double mShare = 0;
  double mUsed = 0;
};

// Gives the first `kMaxLabelled` reported customers a label each, for as long
// as the object lives.
class usage_by_label
{
public:
  static constexpr std::size_t kMaxLabelled = 32;
  // Has the sum of all other customers.
  static constexpr const char* kOther = "other";

  // Returns the values of each label that is or was in use; 0 if no customer of
  // the report has the label.
  std::map<std::string, labelled_usage> Update(const quota_report& aReport);

private:
  std::string LabelOf(const customer_name& aCustomer);

  std::set<std::string> mLabels; // of single customers
  bool mHasOther = false;
};

// Returns the part as a number that is 1 for the whole cap.
inline double
Fraction(cap_part aPart)
{
  return static_cast<double>(aPart) / kWholeCap;
}

} // namespace mangospan::customers

#endif // MANGOSPAN_CUSTOMERS_QUOTA_CHANGES_H
