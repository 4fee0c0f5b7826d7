// Drives the pipeline through random schedules and holds what it does against
// what the endpoints have really run.
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
constexpr std::size_t kMaxOpen = 24;

struct tracked
{
  bool mIdempotent = false;
  int mRuns = 0;
  int mEnds = 0;
  bool mAnswerAtHand = false; // the attempt that ended just now was answered
  std::optional<dispatch> mAttempt;
  time_point mTimeout;
};

class random_world
{
public:
  explicit random_world(std::uint64_t aSeed)
    : mRandom(aSeed)
    , mPipeline(Options(), aSeed)
  {
    Configure();
    ChangeView();
    Carry(mPipeline.SetDispatching(true, Now()));
  }

  void Step()
  {
    Advance(milliseconds(mRandom() % 100));
    const auto dice = mRandom() % 20;
    if (dice < 9) {
      Arrive();
    } else if (dice < 15) {
      EndOne(false);
    } else if (dice < 17) {
      ChangeView();
    } else if (dice == 17 && !mRequests.empty()) {
      Carry(mPipeline.OnCallerGone(1 + mRandom() % mRequests.size(), Now()));
    } else if (dice == 18) {
      Carry(mPipeline.SetDispatching(mRandom() % 4 != 0, Now()));
    } else if (mRandom() % 10 == 0) {
      Configure();
    }
    EXPECT_LE(mPipeline.Snapshot().mOpen, kMaxOpen);
    CheckShares();
  }

  // Lets everything end; nothing may be left over.
  void Finish()
  {
    Carry(mPipeline.SetDispatching(true, Now()));
    for (int i = 0; i < 2000 && !mPipeline.Idle(); ++i) {
      EndOne(true);
      const auto wake = mPipeline.NextWake();
      Advance(wake && *wake > Now() ? milliseconds(1) + (*wake - Now()) / 2
                                    : milliseconds(1));
    }
    EXPECT_TRUE(mPipeline.Idle());
    for (const auto& [id, request] : mRequests) {
      EXPECT_EQ(request.mEnds, 1) << "request " << id;
    }
  }

  std::size_t mDelivered = 0;
  std::size_t mNotRun = 0;
  std::size_t mUnknown = 0;

private:
  static pipeline_options Options()
  {
    pipeline_options options;
    options.mMaxOpen = kMaxOpen;
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
    Carry(mPipeline.OnConfiguration(document, Now()));
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
    Carry(mPipeline.OnView(mView, kOwn, Now()));
  }

  void Arrive()
  {
    arrival made;
    made.mId = mRequests.size() + 1;
    made.mService = service_name(mRandom() % 2 ? "permits" : "royalties");
    made.mPath = "/x";
    made.mMethod = mRandom() % 2 ? "GET" : "POST";
    made.mCaller = caller_name(std::to_string(mRandom() % 3));
    made.mArrived = Now();
    mRequests[made.mId].mIdempotent = made.mMethod == "GET";
    Carry(mPipeline.OnArrival(made, Now()));
  }

  void EndOne(bool aAny)
  {
    std::vector<request_id> running;
    for (const auto& [id, request] : mRequests) {
      if (request.mAttempt && (aAny || mRandom() % 3 == 0)) {
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
    tracked& request = mRequests[aId];
    const std::uint32_t attempt = request.mAttempt->mAttempt;
    const bool certain = aKind == attempt_end_kind::kAnswered;
    const bool maybe = aKind == attempt_end_kind::kUnknown ||
                       aKind == attempt_end_kind::kTimedOut;
    request.mRuns += certain || (maybe && mRandom() % 2 == 0) ? 1 : 0;
    request.mAnswerAtHand = certain;
    request.mAttempt.reset();
    const attempt_end end{ aKind, mRandom() % 5 == 0 ? 500 : 200 };
    Carry(mPipeline.OnAttemptEnded(aId, attempt, end, Now()));
    request.mAnswerAtHand = false;
    if (mRandom() % 8 == 0) { // a repeated end must do nothing
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
    Carry(mPipeline.OnTick(Now()));
  }

  void Carry(const actions& aActions)
  {
    for (const action& each : aActions) {
      std::visit([this](const auto& aAction) { On(aAction); }, each);
    }
  }

  void On(const dispatch& aDispatch)
  {
    tracked& request = mRequests[aDispatch.mRequest];
    EXPECT_EQ(request.mEnds, 0);
    EXPECT_FALSE(request.mAttempt);
    EXPECT_TRUE(request.mIdempotent || request.mRuns == 0);
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
    tracked& request = mRequests[aDeliver.mRequest];
    EXPECT_TRUE(request.mAnswerAtHand);
    ++request.mEnds;
    ++mDelivered;
  }

  void On(const refuse& aRefuse)
  {
    tracked& request = mRequests[aRefuse.mRequest];
    ++request.mEnds;
    EXPECT_FALSE(request.mAttempt);
    if (aRefuse.mRefusal.mOutcome == request_outcome::kNotRun) {
      EXPECT_EQ(request.mRuns, 0);
      ++mNotRun;
    } else {
      ++mUnknown;
    }
  }

  void On(const emptied& aEmptied) { EXPECT_EQ(InFlight(aEmptied.mHost), 0U); }

  // What the entry says of its shares covers all that it has in flight.
  void CheckShares() const
  {
    std::map<host_name, std::size_t> shares;
    for (const held_slots& each : mPipeline.Shares()) {
      shares[each.mHost] = each.mSlots;
    }
    for (const auto& [id, request] : mRequests) {
      if (request.mAttempt) { // also at hosts that left the view
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

  // At a draining endpoint slots are free only once `emptied` is said.
  std::size_t ShareInView(const host_name& aHost) const
  {
    for (const view::endpoint& each : mView.mEndpoints) {
      if (each.mHost == aHost) {
        return each.mState == view::endpoint_state::kDraining
                 ? kMaxOpen
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
  std::map<request_id, tracked> mRequests;
};

TEST(PipelineSchedules, EachRequestEndsOnceTrulyAndWithinAllLimits)
{
  std::size_t delivered = 0;
  std::size_t notRun = 0;
  std::size_t unknown = 0;
  for (std::uint64_t seed = 1; seed <= 10000; ++seed) {
    random_world world(seed);
    for (int step = 0; step < 80; ++step) {
      world.Step();
    }
    world.Finish();
    ASSERT_FALSE(::testing::Test::HasFailure()) << "seed " << seed;
    delivered += world.mDelivered;
    notRun += world.mNotRun;
    unknown += world.mUnknown;
  }
  // The schedules reach each kind of end.
  EXPECT_GT(delivered, 10000U);
  EXPECT_GT(notRun, 10000U);
  EXPECT_GT(unknown, 10000U);
}

} // namespace
} // namespace mangospan::request
