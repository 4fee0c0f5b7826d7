// Chooses the runner for one task. Answers a pool at its peak, when most
// runners are nearly full and a wrong choice strands room that a wide task
// would have needed.
#ifndef MANGOSPAN_JOBS_PLACEMENT_H
#define MANGOSPAN_JOBS_PLACEMENT_H

#include <cstddef>
#include <vector>

#include "mangospan/base/time.h"
#include "mangospan/jobs/runner.h"
#include "mangospan/jobs/spec.h"

namespace mangospan::jobs {

// A task that is to be placed, with what limits its choice.
struct placement_request
{
  const step_spec& mStep;
  task_id mTask;
  runner_name mAvoid;  // it failed there; taken only if nothing else fits
  rack_name mNearRack; // where its siblings run; empty: no wish
};

// Whether the runner may be given new runs at all.
bool
TakesRuns(const runner& aRunner, time_point aNow);

// The room that is left in a pool, as far as it saves looking in vain. At a
// peak hundreds of steps wait for a pool that is full.
class pool_room
{
public:
  pool_room(const std::vector<runner*>& aPool, time_point aNow);

  // False if the step's tasks certainly fit nowhere.
  bool MayFit(const step_spec& aStep) const;
  // No runner had room for one of the step's tasks.
  void OnNoRoom(const step_spec& aStep);

private:
  resources mMost; // of each kind, on any runner
  std::vector<resources> mTooMuch;
};

// The best runner among `aPool`, or null if the task fits nowhere now.
runner*
ChooseRunner(const placement_request& aRequest,
             const std::vector<runner*>& aPool,
             time_point aNow);

} // namespace mangospan::jobs

#endif // MANGOSPAN_JOBS_PLACEMENT_H
