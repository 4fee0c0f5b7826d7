// The keys of a settings file, and how each is read and checked.
//
//   BOOST_OUTCOME_TRY(settings,
//                     ReadSettings(value, where, program::kEntry));
#ifndef MANGOSPAN_SETTINGS_INTERNAL_FIELDS_H
#define MANGOSPAN_SETTINGS_INTERNAL_FIELDS_H

#include <nlohmann/json_fwd.hpp>

#include "mangospan/base/error.h"
#include "mangospan/json/checked_json.h"
#include "mangospan/settings/settings.h"

namespace mangospan::settings::internal {

result<process_settings>
ReadSettings(const nlohmann::json& aValue,
             const json::location& aWhere,
             program aProgram);

} // namespace mangospan::settings::internal

#endif // MANGOSPAN_SETTINGS_INTERNAL_FIELDS_H
