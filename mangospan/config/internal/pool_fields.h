// The keys of one pool.
#ifndef MANGOSPAN_CONFIG_INTERNAL_POOL_FIELDS_H
#define MANGOSPAN_CONFIG_INTERNAL_POOL_FIELDS_H

#include <nlohmann/json_fwd.hpp>

#include "mangospan/base/error.h"
#include "mangospan/config/document.h"
#include "mangospan/json/checked_json.h"

namespace mangospan::config {

status
ReadValue(const nlohmann::json& aValue,
          const json::location& aWhere,
          pool& aInto);
nlohmann::json
WriteValue(const pool& aValue);

} // namespace mangospan::config

#endif // MANGOSPAN_CONFIG_INTERNAL_POOL_FIELDS_H
