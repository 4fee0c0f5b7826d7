// Processor time that one owner takes for each task, at the worst load: a queue
// at five times its mean, on a pool that holds it. Or, with --burst, the
// processor time for each of as many submissions at once, which wait for their
// write behind each other.
#include <ctime>
#include <iostream>
#include <memory>
#include <string>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "bench/owner/runner_farm.h"
#include "mangospan/base/log.h"
#include "mangospan/daemon/metrics.h"
#include "mangospan/http/client.h"
#include "mangospan/node/owner.h"
#include "mangospan/node/testing/memory_store.h"
#include "mangospan/node/testing/runner_records.h"
#include "platform/runner_client.h"

namespace {

using namespace mangospan;
using std::chrono::milliseconds;

constexpr milliseconds kSubmitTick{ 2 };
constexpr milliseconds kPatience{ 3'000 };
constexpr milliseconds kBurstPatience{ 60'000 };
constexpr std::size_t kIdlePerAddress = 20'000;

struct load
{
  std::size_t mRunners = 180;
  double mJobsPerSecond = 180;
  std::size_t mTasks = 13; // of a job
  int mSeconds = 8;
  std::size_t mBurst = 0; // jobs at once instead, on a pool without runners
};

double
ProcessorSeconds()
{
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) +
         static_cast<double>(now.tv_nsec) / 1e9;
}

jobs::catalog
OneQueue()
{
  jobs::queue_policy queue;
  queue.mName = jobs::queue_name{ "queue" };
  queue.mService = service_name{ "work" };
  queue.mMaxAttempts = 3;
  queue.mTargetLatency = milliseconds(600);
  jobs::catalog out;
  out.mVersion = 1;
  out.mQueues.emplace(queue.mName, queue);
  out.mServices.emplace(queue.mService,
                        jobs::service_policy{ queue.mService, false });
  return out;
}

jobs::job_spec
OneJob(const load& aLoad)
{
  jobs::step_spec step;
  step.mTaskCount = aLoad.mTasks;
  step.mTaskResources = { 1'500, 1'024, 0 };
  step.mEstimate = milliseconds(800);
  jobs::job_spec out;
  out.mQueue = jobs::queue_name{ "queue" };
  out.mPayload = std::string(200, 'x');
  out.mSteps = { step };
  return out;
}

class bench_run
{
public:
  bench_run(boost::asio::io_context& aIo, node::owner& aOwner, load aLoad)
    : mIo(aIo)
    , mTimer(aIo)
    , mOwner(aOwner)
    , mLoad(aLoad)
    , mSpec(OneJob(aLoad))
    , mBegan(mClock.Now())
  {
  }

  void Tick()
  {
    const double since =
      std::chrono::duration<double>(mClock.Now() - mBegan).count();
    if (since >= mLoad.mSeconds) {
      mIo.stop();
      return;
    }
    while (static_cast<double>(mSent) < since * mLoad.mJobsPerSecond) {
      Submit();
    }
    mTimer.expires_after(kSubmitTick);
    mTimer.async_wait(
      [this](const boost::system::error_code& /*aAbort*/) { Tick(); });
  }
  // Submits the burst, and stops the loop once all of it is answered.
  void SendBurst()
  {
    while (mSent < mLoad.mBurst) {
      Submit();
    }
  }
  std::size_t Sent() const { return mSent; }
  std::size_t Accepted() const { return mAccepted; }

private:
  void Submit()
  {
    std::string name = std::to_string(++mSent);
    name.insert(0, 16 - name.size(), '0');
    mOwner.Submit(jobs::job_name{ name },
                  mSpec,
                  mLoad.mBurst > 0 ? kBurstPatience : kPatience,
                  [this](const node::job_reply& aReply) {
                    mAccepted += aReply.mKind == node::reply_kind::kOk ? 1 : 0;
                    if (++mAnswered == mLoad.mBurst) {
                      mIo.stop();
                    }
                  });
  }

  boost::asio::io_context& mIo;
  boost::asio::steady_timer mTimer;
  node::owner& mOwner;
  const system_clock_source mClock;
  const load mLoad;
  const jobs::job_spec mSpec;
  const time_point mBegan;
  std::size_t mSent = 0;
  std::size_t mAccepted = 0;
  std::size_t mAnswered = 0;
};

int
Run(const load& aLoad)
{
  boost::asio::io_context io{ 1 };
  const system_clock_source clock;
  daemon::metrics metrics;
  http::client_options options;
  options.mMaxIdlePerAddress = kIdlePerAddress;
  http::client client(io, options);
  node::testing::memory_store store(io);
  adapter::runner_client runners(client);
  const bench::runner_farm farm(aLoad.mBurst > 0 ? 0 : aLoad.mRunners,
                                { 16'000, 64'000, 0 },
                                milliseconds(800),
                                { 1'500, 1'024, 0 });
  node::testing::runner_records format;
  for (const jobs::runner_info& each : farm.Infos()) {
    format.mInfos.emplace(each.mName, each);
    store.Put(format.RunnerPrefix() + each.mName.Str(), "{}");
  }
  const service_name service{ "work" };
  const std::string termKey =
    node::election::TermKey(node::JobsSubject(service));
  const auto one = std::make_shared<node::owner>(
    node::owner_dependencies{ io, clock, store, runners, format, metrics },
    node::owner_settings{},
    jobs::scheduler_settings{},
    service,
    node::owner_record{ 1, "bench", "", 0, store.Put(termKey, "1") },
    [&clock] {
      return node::ownership_status{ true, true, clock.Now() };
    },
    [] {});
  one->Start(OneQueue());
  while (!one->IsLoaded()) {
    io.run_one();
  }
  bench_run run(io, *one, aLoad);
  const double before = ProcessorSeconds();
  if (aLoad.mBurst > 0) {
    run.SendBurst();
  } else {
    run.Tick();
  }
  io.run();
  const double took = ProcessorSeconds() - before;
  if (aLoad.mBurst > 0) {
    const double accepted = static_cast<double>(run.Accepted());
    std::cout << "burst=" << run.Sent() << " accepted=" << run.Accepted()
              << " processor_s=" << took
              << " us_per_submission=" << took / accepted * 1e6
              << " submissions_per_s=" << accepted / took << '\n';
    one->Stop();
    return 0;
  }
  std::size_t ended = 0;
  for (const auto& [jobName, each] : one->Scheduler().Jobs()) {
    ended += jobs::IsFinal(each.mState) ? 1 : 0;
  }
  const double tasks = static_cast<double>(ended * aLoad.mTasks);
  std::cout << "runners=" << aLoad.mRunners << " sent=" << run.Sent()
            << " accepted=" << run.Accepted() << " ended=" << ended
            << " processor_s=" << took << " share=" << took / aLoad.mSeconds
            << " us_per_task=" << (tasks > 0 ? took / tasks * 1e6 : 0.0)
            << '\n';
  one->Stop();
  return 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  load wanted;
  CLI::App app{ "Processor time of one owner for each task." };
  app.add_option("--runners", wanted.mRunners, "in the pool");
  app.add_option("--jobs", wanted.mJobsPerSecond, "jobs a second");
  app.add_option("--tasks", wanted.mTasks, "of a job");
  app.add_option("--seconds", wanted.mSeconds, "of load");
  app.add_option("--burst", wanted.mBurst, "jobs at once, without runners");
  CLI11_PARSE(app, aCount, aArguments);
  return Run(wanted);
}
