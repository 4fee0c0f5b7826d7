#include "mangospan/jobs/codec.h"

#include <gtest/gtest.h>

namespace mangospan::jobs {
namespace {

using std::chrono::milliseconds;

job_spec
Spec()
{
  step_spec first;
  first.mTasks = 3;
  first.mNeed = { 500, 256, 1 };
  first.mEstimate = milliseconds(900);
  first.mDataRack = rack_name{ "r1-3" };
  step_spec second;
  second.mAfter = { 0 };
  second.mLasting = true;
  second.mMaxAway = 1;
  second.mTargetLatency = milliseconds(40);
  job_spec out;
  out.mQueue = queue_name{ "q" };
  out.mPayload = "some \"text\"";
  out.mSteps = { first, second };
  out.mRepetitions = 2;
  out.mFirstDue = wall_time(milliseconds(1'234));
  out.mInterval = milliseconds(500);
  return out;
}

TEST(codec_test, ASpecificationComesBackAsItWas)
{
  const auto back = DecodeSpec(EncodeSpec(Spec()));
  ASSERT_TRUE(back.has_value());
  EXPECT_EQ(EncodeSpec(back.value()), EncodeSpec(Spec()));
  EXPECT_EQ(back.value().mSteps[0].mNeed.mGpus, 1);
  EXPECT_EQ(back.value().DueAt(1), wall_time(milliseconds(1'734)));
}

TEST(codec_test, ARecordKeepsWhatIsDoneAndWhatFailed)
{
  job one = MakeJob(job_name{ "ab" }, Spec());
  one.mState = job_state::kRunning;
  one.mOccurrences[1].mSteps[0].mTasks[2].mDone = true;
  one.mOccurrences[1].mSteps[0].mDone = 1;
  one.mOccurrences[0].mSteps[0].mTasks[1].mFailedRuns = { 1, 1'001 };
  one.mOccurrences[0].mSteps[1].mTasks[0].mCheckpoint = "c";
  const auto back = DecodeRecord(one.mName, EncodeRecord(one));
  ASSERT_TRUE(back.has_value());
  const job& other = back.value();
  EXPECT_EQ(other.mState, job_state::kRunning);
  EXPECT_TRUE(other.mOccurrences[1].mSteps[0].mTasks[2].mDone);
  EXPECT_EQ(other.mOccurrences[1].mSteps[0].mDone, 1U);
  EXPECT_EQ(other.mOccurrences[0].mSteps[0].mTasks[1].mFailedRuns,
            (std::vector<std::uint32_t>{ 1, 1'001 }));
  EXPECT_EQ(other.mOccurrences[0].mSteps[1].mTasks[0].mCheckpoint, "c");
}

TEST(codec_test, MalformedTextIsRefusedWithAReason)
{
  for (const char* text : { "",
                            "[]",
                            "{}",
                            R"({"queue":"q","steps":[]})",
                            R"({"queue":"q","steps":[{"tasks":0}]})",
                            R"({"queue":3,"steps":"x"})" }) {
    const auto back = DecodeSpec(text);
    ASSERT_TRUE(back.has_error()) << text;
    EXPECT_EQ(back.error().mCode, error_code::kInvalidArgument);
    EXPECT_FALSE(back.error().mMessage.empty());
  }
}

TEST(codec_test, AStepMayOnlyComeAfterEarlierOnes)
{
  job_spec spec = Spec();
  spec.mSteps[0].mAfter = { 1 };
  EXPECT_FALSE(FindFlaw(spec).empty());
}

TEST(codec_test, ARosterTellsWhenSilentRunnersAreDead)
{
  runner_info info;
  info.mName = runner_name{ "r" };
  info.mCapacity = { 4'000, 1'024, 2 };
  const wall_time deadBy{ milliseconds(77) };
  const auto back =
    DecodeRoster(EncodeRoster({ { info, std::nullopt }, { info, deadBy } }));
  ASSERT_TRUE(back.has_value());
  EXPECT_FALSE(back.value()[0].mDeadBy.has_value());
  EXPECT_EQ(back.value()[1].mDeadBy, deadBy);
  EXPECT_EQ(back.value()[1].mInfo.mCapacity.mGpus, 2);
}

TEST(codec_test, TaskNamesAreReadFromTheirEnd)
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
