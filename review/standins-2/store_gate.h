// The way from one node to the platform's store, which can be cut.
#ifndef REVIEW_STANDINS_2_STORE_GATE_H
#define REVIEW_STANDINS_2_STORE_GATE_H

#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "mangospan/base/error.h"
#include "mangospan/http/client.h"
#include "mangospan/http/server.h"

namespace mangospan::review {

// Passes each call on to the store, and its answer back.
class store_gate : public std::enable_shared_from_this<store_gate>
{
public:
  store_gate(boost::asio::io_context& aIo, std::string aStoreAddress);

  // Listens, at the same address each time. Errors: kUnavailable.
  status Open();
  // Closes all connections, and refuses new ones.
  void Cut();
  const std::string& Address() const { return mAddress; }

private:
  void PassOn(const http::request& aRequest, const http::responder& aRespond);

  boost::asio::io_context& mIo;
  http::client mClient;
  const std::string mStoreAddress;
  std::string mAddress;
  std::unique_ptr<http::server> mServer;
};

} // namespace mangospan::review

#endif // REVIEW_STANDINS_2_STORE_GATE_H
