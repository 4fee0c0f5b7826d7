// The record of hosts that were recently ordered to move or to go down. The
// owner of the fleet writes it to the store before it sends each order. A new
// owner of a pool's jobs does not use the runners of these hosts, and a new
// owner of the fleet sends no orders to these hosts for a while.
#ifndef MANGOSPAN_NODE_HOST_ORDERS_H
#define MANGOSPAN_NODE_HOST_ORDERS_H

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "mangospan/base/error.h"
#include "mangospan/base/identity.h"
#include "mangospan/jobs/orders.h"

namespace mangospan::node {

// The store key of the record.
inline constexpr const char* kHostOrdersKey = "mangospan/orders";

// The last order to a host: a move or maintenance.
struct host_order
{
  // How long from the writing of the record no other owner of the fleet may
  // order the host. Not a time of day: that of the next owner's host may be
  // ahead by any amount, or jump.
  std::chrono::milliseconds mReservedFor{ 0 };
  jobs::runner_name mRunner; // on the host at that time; empty if none
  // The wave of an order to go down for maintenance that may still be executed;
  // unset for a move, and for an order that was answered.
  std::optional<std::uint64_t> mWave{};
};

using host_orders = std::map<host_name, host_order>;

// Returns the orders as JSON text.
std::string
Encode(const host_orders& aOrders);
// Returns the orders encoded in `aText`. Errors: kInvalidArgument.
result<host_orders>
DecodeHostOrders(std::string_view aText);

} // namespace mangospan::node

#endif // MANGOSPAN_NODE_HOST_ORDERS_H
