// A step that a plan of the scheduler may start tasks of. Used by the sources
// of the scheduler only.
#ifndef MANGOSPAN_JOBS_INTERNAL_SCHEDULER_CANDIDATE_H
#define MANGOSPAN_JOBS_INTERNAL_SCHEDULER_CANDIDATE_H

#include <cstddef>
#include <vector>

#include "mangospan/jobs/ranking.h"
#include "mangospan/jobs/scheduler.h"

namespace mangospan::jobs {

// A step that has tasks which may start now.
struct scheduler::candidate
{
  job* mJob = nullptr;
  std::size_t mOccurrence = 0;
  std::size_t mStep = 0;
  rank mRank;

  const step_spec& Spec() const { return mJob->mSpec.mSteps[mStep]; }
  step& Step() const
  {
    return mJob->mOccurrences.at(mOccurrence).mSteps[mStep];
  }
  std::vector<task>& Tasks() const { return Step().mTasks; }
  task_id Id(std::size_t aIndex) const
  {
    return { mJob->mName, mOccurrence, mStep, aIndex };
  }
};

} // namespace mangospan::jobs

#endif // MANGOSPAN_JOBS_INTERNAL_SCHEDULER_CANDIDATE_H
