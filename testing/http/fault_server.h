// An HTTP/1.1 server that can also answer wrongly, for the stand-ins.
//
// Each reply says how it is delivered: whole, cut in the middle, twice, or as a
// connection that closes without one byte.
//
//   fault_server server(io, {}, [](const http::request&, const replier& aReply)
//   {
//     aReply({ http::JsonResponse(200, "{}"), delivery::kCutMidway });
//   });
//   BOOST_OUTCOME_TRY(server.Listen("127.0.0.1:0"));
#ifndef TESTING_HTTP_FAULT_SERVER_H
#define TESTING_HTTP_FAULT_SERVER_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "mangospan/base/error.h"
#include "mangospan/http/message.h"

namespace boost::asio {
class io_context;
}

namespace mangospan::standin {

enum class delivery
{
  kWhole,
  kCutMidway, // half of the bytes, then the connection closes
  kTwice,     // an unsolicited copy follows the answer
  kDrop,      // the connection closes without an answer
};

struct reply
{
  http::response mResponse;
  delivery mDelivery = delivery::kWhole;
};

using replier = std::function<void(reply)>;

struct fault_server_options
{
  std::size_t mMaxBodyBytes = 8UL * 1024 * 1024;
  std::size_t mMaxConnections = 4096; // further ones are closed and counted
};

class fault_server
{
public:
  using handler = std::function<void(const http::request&, const replier&)>;

  fault_server(boost::asio::io_context& aIo,
               fault_server_options aOptions,
               handler aHandler);
  ~fault_server();
  fault_server(const fault_server&) = delete;
  fault_server& operator=(const fault_server&) = delete;

  // Binds to "ip:port" (port 0: any). Errors: kInvalidArgument, kUnavailable.
  status Listen(std::string_view aAddress);
  unsigned short Port() const;

  // Takes no further connections; open ones go on.
  void StopAccepting();
  // Closes the listener and every connection at once.
  void CutAll();

  std::size_t OpenConnections() const;
  std::uint64_t RejectedConnections() const;

private:
  class impl;
  std::shared_ptr<impl> mImpl;
};

} // namespace mangospan::standin

#endif // TESTING_HTTP_FAULT_SERVER_H
