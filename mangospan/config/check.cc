#include "mangospan/config/check.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "mangospan/base/error.h"
#include "mangospan/json/checked_json.h"

namespace mangospan::config {

namespace {

using json::location;

template<typename Item>
status
CheckNamesDiffer(const std::vector<Item>& aItems, const location& aWhere)
{
  std::map<std::string, std::size_t> seen;
  for (std::size_t i = 0; i < aItems.size(); ++i) {
    const std::string& name = aItems[i].mName.Str();
    const auto [first, inserted] = seen.emplace(name, i);
    if (!inserted) {
      return json::Refuse(aWhere.Child(i).Child("name"),
                          "'" + name + "' is already the name of " +
                            aWhere.Child(first->second).mPointer);
    }
  }
  return boost::outcome_v2::success();
}

template<typename Item>
status
CheckItemsDiffer(const std::vector<Item>& aItems,
                 std::string (*aText)(const Item&),
                 const location& aWhere)
{
  std::set<std::string> seen;
  for (std::size_t i = 0; i < aItems.size(); ++i) {
    if (!seen.insert(aText(aItems[i])).second) {
      return json::Refuse(aWhere.Child(i),
                          "'" + aText(aItems[i]) + "' is named twice");
    }
  }
  return boost::outcome_v2::success();
}

template<typename Name>
std::string
NameText(const Name& aName)
{
  return aName.Str();
}

std::string
SameText(const std::string& aText)
{
  return aText;
}

status
CheckBudget(const availability_budget& aBudget, const location& aWhere)
{
  if (aBudget.mCount.has_value() == aBudget.mShare.has_value()) {
    return json::Refuse(aWhere,
                        "exactly one of a count and a share is due here");
  }
  if (aBudget.mShare && !(*aBudget.mShare >= 0 && *aBudget.mShare <= 1)) {
    return json::Refuse(aWhere, "a share is from 0% to 100%");
  }
  return boost::outcome_v2::success();
}

status
CheckPool(const pool& aPool, const location& aWhere)
{
  BOOST_OUTCOME_TRY(
    CheckBudget(aPool.mMaxUnavailable, aWhere.Child("max_unavailable")));
  BOOST_OUTCOME_TRY(
    CheckItemsDiffer(aPool.mZones, NameText<zone_name>, aWhere.Child("zones")));
  BOOST_OUTCOME_TRY(
    CheckItemsDiffer(aPool.mRacks, NameText<rack_name>, aWhere.Child("racks")));
  if (aPool.mMinHosts > kMaxHostsPerZone) {
    return json::Refuse(aWhere.Child("min_hosts"),
                        std::to_string(aPool.mMinHosts) +
                          " is more hosts than a zone can have (" +
                          std::to_string(kMaxHostsPerZone) + ")");
  }
  return boost::outcome_v2::success();
}

// Requests name a service, so each service needs one pool that serves it.
status
CheckServices(const std::vector<pool>& aPools, const location& aWhere)
{
  std::map<service_name, std::size_t> servedBy;
  for (std::size_t i = 0; i < aPools.size(); ++i) {
    const auto [first, inserted] = servedBy.emplace(aPools[i].mService, i);
    if (!inserted) {
      return json::Refuse(
        aWhere.Child(i).Child("service"),
        "'" + aPools[i].mService.Str() + "' is already served by pool '" +
          aPools[first->second].mName.Str() + "'; a service has one pool");
    }
  }
  return boost::outcome_v2::success();
}

status
CheckOneSpare(const std::vector<pool>& aPools, const location& aWhere)
{
  std::optional<std::size_t> spare;
  for (std::size_t i = 0; i < aPools.size(); ++i) {
    if (aPools[i].mSpare && spare) {
      return json::Refuse(aWhere.Child(i).Child("spare"),
                          "'" + aPools[*spare].mName.Str() +
                            "' is the spare pool already; there is one");
    }
    if (aPools[i].mSpare) {
      spare = i;
    }
  }
  return boost::outcome_v2::success();
}

status
CheckPools(const document& aDocument, const location& aWhere)
{
  BOOST_OUTCOME_TRY(CheckNamesDiffer(aDocument.mPools, aWhere));
  BOOST_OUTCOME_TRY(CheckServices(aDocument.mPools, aWhere));
  BOOST_OUTCOME_TRY(CheckOneSpare(aDocument.mPools, aWhere));
  for (std::size_t i = 0; i < aDocument.mPools.size(); ++i) {
    BOOST_OUTCOME_TRY(CheckPool(aDocument.mPools[i], aWhere.Child(i)));
  }
  return boost::outcome_v2::success();
}

status
CheckClass(const work_class& aClass,
           const std::set<service_name>& aServices,
           const location& aWhere)
{
  const match_rule& match = aClass.mMatch;
  if (aServices.count(match.mService) == 0) {
    return json::Refuse(aWhere.Child("match").Child("service"),
                        "no pool serves '" + match.mService.Str() + "'");
  }
  BOOST_OUTCOME_TRY(CheckItemsDiffer(
    match.mMethods, SameText, aWhere.Child("match").Child("methods")));
  if (!(aClass.mTarget.mShare > 0 && aClass.mTarget.mShare <= 1)) {
    return json::Refuse(aWhere.Child("target"),
                        "the share is more than 0% and at most 100%");
  }
  if (aClass.mTarget.mWithin.count() <= 0) {
    return json::Refuse(aWhere.Child("target"), "the time is more than 0");
  }
  return boost::outcome_v2::success();
}

status
CheckClasses(const document& aDocument, const location& aWhere)
{
  BOOST_OUTCOME_TRY(CheckNamesDiffer(aDocument.mClasses, aWhere));
  std::set<service_name> services;
  for (const pool& each : aDocument.mPools) {
    services.insert(each.mService);
  }
  for (std::size_t i = 0; i < aDocument.mClasses.size(); ++i) {
    BOOST_OUTCOME_TRY(
      CheckClass(aDocument.mClasses[i], services, aWhere.Child(i)));
  }
  return boost::outcome_v2::success();
}

status
CheckMaintenance(const maintenance& aMaintenance, const location& aWhere)
{
  if (aMaintenance.mPeriod.count() <= 0) {
    return json::Refuse(aWhere.Child("period"), "the period is more than 0");
  }
  if (aMaintenance.mRebootLimit.count() <= 0) {
    return json::Refuse(aWhere.Child("reboot_limit"),
                        "the limit is more than 0");
  }
  if (aMaintenance.mRebootLimit >= aMaintenance.mPeriod) {
    return json::Refuse(aWhere.Child("reboot_limit"),
                        "the limit is not less than the period, so a host "
                        "could not be maintained once per period");
  }
  if (aMaintenance.mStopAfterFailures == 0) {
    return json::Refuse(aWhere.Child("stop_after_failures"),
                        "0 would stop each wave before its first host");
  }
  for (std::size_t i = 0; i < aMaintenance.mAllowed.size(); ++i) {
    const daily_hours& hours = aMaintenance.mAllowed[i];
    if (hours.mFrom == hours.mUntil) {
      return json::Refuse(aWhere.Child("allowed_hours").Child(i),
                          "it ends when it begins; \"00:00-24:00\" is a day");
    }
  }
  return boost::outcome_v2::success();
}

} // namespace

status
Check(const document& aDocument, std::string_view aSource)
{
  const location where{ "config.check", std::string(aSource), "" };
  if (aDocument.mPools.empty()) {
    return json::Refuse(where.Child("pools"), "at least one pool is due");
  }
  BOOST_OUTCOME_TRY(CheckPools(aDocument, where.Child("pools")));
  BOOST_OUTCOME_TRY(CheckClasses(aDocument, where.Child("classes")));
  BOOST_OUTCOME_TRY(
    CheckMaintenance(aDocument.mMaintenance, where.Child("maintenance")));
  return CheckNamesDiffer(aDocument.mTeams, where.Child("teams"));
}

} // namespace mangospan::config
