#include "bench/requests/request_path.h"

#include <chrono>
#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

namespace mangospan::bench {

namespace {

using request::actions;
using request::arrival;
using request::attempt_end;
using request::request_id;

constexpr std::chrono::seconds kFirstComeTimeout{ 60 };

class pipeline_path final : public request_path
{
public:
  pipeline_path(const config::document& aDocument,
                const view::zone_view& aView,
                const view::entry_id& aOwn,
                std::uint64_t aSeed,
                time_point aNow)
    : mPipeline(request::pipeline_options{}, aSeed)
  {
    mPipeline.OnConfiguration(aDocument, aNow);
    mPipeline.OnView(aView, aOwn, aNow);
    mPipeline.SetDispatching(true, aNow);
  }
  actions OnArrival(const arrival& aArrival, time_point aNow) override
  {
    return mPipeline.OnArrival(aArrival, aNow);
  }
  actions OnAttemptEnded(request_id aRequest,
                         std::uint32_t aAttempt,
                         const attempt_end& aEnd,
                         time_point aNow) override
  {
    return mPipeline.OnAttemptEnded(aRequest, aAttempt, aEnd, aNow);
  }
  actions OnTick(time_point aNow) override { return mPipeline.OnTick(aNow); }
  std::optional<time_point> NextWake() const override
  {
    return mPipeline.NextWake();
  }

private:
  request::pipeline mPipeline;
};

class first_come_path final : public request_path
{
public:
  first_come_path(const view::zone_view& aView, const view::entry_id& aOwn)
  {
    for (const view::endpoint& each : aView.mEndpoints) {
      for (const view::slot_share& share : each.mShares) {
        if (share.mEntry == aOwn) {
          mPools[each.mService].mEndpoints.push_back({ each, share.mSlots, 0 });
        }
      }
    }
  }
  actions OnArrival(const arrival& aArrival, time_point /*aNow*/) override
  {
    actions result;
    pool& served = mPools[aArrival.mService];
    served.mQueue.push_back(aArrival.mId);
    Pump(served, result);
    return result;
  }
  actions OnAttemptEnded(request_id aRequest,
                         std::uint32_t /*aAttempt*/,
                         const attempt_end& aEnd,
                         time_point /*aNow*/) override
  {
    actions result;
    const taken held = mTaken[aRequest];
    mTaken.erase(aRequest);
    --held.mEndpoint->mInFlight;
    if (aEnd.mKind == request::attempt_end_kind::kAnswered) {
      result.emplace_back(request::deliver{ aRequest });
    } else {
      request::refusal why;
      why.mCode = request::refusal_code::kEndpointFailed;
      result.emplace_back(request::refuse{ aRequest, why });
    }
    Pump(*held.mPool, result);
    return result;
  }
  actions OnTick(time_point /*aNow*/) override { return {}; }
  std::optional<time_point> NextWake() const override { return std::nullopt; }

private:
  struct slots
  {
    view::endpoint mEndpoint;
    std::size_t mShare = 0;
    std::size_t mInFlight = 0;
  };
  struct pool
  {
    std::vector<slots> mEndpoints;
    std::deque<request_id> mQueue;
  };
  struct taken
  {
    pool* mPool = nullptr;
    slots* mEndpoint = nullptr;
  };

  void Pump(pool& aPool, actions& aResult)
  {
    while (!aPool.mQueue.empty()) {
      slots* best = nullptr;
      for (slots& each : aPool.mEndpoints) {
        const bool usable = each.mInFlight < each.mShare;
        if (usable && (best == nullptr || each.mInFlight < best->mInFlight)) {
          best = &each;
        }
      }
      if (best == nullptr) {
        return;
      }
      const request_id id = aPool.mQueue.front();
      aPool.mQueue.pop_front();
      ++best->mInFlight;
      mTaken[id] = { &aPool, best };
      aResult.emplace_back(request::dispatch{ id,
                                              1,
                                              best->mEndpoint.mHost,
                                              best->mEndpoint.mAddress,
                                              kFirstComeTimeout });
    }
  }

  std::map<service_name, pool> mPools;
  std::unordered_map<request_id, taken> mTaken;
};

} // namespace

std::unique_ptr<request_path>
MakePipelinePath(const config::document& aDocument,
                 const view::zone_view& aView,
                 const view::entry_id& aOwn,
                 std::uint64_t aSeed,
                 time_point aNow)
{
  return std::make_unique<pipeline_path>(aDocument, aView, aOwn, aSeed, aNow);
}

std::unique_ptr<request_path>
MakeFirstComePath(const view::zone_view& aView, const view::entry_id& aOwn)
{
  return std::make_unique<first_come_path>(aView, aOwn);
}

} // namespace mangospan::bench
