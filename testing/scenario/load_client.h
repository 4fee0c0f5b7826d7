// Plays the callers: sends requests at a constant rate, whether or not earlier
// ones have been answered, and records what became of each. A caller stays in
// its zone, as with the platform's balancer, while anything there takes its
// requests.
//
//   load_client load(io, seed, targets);
//   load.Start(options);
//   loop.RunUntil([&] { return load.Done(); }, std::chrono::seconds(30));
#ifndef TESTING_SCENARIO_LOAD_CLIENT_H
#define TESTING_SCENARIO_LOAD_CLIENT_H

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "testing/scenario/attempt.h"
#include "testing/scenario/step.h"

namespace boost::asio {
class io_context;
}

namespace mangospan::scenario {

// Where a request can be sent.
struct load_target
{
  std::string mName;
  std::string mAddress;
  std::string mZone;
};

// The targets that the balancer offers now for a service.
using target_source =
  std::function<std::vector<load_target>(const std::string& aService)>;

class load_client
{
public:
  // `aSeed` decides services and methods.
  load_client(boost::asio::io_context& aIo,
              std::uint64_t aSeed,
              target_source aTargets);
  ~load_client();
  load_client(const load_client&) = delete;
  load_client& operator=(const load_client&) = delete;

  void Start(const load_options& aOptions);
  // True once every request has ended.
  bool Done() const;

  const std::deque<attempt>& Attempts() const;

private:
  class impl;
  std::shared_ptr<impl> mImpl;
};

} // namespace mangospan::scenario

#endif // TESTING_SCENARIO_LOAD_CLIENT_H
