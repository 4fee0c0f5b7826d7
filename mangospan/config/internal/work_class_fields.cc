#include "mangospan/config/internal/work_class_fields.h"

#include <algorithm>
#include <string>

#include <nlohmann/json.hpp>

#include "mangospan/base/error.h"
#include "mangospan/config/document.h"
#include "mangospan/config/internal/codec.h"
#include "mangospan/json/checked_json.h"

namespace mangospan::config {

namespace {

const internal::codec_table<match_rule>&
MatchFields()
{
  using internal::Key;
  using internal::presence;
  static const internal::codec_table<match_rule> kFields{
    Key("service", &match_rule::mService, presence::kRequired),
    Key("path_prefix", &match_rule::mPathPrefix, presence::kOptional),
    Key("methods", &match_rule::mMethods, presence::kOptional),
  };
  return kFields;
}

bool
IsUpperCaseLetter(char aByte)
{
  return aByte >= 'A' && aByte <= 'Z';
}

// What can stand in the path of a request line, query and fragment excluded.
bool
IsPathByte(char aByte)
{
  return aByte > ' ' && aByte < '\x7F' && aByte != '?' && aByte != '#';
}

status
CheckMatch(const match_rule& aRule, const json::location& aWhere)
{
  const std::string& path = aRule.mPathPrefix;
  const bool pathIsWhole =
    path.empty() ||
    (path.front() == '/' && std::all_of(path.begin(), path.end(), IsPathByte));
  if (!pathIsWhole) {
    return json::Refuse(aWhere.Child("path_prefix"),
                        "a path is due here that begins with '/' and has no "
                        "blanks and no query");
  }
  for (std::size_t i = 0; i < aRule.mMethods.size(); ++i) {
    const std::string& method = aRule.mMethods[i];
    if (method.empty() ||
        !std::all_of(method.begin(), method.end(), IsUpperCaseLetter)) {
      return json::Refuse(aWhere.Child("methods").Child(i),
                          "an HTTP method such as \"POST\" is due here");
    }
  }
  return boost::outcome_v2::success();
}

const internal::codec_table<work_class>&
Fields()
{
  using internal::Key;
  using internal::presence;
  static const internal::codec_table<work_class> kFields{
    Key("name", &work_class::mName, presence::kRequired),
    Key("match", &work_class::mMatch, presence::kRequired),
    Key("target", &work_class::mTarget, presence::kRequired),
    Key("idempotent", &work_class::mIdempotent, presence::kOptional),
    Key("urgent", &work_class::mUrgent, presence::kOptional),
  };
  return kFields;
}

} // namespace

status
ReadValue(const nlohmann::json& aValue,
          const json::location& aWhere,
          match_rule& aInto)
{
  BOOST_OUTCOME_TRY(
    internal::ReadByTable(aValue, aWhere, MatchFields(), aInto));
  return CheckMatch(aInto, aWhere);
}

nlohmann::json
WriteValue(const match_rule& aValue)
{
  return internal::WriteByTable(MatchFields(), aValue);
}

status
ReadValue(const nlohmann::json& aValue,
          const json::location& aWhere,
          work_class& aInto)
{
  return internal::ReadByTable(aValue, aWhere, Fields(), aInto);
}

nlohmann::json
WriteValue(const work_class& aValue)
{
  return internal::WriteByTable(Fields(), aValue);
}

} // namespace mangospan::config
