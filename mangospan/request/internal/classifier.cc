#include "mangospan/request/internal/classifier.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <string>

namespace mangospan::request {

namespace {

constexpr config::target kDefaultTarget{ 0.99, std::chrono::seconds(10) };

config::work_class
MakeDefaultClass(const service_name& aService)
{
  config::work_class result;
  result.mName = class_name(aService.Str() + ".default");
  result.mMatch.mService = aService;
  result.mTarget = kDefaultTarget;
  return result;
}

// Returns whether the prefix matches whole path segments: "/a" matches "/a" and
// "/a/b", but not "/ab".
bool
HasPrefix(std::string_view aPath, std::string_view aPrefix)
{
  if (aPath.substr(0, aPrefix.size()) != aPrefix) {
    return false;
  }
  return aPrefix.empty() || aPrefix.back() == '/' ||
         aPath.size() == aPrefix.size() || aPath[aPrefix.size()] == '/';
}

bool
Matches(const config::match_rule& aRule, const arrival& aArrival)
{
  const bool method =
    aRule.mMethods.empty() ||
    std::find(aRule.mMethods.begin(), aRule.mMethods.end(), aArrival.mMethod) !=
      aRule.mMethods.end();
  return method && HasPrefix(aArrival.mPath, aRule.mPathPrefix);
}

classification
MakeClassification(const config::work_class& aWork, const arrival& aArrival)
{
  classification found;
  found.mWorkClass = &aWork;
  found.mIdempotent =
    aWork.mIdempotent.value_or(IsIdempotentMethod(aArrival.mMethod));
  return found;
}

} // namespace

bool
IsIdempotentMethod(std::string_view aMethod)
{
  constexpr std::array<std::string_view, 6> kMethods = { "GET",     "HEAD",
                                                         "PUT",     "DELETE",
                                                         "OPTIONS", "TRACE" };
  return std::find(kMethods.begin(), kMethods.end(), aMethod) != kMethods.end();
}

classifier::classifier(const config::document& aDocument)
{
  for (const config::pool& pool : aDocument.mPools) {
    if (!pool.mService.Empty()) {
      mServices[pool.mService].mDefault = MakeDefaultClass(pool.mService);
    }
  }
  for (const config::work_class& work : aDocument.mClasses) {
    const auto found = mServices.find(work.mMatch.mService);
    if (found != mServices.end()) {
      found->second.mClasses.push_back(work);
    }
  }
  for (auto& [name, service] : mServices) {
    std::stable_sort(service.mClasses.begin(),
                     service.mClasses.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft.mMatch.mPathPrefix.size() >
                              aRight.mMatch.mPathPrefix.size();
                     });
  }
}

classification
classifier::Classify(const arrival& aArrival) const
{
  classification none;
  const auto found = mServices.find(aArrival.mService);
  if (found == mServices.end()) {
    return none;
  }
  const service& served = found->second;
  for (const config::work_class& work : served.mClasses) {
    if (aArrival.mClass.Empty() ? Matches(work.mMatch, aArrival)
                                : work.mName == aArrival.mClass) {
      return MakeClassification(work, aArrival);
    }
  }
  if (aArrival.mClass.Empty()) {
    return MakeClassification(served.mDefault, aArrival);
  }
  none.mRefusalCode = refusal_code::kNoSuchClass;
  return none;
}

bool
classifier::Serves(const service_name& aService) const
{
  return mServices.count(aService) != 0;
}

std::vector<const config::work_class*>
classifier::Classes() const
{
  std::vector<const config::work_class*> all;
  for (const auto& [name, service] : mServices) {
    for (const config::work_class& work : service.mClasses) {
      all.push_back(&work);
    }
    all.push_back(&service.mDefault);
  }
  return all;
}

} // namespace mangospan::request
