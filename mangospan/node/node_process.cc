#include "mangospan/node/node_process.h"

#include <functional>
#include <random>
#include <set>
#include <utility>

#include <nlohmann/json.hpp>

#include "mangospan/base/log.h"
#include "mangospan/node/job_http.h"
#include "mangospan/node/listener_options.h"
#include "mangospan/node/state_dump.h"

namespace mangospan::node {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

// A catalog that was confirmed longer ago may lack queues that an operator has
// added since.
constexpr milliseconds kMaxCatalogAge{ 2'200 };
// A watch without a change confirms the catalog as of when it was sent, and the
// next one takes as long again. Both have to end within `kMaxCatalogAge`.
constexpr milliseconds kCatalogWatchWait{ 900 };
// Time between the first claims of one node for two subjects.
constexpr milliseconds kFirstClaimStagger{ 60 };
// Share of the orders accepted by the host service that this node uses. The
// rest is left for orders of the preceding fleet controller.
constexpr double kHostOrderShare = 0.9;

fleet_controller_settings
FleetSettings(const node_settings& aSettings)
{
  fleet_controller_settings out;
  out.mMinOrderGapBetweenOwners = aSettings.mMinOrderGapBetweenOwners;
  out.mMaxOrdersPerSecond =
    static_cast<std::size_t>(kHostOrderShare * aSettings.mHostOrdersPerSecond);
  return out;
}

// Returns the position of a subject in the order of a node's first claims. Each
// node begins with a different subject, so that the first claims are spread.
std::size_t
FirstClaimRank(const std::string& aNode, const std::string& aSubject)
{
  constexpr std::size_t kRanks = 8;
  return std::hash<std::string>()(aNode + "/" + aSubject) % kRanks;
}

jobs::scheduler_settings
SchedulingSettings(const node_settings& aSettings)
{
  jobs::scheduler_settings out;
  out.mCustomerRate = { aSettings.mCustomerRateWindow,
                        aSettings.mCustomerRateSlack };
  out.mLearnRunTimes = aSettings.mLearnRunTimes;
  return out;
}

customers::key_gate_settings
KeyGateSettings(const node_settings& aSettings)
{
  customers::key_gate_settings out;
  if (aSettings.mKeyRevocationBound.count() > 0) {
    out.mRevocationBound = aSettings.mKeyRevocationBound;
  }
  out.mMaxAgeToDeny = kMaxCatalogAge;
  return out;
}

mirror_settings
OperatorMirrorSettings()
{
  mirror_settings out;
  out.mWatchWait = kCatalogWatchWait;
  return out;
}

} // namespace

node_process::node_process(boost::asio::io_context& aIo,
                           const clock_source& aClock,
                           peer_link& aPeers,
                           node_settings aSettings,
                           node_ports aPorts,
                           daemon::metrics& aMetrics)
  : mIo(aIo)
  , mClock(aClock)
  , mPeers(aPeers)
  , mSettings(std::move(aSettings))
  , mPorts(aPorts)
  , mMetrics(aMetrics)
  , mLimitedClients(aClock, aMetrics, "mangospan_node_limited_clients_total")
  , mStore(aIo, aPorts.mStore, [this] { OnStoreAnswersAgain(); })
  , mKeyGate(KeyGateSettings(mSettings), std::random_device()())
  , mCheckTimer(aIo)
{
}

node_process::~node_process() = default;

status
node_process::Start()
{
  http::server_options readiness = ReadinessListener(mSettings);
  readiness.mOnLimited = mLimitedClients.Observer("readiness");
  mReadinessServer = std::make_unique<http::server>(
    mIo,
    std::move(readiness),
    [this](const http::request&, const http::responder& aRespond) {
      aRespond(AnswerReadiness());
    });
  http::server_options nodes = NodeListener(mSettings);
  nodes.mOnLimited = mLimitedClients.Observer("nodes");
  mNodeServer = std::make_unique<http::server>(
    mIo,
    std::move(nodes),
    [this](const http::request& aRequest, const http::responder& aRespond) {
      ServeNode(aRequest, aRespond);
    });
  BOOST_OUTCOME_TRY(mReadinessServer->Listen(mSettings.mReadinessAddress));
  BOOST_OUTCOME_TRY(mNodeServer->Listen(mSettings.mNodeAddress));
  Join();
  return boost::outcome_v2::success();
}

void
node_process::Join()
{
  mOperatorMirror = std::make_shared<mirror>(
    mIo,
    mClock,
    mStore,
    mPorts.mFormat.OperatorPrefix(),
    OperatorMirrorSettings(),
    mirror_handlers{
      [this](const platform::record& aRecord) { OnOperatorRecord(aRecord); },
      [this](const std::string& aKey, platform::revision /*aRevision*/) {
        mWaves.erase(aKey);
      },
      nullptr });
  mOperatorMirror->Start();
  mElectionMirror = std::make_shared<mirror>(
    mIo,
    mClock,
    mStore,
    election::kPrefix,
    mirror_settings{},
    mirror_handlers{
      [this](const platform::record& aRecord) { OnElectionRecord(aRecord); },
      [this](const std::string& aKey, platform::revision aRevision) {
        OnElectionDeleted(aKey, aRevision);
      },
      [this] { OnElectionsSynced(); } });
  StartFleetElection();
  mElectionMirror->Start();
  CheckOwners();
}

election_settings
node_process::ElectionSettings() const
{
  election_settings out;
  out.mProcessorCores = mSettings.mProcessorCores;
  out.mLinkMbps = mSettings.mLinkMbps;
  return out;
}

election_candidate
node_process::MakeCandidate(const std::string& aSubject)
{
  election_candidate out;
  out.mNode = mSettings.mNode;
  out.mAddress = mSettings.mNodeAddress;
  out.mSettings = ElectionSettings();
  out.mSettings.mFirstClaimDelay =
    kFirstClaimStagger * FirstClaimRank(mSettings.mNode, aSubject);
  out.mCountOwnedSubjects = [this] { return CountOwnedSubjects(); };
  return out;
}

std::size_t
node_process::CountOwnedSubjects() const
{
  std::size_t owned =
    mFleetElection && mFleetElection->IsOwnerOrClaiming() ? 1 : 0;
  for (const auto& [service, each] : mPartitions) {
    owned += each.Election().IsOwnerOrClaiming() ? 1 : 0;
  }
  return owned;
}

void
node_process::StartFleetElection()
{
  const election_candidate self = MakeCandidate(FleetSubject());
  mFleetElection = std::make_shared<election>(
    mIo,
    mClock,
    mStore,
    FleetSubject(),
    self.mNode,
    self.mAddress,
    self.mSettings,
    election_handlers{ [this](const owner_record& aOwnerRecord) {
                        OnFleetElected(aOwnerRecord);
                      },
                       [this] { OnFleetLost(); },
                       self.mCountOwnedSubjects });
}

void
node_process::OnFleetElected(const owner_record& aOwnerRecord)
{
  mFleetController = std::make_shared<fleet_controller>(
    fleet_controller_dependencies{
      mIo, mClock, mStore, mPorts.mHosts, *this, mPorts.mFormat },
    FleetSettings(mSettings),
    order_fence{ mSettings.mNode, aOwnerRecord.mTerm },
    aOwnerRecord.mRevision,
    [this] { return mFleetElection->IsLeaseValid(); });
  if (mCatalog) {
    mFleetController->SetCatalog(*mCatalog);
  }
  for (const auto& [key, each] : mWaves) {
    mFleetController->OnWave(each);
  }
  mFleetController->Start();
}

void
node_process::OnFleetLost()
{
  if (mFleetController) {
    mFleetController->Stop();
    mFleetController.reset();
  }
}

partition&
node_process::FindOrAddPartition(const service_name& aService)
{
  const auto found = mPartitions.find(aService);
  if (found != mPartitions.end()) {
    return found->second;
  }
  const partition_dependencies dependencies{
    { mIo, mClock, mStore, mPorts.mRunners, mPorts.mFormat, mMetrics },
    mPeers,
    [this](const std::string& aAddress) {
      return mPeerReachability.IsUnreachable(aAddress, mClock.Now());
    },
    SchedulingSettings(mSettings)
  };
  partition& added = mPartitions
                       .try_emplace(aService,
                                    dependencies,
                                    aService,
                                    MakeCandidate(JobsSubject(aService)),
                                    [this] { return mCatalog.get(); })
                       .first->second;
  if (mElectionMirror->IsSynced()) {
    added.Election().OnSynced();
  }
  return added;
}

election*
node_process::ElectionOf(const std::string& aKey)
{
  const std::string subject = SubjectOf(aKey);
  if (subject == FleetSubject()) {
    return mFleetElection.get();
  }
  const auto service = ServiceOfSubject(subject);
  return service ? &FindOrAddPartition(*service).Election() : nullptr;
}

void
node_process::OnElectionRecord(const platform::record& aRecord)
{
  if (election* const found = ElectionOf(aRecord.mKey)) {
    found->OnRecord(aRecord);
  }
}

void
node_process::OnElectionDeleted(const std::string& aKey,
                                platform::revision aRevision)
{
  if (election* const found = ElectionOf(aKey)) {
    found->OnDeleted(aKey, aRevision);
  }
}

void
node_process::OnElectionsSynced()
{
  mFleetElection->OnSynced();
  for (auto& [service, each] : mPartitions) {
    each.Election().OnSynced();
  }
}

void
node_process::OnOperatorRecord(const platform::record& aRecord)
{
  if (mPorts.mFormat.IsCatalog(aRecord.mKey)) {
    OnCatalog(aRecord);
  } else if (mPorts.mFormat.IsWave(aRecord.mKey)) {
    auto decoded = mPorts.mFormat.DecodeWave(aRecord.mValue);
    if (decoded.has_error()) {
      LogError("wave.malformed", decoded.assume_error());
      return;
    }
    mWaves.insert_or_assign(aRecord.mKey, decoded.assume_value());
    if (mFleetController) {
      mFleetController->OnWave(decoded.assume_value());
    }
  }
}

void
node_process::OnCatalog(const platform::record& aRecord)
{
  const time_point startedAt = mClock.Now();
  auto decoded = mPorts.mFormat.DecodeCatalog(aRecord.mValue);
  if (decoded.has_error()) {
    LogError("config.malformed", decoded.assume_error());
    mIsNewestCatalogUnreadable = true;
    return;
  }
  const time_point decodedAt = mClock.Now();
  jobs::catalog next = std::move(decoded).assume_value();
  if (mCatalog && next.mVersion <= mCatalog->mVersion) {
    LogEvent(log_level::kWarning,
             "config.ignored",
             { { "version", next.mVersion },
               { "present_version", mCatalog->mVersion } });
    return;
  }
  mIsNewestCatalogUnreadable = false;
  mCatalog = std::make_unique<jobs::catalog>(std::move(next));
  mKeyGate.SetCustomers(mCatalog->mCustomers);
  for (const auto& [queueName, each] : mCatalog->mQueues) {
    FindOrAddPartition(each.mService);
  }
  for (auto& [service, each] : mPartitions) {
    if (each.LocalOwner() != nullptr) {
      each.LocalOwner()->SetCatalog(*mCatalog);
    }
  }
  if (mFleetController) {
    mFleetController->SetCatalog(*mCatalog);
  }
  mMetrics.Set("mangospan_node_config_version",
               {},
               static_cast<double>(mCatalog->mVersion));
  LogEvent(
    log_level::kInfo,
    "config.adopted",
    { { "version", mCatalog->mVersion },
      { "revision", aRecord.mRevision },
      { "queues", static_cast<std::uint64_t>(mCatalog->mQueues.size()) },
      { "customers", static_cast<std::uint64_t>(mCatalog->mCustomers.size()) },
      { "bytes", static_cast<std::uint64_t>(aRecord.mValue.size()) },
      { "decode_ms", CountMilliseconds(decodedAt - startedAt) },
      { "apply_ms", CountMilliseconds(mClock.Now() - decodedAt) },
      { "confirmed_age_ms", CountMilliseconds(CatalogAge()) } });
}

std::vector<service_name>
node_process::Pools() const
{
  std::vector<service_name> out;
  for (const auto& [service, each] : mPartitions) {
    out.push_back(service);
  }
  return out;
}

void
node_process::Exchange(const service_name& aPool,
                       pool_instructions aInstructions,
                       pool_state_handler aHandler)
{
  FindOrAddPartition(aPool).Exchange(std::move(aInstructions),
                                     std::move(aHandler));
}

const jobs::catalog*
node_process::Catalog() const
{
  return mCatalog.get();
}

time_point::duration
node_process::CatalogAge() const
{
  return mClock.Now() - mOperatorMirror->ConfirmedAt();
}

bool
node_process::IsCatalogCurrent() const
{
  return mCatalog && CatalogAge() < kMaxCatalogAge;
}

std::optional<time_point>
node_process::CatalogConfirmedAt() const
{
  const bool isKnown =
    mCatalog && mOperatorMirror->IsSynced() && !mIsNewestCatalogUnreadable;
  return isKnown ? std::make_optional(mOperatorMirror->ConfirmedAt())
                 : std::nullopt;
}

customers::key_check
node_process::CheckKey(const jobs::queue_policy& aQueue,
                       std::string_view aKey) const
{
  if (aQueue.mIsPublic) {
    return { customers::key_verdict::kAccepted, {} };
  }
  customers::key_check out =
    mKeyGate.Check(aKey, CatalogConfirmedAt(), mClock.Now());
  if (out.mVerdict != customers::key_verdict::kAccepted) {
    mMetrics.Add("mangospan_node_key_refusals_total",
                 { { "reason", customers::Name(out.mVerdict) } });
  }
  return out;
}

// Logs when this node can no longer check API keys, and when it can again.
void
node_process::ReportKeyChecks()
{
  if (!mCatalog || mCatalog->mCustomers.empty()) {
    return;
  }
  const bool canAccept =
    mKeyGate.CanAcceptKeys(CatalogConfirmedAt(), mClock.Now());
  if (canAccept != mCouldAcceptKeys) {
    mCouldAcceptKeys = canAccept;
    LogEvent(canAccept ? log_level::kInfo : log_level::kWarning,
             canAccept ? "keys.checked" : "keys.not_checked",
             { { "config_age_ms", CountMilliseconds(CatalogAge()) },
               { "unreadable", mIsNewestCatalogUnreadable } });
  }
}

std::string
node_process::DumpState() const
{
  json out{ { "node", mSettings.mNode },
            { "ready", IsReady() },
            { "catalog_version", mCatalog ? mCatalog->mVersion : 0 } };
  for (const auto& [service, each] : mPartitions) {
    out["services"][service.Str()] = DumpPartition(each, mClock.Now());
  }
  AddOwner(*mFleetElection, "fleet", out);
  return out.dump();
}

stop_schedule
node_process::Stop()
{
  const time_point begin = mClock.Now();
  mStopSchedule.emplace(begin, mSettings.mStopTimeout);
  const auto pending = std::make_shared<std::size_t>(mPartitions.size() + 1);
  const auto retired = [this, pending, begin] {
    if (--*pending == 0) {
      mIsHandedOver = true;
      LogEvent(log_level::kInfo,
               "stop.handed_over",
               { { "took_ms", CountMilliseconds(mClock.Now() - begin) } });
    }
  };
  for (auto& [service, each] : mPartitions) {
    each.Retire(retired);
  }
  mFleetElection->Retire(retired);
  return *mStopSchedule;
}

} // namespace mangospan::node
