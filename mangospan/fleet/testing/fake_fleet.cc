#include "mangospan/fleet/testing/fake_fleet.h"

#include <algorithm>
#include <utility>

namespace mangospan::fleet::testing {

settings
ShortSettings()
{
  settings times;
  times.mLeaseTtl = milliseconds(1500);
  times.mLeaseMargin = milliseconds(150);
  times.mRenewInterval = milliseconds(400);
  times.mHeartbeatInterval = milliseconds(250);
  times.mElectionJitter = milliseconds(250);
  times.mStoreRetry = milliseconds(50);
  times.mStoreRetryMax = milliseconds(400);
  times.mHostListInterval = milliseconds(300);
  times.mHostActionPollInterval = milliseconds(150);
  times.mStatusInterval = milliseconds(500);
  times.mMaxFirstViewDelay = milliseconds(300);
  times.mEntryUnresponsiveAfter = milliseconds(900);
  times.mEntryFence = milliseconds(3000);
  times.mHostFence = milliseconds(3000);
  times.mListLag = milliseconds(1000);
  times.mBudgetRetryInterval = milliseconds(400);
  times.mZoneCheckValidity = milliseconds(600);
  times.mAutoscalerInterval = milliseconds(300);
  times.mAutoscalerWarmUp = milliseconds(600);
  times.mMinRemainingShortage = milliseconds(400);
  times.mMoveInterval = milliseconds(600);
  times.mMinSurplusDuration = milliseconds(900);
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
  mHosts.mOnRunnerStop = [this](const platform::action_request& aRequest) {
    if (InFlight(aRequest.mHost) != 0) {
      AddViolation("the runner was stopped with requests in flight at host " +
                   aRequest.mHost.Str());
    }
    CheckActionRecorded(aRequest);
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
    mEvents.After(kReportInterval, [this, &entry] { SendReport(entry); });
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
  aProcess.mPendingInputs.clear();
  aProcess.mSentConfigRevision = 0;
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
  aProcess.mPendingInputs.clear();
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
  for (const auto& input : std::exchange(aProcess.mPendingInputs, {})) {
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
  aEntry.mReportedView = {};
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
  mStore.mLostAnswerRate = 0;
  mStore.mLostRequestRate = 0;
  mHosts.mDown = false;
  mHosts.mRebootFailureRate = 0;
  for (const auto& process : mProcesses) {
    if (process->mController == nullptr) {
      Start(*process);
    } else if (process->mFrozen) {
      Thaw(*process);
    }
  }
  for (const auto& entry : mEntries) {
    entry->mFrozen = false;
    entry->mPartitioned = false;
  }
  for (const host_name& host : std::exchange(mKilledHosts, {})) {
    mHosts.SetState(host, platform::host_state::kLive);
    mRestoredAt[host] = mEvents.Now();
  }
}

void
fake_fleet::Tick(fake_process& aProcess)
{
  mEvents.After(mOptions.mTickInterval, [this, &aProcess] { Tick(aProcess); });
  if (aProcess.mController == nullptr || aProcess.mFrozen) {
    return;
  }
  HandleInput(aProcess, [this](zone_controller& aController) {
    const wall_time utc{ std::chrono::seconds(1800000000) +
                         std::chrono::duration_cast<std::chrono::seconds>(
                           mEvents.Now().time_since_epoch()) };
    return aController.OnTick(mEvents.Now(), utc);
  });
}

void
fake_fleet::HandleInput(fake_process& aProcess,
                        const std::function<actions(zone_controller&)>& aInput)
{
  if (aProcess.mController == nullptr) {
    return;
  }
  if (aProcess.mFrozen) {
    aProcess.mPendingInputs.push_back(
      [this, &aProcess, aInput] { HandleInput(aProcess, aInput); });
    return;
  }
  const auto start = std::chrono::steady_clock::now();
  const actions nextActions = aInput(*aProcess.mController);
  mDecisionTime += std::chrono::steady_clock::now() - start;
  ExecuteActions(aProcess, nextActions);
}

void
fake_fleet::ExecuteActions(fake_process& aProcess, const actions& aActions)
{
  for (const action& each : aActions) {
    Execute(aProcess, each);
  }
}

void
fake_fleet::Execute(fake_process& aProcess, const action& aAction)
{
  const auto boot = aProcess.mSelf.mBoot;
  const auto makeCallback = [this, &aProcess, boot](auto aInput) {
    return [this, &aProcess, boot, aInput](auto aResult) {
      if (aProcess.mSelf.mBoot == boot) {
        HandleInput(aProcess,
                    [this, aInput, aResult](zone_controller& aController) {
                      return aInput(aController, aResult, mEvents.Now());
                    });
      }
    };
  };
  if (const auto* call = std::get_if<store_call>(&aAction)) {
    mStore.Call(call->mOperation,
                makeCallback([id = call->mId](zone_controller& aController,
                                              const store_result& aResult,
                                              time_point aNow) {
                  return aController.OnStoreResult(id, aResult, aNow);
                }));
  } else if (const auto* list = std::get_if<list_hosts_call>(&aAction)) {
    mHosts.List(
      list->mKnownRevision,
      makeCallback([id = list->mId](zone_controller& aController,
                                    const result<platform::host_list>& aResult,
                                    time_point aNow) {
        return aController.OnHostList(id, aResult, aNow);
      }));
  } else if (const auto* act = std::get_if<host_call>(&aAction)) {
    CheckTerm(aProcess, "host action");
    mHosts.StartAction(
      act->mRequest,
      makeCallback(
        [id = act->mId](zone_controller& aController,
                        const result<platform::action_status>& aResult,
                        time_point aNow) {
          return aController.OnHostActionResult(id, aResult, aNow);
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
    AddViolation(std::string(aWhat) + " by a process without the leader lease");
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
  if (config != nullptr && config->mRevision < aFrom.mSentConfigRevision) {
    AddViolation("a process pushed an older configuration revision");
  }
  const std::uint64_t term = aFrom.mController->Term();
  for (const auto& entry : mEntries) {
    if (entry->mView.mZone != aFrom.mZone || entry->mFrozen ||
        entry->mPartitioned) {
      continue;
    }
    ++mMessageCount;
    fake_entry& to = *entry;
    mEvents.After(RandomDelay(), [this, &to, &aFrom, term, aAction] {
      if (to.mFrozen || to.mPartitioned) {
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
      mEvents.After(RandomDelay(), [this, &to = *process, term] {
        HandleInput(to, [this, term](zone_controller& aController) {
          wire::sender sender;
          sender.mTerm = term;
          return aController.OnPeerHeartbeat(sender, {}, mEvents.Now());
        });
      });
    }
  }
}

fake_process*
fake_fleet::ActingProcess(const zone_name& aZone)
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

milliseconds
fake_fleet::RandomDelay()
{
  return milliseconds(1 + mRandom() % 30);
}

} // namespace mangospan::fleet::testing
