#include "bench/requests/zone_model.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <utility>
#include <variant>
#include <vector>

#include "bench/requests/request_path.h"

namespace mangospan::bench {

namespace {

using namespace std::chrono_literals;
using request::actions;
using request::attempt_end;
using request::attempt_end_kind;
using request::request_id;
using seconds_double = std::chrono::duration<double>;

constexpr std::size_t kSlots = 8;
constexpr double kPeakOfMean = 5;
constexpr double kTroughOfMean = 0.05;
constexpr auto kErrorAnswer = 2ms;
constexpr int kSlowFactor = 10;

// The classes of each service.
struct class_rule
{
  const char* mName;
  const char* mPath;
  const char* mMethod;
  double mPart; // of the service's requests
  std::chrono::milliseconds mWithin;
  std::chrono::milliseconds mSlotTime; // mean
  bool mUrgent;
};

constexpr class_rule kClasses[] = {
  { "urgent", "/urgent", "POST", 0.03, 1000ms, 60ms, true },
  { "check", "/check", "GET", 0.57, 1000ms, 60ms, false },
  { "draft", "/draft", "PUT", 0.30, 3000ms, 150ms, false },
  { "file", "/file", "POST", 0.10, 10000ms, 400ms, false },
};
constexpr double kSigma = 0.6; // of the log of slot times
constexpr double kTargetShare = 0.99;

double
MeanSlotSeconds(const zone_load& aLoad)
{
  double mean = 0;
  for (const class_rule& rule : kClasses) {
    mean += rule.mPart * seconds_double(rule.mSlotTime).count();
  }
  return mean * aLoad.mSlotTimeFactor;
}

service_name
Service(std::size_t aPool)
{
  return service_name("service-" + std::to_string(aPool));
}

class_name
ClassName(std::size_t aPool, const class_rule& aRule)
{
  return class_name(Service(aPool).Str() + "." + aRule.mName);
}

config::document
Document(const zone_load& aLoad)
{
  config::document document;
  for (std::size_t pool = 0; pool < aLoad.mPools; ++pool) {
    config::pool made;
    made.mName = pool_name(Service(pool).Str());
    made.mService = Service(pool);
    document.mPools.push_back(made);
    for (const class_rule& rule : kClasses) {
      config::work_class work;
      work.mName = ClassName(pool, rule);
      work.mMatch = { Service(pool), rule.mPath, {} };
      work.mTarget = { kTargetShare, rule.mWithin };
      work.mUrgent = rule.mUrgent;
      document.mClasses.push_back(work);
    }
  }
  return document;
}

view::entry_id
Entry(std::size_t aEntry)
{
  return { host_name("entry-" + std::to_string(aEntry)),
           boot_id{ aEntry + 1 } };
}

view::zone_view
View(const zone_load& aLoad)
{
  view::zone_view made;
  made.mVersion.mSequence = 1;
  for (std::size_t pool = 0; pool < aLoad.mPools; ++pool) {
    for (std::size_t i = 0; i < aLoad.mEndpoints; ++i) {
      view::endpoint each;
      each.mHost = host_name(Service(pool).Str() + "-" + std::to_string(i));
      each.mAddress = each.mHost.Str();
      each.mService = Service(pool);
      for (std::size_t entry = 0; entry < aLoad.mEntries; ++entry) {
        each.mShares.push_back({ Entry(entry), kSlots / aLoad.mEntries });
      }
      made.mEndpoints.push_back(each);
    }
  }
  return made;
}

class zone_model
{
public:
  zone_model(const zone_load& aLoad, path_kind aPath, std::uint64_t aSeed)
    : mLoad(aLoad)
    , mRandom(aSeed)
  {
    const auto document = Document(aLoad);
    const auto view = View(aLoad);
    for (std::size_t i = 0; i < aLoad.mEntries; ++i) {
      mPaths.push_back(
        aPath == path_kind::kPipeline
          ? MakePipelinePath(document, view, Entry(i), aSeed + i, mNow)
          : MakeFirstComePath(view, Entry(i)));
      mWakes.emplace_back();
    }
    for (std::size_t pool = 0; pool < aLoad.mPools; ++pool) {
      for (const class_rule& rule : kClasses) {
        mReport.mClasses[ClassName(pool, rule)] = { kTargetShare,
                                                    rule.mWithin };
      }
      ScheduleArrival(pool);
    }
    mReport.mSlotSeconds =
      seconds_double(aLoad.mPeak).count() * aLoad.mRounds *
      static_cast<double>(aLoad.mPools * aLoad.mEndpoints * kSlots);
  }

