// Drives the pipeline through random schedules of events and compares its
// answers with what simulated endpoints have run. Guards against requests that
// run twice, end twice or never, or are refused as not run although they ran,
// and against use of more slots than the view assigns.
#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "mangospan/request/pipeline.h"

namespace mangospan::request {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const view::entry_id kOwn{ host_name("entry-1"), boot_id{ 1 } };
constexpr std::size_t kMaxOpenRequests = 24;

struct tracked_request
{
  bool mIdempotent = false;
  int mRunCount = 0;
  int mEndCount = 0;
  bool mHasAnswer = false; // true while an answered attempt is reported
  std::optional<dispatch> mAttempt;
  time_point mTimeout;
};

class random_schedule
{
public:
  explicit random_schedule(std::uint64_t aSeed)
    : mRandom(aSeed)
    , mPipeline(Options(), aSeed)
  {
    Configure();
    ChangeView();
    Execute(mPipeline.SetDispatching(true, Now()));
  }

  void Step()
  {
    Advance(milliseconds(mRandom() % 100));
    const auto choice = mRandom() % 20;
    if (choice < 9) {
      Arrive();
    } else if (choice < 15) {
      EndRandomAttempt(false);
    } else if (choice < 17) {
      ChangeView();
    } else if (choice == 17 && !mRequests.empty()) {
      Execute(mPipeline.OnCallerGone(1 + mRandom() % mRequests.size(), Now()));
    } else if (choice == 18) {
      Execute(mPipeline.SetDispatching(mRandom() % 4 != 0, Now()));
    } else if (mRandom() % 10 == 0) {
      Configure();
    }
    EXPECT_LE(mPipeline.Snapshot().mOpen, kMaxOpenRequests);
    CheckShares();
  }

  // Ends all open requests and checks that each has ended exactly once.
  void Finish()
  {
    Execute(mPipeline.SetDispatching(true, Now()));
    for (int i = 0; i < 2000 && !mPipeline.Idle(); ++i) {
      EndRandomAttempt(true);
      const auto wake = mPipeline.NextWake();
      Advance(wake && *wake > Now() ? milliseconds(1) + (*wake - Now()) / 2
                                    : milliseconds(1));
    }
    EXPECT_TRUE(mPipeline.Idle());
    for (const auto& [id, request] : mRequests) {
      EXPECT_EQ(request.mEndCount, 1) << "request " << id;
    }
  }

  std::size_t mDelivered = 0;
  std::size_t mNotRun = 0;
  std::size_t mUnknown = 0;

private:
  static pipeline_options Options()
  {
    pipeline_options options;
    options.mMaxOpenRequests = kMaxOpenRequests;
    return options;
  }
  time_point Now() const { return mClock.Now(); }

  void Configure()
  {
    config::document document;
    for (const char* service : { "permits", "royalties" }) {
      if (mRandom() % 8 == 0) {
        continue;
      }
      document.mPools.emplace_back();
      document.mPools.back().mService = service_name(service);
      config::work_class work;
      work.mName = class_name(std::string("c-") + service);
      work.mMatch.mService = service_name(service);
      work.mTarget = { 0.99, seconds(1 + mRandom() % 3) };
      document.mClasses.push_back(work);
    }
    Execute(mPipeline.OnConfiguration(document, Now()));
  }

  void ChangeView()
  {
    mView.mVersion.mSequence += 1;
    mView.mEndpoints.clear();
    for (int i = 0; i < 5; ++i) {
      if (mRandom() % 6 == 0) {
        continue;
      }
      view::endpoint each;
      each.mHost = host_name("host-" + std::to_string(i));
      each.mAddress = each.mHost.Str() + ":80";
      each.mService = service_name(mRandom() % 2 ? "permits" : "royalties");
      each.mEpoch = mRandom() % 3;
      each.mState = mRandom() % 4 == 0 ? view::endpoint_state::kDraining
                                       : view::endpoint_state::kServing;
      each.mShares = { { kOwn, mRandom() % 4 } };
      mView.mEndpoints.push_back(each);
    }
    Execute(mPipeline.OnView(mView, kOwn, Now()));
  }

  void Arrive()
  {
    arrival arriving;
    arriving.mId = mRequests.size() + 1;
    arriving.mService = service_name(mRandom() % 2 ? "permits" : "royalties");
    arriving.mPath = "/x";
    arriving.mMethod = mRandom() % 2 ? "GET" : "POST";
    arriving.mCaller = caller_name(std::to_string(mRandom() % 3));
    arriving.mArrived = Now();
    mRequests[arriving.mId].mIdempotent = arriving.mMethod == "GET";
    Execute(mPipeline.OnArrival(arriving, Now()));
  }

  void EndRandomAttempt(bool aFromAll)
  {
    std::vector<request_id> running;
    for (const auto& [id, request] : mRequests) {
      if (request.mAttempt && (aFromAll || mRandom() % 3 == 0)) {
        running.push_back(id);
      }
    }
    if (!running.empty()) {
      End(running[mRandom() % running.size()],
          static_cast<attempt_end_kind>(mRandom() % 4));
    }
  }

