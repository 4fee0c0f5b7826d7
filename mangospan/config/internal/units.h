// Values that operators write as texts with units: "14d", "25%",
// "02:00-04:30", "99% within 2s". Each is read and written here.
//
//   std::chrono::hours period{ 0 };
//   BOOST_OUTCOME_TRY(ReadValue(value, where, period));
#ifndef MANGOSPAN_CONFIG_INTERNAL_UNITS_H
#define MANGOSPAN_CONFIG_INTERNAL_UNITS_H

#include <chrono>
#include <optional>

#include <nlohmann/json_fwd.hpp>

#include "mangospan/base/error.h"
#include "mangospan/config/document.h"
#include "mangospan/json/checked_json.h"

namespace mangospan::config {

// "25%", or a number of hosts.
status
ReadValue(const nlohmann::json& aValue,
          const json::location& aWhere,
          availability_budget& aInto);
nlohmann::json
WriteValue(const availability_budget& aBudget);

// "99% within 2s"; "within 2s" is 100%.
status
ReadValue(const nlohmann::json& aValue,
          const json::location& aWhere,
          target& aInto);
nlohmann::json
WriteValue(const target& aTarget);

// "02:00-04:30".
status
ReadValue(const nlohmann::json& aValue,
          const json::location& aWhere,
          daily_hours& aInto);
nlohmann::json
WriteValue(const daily_hours& aHours);

status
ReadValue(const nlohmann::json& aValue,
          const json::location& aWhere,
          preference& aInto);
nlohmann::json
WriteValue(preference aPreference);

namespace internal {

// "14d", "36h": a duration that is a whole number of hours or seconds.
status
ReadValue(const nlohmann::json& aValue,
          const json::location& aWhere,
          std::chrono::hours& aInto);
status
ReadValue(const nlohmann::json& aValue,
          const json::location& aWhere,
          std::chrono::seconds& aInto);
nlohmann::json
WriteValue(std::chrono::milliseconds aDuration);

status
ReadValue(const nlohmann::json& aValue,
          const json::location& aWhere,
          std::optional<bool>& aInto);
nlohmann::json
WriteValue(const std::optional<bool>& aValue);

} // namespace internal

} // namespace mangospan::config

#endif // MANGOSPAN_CONFIG_INTERNAL_UNITS_H
