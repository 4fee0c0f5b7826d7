// A runner of the platform that nodes reach over HTTP. It runs no work: a run
// lasts as long as the script says, and a long-running one until it is stopped.
#ifndef REVIEW_STANDINS_RUNNER_H
#define REVIEW_STANDINS_RUNNER_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "mangospan/base/error.h"
#include "mangospan/base/time.h"
#include "mangospan/http/server.h"

namespace mangospan::review {

// How a runner is listed in service discovery.
struct runner_options
{
  std::string mName;
  std::string mAddress; // of loopback, free
  std::string mService;
  std::string mMachine;
  std::string mRack;
  std::string mLabel;
  std::int64_t mCpu = 4'000; // thousandths of a core
};

class runner
{
public:
  // Returns the length of a run of the task; zero if it lasts until stopped.
  using work_source =
    std::function<std::chrono::milliseconds(const std::string& aTask)>;
  // Called with one line for each run that begins or ends.
  using event_handler = std::function<void(const std::string& aLine)>;

  runner(boost::asio::io_context& aIo,
         const clock_source& aClock,
         runner_options aOptions,
         work_source aWork,
         event_handler aOnEvent);

  // Starts the runner, as a new boot. Errors: kUnavailable.
  status Start();
  // Ends the runner without a word: its runs and its connections are gone.
  void Crash();
  bool IsUp() const { return mServer != nullptr; }
  const runner_options& Options() const { return mOptions; }
  // Returns the entry in service discovery.
  std::string DiscoveryRecord() const;
  // Returns for how long a run of the task has been at work; negative if none.
  std::chrono::milliseconds AgeOf(const std::string& aTask);
  std::size_t RunCount();
  // Ends the runs that are done or whose lease is over by now.
  void Advance();

private:
  struct live_run
  {
    std::uint32_t mNumber = 0;
    time_point mBegan{};
    std::chrono::milliseconds mLength{ 0 };
  };

  std::chrono::milliseconds Clock() const;
  void Answer(const http::request& aRequest, const http::responder& aRespond);
  http::response Accepted() const;
  http::response Refused(const char* aReason) const;
  http::response StartRun(const nlohmann::json& aBody);
  http::response StopRun(const nlohmann::json& aBody);
  void Poll(std::uint64_t aLastSeen,
            time_point aWaitEnd,
            std::int64_t aBoot,
            const http::responder& aRespond);
  std::string Report() const;
  void End(const std::string& aTask, const char* aHow);

  boost::asio::io_context& mIo;
  const clock_source& mClock;
  const runner_options mOptions;
  const work_source mWork;
  const event_handler mOnEvent;
  std::unique_ptr<http::server> mServer;
  std::int64_t mBoot = 0; // Unix time of the start in milliseconds
  time_point mStartedAt{};
  std::uint64_t mToken = 0; // the highest fencing token seen
  std::chrono::milliseconds mLeaseUntil{ 0 };
  std::map<std::string, live_run> mRuns;
  std::map<std::string, std::uint32_t> mHighestEnded;
  std::uint64_t mEndCount = 0;
  std::vector<nlohmann::json> mEnds; // rows that were not acknowledged
};

} // namespace mangospan::review

#endif // REVIEW_STANDINS_RUNNER_H
