#include "mangospan/node/refused_records.h"

namespace mangospan::node {

void
refused_records::OnWriteRefused(const std::vector<jobs::job_name>& aJobs)
{
  mAlone.insert(aJobs.begin(), aJobs.end());
}

void
refused_records::OnRecordRefused(const jobs::job_name& aJob,
                                 std::uint64_t aVersion,
                                 time_point aNow)
{
  mAlone.insert(aJob);
  mRefused[aJob] = { aVersion, aNow + kRetryDelay };
}

void
refused_records::Remove(const jobs::job_name& aJob)
{
  mAlone.erase(aJob);
  mRefused.erase(aJob);
}

bool
refused_records::MustBeAlone(const jobs::job_name& aJob) const
{
  return mAlone.count(aJob) > 0;
}

bool
refused_records::IsHeldBack(const jobs::job_name& aJob,
                            std::uint64_t aVersion,
                            time_point aNow) const
{
  const auto found = mRefused.find(aJob);
  return found != mRefused.end() && found->second.mVersion == aVersion &&
         aNow < found->second.mRetryAt;
}

std::vector<jobs::job_name>
refused_records::Jobs() const
{
  std::vector<jobs::job_name> out;
  for (const auto& [job, each] : mRefused) {
    out.push_back(job);
  }
  return out;
}

} // namespace mangospan::node
