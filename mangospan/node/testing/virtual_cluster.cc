#include "mangospan/node/testing/virtual_cluster.h"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

namespace mangospan::node::testing {

using jobs::order_outcome;
using jobs::testing::fake_runner;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kStep{ 1 }; // by which virtual time advances
constexpr milliseconds kNetworkLatency{ 2 };
// The time after which an attempt to connect to a host that does not answer
// fails, and the caller knows that nothing was sent.
constexpr milliseconds kConnectTimeout{ 1'000 };
// The timeout of a call to a runner.
constexpr milliseconds kRunnerTimeout{ 800 };
constexpr milliseconds kTaskDuration{ 400 };
constexpr milliseconds kCallerTimeout{ 2'500 };
constexpr double kProcessorCores = 0.25; // of each node's host

job_reply
ReplyOf(reply_kind aKind, refusal_reason aReason)
{
  job_reply out;
  out.mKind = aKind;
  out.mReason = aReason;
  return out;
}

jobs::catalog
MakeCatalog(const std::vector<std::string>& aServices)
{
  jobs::catalog out;
  out.mVersion = 1;
  for (const std::string& each : aServices) {
    jobs::queue_policy queue;
    queue.mName = jobs::queue_name{ each };
    queue.mService = service_name{ each };
    queue.mTargetLatency = milliseconds(1'000);
    out.mQueues.emplace(queue.mName, queue);
    out.mServices.emplace(queue.mService,
                          jobs::service_policy{ queue.mService, false });
  }
  return out;
}

jobs::job_spec
OneTask(const std::string& aQueue)
{
  jobs::step_spec step;
  step.mTaskResources = { 100, 100, 0 };
  step.mEstimate = kTaskDuration;
  jobs::job_spec out;
  out.mQueue = jobs::queue_name{ aQueue };
  out.mSteps = { step };
  return out;
}

// A fleet without hosts.
class no_hosts final : public host_port
{
public:
  explicit no_hosts(boost::asio::io_context& aIo)
    : mIo(aIo)
  {
  }
  void List(
    std::function<void(result<std::vector<host_entry>>)> aHandler) override
  {
    boost::asio::post(mIo, [aHandler] { aHandler(std::vector<host_entry>()); });
  }
  void Move(const order_fence& /*aFence*/,
            const host_name& /*aHost*/,
            const service_name& /*aPool*/,
            host_order_handler /*aHandler*/) override
  {
  }
  void Maintain(const order_fence& /*aFence*/,
                const host_name& /*aHost*/,
                std::uint64_t /*aWave*/,
                host_order_handler /*aHandler*/) override
  {
  }

private:
  boost::asio::io_context& mIo;
};

} // namespace

// The runners as one node reaches them.
class virtual_runners final : public runner_port
{
public:
  // `aIsEnded` tells whether the node's process has ended.
  virtual_runners(virtual_cluster& aCluster,
                  std::string aZone,
                  const bool& aIsEnded)
    : mCluster(aCluster)
    , mZone(std::move(aZone))
    , mIsEnded(aIsEnded)
  {
  }

  void Start(const runner_target& aTarget,
             const jobs::start_order& aOrder,
             outcome_handler aHandler) override
  {
    Call(aTarget, aHandler, [aTarget, aOrder, this](fake_runner& aRunner) {
      return aRunner.Start(aOrder, aTarget.mTerm, mCluster.Now());
    });
  }
  void Stop(const runner_target& aTarget,
            const jobs::stop_order& aOrder,
            outcome_handler aHandler) override
  {
    Call(aTarget, aHandler, [aTarget, aOrder, this](fake_runner& aRunner) {
      return aRunner.Stop(aOrder, aTarget.mTerm, mCluster.Now());
    });
  }
  void Throttle(const runner_target& /*aTarget*/,
                const jobs::throttle_order& /*aOrder*/,
                outcome_handler aHandler) override
  {
    mCluster.After(kNetworkLatency,
                   [aHandler] { aHandler(order_outcome::kDone); });
  }
  void Poll(const runner_target& aTarget,
            const jobs::poll_order& aOrder,
            poll_handler aHandler) override
  {
    fake_runner* const runner = Find(aTarget.mRunner.Str());
    if (runner == nullptr) {
      mCluster.After(kRunnerTimeout, [aHandler] {
        aHandler({ order_outcome::kNotExecuted, std::nullopt });
      });
      return;
    }
    const auto report = runner->Poll(aOrder, aTarget.mTerm, mCluster.Now());
    // The end of a run answers a poll that waits; a shorter wait does as well.
    const milliseconds wait = std::min(aOrder.mWait, kTaskDuration / 4);
    mCluster.After(
      2 * kNetworkLatency + (report && report->mEnded.empty() ? wait : kStep),
      [aHandler, report] {
        aHandler(
          { report ? order_outcome::kDone : order_outcome::kFenced, report });
      });
  }

private:
  fake_runner* Find(const std::string& aName) const
  {
    const auto found = mCluster.mRunners.find(aName);
    const bool isReachable =
      !mIsEnded && found != mCluster.mRunners.end() &&
      mCluster.IsReachable(mZone, found->second->Info().mZone.Str());
    return isReachable ? found->second.get() : nullptr;
  }
  void Call(const runner_target& aTarget,
            const outcome_handler& aHandler,
            const std::function<order_outcome(fake_runner&)>& aOrder)
  {
    fake_runner* const runner = Find(aTarget.mRunner.Str());
    if (runner == nullptr) {
      mCluster.After(kRunnerTimeout,
                     [aHandler] { aHandler(order_outcome::kUnknown); });
      return;
    }
    const order_outcome outcome = aOrder(*runner);
    mCluster.After(2 * kNetworkLatency,
                   [aHandler, outcome] { aHandler(outcome); });
  }

  virtual_cluster& mCluster;
  const std::string mZone;
  const bool& mIsEnded;
};

// The other nodes as one node reaches them.
class virtual_peers final : public peer_link
{
public:
  // `aIsEnded` tells whether the node's process has ended.
  virtual_peers(virtual_cluster& aCluster,
                std::string aAddress,
                std::string aZone,
                const bool& aIsEnded)
    : mCluster(aCluster)
    , mAddress(std::move(aAddress))
    , mZone(std::move(aZone))
    , mIsEnded(aIsEnded)
  {
  }

  std::unique_ptr<job_service> JobsAt(const std::string& aAddress,
                                      const service_name& aService) override;
  void Exchange(const std::string& aAddress,
                const service_name& aPool,
                const pool_instructions& aInstructions,
                pool_state_handler aHandler) override;
  void CheckHealth(const std::string& aAddress,
                   milliseconds aTimeout,
                   health_handler aHandler) override;
  void RequestYield(const std::string& /*aAddress*/,
                    const service_name& /*aService*/) override
  {
  }

  virtual_node* Find(const std::string& aAddress) const
  {
    return mIsEnded ? nullptr : mCluster.FindReachable(aAddress, mZone);
  }
  virtual_cluster& Cluster() const { return mCluster; }

private:
  virtual_cluster& mCluster;
  const std::string mAddress;
  const std::string mZone;
  const bool& mIsEnded;
};

// A node process with its connections.
class virtual_node
{
public:
  virtual_node(virtual_cluster& aCluster,
               const std::string& aName,
               const std::string& aZone)
    : mZone(aZone)
    , mStore(aCluster.mStore)
    , mRunners(aCluster, aZone, mIsEnded)
    , mPeers(aCluster, aName, aZone, mIsEnded)
    , mHosts(aCluster.mIo)
    , mProcess(aCluster.mIo,
               aCluster.mClock,
               mPeers,
               Settings(aName),
               { mStore, mRunners, mHosts, aCluster.mFormat },
               mMetrics)
  {
    mStore.SetCut(aCluster.mCutZones.count(aZone) > 0);
    mProcess.Join();
  }

  // Disconnects the process from everything, as if it had ended.
  void End()
  {
    mIsEnded = true;
    mStore.SetCut(true);
  }

  const std::string mZone;
  bool mIsEnded = false;
  virtual_store_client mStore;
  node_process& Process() { return mProcess; }

private:
  static node_settings Settings(const std::string& aName)
  {
    node_settings out;
    out.mNode = aName;
    out.mNodeAddress = aName;
    out.mProcessorCores = kProcessorCores;
    out.mKeyRevocationBound = virtual_cluster::kRevocationBound;
    return out;
  }

  virtual_runners mRunners;
  virtual_peers mPeers;
  no_hosts mHosts;
  daemon::metrics mMetrics;
  node_process mProcess;
};

namespace {

// Forwards calls to the owner on another node.
class virtual_jobs final : public job_service
{
public:
  virtual_jobs(virtual_peers& aPeers,
               std::string aAddress,
               service_name aService)
    : mPeers(aPeers)
    , mAddress(std::move(aAddress))
    , mService(std::move(aService))
  {
  }

  void Submit(const jobs::job_name& aJob,
              const jobs::job_spec& aSpec,
              milliseconds aTimeout,
              reply_handler aHandler) override
  {
    Forward(aHandler,
            [aJob, aSpec, aTimeout](job_service& aOwner, reply_handler aReply) {
              aOwner.Submit(aJob, aSpec, aTimeout, std::move(aReply));
            });
  }
  void Cancel(const jobs::job_name& aJob,
              milliseconds aTimeout,
              reply_handler aHandler) override
  {
    Forward(aHandler,
            [aJob, aTimeout](job_service& aOwner, reply_handler aReply) {
              aOwner.Cancel(aJob, aTimeout, std::move(aReply));
            });
  }
  void Read(const jobs::job_name& aJob,
            milliseconds aTimeout,
            reply_handler aHandler) override
  {
    Forward(aHandler,
            [aJob, aTimeout](job_service& aOwner, reply_handler aReply) {
              aOwner.Read(aJob, aTimeout, std::move(aReply));
            });
  }
  void CountWaiting(const jobs::queue_name& aQueue,
                    milliseconds aTimeout,
                    reply_handler aHandler) override
  {
    Forward(aHandler,
            [aQueue, aTimeout](job_service& aOwner, reply_handler aReply) {
              aOwner.CountWaiting(aQueue, aTimeout, std::move(aReply));
            });
  }

private:
  void Forward(const reply_handler& aHandler,
               const std::function<void(job_service&, reply_handler)>& aCall);

  virtual_peers& mPeers;
  const std::string mAddress;
  const service_name mService;
};

} // namespace

std::unique_ptr<job_service>
virtual_peers::JobsAt(const std::string& aAddress, const service_name& aService)
{
  return std::make_unique<virtual_jobs>(*this, aAddress, aService);
}

void
virtual_peers::Exchange(const std::string& aAddress,
                        const service_name& aPool,
                        const pool_instructions& aInstructions,
                        pool_state_handler aHandler)
{
  mCluster.After(
    kNetworkLatency, [this, aAddress, aPool, aInstructions, aHandler] {
      virtual_node* const peer = Find(aAddress);
      if (peer == nullptr) {
        mCluster.After(kRunnerTimeout, [aAddress, aHandler] {
          aHandler(error{
            error_code::kUnavailable, "pool.exchange", aAddress, "cut off" });
        });
        return;
      }
      aHandler(peer->Process().ExchangeLocally(aPool, aInstructions));
    });
}

void
virtual_peers::CheckHealth(const std::string& aAddress,
                           milliseconds aTimeout,
                           health_handler aHandler)
{
  mCluster.After(kNetworkLatency, [this, aAddress, aTimeout, aHandler] {
    virtual_node* const peer = Find(aAddress);
    if (peer == nullptr) {
      mCluster.After(aTimeout, [aAddress, aHandler] {
        aHandler(error{
          error_code::kUnavailable, "health.check", aAddress, "cut off" });
      });
      return;
    }
    aHandler(peer->Process().Health(mAddress));
  });
}

namespace {

void
virtual_jobs::Forward(
  const reply_handler& aHandler,
  const std::function<void(job_service&, reply_handler)>& aCall)
{
  mPeers.Cluster().After(
    kNetworkLatency,
    [peers = &mPeers, address = mAddress, service = mService, aHandler, aCall] {
      virtual_node* const peer = peers->Find(address);
      if (peer == nullptr) {
        peers->Cluster().After(kConnectTimeout, [aHandler] {
          aHandler(ReplyOf(reply_kind::kUnavailable,
                           refusal_reason::kOwnerUnreachable));
        });
        return;
      }
      aCall(peer->Process().LocalJobs(service),
            [peers, address, aHandler](const job_reply& aReply) {
              peers->Cluster().After(
                kNetworkLatency, [peers, address, aHandler, aReply] {
                  // An answer from behind a cut is lost.
                  aHandler(
                    peers->Find(address) != nullptr
                      ? aReply
                      : ReplyOf(reply_kind::kUnknown, refusal_reason::kNone));
                });
            });
    });
}

} // namespace

virtual_cluster::virtual_cluster(std::vector<std::string> aZones,
                                 const std::vector<std::string>& aServices)
  : mZones(std::move(aZones))
{
  mFormat.mCatalog = MakeCatalog(aServices);
  mStore.Put(mFormat.CatalogKey(), std::to_string(mFormat.mCatalog->mVersion));
  for (const std::string& service : aServices) {
    for (const std::string& zone : mZones) {
      AddRunner(service, zone);
    }
  }
  for (const std::string& zone : mZones) {
    for (std::size_t i = 1; i <= kNodesPerZone; ++i) {
      const std::string name = zone + "-" + std::to_string(i);
      mNodes.emplace(name, MakeNode(name));
    }
  }
}

// The processes go first, since they use all else.
virtual_cluster::~virtual_cluster()
{
  for (auto& [address, each] : mNodes) {
    each->End();
  }
  mIo.stop();
}

std::unique_ptr<virtual_node>
virtual_cluster::MakeNode(const std::string& aName)
{
  return std::make_unique<virtual_node>(*this, aName, ZoneOf(aName));
}

std::string
virtual_cluster::ZoneOf(const std::string& aNode)
{
  return aNode.substr(0, aNode.find('-'));
}

void
virtual_cluster::AddRunner(const std::string& aService,
                           const std::string& aZone)
{
  jobs::runner_info info;
  info.mName = jobs::runner_name{ aService + "-" + aZone };
  info.mService = service_name{ aService };
  info.mAddress = info.mName.Str();
  info.mZone = zone_name{ aZone };
  info.mRack = rack_name{ aZone };
  info.mCapacity = { 64'000, 64'000, 0 };
  info.mBoot = 1;
  auto runner = std::make_unique<fake_runner>(info, 1.0, Now());
  const std::string name = info.mName.Str();
  runner->SetHooks(
    [](const std::string& /*aTask*/) {
      return jobs::testing::fake_work{ kTaskDuration, false, {} };
    },
    [this, name](const std::string& aTask, std::uint32_t /*aRun*/) {
      OnBegin(name, aTask);
    },
    [this, name](const std::string& aTask,
                 std::uint32_t aRun,
                 jobs::run_end aEnd) { OnEnd(name, aTask, aRun, aEnd); },
    [this](const std::string& aTask,
           std::uint32_t aRun,
           jobs::run_end aEnd,
           bool aHasLeaseExpired) {
      OnAcknowledged(aTask, aRun, aEnd, aHasLeaseExpired);
    });
  mFormat.mInfos[info.mName] = info;
  mRunners.emplace(name, std::move(runner));
  mStore.Put(mFormat.RunnerPrefix() + name, "{}");
}

void
virtual_cluster::SetKeys(const std::vector<std::string>& aKeys)
{
  jobs::catalog& changed = *mFormat.mCatalog;
  const customer_name customer{ "rinks" };
  changed.mCustomers[customer].mName = customer;
  changed.mCustomers[customer].mApiKeys = aKeys;
  for (auto& [queueName, each] : changed.mQueues) {
    each.mIsPublic = false;
  }
  mStore.Put(mFormat.CatalogKey(), std::to_string(++changed.mVersion));
}

std::map<customers::key_verdict, std::size_t>
virtual_cluster::CheckKey(const std::string& aZone,
                          const std::string& aService,
                          const std::string& aKey) const
{
  const jobs::queue_policy& queue =
    mFormat.mCatalog->mQueues.at(jobs::queue_name{ aService });
  std::map<customers::key_verdict, std::size_t> out;
  for (const auto& [address, each] : mNodes) {
    if (each->mZone == aZone) {
      ++out[each->Process().CheckKey(queue, aKey).mVerdict];
    }
  }
  return out;
}

void
virtual_cluster::SpoilRunner(const std::string& aService,
                             const std::string& aZone)
{
  const std::string name = aService + "-" + aZone;
  mFormat.mInfos.erase(jobs::runner_name{ name });
  mStore.Put(mFormat.RunnerPrefix() + name, "[[[");
}

std::size_t
virtual_cluster::RunsBegunOn(const std::string& aService,
                             const std::string& aZone) const
{
  const auto found = mBegun.find(aService + "-" + aZone);
  return found == mBegun.end() ? 0 : found->second;
}

void
virtual_cluster::OnBegin(const std::string& aRunner, const std::string& aTask)
{
  ++mBegun[aRunner];
  task_history& history = mTasks[aTask];
  if (!history.mRunningOn.empty()) {
    mViolations.push_back("runs twice at the same time: " + aTask);
  }
  if (history.mIsDoneAcknowledged) {
    mViolations.push_back("runs again after it was done: " + aTask);
  }
  for (auto& [run, isFollowed] : history.mDone) {
    isFollowed = true;
  }
  history.mRunningOn.insert(aRunner);
}

void
virtual_cluster::OnEnd(const std::string& aRunner,
                       const std::string& aTask,
                       std::uint32_t aRun,
                       jobs::run_end aEnd)
{
  task_history& history = mTasks[aTask];
  history.mRunningOn.erase(aRunner);
  if (aEnd == jobs::run_end::kDone) {
    history.mDone.emplace(aRun, false);
  }
}

void
virtual_cluster::OnAcknowledged(const std::string& aTask,
                                std::uint32_t aRun,
                                jobs::run_end aEnd,
                                bool aHasLeaseExpired)
{
  if (aEnd != jobs::run_end::kDone) {
    return;
  }
  task_history& history = mTasks[aTask];
  if (history.mDone[aRun] && !aHasLeaseExpired) {
    mViolations.push_back("ran again after it was done: " + aTask);
  }
  history.mIsDoneAcknowledged = true;
}

void
virtual_cluster::After(milliseconds aDelay, std::function<void()> aAction)
{
  auto waiting = std::make_shared<timer>(mIo, aDelay);
  waiting->async_wait([waiting, action = std::move(aAction)](
                        const boost::system::error_code& aAbort) {
    if (!aAbort) {
      action();
    }
  });
}

void
virtual_cluster::RunFor(milliseconds aTime)
{
  RunUntil(Now() + aTime);
}

void
virtual_cluster::RunUntil(time_point aWhen)
{
  while (Now() < aWhen) {
    mClock.Advance(kStep);
    for (auto& [name, each] : mRunners) {
      each->Advance(Now());
    }
    mStore.Advance();
    mIo.restart();
    mIo.poll();
  }
}

void
virtual_cluster::SetCommitFate(
  const std::function<commit_fate(const platform::transaction&)>& aFate)
{
  for (auto& [address, each] : mNodes) {
    each->mStore.SetCommitFate(aFate);
  }
}

void
virtual_cluster::SetCut(const std::string& aZone, bool aIsCut)
{
  if (aIsCut) {
    mCutZones.insert(aZone);
  } else {
    mCutZones.erase(aZone);
  }
  for (auto& [address, each] : mNodes) {
    if (each->mZone == aZone) {
      each->mStore.SetCut(aIsCut);
    }
  }
}

void
virtual_cluster::Kill(const std::string& aNode)
{
  const auto found = mNodes.find(aNode);
  found->second->End();
  mEndedNodes.push_back(std::move(found->second));
  mNodes.erase(found);
}

void
virtual_cluster::Restart(const std::string& aNode)
{
  Kill(aNode);
  mNodes.emplace(aNode, MakeNode(aNode));
}

bool
virtual_cluster::IsReachable(const std::string& aFrom,
                             const std::string& aTo) const
{
  return aFrom == aTo ||
         (mCutZones.count(aFrom) == 0 && mCutZones.count(aTo) == 0);
}

virtual_node*
virtual_cluster::FindReachable(const std::string& aAddress,
                               const std::string& aZone) const
{
  const auto found = mNodes.find(aAddress);
  return found != mNodes.end() && IsReachable(aZone, found->second->mZone)
           ? found->second.get()
           : nullptr;
}

void
virtual_cluster::Submit(const std::string& aService, const std::string& aZone)
{
  auto caller = std::make_shared<caller_record>();
  caller->mService = aService;
  caller->mZone = aZone;
  caller->mFirstTryAt = Now();
  mCallers.push_back(caller);
  const std::string job = "job" + std::to_string(mCallers.size());
  mCallersByJob.emplace(job, caller);
  Try(job, caller);
}

void
virtual_cluster::Try(const std::string& aJob,
                     const std::shared_ptr<caller_record>& aCaller)
{
  std::vector<virtual_node*> nodes;
  for (auto& [address, each] : mNodes) {
    if (each->mZone == aCaller->mZone) {
      nodes.push_back(each.get());
    }
  }
  if (nodes.empty()) {
    aCaller->mIsOver = true;
    return;
  }
  virtual_node& node = *nodes[mTries++ % nodes.size()];
  const auto remaining = std::chrono::duration_cast<milliseconds>(
    aCaller->mFirstTryAt + kCallerPatience - Now());
  node.Process().Submit(jobs::job_name{ aJob },
                        OneTask(aCaller->mService),
                        remaining,
                        std::min(kCallerTimeout, remaining),
                        [this, aJob, aCaller, &node](const job_reply& aReply) {
                          // A process that has ended answers nothing.
                          OnReply(aJob,
                                  aCaller,
                                  node.mIsEnded ? ReplyOf(reply_kind::kUnknown,
                                                          refusal_reason::kNone)
                                                : aReply);
                        });
}

void
virtual_cluster::OnReply(const std::string& aJob,
                         const std::shared_ptr<caller_record>& aCaller,
                         const job_reply& aReply)
{
  if (aReply.mKind == reply_kind::kOk) {
    aCaller->mIsAccepted = true;
    aCaller->mIsOver = true;
    return;
  }
  const bool isUnknown = aReply.mKind == reply_kind::kUnknown;
  aCaller->mMayHaveEffect = aCaller->mMayHaveEffect || isUnknown;
  const milliseconds delay = isUnknown
                               ? milliseconds(100)
                               : std::max(kMinRetryAfter, aReply.mRetryAfter);
  if (Now() + delay >= aCaller->mFirstTryAt + kCallerPatience) {
    aCaller->mIsOver = true;
    return;
  }
  After(delay, [this, aJob, aCaller] { Try(aJob, aCaller); });
}

std::string
virtual_cluster::OwnerValue(const std::string& aKey, const char* aField) const
{
  const auto body =
    nlohmann::json::parse(mStore.Value(aKey), nullptr, /*throw=*/false);
  if (!body.is_object() || !body.contains(aField)) {
    return {};
  }
  const auto& value = body.at(aField);
  return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string
virtual_cluster::LeaseHolder(const std::string& aService) const
{
  return OwnerValue(LeaseKey(JobsSubject(service_name{ aService })), "node");
}

void
virtual_cluster::RevokeLease(const std::string& aService)
{
  mStore.RevokeLeaseOf(LeaseKey(JobsSubject(service_name{ aService })));
}

std::string
virtual_cluster::LeaseKey(const std::string& aSubject)
{
  return election::kPrefix + aSubject + "/lease";
}

std::string
virtual_cluster::FleetLeaseHolder() const
{
  return OwnerValue(LeaseKey(FleetSubject()), "node");
}

std::uint64_t
virtual_cluster::TermOf(const std::string& aService) const
{
  const std::string term = OwnerValue(
    election::TermKey(JobsSubject(service_name{ aService })), "term");
  return term.empty() ? 0 : std::stoull(term);
}

bool
virtual_cluster::IsServed(const std::string& aService) const
{
  return std::any_of(mNodes.begin(), mNodes.end(), [&](const auto& aEntry) {
    const auto serves = aEntry.second->Process().Health("").mServes;
    return mCutZones.count(aEntry.second->mZone) == 0 &&
           std::find(serves.begin(), serves.end(), service_name{ aService }) !=
             serves.end();
  });
}

std::vector<std::string>
virtual_cluster::ReadyNodes() const
{
  std::vector<std::string> out;
  for (const auto& [address, each] : mNodes) {
    if (each->Process().IsReady()) {
      out.push_back(address);
    }
  }
  return out;
}

std::vector<std::string>
virtual_cluster::Violations() const
{
  std::vector<std::string> out = mViolations;
  for (const auto& [job, each] : mCallersByJob) {
    const bool isStored =
      !mStore.Value("mangospan/owned/" + each->mService + "/jobs/" + job)
         .empty();
    if (each->mIsAccepted && !isStored) {
      out.push_back("accepted and not stored: " + job);
    }
    if (each->mIsOver && !each->mIsAccepted && !each->mMayHaveEffect &&
        isStored) {
      out.push_back("stored though it was refused: " + job);
    }
  }
  return out;
}

} // namespace mangospan::node::testing
