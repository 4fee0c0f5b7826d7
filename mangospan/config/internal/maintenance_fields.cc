#include "mangospan/config/internal/maintenance_fields.h"

#include <nlohmann/json.hpp>

#include "mangospan/base/error.h"
#include "mangospan/config/document.h"
#include "mangospan/config/internal/codec.h"
#include "mangospan/json/checked_json.h"

namespace mangospan::config {

namespace {

const internal::codec_table<maintenance>&
Fields()
{
  using internal::Key;
  using internal::presence;
  static const internal::codec_table<maintenance> kFields{
    Key("period", &maintenance::mPeriod, presence::kOptional),
    Key("allowed_hours", &maintenance::mAllowed, presence::kOptional),
    Key("reboot_limit", &maintenance::mRebootLimit, presence::kOptional),
    Key("stop_after_failures",
        &maintenance::mStopAfterFailures,
        presence::kOptional),
  };
  return kFields;
}

} // namespace

status
ReadValue(const nlohmann::json& aValue,
          const json::location& aWhere,
          maintenance& aInto)
{
  return internal::ReadByTable(aValue, aWhere, Fields(), aInto);
}

nlohmann::json
WriteValue(const maintenance& aValue)
{
  return internal::WriteByTable(Fields(), aValue);
}

} // namespace mangospan::config
