// The scenario's one thread: steps wait here while the load goes on.
//
//   event_loop loop;
//   loop.RunUntil([&] { return done; }, std::chrono::seconds(5));
#ifndef TESTING_SCENARIO_EVENT_LOOP_H
#define TESTING_SCENARIO_EVENT_LOOP_H

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "mangospan/base/error.h"
#include "mangospan/http/message.h"

namespace boost::asio {
class io_context;
}

namespace mangospan::scenario {

class event_loop
{
public:
  event_loop();
  ~event_loop();
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;

  boost::asio::io_context& Io();

  void RunFor(std::chrono::milliseconds aDuration);
  // True as soon as the condition holds, false once the time is over.
  bool RunUntil(const std::function<bool()>& aCondition,
                std::chrono::milliseconds aWithin);

  // One request, waited for.
  result<http::response> Call(const std::string& aAddress,
                              http::request aRequest,
                              std::chrono::milliseconds aTimeout);

private:
  class impl;
  std::unique_ptr<impl> mImpl;
};

http::request
Get(const std::string& aTarget);
http::request
Post(const std::string& aTarget, const std::string& aBody);

} // namespace mangospan::scenario

#endif // TESTING_SCENARIO_EVENT_LOOP_H
