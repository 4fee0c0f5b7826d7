// Free addresses on loopback for processes that are restarted at their address.
//
//   free_ports ports;
//   BOOST_OUTCOME_TRY(address, ports.NewAddress()); // "127.0.0.1:12345"
#ifndef TESTING_SCENARIO_FREE_PORTS_H
#define TESTING_SCENARIO_FREE_PORTS_H

#include <string>

#include "mangospan/base/error.h"

namespace mangospan::scenario {

class free_ports
{
public:
  free_ports();

  // Returns an address that is free now and was not returned before. Errors:
  // kUnavailable.
  result<std::string> NewAddress();

private:
  unsigned mNextPort;
};

} // namespace mangospan::scenario

#endif // TESTING_SCENARIO_FREE_PORTS_H
