// The keys of one class of work and of its match rule.
#ifndef MANGOSPAN_CONFIG_INTERNAL_WORK_CLASS_FIELDS_H
#define MANGOSPAN_CONFIG_INTERNAL_WORK_CLASS_FIELDS_H

#include <nlohmann/json_fwd.hpp>

#include "mangospan/base/error.h"
#include "mangospan/config/document.h"
#include "mangospan/json/checked_json.h"

namespace mangospan::config {

status
ReadValue(const nlohmann::json& aValue,
          const json::location& aWhere,
          match_rule& aInto);
nlohmann::json
WriteValue(const match_rule& aValue);

status
ReadValue(const nlohmann::json& aValue,
          const json::location& aWhere,
          work_class& aInto);
nlohmann::json
WriteValue(const work_class& aValue);

} // namespace mangospan::config

#endif // MANGOSPAN_CONFIG_INTERNAL_WORK_CLASS_FIELDS_H
