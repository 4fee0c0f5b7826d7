// Runs the event loop until one asynchronous call has answered.
//
//   auto answer = Await<http::response>(io, "dump", address, [&](auto aHandler)
//   {
//     client.Send(address, request, timeout, std::move(aHandler));
//   });
#ifndef MANGOSPAN_CTL_INTERNAL_AWAIT_H
#define MANGOSPAN_CTL_INTERNAL_AWAIT_H

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>

#include "mangospan/base/error.h"

namespace mangospan::ctl {

// `aStart` is given the handler to call. Errors: those of the call, with
// `aPeer` as the peer.
template<typename T, typename Start>
result<T>
Await(boost::asio::io_context& aIo,
      const char* aStep,
      const std::string& aPeer,
      Start aStart)
{
  // Shared, because a handler may outlive this call.
  auto answer = std::make_shared<std::optional<result<T>>>();
  aStart([answer](result<T> aResult) { *answer = std::move(aResult); });
  aIo.restart();
  while (!answer->has_value() && aIo.run_one() > 0) {
  }
  if (!answer->has_value()) {
    return error{ error_code::kInternal, aStep, aPeer, "no answer" };
  }
  result<T> outcome = std::move(**answer);
  if (outcome.has_error()) {
    error failure = outcome.assume_error();
    failure.mPeer = aPeer;
    return failure;
  }
  return outcome;
}

} // namespace mangospan::ctl

#endif // MANGOSPAN_CTL_INTERNAL_AWAIT_H
