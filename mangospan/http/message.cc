#include "mangospan/http/message.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

namespace mangospan::http {

namespace {

char
ToLower(char aLetter)
{
  return aLetter >= 'A' && aLetter <= 'Z'
           ? static_cast<char>(aLetter - 'A' + 'a')
           : aLetter;
}

bool
SameName(std::string_view aLeft, std::string_view aRight)
{
  return std::equal(
    aLeft.begin(),
    aLeft.end(),
    aRight.begin(),
    aRight.end(),
    [](char aOne, char aOther) { return ToLower(aOne) == ToLower(aOther); });
}

} // namespace

std::string_view
header_list::Get(std::string_view aName) const
{
  for (const header& each : mHeaders) {
    if (SameName(each.mName, aName)) {
      return each.mValue;
    }
  }
  return {};
}

bool
header_list::Has(std::string_view aName) const
{
  return std::any_of(
    mHeaders.begin(), mHeaders.end(), [aName](const header& aHeader) {
      return SameName(aHeader.mName, aName);
    });
}

void
header_list::Set(std::string_view aName, std::string_view aValue)
{
  std::string value(aValue); // `aValue` may be a view into this list
  Remove(aName);
  mHeaders.push_back({ std::string(aName), std::move(value) });
}

void
header_list::Remove(std::string_view aName)
{
  mHeaders.erase(std::remove_if(mHeaders.begin(),
                                mHeaders.end(),
                                [aName](const header& aHeader) {
                                  return SameName(aHeader.mName, aName);
                                }),
                 mHeaders.end());
}

std::string_view
Path(const request& aRequest)
{
  const std::string_view target = aRequest.mTarget;
  return target.substr(0, target.find('?'));
}

std::string_view
QueryValue(const request& aRequest, std::string_view aName)
{
  const std::string_view target = aRequest.mTarget;
  const std::size_t mark = target.find('?');
  if (mark == std::string_view::npos) {
    return {};
  }
  std::string_view rest = target.substr(mark + 1);
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find('&'), rest.size());
    const std::string_view pair = rest.substr(0, end);
    const std::size_t equals = std::min(pair.find('='), pair.size());
    if (pair.substr(0, equals) == aName) {
      return pair.substr(std::min(equals + 1, pair.size()));
    }
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return {};
}

response
JsonResponse(int aStatus, std::string aBody)
{
  response answer;
  answer.mStatus = aStatus;
  answer.Set("Content-Type", "application/json");
  answer.mBody = std::move(aBody);
  return answer;
}

} // namespace mangospan::http
