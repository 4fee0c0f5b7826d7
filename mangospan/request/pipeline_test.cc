#include "mangospan/request/pipeline.h"

#include <chrono>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace mangospan::request {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const view::entry_id kOwn{ host_name("entry-1"), boot_id{ 1 } };
constexpr attempt_end kAnswered200{ attempt_end_kind::kAnswered, 200 };
constexpr attempt_end kNotSent{ attempt_end_kind::kNotSent, 0 };
constexpr attempt_end kNotRun{ attempt_end_kind::kAnsweredNotRun, 503 };
constexpr attempt_end kConnectionLost{ attempt_end_kind::kUnknown, 0 };
constexpr attempt_end kTimedOut{ attempt_end_kind::kTimedOut, 0 };

template<typename Action>
const Action*
Find(const actions& aActions)
{
  for (const action& each : aActions) {
    if (const auto* found = std::get_if<Action>(&each)) {
      return found;
    }
  }
  return nullptr;
}

class pipeline_test : public ::testing::Test
{
protected:
  pipeline_test()
  {
    mDocument.mPools.emplace_back();
    mDocument.mPools.back().mService = service_name("permits");
    AddClass("filing", "/file", false);
    AddClass("urgent", "/urgent", true);
    mPipeline.OnConfiguration(mDocument, Now());
    Adopt(2, 1);
    mPipeline.SetDispatching(true, Now());
  }

  void AddClass(const char* aName, const char* aPrefix, bool aUrgent)
  {
    config::work_class result;
    result.mName = class_name(aName);
    result.mMatch = { service_name("permits"), aPrefix, {} };
    result.mTarget = { 0.99, seconds(2) };
    result.mUrgent = aUrgent;
    mDocument.mClasses.push_back(result);
  }

  actions Adopt(std::size_t aEndpoints, std::size_t aShare)
  {
    mView.mVersion.mSequence += 1;
    mView.mEndpoints.clear();
    for (std::size_t i = 0; i < aEndpoints; ++i) {
      view::endpoint each;
      each.mHost = host_name("host-" + std::to_string(i));
      each.mAddress = "10.0.0." + std::to_string(i) + ":80";
      each.mService = service_name("permits");
      each.mShares = { { kOwn, aShare } };
      mView.mEndpoints.push_back(each);
    }
    return mPipeline.OnView(mView, kOwn, Now());
  }

  arrival Request(const char* aMethod, const char* aPath = "/file")
  {
    arrival result;
    result.mId = ++mLastId;
    result.mService = service_name("permits");
    result.mMethod = aMethod;
    result.mPath = aPath;
    result.mArrived = Now();
    return result;
  }
  actions Arrive(const char* aMethod, const char* aPath = "/file")
  {
    return mPipeline.OnArrival(Request(aMethod, aPath), Now());
  }
  actions End(const dispatch& aAttempt, const attempt_end& aEnd)
  {
    return mPipeline.OnAttemptEnded(
      aAttempt.mRequest, aAttempt.mAttempt, aEnd, Now());
  }
  // Sends a request, ends each of its attempts with `aEnd`, and returns the
  // refusal that follows. Sets `mAttemptCount`.
  refusal RefusalAfter(const char* aMethod, const attempt_end& aEnd)
  {
    actions next = Arrive(aMethod);
    mAttemptCount = 0;
    for (int i = 0; i < 20; ++i) {
      if (const auto* refused = Find<refuse>(next)) {
        return refused->mRefusal;
      }
      if (const auto* sent = Find<dispatch>(next)) {
        ++mAttemptCount;
        const dispatch attempt = *sent;
        next = End(attempt, aEnd);
        continue;
      }
      mClock.Advance(mPipeline.NextWake().value() - Now());
      next = mPipeline.OnTick(Now());
    }
    ADD_FAILURE() << "the request was not refused within 20 steps";
    return refusal{};
  }
  time_point Now() const { return mClock.Now(); }

  manual_clock mClock;
  config::document mDocument;
  view::zone_view mView;
  pipeline mPipeline{ pipeline_options{}, 7 };
  request_id mLastId = 0;
  int mAttemptCount = 0;
};

