// A stand-in for a runner: one machine's worker, which starts, stops and holds
// work units over HTTP as the platform's pages say.
#ifndef REVIEW_STANDINS_2_RUNNER_H
#define REVIEW_STANDINS_2_RUNNER_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "mangospan/base/error.h"
#include "mangospan/base/time.h"
#include "mangospan/http/server.h"
#include "mangospan/jobs/orders.h"
#include "mangospan/jobs/testing/fake_runner.h"

namespace mangospan::review {

// Notes one line of what happens, for the record of the case.
using note_function = std::function<void(const std::string&)>;

// What a runner tells of the work units on it.
struct runner_events
{
  note_function mNote;
  std::function<void(const std::string& aTask, std::uint32_t aRun)> mOnBegin;
  std::function<
    void(const std::string& aTask, std::uint32_t aRun, jobs::run_end aEnd)>
    mOnEnd;
};

// A work unit's specification holds its work in milliseconds.
class runner : public std::enable_shared_from_this<runner>
{
public:
  runner(boost::asio::io_context& aIo,
         const clock_source& aClock,
         jobs::runner_info aInfo,
         runner_events aEvents);

  // Boots and listens, at the same address each time. Errors: kUnavailable.
  status Boot();
  // Ends everything that runs there and stops answering.
  void Crash();
  // Ends everything that runs there. From now on, calls get no answer.
  void GoDark();
  bool IsUp() const { return mServer && !mIsDark; }
  void Advance();
  std::string Name() const { return mInfo.mName.Str(); }
  const jobs::runner_info& Info() const { return mInfo; }
  // Returns what the runner writes to the store about itself.
  std::string DiscoveryRecord() const;

private:
  void EndRuns(const std::string& aWhat);
  void Answer(const http::request& aRequest, const http::responder& aRespond);
  void Poll(const jobs::poll_order& aOrder,
            std::uint64_t aTerm,
            time_point aWaitEnd,
            const http::responder& aRespond);
  http::response ResponseTo(jobs::order_outcome aOutcome) const;
  std::int64_t ClockMs() const;

  boost::asio::io_context& mIo;
  const clock_source& mClock;
  jobs::runner_info mInfo;
  const runner_events mEvents;
  time_point mBootedAt{};
  std::unique_ptr<jobs::testing::fake_runner> mRuns;
  std::unique_ptr<http::server> mServer;
  bool mIsDark = false;
  std::map<std::string, std::chrono::milliseconds> mWork; // by work unit
};

// Returns the word of the platform's pages for the end of a run.
const char*
Word(jobs::run_end aEnd);

} // namespace mangospan::review

#endif // REVIEW_STANDINS_2_RUNNER_H
