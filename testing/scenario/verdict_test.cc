#include "testing/scenario/verdict.h"

#include <string>

#include <gtest/gtest.h>

#include "testing/endpoint/journal.h"
#include "testing/scenario/attempt.h"

namespace mangospan::scenario {
namespace {

using standin::run_outcome;

class verdict_test : public testing::Test
{
protected:
  attempt& Sent(const std::string& aRequest, int aNumber, fate aFate)
  {
    attempt made;
    made.mRequest = aRequest;
    made.mId = aRequest + "." + std::to_string(aNumber);
    made.mTarget = "entry/e1";
    made.mIdempotent = false;
    made.mFate = aFate;
    mEvidence.mAttempts.push_back(made);
    return mEvidence.mAttempts.back();
  }

  void Ran(const std::string& aAttempt,
           run_outcome aOutcome = run_outcome::kCompleted)
  {
    standin::run run;
    run.mRequest = aAttempt;
    run.mOutcome = aOutcome;
    mEvidence.mRuns.push_back(run);
  }

  double Value(const char* aName) { return Judge(mEvidence).mValues.at(aName); }

  evidence mEvidence;
};

TEST_F(verdict_test, WholeRunHasNoFindings)
{
  Sent("r-1", 0, fate::kAnswered);
  Ran("r-1.0");
  Sent("r-2", 0, fate::kRefused);
  Sent("r-2", 1, fate::kAnswered);
  Ran("r-2.1");
  const verdict found = Judge(mEvidence);
  EXPECT_TRUE(found.mFindings.empty());
  EXPECT_EQ(found.mValues.at("sent"), 2);
  EXPECT_EQ(found.mValues.at("answered"), 2);
  EXPECT_EQ(found.mValues.at("refused"), 0);
}

TEST_F(verdict_test, RequestWithoutAnswerIsLostUnlessItsEntryWasInterrupted)
{
  Sent("r-1", 0, fate::kNoAnswer);
  Sent("r-2", 0, fate::kPending);
  EXPECT_EQ(Value("lost"), 2);
  mEvidence.mInterrupted = { "entry/e1" };
  EXPECT_EQ(Value("lost"), 0);
}

TEST_F(verdict_test,
       StoppedEntryMayRefuseConnectionsButNotLeaveRequestsUnanswered)
{
  mEvidence.mStopped = { "entry/e1" };
  Sent("r-1", 0, fate::kNotConnected);
  EXPECT_EQ(Value("lost"), 0);
  Sent("r-2", 0, fate::kNoAnswer);
  EXPECT_EQ(Value("lost"), 1);
}

TEST_F(verdict_test, NonIdempotentRequestThatRanTwiceIsDoubled)
{
  Sent("r-1", 0, fate::kUnknown);
  Sent("r-1", 1, fate::kAnswered);
  Ran("r-1.0");
  EXPECT_EQ(Value("doubled"), 0);
  Ran("r-1.1");
  EXPECT_EQ(Value("doubled"), 1);
}

TEST_F(verdict_test, IdempotentRequestMayRunTwice)
{
  Sent("r-1", 0, fate::kAnswered).mIdempotent = true;
  Ran("r-1.0");
  Ran("r-1.0");
  EXPECT_EQ(Value("doubled"), 0);
}

TEST_F(verdict_test, RefusalOfARequestThatRanIsUntrue)
{
  Sent("r-1", 0, fate::kRefused);
  Ran("r-1.0", run_outcome::kRunning);
  EXPECT_EQ(Value("untrue-not-run"), 1);
}

TEST_F(verdict_test, RunUnderAPlannedStopIsCutAndAKilledOneIsNot)
{
  Ran("r-1.0", run_outcome::kCutByStop);
  Ran("r-2.0", run_outcome::kKilled);
  EXPECT_EQ(Value("cut"), 1);
}

TEST_F(verdict_test, ForeignAnswerIsCrossed)
{
  Sent("r-1", 0, fate::kForeign);
  EXPECT_EQ(Value("crossed"), 1);
  EXPECT_EQ(Judge(mEvidence).mFindings.size(), 1U);
}

} // namespace
} // namespace mangospan::scenario
