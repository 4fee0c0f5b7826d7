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
  out.mCustomer = customer_name{ "rinks" };
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
  EXPECT_EQ(decoded.value().mCustomer.Str(), "rinks");
}

// Guards against a job of a public queue, or one stored by an earlier version,
// that can no longer be read, and against one that loses its customer at a
// takeover.
TEST(codec_test, CustomerIsStoredOnlyIfThereIsOne)
{
  job_spec spec = Spec();
  const auto record = EncodeRecord(MakeJob(job_name{ "ab" }, spec));
  EXPECT_EQ(
    DecodeRecord(job_name{ "ab" }, record).value().mSpec.mCustomer.Str(),
    "rinks");
  spec.mCustomer = {};
  EXPECT_EQ(EncodeSpec(spec).find("customer"), std::string::npos);
  EXPECT_TRUE(DecodeSpec(EncodeSpec(spec)).value().mCustomer.Empty());
}

// Guards against an owner that, after it has read a stored record, repeats
// tasks that are done or forgets failures and checkpoints.
TEST(codec_test, RecordKeepsDoneTasksFailuresAndCheckpoints)
{
  job original = MakeJob(job_name{ "ab" }, Spec());
  original.mState = job_state::kRunning;
  original.Find({ original.mName, 1, 0, 2 })->mDone = true;
  original.mOccurrences.at(1).mSteps[0].mDoneCount = 1;
  original.Find({ original.mName, 0, 0, 1 })->mFailedRuns = { 1, 1'001 };
  original.Find({ original.mName, 0, 1, 0 })->mCheckpoint = "c";
  auto decoded = DecodeRecord(original.mName, EncodeRecord(original));
  ASSERT_TRUE(decoded.has_value());
  job& record = decoded.value();
  EXPECT_EQ(record.mState, job_state::kRunning);
  EXPECT_TRUE(record.Find({ record.mName, 1, 0, 2 })->mDone);
  EXPECT_EQ(record.mOccurrences.at(1).mSteps[0].mDoneCount, 1U);
  EXPECT_EQ(record.Find({ record.mName, 0, 0, 1 })->mFailedRuns,
            (std::vector<std::uint32_t>{ 1, 1'001 }));
  EXPECT_EQ(record.Find({ record.mName, 0, 1, 0 })->mCheckpoint, "c");
}

job_spec
Repeating(std::size_t aRepetitions)
{
  job_spec out = Spec();
  out.mRepetitions = aRepetitions;
  return out;
}

// Guards against a record that grows with the occurrences that a job may ever
// have: the store did not take it, and no other record was written either.
TEST(codec_test, RecordDoesNotGrowWithOccurrencesThatHaveNotBegun)
{
  constexpr std::size_t kMaxBytes = 1'500;
  const job original = MakeJob(job_name{ "ab" }, Repeating(1'000'000));
  const std::string text = EncodeRecord(original);
  EXPECT_LT(text.size(), kMaxBytes);
  const auto decoded = DecodeRecord(original.mName, text);
  ASSERT_TRUE(decoded.has_value());
  EXPECT_TRUE(decoded.value().mOccurrences.empty());
}

// Guards against occurrences that run again, or never, after a takeover.
TEST(codec_test, RecordKeepsDoneOccurrences)
{
  job original = MakeJob(job_name{ "ab" }, Repeating(1'000));
  for (const std::size_t k : { 0, 1, 5 }) {
    original.mDoneOccurrences.Add(k);
  }
  const auto decoded = DecodeRecord(original.mName, EncodeRecord(original));
  ASSERT_TRUE(decoded.has_value());
  const done_occurrences& done = decoded.value().mDoneOccurrences;
  EXPECT_EQ(done.Count(), 3U);
  EXPECT_EQ(done.Ranges().size(), 2U);
  EXPECT_TRUE(done.Contains(1));
  EXPECT_FALSE(done.Contains(2));
  EXPECT_TRUE(done.Contains(5));
}

// Guards against a job that is accepted and whose record the store then does
// not take.
TEST(codec_test, JobWhoseRecordWouldBeTooLargeIsInvalid)
{
  job_spec wide = Spec();
  wide.mSteps.assign(3, wide.mSteps[0]);
  for (step_spec& each : wide.mSteps) {
    each.mTaskCount = 10'000;
  }
  EXPECT_NE(ValidateSpec(wide).find("1000000"), std::string::npos);
  job_spec dense = Spec();
  dense.mSteps.assign(1'000, dense.mSteps[0]);
  for (std::size_t i = 0; i < dense.mSteps.size(); ++i) {
    dense.mSteps[i].mAfter.assign(i, 0);
  }
  EXPECT_FALSE(ValidateSpec(dense).empty());
  EXPECT_TRUE(ValidateSpec(Repeating(1'000'000)).empty());
}

// Guards against a record of the largest valid job that the store does not
// take, with failed runs and saved progress of all tasks.
TEST(codec_test, LargestRecordOfValidJobIsWithinLimit)
{
  job_spec spec = Spec();
  spec.mRepetitions = 0;
  spec.mSteps.resize(1);
  spec.mSteps[0].mTaskCount = 10'000;
  ASSERT_TRUE(ValidateSpec(spec).empty());
  job original = MakeJob(job_name{ "0123456789abcdef" }, spec);
  for (std::size_t i = 0; i < spec.mSteps[0].mTaskCount; ++i) {
    task& each = *original.Find({ original.mName, 0, 0, i });
    each.mFailedRuns = { 10'001, 10'002, 10'003 };
    each.mCheckpoint = std::string(100, 'c');
  }
  EXPECT_LE(EncodeRecord(original).size(), kMaxRecordBytes);
}

// Guards against a job that is lost, or runs again, after an update: earlier
// versions wrote all occurrences.
TEST(codec_test, RecordOfEarlierVersionIsReadWithoutLoss)
{
  job original = MakeJob(job_name{ "ab" }, Repeating(3));
  std::string steps;
  std::string allDone;
  for (const step_spec& each : original.mSpec.mSteps) {
    const std::string first = steps.empty() ? "1" : "0";
    steps += (steps.empty() ? "\"" : ",\"") + first +
             std::string(each.mTaskCount - 1, '0') + "\"";
    allDone += (allDone.empty() ? "\"" : ",\"") +
               std::string(each.mTaskCount, '1') + "\"";
  }
  const std::string text =
    R"({"state":"running","accepted_ms":5,"spec":)" +
    EncodeSpec(original.mSpec) + R"(,"done":[[)" + steps + "],[" + allDone +
    "],[" + steps + R"(]],"failures":{"ab.2.0.1":[7]},"checkpoints":{}})";
  auto decoded = DecodeRecord(original.mName, text);
  ASSERT_TRUE(decoded.has_value()) << decoded.error().mMessage;
  job& record = decoded.value();
  EXPECT_TRUE(record.Find({ record.mName, 0, 0, 0 })->mDone);
  EXPECT_FALSE(record.Find({ record.mName, 0, 0, 1 })->mDone);
  EXPECT_TRUE(record.mDoneOccurrences.Contains(1));
  EXPECT_EQ(record.Find({ record.mName, 2, 0, 1 })->mFailedRuns,
            (std::vector<std::uint32_t>{ 7 }));
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
