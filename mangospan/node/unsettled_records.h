// The jobs whose records may be in the store in a version that this owner does
// not know of, since some write of them has had no answer.
//
// A record is settled by writing it again under the same condition, which is
// the former revision of its key: of all these writes at most one has an
// effect, and the others are in conflict and tell the present record. A write
// that stays without an answer again and again holds up only its own records:
// they are written in ever smaller groups, and at last alone.
#ifndef MANGOSPAN_NODE_UNSETTLED_RECORDS_H
#define MANGOSPAN_NODE_UNSETTLED_RECORDS_H

#include <cstddef>
#include <map>
#include <set>

#include "mangospan/base/time.h"
#include "mangospan/jobs/spec.h"

namespace mangospan::node {

class unsettled_records
{
public:
  // Notes that a write of the job's record that was sent at `aSentAt` has had
  // no answer. After several such writes the next one is due only `aLongDelay`
  // after the last, else at once.
  void OnUnanswered(const jobs::job_name& aJob,
                    time_point aSentAt,
                    std::chrono::milliseconds aLongDelay);
  // Forgets the job: its record is known to be stored, or the job is gone.
  void Remove(const jobs::job_name& aJob) { mRecords.erase(aJob); }
  // Makes all records due at once.
  void RetryAll();

  bool Contains(const jobs::job_name& aJob) const
  {
    return mRecords.count(aJob) > 0;
  }
  // Returns how many records a write that carries this one may have.
  std::size_t MaxPerWrite(const jobs::job_name& aJob) const;
  // Adds the jobs whose next write is not due yet to `aJobs`.
  void AddHeldBack(time_point aNow, std::set<jobs::job_name>& aJobs) const;

private:
  struct unsettled
  {
    int mUnanswered = 0; // writes
    time_point mRetryAt{};
  };

  std::map<jobs::job_name, unsettled> mRecords;
};

} // namespace mangospan::node

#endif // MANGOSPAN_NODE_UNSETTLED_RECORDS_H
