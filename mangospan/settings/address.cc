#include <arpa/inet.h>
#include <netinet/in.h>

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <string>
#include <string_view>
#include <system_error>

#include "mangospan/settings/settings.h"

namespace mangospan::settings {

namespace {

constexpr std::size_t kMaxPortDigits = 5;

bool
IsIpNumber(std::string_view aText)
{
  const bool bracketed =
    aText.size() > 2 && aText.front() == '[' && aText.back() == ']';
  const std::string number(bracketed ? aText.substr(1, aText.size() - 2)
                                     : aText);
  in6_addr parsed{}; // large enough for both families
  return inet_pton(bracketed ? AF_INET6 : AF_INET, number.c_str(), &parsed) ==
         1;
}

bool
IsPort(std::string_view aText, bool aAllowAnyPort)
{
  const bool digits = !aText.empty() && aText.size() <= kMaxPortDigits &&
                      std::all_of(aText.begin(), aText.end(), [](char aByte) {
                        return aByte >= '0' && aByte <= '9';
                      });
  if (!digits) {
    return false;
  }
  unsigned port = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), port);
  constexpr unsigned kMaxPort = 65535;
  return port <= kMaxPort && (port > 0 || aAllowAnyPort);
}

} // namespace

bool
IsAddress(std::string_view aText, bool aAllowAnyPort)
{
  const std::size_t colon = aText.rfind(':');
  return colon != std::string_view::npos &&
         IsIpNumber(aText.substr(0, colon)) &&
         IsPort(aText.substr(colon + 1), aAllowAnyPort);
}

} // namespace mangospan::settings
