// Sends requests about jobs to the owners of several services. A queue may have
// moved to another service after a job was accepted. The owner of the queue's
// present service is therefore asked first, the others only if it does not know
// the job.
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

// Returns the job service that takes requests for a service's jobs.
using job_service_finder = std::function<job_service&(const service_name&)>;
// Makes one call to a job service, with the time that remains for it.
using job_request = std::function<
  void(job_service&, std::chrono::milliseconds aRemaining, reply_handler)>;

// Makes the call `aRequest` to the owners of `aServices`, in their order, until
// one replies anything but kNoSuchJob or kUnavailable, and passes that reply to
// `aHandler`. Replies kNoSuchJob only if every owner replied so. Replies
// kUnavailable at once if the first owner is unavailable, at the end if another
// one was or has the job as kNotStored, and if `aServices` is empty.
void
SearchJob(const clock_source& aClock,
          job_service_finder aFinder,
          std::vector<service_name> aServices,
          job_request aRequest,
          std::chrono::milliseconds aTimeout,
          reply_handler aHandler);

// Counts the waiting jobs of a queue at the owners of all `aServices`. Replies
// kUnavailable if `aServices` is empty; if a call fails, replies with the kind
// of the last failure.
void
CountWaiting(const job_service_finder& aFinder,
             const std::vector<service_name>& aServices,
             const jobs::queue_name& aQueue,
             std::chrono::milliseconds aTimeout,
             reply_handler aHandler);

} // namespace mangospan::node

#endif // MANGOSPAN_NODE_JOB_SEARCH_H
