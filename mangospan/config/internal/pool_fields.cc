#include "mangospan/config/internal/pool_fields.h"

#include <nlohmann/json.hpp>

#include "mangospan/base/error.h"
#include "mangospan/config/document.h"
#include "mangospan/config/internal/codec.h"
#include "mangospan/json/checked_json.h"

namespace mangospan::config {

namespace {

// Requests to "/mangospan/..." are for the entry itself.
constexpr const char* kReservedService = "mangospan";

const internal::codec_table<pool>&
Fields()
{
  using internal::Key;
  using internal::presence;
  static const internal::codec_table<pool> kFields{
    Key("name", &pool::mName, presence::kRequired),
    Key("service", &pool::mService, presence::kRequired),
    Key("max_unavailable", &pool::mMaxUnavailable, presence::kRequired),
    Key("spare", &pool::mSpare, presence::kOptional),
    Key("min_hosts", &pool::mMinHosts, presence::kOptional),
    Key("zones", &pool::mZones, presence::kOptional),
    Key("racks", &pool::mRacks, presence::kOptional),
  };
  return kFields;
}

} // namespace

status
ReadValue(const nlohmann::json& aValue,
          const json::location& aWhere,
          pool& aInto)
{
  BOOST_OUTCOME_TRY(internal::ReadByTable(aValue, aWhere, Fields(), aInto));
  if (aInto.mService.Str() == kReservedService) {
    return json::Refuse(aWhere.Child("service"),
                        "'mangospan' is reserved for the system itself");
  }
  return boost::outcome_v2::success();
}

nlohmann::json
WriteValue(const pool& aValue)
{
  return internal::WriteByTable(Fields(), aValue);
}

} // namespace mangospan::config
