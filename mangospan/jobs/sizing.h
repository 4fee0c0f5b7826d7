// Which host moves to which pool. Answers queues whose peaks go round by turns:
// each asks for several times its mean for some seconds, more than its pool
// holds, while the other pools idle. Hosts follow the load, through the pool of
// spare hosts while nobody needs them.
#ifndef MANGOSPAN_JOBS_SIZING_H
#define MANGOSPAN_JOBS_SIZING_H

#include <chrono>
#include <cstddef>
#include <map>
#include <set>
#include <vector>

#include "mangospan/base/identity.h"
#include "mangospan/base/time.h"
#include "mangospan/jobs/spec.h"
#include "mangospan/jobs/upkeep.h"

namespace mangospan::jobs {

// What a pool's service would use now if it had room for all.
struct pool_load
{
  resources mWanted;   // live runs and tasks that may start
  resources mArriving; // by the time a host ordered now is there
  // By the limits of lasting steps, and for what finds no room on the hosts in
  // use although there is enough of it on all together.
  std::size_t mMinHosts = 0;
};

struct sizing_settings
{
  double mHeadroom = 1.15; // of the wanted resources
  std::size_t mMinHosts = 2;
  // A host is given up only after it has been idle for this long.
  std::chrono::milliseconds mIdleTime{ 800 };
  std::size_t mMaxMovesAtOnce = 240;
};

class pool_sizing
{
public:
  explicit pool_sizing(sizing_settings aSettings);

  // The moves to order now. Hosts that nobody needs go to `aSparePool`, if
  // there is one. `aTaken` are hosts that maintenance has claimed; `aListedAt`
  // is when the listing behind `aHosts` was asked for.
  std::vector<move_order> Decide(
    const std::map<service_name, pool_load>& aLoads,
    const service_name& aSparePool,
    const std::vector<host_view>& aHosts,
    const std::set<host_name>& aTaken,
    time_point aListedAt,
    time_point aNow);

  // A move is under way, or may be.
  void OnMoving(const move_order& aOrder, time_point aNow);
  void OnNotMoved(const host_name& aHost);

  // Hosts on their way, which get no new runs.
  std::set<host_name> Leaving() const;

private:
  struct journey
  {
    service_name mTo;
    time_point mSince{};
  };
  struct pool
  {
    std::size_t mHave = 0; // up, or on their way here
    std::size_t mNeed = 0;
    resources mPerHost;
    std::vector<host_name> mIdle; // longest idle first
  };

  void NoteArrivals(const std::vector<host_view>& aHosts, time_point aListedAt);
  void NoteIdle(const std::vector<host_view>& aHosts, time_point aNow);
  struct situation
  {
    std::map<service_name, pool> mPools;
    std::vector<host_name> mSpare;
    std::vector<move_order> mMoves;
  };

  situation Assess(const std::map<service_name, pool_load>& aLoads,
                   const std::vector<host_view>& aHosts,
                   const std::set<host_name>& aTaken) const;
  void SetNeeds(const std::map<service_name, pool_load>& aLoads,
                situation& aInto) const;
  void FillDeficits(situation& aInto) const;
  void GiveUpIdle(const service_name& aSparePool,
                  time_point aNow,
                  situation& aInto) const;
  bool IsFull(const situation& aSituation) const;
  std::size_t Need(const pool_load& aLoad, const resources& aPerHost) const;

  const sizing_settings mSettings;
  std::map<host_name, journey> mJourneys;
  std::map<host_name, time_point> mIdleSince;
};

} // namespace mangospan::jobs

#endif // MANGOSPAN_JOBS_SIZING_H
