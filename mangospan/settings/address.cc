#include <string_view>

#include "mangospan/http/address.h"
#include "mangospan/settings/settings.h"

namespace mangospan::settings {

bool
IsAddress(std::string_view aText, bool aAllowAnyPort)
{
  const auto endpoint = http::ParseAddress(aText);
  if (endpoint.has_error()) {
    return false;
  }
  if (endpoint.assume_value().port() == 0) {
    return aAllowAnyPort;
  }
  // One spelling for each port, since addresses are compared as texts.
  return aText[aText.rfind(':') + 1] != '0';
}

} // namespace mangospan::settings
