#include "mangospan/node/host_orders.h"

#include <nlohmann/json.hpp>

namespace mangospan::node {

using nlohmann::json;
using std::chrono::milliseconds;

std::string
Encode(const host_orders& aOrders)
{
  json out = json::object();
  for (const auto& [host, each] : aOrders) {
    const auto at = std::chrono::duration_cast<milliseconds>(
      each.mOrderedAt.time_since_epoch());
    out[host.Str()] = { { "at_ms", at.count() },
                        { "runner", each.mRunner.Str() } };
  }
  return out.dump();
}

result<host_orders>
DecodeHostOrders(std::string_view aText)
{
  try {
    host_orders out;
    const json body = json::parse(aText);
    for (const auto& [host, each] : body.items()) {
      out[host_name{ host }] = {
        jobs::wall_time(milliseconds(each.at("at_ms").get<std::int64_t>())),
        jobs::runner_name{ each.at("runner").get<std::string>() }
      };
    }
    return out;
  } catch (const std::exception& failure) {
    return error{ error_code::kInvalidArgument,
                  "orders.decode",
                  kHostOrdersKey,
                  failure.what() };
  }
}

} // namespace mangospan::node
