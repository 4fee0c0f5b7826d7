// Which host is emptied, maintained or moved next. Answers a wave that takes
// half of the fleet within half a minute while every pool has its peak.
#ifndef MANGOSPAN_JOBS_UPKEEP_H
#define MANGOSPAN_JOBS_UPKEEP_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "mangospan/base/identity.h"
#include "mangospan/base/time.h"
#include "mangospan/jobs/spec.h"

namespace mangospan::jobs {

// A host as the planner sees it.
struct host_view
{
  host_name mHost;
  service_name mPool;
  bool mIsUp = false;       // neither down nor on its way
  bool mIsSpare = false;    // in the pool of hosts that are off
  bool mIsKnown = false;    // what runs there is known
  bool mIsInUpkeep = false; // down for maintenance
  bool mIsUnfit = false;    // its runner is silent, leaving or shunned
  bool mIsSettled = false;  // its runner is in use, or would be
  resources mCapacity;
  std::size_t mRuns = 0;    // that exist or may exist on its runner
  std::size_t mLasting = 0; // of these, lasting ones
};

struct upkeep_order
{
  host_name mHost;
  std::uint64_t mWave = 0;
};

struct move_order
{
  host_name mHost;
  service_name mPool;
};

struct upkeep_decision
{
  std::set<host_name> mClosed;       // get no new runs
  std::vector<host_name> mEvict;     // their lasting runs go elsewhere
  std::vector<upkeep_order> mOrders; // empty, and allowed to go down now
};

struct upkeep_settings
{
  // Hosts that are emptied beyond those that may be down, so that the next one
  // is empty when its turn comes.
  std::size_t mEmptyAhead = 2;
  // A host that is not empty by then goes down all the same.
  std::chrono::milliseconds mPatience{ 6'000 };
  std::chrono::milliseconds mRetry{ 300 };
};

class upkeep_plan
{
public:
  explicit upkeep_plan(upkeep_settings aSettings);

  void AddWave(std::uint64_t aWave,
               const std::vector<host_name>& aHosts,
               time_point aCompleteBy,
               std::size_t aMaxDown);
  // Hosts that an earlier owner has maintained.
  void AddMaintained(std::uint64_t aWave, const std::vector<host_name>& aHosts);

  // `aListedAt` is when the listing behind `aHosts` was asked for.
  upkeep_decision Decide(const std::vector<host_view>& aHosts,
                         time_point aListedAt,
                         time_point aNow);

  // The order was carried out, now or before.
  void OnBegun(const upkeep_order& aOrder, time_point aNow);
  // It may or may not have been.
  void OnUnknown(const upkeep_order& aOrder, time_point aNow);
  // It was not.
  void OnNotDone(const upkeep_order& aOrder, time_point aNow);
  // It never will be: the host is gone, or not of that wave.
  void OnRefused(const upkeep_order& aOrder);

  bool IsCompleted(std::uint64_t aWave) const;
  std::vector<std::uint64_t> Waves() const;
  std::vector<host_name> Maintained(std::uint64_t aWave) const;

private:
  enum class phase
  {
    kPending,
    kEmptying,
    kOrdered, // the order is under way, or its result is unknown
    kDown,
    kBack,
  };
  struct member
  {
    phase mPhase = phase::kPending;
    time_point mSince{};
    time_point mNotBefore{};
  };
  struct wave
  {
    std::map<host_name, member> mMembers;
    time_point mCompleteBy{};
    std::size_t mMaxDown = 1;
  };

  member* Find(const upkeep_order& aOrder);
  static void NoteReturns(wave& aWave,
                          const std::map<host_name, host_view>& aHosts,
                          time_point aListedAt);
  // What one wave's members are doing, while a decision is made.
  struct census
  {
    std::size_t mDown = 0;
    std::size_t mEmptying = 0;
    std::vector<std::pair<std::size_t, host_name>> mPending; // by its runs
    std::vector<std::pair<std::size_t, host_name>> mReady;
  };
  census Count(std::uint64_t aNumber,
               wave& aWave,
               const std::map<host_name, host_view>& aHosts,
               time_point aNow,
               upkeep_decision& aInto) const;
  void CountUp(const host_view& aHost,
               std::uint64_t aNumber,
               time_point aNow,
               member& aMember,
               census& aCensus,
               upkeep_decision& aInto) const;
  void TakeDown(std::uint64_t aNumber,
                wave& aWave,
                time_point aNow,
                census& aCensus,
                upkeep_decision& aInto) const;
  void BeginEmptying(wave& aWave,
                     time_point aNow,
                     census& aCensus,
                     upkeep_decision& aInto) const;

  const upkeep_settings mSettings;
  std::map<std::uint64_t, wave> mWaves;
};

} // namespace mangospan::jobs

#endif // MANGOSPAN_JOBS_UPKEEP_H
