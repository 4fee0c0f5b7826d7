#include "mangospan/ctl/internal/host_names.h"

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "mangospan/base/identity.h"

namespace mangospan::ctl {

std::string
Joined(const std::vector<host_name>& aHosts)
{
  std::string text;
  for (const host_name& host : aHosts) {
    text.append(text.empty() ? "" : ", ").append(host.Str());
  }
  return text;
}

nlohmann::json
ToJson(const std::vector<host_name>& aHosts)
{
  nlohmann::json names = nlohmann::json::array();
  for (const host_name& host : aHosts) {
    names.push_back(host.Str());
  }
  return names;
}

} // namespace mangospan::ctl
