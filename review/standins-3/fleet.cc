#include "platform.h"

#include <algorithm>

namespace standins {

namespace {

constexpr milliseconds kTick{ 5 };
constexpr milliseconds kGangTimeout{ 3'000 };
constexpr milliseconds kStartup{ 300 }; // of a work unit that lasts
constexpr milliseconds kMove{ 1'500 };
constexpr milliseconds kUpkeep{ 2'000 };
constexpr milliseconds kEntryExpiry{ 4'500 };
constexpr milliseconds kCancelBound{ 3'000 };
constexpr milliseconds kStopBound{ 400 };
constexpr milliseconds kContact{ 3'000 };
constexpr std::int64_t kMaxLease = 10'000;
constexpr std::int64_t kEarly = 250;

std::int64_t
UnixMilliseconds()
{
  return std::chrono::duration_cast<milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace

task_name
ParseTask(const std::string& aText)
{
  const auto c = aText.rfind('.');
  const auto b = aText.rfind('.', c - 1);
  const auto a = aText.rfind('.', b - 1);
  return { aText.substr(0, a),
           std::stoi(aText.substr(a + 1, b - a - 1)),
           std::stoi(aText.substr(b + 1, c - b - 1)),
           std::stoi(aText.substr(c + 1)) };
}

std::string
TaskText(const task_name& aTask)
{
  return aTask.mJob + "." + std::to_string(aTask.mOccurrence) + "." +
         std::to_string(aTask.mStep) + "." + std::to_string(aTask.mIndex);
}

json
job_truth::Body() const
{
  json steps = json::array();
  for (const step_truth& each : mSteps) {
    json one{ { "count", each.mCount },
              { "cpu", each.mCpu },
              { "task-memory-mb", each.mMemory },
              { "estimated-ms", each.mMilliseconds } };
    if (!each.mAfter.empty()) {
      one["after"] = each.mAfter;
    }
    if (each.mIsGang) {
      one["gang"] = true;
    }
    if (each.mLasts) {
      one["long-running"] = true;
    }
    if (!each.mLabel.empty()) {
      one["requirements"] = each.mLabel;
    }
    if (each.mAntiAffinity > 0) {
      one["anti-affinity"] = each.mAntiAffinity;
    }
    if (each.mMaxUnavailable > 0) {
      one["max-unavailable"] = each.mMaxUnavailable;
    }
    steps.push_back(std::move(one));
  }
  json out{ { "specification", mSpecification }, { "steps", steps } };
  if (mRepetitions > 0) {
    out["repetitions"] = mRepetitions;
    out["start-at-ms"] = mStartAt;
    out["interval-ms"] = mInterval;
  }
  return out;
}

runner::runner(fleet& aFleet,
               std::string aId,
               std::string aMachine,
               std::string aService,
               std::string aZone,
               std::vector<std::string> aLabels,
               std::int64_t aCpu)
  : mId(std::move(aId))
  , mMachine(std::move(aMachine))
  , mService(std::move(aService))
  , mZone(std::move(aZone))
  , mLabels(std::move(aLabels))
  , mCpu(aCpu)
  , mFleet(aFleet)
{
  mServer = std::make_unique<server>(
    [this](const request& aRequest) { return Answer(aRequest); });
}

std::int64_t
runner::Clock() const
{
  const auto real =
    std::chrono::duration_cast<milliseconds>(Now() - mBootAt).count();
  return static_cast<std::int64_t>(static_cast<double>(real) * mClockRate);
}

std::string
runner::Entry() const
{
  return json{
    { "service", mService },
    { "address", mServer->Address() },
    { "zone", mZone },
    { "machine", mMachine },
    { "version", "1" },
    { "slots", 8 },
    { "state", mState },
    { "cold-remaining-ms", 0 },
    { "sequence", 1 },
    { "born", mBorn },
    { "labels", mLabels },
    { "capacity",
      { { "cpu", mCpu }, { "task-memory-mb", mMemory }, { "gpus", 0 } } }
  }.dump();
}

reply
runner::Refuse(const char* aReason) const
{
  return { 409, json{ { "clock-ms", Clock() }, { "reason", aReason } }.dump() };
}

reply
runner::Answer(const request& aRequest)
{
  const json body = json::parse(aRequest.mBody);
  std::unique_lock lock(mFleet.mMutex);
  const auto expected = aRequest.mHeaders.find("x-expected-instance");
  if (!mIsUp) {
    return { 0, "", true };
  }
  if (expected != aRequest.mHeaders.end() && expected->second != mId) {
    return { 421, json{ { "clock-ms", Clock() } }.dump() };
  }
  const auto late = mLate ? mLate(aRequest.mPath, body) : std::nullopt;
  if (late) {
    mFleet.mRecord.Add("unanswered " + mId + " " + aRequest.mPath + " " +
                       aRequest.mBody);
    if (late->count() > 0) {
      std::thread(
        [&fleet = mFleet, id = mId, path = aRequest.mPath, body, wait = *late] {
          std::this_thread::sleep_for(wait);
          const std::lock_guard again(fleet.mMutex);
          const auto found = fleet.mRunners.find(id);
          if (found != fleet.mRunners.end() && found->second->mIsUp) {
            const reply made = found->second->Execute(path, body);
            fleet.mRecord.Add("late " + id + " " + path + " " + body.dump() +
                              " -> " + std::to_string(made.mStatus) + " " +
                              made.mBody);
          }
        })
        .detach();
    }
    return { 0, "", true };
  }
  reply made = aRequest.mPath == "/hold" ? Hold(body, lock)
                                         : Execute(aRequest.mPath, body);
  if (aRequest.mPath != "/hold" && aRequest.mPath != "/pace") {
    mFleet.mRecord.Add("order " + mId + " " + aRequest.mPath + " " +
                       body.at("task").get<std::string>() + " run " +
                       body.at("run").dump() + " token " +
                       body.at("fencing-token").dump() + " -> " +
                       std::to_string(made.mStatus) + " " + made.mBody);
  }
  if (mLosesAnswer && mLosesAnswer(aRequest.mPath)) {
    made.mIsSilent = true;
  }
  return made;
}

reply
runner::Execute(const std::string& aPath, const json& aBody)
{
  Advance();
  const auto token = aBody.value("fencing-token", std::uint64_t{ 0 });
  if (token < mFence) {
    return Refuse("fence");
  }
  mFence = token;
  if (aPath == "/run-start") {
    return Start(aBody);
  }
  if (aPath == "/run-stop") {
    return Stop(aBody);
  }
  if (aPath == "/hold") { // carried out late: nobody reads the lists
    const auto seen = aBody.at("last-seen").get<std::uint64_t>();
    while (!mEnded.empty() && mEnded.front().mNumber <= seen) {
      mFleet.OnNoted(mEnded.front());
      mEnded.erase(mEnded.begin());
    }
    if (aBody.contains("deadline-ms")) {
      mLeaseUntil =
        std::max(mLeaseUntil,
                 std::min(aBody.at("deadline-ms").get<std::int64_t>(),
                          Clock() + kMaxLease));
    }
  }
  return { 200, json{ { "clock-ms", Clock() } }.dump() };
}

reply
runner::Start(const json& aBody)
{
  const auto task = aBody.at("task").get<std::string>();
  const auto number = aBody.at("run").get<std::uint32_t>();
  const auto deadline = aBody.at("deadline-ms").get<std::int64_t>();
  if (deadline < Clock()) {
    return Refuse("late");
  }
  mLeaseUntil = std::max(mLeaseUntil, std::min(deadline, Clock() + kMaxLease));
  const auto live = mRuns.find(task);
  if (live != mRuns.end()) {
    return live->second.mNumber == number
             ? reply{ 200, json{ { "clock-ms", Clock() } }.dump() }
             : Refuse("old");
  }
  const auto highest = mHighest.find(task);
  if (highest != mHighest.end() && number <= highest->second) {
    return Refuse("old");
  }
  mFleet.OnStart(*this, aBody);
  mRuns[task] = { task, number, Now(), false };
  return { 200, json{ { "clock-ms", Clock() } }.dump() };
}

reply
runner::Stop(const json& aBody)
{
  const auto task = aBody.at("task").get<std::string>();
  const auto number = aBody.at("run").get<std::uint32_t>();
  mHighest[task] = std::max(mHighest[task], number);
  const auto live = mRuns.find(task);
  if (live != mRuns.end() && live->second.mNumber == number) {
    End(task, "stopped");
  }
  return { 200, json{ { "clock-ms", Clock() } }.dump() };
}

reply
runner::Hold(const json& aBody, std::unique_lock<std::mutex>& aLock)
{
  const auto token = aBody.value("fencing-token", std::uint64_t{ 0 });
  const auto seen = aBody.at("last-seen").get<std::uint64_t>();
  const time_point until =
    Now() + milliseconds(std::min<std::int64_t>(
              2'000, aBody.value("wait-ms", std::int64_t{ 0 })));
  const std::int64_t born = mBorn;
  reply first = Execute("/hold", aBody);
  if (first.mStatus != 200) {
    return first;
  }
  while (mEnded.empty() && Now() < until && mBorn == born && mIsUp) {
    mFleet.mChanged.wait_until(aLock, until);
  }
  if (mBorn != born || !mIsUp) {
    return { 0, "", true };
  }
  if (token < mFence) {
    return Refuse("fence");
  }
  json running = json::array();
  for (const auto& [task, each] : mRuns) {
    const auto age =
      std::chrono::duration_cast<milliseconds>(Now() - each.mStartedAt);
    running.push_back({ task,
                        each.mNumber,
                        "",
                        age >= kStartup ? 100 : age.count() * 100 / 300,
                        0 });
  }
  json ended = json::array();
  for (const ended_run& each : mEnded) {
    if (ended.size() < 500 && each.mNumber > seen) {
      ended.push_back({ each.mNumber, each.mTask, each.mRun, each.mHow, "" });
    }
  }
  return { 200,
           json{ { "clock-ms", Clock() },
                 { "born", mBorn },
                 { "running", running },
                 { "ended", ended } }
             .dump() };
}

void
runner::End(const std::string& aTask, const std::string& aHow)
{
  const run ended = mRuns.at(aTask);
  mRuns.erase(aTask);
  mHighest[aTask] = std::max(mHighest[aTask], ended.mNumber);
  mEnded.push_back({ ++mEndCount, aTask, ended.mNumber, aHow, false });
  mFleet.OnEnd(*this, ended, aHow);
  mFleet.mChanged.notify_all();
}

void
runner::Advance()
{
  if (!mIsUp) {
    return;
  }
  const bool hasLapsed = Clock() >= mLeaseUntil;
  if (hasLapsed) {
    for (ended_run& each : mEnded) {
      each.mHasLapsed = true;
    }
  }
  std::vector<std::pair<std::string, std::string>> ends;
  for (const auto& [task, each] : mRuns) {
    const job_truth* const known = mFleet.Job(ParseTask(task).mJob);
    const step_truth* const step =
      known == nullptr
        ? nullptr
        : &known->mSteps.at(static_cast<std::size_t>(ParseTask(task).mStep));
    if (hasLapsed) {
      ends.emplace_back(task, "lapsed");
    } else if (step != nullptr && !step->mLasts && !step->mIsGang &&
               Now() >= each.mStartedAt + milliseconds(step->mMilliseconds)) {
      const bool fails = std::uniform_real_distribution<double>(0, 1)(
                           mFleet.mRandom) < step->mFails;
      ends.emplace_back(task, fails ? "failed" : "done");
    }
  }
  for (const auto& [task, how] : ends) {
    End(task, how);
  }
}

fleet::fleet(store& aStore, record& aRecord)
  : mRecord(aRecord)
  , mStore(aStore)
{
  mServer = std::make_unique<server>(
    [this](const request& aRequest) { return AnswerMachines(aRequest); });
}

fleet::~fleet()
{
  {
    const std::lock_guard lock(mMutex);
    mIsOver = true;
    mChanged.notify_all();
  }
  if (mTicker.joinable()) {
    mTicker.join();
  }
}

void
fleet::StartMachines()
{
  mServer->Start();
  mTicker = std::thread([this] { Tick(); });
}

std::string
fleet::Address() const
{
  return mServer->Address();
}

void
fleet::AddMachine(const std::string& aName,
                  const std::string& aPool,
                  const std::string& aZone,
                  const std::vector<std::string>& aLabels,
                  std::int64_t aCpu)
{
  const std::lock_guard lock(mMutex);
  machine& made = mMachines[aName];
  made.mName = aName;
  made.mPool = aPool;
  made.mZone = aZone;
  made.mLabels = aLabels;
  made.mCpu = aCpu;
  StartRunner(made);
}

void
fleet::StartRunner(machine& aMachine)
{
  aMachine.mRunner = "w" + std::to_string(++mNextRunner) + "-" + aMachine.mName;
  auto made = std::make_unique<runner>(*this,
                                       aMachine.mRunner,
                                       aMachine.mName,
                                       aMachine.mPool,
                                       aMachine.mZone,
                                       aMachine.mLabels,
                                       aMachine.mCpu);
  made->mBorn = UnixMilliseconds();
  made->mBootAt = Now();
  made->mIsUp = true;
  made->mServer->Start();
  mStore.Put("servers/" + made->mId, made->Entry());
  mRecord.Add("runner " + made->mId + " up in " + aMachine.mPool);
  mRunners[aMachine.mRunner] = std::move(made);
}

void
fleet::EndRunner(machine& aMachine, const char* aWhy)
{
  const auto found = mRunners.find(aMachine.mRunner);
  if (found == mRunners.end()) {
    return;
  }
  runner& ended = *found->second;
  mRecord.Add("runner " + ended.mId + " ends: " + aWhy + ", " +
              std::to_string(ended.mRuns.size()) + " running");
  ended.mIsUp = false;
  for (const auto& [task, each] : ended.mRuns) {
    OnEnd(ended, each, "gone");
  }
  ended.mRuns.clear();
  ended.mEnded.clear();
  ended.mHighest.clear();
  ended.mEndCount = 0;
  ended.mServer->Stop();
  mChanged.notify_all();
}

void
fleet::Crash(const std::string& aMachine, std::optional<milliseconds> aDown)
{
  const std::lock_guard lock(mMutex);
  machine& crashed = mMachines.at(aMachine);
  if (crashed.mState != "up") {
    return;
  }
  EndRunner(crashed, "crash");
  crashed.mState = "down";
  std::thread([this, id = crashed.mRunner, aDown] {
    const auto entryEnd = aDown ? std::min(*aDown, kEntryExpiry) : kEntryExpiry;
    std::this_thread::sleep_for(entryEnd);
    if (!aDown || *aDown > kEntryExpiry) {
      mStore.Remove("servers/" + id);
    }
    if (!aDown) {
      return;
    }
    std::this_thread::sleep_for(*aDown - entryEnd);
    const std::lock_guard again(mMutex);
    if (mIsOver) {
      return;
    }
    Reboot(*mRunners.at(id));
    mStore.Put("servers/" + id, mRunners.at(id)->Entry());
  }).detach();
}

void
fleet::Reboot(runner& aRunner)
{
  aRunner.mBorn = UnixMilliseconds();
  aRunner.mBootAt = Now();
  aRunner.mFence = 0;
  aRunner.mLeaseUntil = 0;
  aRunner.mIsUp = true;
  aRunner.mServer->Start();
  mMachines.at(aRunner.mMachine).mState = "up";
  mRecord.Add("runner " + aRunner.mId + " is back, born " +
              std::to_string(aRunner.mBorn) + ", kind " + aRunner.mLabels[0]);
}

void
fleet::CrashBehindCut(const std::string& aMachine,
                      milliseconds aDown,
                      milliseconds aCut,
                      const std::vector<std::string>& aLabels)
{
  std::string id;
  {
    const std::lock_guard lock(mMutex);
    machine& crashed = mMachines.at(aMachine);
    id = crashed.mRunner;
    mRecord.Add("runner " + id + " is cut off from the store");
    EndRunner(crashed, "crash");
    crashed.mState = "down";
  }
  std::this_thread::sleep_for(aDown);
  {
    const std::lock_guard lock(mMutex);
    mRunners.at(id)->mLabels = aLabels;
    mMachines.at(aMachine).mLabels = aLabels;
    Reboot(*mRunners.at(id));
  }
  std::this_thread::sleep_for(aCut - aDown);
  const std::lock_guard lock(mMutex);
  mStore.Put("servers/" + id, mRunners.at(id)->Entry());
  mRecord.Add("runner " + id + " reaches the store again");
}

void
fleet::SetCut(const std::string& aMachine, bool aIsCut)
{
  const std::lock_guard lock(mMutex);
  const auto found = mRunners.find(mMachines.at(aMachine).mRunner);
  if (found == mRunners.end()) {
    return;
  }
  mRecord.Add(std::string(aIsCut ? "cut " : "healed ") + found->first);
  if (aIsCut) {
    found->second->mLate = [](const std::string&, const json&) {
      return std::make_optional(milliseconds(0));
    };
  } else {
    found->second->mLate = nullptr;
  }
}

runner*
fleet::RunnerOf(const std::string& aMachine)
{
  const auto found = mRunners.find(mMachines.at(aMachine).mRunner);
  return found == mRunners.end() ? nullptr : found->second.get();
}

void
fleet::AddJob(const job_truth& aJob)
{
  const std::lock_guard lock(mMutex);
  mJobs[aJob.mId] = aJob;
}

job_truth*
fleet::Job(const std::string& aId)
{
  const auto found = mJobs.find(aId);
  if (found != mJobs.end()) {
    return &found->second;
  }
  const bool isOfCrowd = !mCrowdPrefix.empty() &&
                         aId.compare(0, mCrowdPrefix.size(), mCrowdPrefix) == 0;
  return isOfCrowd ? &mCrowd : nullptr;
}

void
fleet::SetCrowd(const job_truth& aJob, const std::string& aPrefix)
{
  const std::lock_guard lock(mMutex);
  mCrowd = aJob;
  mCrowdPrefix = aPrefix;
}

int
fleet::StartsOf(const std::string& aTask)
{
  const std::lock_guard lock(mMutex);
  return mUnits[aTask].mStarts;
}

void
fleet::OnWave(int aNumber, const std::vector<std::string>& aMachines, int aCap)
{
  const std::lock_guard lock(mMutex);
  mWaves[aNumber] = { { aMachines.begin(), aMachines.end() }, aCap };
}

void
fleet::CheckStart(runner& aRunner, const json& aBody)
{
  const auto text = aBody.at("task").get<std::string>();
  const task_name name = ParseTask(text);
  const job_truth* const job = Job(name.mJob);
  const std::string where = text + " on " + aRunner.mId;
  if (job == nullptr ||
      job->mSpecification != aBody.at("specification").get<std::string>()) {
    mRecord.Break("UNASKED " + where);
    return;
  }
  if (job->mIsRejected && !job->mIsAccepted) {
    mRecord.Break("REFUSED " + where);
  }
  if (job->mCancelledAt && Now() > *job->mCancelledAt + kCancelBound) {
    mRecord.Break("UNASKED after the cancel " + where);
  }
  work_unit& unit = mUnits[text];
  for (const auto& [other, number] : unit.mLiveOn) {
    mRecord.Break(Join({ "TWICE at once",
                         where,
                         "and on",
                         other,
                         "run",
                         std::to_string(number) }));
  }
  if (unit.mIsDoneNoted) {
    mRecord.Break("TWICE after its noted end " + where);
  }
  const step_truth& step = job->mSteps.at(static_cast<std::size_t>(name.mStep));
  if (!step.mLasts && unit.mFailedNoted >= job->mMaxAttempts) {
    mRecord.Break("BUDGET " + where);
  }
  for (const int before : step.mAfter) {
    const int count = job->mSteps.at(static_cast<std::size_t>(before)).mCount;
    for (int i = 0; i < count; ++i) {
      if (!mUnits[TaskText({ name.mJob, name.mOccurrence, before, i })]
             .mIsDone) {
        mRecord.Break("ORDER " + where);
      }
    }
  }
  if (job->mRepetitions > 0 &&
      UnixMilliseconds() <
        job->mStartAt + name.mOccurrence * job->mInterval - kEarly) {
    mRecord.Break("ORDER early " + where);
  }
  if (aRunner.mService != job->mService ||
      (!step.mLabel.empty() && std::count(aRunner.mLabels.begin(),
                                          aRunner.mLabels.end(),
                                          step.mLabel) == 0)) {
    mRecord.Break("ROUTE " + where);
  }
  std::int64_t cpu = step.mCpu;
  int siblings = 1;
  for (const auto& [task, each] : aRunner.mRuns) {
    const task_name other = ParseTask(task);
    cpu +=
      Job(other.mJob)->mSteps.at(static_cast<std::size_t>(other.mStep)).mCpu;
    siblings += other.mJob == name.mJob && other.mStep == name.mStep &&
                    other.mOccurrence == name.mOccurrence
                  ? 1
                  : 0;
  }
  if (cpu > aRunner.mCpu) {
    mRecord.Break("LIMIT " + where);
  }
  if (step.mAntiAffinity > 0 && siblings > step.mAntiAffinity) {
    mRecord.Break("ROUTE beyond anti-affinity " + where);
  }
}

void
fleet::OnStart(runner& aRunner, const json& aBody)
{
  CheckStart(aRunner, aBody);
  const auto text = aBody.at("task").get<std::string>();
  const auto number = aBody.at("run").get<std::uint32_t>();
  mRecord.Add("run " + text + " #" + std::to_string(number) + " begins on " +
              aRunner.mId);
  work_unit& unit = mUnits[text];
  unit.mLiveOn[aRunner.mId] = number;
  ++unit.mStarts;
  const auto dot = text.rfind('.');
  mGangStarts[{ text.substr(0, dot), std::stoi(text.substr(dot + 1)) }] =
    number;
}

void
fleet::OnEnd(runner& aRunner, const run& aRun, const std::string& aHow)
{
  mRecord.Add("run " + aRun.mTask + " #" + std::to_string(aRun.mNumber) +
              " ends on " + aRunner.mId + ": " + aHow);
  work_unit& unit = mUnits[aRun.mTask];
  unit.mLiveOn.erase(aRunner.mId);
  if (aHow == "done") {
    unit.mIsDone = true;
  } else if (aHow == "failed") {
    ++unit.mFailed;
  }
}

void
fleet::OnNoted(const ended_run& aEnd)
{
  work_unit& unit = mUnits[aEnd.mTask];
  if (aEnd.mHow == "done" && !aEnd.mHasLapsed) {
    unit.mIsDoneNoted = true;
  } else if (aEnd.mHow == "failed" && !aEnd.mHasLapsed) {
    ++unit.mFailedNoted;
  }
}

// The members of a gang end together once all have been present for long
// enough, `broken` if one has ended otherwise, `alone` if one has not come.
void
fleet::CheckGangs()
{
  struct gang
  {
    std::vector<std::pair<runner*, run*>> mMembers;
    time_point mFirst = time_point::max();
    time_point mLast = time_point::min();
  };
  std::map<std::pair<std::string, std::uint32_t>, gang> gangs;
  for (auto& [id, each] : mRunners) {
    for (auto& [task, one] : each->mRuns) {
      const task_name name = ParseTask(task);
      const job_truth* const job = Job(name.mJob);
      if (job == nullptr ||
          !job->mSteps.at(static_cast<std::size_t>(name.mStep)).mIsGang) {
        continue;
      }
      gang& found = gangs[{ task.substr(0, task.rfind('.')), one.mNumber }];
      found.mMembers.emplace_back(each.get(), &one);
      found.mFirst = std::min(found.mFirst, one.mStartedAt);
      found.mLast = std::max(found.mLast, one.mStartedAt);
    }
  }
  for (auto& [key, each] : gangs) {
    const task_name name = ParseTask(each.mMembers.front().second->mTask);
    const step_truth& step =
      Job(name.mJob)->mSteps.at(static_cast<std::size_t>(name.mStep));
    const bool isWhole =
      each.mMembers.size() == static_cast<std::size_t>(step.mCount);
    bool wasWhole = false;
    for (int i = 0; i < step.mCount; ++i) {
      const auto& unit =
        mUnits[TaskText({ name.mJob, name.mOccurrence, name.mStep, i })];
      const bool isHere = std::any_of(
        each.mMembers.begin(), each.mMembers.end(), [&](const auto& aOne) {
          return ParseTask(aOne.second->mTask).mIndex == i;
        });
      // Another member of this run has begun and is not here any more.
      wasWhole = wasWhole || (!isHere && unit.mStarts > 0 &&
                              mGangStarts[{ key.first, i }] == key.second);
    }
    const char* how = nullptr;
    if (isWhole && Now() >= each.mLast + milliseconds(step.mMilliseconds)) {
      how = "done";
    } else if (!isWhole && wasWhole) {
      how = "broken";
    } else if (!isWhole && Now() >= each.mFirst + kGangTimeout) {
      how = "alone";
    }
    if (how != nullptr) {
      for (const auto& [on, one] : each.mMembers) {
        on->End(std::string(one->mTask), how);
      }
    }
  }
}

void
fleet::Tick()
{
  while (true) {
    std::this_thread::sleep_for(kTick);
    const std::lock_guard lock(mMutex);
    if (mIsOver) {
      return;
    }
    for (auto& [id, each] : mRunners) {
      each->Advance();
    }
    CheckGangs();
    for (auto& [id, each] : mRunners) {
      for (auto& [task, one] : each->mRuns) {
        const job_truth* const job = Job(ParseTask(task).mJob);
        if (job == nullptr || !job->mCancelledAt || one.mStopping) {
          continue;
        }
        const time_point from =
          std::max(*job->mCancelledAt, one.mStartedAt + kContact);
        if (Now() > std::max(from + kStopBound,
                             *job->mCancelledAt + kCancelBound + kStopBound)) {
          one.mStopping = true;
          mRecord.Break(
            Join({ "UNASKED runs on after the cancel", task, "on", id }));
        }
      }
    }
    for (auto& [number, each] : mWaves) {
      const std::string status =
        mStore.Value("status/wave/" + std::to_string(number));
      if (status.find("completed") == std::string::npos) {
        continue;
      }
      for (const std::string& name : each.mMachines) {
        if (mMachines.at(name).mKept.count(number) == 0) {
          mRecord.Break("MIXED wave " + std::to_string(number) +
                        " is said to be completed, and " + name +
                        " had no upkeep");
          mMachines.at(name).mKept.insert(number);
        }
      }
    }
  }
}

reply
fleet::AnswerMachines(const request& aRequest)
{
  const std::unique_lock lock(mMutex);
  if (aRequest.mPath == "/machines") {
    json out = json::array();
    for (const auto& [name, each] : mMachines) {
      out.push_back({ { "machine", name },
                      { "pool", each.mPool },
                      { "state", each.mState },
                      { "zone", each.mZone },
                      { "labels", each.mLabels },
                      { "capacity",
                        { { "cpu", each.mCpu },
                          { "task-memory-mb", 64'000 },
                          { "gpus", 0 } } },
                      { "id", each.mState == "up" ? each.mRunner : "" } });
    }
    return { 200,
             json{ { "machines", out }, { "next-page-token", "" } }.dump() };
  }
  const json body = json::parse(aRequest.mBody);
  const std::string holder = aRequest.mHeaders.at("x-lease-holder");
  const std::uint64_t fence =
    std::stoull(aRequest.mHeaders.at("x-fencing-token"));
  const int fate = mMachineFate ? mMachineFate(aRequest.mPath, body) : 0;
  if (fate > 0) {
    mRecord.Add("unanswered " + aRequest.mPath + " " + aRequest.mBody);
    std::thread([this, path = aRequest.mPath, body, holder, fence, fate] {
      std::this_thread::sleep_for(milliseconds(fate));
      const std::lock_guard late(mMutex);
      const reply made = Order(path, body, holder, fence);
      mRecord.Add("late " + path + " " + body.dump() + " -> " +
                  std::to_string(made.mStatus) + " " + made.mBody);
    }).detach();
    return { 0, "", true };
  }
  reply made = Order(aRequest.mPath, body, holder, fence);
  mRecord.Add("machines " + aRequest.mPath + " " + aRequest.mBody + " " +
              holder + " " + std::to_string(fence) + " -> " +
              std::to_string(made.mStatus) + " " + made.mBody);
  return made;
}

reply
fleet::Order(const std::string& aPath,
             const json& aBody,
             const std::string& aHolder,
             std::uint64_t aFence)
{
  const auto found = mMachines.find(aBody.at("machine").get<std::string>());
  if (found == mMachines.end()) {
    return { 400, "{}" };
  }
  machine& one = found->second;
  const auto refuse = [](const char* aReason) {
    return reply{ 409, json{ { "reason", aReason } }.dump() };
  };
  if (aFence < one.mFence) {
    return refuse("fence");
  }
  if (aFence == one.mFence && aHolder != one.mHolder) {
    mRecord.Break("ONE " + one.mName + " " + aHolder + " and " + one.mHolder);
  }
  one.mFence = aFence;
  one.mHolder = aHolder;
  const bool isMove = aPath == "/machine-move";
  const int wave = isMove ? 0 : aBody.at("wave").get<int>();
  const std::string pool =
    isMove ? aBody.at("pool").get<std::string>() : one.mPool;
  if (isMove ? one.mPool == pool : one.mKept.count(wave) > 0) {
    return { 200, "{}" };
  }
  if (!isMove && (mWaves.count(wave) == 0 ||
                  mWaves[wave].mMachines.count(one.mName) == 0)) {
    return refuse("wave");
  }
  if (one.mState != "up") {
    return refuse("busy");
  }
  if (!isMove) {
    int down = 0;
    for (const auto& [name, each] : mMachines) {
      down += each.mState == "upkeep" && each.mWave == wave ? 1 : 0;
    }
    if (down >= mWaves[wave].mCap) {
      mRecord.Break("LIMIT upkeep of " + one.mName + " in wave " +
                    std::to_string(wave) + " while " + std::to_string(down) +
                    " are down");
    }
    one.mKept.insert(wave);
  }
  EndRunner(one, isMove ? "move" : "upkeep");
  mStore.Remove("servers/" + one.mRunner);
  one.mState = isMove ? "moving" : "upkeep";
  one.mWave = wave;
  one.mPool = pool;
  std::thread([this, name = one.mName, isMove] {
    std::this_thread::sleep_for(isMove ? kMove : kUpkeep);
    const std::lock_guard lock(mMutex);
    if (!mIsOver) {
      machine& back = mMachines.at(name);
      back.mState = "up";
      StartRunner(back);
    }
  }).detach();
  return { 200, "{}" };
}

void
fleet::CheckEnd()
{
  const std::lock_guard lock(mMutex);
  for (const auto& [id, job] : mJobs) {
    if (!job.mIsAccepted || job.mCancelledAt) {
      continue;
    }
    for (std::size_t s = 0; s < job.mSteps.size(); ++s) {
      for (int k = 0; k < std::max(1, job.mRepetitions); ++k) {
        for (int i = 0; i < job.mSteps[s].mCount; ++i) {
          const std::string text = TaskText({ id, k, static_cast<int>(s), i });
          const work_unit& unit = mUnits[text];
          const bool isFine =
            job.mSteps[s].mLasts ? !unit.mLiveOn.empty() : unit.mIsDone;
          if (!isFine) {
            mRecord.Break("LOST " + text + " has not run to its end");
          }
        }
      }
    }
  }
}

} // namespace standins
