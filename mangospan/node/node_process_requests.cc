#include <utility>

#include "mangospan/node/job_http.h"
#include "mangospan/node/job_search.h"
#include "mangospan/node/node_process.h"
#include "mangospan/node/submission.h"

namespace mangospan::node {

using std::chrono::milliseconds;

job_service_finder
node_process::Finder()
{
  return [this](const service_name& aService) -> job_service& {
    return FindOrAddPartition(aService).Jobs();
  };
}

std::vector<service_name>
node_process::SearchOrder(const jobs::queue_policy& aQueue) const
{
  std::vector<service_name> out{ aQueue.mService };
  for (const auto& [service, each] : mPartitions) {
    if (service != aQueue.mService) {
      out.push_back(service);
    }
  }
  return out;
}

void
node_process::Submit(const jobs::job_name& aJob,
                     const jobs::job_spec& aSpec,
                     milliseconds aTimeout,
                     reply_handler aHandler)
{
  // Each attempt uses the newest catalog.
  const auto finder = [this, queue = aSpec.mQueue]() -> job_service& {
    const auto* const policy = mCatalog ? mCatalog->FindQueue(queue) : nullptr;
    return policy == nullptr ? mUnavailableJobs
                             : FindOrAddPartition(policy->mService).Jobs();
  };
  std::make_shared<submission>(mIo, mClock, finder, aJob, aSpec)
    ->Start(aTimeout, std::move(aHandler));
}

void
node_process::Search(const jobs::queue_policy& aQueue,
                     job_call aCall,
                     const jobs::job_name& aJob,
                     milliseconds aTimeout,
                     reply_handler aHandler)
{
  SearchJob(
    mClock,
    Finder(),
    SearchOrder(aQueue),
    [aCall, aJob](
      job_service& aService, milliseconds aRemaining, reply_handler aReply) {
      (aService.*aCall)(aJob, aRemaining, std::move(aReply));
    },
    aTimeout,
    std::move(aHandler));
}

void
node_process::Cancel(const jobs::queue_policy& aQueue,
                     const jobs::job_name& aJob,
                     milliseconds aTimeout,
                     reply_handler aHandler)
{
  Search(aQueue, &job_service::Cancel, aJob, aTimeout, std::move(aHandler));
}

void
node_process::Read(const jobs::queue_policy& aQueue,
                   const jobs::job_name& aJob,
                   milliseconds aTimeout,
                   reply_handler aHandler)
{
  Search(aQueue, &job_service::Read, aJob, aTimeout, std::move(aHandler));
}

void
node_process::CountWaiting(const jobs::queue_policy& aQueue,
                           milliseconds aTimeout,
                           reply_handler aHandler)
{
  node::CountWaiting(
    Finder(), SearchOrder(aQueue), aQueue.mName, aTimeout, std::move(aHandler));
}

void
node_process::ServeNode(const http::request& aRequest,
                        const http::responder& aRespond)
{
  const std::string_view path = http::Path(aRequest);
  if (path == kHealthPath) {
    aRespond(AnswerHealth());
    return;
  }
  const auto found = mPartitions.find(ServiceOfRequest(aRequest));
  if (IsYieldRequest(aRequest)) {
    if (found != mPartitions.end()) {
      found->second.Yield();
    }
    aRespond(http::JsonResponse(200, "{}"));
    return;
  }
  owner* const local =
    found == mPartitions.end() ? nullptr : found->second.LocalOwner();
  if (local == nullptr) {
    if (IsPoolExchange(aRequest)) {
      aRespond(http::JsonResponse(503, "{}"));
    } else {
      ServeJobs(aRequest, mUnavailableJobs, aRespond);
    }
  } else if (IsPoolExchange(aRequest)) {
    ServePool(
      aRequest,
      [local](const pool_instructions& aInstructions) {
        return local->Exchange(aInstructions);
      },
      aRespond);
  } else {
    ServeJobs(aRequest, *local, aRespond);
  }
}

} // namespace mangospan::node
