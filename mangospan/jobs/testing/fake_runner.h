// A simulated runner for tests in virtual time. It has leases, fencing by term
// and boots, and reports each ended run until the owner acknowledges it.
#ifndef MANGOSPAN_JOBS_TESTING_FAKE_RUNNER_H
#define MANGOSPAN_JOBS_TESTING_FAKE_RUNNER_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "mangospan/base/time.h"
#include "mangospan/jobs/orders.h"

namespace mangospan::jobs::testing {

// A live run on a fake runner.
struct fake_run
{
  std::uint32_t mNumber = 0;
  time_point mEndsAt{}; // When the work of the run is done.
  bool mWillFail = false;
  resources mResources;
};

// The work that a task does once it is started.
struct fake_work
{
  std::chrono::milliseconds mDuration{
    0
  }; // Very long for a long-running task.
  bool mWillFail = false;
  resources mResources;
};

class fake_runner
{
public:
  // Returns the work of a task, given the text form of its id.
  using work_source = std::function<fake_work(const std::string& aTask)>;
  // Called with the task and the run number for each run that begins.
  using begin_hook = std::function<void(const std::string&, std::uint32_t)>;
  // Called with the task, the run number and the reason for each run that ends.
  using end_hook =
    std::function<void(const std::string&, std::uint32_t, run_end)>;
  // Called with the same when the owner acknowledges that end, and with whether
  // the lease has expired between the two. An owner may start such a task again
  // before it learns of the end.
  using acknowledge_hook =
    std::function<void(const std::string&, std::uint32_t, run_end, bool)>;

  // `aClockRate` is the rate of the runner's clock relative to virtual time.
  // The runner boots at `aNow`.
  fake_runner(runner_info aInfo, double aClockRate, time_point aNow);

  // Must be called before the first order.
  void SetHooks(work_source aWork,
                begin_hook aOnBegin,
                end_hook aOnEnd,
                acknowledge_hook aOnAcknowledged);

  // Ends the runs whose work is done by `aNow` and, if the lease has expired by
  // then, all others.
  void Advance(time_point aNow);
  // `Start`, `Stop` and `Poll` execute an order of an owner with the term
  // `aTerm` and refuse it if the runner has seen a higher term.
  order_outcome Start(const start_order& aOrder,
                      std::uint64_t aTerm,
                      time_point aNow);
  order_outcome Stop(const stop_order& aOrder,
                     std::uint64_t aTerm,
                     time_point aNow);
  // Answers a poll. Returns nothing if the order is fenced.
  std::optional<poll_report> Poll(const poll_order& aOrder,
                                  std::uint64_t aTerm,
                                  time_point aNow);
  // Ends all runs, loses all state and starts again as another boot.
  void Crash(time_point aNow);

  const runner_info& Info() const { return mInfo; }
  const std::map<std::string, fake_run>& Runs() const { return mRuns; }
  // Whether orders reach the runner; kept here for the test that delivers them.
  bool mIsReachable = true;

private:
  // Returns the runner's clock at `aNow`.
  runner_time Clock(time_point aNow) const;
  void ExtendLease(runner_time aUntil, time_point aNow);
  // Returns whether the runner has seen a higher term; otherwise remembers this
  // one.
  bool IsFenced(std::uint64_t aTerm);
  // Ends the live run of the task and keeps the end to be reported.
  void End(const std::string& aTask, run_end aEnd);

  runner_info mInfo;
  const double mClockRate;
  time_point mBootAt;
  std::uint64_t mTerm = 0; // The highest term seen.
  runner_time mLeaseUntil{ 0 };
  std::map<std::string, fake_run> mRuns; // The live run of each task.
  // The highest run number of each task that has ended or was told to stop.
  std::map<std::string, std::uint32_t> mHighestEndedRun;
  std::vector<ended_run> mEnded; // Not yet acknowledged, oldest first.
  std::uint64_t mEndCount = 0;   // The number of runs that ended in this boot.
  // How many of them had ended when the lease was last seen to be over.
  std::uint64_t mEndsBeforeExpiry = 0;
  work_source mWork;
  begin_hook mOnBegin;
  end_hook mOnEnd;
  acknowledge_hook mOnAcknowledged;
};

} // namespace mangospan::jobs::testing

#endif // MANGOSPAN_JOBS_TESTING_FAKE_RUNNER_H