TEST_F(pipeline_test, DeliversEachAnswerOnceAndToItsOwnRequest)
{
  const actions first = Arrive("GET");
  const actions second = Arrive("GET");
  const dispatch attempt = *Find<dispatch>(second);
  const actions delivered = End(attempt, kAnswered200);
  ASSERT_NE(Find<deliver>(delivered), nullptr);
  EXPECT_EQ(Find<deliver>(delivered)->mRequest, attempt.mRequest);
  EXPECT_TRUE(
    End(attempt, kAnswered200).empty()); // a repeated end of the attempt
  EXPECT_NE(Find<deliver>(End(*Find<dispatch>(first), kAnswered200)), nullptr);
  EXPECT_TRUE(mPipeline.Idle());
}

TEST_F(pipeline_test, NeverRetriesANonIdempotentRequestAfterAByteWasWritten)
{
  for (const attempt_end& end : { kConnectionLost, kTimedOut }) {
    const refusal rejection = RefusalAfter("POST", end);
    EXPECT_EQ(mAttemptCount, 1);
    EXPECT_EQ(rejection.mOutcome, request_outcome::kUnknown);
    EXPECT_EQ(rejection.mRetryAfter.count(), 0);
    EXPECT_FALSE(rejection.mPeer.empty());
    EXPECT_STREQ(rejection.mStep, "dispatch");
  }
}

TEST_F(pipeline_test, RetriesAttemptsThatDidNotRunAndThenRefusesAsNotRun)
{
  const refusal notSent = RefusalAfter("POST", kNotSent);
  EXPECT_EQ(mAttemptCount, 3);
  EXPECT_EQ(notSent.mOutcome, request_outcome::kNotRun);
  EXPECT_GT(notSent.mRetryAfter.count(), 0);
  const refusal notRun = RefusalAfter("POST", kNotRun);
  EXPECT_GT(mAttemptCount, 1);
  EXPECT_EQ(notRun.mOutcome, request_outcome::kNotRun);
}

TEST_F(pipeline_test, RefusesAsUnknownIfAnyAttemptMayHaveRun)
{
  const dispatch first = *Find<dispatch>(Arrive("GET"));
  const actions second = End(first, kConnectionLost);
  ASSERT_NE(Find<dispatch>(second), nullptr);
  EXPECT_NE(Find<dispatch>(second)->mHost, first.mHost);
  End(*Find<dispatch>(second), kNotRun);
  mClock.Advance(seconds(3));
  const actions last = mPipeline.OnTick(Now());
  ASSERT_NE(Find<refuse>(last), nullptr);
  EXPECT_EQ(Find<refuse>(last)->mRefusal.mOutcome, request_outcome::kUnknown);
}

TEST_F(pipeline_test, RefusesQueuedRequestsAtTheirDeadlineAsNotRun)
{
  Arrive("POST");
  Arrive("POST");
  EXPECT_TRUE(Arrive("POST").empty()); // queued
  const auto wake = mPipeline.NextWake();
  ASSERT_TRUE(wake);
  EXPECT_LT(*wake, Now() + seconds(2));
  mClock.Advance(*wake - Now());
  const actions expired = mPipeline.OnTick(Now());
  ASSERT_NE(Find<refuse>(expired), nullptr);
  EXPECT_EQ(Find<refuse>(expired)->mRequest, 3U);
  EXPECT_EQ(Find<refuse>(expired)->mRefusal.mCode,
            refusal_code::kDeadlinePassed);
  EXPECT_EQ(Find<refuse>(expired)->mRefusal.mOutcome, request_outcome::kNotRun);
}

TEST_F(pipeline_test, ServesUrgentClassesFirst)
{
  const dispatch busy = *Find<dispatch>(Arrive("GET"));
  Arrive("GET");
  Arrive("GET");
  Arrive("GET", "/urgent");
  EXPECT_EQ(Find<dispatch>(End(busy, kAnswered200))->mRequest, 4U);
}

// Guards against a leak of admitted work: a caller must not stay over its share
// because of requests that expired in the queue without using a slot.
TEST_F(pipeline_test, ExpiredRequestsDoNotCountAgainstTheShareOfTheirCaller)
{
  std::vector<std::size_t> admitted;
  for (int round = 0; round < 3; ++round) {
    for (int i = 0; i < 100; ++i) {
      arrival request = Request("POST");
      request.mCaller = caller_name(std::to_string(i % 3));
      request.mTeam = team_name(std::to_string(i % 3));
      mPipeline.OnArrival(request, Now());
    }
    admitted.push_back(mPipeline.Snapshot().mPools.at(0).mQueued);
    mClock.Advance(seconds(2));
    mPipeline.OnTick(Now());
    ASSERT_EQ(mPipeline.Snapshot().mPools.at(0).mQueued, 0U);
  }
  EXPECT_GT(admitted[0], 5U);
  EXPECT_EQ(admitted[1], admitted[0]);
  EXPECT_EQ(admitted[2], admitted[0]);
}