  void End(request_id aId, attempt_end_kind aKind)
  {
    tracked_request& request = mRequests[aId];
    const std::uint32_t attempt = request.mAttempt->mAttempt;
    const bool answered = aKind == attempt_end_kind::kAnswered;
    const bool mayHaveRun = aKind == attempt_end_kind::kUnknown ||
                            aKind == attempt_end_kind::kTimedOut;
    request.mRunCount += answered || (mayHaveRun && mRandom() % 2 == 0) ? 1 : 0;
    request.mHasAnswer = answered;
    request.mAttempt.reset();
    const attempt_end end{ aKind, mRandom() % 5 == 0 ? 500 : 200 };
    Execute(mPipeline.OnAttemptEnded(aId, attempt, end, Now()));
    request.mHasAnswer = false;
    if (mRandom() % 8 == 0) { // a repeated report must have no effect
      const actions again = mPipeline.OnAttemptEnded(aId, attempt, end, Now());
      EXPECT_TRUE(again.empty());
    }
  }

  void Advance(std::chrono::nanoseconds aBy)
  {
    mClock.Advance(aBy);
    for (auto& [id, request] : mRequests) {
      if (request.mAttempt && Now() >= request.mTimeout) {
        End(id, attempt_end_kind::kTimedOut);
      }
    }
    Execute(mPipeline.OnTick(Now()));
  }

  void Execute(const actions& aActions)
  {
    for (const action& each : aActions) {
      std::visit([this](const auto& aAction) { On(aAction); }, each);
    }
  }

  void On(const dispatch& aDispatch)
  {
    tracked_request& request = mRequests[aDispatch.mRequest];
    EXPECT_EQ(request.mEndCount, 0);
    EXPECT_FALSE(request.mAttempt);
    EXPECT_TRUE(request.mIdempotent || request.mRunCount == 0);
    EXPECT_GT(aDispatch.mTimeout.count(), 0);
    request.mAttempt = aDispatch;
    request.mTimeout = Now() + aDispatch.mTimeout;
    const auto at = std::find_if(
      mView.mEndpoints.begin(), mView.mEndpoints.end(), [&](const auto& aEach) {
        return aEach.mHost == aDispatch.mHost;
      });
    ASSERT_NE(at, mView.mEndpoints.end());
    EXPECT_EQ(at->mState, view::endpoint_state::kServing);
    EXPECT_LE(InFlight(aDispatch.mHost), at->mShares[0].mSlots);
  }

  void On(const deliver& aDeliver)
  {
    tracked_request& request = mRequests[aDeliver.mRequest];
    EXPECT_TRUE(request.mHasAnswer);
    ++request.mEndCount;
    ++mDelivered;
  }

  void On(const refuse& aRefuse)
  {
    tracked_request& request = mRequests[aRefuse.mRequest];
    ++request.mEndCount;
    EXPECT_FALSE(request.mAttempt);
    if (aRefuse.mRefusal.mOutcome == request_outcome::kNotRun) {
      EXPECT_EQ(request.mRunCount, 0);
      ++mNotRun;
    } else {
      ++mUnknown;
    }
  }

  void On(const drained_host& aDrained)
  {
    EXPECT_EQ(InFlight(aDrained.mHost), 0U);
  }

  // Checks that the reported slots cover all requests in flight, and that the
  // applied view is complied with.
  void CheckShares() const
  {
    std::map<host_name, std::size_t> shares;
    for (const reserved_slots& each : mPipeline.ReservedSlots()) {
      shares[each.mHost] = each.mSlots;
    }
    for (const auto& [id, request] : mRequests) {
      if (request.mAttempt) { // also if the host left the view
        const host_name& host = request.mAttempt->mHost;
        EXPECT_LE(InFlight(host), shares[host]);
      }
    }
    if (mPipeline.AppliedView() == mView.mVersion) {
      for (const auto& [host, slots] : shares) {
        EXPECT_LE(InFlight(host), ShareInView(host)) << host.Str();
      }
    }
  }

  // The slots of a draining endpoint stay in use until `drained_host` reports
  // them free, so any number may be in use there.
  std::size_t ShareInView(const host_name& aHost) const
  {
    for (const view::endpoint& each : mView.mEndpoints) {
      if (each.mHost == aHost) {
        return each.mState == view::endpoint_state::kDraining
                 ? kMaxOpenRequests
                 : each.mShares[0].mSlots;
      }
    }
    return 0;
  }

  std::size_t InFlight(const host_name& aHost) const
  {
    std::size_t count = 0;
    for (const auto& [id, request] : mRequests) {
      count += request.mAttempt && request.mAttempt->mHost == aHost ? 1 : 0;
    }
    return count;
  }

  std::mt19937_64 mRandom;
  manual_clock mClock;
  pipeline mPipeline;
  view::zone_view mView;
  std::map<request_id, tracked_request> mRequests;
};

TEST(PipelineSchedules,
     EndsEachRequestOnceWithACorrectOutcomeAndWithinAllLimits)
{
  std::size_t delivered = 0;
  std::size_t notRun = 0;
  std::size_t unknown = 0;
  for (std::uint64_t seed = 1; seed <= 10000; ++seed) {
    random_schedule schedule(seed);
    for (int step = 0; step < 80; ++step) {
      schedule.Step();
    }
    schedule.Finish();
    ASSERT_FALSE(::testing::Test::HasFailure()) << "seed " << seed;
    delivered += schedule.mDelivered;
    notRun += schedule.mNotRun;
    unknown += schedule.mUnknown;
  }
  // The schedules must cover each kind of end.
  EXPECT_GT(delivered, 10000U);
  EXPECT_GT(notRun, 10000U);
  EXPECT_GT(unknown, 10000U);
}

} // namespace
} // namespace mangospan::request
