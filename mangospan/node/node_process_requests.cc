#include <utility>

#include "mangospan/node/job_http.h"
#include "mangospan/node/job_search.h"
#include "mangospan/node/node_process.h"
#include "mangospan/node/submission.h"

namespace mangospan::node {

using std::chrono::milliseconds;

namespace {

// The reply to a request that comes too late to be answered before the exit.
job_reply
StoppingReply()
{
  job_reply out;
  out.mKind = reply_kind::kUnavailable;
  out.mReason = refusal_reason::kStopping;
  out.mRetryAfter = kHandoverRetryAfter;
  return out;
}

} // namespace

job_service_finder
node_process::Finder()
{
  return [this](const service_name& aService) -> job_service& {
    return FindOrAddPartition(aService).Jobs();
  };
}

// Returns the time that the request gets, which a stop limits. Refuses it and
// returns nothing if it would come too late to be answered before the exit.
std::optional<milliseconds>
node_process::TimeoutOrRefuse(milliseconds aTimeout,
                              const reply_handler& aHandler) const
{
  const auto timeout = mStopSchedule
                         ? mStopSchedule->LimitTimeout(aTimeout, mClock.Now())
                         : aTimeout;
  if (!timeout) {
    aHandler(StoppingReply());
  }
  return timeout;
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
                     jobs::job_spec aSpec,
                     std::optional<milliseconds> aCallerWaits,
                     milliseconds aTimeout,
                     reply_handler aHandler)
{
  const auto timeout = TimeoutOrRefuse(aTimeout, aHandler);
  if (!timeout) {
    return;
  }
  if (aCallerWaits) {
    aSpec.mElapsed = mCallerPatience.ElapsedSinceFirstTry(
      aSpec.mQueue, *aCallerWaits, mClock.Now());
  }
  // Each attempt uses the newest catalog.
  const auto finder = [this, queue = aSpec.mQueue]() -> job_service& {
    const auto* const policy = mCatalog ? mCatalog->FindQueue(queue) : nullptr;
    return policy == nullptr ? mUnavailableJobs
                             : FindOrAddPartition(policy->mService).Jobs();
  };
  std::make_shared<submission>(mIo, mClock, finder, aJob, std::move(aSpec))
    ->Start(*timeout, std::move(aHandler));
}

void
node_process::Search(const jobs::queue_policy& aQueue,
                     job_call aCall,
                     const jobs::job_name& aJob,
                     milliseconds aTimeout,
                     reply_handler aHandler)
{
  const auto timeout = TimeoutOrRefuse(aTimeout, aHandler);
  if (!timeout) {
    return;
  }
  SearchJob(
    mClock,
    Finder(),
    SearchOrder(aQueue),
    [aCall, aJob](
      job_service& aService, milliseconds aRemaining, reply_handler aReply) {
      (aService.*aCall)(aJob, aRemaining, std::move(aReply));
    },
    *timeout,
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
  const auto timeout = TimeoutOrRefuse(aTimeout, aHandler);
  if (!timeout) {
    return;
  }
  node::CountWaiting(
    Finder(), SearchOrder(aQueue), aQueue.mName, *timeout, std::move(aHandler));
}

job_service&
node_process::LocalJobs(const service_name& aService)
{
  const auto found = mPartitions.find(aService);
  owner* const local =
    found == mPartitions.end() ? nullptr : found->second.LocalOwner();
  return local == nullptr ? static_cast<job_service&>(mUnavailableJobs)
                          : *local;
}

result<pool_state>
node_process::ExchangeLocally(const service_name& aPool,
                              const pool_instructions& aInstructions)
{
  const auto found = mPartitions.find(aPool);
  if (found == mPartitions.end()) {
    return error{ error_code::kUnavailable,
                  "pool.exchange",
                  aPool.Str(),
                  "this node does not know the pool" };
  }
  return found->second.ExchangeLocally(aInstructions);
}

void
node_process::YieldLocally(const service_name& aService)
{
  const auto found = mPartitions.find(aService);
  if (found != mPartitions.end()) {
    found->second.Yield();
  }
}

void
node_process::ServeNode(const http::request& aRequest,
                        const http::responder& aRespond)
{
  const service_name service = ServiceOfRequest(aRequest);
  if (http::Path(aRequest) == kHealthPath) {
    aRespond(http::JsonResponse(
      200, Encode(Health(std::string(aRequest.Get(kNodeHeader))))));
  } else if (IsYieldRequest(aRequest)) {
    YieldLocally(service);
    aRespond(http::JsonResponse(200, "{}"));
  } else if (IsPoolExchange(aRequest)) {
    ServePool(
      aRequest,
      [this, &service](const pool_instructions& aInstructions) {
        return ExchangeLocally(service, aInstructions);
      },
      aRespond);
  } else {
    ServeJobs(aRequest, LocalJobs(service), aRespond);
  }
}

} // namespace mangospan::node
