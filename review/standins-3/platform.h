// Stand-ins of the users' platform: the metadata store, the runners and the
// machines, as PROTOCOL.md describes them. All state is under one mutex.
#ifndef REVIEW_STANDINS3_PLATFORM_H
#define REVIEW_STANDINS3_PLATFORM_H

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "http.h"

namespace standins {

using nlohmann::json;
using std::chrono::milliseconds;
using time_point = std::chrono::steady_clock::time_point;

time_point
Now();

// Returns the words with blanks between them.
std::string
Join(std::initializer_list<std::string> aWords);

// Writes what was sent, answered and run, one line an event, with the
// milliseconds since the start.
class record
{
public:
  explicit record(const std::string& aFile);
  ~record();
  record(const record&) = delete;
  record& operator=(const record&) = delete;
  void Add(const std::string& aLine);
  // A broken rule: counted, and written.
  void Break(const std::string& aLine);
  std::size_t Broken() const;
  std::int64_t Elapsed() const;

private:
  struct impl;
  std::unique_ptr<impl> mImpl;
};

// The metadata store.
class store
{
public:
  store();
  ~store();
  store(const store&) = delete;
  store& operator=(const store&) = delete;

  void Start();
  std::string Address() const;
  // As the operator or a runner writes.
  void Put(const std::string& aKey, const std::string& aValue);
  void Remove(const std::string& aKey);
  std::string Value(const std::string& aKey) const;
  // No call is answered; leases pause.
  void SetSilent(bool aIsSilent);
  // Decides for each transaction: 0 executed and answered, -1 executed and not
  // answered, a positive number: executed so many milliseconds later, and not
  // answered.
  void SetFate(std::function<int(const json&)> aFate);
  // Ends the lease of that key.
  void Revoke(const std::string& aKey);

private:
  struct impl;
  std::shared_ptr<impl> mImpl;
};

// What the stand-ins know of a job that a caller has handed in.
struct step_truth
{
  int mCount = 1;
  int mMilliseconds = 300; // of one work unit
  std::int64_t mCpu = 500;
  std::int64_t mMemory = 100;
  std::vector<int> mAfter;
  bool mIsGang = false;
  bool mLasts = false;
  std::string mLabel;
  int mAntiAffinity = 0;
  int mMaxUnavailable = 0;
  double mFails = 0; // share of runs that fail
};

struct job_truth
{
  std::string mId;
  std::string mService;
  std::string mSpecification;
  std::vector<step_truth> mSteps;
  int mMaxAttempts = 4;
  int mRepetitions = 0;
  std::int64_t mStartAt = 0; // Unix milliseconds
  std::int64_t mInterval = 0;
  bool mIsAccepted = false;
  bool mIsRejected = false;               // all tries so far were rejected
  std::optional<time_point> mCancelledAt; // when that was acknowledged

  json Body() const;
};

struct work_unit
{
  std::map<std::string, std::uint32_t> mLiveOn; // run numbers by runner
  bool mIsDone = false;
  bool mIsDoneNoted = false;
  int mFailed = 0;
  int mFailedNoted = 0;
  int mStarts = 0;
};

struct run
{
  std::string mTask;
  std::uint32_t mNumber = 0;
  time_point mStartedAt;
  bool mStopping = false;
};

struct ended_run
{
  std::uint64_t mNumber = 0;
  std::string mTask;
  std::uint32_t mRun = 0;
  std::string mHow;
  bool mHasLapsed = false; // the runner's lease has, since
};

class fleet;

class runner
{
public:
  runner(fleet& aFleet,
         std::string aId,
         std::string aMachine,
         std::string aService,
         std::string aZone,
         std::vector<std::string> aLabels,
         std::int64_t aCpu);

  std::string mId;
  std::string mMachine;
  std::string mService;
  std::string mZone;
  std::vector<std::string> mLabels;
  std::int64_t mCpu;
  std::int64_t mMemory = 64'000;
  std::string mState = "ready";
  bool mIsUp = false;
  bool mIsListed = true; // writes to the store
  std::int64_t mBorn = 0;
  time_point mBootAt;
  double mClockRate = 1.0;
  std::uint64_t mFence = 0;
  std::int64_t mLeaseUntil = 0; // on its clock
  std::map<std::string, run> mRuns;
  std::map<std::string, std::uint32_t> mHighest; // stopped or ended runs
  std::vector<ended_run> mEnded;
  std::uint64_t mEndCount = 0;
  // Orders that get no answer and are carried out late: decides by the path and
  // the body; nullopt for none.
  std::function<std::optional<milliseconds>(const std::string&, const json&)>
    mLate;
  // Runs start and work, and answers are lost, where this says so.
  std::function<bool(const std::string&)> mLosesAnswer;
  std::unique_ptr<server> mServer;

  std::int64_t Clock() const;
  std::string Entry() const;

private:
  friend class fleet;
  reply Answer(const request& aRequest);
  reply Execute(const std::string& aPath, const json& aBody);
  reply Start(const json& aBody);
  reply Stop(const json& aBody);
  reply Hold(const json& aBody, std::unique_lock<std::mutex>& aLock);
  void Advance();
  void End(const std::string& aTask, const std::string& aHow);
  reply Refuse(const char* aReason) const;

