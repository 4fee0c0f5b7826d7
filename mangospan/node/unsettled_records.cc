#include "mangospan/node/unsettled_records.h"

#include "mangospan/platform/store.h"

namespace mangospan::node {

namespace {

// A record in this many writes without an answer is written with few others,
// and after one more alone.
constexpr int kUnansweredBeforeSplit = 2;
constexpr std::size_t kMaxPerSplitWrite = 4;
// After this many, a record is written only at the longer delay.
constexpr int kMaxQuickWrites = 8;

} // namespace

void
unsettled_records::OnUnanswered(const jobs::job_name& aJob,
                                time_point aSentAt,
                                std::chrono::milliseconds aLongDelay)
{
  unsettled& record = mRecords[aJob];
  ++record.mUnanswered;
  record.mRetryAt =
    record.mUnanswered < kMaxQuickWrites ? time_point{} : aSentAt + aLongDelay;
}

void
unsettled_records::RetryAll()
{
  for (auto& [job, each] : mRecords) {
    each.mRetryAt = time_point{};
  }
}

std::size_t
unsettled_records::MaxPerWrite(const jobs::job_name& aJob) const
{
  const auto found = mRecords.find(aJob);
  if (found == mRecords.end() ||
      found->second.mUnanswered < kUnansweredBeforeSplit) {
    return platform::kMaxTransactionKeys;
  }
  return found->second.mUnanswered == kUnansweredBeforeSplit ? kMaxPerSplitWrite
                                                             : 1;
}

void
unsettled_records::AddHeldBack(time_point aNow,
                               std::set<jobs::job_name>& aJobs) const
{
  for (const auto& [job, each] : mRecords) {
    if (aNow < each.mRetryAt) {
      aJobs.insert(job);
    }
  }
}

} // namespace mangospan::node
