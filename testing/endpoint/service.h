// Many runners in one process, each at its own address, and their control.
//
//   endpoint_service service(io, clock, fleet);
//   BOOST_OUTCOME_TRY(service.Start());
//
// Control: POST /control/runners/<host> {"action":"start|stop","service"},
// POST /control/faults/<host> {"kind","delay_ms"}, GET /journal, GET /summary.
#ifndef TESTING_ENDPOINT_SERVICE_H
#define TESTING_ENDPOINT_SERVICE_H

#include <memory>

#include "mangospan/base/error.h"
#include "mangospan/base/time.h"
#include "mangospan/http/message.h"
#include "testing/fleet/fleet_file.h"
#include "testing/http/fault_server.h"

namespace boost::asio {
class io_context;
}

namespace mangospan::standin {

class endpoint_service
{
public:
  endpoint_service(boost::asio::io_context& aIo,
                   const clock_source& aClock,
                   const fleet_file& aFleet);
  ~endpoint_service();
  endpoint_service(const endpoint_service&) = delete;
  endpoint_service& operator=(const endpoint_service&) = delete;

  // Listens at the address of each worker whose host runs a service.
  status Start();

  // Answers one request to the control address.
  void HandleControl(const http::request& aRequest, const replier& aReply);

private:
  class impl;
  std::shared_ptr<impl> mImpl;
};

} // namespace mangospan::standin

#endif // TESTING_ENDPOINT_SERVICE_H
