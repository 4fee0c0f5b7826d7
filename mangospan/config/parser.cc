#include "mangospan/config/parser.h"

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "mangospan/base/error.h"
#include "mangospan/config/check.h"
#include "mangospan/config/document.h"
#include "mangospan/config/internal/document_fields.h"
#include "mangospan/json/checked_json.h"

namespace mangospan::config {

namespace {

// Comments and blanks are not stored, so the text may be larger than what is.
constexpr std::size_t kMaxTextBytes = 8 * kMaxDocumentBytes;

error
TooLarge(std::string_view aSource, std::size_t aBytes, std::size_t aLimit)
{
  return error{ error_code::kTooLarge,
                "config.parse",
                std::string(aSource),
                std::to_string(aBytes) + " bytes are over the limit of " +
                  std::to_string(aLimit) };
}

} // namespace

result<document>
Parse(std::string_view aText, std::string_view aSource)
{
  if (aText.size() > kMaxTextBytes) {
    return TooLarge(aSource, aText.size(), kMaxTextBytes);
  }
  const json::location where{ "config.parse", std::string(aSource), "" };
  BOOST_OUTCOME_TRY(value, json::ParseText(aText, where));
  document parsed;
  BOOST_OUTCOME_TRY(ReadValue(value, where, parsed));
  BOOST_OUTCOME_TRY(Check(parsed, aSource));
  const std::size_t stored = ToText(parsed).size();
  if (stored > kMaxDocumentBytes) {
    return TooLarge(aSource, stored, kMaxDocumentBytes);
  }
  return parsed;
}

std::string
ToText(const document& aDocument)
{
  return WriteValue(aDocument).dump();
}

} // namespace mangospan::config
