// Asks the owners of several services for one job. A queue may have changed its
// service since the job was accepted, so its present service is asked first,
// the others only if that does not know the job.
#ifndef MANGOSPAN_NODE_JOB_SEARCH_H
#define MANGOSPAN_NODE_JOB_SEARCH_H

#include <chrono>
#include <functional>
#include <memory>
#include <vector>

#include "mangospan/base/identity.h"
#include "mangospan/base/time.h"
#include "mangospan/node/job_service.h"

namespace mangospan::node {

using job_service_finder = std::function<job_service&(const service_name&)>;
using job_question = std::function<
  void(job_service&, std::chrono::milliseconds aPatience, reply_handler)>;

// `aServices`: in the order in which they are asked. Replies kNoSuchJob only if
// each has said so, and kUnavailable if one could not be asked.
void
SearchJob(const clock_source& aClock,
          job_service_finder aFinder,
          std::vector<service_name> aServices,
          job_question aQuestion,
          std::chrono::milliseconds aPatience,
          reply_handler aHandler);

// The sum over all of `aServices`; kUnavailable if one can not be asked.
void
CountWaiting(const job_service_finder& aFinder,
             const std::vector<service_name>& aServices,
             const jobs::queue_name& aQueue,
             std::chrono::milliseconds aPatience,
             reply_handler aHandler);

} // namespace mangospan::node

#endif // MANGOSPAN_NODE_JOB_SEARCH_H
