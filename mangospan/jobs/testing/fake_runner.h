// A runner in virtual time: leases, fences, boots, ends that are repeated until
// they are acknowledged. For tests.
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

struct fake_run
{
  std::uint32_t mNumber = 0;
  time_point mEndsAt{};
  bool mWillFail = false;
  resources mNeed;
};

// What a task does once it is started.
struct fake_work
{
  std::chrono::milliseconds mDuration{ 0 }; // a lasting task: very long
  bool mWillFail = false;
  resources mNeed;
};

class fake_runner
{
public:
  using work_source = std::function<fake_work(const std::string& aTask)>;
  // Called for each run that begins and for each that ends.
  using begin_hook = std::function<void(const std::string&, std::uint32_t)>;
  using end_hook =
    std::function<void(const std::string&, std::uint32_t, run_end)>;

  fake_runner(runner_info aInfo, double aClockRate, time_point aNow);

  // `aOnNoted` is called for each end that the owner has acknowledged.
  void SetHooks(work_source aWork,
                begin_hook aOnBegin,
                end_hook aOnEnd,
                end_hook aOnNoted);

  // Ends what is due by `aNow`: work that is done, and leases that are over.
  void Advance(time_point aNow);
  order_outcome Start(const start_order& aOrder,
                      std::uint64_t aTerm,
                      time_point aNow);
  order_outcome Stop(const stop_order& aOrder,
                     std::uint64_t aTerm,
                     time_point aNow);
  // No report if the order is fenced.
  std::optional<look_report> Look(const look_order& aOrder,
                                  std::uint64_t aTerm,
                                  time_point aNow);
  // Loses all it knows and starts again as another boot.
  void Crash(time_point aNow);

  const runner_info& Info() const { return mInfo; }
  const std::map<std::string, fake_run>& Runs() const { return mRuns; }
  bool mIsReachable = true;

private:
  runner_time Clock(time_point aNow) const;
  bool IsFenced(std::uint64_t aTerm);
  void End(const std::string& aTask, run_end aEnd);

  runner_info mInfo;
  const double mClockRate;
  time_point mBootAt;
  std::uint64_t mTerm = 0;
  runner_time mLeaseUntil{ 0 };
  std::map<std::string, fake_run> mRuns;
  std::map<std::string, std::uint32_t> mHighest; // run that ended or stopped
  std::vector<ended_run> mEnded;
  std::uint64_t mEnds = 0;
  work_source mWork;
  begin_hook mOnBegin;
  end_hook mOnEnd;
  end_hook mOnNoted;
};

} // namespace mangospan::jobs::testing

#endif // MANGOSPAN_JOBS_TESTING_FAKE_RUNNER_H