TEST_F(pipeline_test, ADrainingEndpointGetsNoNewRequestsAndIsReportedDrained)
{
  const dispatch first = *Find<dispatch>(Arrive("GET"));
  mView.mVersion.mSequence += 1;
  for (view::endpoint& each : mView.mEndpoints) {
    if (each.mHost == first.mHost) {
      each.mState = view::endpoint_state::kDraining;
      each.mEpoch = 9;
    }
  }
  EXPECT_EQ(Find<drained_host>(mPipeline.OnView(mView, kOwn, Now())), nullptr);
  const dispatch second = *Find<dispatch>(Arrive("GET"));
  EXPECT_NE(second.mHost, first.mHost);
  EXPECT_EQ(Find<dispatch>(Arrive("GET")), nullptr);
  const actions ended = End(first, kAnswered200);
  ASSERT_NE(Find<drained_host>(ended), nullptr);
  EXPECT_EQ(Find<drained_host>(ended)->mHost, first.mHost);
  EXPECT_EQ(Find<drained_host>(ended)->mEpoch, 9U);
  EXPECT_EQ(Find<dispatch>(ended), nullptr);
}

TEST_F(pipeline_test, AStoppingEntryFinishesItsRequestsAndRefusesNewOnes)
{
  const dispatch first = *Find<dispatch>(Arrive("GET"));
  Arrive("GET");
  Arrive("GET"); // queued
  mPipeline.SetAccepting(false);
  EXPECT_EQ(Find<refuse>(Arrive("GET"))->mRefusal.mCode,
            refusal_code::kStopping);
  EXPECT_EQ(Find<dispatch>(End(first, kAnswered200))->mRequest, 3U);
}

TEST_F(pipeline_test, SendsNothingWhileDispatchingIsOff)
{
  const dispatch first = *Find<dispatch>(Arrive("GET"));
  Arrive("GET");
  Arrive("GET");
  mPipeline.SetDispatching(false, Now());
  const actions ended = End(first, kAnswered200);
  EXPECT_NE(Find<deliver>(ended), nullptr);
  EXPECT_EQ(Find<dispatch>(ended), nullptr);
  EXPECT_EQ(Find<refuse>(Arrive("GET"))->mRefusal.mCode,
            refusal_code::kNotServing);
  EXPECT_NE(Find<dispatch>(mPipeline.SetDispatching(true, Now())), nullptr);
}

TEST_F(pipeline_test, RefusesAsNotServingBeforeTheFirstConfiguration)
{
  pipeline fresh(pipeline_options{}, 1);
  const actions refused = fresh.OnArrival(Request("GET"), Now());
  EXPECT_EQ(Find<refuse>(refused)->mRefusal.mCode, refusal_code::kNotServing);
}

TEST_F(pipeline_test, RefusesServicesAndClassesThatAreNotConfigured)
{
  arrival request = Request("GET");
  request.mService = service_name("curling");
  refusal rejection =
    Find<refuse>(mPipeline.OnArrival(request, Now()))->mRefusal;
  EXPECT_EQ(rejection.mHttpStatus, 404);
  request = Request("GET");
  request.mClass = class_name("none");
  rejection = Find<refuse>(mPipeline.OnArrival(request, Now()))->mRefusal;
  EXPECT_EQ(rejection.mHttpStatus, 400);
}

TEST_F(pipeline_test, RefusesQueuedRequestsOfARemovedService)
{
  const dispatch first = *Find<dispatch>(Arrive("POST"));
  Arrive("POST");
  Arrive("POST");
  const actions refused = mPipeline.OnConfiguration(config::document{}, Now());
  EXPECT_EQ(Find<refuse>(refused)->mRequest, 3U);
  EXPECT_NE(Find<deliver>(End(first, kAnswered200)), nullptr);
}

TEST_F(pipeline_test, DequeuesAndDoesNotRetryRequestsOfDisconnectedCallers)
{
  const dispatch first = *Find<dispatch>(Arrive("GET"));
  Arrive("GET");
  Arrive("GET");
  const actions gone = mPipeline.OnCallerGone(3, Now());
  ASSERT_NE(Find<refuse>(gone), nullptr);
  EXPECT_EQ(Find<refuse>(gone)->mRefusal.mCode, refusal_code::kCallerGone);
  EXPECT_TRUE(mPipeline.OnCallerGone(first.mRequest, Now()).empty());
  const actions ended = End(first, kConnectionLost);
  EXPECT_EQ(Find<dispatch>(ended), nullptr);
  EXPECT_NE(Find<refuse>(ended), nullptr);
}

