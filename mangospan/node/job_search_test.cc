#include "mangospan/node/job_search.h"

#include <map>

#include <gtest/gtest.h>

#include "mangospan/node/testing/fixed_jobs.h"

namespace mangospan::node {
namespace {

using std::chrono::milliseconds;
using testing::fixed_jobs;

const service_name kPresent{ "present" };
const service_name kFormer{ "former" };

class job_search_test : public ::testing::Test
{
protected:
  job_service_finder Finder()
  {
    return [this](const service_name& aService) -> job_service& {
      return mServices.at(aService);
    };
  }
  job_reply Read()
  {
    job_reply out;
    SearchJob(
      mClock,
      Finder(),
      { kPresent, kFormer },
      [](job_service& aService, milliseconds aLeft, reply_handler aHandler) {
        aService.Read(jobs::job_name{ "a" }, aLeft, std::move(aHandler));
      },
      milliseconds(1'000),
      [&out](const job_reply& aReply) { out = aReply; });
    return out;
  }

  const system_clock_source mClock{};
  std::map<service_name, fixed_jobs> mServices{
    { kPresent, fixed_jobs{ reply_kind::kNoSuchJob } },
    { kFormer, fixed_jobs{ reply_kind::kNoSuchJob } }
  };
};

TEST_F(job_search_test, TheQueuesServiceIsAskedFirst)
{
  mServices.at(kPresent).mReply.mKind = reply_kind::kOk;
  EXPECT_EQ(Read().mKind, reply_kind::kOk);
  EXPECT_EQ(mServices.at(kFormer).mCalls, 0);
}

TEST_F(job_search_test, AJobIsFoundWhereItWasAccepted)
{
  mServices.at(kFormer).mReply.mKind = reply_kind::kOk;
  mServices.at(kFormer).mReply.mState = jobs::job_state::kRunning;
  const job_reply found = Read();
  EXPECT_EQ(found.mKind, reply_kind::kOk);
  EXPECT_EQ(found.mState, jobs::job_state::kRunning);
}

TEST_F(job_search_test, AJobIsMissingOnlyIfEveryOwnerSaysSo)
{
  EXPECT_EQ(Read().mKind, reply_kind::kNoSuchJob);
  mServices.at(kFormer).mReply.mKind = reply_kind::kUnavailable;
  EXPECT_EQ(Read().mKind, reply_kind::kUnavailable);
}

TEST_F(job_search_test, WithoutTheQueuesOwnerTheCallerIsToldAtOnce)
{
  mServices.at(kPresent).mReply.mKind = reply_kind::kUnavailable;
  EXPECT_EQ(Read().mKind, reply_kind::kUnavailable);
  EXPECT_EQ(mServices.at(kFormer).mCalls, 0);
}

TEST_F(job_search_test, WaitingJobsAreCountedWhereverTheyWereAccepted)
{
  for (auto& [service, each] : mServices) {
    each.mReply.mKind = reply_kind::kOk;
    each.mReply.mWaiting = 3;
  }
  job_reply sum;
  const auto keep = [&sum](const job_reply& aReply) { sum = aReply; };
  CountWaiting(Finder(),
               { kPresent, kFormer },
               jobs::queue_name{ "queue" },
               milliseconds(1'000),
               keep);
  EXPECT_EQ(sum.mKind, reply_kind::kOk);
  EXPECT_EQ(sum.mWaiting, 6U);
  mServices.at(kFormer).mReply.mKind = reply_kind::kUnavailable;
  CountWaiting(Finder(),
               { kPresent, kFormer },
               jobs::queue_name{ "queue" },
               milliseconds(1'000),
               keep);
  EXPECT_EQ(sum.mKind, reply_kind::kUnavailable);
}

} // namespace
} // namespace mangospan::node
