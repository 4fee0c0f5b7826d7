#include "mangospan/daemon/cut_switch.h"

#include <string>
#include <string_view>

#include "mangospan/base/identity.h"

namespace mangospan::daemon {

http::response
SwitchCut(wire::traffic_gate& aGate, const http::request& aRequest)
{
  const std::string_view path = http::Path(aRequest);
  const std::string zone(http::QueryValue(aRequest, "zone"));
  const std::string host(http::QueryValue(aRequest, "host"));
  if (path == "/test/heal") {
    aGate.Clear();
  } else if (path == "/test/cut" && zone.empty() != host.empty()) {
    if (host.empty()) {
      aGate.BlockZone(zone_name(zone));
    } else {
      aGate.BlockHost(host_name(host));
    }
  } else {
    return http::JsonResponse(
      400,
      R"({"message":"use /test/cut?zone=Z, /test/cut?host=H or /test/heal"})");
  }
  return http::JsonResponse(200, "{}");
}

} // namespace mangospan::daemon