TEST_F(pipeline_test,
       ShortensTheTimeoutOnlyOfIdempotentRequestsAtSuspectEndpoints)
{
  Adopt(1, 4);
  const dispatch first = *Find<dispatch>(Arrive("GET"));
  EXPECT_EQ(first.mTimeout, seconds(8));
  End(first, kConnectionLost); // retried at once
  const dispatch second = *Find<dispatch>(Arrive("GET"));
  EXPECT_EQ(second.mTimeout, seconds(1));
  EXPECT_EQ(Find<dispatch>(Arrive("POST"))->mTimeout, seconds(8));
  mClock.Advance(seconds(1));
  EXPECT_FALSE(Find<deliver>(End(second, kTimedOut)));
}

TEST_F(pipeline_test,
       AnIdempotentRequestIsRetriedAfterHalfItsTimeAtAHungEndpoint)
{
  Adopt(2, 4);
  dispatch attempt = *Find<dispatch>(Arrive("GET"));
  const host_name hung = attempt.mHost;
  End(attempt, kConnectionLost); // makes the endpoint suspect
  do {
    attempt = *Find<dispatch>(Arrive("GET"));
  } while (attempt.mHost != hung);
  EXPECT_EQ(attempt.mTimeout, seconds(1));
  mClock.Advance(seconds(1));
  const actions again = End(attempt, kTimedOut);
  ASSERT_NE(Find<dispatch>(again), nullptr);
  EXPECT_NE(Find<dispatch>(again)->mHost, hung);
}

TEST_F(pipeline_test, RetriesStayWithinTheirBudgetWhenAWholePoolFails)
{
  Adopt(4, 8);
  int sent = 0;
  for (int i = 0; i < 500; ++i) {
    actions next = Arrive("GET");
    while (const auto* found = Find<dispatch>(next)) {
      const dispatch attempt = *found;
      ++sent;
      next = End(attempt, kConnectionLost);
    }
    mClock.Advance(milliseconds(200));
    mPipeline.OnTick(Now());
  }
  EXPECT_LE(sent, 500 * 1.1 + 50); // 50: a few retries are always allowed
  EXPECT_GT(sent, 300);
}

// A process that was frozen sees an hour pass between two events. Queued
// requests that expired meanwhile must be refused, not sent, by the first
// event.
TEST_F(pipeline_test, SendsNoRequestPastItsDeadlineAfterAFreeze)
{
  const dispatch first = *Find<dispatch>(Arrive("POST"));
  Arrive("POST");
  Arrive("POST"); // queued
  mClock.Advance(seconds(3600));
  const actions thawed = End(first, kAnswered200);
  EXPECT_EQ(Find<dispatch>(thawed), nullptr);
  ASSERT_NE(Find<refuse>(thawed), nullptr);
  EXPECT_EQ(Find<refuse>(thawed)->mRefusal.mOutcome, request_outcome::kNotRun);
}

TEST_F(pipeline_test, ReportsDemandOfEachClassSinceThePreviousCall)
{
  const dispatch first = *Find<dispatch>(Arrive("POST"));
  Arrive("POST");
  Arrive("POST");
  mClock.Advance(milliseconds(300));
  End(first, kAnswered200);
  const auto demand = mPipeline.TakeDemand();
  ASSERT_EQ(demand.size(), 1U);
  EXPECT_EQ(demand[0].mClass, class_name("filing"));
  EXPECT_EQ(demand[0].mArrivals, 3U);
  EXPECT_EQ(demand[0].mAnswered, 1U);
  EXPECT_EQ(demand[0].mBusy, milliseconds(300));
  EXPECT_TRUE(mPipeline.TakeDemand().empty());
}

TEST_F(pipeline_test, BoundsOpenRequests)
{
  pipeline_options options;
  options.mMaxOpenRequests = 10;
  pipeline bounded(options, 1);
  bounded.OnConfiguration(mDocument, Now());
  bounded.OnView(mView, kOwn, Now());
  bounded.SetDispatching(true, Now());
  for (int i = 0; i < 100; ++i) {
    bounded.OnArrival(Request("GET"), Now());
    ASSERT_LE(bounded.Snapshot().mOpen, 10U);
  }
}

} // namespace
} // namespace mangospan::request
