#include "mangospan/node/host_orders.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace mangospan::node {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr const char* kReservedForKey = "reserved_ms";
constexpr const char* kWaveKey = "wave";
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
    json order{ { kReservedForKey, each.mReservedFor.count() },
                { "runner", each.mRunner.Str() } };
    if (each.mWave) {
      order[kWaveKey] = *each.mWave;
    }
    out[host.Str()] = std::move(order);
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
        jobs::runner_name{ each.at("runner").get<std::string>() },
        each.contains(kWaveKey)
          ? std::optional(each.at(kWaveKey).get<std::uint64_t>())
          : std::nullopt
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