  zone_report Run()
  {
    while (!mEvents.empty()) {
      const event next = mEvents.top();
      mEvents.pop();
      mNow = next.mAt;
      next.mDo();
    }
    return mReport;
  }

private:
  struct event
  {
    time_point mAt;
    std::uint64_t mOrder = 0;
    std::function<void()> mDo;

    friend bool operator>(const event& aLeft, const event& aRight)
    {
      return std::tie(aLeft.mAt, aLeft.mOrder) >
             std::tie(aRight.mAt, aRight.mOrder);
    }
  };

  struct asked
  {
    std::size_t mEntry = 0;
    std::size_t mPool = 0;
    class_name mClass;
    const class_rule* mRule = nullptr;
    caller_name mCaller;
    time_point mArrived;
    int mReturns = 0;
    bool mInPeak = false;
    std::chrono::nanoseconds mSlotTime{ 0 };
    time_point mSent;
    attempt_end mEnd;
  };

  void At(time_point aTime, std::function<void()> aDo)
  {
    mEvents.push({ aTime, ++mOrder, std::move(aDo) });
  }

  time_point End() const
  {
    return mStart +
           mLoad.mPeak * static_cast<int>(mLoad.mPools) * mLoad.mRounds;
  }

  // The pool's peak that holds `aTime` or comes next after it.
  time_point PeakStart(std::size_t aPool, time_point aTime) const
  {
    const auto cycle = mLoad.mPeak * static_cast<int>(mLoad.mPools);
    time_point start = mStart + mLoad.mPeak * static_cast<int>(aPool);
    while (start + mLoad.mPeak <= aTime) {
      start += cycle;
    }
    return start;
  }

  bool InPeak(std::size_t aPool, time_point aTime) const
  {
    return aTime < End() && aTime >= PeakStart(aPool, aTime);
  }

  double Rate(std::size_t aPool, time_point aTime) const
  {
    const double capacity =
      static_cast<double>(mLoad.mEndpoints * kSlots) / MeanSlotSeconds(mLoad);
    const double peak = capacity * mLoad.mPeakOfCapacity;
    return InPeak(aPool, aTime) ? peak : peak / kPeakOfMean * kTroughOfMean;
  }

  void ScheduleArrival(std::size_t aPool)
  {
    std::exponential_distribution<double> gap(Rate(aPool, mNow));
    time_point at = mNow + std::chrono::duration_cast<std::chrono::nanoseconds>(
                             seconds_double(gap(mRandom)));
    if (!InPeak(aPool, mNow)) {
      at = std::min(at, std::max(PeakStart(aPool, mNow), mNow + 1ms));
    }
    if (at < End()) {
      At(at, [this, aPool] {
        Arrive(aPool);
        ScheduleArrival(aPool);
      });
    }
  }

  const class_rule& DrawClass()
  {
    double dice = mUnit(mRandom);
    for (const class_rule& rule : kClasses) {
      dice -= rule.mPart;
      if (dice < 0) {
        return rule;
      }
    }
    return kClasses[0];
  }

  caller_name DrawCaller()
  {
    if (mUnit(mRandom) < 0.5) {
      return FirstCaller();
    }
    const auto number = 1 + mRandom() % (mLoad.mCallers - 1);
    return caller_name("caller-" + std::to_string(number));
  }

