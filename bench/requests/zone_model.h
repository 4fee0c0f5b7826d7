// One zone in virtual time: callers, entries, and endpoints with slots.
//
// Pools peak in turn, one after another; between its peaks a pool falls to a
// twentieth of its mean. The same arrivals and slot times are drawn for each
// request path:
//
//   zone_report report = RunZone(load, path_kind::kPipeline, seed);
//   report.Goodput();
#ifndef BENCH_REQUESTS_ZONE_MODEL_H
#define BENCH_REQUESTS_ZONE_MODEL_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "mangospan/base/identity.h"

namespace mangospan::bench {

enum class path_kind
{
  kFirstCome,
  kPipeline,
};

// How the first endpoint of each pool behaves; the others are good.
enum class first_endpoint
{
  kGood,
  kFailsAll, // answers 500 at once
  kHangs,    // accepts and never answers
  kDead,     // refuses connections
  kSlow,     // takes ten times as long
};

struct zone_load
{
  // Arrivals in a peak, as a multiple of what the pool's slots can serve. A
  // peak is five times the mean.
  double mPeakOfCapacity = 2;
  std::size_t mPools = 5;
  std::size_t mEndpoints = 4; // per pool, with eight slots each
  std::size_t mEntries = 2;
  std::size_t mCallers = 20;  // the first sends as much as all others do
  double mSlotTimeFactor = 1; // makes slot times longer, not targets
  // Makes slot times longer in the second half of each peak: a shared
  // dependency of all endpoints that slows down.
  double mSlowdown = 1;
  std::chrono::seconds mPeak{ 8 };
  int mRounds = 3; // peaks of each pool
  first_endpoint mFirst = first_endpoint::kGood;
  // How often a caller that was refused comes back after the time it was told;
  // each time with a new target.
  int mReturns = 0;
};

struct class_report
{
  double mTargetShare = 0;
  std::chrono::milliseconds mWithin{ 0 };
  std::uint64_t mAsked = 0;
  std::uint64_t mInTime = 0;
  std::uint64_t mLate = 0;
  std::uint64_t mRefused = 0; // as not run
  std::uint64_t mFailed = 0;  // an error answer, or unknown

  // Of what was let in.
  double InTimeShare() const;
};

struct caller_report
{
  std::uint64_t mAsked = 0; // in peaks
  std::uint64_t mInTime = 0;
};

struct zone_report
{
  std::map<class_name, class_report> mClasses;
  std::map<caller_name, caller_report> mCallers;
  double mUsefulSlotSeconds = 0; // in peaks, of answers in time
  double mBusySlotSeconds = 0;   // in peaks, of all attempts
  double mSlotSeconds = 0;       // in peaks, of all slots

  // Slot time in peaks that went into answers in time.
  double Goodput() const { return mUsefulSlotSeconds / mSlotSeconds; }

  // The lowest share in time that any class had of what was let in.
  double WorstInTimeShare() const;

  // Answers in time, of all requests.
  double InTime() const;

  // Requests with an error answer or an unknown outcome, of all.
  double Failed() const;

  // Slot time in peaks that went into any attempt.
  double Busy() const { return mBusySlotSeconds / mSlotSeconds; }

  // Answers in time among those asked for in peaks.
  double Served(const caller_name& aCaller) const;
  // The mean of it over all callers but the greedy first.
  double ServedToOthers() const;

private:
  double Part(std::uint64_t class_report::*aCount) const;
};

// The greedy caller.
caller_name
FirstCaller();

zone_report
RunZone(const zone_load& aLoad, path_kind aPath, std::uint64_t aSeed);

} // namespace mangospan::bench

#endif // BENCH_REQUESTS_ZONE_MODEL_H
