#include "mangospan/jobs/testing/fake_world.h"

#include <algorithm>
#include <utility>

#include "mangospan/jobs/codec.h"

namespace mangospan::jobs::testing {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kTick{ 20 };
constexpr milliseconds kOrderTimeout{ 400 };
constexpr milliseconds kLongRunningDuration{ 3'600'000 };
// Tasks of a cancelled job may still start for this long after the cancellation
// was stored.
constexpr milliseconds kMaxStartAfterCancel{ 3'000 };
// An owner that can't confirm its ownership continues to act for this long
// after the last confirmation. A successor can be elected after the same time.
constexpr milliseconds kMaxUnconfirmedTime{ 3'900 };
constexpr std::size_t kMaxAttempts = 4;
constexpr milliseconds kCrashDownTime{ 3'500 };
// The time after which the effects of the last fault are over, and the longest
// time that a task may wait after that.
constexpr milliseconds kAftermath{ 4'000 };
constexpr milliseconds kMaxWait{ 3'000 };
// A long-running task may be away for this long after a run.
constexpr milliseconds kMaxRestart{ 6'000 };
// The time after which service discovery drops a runner that is gone.
constexpr milliseconds kEntryLifetime{ 600 };

} // namespace

catalog
TestCatalog()
{
  catalog out;
  out.mVersion = 1;
  queue_policy queue;
  queue.mName = queue_name{ "q" };
  queue.mService = service_name{ "s" };
  queue.mMaxAttempts = kMaxAttempts;
  queue.mObjectiveFactor = 1.6;
  queue.mTargetLatency = milliseconds(600);
  out.mQueues.emplace(queue.mName, queue);
  out.mServices[service_name{ "s" }] = { service_name{ "s" }, false };
  return out;
}

fake_world::fake_world(std::uint64_t aSeed, fault_rates aRates)
  : mRandom(aSeed)
  , mRates(aRates)
  , mCatalog(TestCatalog())
{
  Schedule(milliseconds(0), [this] { Elect(mNow); });
  Schedule(kTick, [this] { Tick(); });
}

fake_world::~fake_world() = default;

void
fake_world::Schedule(milliseconds aDelay, std::function<void()> aAction)
{
  mEvents.push({ mNow + aDelay, ++mSequence, std::move(aAction) });
}

bool
fake_world::Chance(double aProbability)
{
  return std::uniform_real_distribution<double>(0, 1)(mRandom) < aProbability;
}

milliseconds
fake_world::LateDelay()
{
  return milliseconds(std::uniform_int_distribution<int>(300, 12'000)(mRandom));
}

milliseconds
fake_world::RandomDelay()
{
  return milliseconds(std::uniform_int_distribution<int>(1, 6)(mRandom));
}

wall_time
fake_world::Wall() const
{
  return wall_time(std::chrono::duration_cast<wall_time::duration>(
    mNow.time_since_epoch() + mTimeOfDayOffset));
}

void
fake_world::AddRunner(const std::string& aName,
                      const std::string& aService,
                      resources aCapacity,
                      const std::string& aRack)
{
  runner_info info;
  info.mName = runner_name{ aName };
  info.mService = service_name{ aService };
  info.mAddress = aName + ":1";
  info.mRack = rack_name{ aRack };
  info.mCapacity = aCapacity;
  info.mBoot = 1;
  const double rate =
    std::uniform_real_distribution<double>(0.98, 1.0)(mRandom);
  auto made = std::make_unique<fake_runner>(info, rate, mNow);
  made->SetHooks(
    [this, aName](const std::string& aTask) {
      const task_id id = *ParseTaskId(aTask);
      const step_spec& spec = mSpecs.at(id.mJob.Str()).mSteps.at(id.mStep);
      const auto failing = mFailingJobs.find(id.mJob.Str());
      if (failing != mFailingJobs.end()) {
        return fake_work{ failing->second, true, spec.Reservation() };
      }
      const auto estimate = spec.mEstimate.count();
      std::uniform_int_distribution<std::int64_t> actualDuration(estimate / 2,
                                                                 estimate * 2);
      milliseconds duration = spec.mLongRunning
                                ? kLongRunningDuration
                                : milliseconds(actualDuration(mRandom));
      const auto factor =
        mRunTimeFactors.find(mSpecs.at(id.mJob.Str()).mQueue.Str());
      if (factor != mRunTimeFactors.end()) {
        duration = milliseconds(static_cast<std::int64_t>(
          static_cast<double>(estimate) * factor->second));
      }
      const bool willFail = Chance(FailureRateOn(aName));
      const auto after = mFailsAfter.find(aName);
      return fake_work{ willFail && after != mFailsAfter.end() ? after->second
                                                               : duration,
                        willFail,
                        spec.Reservation() };
    },
    [this, aName](const std::string& aTask, std::uint32_t aRun) {
      OnBegin(aName, aTask, aRun);
    },
    [this, aName](const std::string& aTask,
                  std::uint32_t /*aRun*/,
                  run_end aEnd) { OnEnd(aName, aTask, aEnd); },
    [this](const std::string& aTask,
           std::uint32_t /*aRun*/,
           run_end aEnd,
           bool aHasLeaseExpired) {
      OnAcknowledged(aTask, aEnd, aHasLeaseExpired);
    });
  mRunners.emplace(aName, std::move(made));
}

void
fake_world::Elect(time_point aElectedAt)
{
  scheduler_settings settings;
  settings.mLearnRunTimes = mLearnsRunTimes;
  mOwner =
    std::make_unique<scheduler>(settings, ownership{ ++mTerm, aElectedAt, {} });
  mOwner->SetCatalog(mCatalog);
  mConfirmedAt = mNow;
  std::vector<job> stored;
  for (const auto& [name, text] : mStoredJobs) {
    stored.push_back(DecodeRecord(job_name{ name }, text).value());
    stored.back().mRevision = 1;
  }
  inherited_roster roster;
  if (!mStoredRoster.empty()) {
    roster.mRunners = DecodeRoster(mStoredRoster).value();
    roster.mRunTimes = DecodeRunTimes(mStoredRoster).value();
  }
  if (mRosterTerm == mLastOwnerTerm) {
    roster.mWriterEndedBy = mLastOwnerEndedBy;
  }
  mLastOwnerTerm = mTerm;
  mLastOwnerEndedBy.reset();
  mOwner->Load(std::move(stored), roster, mNow, Wall());
  mIsWriting = false;
}

void
fake_world::Tick()
{
  for (auto& [name, each] : mRunners) {
    each->Advance(mNow);
  }
  if (mOwner) {
    const bool isCut = mNow < mStoreCutUntil;
    if (!isCut && mNow >= mDiscoveryFrozenUntil) {
      ListRunners();
    }
    mConfirmedAt = isCut ? mConfirmedAt : mNow;
    mOwner->OnOwnershipConfirmed(mConfirmedAt);
    mOwner->SetMayStart(mNow - mConfirmedAt < kMaxUnconfirmedTime);
    for (const order& each : mOwner->Plan(mNow, Wall())) {
      Send(each);
    }
    WriteToStore();
  }
  if (mCalmSince && mNow >= *mCalmSince + kAftermath) {
    CheckWaits();
  }
  Schedule(kTick, [this] { Tick(); });
}

void
fake_world::ListRunners()
{
  for (const auto& [name, each] : mRunners) {
    if (mDown.count(name) > 0) {
      continue; // its entry stays as it was
    }
    if (mUnlisted.count(name) == 0) {
      mOwner->OnRunnerListed(each->Info(), mNow);
    } else {
      mOwner->OnRunnerUnlisted(runner_name{ name }, mNow);
    }
  }
}

void
fake_world::Send(const order& aOrder)
{
  std::visit([this](const auto& aEach) { Deliver(aEach); }, aOrder);
}

// Notifies the owner of the given term, if it still is the owner.
void
fake_world::NotifyOwner(std::uint64_t aTerm,
                        const std::function<void(scheduler&)>& aNotify)
{
  if (mOwner && mTerm == aTerm) {
    aNotify(*mOwner);
  }
}

void
fake_world::Deliver(const start_order& aOrder)
{
  const std::uint64_t term = mTerm;
  const std::string name = aOrder.mRunner.Str();
  const std::int64_t boot = mRunners.at(name)->Info().mBoot;
  const auto unanswered = [this, aOrder, term] {
    NotifyOwner(term, [&](scheduler& aOwner) {
      aOwner.OnStart(aOrder, order_outcome::kUnknown, mNow);
    });
  };
  if (const auto outcome = OutcomeWithoutRunner(name)) {
    Schedule(RandomDelay(), [this, aOrder, term, outcome] {
      NotifyOwner(term, [&](scheduler& aOwner) {
        aOwner.OnStart(aOrder, *outcome, mNow);
      });
    });
    return;
  }
  if (!mRunners.at(name)->mIsReachable) {
    Schedule(kOrderTimeout, unanswered);
    return;
  }
  const auto late = mLateOrders.find(name);
  const bool isLate =
    Chance(late == mLateOrders.end() ? mRates.mAppliedLate : late->second);
  const bool isLost = isLate || Chance(mRates.mAnswerLost);
  Schedule(isLate ? LateDelay() : RandomDelay(),
           [this, aOrder, term, name, boot, isLate, isLost] {
             // A runner that starts again keeps its name, and takes what is
             // sent to that name.
             if (OutcomeWithoutRunner(name)) {
               NotifyOwner(term, [&](scheduler& aOwner) {
                 aOwner.OnStart(aOrder, order_outcome::kUnknown, mNow);
               });
               return;
             }
             fake_runner& target = *mRunners.at(name);
             const bool isTaken = !isLate || target.Info().mBoot == boot;
             const order_outcome outcome = isTaken
                                             ? target.Start(aOrder, term, mNow)
                                             : order_outcome::kOtherBoot;
             if (!isLost) {
               Schedule(RandomDelay(), [this, aOrder, term, outcome] {
                 NotifyOwner(term, [&](scheduler& aOwner) {
                   aOwner.OnStart(aOrder, outcome, mNow);
                 });
               });
             }
           });
  if (isLost) {
    Schedule(kOrderTimeout, unanswered);
  }
}

void
fake_world::Deliver(const stop_order& aOrder)
{
  const std::uint64_t term = mTerm;
  fake_runner& target = *mRunners.at(aOrder.mRunner.Str());
  const bool isLost = !target.mIsReachable || Chance(mRates.mAnswerLost);
  if (target.mIsReachable) {
    Schedule(RandomDelay(), [this, aOrder, term, &target] {
      target.Stop(aOrder, term, mNow);
    });
  }
  Schedule(
    isLost ? kOrderTimeout : milliseconds(12), [this, aOrder, term, isLost] {
      NotifyOwner(term, [&](scheduler& aOwner) {
        aOwner.OnStop(aOrder,
                      isLost ? order_outcome::kUnknown : order_outcome::kDone,
                      mNow);
      });
    });
}

void
fake_world::Deliver(const throttle_order& aOrder)
{
  NotifyOwner(mTerm, [&](scheduler& aOwner) {
    aOwner.OnThrottle(aOrder, order_outcome::kDone);
  });
}

void
fake_world::Deliver(const poll_order& aOrder)
{
  const std::uint64_t term = mTerm;
  const time_point sentAt = mNow;
  fake_runner& target = *mRunners.at(aOrder.mRunner.Str());
  mPolls[aOrder.mRunner.Str()].push_back(aOrder);
  if (const auto outcome = OutcomeWithoutRunner(aOrder.mRunner.Str())) {
    Schedule(RandomDelay(), [this, aOrder, term, sentAt, outcome] {
      AnswerPoll({ aOrder, term, sentAt }, *outcome, nullptr);
    });
    return;
  }
  const auto late = mLateOrders.find(aOrder.mRunner.Str());
  const bool isLate = late != mLateOrders.end() && Chance(late->second);
  if (!target.mIsReachable || isLate || Chance(mRates.mAnswerLost)) {
    if (isLate) {
      DeliverLate(aOrder);
    } else if (target.mIsReachable) {
      Schedule(RandomDelay(), [this, aOrder, term, &target] {
        target.Poll(aOrder, term, mNow);
      });
    }
    Schedule(
      aOrder.mWait + aOrder.mAnswerTimeout, [this, aOrder, term, sentAt] {
        AnswerPoll({ aOrder, term, sentAt }, order_outcome::kUnknown, nullptr);
      });
    return;
  }
  Schedule(RandomDelay(), [this, aOrder, term, sentAt, &target] {
    AwaitReport({ aOrder, term, sentAt }, target.Info().mBoot, mNow);
  });
}

// Answers the poll, which has reached the runner at `aArrivedAt`, once a run
// has ended or the wait is over. A runner that starts again meanwhile resets
// the connection.
void
fake_world::AwaitReport(const sent_poll& aPoll,
                        std::int64_t aBoot,
                        time_point aArrivedAt)
{
  const poll_order& order = aPoll.mOrder;
  fake_runner& target = *mRunners.at(order.mRunner.Str());
  if (OutcomeWithoutRunner(order.mRunner.Str()) ||
      target.Info().mBoot != aBoot) {
    AnswerPoll(aPoll, order_outcome::kUnknown, nullptr);
    return;
  }
  if (!target.mIsReachable) {
    const time_point givenUpAt =
      aPoll.mSentAt + order.mWait + order.mAnswerTimeout;
    Schedule(
      std::chrono::duration_cast<milliseconds>(givenUpAt - mNow),
      [this, aPoll] { AnswerPoll(aPoll, order_outcome::kUnknown, nullptr); });
    return;
  }
  const auto report = target.Poll(order, aPoll.mTerm, mNow);
  if (report && report->mEnded.empty() && mNow < aArrivedAt + order.mWait) {
    Schedule(kTick, [this, aPoll, aBoot, aArrivedAt] {
      AwaitReport(aPoll, aBoot, aArrivedAt);
    });
    return;
  }
  Schedule(RandomDelay(), [this, aPoll, report] {
    AnswerPoll(aPoll,
               report ? order_outcome::kDone : order_outcome::kFenced,
               report ? &*report : nullptr);
  });
}

void
fake_world::AnswerPoll(const sent_poll& aPoll,
                       order_outcome aOutcome,
                       const poll_report* aReport)
{
  NotifyOwner(aPoll.mTerm, [&](scheduler& aOwner) {
    aOwner.OnPoll(aPoll.mOrder, aOutcome, aReport, aPoll.mSentAt, mNow, Wall());
  });
}

void
fake_world::DeliverLate(const poll_order& aOrder)
{
  fake_runner& target = *mRunners.at(aOrder.mRunner.Str());
  const std::int64_t boot = target.Info().mBoot;
  Schedule(LateDelay(), [this, aOrder, term = mTerm, boot, &target] {
    if (target.Info().mBoot == boot &&
        !OutcomeWithoutRunner(aOrder.mRunner.Str())) {
      target.Poll(aOrder, term, mNow);
    }
  });
}

void
fake_world::WriteToStore()
{
  if (mIsWriting || mNow < mStoreCutUntil) {
    return;
  }
  const std::uint64_t term = mTerm;
  std::map<std::string, std::pair<std::uint64_t, std::string>> texts;
  for (const job_name& each : mOwner->UnstoredJobs(14)) {
    const job& one = *mOwner->Find(each);
    texts[each.Str()] = { one.mVersion, EncodeRecord(one) };
  }
  const std::uint64_t rosterVersion = mOwner->RosterVersion();
  const bool hasRoster = rosterVersion != mOwner->StoredRosterVersion();
  const auto roster =
    hasRoster ? mOwner->Roster(mNow) : std::vector<roster_entry>();
  const auto runTimes = mOwner->LearnedRunTimes();
  if (texts.empty() && !hasRoster) {
    return;
  }
  mIsWriting = true;
  Schedule(RandomDelay(),
           [this, term, texts, rosterVersion, roster, runTimes, hasRoster] {
             if (term != mTerm) {
               return; // the successor's claim has fenced this write
             }
             if (hasRoster) {
               mStoredRoster = EncodeRoster(roster, runTimes);
               mRosterTerm = term;
             }
             for (const auto& [name, text] : texts) {
               mStoredJobs[name] = text.second;
               mStoredStates[name] =
                 DecodeRecord(job_name{ name }, text.second).value().mState;
               mAccepted.insert(name);
               if (StateOf(name) == job_state::kCancelled) {
                 mCancelledAt.emplace(name, mNow);
               }
             }
             Schedule(
               RandomDelay(),
               [this, term, texts, rosterVersion, roster, hasRoster] {
                 mIsWriting = mIsWriting && term != mTerm;
                 NotifyOwner(term, [&](scheduler& aOwner) {
                   std::vector<stored_job> stored;
                   stored.reserve(texts.size());
                   for (const auto& [name, text] : texts) {
                     stored.push_back({ job_name{ name }, text.first, 1 });
                   }
                   if (hasRoster) {
                     aOwner.OnRosterStored(rosterVersion, roster);
                   }
                   aOwner.OnStored(stored);
                 });
               });
           });
}

void
fake_world::Submit(const std::string& aName, const job_spec& aSpec)
{
  if (mOwner) {
    mSpecs[aName] = aSpec;
    mOwner->Submit(job_name{ aName }, aSpec, mNow, Wall());
  }
}

void
fake_world::Cancel(const std::string& aName)
{
  if (mOwner) {
    mOwner->Cancel(job_name{ aName }, mNow, Wall());
  }
}

void
fake_world::KillOwner(milliseconds aElectionDelay)
{
  if (mOwner) {
    mOwner.reset();
    ++mTerm;
    Schedule(aElectionDelay, [this] {
      if (!mOwner) {
        Elect(mNow);
      }
    });
  }
}

void
fake_world::RestartOwner(milliseconds aElectionDelay)
{
  if (mOwner) {
    mLastOwnerEndedBy = mNow;
    KillOwner(aElectionDelay);
  }
}

void
fake_world::SucceedCutOffOwner(milliseconds aAfter)
{
  const time_point electedAt = mConfirmedAt + aAfter;
  mOwner.reset();
  ++mTerm;
  mStoreCutUntil = mNow;
  Elect(electedAt);
}

void
fake_world::HandOver(milliseconds aElectionDelay)
{
  if (mOwner) {
    mOwner->SetMayStart(false);
    mStoredRoster =
      EncodeRoster(mOwner->Roster(mNow), mOwner->LearnedRunTimes());
    mRosterTerm = mTerm;
    KillOwner(aElectionDelay);
  }
}

void
fake_world::CutOwnerFromStore(milliseconds aFor)
{
  mStoreCutUntil = mNow + aFor;
}

void
fake_world::FreezeDiscovery(milliseconds aFor)
{
  mDiscoveryFrozenUntil = mNow + aFor;
}

const std::vector<poll_order>&
fake_world::PollsOf(const std::string& aRunner) const
{
  return mPolls.at(aRunner);
}

void
fake_world::SetReachable(const std::string& aRunner, bool aIsReachable)
{
  mRunners.at(aRunner)->mIsReachable = aIsReachable;
}

void
fake_world::SetLateOrders(const std::string& aRunner, double aProbability)
{
  mLateOrders[aRunner] = aProbability;
}

void
fake_world::Crash(const std::string& aRunner)
{
  mRunners.at(aRunner)->Crash(mNow);
}

void
fake_world::CrashFor(const std::string& aRunner, milliseconds aFor)
{
  if (!mDown.insert(aRunner).second) {
    return;
  }
  mRunners.at(aRunner)->Crash(mNow);
  Schedule(aFor, [this, aRunner] { Return(aRunner); });
}

void
fake_world::Return(const std::string& aRunner)
{
  mDown.erase(aRunner);
  if (!mAreReturningRenamed) {
    return;
  }
  const runner_info info = mRunners.at(aRunner)->Info();
  mReplaced.insert(aRunner);
  AddRunner(
    aRunner + "'", info.mService.Str(), info.mCapacity, info.mRack.Str());
  Schedule(kEntryLifetime, [this, aRunner] { Unlist(aRunner); });
}

std::optional<order_outcome>
fake_world::OutcomeWithoutRunner(const std::string& aRunner) const
{
  if (mDown.count(aRunner) > 0) {
    return order_outcome::kNotExecuted;
  }
  if (mReplaced.count(aRunner) > 0) {
    return order_outcome::kOtherBoot;
  }
  return std::nullopt;
}

void
fake_world::SetCrashesRunners(const std::string& aTask, milliseconds aAfter)
{
  mCrashingTasks[aTask] = aAfter;
}

void
fake_world::SetFails(const std::string& aJob, milliseconds aAfter)
{
  mFailingJobs[aJob] = aAfter;
}

void
fake_world::SetFaulty(const std::string& aRunner, double aProbability)
{
  mFaultyRunners[aRunner] = aProbability;
  mFailsAfter.erase(aRunner);
}

void
fake_world::SetFaulty(const std::string& aRunner,
                      double aProbability,
                      milliseconds aAfter)
{
  mFaultyRunners[aRunner] = aProbability;
  mFailsAfter[aRunner] = aAfter;
}

double
fake_world::FailureRateOn(const std::string& aRunner) const
{
  const auto faulty = mFaultyRunners.find(aRunner);
  return std::max(mRates.mTaskFails,
                  faulty == mFaultyRunners.end() ? 0 : faulty->second);
}

void
fake_world::Unlist(const std::string& aRunner)
{
  mUnlisted.insert(aRunner);
}

void
fake_world::Relist(const std::string& aRunner)
{
  mUnlisted.erase(aRunner);
}

void
fake_world::SetCatalog(const catalog& aCatalog)
{
  mCatalog = aCatalog;
  if (mOwner) {
    mOwner->SetCatalog(mCatalog);
  }
}

void
fake_world::RunFor(milliseconds aTime)
{
  const time_point end = mNow + aTime;
  while (!mEvents.empty() && mEvents.top().mAt <= end) {
    const event next = mEvents.top();
    mEvents.pop();
    mNow = next.mAt;
    next.mAction();
  }
  mNow = end;
}

fake_runner&
fake_world::Runner(const std::string& aName)
{
  return *mRunners.at(aName);
}

std::vector<std::string>
fake_world::RunnerNames() const
{
  std::vector<std::string> names;
  for (const auto& [name, each] : mRunners) {
    names.push_back(name);
  }
  return names;
}

job_state
fake_world::StateOf(const std::string& aJob) const
{
  return mStoredStates.at(aJob);
}

bool
fake_world::IsAccepted(const std::string& aJob) const
{
  return mAccepted.count(aJob) > 0;
}

std::size_t
fake_world::StartsOn(const std::string& aRunner) const
{
  const auto found = mStartsOnRunner.find(aRunner);
  return found == mStartsOnRunner.end() ? 0 : found->second;
}

std::size_t
fake_world::StartsOf(const std::string& aTask) const
{
  const auto found = mTasks.find(aTask);
  return found == mTasks.end() ? 0 : found->second.mStarts;
}

std::vector<std::string>
fake_world::UnfinishedJobs() const
{
  std::vector<std::string> names;
  for (const std::string& each : mAccepted) {
    if (!IsFinal(StateOf(each)) && !mSpecs.at(each).HasLongRunningStep()) {
      names.push_back(each);
    }
  }
  return names;
}

void
fake_world::AddViolation(const std::string& aDescription)
{
  mViolations.push_back(
    "at " +
    std::to_string(std::chrono::duration_cast<milliseconds>(
                     mNow.time_since_epoch() - std::chrono::hours(1))
                     .count()) +
    " ms: " + aDescription);
}

void
fake_world::CheckDependencies(const task_id& aTask)
{
  const job_spec& spec = mSpecs.at(aTask.mJob.Str());
  for (const std::size_t before : spec.mSteps[aTask.mStep].mAfter) {
    for (std::size_t i = 0; i < spec.mSteps[before].mTaskCount; ++i) {
      const task_id needed{ aTask.mJob, aTask.mOccurrence, before, i };
      if (!mTasks[needed.Text()].mIsDone) {
        AddViolation(aTask.Text() + " started before its dependency " +
                     needed.Text());
      }
    }
  }
}

void
fake_world::BeginCalm()
{
  mRates = fault_rates{};
  mLateOrders.clear();
  for (auto& [name, each] : mRunners) {
    each->mIsReachable = true;
  }
  mCalmSince = std::max({ mNow, mStoreCutUntil, mDiscoveryFrozenUntil });
}

std::vector<const fake_runner*>
fake_world::PoolOf(const service_name& aService) const
{
  std::vector<const fake_runner*> pool;
  for (const auto& [name, each] : mRunners) {
    if (each->Info().mService == aService && !each->Info().mDraining &&
        mDown.count(name) + mReplaced.count(name) + mUnlisted.count(name) ==
          0) {
      pool.push_back(each.get());
    }
  }
  return pool;
}

bool
fake_world::IsHalfUsed(const service_name& aService) const
{
  std::int64_t used = 0;
  std::int64_t capacity = 0;
  for (const fake_runner* const each : PoolOf(aService)) {
    capacity += each->Info().mCapacity.mCpu;
    for (const auto& [task, run] : each->Runs()) {
      used += run.mResources.mCpu;
    }
  }
  return 2 * used >= capacity;
}

bool
fake_world::HasRoomTwice(const task_id& aTask) const
{
  const job_spec& spec = mSpecs.at(aTask.mJob.Str());
  const step_spec& step = spec.mSteps[aTask.mStep];
  const std::string prefix = aTask.mJob.Str() + "." +
                             std::to_string(aTask.mOccurrence) + "." +
                             std::to_string(aTask.mStep) + ".";
  int places = 0;
  for (const fake_runner* const each :
       PoolOf(mCatalog.FindQueue(spec.mQueue)->mService)) {
    resources needed = step.Reservation();
    std::size_t siblings = 0;
    for (const auto& [task, run] : each->Runs()) {
      needed += run.mResources;
      siblings += task.compare(0, prefix.size(), prefix) == 0 ? 1 : 0;
    }
    while (needed.FitsIn(each->Info().mCapacity) &&
           (step.mMaxPerRunner == 0 || siblings < step.mMaxPerRunner)) {
      ++places;
      ++siblings;
      needed += step.Reservation();
    }
  }
  return places >= 2;
}

bool
fake_world::IsRunning(const std::string& aJob) const
{
  const std::string prefix = aJob + ".";
  const auto first = mTasks.lower_bound(prefix);
  return std::any_of(first, mTasks.end(), [&prefix](const auto& aEntry) {
    return aEntry.first.compare(0, prefix.size(), prefix) == 0 &&
           !aEntry.second.mRunningOn.empty();
  });
}

// Returns whether the task is ready to run, has room and does not run.
bool
fake_world::IsWaiting(const task_id& aTask)
{
  const job_spec& spec = mSpecs.at(aTask.mJob.Str());
  const step_spec& step = spec.mSteps[aTask.mStep];
  const task_history& history = mTasks[aTask.Text()];
  if (history.mIsDone || !history.mRunningOn.empty()) {
    return false;
  }
  if (spec.mRepetitions > 0 && Wall() < spec.DueAt(aTask.mOccurrence)) {
    return false;
  }
  for (const std::size_t before : step.mAfter) {
    for (std::size_t i = 0; i < spec.mSteps[before].mTaskCount; ++i) {
      const task_id needed{ aTask.mJob, aTask.mOccurrence, before, i };
      if (!mTasks[needed.Text()].mIsDone) {
        return false;
      }
    }
  }
  const bool mayWait =
    step.mLongRunning ? mNow - history.mEndedAt < kMaxRestart
                      : IsRunning(aTask.mJob.Str()) ||
                          IsHalfUsed(mCatalog.FindQueue(spec.mQueue)->mService);
  return !mayWait && HasRoomTwice(aTask);
}

void
fake_world::CheckWait(const task_id& aTask)
{
  if (!IsWaiting(aTask)) {
    mWaitingSince.erase(aTask.Text());
    return;
  }
  const time_point since =
    mWaitingSince.emplace(aTask.Text(), mNow).first->second;
  if (mNow - since > kMaxWait) {
    mWaitingSince[aTask.Text()] = mNow;
    AddViolation(aTask.Text() + " could run and does not");
  }
}

void
fake_world::CheckWaits()
{
  for (const std::string& each : mAccepted) {
    if (IsFinal(StateOf(each))) {
      continue;
    }
    const job_spec& spec = mSpecs.at(each);
    for (std::size_t k = 0; k < spec.Occurrences(); ++k) {
      for (std::size_t s = 0; s < spec.mSteps.size(); ++s) {
        for (std::size_t i = 0; i < spec.mSteps[s].mTaskCount; ++i) {
          CheckWait({ job_name{ each }, k, s, i });
        }
      }
    }
  }
}

void
fake_world::OnBegin(const std::string& aRunner,
                    const std::string& aTask,
                    std::uint32_t aRun)
{
  const task_id id = *ParseTaskId(aTask);
  task_history& history = mTasks[aTask];
  ++history.mStarts;
  ++mStartsOnRunner[aRunner];
  if (!history.mRunningOn.empty()) {
    AddViolation(aTask + " run " + std::to_string(aRun) + " on " + aRunner +
                 " started while another run was live on " +
                 *history.mRunningOn.begin());
  }
  if (history.mIsAcknowledgedDone) {
    AddViolation(aTask +
                 " started again after its completion was acknowledged");
  }
  if (history.mAcknowledgedFailures >= kMaxAttempts) {
    AddViolation(aTask +
                 " started again after the last permitted attempt failed");
  }
  const auto cancelled = mCancelledAt.find(id.mJob.Str());
  if (cancelled != mCancelledAt.end() &&
      mNow - cancelled->second > kMaxStartAfterCancel) {
    AddViolation(aTask + " started too long after its job was cancelled");
  }
  if (!IsAccepted(id.mJob.Str())) {
    AddViolation(aTask + " started before its job was accepted");
  }
  CheckDependencies(id);
  const auto crashing = mCrashingTasks.find(aTask);
  if (crashing != mCrashingTasks.end()) {
    Schedule(crashing->second, [this, aRunner, aTask] {
      if (mRunners.at(aRunner)->Runs().count(aTask) > 0) {
        CrashFor(aRunner, kCrashDownTime);
      }
    });
  }
  history.mRunningOn.insert(aRunner);
  resources used;
  for (const auto& [task, each] : mRunners.at(aRunner)->Runs()) {
    used += each.mResources;
  }
  if (!used.FitsIn(mRunners.at(aRunner)->Info().mCapacity)) {
    AddViolation(aRunner + " runs more tasks than its capacity allows");
  }
}

void
fake_world::OnEnd(const std::string& aRunner,
                  const std::string& aTask,
                  run_end aEnd)
{
  task_history& history = mTasks[aTask];
  history.mRunningOn.erase(aRunner);
  history.mEndedAt = mNow;
  history.mIsDone = history.mIsDone || aEnd == run_end::kDone;
}

// Counts only acknowledged ends: an end that was not acknowledged may be lost
// with its runner, and the task then starts again. The same goes for an end
// that is acknowledged after the runner's lease has expired, when the order for
// the next run may be under way.
void
fake_world::OnAcknowledged(const std::string& aTask,
                           run_end aEnd,
                           bool aHasLeaseExpired)
{
  task_history& history = mTasks[aTask];
  history.mIsAcknowledgedDone = history.mIsAcknowledgedDone ||
                                (aEnd == run_end::kDone && !aHasLeaseExpired);
  history.mAcknowledgedFailures += aEnd == run_end::kFailed ? 1 : 0;
}

} // namespace mangospan::jobs::testing
