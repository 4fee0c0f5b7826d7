#include "mangospan/node/node_process.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "mangospan/base/log.h"
#include "mangospan/node/job_http.h"
#include "mangospan/node/submission.h"

namespace mangospan::node {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

// How often a node asks the owner whether it serves.
constexpr milliseconds kCheckPeriod{ 400 };
constexpr milliseconds kCheckTimeout{ 350 };
// An owner that was not heard for longer is taken as out of reach.
constexpr milliseconds kOwnerSilence{ 1'000 };
// A catalog older than this may lack what the operator has added since.
constexpr milliseconds kCatalogAge{ 2'200 };
constexpr milliseconds kNoOwnerRetry{ 1'000 };
// The balancer stops sending callers after two failed checks, a second apart.
constexpr milliseconds kDrainTime{ 2'500 };
// Less than the scheduler's own bound by the longest time between two plans.
constexpr milliseconds kUnconfirmedStarts{ 2'300 };
// Of the orders that the host service takes; the rest is for a predecessor's.
constexpr double kOrderShare = 0.9;
constexpr const char* kHealthPath = "/mangospan/v1/health";

// Stands in for the owner while nobody owns the jobs.
class no_jobs final : public job_service
{
public:
  void Submit(const jobs::job_name& /*aJob*/,
              const jobs::job_spec& /*aSpec*/,
              milliseconds /*aPatience*/,
              reply_handler aHandler) override
  {
    Refuse(aHandler);
  }
  void Cancel(const jobs::job_name& /*aJob*/,
              milliseconds /*aPatience*/,
              reply_handler aHandler) override
  {
    Refuse(aHandler);
  }
  void Read(const jobs::job_name& /*aJob*/,
            milliseconds /*aPatience*/,
            reply_handler aHandler) override
  {
    Refuse(aHandler);
  }
  void CountWaiting(const jobs::queue_name& /*aQueue*/,
                    milliseconds /*aPatience*/,
                    reply_handler aHandler) override
  {
    Refuse(aHandler);
  }

private:
  static void Refuse(const reply_handler& aHandler)
  {
    job_reply reply;
    reply.mKind = reply_kind::kUnavailable;
    reply.mRetryAfter = kNoOwnerRetry;
    aHandler(reply);
  }
};

fleet_settings
FleetSettings(const node_settings& aSettings)
{
  fleet_settings out;
  out.mHostLease = aSettings.mHostLease;
  out.mOrdersPerSecond =
    static_cast<std::size_t>(kOrderShare * aSettings.mHostOrdersPerSecond);
  return out;
}

// A job for the state dump, with what its tasks wait for.
json
DumpJob(const jobs::job& aJob, time_point aNow)
{
  std::size_t live = 0;
  std::size_t waiting = 0;
  std::size_t blocked = 0;
  for (std::size_t k = 0; k < aJob.mOccurrences.size(); ++k) {
    const auto& steps = aJob.mOccurrences[k].mSteps;
    for (std::size_t s = 0; s < steps.size(); ++s) {
      const bool isReady = aJob.IsStepReady(k, s);
      for (const jobs::task& each : steps[s].mTasks) {
        live += each.mLive ? 1 : 0;
        waiting += !each.mLive && !each.mDone && isReady ? 1 : 0;
        blocked += !each.mLive && !each.mDone && !isReady ? 1 : 0;
      }
    }
  }
  return {
    { "queue", aJob.mSpec.mQueue.Str() },
    { "state", jobs::Name(aJob.mState) },
    { "stored", aJob.IsStored() },
    { "age_ms",
      std::chrono::duration_cast<milliseconds>(aNow - aJob.mAccepted).count() },
    { "tasks_live", live },
    { "tasks_waiting_for_room", waiting },
    { "tasks_waiting_for_steps", blocked }
  };
}

} // namespace

node_process::node_process(boost::asio::io_context& aIo,
                           const clock_source& aClock,
                           http::client& aClient,
                           node_settings aSettings,
                           node_ports aPorts,
                           daemon::metrics& aMetrics)
  : mIo(aIo)
  , mClock(aClock)
  , mClient(aClient)
  , mSettings(std::move(aSettings))
  , mPorts(aPorts)
  , mMetrics(aMetrics)
  , mAway(std::make_unique<no_jobs>())
  , mCheckTimer(aIo)
  , mStopTimer(aIo)
{
}

node_process::~node_process() = default;

status
node_process::Start()
{
  mReadinessServer = std::make_unique<http::server>(
    mIo,
    http::server_options{},
    [this](const http::request&, const http::responder& aRespond) {
      aRespond(AnswerReadiness());
    });
  mNodeServer = std::make_unique<http::server>(
    mIo,
    http::server_options{},
    [this](const http::request& aRequest, const http::responder& aRespond) {
      ServeNode(aRequest, aRespond);
    });
  BOOST_OUTCOME_TRY(mReadinessServer->Listen(mSettings.mReadinessAddress));
  BOOST_OUTCOME_TRY(mNodeServer->Listen(mSettings.mNodeAddress));
  mOperatorMirror = std::make_shared<mirror>(
    mIo,
    mClock,
    mPorts.mStore,
    mPorts.mFormat.OperatorPrefix(),
    mirror_settings{},
    mirror_handlers{
      [this](const platform::record& aRecord) { OnOperatorRecord(aRecord); },
      [this](const std::string& aKey) { mWaves.erase(aKey); },
      nullptr });
  mOperatorMirror->Start();
  election_settings terms;
  terms.mProcessorShare = mSettings.mProcessorShare;
  terms.mLinkMbps = mSettings.mLinkMbps;
  mElection = std::make_shared<election>(
    mIo,
    mClock,
    mPorts.mStore,
    mSettings.mNode,
    mSettings.mNodeAddress,
    terms,
    election_handlers{ [this](const owner_record& aTerm) { OnElected(aTerm); },
                       [this] { OnLost(); } });
  mElection->Start();
  CheckOwner();
  return boost::outcome_v2::success();
}

void
node_process::OnElected(const owner_record& aTerm)
{
  mOwner = std::make_shared<owner>(
    owner_dependencies{
      mIo, mClock, mPorts.mStore, mPorts.mRunners, mPorts.mFormat, mMetrics },
    owner_settings{},
    jobs::scheduler_settings{},
    aTerm,
    [this] { return mElection->IsValidFor(kUnconfirmedStarts); },
    [this] { mElection->StepDown(); });
  mOwner->Start(mCatalog ? *mCatalog : jobs::catalog{});
  mDuty = std::make_shared<fleet_duty>(
    fleet_dependencies{
      mIo, mClock, mPorts.mStore, mPorts.mHosts, mPorts.mFormat, mMetrics },
    FleetSettings(mSettings),
    order_fence{ mSettings.mNode, aTerm.mTerm },
    mOwner,
    [this] { return mElection->IsValid(); });
  for (const auto& [key, each] : mWaves) {
    mDuty->OnWave(each);
  }
  mDuty->Start();
}

void
node_process::OnLost()
{
  if (mDuty) {
    mDuty->Stop();
    mDuty.reset();
  }
  if (mOwner) {
    mOwner->Stop();
    mOwner.reset();
  }
}

void
node_process::OnOperatorRecord(const platform::record& aRecord)
{
  if (mPorts.mFormat.IsCatalog(aRecord.mKey)) {
    auto decoded = mPorts.mFormat.DecodeCatalog(aRecord.mValue);
    if (decoded.has_error()) {
      LogError("config.malformed", decoded.assume_error());
      return;
    }
    jobs::catalog next = std::move(decoded).assume_value();
    if (mCatalog && next.mVersion <= mCatalog->mVersion) {
      return;
    }
    LogEvent(log_level::kInfo,
             "config.adopted",
             { { "version", next.mVersion },
               { "revision", aRecord.mRevision },
               { "queues", static_cast<std::uint64_t>(next.mQueues.size()) } });
    mCatalog = std::make_unique<jobs::catalog>(std::move(next));
    if (mOwner) {
      mOwner->SetCatalog(*mCatalog);
    }
  } else if (mPorts.mFormat.IsWave(aRecord.mKey)) {
    auto decoded = mPorts.mFormat.DecodeWave(aRecord.mValue);
    if (decoded.has_error()) {
      LogError("wave.malformed", decoded.assume_error());
      return;
    }
    mWaves.insert_or_assign(aRecord.mKey, decoded.assume_value());
    if (mDuty) {
      mDuty->OnWave(decoded.assume_value());
    }
  }
}

job_service&
node_process::Jobs()
{
  if (mOwner) {
    return *mOwner;
  }
  const auto known = mElection ? mElection->Owner() : std::nullopt;
  const std::string address = known ? known->mAddress : std::string();
  if (address != mAwayAddress) {
    mAwayAddress = address;
    if (address.empty() || address == mSettings.mNodeAddress) {
      mAway = std::make_unique<no_jobs>();
    } else {
      mAway = std::make_unique<remote_jobs>(mClient, address);
    }
  }
  return *mAway;
}

void
node_process::Submit(const jobs::job_name& aJob,
                     const jobs::job_spec& aSpec,
                     milliseconds aPatience,
                     reply_handler aHandler)
{
  std::make_shared<submission>(
    mIo, mClock, [this]() -> job_service& { return Jobs(); }, aJob, aSpec)
    ->Start(aPatience, std::move(aHandler));
}

const jobs::catalog*
node_process::Catalog() const
{
  return mCatalog.get();
}

bool
node_process::IsCatalogCurrent() const
{
  return mCatalog &&
         mClock.Now() - mOperatorMirror->ConfirmedAt() < kCatalogAge;
}

// Asks the owner elsewhere whether it serves; its answer is what readiness
// rests on while no caller's request tells.
void
node_process::CheckOwner()
{
  if (mOwner) {
    if (mOwner->IsServing() && mOwner->CanWrite() && mElection->IsValid()) {
      mOwnerHeardAt = mClock.Now();
    }
  } else if (const auto known = mElection->Owner()) {
    http::request call;
    call.mTarget = kHealthPath;
    mClient.Send(
      known->mAddress,
      std::move(call),
      kCheckTimeout,
      [this, sentAt = mClock.Now()](const result<http::response>& aResult) {
        if (aResult.has_value() && aResult.assume_value().mStatus == 200) {
          mOwnerHeardAt = sentAt;
        }
      });
  }
  mCheckTimer.expires_after(kCheckPeriod);
  mCheckTimer.async_wait([this](const boost::system::error_code& aAbort) {
    if (!aAbort) {
      CheckOwner();
    }
  });
}

bool
node_process::IsReady() const
{
  return !mIsStopping && IsCatalogCurrent() &&
         mClock.Now() - mOwnerHeardAt < kOwnerSilence;
}

http::response
node_process::AnswerReadiness() const
{
  return http::JsonResponse(IsReady() ? 200 : 503, "{}");
}

void
node_process::ServeNode(const http::request& aRequest,
                        const http::responder& aRespond)
{
  const std::string_view path = http::Path(aRequest);
  if (path == kHealthPath) {
    const bool serves = mOwner && mOwner->IsServing() && mOwner->CanWrite() &&
                        mElection->IsValid();
    aRespond(http::JsonResponse(serves ? 200 : 503, "{}"));
  } else if (mOwner) {
    ServeJobs(aRequest, *mOwner, aRespond);
  } else {
    no_jobs nobody;
    ServeJobs(aRequest, nobody, aRespond);
  }
}

std::string
node_process::DumpState() const
{
  json out{ { "node", mSettings.mNode },
            { "ready", IsReady() },
            { "catalog_version", mCatalog ? mCatalog->mVersion : 0 } };
  if (const auto known = mElection->Owner()) {
    out["owner"] = { { "node", known->mNode }, { "term", known->mTerm } };
  }
  if (mOwner) {
    json runners = json::object();
    for (const auto& [runnerName, each] : mOwner->Scheduler().Runners()) {
      runners[runnerName.Str()] = { { "service", each.mInfo.mService.Str() },
                                    { "runs", each.Runs().size() },
                                    { "listed", each.mListed },
                                    { "closed", each.mClosed },
                                    { "failed_looks", each.mFailedLooks } };
    }
    json jobs = json::object();
    for (const auto& [jobName, each] : mOwner->Scheduler().Jobs()) {
      jobs[jobName.Str()] = DumpJob(each, mClock.Now());
    }
    out["runners"] = std::move(runners);
    out["jobs"] = std::move(jobs);
  }
  return out.dump();
}

void
node_process::Stop(std::function<void()> aDone)
{
  mIsStopping = true;
  const auto retire = [this, done = std::move(aDone)] {
    mElection->Retire([this, done] {
      mStopTimer.expires_after(kDrainTime);
      mStopTimer.async_wait(
        [done](const boost::system::error_code&) { done(); });
    });
  };
  if (mOwner && mOwner->IsServing()) {
    mOwner->HandOver(retire);
  } else {
    retire();
  }
}

} // namespace mangospan::node
