#include "bench/entry/caller_load.h"

#include <algorithm>
#include <future>
#include <utility>

#include "mangospan/base/error.h"
#include "mangospan/http/message.h"

namespace mangospan::bench {

namespace {

using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

constexpr milliseconds kTimeout{ 5'000 };
constexpr std::size_t kMaxIdle = 64;

// The callers of one run; all of it is on their thread.
class closed_loop
{
public:
  closed_loop(http::client& aClient,
              std::string aTarget,
              std::size_t aCallers,
              milliseconds aTime)
    : mClient(aClient)
    , mTarget(std::move(aTarget))
    , mActive(aCallers)
    , mBegan(steady::now())
    , mEnd(mBegan + aTime)
  {
  }

  void Ask(const std::string& aAddress)
  {
    const auto sent = steady::now();
    if (sent >= mEnd) {
      Leave(sent);
      return;
    }
    http::request request;
    request.mTarget = mTarget;
    mClient.Send(aAddress,
                 std::move(request),
                 kTimeout,
                 [this, aAddress, sent](const result<http::response>& aResult) {
                   Count(aResult, steady::now() - sent);
                   Ask(aAddress);
                 });
  }

  load_figures Wait()
  {
    mDone.get_future().wait();
    std::sort(mFigures.mLatencies.begin(), mFigures.mLatencies.end());
    return std::move(mFigures);
  }

private:
  void Count(const result<http::response>& aResult,
             std::chrono::nanoseconds aTook)
  {
    if (aResult.has_value() && aResult.assume_value().mStatus == 200) {
      mFigures.mLatencies.push_back(aTook);
    } else if (aResult.has_value() &&
               aResult.assume_value().Get("Mangospan-Outcome") == "not-run") {
      ++mFigures.mRefused;
    } else {
      ++mFigures.mOthers;
    }
  }

  void Leave(steady::time_point aNow)
  {
    if (--mActive == 0) {
      mFigures.mTook = aNow - mBegan;
      mDone.set_value();
    }
  }

  http::client& mClient;
  const std::string mTarget;
  std::size_t mActive;
  const steady::time_point mBegan;
  const steady::time_point mEnd;
  load_figures mFigures;
  std::promise<void> mDone;
};

} // namespace

double
load_figures::ServedPerSecond() const
{
  return static_cast<double>(mLatencies.size()) /
         std::chrono::duration<double>(mTook).count();
}

std::chrono::nanoseconds
load_figures::Latency(double aShare) const
{
  if (mLatencies.empty()) {
    return {};
  }
  const auto last = static_cast<double>(mLatencies.size() - 1);
  return mLatencies[static_cast<std::size_t>(aShare * last)];
}

caller_load::caller_load()
{
  http::client_options options;
  options.mMaxIdlePerAddress = kMaxIdle;
  mClient.emplace(mThread.Io(), options);
}

caller_load::~caller_load()
{
  mThread.Stop();
}

load_figures
caller_load::Run(const std::vector<std::string>& aAddresses,
                 const std::string& aTarget,
                 std::size_t aCallers,
                 milliseconds aTime)
{
  closed_loop loop(*mClient, aTarget, aCallers, aTime);
  mThread.Run([&] {
    for (std::size_t i = 0; i < aCallers; ++i) {
      loop.Ask(aAddresses[i % aAddresses.size()]);
    }
  });
  load_figures figures = loop.Wait();
  // The handler that ended the loop has returned once this has run.
  mThread.Run([] {});
  return figures;
}

} // namespace mangospan::bench
