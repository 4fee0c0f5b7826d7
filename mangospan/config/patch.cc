#include "mangospan/config/patch.h"

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "mangospan/base/error.h"
#include "mangospan/config/parser.h"
#include "mangospan/json/checked_json.h"

namespace mangospan::config {

result<std::string>
MakePatch(std::string_view aFrom, std::string_view aTo)
{
  const json::location where{ "config.make_patch", "", "" };
  BOOST_OUTCOME_TRY(from, json::ParseText(aFrom, where));
  BOOST_OUTCOME_TRY(to, json::ParseText(aTo, where));
  return nlohmann::json::diff(from, to).dump();
}

result<std::string>
ApplyPatch(std::string_view aText, std::string_view aPatch)
{
  const json::location where{ "config.apply_patch", "", "" };
  BOOST_OUTCOME_TRY(text, json::ParseText(aText, where));
  BOOST_OUTCOME_TRY(patch, json::ParseText(aPatch, where));
  std::string patched;
  try {
    patched = text.patch(patch).dump();
  } catch (const nlohmann::json::exception& failure) {
    return json::Refuse(where, failure.what());
  }
  if (patched.size() > kMaxDocumentBytes) {
    return error{ error_code::kTooLarge,
                  where.mStep,
                  "",
                  std::to_string(patched.size()) + " bytes after the patch" };
  }
  return patched;
}

result<std::string>
ApplyUpdate(const revisioned_document& aHeld,
            std::uint64_t aBaseRevision,
            const std::string& aText)
{
  if (aBaseRevision == 0) {
    return aText;
  }
  if (aHeld.mRevision != aBaseRevision) {
    return error{ error_code::kConflict,
                  "config.patch",
                  "",
                  "the patch is for another revision" };
  }
  return ApplyPatch(aHeld.mText, aText);
}

} // namespace mangospan::config
