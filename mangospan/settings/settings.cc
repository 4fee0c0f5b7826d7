#include "mangospan/settings/settings.h"

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "mangospan/base/error.h"
#include "mangospan/json/checked_json.h"
#include "mangospan/json/text_file.h"
#include "mangospan/settings/internal/fields.h"

namespace mangospan::settings {

result<process_settings>
Load(const std::string& aFile, program aProgram)
{
  BOOST_OUTCOME_TRY(text, json::ReadFile(aFile, "settings.read"));
  return Parse(text, aFile, aProgram);
}

result<process_settings>
Parse(std::string_view aText, std::string_view aSource, program aProgram)
{
  const json::location where{ "settings.parse", std::string(aSource), "" };
  BOOST_OUTCOME_TRY(value, json::ParseText(aText, where));
  return internal::ReadSettings(value, where, aProgram);
}

} // namespace mangospan::settings
