#include "mangospan/fleet/testing/fake_fleet.h"

#include <algorithm>
#include <utility>

#include "mangospan/config/patch.h"

namespace mangospan::fleet::testing {

namespace {

constexpr milliseconds kReportEvery{ 400 };
// Budgets that were in force this recently may still be granted from.
constexpr milliseconds kBudgetLag{ 4000 };
// A process may decide by a host list of this age.
constexpr milliseconds kListAge{ 2000 };

std::size_t
ShareOf(const fake_entry& aEntry, const host_name& aHost)
{
  for (const view::endpoint& endpoint : aEntry.mView.mEndpoints) {
    if (endpoint.mHost != aHost ||
        endpoint.mState != view::endpoint_state::kServing) {
      continue;
    }
    for (const view::slot_share& share : endpoint.mShares) {
      if (share.mEntry == aEntry.mId) {
        return share.mSlots;
      }
    }
  }
  return 0;
}

bool
IsDraining(const view::zone_view& aView, const host_name& aHost)
{
  return std::any_of(aView.mEndpoints.begin(),
                     aView.mEndpoints.end(),
                     [&](const view::endpoint& aEndpoint) {
                       return aEndpoint.mHost == aHost &&
                              aEndpoint.mState ==
                                view::endpoint_state::kDraining;
                     });
}

bool
PlannedOut(const host_record& aRecord)
{
  return aRecord.mPhase != host_phase::kServing &&
         aRecord.mPurpose != host_purpose::kNone &&
         !(aRecord.mPurpose == host_purpose::kMove &&
           aRecord.mPool == aRecord.mTarget);
}

bool
HasPermit(const budget_record& aBudget,
          const zone_name& aZone,
          const host_name& aHost)
{
  const auto share = aBudget.mZones.find(aZone);
  return share != aBudget.mZones.end() &&
         std::any_of(
           share->second.mPermits.begin(),
           share->second.mPermits.end(),
           [&](const permit& aPermit) { return aPermit.mHost == aHost; });
}

bool
MayFollow(const host_record& aOld, const host_record& aNew)
{
  using phase = host_phase;
  static const std::map<phase, std::set<phase>> kNext{
    { phase::kServing, { phase::kDraining, phase::kStarting } },
    { phase::kDraining,
      { phase::kServing, phase::kStopping, phase::kRebooting } },
    { phase::kStopping, { phase::kDrained, phase::kStarting } },
    { phase::kRebooting, { phase::kStarting } },
    { phase::kDrained, { phase::kStarting } },
    { phase::kStarting, { phase::kServing } },
  };
  if (aOld.mPhase == aNew.mPhase) {
    return aOld.mPool == aNew.mPool && aOld.mEpoch == aNew.mEpoch;
  }
  const bool reassigned =
    aOld.mPhase == phase::kStopping && aNew.mPhase == phase::kStarting;
  const bool returned = aNew.mPhase == phase::kServing;
  return kNext.at(aOld.mPhase).count(aNew.mPhase) != 0 &&
         (reassigned || aOld.mPool == aNew.mPool) &&
         aNew.mEpoch == aOld.mEpoch + (returned ? 1 : 0);
}

} // namespace

settings
ShortSettings()
{
  settings times;
  times.mLeaseTtl = milliseconds(1500);
  times.mLeaseMargin = milliseconds(150);
  times.mRenewEvery = milliseconds(400);
  times.mHeartbeatEvery = milliseconds(250);
  times.mElectionJitter = milliseconds(250);
  times.mStoreRetry = milliseconds(50);
  times.mStoreRetryMax = milliseconds(400);
  times.mHostListEvery = milliseconds(300);
  times.mActionPollEvery = milliseconds(150);
  times.mStatusEvery = milliseconds(500);
  times.mReportWait = milliseconds(300);
  times.mSilentAfter = milliseconds(900);
  times.mEntryFence = milliseconds(3000);
  times.mHostFence = milliseconds(3000);
  times.mListLag = milliseconds(1000);
  times.mBudgetRetry = milliseconds(400);
  times.mZoneCheckFor = milliseconds(600);
  times.mSizingEvery = milliseconds(300);
  times.mSizingLearn = milliseconds(600);
  times.mMoveWorth = milliseconds(400);
  times.mMoveInterval = milliseconds(600);
  times.mSurplusFor = milliseconds(900);
  return times;
}

config::document
TwoPools(std::size_t aBudget)
{
  config::document document;
  config::pool work;
  work.mName = pool_name("work");
  work.mService = service_name("work");
  work.mMaxUnavailable.mCount = aBudget;
  config::pool spare = work;
  spare.mName = pool_name("spare");
  spare.mService = service_name("spare");
  spare.mSpare = true;
  document.mPools = { work, spare };
  config::work_class checks;
  checks.mName = class_name("checks");
  checks.mMatch.mService = service_name("work");
  checks.mTarget = { 0.99, std::chrono::seconds(2) };
  document.mClasses = { checks };
  document.mMaintenance.mRebootLimit = std::chrono::seconds(3);
  document.mMaintenance.mStopAfterFailures = 2;
  return document;
}

fake_fleet::fake_fleet(const fleet_options& aOptions, std::uint64_t aSeed)
  : mStore(mEvents, aSeed + 1)
  , mHosts(mEvents, aSeed + 2)
  , mRandom(static_cast<std::minstd_rand::result_type>(aSeed + 3))
  , mOptions(aOptions)
{
  mStore.mOnChange = [this](const platform::change& aChange) {
    OnStoreChange(aChange);
  };
  mHosts.mOnCut = [this](const platform::action_request& aRequest) {
    if (InFlight(aRequest.mHost) != 0) {
      Violate("requests are cut at " + aRequest.mHost.Str());
    }
    CheckRecorded(aRequest);
  };
  for (std::size_t i = 0; i < mOptions.mZones; ++i) {
    AddZone(i);
  }
}

zone_name
fake_fleet::Zone(std::size_t aIndex) const
{
  return zone_name(std::string(1, static_cast<char>('a' + aIndex)));
}

void
fake_fleet::AddZone(std::size_t aIndex)
{
  const zone_name zone = Zone(aIndex);
  for (std::size_t i = 0; i < mOptions.mHosts; ++i) {
    platform::host_info host;
    host.mHost = host_name(zone.Str() + "-" + std::to_string(i));
    host.mZone = zone;
    host.mRack = rack_name(zone.Str() + "-r" + std::to_string(i / 2));
    host.mAddress = "10.0.0.1:80";
    host.mService = mOptions.mServices[i % mOptions.mServices.size()];
    host.mSlots = mOptions.mSlots;
    mHosts.Add(host);
  }
  for (std::size_t i = 0; i < mOptions.mProcesses; ++i) {
    mProcesses.push_back(std::make_unique<fake_process>());
    fake_process& process = *mProcesses.back();
    process.mNumber = mProcesses.size() - 1;
    process.mZone = zone;
    process.mSelf.mHost = host_name(zone.Str() + "-e" + std::to_string(i));
    Start(process);
    mEvents.After(milliseconds(mRandom() % 100),
                  [this, &process] { Tick(process); });
  }
  for (std::size_t i = 0; i < mOptions.mEntries; ++i) {
    mEntries.push_back(std::make_unique<fake_entry>());
    fake_entry& entry = *mEntries.back();
    entry.mId.mHost = host_name(zone.Str() + "-e" + std::to_string(i));
    entry.mId.mBoot.mValue = ++mLastBoot;
    entry.mAddress = "10.0.1." + std::to_string(i) + ":90";
    entry.mView.mZone = zone;
    platform::host_info host;
    host.mHost = entry.mId.mHost;
    host.mZone = zone;
    host.mRole = platform::host_role::kEntry;
    mHosts.Add(host);
    mEvents.After(kReportEvery, [this, &entry] { Report(entry); });
  }
}

void
fake_fleet::Run(milliseconds aFor)
{
  mEvents.RunUntil(mEvents.Now() + aFor);
}

void
fake_fleet::Apply(const config::document& aDocument)
{
  mDocuments.push_back(aDocument);
  mBudgetsApplied.emplace_back(
    mEvents.Now(), aDocument.mPools[0].mMaxUnavailable.mCount.value_or(0));
  mStore.Put(kConfigKey,
             "{\"change_id\":\"c\",\"author\":\"test\",\"document\":\"" +
               std::to_string(mDocuments.size() - 1) + "\"}");
}

void
fake_fleet::Drain(const std::vector<host_name>& aHosts)
{
  std::string text;
  for (const host_name& host : aHosts) {
    text += (text.empty() ? "\"" : ",\"") + host.Str() + "\"";
  }
  mStore.Put(kDrainsKey, "{\"hosts\":[" + text + "]}");
}

void
fake_fleet::StartWave(const std::string& aId, bool aPaused)
{
  mStore.Put(kWaveKey,
             "{\"id\":\"" + aId + "\",\"pool\":\"work\",\"state\":\"" +
               (aPaused ? "paused" : "running") + "\"}");
}

void
fake_fleet::Start(fake_process& aProcess)
{
  aProcess.mSelf.mBoot.mValue = ++mLastBoot;
  aProcess.mFrozen = false;
  aProcess.mHeld.clear();
  aProcess.mSentConfig = 0;
  const parse_function parse =
    [this](std::string_view aText,
           std::string_view) -> result<config::document> {
    return mDocuments.at(std::stoul(std::string(aText)));
  };
  aProcess.mController = std::make_unique<zone_controller>(
    aProcess.mZone, aProcess.mSelf, mOptions.mSettings, parse, mRandom());
}

void
fake_fleet::Kill(fake_process& aProcess)
{
  aProcess.mController = nullptr;
  aProcess.mHeld.clear();
}

void
fake_fleet::Freeze(fake_process& aProcess)
{
  aProcess.mFrozen = true;
}

void
fake_fleet::Thaw(fake_process& aProcess)
{
  aProcess.mFrozen = false;
  for (const auto& input : std::exchange(aProcess.mHeld, {})) {
    input();
  }
}

void
fake_fleet::RestartEntry(fake_entry& aEntry)
{
  const zone_name zone = aEntry.mView.mZone;
  aEntry.mId.mBoot.mValue = ++mLastBoot;
  aEntry.mRegistered = false;
  aEntry.mTermHeard = 0;
  aEntry.mView = {};
  aEntry.mView.mZone = zone;
  aEntry.mReported = {};
  aEntry.mConfigRevision = 0;
  aEntry.mInFlight.clear();
}

void
fake_fleet::KillHost(const host_name& aHost)
{
  mKilledHosts.insert(aHost);
  mEverKilled.insert(aHost);
  mHosts.SetState(aHost, platform::host_state::kGone);
  for (const auto& entry : mEntries) {
    entry->mInFlight.erase(aHost);
  }
}

void
fake_fleet::Heal()
{
  mStore.mDown = false;
  mStore.mLostAnswers = 0;
  mStore.mLostRequests = 0;
  mHosts.mDown = false;
  mHosts.mFailures = 0;
  for (const auto& process : mProcesses) {
    if (process->mController == nullptr) {
      Start(*process);
    } else if (process->mFrozen) {
      Thaw(*process);
    }
  }
  for (const auto& entry : mEntries) {
    entry->mFrozen = false;
    entry->mCut = false;
  }
  for (const host_name& host : std::exchange(mKilledHosts, {})) {
    mHosts.SetState(host, platform::host_state::kLive);
    mLiveAgain[host] = mEvents.Now();
  }
}

void
fake_fleet::Tick(fake_process& aProcess)
{
  mEvents.After(mOptions.mTick, [this, &aProcess] { Tick(aProcess); });
  if (aProcess.mController == nullptr || aProcess.mFrozen) {
    return;
  }
  Input(aProcess, [this](zone_controller& aController) {
    const wall_time utc{ std::chrono::seconds(1800000000) +
                         std::chrono::duration_cast<std::chrono::seconds>(
                           mEvents.Now().time_since_epoch()) };
    return aController.OnTick(mEvents.Now(), utc);
  });
}

void
fake_fleet::Input(fake_process& aProcess,
                  const std::function<actions(zone_controller&)>& aInput)
{
  if (aProcess.mController == nullptr) {
    return;
  }
  if (aProcess.mFrozen) {
    aProcess.mHeld.push_back(
      [this, &aProcess, aInput] { Input(aProcess, aInput); });
    return;
  }
  const auto before = std::chrono::steady_clock::now();
  const actions next = aInput(*aProcess.mController);
  mBusy += std::chrono::steady_clock::now() - before;
  Carry(aProcess, next);
}

void
fake_fleet::Carry(fake_process& aProcess, const actions& aActions)
{
  for (const action& each : aActions) {
    CarryOne(aProcess, each);
  }
}

void
fake_fleet::CarryOne(fake_process& aProcess, const action& aAction)
{
  const auto boot = aProcess.mSelf.mBoot;
  const auto back = [this, &aProcess, boot](auto aInput) {
    return [this, &aProcess, boot, aInput](auto aResult) {
      if (aProcess.mSelf.mBoot == boot) {
        Input(aProcess, [this, aInput, aResult](zone_controller& aController) {
          return aInput(aController, aResult, mEvents.Now());
        });
      }
    };
  };
  if (const auto* call = std::get_if<store_call>(&aAction)) {
    mStore.Call(call->mOperation,
                back([id = call->mId](zone_controller& aController,
                                      const store_result& aResult,
                                      time_point aNow) {
                  return aController.OnStoreResult(id, aResult, aNow);
                }));
  } else if (const auto* list = std::get_if<list_hosts_call>(&aAction)) {
    mHosts.List(
      list->mKnown,
      back([id = list->mId](zone_controller& aController,
                            const result<platform::host_list>& aResult,
                            time_point aNow) {
        return aController.OnHostList(id, aResult, aNow);
      }));
  } else if (const auto* act = std::get_if<host_call>(&aAction)) {
    CheckTerm(aProcess, "host action");
    mHosts.Act(
      act->mRequest,
      back([id = act->mId](zone_controller& aController,
                           const result<platform::action_status>& aResult,
                           time_point aNow) {
        return aController.OnActionResult(id, aResult, aNow);
      }));
  } else {
    Deliver(aProcess, aAction);
  }
}

void
fake_fleet::CheckTerm(const fake_process& aProcess, const char* aWhat)
{
  const std::string key = LeaderKey(aProcess.mZone);
  if (mStore.RevisionOf(key) != aProcess.mController->Term()) {
    Violate(std::string(aWhat) + " of a process without the lease");
  }
}

void
fake_fleet::Deliver(fake_process& aFrom, const action& aAction)
{
  const auto* heartbeat = std::get_if<send_heartbeat>(&aAction);
  const auto* view = std::get_if<push_view>(&aAction);
  const auto* config = std::get_if<push_config>(&aAction);
  if (heartbeat != nullptr || view != nullptr) {
    CheckTerm(aFrom, "push");
  }
  if (config != nullptr && config->mRevision < aFrom.mSentConfig) {
    Violate("a process has reverted its configuration");
  }
  const std::uint64_t term = aFrom.mController->Term();
  for (const auto& entry : mEntries) {
    if (entry->mView.mZone != aFrom.mZone || entry->mFrozen || entry->mCut) {
      continue;
    }
    ++mMessages;
    fake_entry& to = *entry;
    mEvents.After(Delay(), [this, &to, &aFrom, term, aAction] {
      if (to.mFrozen || to.mCut) {
        return;
      }
      if (const auto* beat = std::get_if<send_heartbeat>(&aAction)) {
        OnHeartbeat(to, aFrom, term, *beat);
      } else if (const auto* push = std::get_if<push_view>(&aAction)) {
        OnView(to, push->mView);
      } else if (const auto* text = std::get_if<push_config>(&aAction)) {
        OnConfig(to, *text);
      }
    });
  }
  if (heartbeat == nullptr) {
    return;
  }
  for (const auto& process : mProcesses) {
    if (process->mZone == aFrom.mZone && process.get() != &aFrom) {
      mEvents.After(Delay(), [this, &to = *process, term] {
        Input(to, [this, term](zone_controller& aController) {
          wire::sender sender;
          sender.mTerm = term;
          return aController.OnPeerHeartbeat(sender, {}, mEvents.Now());
        });
      });
    }
  }
}

void
fake_fleet::OnHeartbeat(fake_entry& aEntry,
                        fake_process& aFrom,
                        std::uint64_t aTerm,
                        const send_heartbeat& aHeartbeat)
{
  if (aTerm < aEntry.mTermHeard) {
    return;
  }
  const auto& registered = aHeartbeat.mRegistered;
  const bool first = aTerm > aEntry.mTermHeard;
  aEntry.mTermHeard = aTerm;
  aEntry.mLeader = aFrom.mNumber;
  const bool listed =
    std::find(registered.begin(), registered.end(), aEntry.mId) !=
    registered.end();
  if (aEntry.mRegistered && !listed) {
    Violate("entry " + aEntry.mId.mHost.Str() +
            " is told that it is not registered any more");
  }
  aEntry.mRegistered = listed;
  if (listed) {
    UseSlots(aEntry);
  }
  if (first || !aEntry.mRegistered) {
    Hello(aEntry);
  }
}

void
fake_fleet::OnView(fake_entry& aEntry, const view::zone_view& aView)
{
  if (aView.mVersion.mTerm < aEntry.mTermHeard ||
      !(aEntry.mView.mVersion < aView.mVersion)) {
    return;
  }
  aEntry.mTermHeard = aView.mVersion.mTerm;
  aEntry.mView = aView;
  aEntry.mFewestEndpoints =
    std::min(aEntry.mFewestEndpoints, aView.mEndpoints.size());
  UseSlots(aEntry);
  Report(aEntry);
}

void
fake_fleet::OnConfig(fake_entry& aEntry, const push_config& aPush)
{
  if (aPush.mRevision <= aEntry.mConfigRevision) {
    return;
  }
  if (aPush.mBaseRevision == 0) {
    aEntry.mConfigText = aPush.mText;
  } else if (aPush.mBaseRevision == aEntry.mConfigRevision) {
    aEntry.mConfigText =
      config::ApplyPatch(aEntry.mConfigText, aPush.mText).value();
  } else {
    return;
  }
  aEntry.mConfigRevision = aPush.mRevision;
}

void
fake_fleet::UseSlots(fake_entry& aEntry)
{
  for (const view::endpoint& endpoint : aEntry.mView.mEndpoints) {
    const std::size_t share = ShareOf(aEntry, endpoint.mHost);
    std::size_t& inFlight = aEntry.mInFlight[endpoint.mHost];
    if (aEntry.mRegistered && inFlight < share) {
      inFlight = share;
      if (InFlight(endpoint.mHost) > mOptions.mSlots) {
        Violate("more requests than slots at " + endpoint.mHost.Str());
      }
    }
  }
  for (const auto& [host, inFlight] : aEntry.mInFlight) {
    for (std::size_t i = ShareOf(aEntry, host); i < inFlight; ++i) {
      mEvents.After(milliseconds(1 + mRandom() % mOptions.mRequestTime.count()),
                    [this, &aEntry, boot = aEntry.mId.mBoot, host = host] {
                      if (aEntry.mId.mBoot == boot) {
                        FinishOne(aEntry, host);
                      }
                    });
    }
  }
}

void
fake_fleet::FinishOne(fake_entry& aEntry, const host_name& aHost)
{
  if (aEntry.mFrozen) {
    mEvents.After(milliseconds(100),
                  [this, &aEntry, boot = aEntry.mId.mBoot, aHost] {
                    if (aEntry.mId.mBoot == boot) {
                      FinishOne(aEntry, aHost);
                    }
                  });
    return;
  }
  std::size_t& inFlight = aEntry.mInFlight[aHost];
  if (inFlight > ShareOf(aEntry, aHost)) {
    --inFlight;
  }
}

void
fake_fleet::Report(fake_entry& aEntry)
{
  if (mEvents.Now() >= aEntry.mNextReport) {
    aEntry.mNextReport = mEvents.Now() + kReportEvery;
    mEvents.After(kReportEvery, [this, &aEntry] { Report(aEntry); });
  }
  bool within = true;
  wire::entry_report report;
  for (const auto& [host, inFlight] : aEntry.mInFlight) {
    within = within && (inFlight <= ShareOf(aEntry, host) ||
                        IsDraining(aEntry.mView, host));
  }
  if (within) {
    aEntry.mReported = aEntry.mView.mVersion;
  }
  report.mView = aEntry.mReported;
  report.mConfigRevision = aEntry.mConfigRevision;
  for (const view::endpoint& endpoint : aEntry.mView.mEndpoints) {
    if (endpoint.mState == view::endpoint_state::kDraining &&
        aEntry.mInFlight[endpoint.mHost] == 0) {
      report.mEmptied.push_back({ endpoint.mHost, endpoint.mEpoch });
    }
  }
  if (mDemand) {
    wire::class_demand demand;
    demand.mClass = class_name("checks");
    demand.mArrivals = mDemandRate * kReportEvery.count() / 1000;
    demand.mAnswered = demand.mArrivals;
    demand.mBusy = std::chrono::milliseconds(300) * demand.mAnswered;
    report.mDemand.push_back(demand);
  }
  ToLeader(aEntry, [this, id = aEntry.mId, report](zone_controller& aTo) {
    return aTo.OnEntryReport(id, report, mEvents.Now());
  });
}

void
fake_fleet::Hello(fake_entry& aEntry)
{
  wire::hello hello;
  hello.mPeerAddress = aEntry.mAddress;
  hello.mView = aEntry.mReported;
  hello.mConfigRevision = aEntry.mConfigRevision;
  hello.mTermHeard = aEntry.mTermHeard;
  for (const auto& [host, inFlight] : aEntry.mInFlight) {
    hello.mShares.push_back(
      { host, 0, std::max(inFlight, ShareOf(aEntry, host)) });
  }
  ToLeader(aEntry, [this, id = aEntry.mId, hello](zone_controller& aTo) {
    return aTo.OnEntryHello(id, hello, mEvents.Now());
  });
}

void
fake_fleet::ToLeader(fake_entry& aEntry,
                     const std::function<actions(zone_controller&)>& aInput)
{
  if (aEntry.mFrozen || aEntry.mCut || aEntry.mTermHeard == 0) {
    return;
  }
  ++mMessages;
  fake_process& leader = *mProcesses.at(aEntry.mLeader);
  mEvents.After(Delay(), [this, &leader, aInput] { Input(leader, aInput); });
}

std::size_t
fake_fleet::InFlight(const host_name& aHost) const
{
  std::size_t count = 0;
  for (const auto& entry : mEntries) {
    const auto found = entry->mInFlight.find(aHost);
    count += found == entry->mInFlight.end() ? 0 : found->second;
  }
  return count;
}

void
fake_fleet::OnStoreChange(const platform::change& aChange)
{
  for (std::size_t i = 0; i < mOptions.mZones; ++i) {
    if (aChange.mRecord.mKey == HostsKey(Zone(i))) {
      CheckHosts(Zone(i),
                 ParseHosts(aChange.mRecord.mValue, "hosts").assume_value());
      CheckCounted();
    }
  }
  if (aChange.mRecord.mKey.rfind(kPoolsPrefix, 0) == 0) {
    CheckCounted();
  }
}

// Every host that is out as planned holds a permit in its pool's budget.
void
fake_fleet::CheckCounted()
{
  std::map<pool_name, budget_record> budgets;
  for (const auto& [zone, record] : mLastHosts) {
    for (const auto& [host, each] : record.mHosts) {
      if (!PlannedOut(each)) {
        continue;
      }
      const auto budget =
        budgets.try_emplace(each.mPool, Budget(each.mPool)).first;
      if (!HasPermit(budget->second, zone, host)) {
        Violate("host " + host.Str() + " is out without a permit");
      }
    }
  }
}

void
fake_fleet::CheckHosts(const zone_name& aZone, const hosts_record& aNext)
{
  const hosts_record old = std::exchange(mLastHosts[aZone], aNext);
  if (aNext.mTerm < old.mTerm) {
    Violate("the hosts' record was written under an old term");
  }
  for (const auto& [host, record] : old.mHosts) {
    const auto found = aNext.mHosts.find(host);
    if (found == aNext.mHosts.end()) {
      if (mEverKilled.count(host) == 0) {
        Violate("host " + host.Str() + " was dropped");
      }
      continue;
    }
    if (!MayFollow(record, found->second)) {
      Violate("host " + host.Str() + " went from " + Name(record.mPhase) +
              " to " + Name(found->second.mPhase));
    }
    mMoves += record.mPool == found->second.mPool ? 0 : 1;
    if (record.mPhase == host_phase::kServing &&
        found->second.mPhase == host_phase::kDraining) {
      ++mDrains;
      CheckBudget(aZone, host, found->second);
    }
  }
}

// Each step is recorded before it is carried out.
void
fake_fleet::CheckRecorded(const platform::action_request& aRequest)
{
  for (const auto& [zone, record] : mLastHosts) {
    const auto host = record.mHosts.find(aRequest.mHost);
    if (host != record.mHosts.end() && host->second.mAction == aRequest.mId) {
      return;
    }
  }
  Violate("an action at " + aRequest.mHost.Str() + " is not recorded");
}

void
fake_fleet::CheckBudget(const zone_name& aZone,
                        const host_name& aHost,
                        const host_record& aRecord)
{
  if (!HasPermit(Budget(aRecord.mPool), aZone, aHost)) {
    Violate("host " + aHost.Str() + " drains without a permit");
  }
  // A host that is down is unavailable already: its drain adds nothing.
  if (WasDownLately(aHost)) {
    mDrainedDown.insert(aHost);
    return;
  }
  mDrainedDown.erase(aHost);
  std::size_t out = 0;
  std::size_t hosts = 0;
  for (const auto& [zone, record] : mLastHosts) {
    for (const auto& [host, each] : record.mHosts) {
      if (each.mPool == aRecord.mPool) {
        ++hosts;
        out += PlannedOut(each) && mDrainedDown.count(host) == 0 ? 1 : 0;
      }
    }
  }
  if (out > MostAllowed(hosts)) {
    Violate("pool " + aRecord.mPool.Str() + " is over its budget: " +
            std::to_string(out) + " of " + std::to_string(MostAllowed(hosts)));
  }
}

bool
fake_fleet::WasDownLately(const host_name& aHost) const
{
  const auto live = mLiveAgain.find(aHost);
  return mHosts.At(aHost).mState != platform::host_state::kLive ||
         (live != mLiveAgain.end() && mEvents.Now() - live->second <= kListAge);
}

std::size_t
fake_fleet::MostAllowed(std::size_t aHosts) const
{
  std::size_t most = 0;
  for (auto each = mBudgetsApplied.rbegin(); each != mBudgetsApplied.rend();
       ++each) {
    config::availability_budget budget;
    budget.mCount = each->second;
    most = std::max(most, budget.Allowed(aHosts));
    if (mEvents.Now() - each->first > kBudgetLag) {
      break;
    }
  }
  return most;
}

fake_process*
fake_fleet::Acting(const zone_name& aZone)
{
  for (const auto& process : mProcesses) {
    if (process->mZone == aZone && process->mController != nullptr &&
        !process->mFrozen && process->mController->Acting()) {
      return process.get();
    }
  }
  return nullptr;
}

hosts_record
fake_fleet::Hosts(const zone_name& aZone) const
{
  auto parsed = ParseHosts(mStore.Get(HostsKey(aZone)), "hosts");
  return parsed.has_value() ? parsed.assume_value() : hosts_record{};
}

budget_record
fake_fleet::Budget(const pool_name& aPool) const
{
  auto parsed = ParseBudget(mStore.Get(BudgetKey(aPool)), "budget");
  return parsed.has_value() ? parsed.assume_value() : budget_record{};
}

void
fake_fleet::Violate(const std::string& aWhat)
{
  mViolations.push_back(
    aWhat + " at " +
    std::to_string(std::chrono::duration_cast<milliseconds>(
                     mEvents.Now().time_since_epoch() - std::chrono::hours(1))
                     .count()) +
    " ms");
}

milliseconds
fake_fleet::Delay()
{
  return milliseconds(1 + mRandom() % 30);
}

} // namespace mangospan::fleet::testing
