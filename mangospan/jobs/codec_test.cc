#include "mangospan/jobs/codec.h"

#include <gtest/gtest.h>

namespace mangospan::jobs {
namespace {

using std::chrono::milliseconds;

// Returns a valid specification of a batch step and a long-running step that
// depends on it.
job_spec
Spec()
{
  step_spec batch;
  batch.mTaskCount = 3;
  batch.mTaskResources = { 500, 256, 1 };
  batch.mEstimate = milliseconds(900);
  batch.mDataRack = rack_name{ "r1-3" };
  step_spec service;
  service.mAfter = { 0 };
  service.mLongRunning = true;
  service.mMaxUnavailable = 1;
  service.mTargetLatency = milliseconds(40);
  job_spec out;
  out.mQueue = queue_name{ "q" };
  out.mPayload = "some \"text\"";
  out.mSteps = { batch, service };
  out.mRepetitions = 2;
  out.mFirstDue = wall_time(milliseconds(1'234));
  out.mInterval = milliseconds(500);
  return out;
}

// Guards against a field of the specification that is lost or altered in JSON.
TEST(codec_test, SpecRoundTrips)
{
  const auto decoded = DecodeSpec(EncodeSpec(Spec()));
  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(EncodeSpec(decoded.value()), EncodeSpec(Spec()));
  EXPECT_EQ(decoded.value().mSteps[0].mTaskResources.mGpus, 1);
  EXPECT_EQ(decoded.value().DueAt(1), wall_time(milliseconds(1'734)));
}

// Guards against an owner that, after it has read a stored record, repeats
// tasks that are done or forgets failures and checkpoints.
TEST(codec_test, RecordKeepsDoneTasksFailuresAndCheckpoints)
{
  job original = MakeJob(job_name{ "ab" }, Spec());
  original.mState = job_state::kRunning;
  original.mOccurrences[1].mSteps[0].mTasks[2].mDone = true;
  original.mOccurrences[1].mSteps[0].mDoneCount = 1;
  original.mOccurrences[0].mSteps[0].mTasks[1].mFailedRuns = { 1, 1'001 };
  original.mOccurrences[0].mSteps[1].mTasks[0].mCheckpoint = "c";
  const auto decoded = DecodeRecord(original.mName, EncodeRecord(original));
  ASSERT_TRUE(decoded.has_value());
  const job& record = decoded.value();
  EXPECT_EQ(record.mState, job_state::kRunning);
  EXPECT_TRUE(record.mOccurrences[1].mSteps[0].mTasks[2].mDone);
  EXPECT_EQ(record.mOccurrences[1].mSteps[0].mDoneCount, 1U);
  EXPECT_EQ(record.mOccurrences[0].mSteps[0].mTasks[1].mFailedRuns,
            (std::vector<std::uint32_t>{ 1, 1'001 }));
  EXPECT_EQ(record.mOccurrences[0].mSteps[1].mTasks[0].mCheckpoint, "c");
}

// Guards against malformed input that is accepted, or rejected without a
// message.
TEST(codec_test, DecodeSpecRejectsMalformedTextWithMessage)
{
  for (const char* text : { "",
                            "[]",
                            "{}",
                            R"({"queue":"q","steps":[]})",
                            R"({"queue":"q","steps":[{"tasks":0}]})",
                            R"({"queue":3,"steps":"x"})" }) {
    const auto decoded = DecodeSpec(text);
    ASSERT_TRUE(decoded.has_error()) << text;
    EXPECT_EQ(decoded.error().mCode, error_code::kInvalidArgument);
    EXPECT_FALSE(decoded.error().mMessage.empty());
  }
}

// Guards against circular dependencies: a step that depends on a later one
// could never start.
TEST(codec_test, StepMayDependOnlyOnEarlierSteps)
{
  job_spec spec = Spec();
  spec.mSteps[0].mAfter = { 1 };
  EXPECT_FALSE(ValidateSpec(spec).empty());
}

// Guards against a roster that loses the time within which the runs on an
// unresponsive runner end, or sets one for a runner whose lease is extended.
TEST(codec_test, RosterKeepsTimeWithinWhichRunsEnd)
{
  runner_info info;
  info.mName = runner_name{ "r" };
  info.mCapacity = { 4'000, 1'024, 2 };
  const milliseconds within{ 77 };
  const auto decoded =
    DecodeRoster(EncodeRoster({ { info, std::nullopt }, { info, within } }));
  ASSERT_TRUE(decoded.has_value());
  EXPECT_FALSE(decoded.value()[0].mRunsEndWithin.has_value());
  EXPECT_EQ(decoded.value()[1].mRunsEndWithin, within);
  EXPECT_EQ(decoded.value()[1].mInfo.mCapacity.mGpus, 2);
}

// Guards against a task that runs twice after an update: the time of day in a
// roster of an earlier version says nothing about this host's, but the lease is
// not extended without another roster.
TEST(codec_test, RosterOfEarlierVersionHasLongestLease)
{
  const auto decoded = DecodeRoster(
    R"([{"runner":"r","service":"s","address":"a:1","zone":"z","rack":"k",)"
    R"("labels":[],"capacity":{"cpu":1,"memory_mb":1,"gpus":0},"boot":1,)"
    R"("dead_by_ms":1700000000000}])");
  ASSERT_TRUE(decoded.has_value());
  ASSERT_TRUE(decoded.value()[0].mRunsEndWithin.has_value());
  EXPECT_GE(*decoded.value()[0].mRunsEndWithin, std::chrono::seconds(20));
}

// Guards against task ids that are split wrongly. The three numbers are read
// from the end of the text; the rest is the name of the job.
TEST(codec_test, ParseTaskIdReadsNumbersFromTheEnd)
{
  const auto id = ParseTaskId("5c0e.1.2.17");
  ASSERT_TRUE(id.has_value());
  EXPECT_EQ(id->Text(), "5c0e.1.2.17");
  EXPECT_FALSE(ParseTaskId("5c0e.1.2").has_value());
  EXPECT_FALSE(ParseTaskId("5c0e.1.x.2").has_value());
  EXPECT_FALSE(ParseTaskId(".1.1.1").has_value());
}

} // namespace
} // namespace mangospan::jobs
