// Placement: chooses the runner for one task.
//
// At a pool's peak most runners are nearly full, and a bad choice fragments the
// free capacity, so that a task with a large reservation fits nowhere.
#ifndef MANGOSPAN_JOBS_PLACEMENT_H
#define MANGOSPAN_JOBS_PLACEMENT_H

#include <cstddef>
#include <vector>

#include "mangospan/base/time.h"
#include "mangospan/jobs/runner.h"
#include "mangospan/jobs/spec.h"

namespace mangospan::jobs {

// A task to place, and the preferences for its runner.
struct placement_request
{
  const step_spec& mStep;
  task_id mTask;
  // The runners on which the task has failed. One of them is chosen only if the
  // task fits on no other, and not at all if `mMustAvoid` is set.
  std::vector<runner_name> mAvoidRunners;
  // The rack on which the other tasks of the step run. Empty: no preference.
  rack_name mPreferredRack;
  bool mMustAvoid = false;
  // The job fails if this run does.
  bool mIsLastAttempt = false;
};

// Returns whether the task has failed on the runner.
bool
HasFailedOn(const placement_request& aRequest, const runner& aRunner);

// Returns whether the task fits on the runner now.
bool
Fits(const placement_request& aRequest, const runner& aRunner);

// Returns whether the task fits on the runner once all runs there that are not
// long-running are over.
bool
MayFitLater(const placement_request& aRequest, const runner& aRunner);

// Returns why the runner gets no new runs, in one word for logs, or null if it
// may get some. A runner gets new runs if it is listed by service discovery,
// has answered this owner (so that it refuses orders of earlier owners), is in
// the stored roster, answers polls, and is neither draining, cordoned,
// quarantined nor busy with too many starts.
const char*
ReasonToGetNoRuns(const runner& aRunner, time_point aNow);

// Returns whether the runner may get new runs.
bool
CanAcceptRuns(const runner& aRunner, time_point aNow);

// The same, but for what passes within a second or so.
bool
CanAcceptRunsSoon(const runner& aRunner, time_point aNow);

// An upper bound of the free capacity of a pool's runners. It skips the search
// for a runner for steps that certainly fit nowhere: at a peak hundreds of
// steps wait for a full pool.
class pool_free_capacity
{
public:
  pool_free_capacity(const std::vector<runner*>& aPool, time_point aNow);

  // Returns false if the step's tasks certainly fit on no runner.
  bool MayFit(const step_spec& aStep) const;
  // Records that one of the step's tasks fitted on no runner.
  void OnPlacementFailed(const step_spec& aStep);

private:
  resources mMaxFree; // the maximum of each resource over all runners
  // The reservations that fitted on no runner.
  std::vector<resources> mRejectedReservations;
};

// Returns the best of these runners, which may all get new runs, for the task,
// or null if it fits on none now.
runner*
ChooseAmong(const placement_request& aRequest,
            const std::vector<runner*>& aRunners,
            time_point aNow);

// Returns the best runner of `aPool` that may get new runs for the task, or
// null if it fits on none now.
runner*
ChooseRunner(const placement_request& aRequest,
             const std::vector<runner*>& aPool,
             time_point aNow);

} // namespace mangospan::jobs

#endif // MANGOSPAN_JOBS_PLACEMENT_H
