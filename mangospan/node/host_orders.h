// Which hosts were ordered to move or to go down lately, as announced in the
// store before each order. A new owner of a pool's jobs leaves their runners
// alone; a new owner of the fleet leaves the hosts alone for a while.
#ifndef MANGOSPAN_NODE_HOST_ORDERS_H
#define MANGOSPAN_NODE_HOST_ORDERS_H

#include <map>
#include <string>
#include <string_view>

#include "mangospan/base/error.h"
#include "mangospan/base/identity.h"
#include "mangospan/jobs/orders.h"

namespace mangospan::node {

inline constexpr const char* kHostOrdersKey = "mangospan/orders";

struct host_order
{
  jobs::wall_time mAt;
  jobs::runner_name mRunner; // empty: it had none
};

using host_orders = std::map<host_name, host_order>;

std::string
Encode(const host_orders& aOrders);
// Errors: kInvalidArgument.
result<host_orders>
DecodeHostOrders(std::string_view aText);

} // namespace mangospan::node

#endif // MANGOSPAN_NODE_HOST_ORDERS_H