  void Arrive(std::size_t aPool)
  {
    const class_rule& rule = DrawClass();
    const double mean =
      seconds_double(rule.mSlotTime).count() * mLoad.mSlotTimeFactor;
    std::lognormal_distribution<double> slotTime(
      std::log(mean) - kSigma * kSigma / 2, kSigma);
    asked made;
    made.mRule = &rule;
    made.mPool = aPool;
    made.mClass = ClassName(aPool, rule);
    made.mCaller = DrawCaller();
    made.mInPeak = InPeak(aPool, mNow);
    made.mSlotTime = std::chrono::duration_cast<std::chrono::nanoseconds>(
      seconds_double(slotTime(mRandom)));
    ++mReport.mClasses[made.mClass].mAsked;
    mReport.mCallers[made.mCaller].mAsked += made.mInPeak ? 1 : 0;
    Send(std::move(made));
  }

  void Send(asked aAsked)
  {
    const request_id id = ++mLast;
    aAsked.mEntry = mRandom() % mLoad.mEntries;
    aAsked.mArrived = mNow;
    request::arrival request;
    request.mId = id;
    request.mCaller = aAsked.mCaller;
    request.mTeam = team_name("team-" + aAsked.mCaller.Str());
    request.mService = Service(aAsked.mPool);
    request.mPath = aAsked.mRule->mPath;
    request.mMethod = aAsked.mRule->mMethod;
    request.mArrived = mNow;
    const std::size_t entry = aAsked.mEntry;
    mAsked.emplace(id, std::move(aAsked));
    Carry(entry, mPaths[entry]->OnArrival(request, mNow));
  }

  void Carry(std::size_t aEntry, const actions& aActions)
  {
    for (const request::action& each : aActions) {
      std::visit([this](const auto& aAction) { On(aAction); }, each);
    }
    const auto wake = mPaths[aEntry]->NextWake();
    if (wake && (!mWakes[aEntry] || *wake < *mWakes[aEntry])) {
      mWakes[aEntry] = wake;
      At(std::max(*wake, mNow), [this, aEntry] {
        mWakes[aEntry].reset();
        Carry(aEntry, mPaths[aEntry]->OnTick(mNow));
      });
    }
  }

  void On(const request::dispatch& aDispatch)
  {
    asked& request = mAsked.at(aDispatch.mRequest);
    request.mSent = mNow;
    auto lasts = request.mSlotTime;
    if (InPeak(request.mPool, mNow) &&
        mNow >= PeakStart(request.mPool, mNow) + mLoad.mPeak / 2) {
      lasts = std::chrono::duration_cast<std::chrono::nanoseconds>(
        lasts * mLoad.mSlowdown);
    }
    attempt_end end{ attempt_end_kind::kAnswered, 200 };
    if (aDispatch.mHost.Str() == Service(request.mPool).Str() + "-0") {
      if (mLoad.mFirst == first_endpoint::kFailsAll) {
        lasts = kErrorAnswer;
        end.mStatus = 500;
      } else if (mLoad.mFirst == first_endpoint::kDead) {
        lasts = kErrorAnswer;
        end = { attempt_end_kind::kNotSent, 0 };
      } else if (mLoad.mFirst == first_endpoint::kSlow) {
        lasts *= kSlowFactor;
      } else if (mLoad.mFirst == first_endpoint::kHangs) {
        lasts = std::chrono::hours(1);
      }
    }
    if (lasts > aDispatch.mTimeout) {
      lasts = aDispatch.mTimeout;
      end = { attempt_end_kind::kTimedOut, 0 };
    }
    const request_id id = aDispatch.mRequest;
    const std::uint32_t attempt = aDispatch.mAttempt;
    At(mNow + lasts, [this, id, attempt, end] {
      asked& ended = mAsked.at(id);
      ended.mEnd = end;
      mReport.mBusySlotSeconds += InPeakSeconds(ended);
      const std::size_t entry = ended.mEntry;
      Carry(entry, mPaths[entry]->OnAttemptEnded(id, attempt, end, mNow));
    });
  }

  void On(const request::deliver& aDeliver)
  {
    const asked& request = mAsked.at(aDeliver.mRequest);
    class_report& counts = mReport.mClasses[request.mClass];
    const bool failed = request.mEnd.mStatus != 200;
    const bool late = mNow > request.mArrived + counts.mWithin;
    if (failed) {
      ++counts.mFailed;
    } else if (late) {
      ++counts.mLate;
    } else {
      ++counts.mInTime;
      mReport.mCallers[request.mCaller].mInTime += request.mInPeak ? 1 : 0;
      mReport.mUsefulSlotSeconds += InPeakSeconds(request);
    }
    mAsked.erase(aDeliver.mRequest);
  }

