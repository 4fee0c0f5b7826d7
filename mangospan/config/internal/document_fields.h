// The keys of the whole configuration.
#ifndef MANGOSPAN_CONFIG_INTERNAL_DOCUMENT_FIELDS_H
#define MANGOSPAN_CONFIG_INTERNAL_DOCUMENT_FIELDS_H

#include <nlohmann/json_fwd.hpp>

#include "mangospan/base/error.h"
#include "mangospan/config/document.h"
#include "mangospan/json/checked_json.h"

namespace mangospan::config {

status
ReadValue(const nlohmann::json& aValue,
          const json::location& aWhere,
          document& aInto);
nlohmann::json
WriteValue(const document& aValue);

} // namespace mangospan::config

#endif // MANGOSPAN_CONFIG_INTERNAL_DOCUMENT_FIELDS_H
