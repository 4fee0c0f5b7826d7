#include "mangospan/node/job_search.h"

#include <map>

#include <gtest/gtest.h>

#include "mangospan/node/unavailable_job_service.h"

namespace mangospan::node {
namespace {

using std::chrono::milliseconds;

const service_name kPresent{ "present" };
const service_name kFormer{ "former" };

job_reply
Reply(reply_kind aKind)
{
  job_reply out;
  out.mKind = aKind;
  return out;
}

class job_search_test : public ::testing::Test
{
protected:
  job_service_finder Finder()
  {
    mServices.clear();
    for (const auto& [service, reply] : mReplies) {
      mServices.emplace(service, reply);
    }
    return [this](const service_name& aService) -> job_service& {
      ++mCalls[aService];
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
      [](job_service& aService,
         milliseconds aRemaining,
         reply_handler aHandler) {
        aService.Read(jobs::job_name{ "a" }, aRemaining, std::move(aHandler));
      },
      milliseconds(1'000),
      [&out](const job_reply& aReply) { out = aReply; });
    return out;
  }

  const system_clock_source mClock{};
  std::map<service_name, job_reply> mReplies{
    { kPresent, Reply(reply_kind::kNoSuchJob) },
    { kFormer, Reply(reply_kind::kNoSuchJob) }
  };
  std::map<service_name, unavailable_job_service> mServices;
  std::map<service_name, int> mCalls;
};

TEST_F(job_search_test, AsksTheServiceOfTheQueueFirst)
{
  mReplies.at(kPresent).mKind = reply_kind::kOk;
  EXPECT_EQ(Read().mKind, reply_kind::kOk);
  EXPECT_EQ(mCalls[kFormer], 0);
}

TEST_F(job_search_test, FindsJobAtServiceThatAcceptedIt)
{
  mReplies.at(kFormer).mKind = reply_kind::kOk;
  mReplies.at(kFormer).mJobState = jobs::job_state::kRunning;
  const job_reply found = Read();
  EXPECT_EQ(found.mKind, reply_kind::kOk);
  EXPECT_EQ(found.mJobState, jobs::job_state::kRunning);
}

TEST_F(job_search_test, ReportsMissingJobOnlyIfNoOwnerKnowsIt)
{
  EXPECT_EQ(Read().mKind, reply_kind::kNoSuchJob);
  mReplies.at(kFormer).mKind = reply_kind::kUnavailable;
  EXPECT_EQ(Read().mKind, reply_kind::kUnavailable);
}

TEST_F(job_search_test, RepliesUnavailableAtOnceIfOwnerOfTheQueueIsUnavailable)
{
  mReplies.at(kPresent).mKind = reply_kind::kUnavailable;
  EXPECT_EQ(Read().mKind, reply_kind::kUnavailable);
  EXPECT_EQ(mCalls[kFormer], 0);
}

TEST_F(job_search_test, CountsWaitingJobsOfAllServices)
{
  for (auto& [service, each] : mReplies) {
    each.mKind = reply_kind::kOk;
    each.mWaitingCount = 3;
  }
  job_reply sum;
  const auto keep = [&sum](const job_reply& aReply) { sum = aReply; };
  CountWaiting(Finder(),
               { kPresent, kFormer },
               jobs::queue_name{ "queue" },
               milliseconds(1'000),
               keep);
  EXPECT_EQ(sum.mKind, reply_kind::kOk);
  EXPECT_EQ(sum.mWaitingCount, 6U);
  mReplies.at(kFormer).mKind = reply_kind::kUnavailable;
  CountWaiting(Finder(),
               { kPresent, kFormer },
               jobs::queue_name{ "queue" },
               milliseconds(1'000),
               keep);
  EXPECT_EQ(sum.mKind, reply_kind::kUnavailable);
}

} // namespace
} // namespace mangospan::node