  void On(const request::refuse& aRefuse)
  {
    const request::refusal& why = aRefuse.mRefusal;
    const auto at = mAsked.find(aRefuse.mRequest);
    asked refused = std::move(at->second);
    mAsked.erase(at);
    const bool notRun = why.mOutcome == request::request_outcome::kNotRun;
    if (notRun && why.mRetryAfter.count() > 0 &&
        refused.mReturns < mLoad.mReturns) {
      ++refused.mReturns;
      At(mNow + why.mRetryAfter, [this, refused] { Send(refused); });
      return;
    }
    class_report& counts = mReport.mClasses[refused.mClass];
    const bool failed =
      !notRun || why.mCode == request::refusal_code::kEndpointFailed;
    ++(failed ? counts.mFailed : counts.mRefused);
  }

  void On(const request::drained_host& /*aDrained*/) {}

  // The part of the last attempt that lay in a peak of its pool.
  double InPeakSeconds(const asked& aRequest) const
  {
    const time_point start = PeakStart(aRequest.mPool, aRequest.mSent);
    const time_point from = std::max(aRequest.mSent, start);
    const time_point until = std::min(mNow, start + mLoad.mPeak);
    return from < until && start < End() ? seconds_double(until - from).count()
                                         : 0;
  }

  zone_load mLoad;
  std::mt19937_64 mRandom;
  std::uniform_real_distribution<double> mUnit{ 0, 1 };
  const time_point mStart{ std::chrono::hours(1) };
  time_point mNow = mStart;
  std::uint64_t mOrder = 0;
  request_id mLast = 0;
  std::priority_queue<event, std::vector<event>, std::greater<>> mEvents;
  std::vector<std::unique_ptr<request_path>> mPaths;
  std::vector<std::optional<time_point>> mWakes;
  std::map<request_id, asked> mAsked;
  zone_report mReport;
};

} // namespace

double
class_report::InTimeShare() const
{
  const std::uint64_t all = mInTime + mLate + mFailed;
  return all == 0 ? 1 : static_cast<double>(mInTime) / static_cast<double>(all);
}

double
zone_report::WorstInTimeShare() const
{
  double worst = 1;
  for (const auto& [name, counts] : mClasses) {
    worst = std::min(worst, counts.InTimeShare());
  }
  return worst;
}

double
zone_report::InTime() const
{
  return Part(&class_report::mInTime);
}

double
zone_report::Failed() const
{
  return Part(&class_report::mFailed);
}

double
zone_report::Part(std::uint64_t class_report::*aCount) const
{
  std::uint64_t counted = 0;
  std::uint64_t asked = 0;
  for (const auto& [name, counts] : mClasses) {
    counted += counts.*aCount;
    asked += counts.mAsked;
  }
  return static_cast<double>(counted) / static_cast<double>(asked);
}

double
zone_report::Served(const caller_name& aCaller) const
{
  const caller_report& counts = mCallers.at(aCaller);
  return static_cast<double>(counts.mInTime) /
         static_cast<double>(std::max<std::uint64_t>(1, counts.mAsked));
}

double
zone_report::ServedToOthers() const
{
  caller_report sum;
  for (const auto& [caller, counts] : mCallers) {
    if (caller != FirstCaller()) {
      sum.mAsked += counts.mAsked;
      sum.mInTime += counts.mInTime;
    }
  }
  return static_cast<double>(sum.mInTime) /
         static_cast<double>(std::max<std::uint64_t>(1, sum.mAsked));
}

caller_name
FirstCaller()
{
  return caller_name("caller-0");
}

zone_report
RunZone(const zone_load& aLoad, path_kind aPath, std::uint64_t aSeed)
{
  return zone_model(aLoad, aPath, aSeed).Run();
}

} // namespace mangospan::bench
