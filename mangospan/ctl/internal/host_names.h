// Lists of hosts as they are printed.
#ifndef MANGOSPAN_CTL_INTERNAL_HOST_NAMES_H
#define MANGOSPAN_CTL_INTERNAL_HOST_NAMES_H

#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "mangospan/base/identity.h"

namespace mangospan::ctl {

// "ra-a-1, ra-a-2".
std::string
Joined(const std::vector<host_name>& aHosts);

nlohmann::json
ToJson(const std::vector<host_name>& aHosts);

} // namespace mangospan::ctl

#endif // MANGOSPAN_CTL_INTERNAL_HOST_NAMES_H