  fleet& mFleet;
};

struct machine
{
  std::string mName;
  std::string mPool;
  std::string mState = "up"; // up, moving, upkeep, down
  std::string mZone;
  std::vector<std::string> mLabels;
  std::int64_t mCpu = 0;
  std::string mRunner;
  std::uint64_t mFence = 0;
  std::string mHolder;
  std::set<int> mKept; // waves whose upkeep it has had
  int mWave = 0;       // of the upkeep under way
};

// The runners and the machines.
class fleet
{
public:
  fleet(store& aStore, record& aRecord);
  ~fleet();
  fleet(const fleet&) = delete;
  fleet& operator=(const fleet&) = delete;

  void StartMachines();
  std::string Address() const;
  void AddMachine(const std::string& aName,
                  const std::string& aPool,
                  const std::string& aZone,
                  const std::vector<std::string>& aLabels,
                  std::int64_t aCpu);
  // The runner of the machine ends at once; it is back after `aDown` under the
  // same id, as another boot, or stays away.
  void Crash(const std::string& aMachine, std::optional<milliseconds> aDown);
  // The runner is cut off from the store, not from the nodes. Behind the cut it
  // crashes, and is back after `aDown` under the same id, as another boot of
  // another kind. Its entry says so once the cut has healed after `aCut`.
  void CrashBehindCut(const std::string& aMachine,
                      milliseconds aDown,
                      milliseconds aCut,
                      const std::vector<std::string>& aLabels);
  // No node reaches it; it runs on, and writes to the store or not.
  void SetCut(const std::string& aMachine, bool aIsCut);
  runner* RunnerOf(const std::string& aMachine);
  void AddJob(const job_truth& aJob);
  job_truth* Job(const std::string& aId);
  // Stands for every job whose id begins like its own and is not known.
  void SetCrowd(const job_truth& aJob, const std::string& aPrefix);
  int StartsOf(const std::string& aTask);
  void OnWave(int aNumber, const std::vector<std::string>& aMachines, int aCap);
  // Decides for each call to a machine: 0 answered, else executed so many
  // milliseconds later and not answered.
  std::function<int(const std::string&, const json&)> mMachineFate;
  // Whether what a work unit leaves undone after the end counts.
  void CheckEnd();

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::mt19937_64 mRandom{ 1 };
  std::map<std::string, std::unique_ptr<runner>> mRunners; // by id
  std::map<std::string, machine> mMachines;
  std::map<std::string, job_truth> mJobs;
  std::map<std::string, work_unit> mUnits;
  record& mRecord;
  store& mStore;

private:
  friend class runner;
  reply AnswerMachines(const request& aRequest);
  reply Order(const std::string& aPath,
              const json& aBody,
              const std::string& aHolder,
              std::uint64_t aFence);
  void StartRunner(machine& aMachine);
  void EndRunner(machine& aMachine, const char* aWhy);
  void Reboot(runner& aRunner);
  void OnStart(runner& aRunner, const json& aBody);
  void OnEnd(runner& aRunner, const run& aRun, const std::string& aHow);
  void OnNoted(const ended_run& aEnd);
  void CheckStart(runner& aRunner, const json& aBody);
  void CheckGangs();
  void Tick();

  struct wave
  {
    std::set<std::string> mMachines;
    int mCap = 1;
  };
  std::map<int, wave> mWaves;
  job_truth mCrowd;
  std::string mCrowdPrefix;
  // The latest run of each gang member that has begun.
  std::map<std::pair<std::string, int>, std::uint32_t> mGangStarts;
  std::unique_ptr<server> mServer;
  int mNextRunner = 0;
  bool mIsOver = false;
  std::thread mTicker;
};

struct task_name
{
  std::string mJob;
  int mOccurrence = 0;
  int mStep = 0;
  int mIndex = 0;
};

task_name
ParseTask(const std::string& aText);
std::string
TaskText(const task_name& aTask);

// The nodes, each a process.
class nodes
{
public:
  nodes(std::string aProgram, std::string aFolder);
  ~nodes();
  nodes(const nodes&) = delete;
  nodes& operator=(const nodes&) = delete;

  void Add(const std::string& aZone,
           const std::string& aStore,
           const std::string& aMachines,
           const std::map<std::string, json>& aMore = {});
  void Start(std::size_t aNode);
  // The node's standard output goes to a process that copies it to the log.
  void PipeLogs() { mArePiped = true; }
  // Stops or continues these processes.
  void SignalLogs(int aSignal);
  void Signal(std::size_t aNode, int aSignal);
  // Waits for the end after a signal.
  void Await(std::size_t aNode);
  bool Runs(std::size_t aNode);
  bool IsReady(std::size_t aNode) const;
  std::string Callers(std::size_t aNode) const;
  std::string Name(std::size_t aNode) const;
  std::size_t Size() const;
  // Resident memory; 0 if the process does not run.
  std::size_t Kilobytes(std::size_t aNode) const;
  bool AreAllReady() const;
  // Returns false if they are not within the time.
  bool AwaitReady(milliseconds aTime) const;
  // The node whose name the lease of the subject holds, or the size.
  std::size_t OwnerOf(const store& aStore, const std::string& aSubject) const;

private:
  struct impl;
  std::unique_ptr<impl> mImpl;
  bool mArePiped = false;
};

// A call of a requester.
request
CallOf(const std::string& aMethod,
       const std::string& aQueue,
       const std::string& aId,
       const std::string& aBody = "");

// A configuration with one queue for each of the services, and a spare pool.
std::string
Configuration(int aVersion, const std::vector<std::string>& aServices);

// Whether the variable TROUBLE asks for a run without the disruption.
bool
HasTrouble();

// Writes the verdict; the exit code of a case.
int
Verdict(const record& aRecord);

} // namespace standins

#endif // REVIEW_STANDINS3_PLATFORM_H
