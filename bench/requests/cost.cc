#include "bench/requests/cost.h"

#include <chrono>
#include <ctime>
#include <malloc.h>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "mangospan/request/pipeline.h"

namespace mangospan::bench {

namespace {

using request::attempt_end;
using request::attempt_end_kind;
using request::dispatch;

constexpr int kRequests = 200000;
constexpr std::size_t kThousand = 1000;
constexpr std::size_t kCallers = 50;
constexpr std::size_t kServices = 5;
constexpr std::size_t kEndpoints = 10; // per service
const view::entry_id kOwn{ host_name("entry"), boot_id{ 1 } };

double
ProcessorMicroseconds()
{
  return static_cast<double>(std::clock()) * 1e6 / CLOCKS_PER_SEC;
}

// A pipeline with the services of one operator, and a clock of its own.
class loaded_pipeline
{
public:
  explicit loaded_pipeline(std::chrono::seconds aWithin)
    : mPipeline(request::pipeline_options{}, 1)
  {
    config::document document;
    view::zone_view view;
    for (std::size_t i = 0; i < kServices; ++i) {
      const service_name service("service-" + std::to_string(i));
      document.mPools.emplace_back();
      document.mPools.back().mService = service;
      config::work_class work;
      work.mName = class_name(service.Str());
      work.mMatch.mService = service;
      work.mTarget = { 0.99, aWithin };
      document.mClasses.push_back(work);
      for (std::size_t host = 0; host < kEndpoints; ++host) {
        view::endpoint each;
        each.mHost = host_name(service.Str() + std::to_string(host));
        each.mAddress = "10.0.0.1:80";
        each.mService = service;
        each.mShares = { { kOwn, 4 } };
        view.mEndpoints.push_back(each);
      }
    }
    mPipeline.OnConfiguration(document, mClock.Now());
    mPipeline.OnView(view, kOwn, mClock.Now());
    mPipeline.SetDispatching(true, mClock.Now());
  }

  // The arrivals, so that making them does not count as cost.
  std::vector<request::arrival> Arrivals(std::size_t aCount)
  {
    std::vector<request::arrival> made(aCount);
    for (request::arrival& each : made) {
      each.mId = ++mLast;
      each.mCaller = caller_name("caller-" + std::to_string(mLast % kCallers));
      each.mTeam = team_name("team-" + std::to_string(mLast % kCallers / 5));
      each.mService = service_name("service-0");
      each.mPath = "/survey/checks/17";
      each.mMethod = "GET";
      each.mArrived = mClock.Now();
    }
    return made;
  }

  request::actions Arrive(const request::arrival& aArrival)
  {
    return mPipeline.OnArrival(aArrival, mClock.Now());
  }

  void Answer(const dispatch& aDispatch)
  {
    mPipeline.OnAttemptEnded(aDispatch.mRequest,
                             aDispatch.mAttempt,
                             attempt_end{ attempt_end_kind::kAnswered, 200 },
                             mClock.Now());
  }

private:
  manual_clock mClock;
  request::pipeline mPipeline;
  request::request_id mLast = 0;
};

double
MeasureServed()
{
  loaded_pipeline loaded{ std::chrono::seconds(2) };
  const auto arrivals = loaded.Arrivals(kRequests);
  const double start = ProcessorMicroseconds();
  for (const request::arrival& each : arrivals) {
    const request::actions sent = loaded.Arrive(each);
    loaded.Answer(std::get<dispatch>(sent.front()));
  }
  return (ProcessorMicroseconds() - start) / kRequests;
}

double
MeasureRefused()
{
  loaded_pipeline loaded{ std::chrono::seconds(2) };
  for (const request::arrival& each : loaded.Arrivals(kThousand * 10)) {
    loaded.Arrive(each); // until the queue takes no more
  }
  const auto arrivals = loaded.Arrivals(kRequests);
  const double start = ProcessorMicroseconds();
  for (const request::arrival& each : arrivals) {
    loaded.Arrive(each);
  }
  return (ProcessorMicroseconds() - start) / kRequests;
}

} // namespace

request_cost
MeasureCost()
{
  return { MeasureServed(), MeasureRefused() };
}

std::size_t
MeasureBytesPerThousandOpen()
{
  loaded_pipeline loaded{ std::chrono::hours(1) };
  const auto first = loaded.Arrivals(1); // answered at once, so that the
                                         // queue lets the others in
  loaded.Answer(std::get<dispatch>(loaded.Arrive(first.front()).front()));
  for (const request::arrival& each : loaded.Arrivals(kThousand)) {
    loaded.Arrive(each); // fills the slots and sets the tables up
  }
  const auto arrivals = loaded.Arrivals(kThousand);
  const std::size_t before = mallinfo2().uordblks;
  for (const request::arrival& each : arrivals) {
    loaded.Arrive(each);
  }
  return mallinfo2().uordblks - before;
}

} // namespace mangospan::bench
