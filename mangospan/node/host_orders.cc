#include "mangospan/node/host_orders.h"

#include <nlohmann/json.hpp>

namespace mangospan::node {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr const char* kReservedForKey = "reserved_ms";
// Records of earlier versions hold a time of day, which is not used.
constexpr const char* kOrderedAtKey = "at_ms";
// Longer than a host is reserved by any usual setting.
constexpr milliseconds kUnknownReservation{ 10'000 };

} // namespace

std::string
Encode(const host_orders& aOrders)
{
  json out = json::object();
  for (const auto& [host, each] : aOrders) {
    out[host.Str()] = { { kReservedForKey, each.mReservedFor.count() },
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
        each.contains(kOrderedAtKey)
          ? kUnknownReservation
          : milliseconds(each.at(kReservedForKey).get<std::int64_t>()),
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
