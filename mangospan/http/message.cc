#include "mangospan/http/message.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

namespace mangospan::http {

namespace {

char
ToLower(char aChar)
{
  return aChar >= 'A' && aChar <= 'Z' ? static_cast<char>(aChar - 'A' + 'a')
                                      : aChar;
}

bool
EqualsIgnoreCase(std::string_view aLeft, std::string_view aRight)
{
  return std::equal(aLeft.begin(),
                    aLeft.end(),
                    aRight.begin(),
                    aRight.end(),
                    [](char aLeftChar, char aRightChar) {
                      return ToLower(aLeftChar) == ToLower(aRightChar);
                    });
}

} // namespace

std::string_view
header_list::Get(std::string_view aName) const
{
  for (const header& each : mHeaders) {
    if (EqualsIgnoreCase(each.mName, aName)) {
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
      return EqualsIgnoreCase(aHeader.mName, aName);
    });
}

void
header_list::Set(std::string_view aName, std::string_view aValue)
{
  std::string value(aValue); // `aValue` may point into this list
  Remove(aName);
  mHeaders.push_back({ std::string(aName), std::move(value) });
}

void
header_list::Remove(std::string_view aName)
{
  mHeaders.erase(std::remove_if(mHeaders.begin(),
                                mHeaders.end(),
                                [aName](const header& aHeader) {
                                  return EqualsIgnoreCase(aHeader.mName, aName);
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
  const std::size_t questionMark = target.find('?');
  if (questionMark == std::string_view::npos) {
    return {};
  }
  std::string_view remaining = target.substr(questionMark + 1);
  while (!remaining.empty()) {
    const std::size_t end = std::min(remaining.find('&'), remaining.size());
    const std::string_view pair = remaining.substr(0, end);
    const std::size_t equals = std::min(pair.find('='), pair.size());
    if (pair.substr(0, equals) == aName) {
      return pair.substr(std::min(equals + 1, pair.size()));
    }
    remaining.remove_prefix(std::min(end + 1, remaining.size()));
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
