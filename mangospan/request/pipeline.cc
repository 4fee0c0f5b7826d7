#include "mangospan/request/pipeline.h"

#include <algorithm>
#include <deque>
#include <map>
#include <unordered_map>
#include <utility>

namespace mangospan::request {

namespace {

struct open_request
{
  arrival mArrival;
  host_name mHost;
  std::uint32_t mAttempt = 0;
  time_point mDeadline;
};

struct endpoint_record
{
  view::endpoint mEndpoint;
  std::size_t mShare = 0;
  std::size_t mInFlight = 0;
  bool mInView = true;
};

} // namespace

const char*
Name(request_outcome aOutcome)
{
  return aOutcome == request_outcome::kNotRun ? "not-run" : "unknown";
}

const char*
Name(refusal_code aCode)
{
  static constexpr const char* kNames[] = {
    "no_such_service", "no_such_class",     "not_serving",
    "stopping",        "no_endpoint",       "target_out_of_reach",
    "over_share",      "queue_full",        "deadline_passed",
    "caller_gone",     "endpoint_failed",   "endpoint_timed_out",
    "connection_lost", "duplicate_request",
  };
  return kNames[static_cast<std::size_t>(aCode)];
}

class pipeline::impl
{
public:
  explicit impl(const pipeline_options& aOptions)
    : mOptions(aOptions)
  {
  }

  actions OnView(const view::zone_view& aView,
                 const view::entry_id& aOwn,
                 time_point aNow)
  {
    actions result;
    if (aView.mVersion < mVersion) {
      return result;
    }
    mVersion = aView.mVersion;
    for (auto& [host, record] : mEndpoints) {
      record.mInView = false;
    }
    for (const view::endpoint& endpoint : aView.mEndpoints) {
      endpoint_record& record = mEndpoints[endpoint.mHost];
      record.mEndpoint = endpoint;
      record.mInView = true;
      record.mShare = 0;
      for (const view::slot_share& share : endpoint.mShares) {
        if (share.mEntry == aOwn) {
          record.mShare = share.mSlots;
        }
      }
      NoteEmptied(record, result);
    }
    Pump(aNow, result);
    return result;
  }

  actions OnArrival(const arrival& aArrival, time_point aNow)
  {
    actions result;
    if (!mAccepting || !mDispatching || mOpen.size() >= mOptions.mMaxOpen) {
      refusal why;
      why.mCode =
        mAccepting ? refusal_code::kNotServing : refusal_code::kStopping;
      why.mStep = "admit";
      result.emplace_back(refuse{ aArrival.mId, why });
      return result;
    }
    open_request request;
    request.mArrival = aArrival;
    request.mDeadline = aArrival.mArrived + std::chrono::seconds(10);
    mOpen.emplace(aArrival.mId, std::move(request));
    mQueue.push_back(aArrival.mId);
    Pump(aNow, result);
    return result;
  }

  actions OnAttemptEnded(request_id aRequest,
                         std::uint32_t aAttempt,
                         const attempt_end& aEnd,
                         time_point aNow)
  {
    actions result;
    auto found = mOpen.find(aRequest);
    if (found == mOpen.end() || found->second.mAttempt != aAttempt) {
      return result;
    }
    endpoint_record& record = mEndpoints[found->second.mHost];
    --record.mInFlight;
    if (aEnd.mKind == attempt_end_kind::kAnswered) {
      result.emplace_back(deliver{ aRequest });
    } else {
      refusal why;
      why.mStep = "dispatch";
      why.mPeer = record.mEndpoint.mAddress;
      why.mCode = refusal_code::kEndpointFailed;
      why.mHttpStatus = 502;
      if (aEnd.mKind == attempt_end_kind::kUnknown ||
          aEnd.mKind == attempt_end_kind::kTimedOut) {
        why.mOutcome = request_outcome::kUnknown;
        why.mCode = refusal_code::kConnectionLost;
      }
      result.emplace_back(refuse{ aRequest, why });
    }
    mOpen.erase(found);
    NoteEmptied(record, result);
    Pump(aNow, result);
    return result;
  }

  actions SetDispatching(bool aDispatching, time_point aNow)
  {
    actions result;
    mDispatching = aDispatching;
    Pump(aNow, result);
    return result;
  }

