// The jobs whose records the store has refused, so that these hold up the write
// of no other record.
//
// A refusal of a write with several records does not tell which of them is the
// reason: each is written alone next. A record that is refused when it is alone
// is held back until it changes, or for a while.
#ifndef MANGOSPAN_NODE_REFUSED_RECORDS_H
#define MANGOSPAN_NODE_REFUSED_RECORDS_H

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "mangospan/base/time.h"
#include "mangospan/jobs/spec.h"

namespace mangospan::node {

class refused_records
{
public:
  // The time after which a refused record is written once more.
  static constexpr std::chrono::milliseconds kRetryDelay{ 10'000 };

  // Notes that the store has refused a write with the records of these jobs.
  void OnWriteRefused(const std::vector<jobs::job_name>& aJobs);
  // Notes that the store takes no record of this version of the job.
  void OnRecordRefused(const jobs::job_name& aJob,
                       std::uint64_t aVersion,
                       time_point aNow);
  // Forgets the job: it is stored, or gone.
  void Remove(const jobs::job_name& aJob);

  // Returns whether the job's record has to be written without any other.
  bool MustBeAlone(const jobs::job_name& aJob) const;
  // Returns whether the record of this version of the job is not to be written
  // now.
  bool IsHeldBack(const jobs::job_name& aJob,
                  std::uint64_t aVersion,
                  time_point aNow) const;
  // Returns the jobs whose record of some version was refused when alone.
  std::vector<jobs::job_name> Jobs() const;

private:
  struct refusal
  {
    std::uint64_t mVersion = 0; // as in `jobs::job`
    time_point mRetryAt{};
  };

  std::set<jobs::job_name> mAlone;
  std::map<jobs::job_name, refusal> mRefused;
};

} // namespace mangospan::node

#endif // MANGOSPAN_NODE_REFUSED_RECORDS_H
