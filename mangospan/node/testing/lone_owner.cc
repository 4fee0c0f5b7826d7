#include "mangospan/node/testing/lone_owner.h"

#include <string>
#include <utility>

namespace mangospan::node::testing {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kStep{ 1 };
constexpr milliseconds kMaxCallTime{ 3'000 }; // of the store, to its timeout

} // namespace

const service_name lone_owner::kService{ "ours" };
const jobs::queue_name lone_owner::kQueue{ "queue" };

void
silent_runners::Start(const runner_target& /*aTarget*/,
                      const jobs::start_order& /*aOrder*/,
                      outcome_handler /*aHandler*/)
{
}

void
silent_runners::Stop(const runner_target& /*aTarget*/,
                     const jobs::stop_order& /*aOrder*/,
                     outcome_handler /*aHandler*/)
{
}

void
silent_runners::Throttle(const runner_target& /*aTarget*/,
                         const jobs::throttle_order& /*aOrder*/,
                         outcome_handler /*aHandler*/)
{
}

void
silent_runners::Poll(const runner_target& /*aTarget*/,
                     const jobs::poll_order& /*aOrder*/,
                     poll_handler /*aHandler*/)
{
}

jobs::catalog
OneQueue()
{
  jobs::queue_policy policy;
  policy.mName = lone_owner::kQueue;
  policy.mService = lone_owner::kService;
  jobs::catalog out;
  out.mVersion = 1;
  out.mQueues.emplace(policy.mName, policy);
  out.mServices.emplace(policy.mService,
                        jobs::service_policy{ policy.mService, false });
  return out;
}

jobs::job_spec
OneTask()
{
  jobs::step_spec step;
  step.mTaskCount = 1;
  step.mTaskResources = { 100, 100, 0 };
  step.mEstimate = milliseconds(100);
  jobs::job_spec out;
  out.mQueue = lone_owner::kQueue;
  out.mSteps = { step };
  return out;
}

lone_owner::lone_owner(const jobs::scheduler_settings& aScheduling)
{
  const std::string term = election::TermKey(JobsSubject(kService));
  mStore.Put(term, "1");
  mOwner = std::make_shared<owner>(
    owner_dependencies{ mIo, mClock, mClient, mRunners, mFormat, mMetrics },
    owner_settings{},
    aScheduling,
    kService,
    owner_record{ 1, "n", "", 0, mStore.Find(term).front().mRevision },
    [this] {
      return ownership_status{ true, true, mClock.Now() };
    },
    [] {});
  mOwner->Start(OneQueue());
  while (!mOwner->IsLoaded()) {
    RunFor(kStep);
  }
}

lone_owner::~lone_owner()
{
  mOnLoop = nullptr;
  mOwner->Stop();
  RunFor(kMaxCallTime);
}

void
lone_owner::SetLoopInterval(milliseconds aInterval)
{
  mLoopInterval = aInterval;
}

void
lone_owner::SetOnLoop(std::function<void()> aAction)
{
  mOnLoop = std::move(aAction);
}

void
lone_owner::RunFor(milliseconds aTime)
{
  for (const time_point end = mClock.Now() + aTime; mClock.Now() < end;) {
    mClock.Advance(kStep);
    mStore.Advance();
    mStoreIo.restart();
    mStoreIo.poll();
    if (mClock.Now() < mNextLoopAt) {
      continue;
    }
    mNextLoopAt = mClock.Now() + mLoopInterval;
    if (mOnLoop) {
      mOnLoop();
    }
    mIo.restart();
    mIo.poll();
  }
}

} // namespace mangospan::node::testing
