#include "mangospan/config/internal/document_fields.h"

#include <nlohmann/json.hpp>

#include "mangospan/base/error.h"
#include "mangospan/config/document.h"
#include "mangospan/config/internal/codec.h"
#include "mangospan/config/internal/maintenance_fields.h"
#include "mangospan/config/internal/pool_fields.h"
#include "mangospan/config/internal/team_fields.h"
#include "mangospan/config/internal/work_class_fields.h"
#include "mangospan/json/checked_json.h"

namespace mangospan::config {

namespace {

const internal::codec_table<document>&
Fields()
{
  using internal::Key;
  using internal::presence;
  static const internal::codec_table<document> kFields{
    Key("pools", &document::mPools, presence::kRequired),
    Key("classes", &document::mClasses, presence::kOptional),
    Key("maintenance", &document::mMaintenance, presence::kOptional),
    Key("teams", &document::mTeams, presence::kOptional),
    Key("prefer", &document::mPrefer, presence::kRequired),
  };
  return kFields;
}

} // namespace

status
ReadValue(const nlohmann::json& aValue,
          const json::location& aWhere,
          document& aInto)
{
  return internal::ReadByTable(aValue, aWhere, Fields(), aInto);
}

nlohmann::json
WriteValue(const document& aValue)
{
  return internal::WriteByTable(Fields(), aValue);
}

} // namespace mangospan::config
