#include "mangospan/ctl/internal/config_record.h"

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "mangospan/base/error.h"
#include "mangospan/config/parser.h"
#include "mangospan/fleet/records.h"
#include "mangospan/json/text_file.h"

namespace mangospan::ctl {

namespace {

constexpr std::size_t kMaxAuthorBytes = 100;

bool
IsControl(char aByte)
{
  return static_cast<unsigned char>(aByte) < ' ' || aByte == '\x7F';
}

nlohmann::json
ParsedOrNull(const std::string& aText)
{
  return aText.empty() ? nlohmann::json()
                       : nlohmann::json::parse(aText, nullptr, false);
}

} // namespace

result<config::document>
LoadFile(const std::string& aFile)
{
  BOOST_OUTCOME_TRY(text, json::ReadFile(aFile, "config.read"));
  return config::Parse(text, aFile);
}

result<held_config>
ParseHeld(const std::optional<platform::record>& aRecord)
{
  held_config held;
  if (!aRecord) {
    return held;
  }
  BOOST_OUTCOME_TRY(
    parsed, fleet::ParseConfigRecord(aRecord->mValue, fleet::kConfigKey));
  BOOST_OUTCOME_TRY(document,
                    config::Parse(parsed.mDocument, fleet::kConfigKey));
  held.mRevision = aRecord->mRevision;
  held.mChangeId = parsed.mChangeId;
  held.mAuthor = parsed.mAuthor;
  held.mDocument = document;
  return held;
}

result<held_config>
ReadCurrent(session& aSession)
{
  BOOST_OUTCOME_TRY(record, aSession.Read(fleet::kConfigKey));
  return ParseHeld(record);
}

result<std::string>
MakeRecord(const std::string& aChangeId,
           const std::string& aAuthor,
           const config::document& aDocument)
{
  if (aAuthor.empty() || aAuthor.size() > kMaxAuthorBytes ||
      std::any_of(aAuthor.begin(), aAuthor.end(), IsControl)) {
    return error{ error_code::kInvalidArgument,
                  "apply.author",
                  "",
                  "an author has 1 to 100 bytes on one line" };
  }
  const nlohmann::json document =
    nlohmann::json::parse(config::ToText(aDocument));
  const std::string value = nlohmann::json{
    { "change_id", aChangeId }, { "author", aAuthor }, { "document", document }
  }.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  if (value.size() > platform::kMaxValueBytes) {
    return error{ error_code::kTooLarge,
                  "apply.record",
                  fleet::kConfigKey,
                  std::to_string(value.size()) +
                    " bytes are over the platform's limit of " +
                    std::to_string(platform::kMaxValueBytes) };
  }
  return value;
}

void
PrintChanges(const std::vector<config::change>& aChanges, printer& aPrinter)
{
  for (const config::change& each : aChanges) {
    aPrinter.Line("  " + config::ToLine(each));
  }
}

nlohmann::json
ToJson(const std::vector<config::change>& aChanges)
{
  nlohmann::json list = nlohmann::json::array();
  for (const config::change& each : aChanges) {
    list.push_back({ { "kind", config::Name(each.mKind) },
                     { "section", each.mSection },
                     { "name", each.mName },
                     { "key", each.mKey },
                     { "old", ParsedOrNull(each.mOld) },
                     { "new", ParsedOrNull(each.mNew) } });
  }
  return list;
}

} // namespace mangospan::ctl
