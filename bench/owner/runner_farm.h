// Runners behind one HTTP server, in a thread of their own so that the owner's
// processor time stays apart. A call's header says which runner it is for.
#ifndef MANGOSPAN_BENCH_OWNER_RUNNER_FARM_H
#define MANGOSPAN_BENCH_OWNER_RUNNER_FARM_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "mangospan/base/time.h"
#include "mangospan/http/server.h"
#include "mangospan/jobs/testing/fake_runner.h"

namespace mangospan::bench {

class runner_farm
{
public:
  // Every task takes `aTask`.
  runner_farm(std::size_t aRunners,
              jobs::resources aCapacity,
              std::chrono::milliseconds aTask,
              jobs::resources aNeed);
  ~runner_farm();
  runner_farm(const runner_farm&) = delete;
  runner_farm& operator=(const runner_farm&) = delete;

  const std::vector<jobs::runner_info>& Infos() const { return mInfos; }

private:
  struct held_poll
  {
    jobs::poll_order mOrder;
    std::uint64_t mTerm = 0;
    time_point mUntil{};
    http::responder mRespond;
  };
  struct member
  {
    std::unique_ptr<jobs::testing::fake_runner> mRunner;
    std::vector<held_poll> mHeld;
  };

  void Serve(const http::request& aRequest, const http::responder& aRespond);
  void Start(member& aMember,
             const http::request& aRequest,
             const http::responder& aRespond);
  void Poll(member& aMember,
            const http::request& aRequest,
            const http::responder& aRespond);
  void Tick();
  void AnswerHeld(member& aMember);

  boost::asio::io_context mIo{ 1 };
  const system_clock_source mClock;
  boost::asio::steady_timer mTimer;
  std::unique_ptr<http::server> mServer;
  std::vector<jobs::runner_info> mInfos;
  std::map<std::string, member> mMembers;
  std::thread mThread;
};

} // namespace mangospan::bench

#endif // MANGOSPAN_BENCH_OWNER_RUNNER_FARM_H
