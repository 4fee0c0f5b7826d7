#include "mangospan/config/internal/team_fields.h"

#include <nlohmann/json.hpp>

#include "mangospan/base/error.h"
#include "mangospan/config/document.h"
#include "mangospan/config/internal/codec.h"
#include "mangospan/json/checked_json.h"

namespace mangospan::config {

namespace {

const internal::codec_table<team>&
Fields()
{
  using internal::Key;
  using internal::presence;
  static const internal::codec_table<team> kFields{
    Key("name", &team::mName, presence::kRequired),
    Key("requests_per_second", &team::mRequestsPerSecond, presence::kOptional),
    Key("processors", &team::mProcessors, presence::kOptional),
  };
  return kFields;
}

} // namespace

status
ReadValue(const nlohmann::json& aValue,
          const json::location& aWhere,
          team& aInto)
{
  return internal::ReadByTable(aValue, aWhere, Fields(), aInto);
}

nlohmann::json
WriteValue(const team& aValue)
{
  return internal::WriteByTable(Fields(), aValue);
}

} // namespace mangospan::config