  pipeline_options mOptions;
  view::version mVersion;
  bool mAccepting = true;
  bool mDispatching = false;
  std::map<host_name, endpoint_record> mEndpoints;
  std::unordered_map<request_id, open_request> mOpen;
  std::deque<request_id> mQueue;

private:
  static void NoteEmptied(const endpoint_record& aRecord, actions& aResult)
  {
    if (aRecord.mEndpoint.mState == view::endpoint_state::kDraining &&
        aRecord.mInFlight == 0) {
      aResult.emplace_back(
        emptied{ aRecord.mEndpoint.mHost, aRecord.mEndpoint.mEpoch });
    }
  }

  endpoint_record* Pick(const service_name& aService)
  {
    endpoint_record* best = nullptr;
    for (auto& [host, record] : mEndpoints) {
      const bool usable =
        record.mInView && record.mEndpoint.mService == aService &&
        record.mEndpoint.mState == view::endpoint_state::kServing &&
        record.mInFlight < record.mShare;
      if (usable && (best == nullptr || record.mInFlight < best->mInFlight)) {
        best = &record;
      }
    }
    return best;
  }

  void Pump(time_point aNow, actions& aResult)
  {
    std::deque<request_id> waiting;
    while (mDispatching && !mQueue.empty()) {
      const request_id id = mQueue.front();
      mQueue.pop_front();
      open_request& request = mOpen.at(id);
      endpoint_record* record = Pick(request.mArrival.mService);
      if (record == nullptr) {
        waiting.push_back(id);
        continue;
      }
      ++record->mInFlight;
      request.mHost = record->mEndpoint.mHost;
      request.mAttempt = 1;
      aResult.emplace_back(dispatch{ id,
                                     1,
                                     request.mHost,
                                     record->mEndpoint.mAddress,
                                     request.mDeadline - aNow });
    }
    mQueue.insert(mQueue.begin(), waiting.begin(), waiting.end());
  }
};

pipeline::pipeline(const pipeline_options& aOptions, std::uint64_t /*aSeed*/)
  : mImpl(std::make_unique<impl>(aOptions))
{
}

pipeline::~pipeline() = default;
pipeline::pipeline(pipeline&&) noexcept = default;
pipeline&
pipeline::operator=(pipeline&&) noexcept = default;

actions
pipeline::OnConfiguration(const config::document& /*aDocument*/,
                          time_point /*aNow*/)
{
  return {};
}

actions
pipeline::OnView(const view::zone_view& aView,
                 const view::entry_id& aOwn,
                 time_point aNow)
{
  return mImpl->OnView(aView, aOwn, aNow);
}

actions
pipeline::OnArrival(const arrival& aArrival, time_point aNow)
{
  return mImpl->OnArrival(aArrival, aNow);
}

actions
pipeline::OnCallerGone(request_id /*aRequest*/, time_point /*aNow*/)
{
  return {};
}

actions
pipeline::OnAttemptEnded(request_id aRequest,
                         std::uint32_t aAttempt,
                         const attempt_end& aEnd,
                         time_point aNow)
{
  return mImpl->OnAttemptEnded(aRequest, aAttempt, aEnd, aNow);
}

actions
pipeline::OnTick(time_point /*aNow*/)
{
  return {};
}

actions
pipeline::SetDispatching(bool aDispatching, time_point aNow)
{
  return mImpl->SetDispatching(aDispatching, aNow);
}

void
pipeline::SetAccepting(bool aAccepting)
{
  mImpl->mAccepting = aAccepting;
}

std::optional<time_point>
pipeline::NextWake() const
{
  return std::nullopt;
}

bool
pipeline::Idle() const
{
  return mImpl->mOpen.empty();
}

std::vector<class_demand>
pipeline::TakeDemand()
{
  return {};
}

std::vector<host_name>
pipeline::Ejected() const
{
  return {};
}

std::vector<emptied>
pipeline::Emptied() const
{
  return {};
}

std::vector<held_slots>
pipeline::Shares() const
{
  std::vector<held_slots> result;
  for (const auto& [host, record] : mImpl->mEndpoints) {
    result.push_back({ host,
                       record.mEndpoint.mEpoch,
                       std::max(record.mShare, record.mInFlight) });
  }
  return result;
}

view::version
pipeline::AppliedView() const
{
  return mImpl->mVersion;
}

pipeline_snapshot
pipeline::Snapshot() const
{
  pipeline_snapshot snapshot;
  snapshot.mAccepting = mImpl->mAccepting;
  snapshot.mDispatching = mImpl->mDispatching;
  snapshot.mView = mImpl->mVersion;
  snapshot.mOpen = mImpl->mOpen.size();
  return snapshot;
}

} // namespace mangospan::request
