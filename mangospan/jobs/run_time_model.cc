#include "mangospan/jobs/run_time_model.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>

namespace mangospan::jobs {

namespace {

using std::chrono::milliseconds;

// A bucket spans a factor of 2^(1/4), 19%. The first and the last bucket also
// hold all ratios beyond them, which are 1/64 and 64.
constexpr double kBucketsPerDoubling = 4;
constexpr std::size_t kBucketOfOne = ratio_histogram::kBuckets / 2;
// The estimate weighs as much as so many runs at first, and keeps this part of
// its weight with every run.
constexpr double kPriorRuns = 3;
constexpr double kPriorKept = 0.93;
// The weight of a run falls to 1/e over so many later ones. A rare long run
// needs a long memory. A change of all run times shows in the short one.
constexpr double kLongMemoryRuns = 256;
constexpr double kShortMemoryRuns = 16;
// The class has changed if the median of the last runs differs from the earlier
// one by this factor and is outside the middle half of the earlier ones; the
// second condition holds off chance in a wide distribution.
constexpr double kMarkedChange = 1.5;
constexpr double kLowerQuartile = 0.25;
constexpr double kUpperQuartile = 0.75;
// Fewer runs do not show a change.
constexpr std::uint32_t kMinRunsForChange = 16;
constexpr std::uint32_t kMaxCountedRuns = 1'000'000;
constexpr double kMedian = 0.5;
// Bounds of what is stored: the roster is written each time a runner joins or
// leaves, within the bandwidth that a node may use for control.
constexpr std::size_t kMaxStoredClasses = 24;
constexpr std::size_t kMaxStoredParts = 12;
constexpr double kThousandths = 1'000;

double
LowerBound(std::size_t aBucket)
{
  return std::exp2(
    (static_cast<double>(aBucket) - static_cast<double>(kBucketOfOne) - 0.5) /
    kBucketsPerDoubling);
}

double
CenterOf(std::size_t aBucket)
{
  return std::exp2(
    (static_cast<double>(aBucket) - static_cast<double>(kBucketOfOne)) /
    kBucketsPerDoubling);
}

std::size_t
BucketOf(double aRatio)
{
  const double place = std::log2(aRatio) * kBucketsPerDoubling +
                       static_cast<double>(kBucketOfOne) + 0.5;
  return static_cast<std::size_t>(
    std::clamp(place, 0.0, static_cast<double>(ratio_histogram::kBuckets - 1)));
}

milliseconds
Times(milliseconds aEstimate, double aRatio)
{
  return milliseconds(
    std::llround(static_cast<double>(aEstimate.count()) * aRatio));
}

bool
DiffersMarkedly(double aOne, double aOther)
{
  return std::max(aOne, aOther) >= kMarkedChange * std::min(aOne, aOther);
}

} // namespace

void
ratio_histogram::Add(double aRatio)
{
  AddToBucket(BucketOf(aRatio), 1);
}

void
ratio_histogram::AddToBucket(std::size_t aBucket, double aWeight)
{
  mWeights[aBucket] += static_cast<float>(aWeight);
}

void
ratio_histogram::Scale(double aFactor)
{
  for (float& each : mWeights) {
    each *= static_cast<float>(aFactor);
  }
}

double
ratio_histogram::Total() const
{
  return std::accumulate(mWeights.begin(), mWeights.end(), 0.0);
}

double
ratio_histogram::Quantile(double aProbability) const
{
  double left = aProbability * Total();
  std::size_t last = 0;
  for (std::size_t i = 0; i < kBuckets; ++i) {
    const double weight = mWeights[i];
    if (weight <= 0) {
      continue;
    }
    if (left <= weight) {
      return LowerBound(i) * std::exp2(left / weight / kBucketsPerDoubling);
    }
    left -= weight;
    last = i;
  }
  return LowerBound(last + 1);
}

double
ratio_histogram::Mean() const
{
  double sum = 0;
  for (std::size_t i = 0; i < kBuckets; ++i) {
    sum += mWeights[i] * CenterOf(i);
  }
  return sum / Total();
}

std::optional<double>
ratio_histogram::MeanAbove(double aRatio) const
{
  double sum = 0;
  double total = 0;
  for (std::size_t i = 0; i < kBuckets; ++i) {
    const double low = std::max(LowerBound(i), aRatio);
    const double high = LowerBound(i + 1);
    if (low < high) {
      const double weight =
        mWeights[i] * std::log2(high / low) * kBucketsPerDoubling;
      sum += weight * std::sqrt(low * high);
      total += weight;
    }
  }
  return total > 0 ? std::optional(sum / total) : std::nullopt;
}

// Returns the distribution of the runs together with the caller's estimate.
ratio_histogram
run_time_model::WithPrior(const learned_class& aClass)
{
  ratio_histogram out = aClass.mLong;
  out.AddToBucket(kBucketOfOne,
                  kPriorRuns * std::pow(kPriorKept, aClass.mRuns));
  return out;
}

void
run_time_model::Derive(learned_class& aClass)
{
  const ratio_histogram all = WithPrior(aClass);
  aClass.mMedian = all.Quantile(kMedian);
  aClass.mMean = all.Mean();
}

std::optional<run_time_change>
run_time_model::Learn(const job_spec& aSpec,
                      std::size_t aStep,
                      milliseconds aRunTime,
                      time_point aNow)
{
  const milliseconds estimate = aSpec.mSteps[aStep].mEstimate;
  if (estimate.count() <= 0 || aRunTime.count() <= 0 || aStep >= kMaxSteps) {
    return std::nullopt;
  }
  const class_key key{ aSpec.mQueue, aStep };
  if (mClasses.count(key) == 0 && mClasses.size() >= kMaxClasses) {
    DropOldest();
  }
  learned_class& learned = mClasses[key];
  const double ratio = static_cast<double>(aRunTime.count()) /
                       static_cast<double>(estimate.count());
  learned.mLong.Scale(1 - 1 / kLongMemoryRuns);
  learned.mLong.Add(ratio);
  learned.mShort.Scale(1 - 1 / kShortMemoryRuns);
  learned.mShort.Add(ratio);
  learned.mRuns = std::min(learned.mRuns + 1, kMaxCountedRuns);
  learned.mLearnedAt = aNow;
  const double latest = learned.mShort.Quantile(kMedian);
  const bool isUnusual = latest < learned.mLong.Quantile(kLowerQuartile) ||
                         latest > learned.mLong.Quantile(kUpperQuartile);
  if (learned.mRuns >= kMinRunsForChange && isUnusual &&
      DiffersMarkedly(latest, learned.mLong.Quantile(kMedian))) {
    learned.mLong = learned.mShort; // the earlier runs are of another kind
  }
  Derive(learned);
  if (!DiffersMarkedly(learned.mMedian, learned.mReported)) {
    return std::nullopt;
  }
  return run_time_change{ std::exchange(learned.mReported, learned.mMedian),
                          learned.mMedian };
}

const run_time_model::learned_class*
run_time_model::Find(const job_spec& aSpec, std::size_t aStep) const
{
  const auto found = mClasses.find(
    std::pair<const queue_name&, std::size_t>(aSpec.mQueue, aStep));
  return found == mClasses.end() ? nullptr : &found->second;
}

milliseconds
run_time_model::Median(const job_spec& aSpec, std::size_t aStep) const
{
  const milliseconds estimate = aSpec.mSteps[aStep].mEstimate;
  const learned_class* const found = Find(aSpec, aStep);
  return found == nullptr ? estimate : Times(estimate, found->mMedian);
}

milliseconds
run_time_model::Mean(const job_spec& aSpec, std::size_t aStep) const
{
  const milliseconds estimate = aSpec.mSteps[aStep].mEstimate;
  const learned_class* const found = Find(aSpec, aStep);
  return found == nullptr ? estimate : Times(estimate, found->mMean);
}

milliseconds
run_time_model::Quantile(const job_spec& aSpec,
                         std::size_t aStep,
                         double aProbability) const
{
  const milliseconds estimate = aSpec.mSteps[aStep].mEstimate;
  const learned_class* const found = Find(aSpec, aStep);
  return found == nullptr
           ? estimate
           : Times(estimate, WithPrior(*found).Quantile(aProbability));
}

milliseconds
run_time_model::Remaining(const job_spec& aSpec,
                          std::size_t aStep,
                          milliseconds aAge) const
{
  const milliseconds estimate = aSpec.mSteps[aStep].mEstimate;
  const learned_class* const found = Find(aSpec, aStep);
  if (found == nullptr || estimate.count() <= 0) {
    return aAge < estimate ? estimate - aAge : aAge;
  }
  const auto total = WithPrior(*found).MeanAbove(
    static_cast<double>(aAge.count()) / static_cast<double>(estimate.count()));
  return total ? Times(estimate, *total) - aAge : aAge;
}

void
run_time_model::DropOldest()
{
  mClasses.erase(std::min_element(mClasses.begin(),
                                  mClasses.end(),
                                  [](const auto& aLeft, const auto& aRight) {
                                    return aLeft.second.mLearnedAt <
                                           aRight.second.mLearnedAt;
                                  }));
}

std::vector<run_time_summary>
run_time_model::Summary() const
{
  std::vector<std::pair<time_point, class_key>> latest;
  for (const auto& [key, each] : mClasses) {
    latest.emplace_back(each.mLearnedAt, key);
  }
  const std::size_t count = std::min(latest.size(), kMaxStoredClasses);
  std::partial_sort(latest.begin(),
                    latest.begin() + static_cast<std::ptrdiff_t>(count),
                    latest.end(),
                    std::greater<>());
  latest.resize(count);
  std::vector<run_time_summary> out;
  for (const auto& [learnedAt, key] : latest) {
    const learned_class& each = mClasses.at(key);
    run_time_summary entry{ key.first, key.second, each.mRuns, {} };
    const double total = each.mLong.Total();
    for (std::size_t i = 0; i < ratio_histogram::kBuckets; ++i) {
      const auto part = static_cast<std::uint32_t>(
        std::lround(each.mLong.WeightOf(i) / total * kThousandths));
      if (part > 0) {
        entry.mParts.emplace_back(i, part);
      }
    }
    const auto isLarger = [](const auto& aLeft, const auto& aRight) {
      return aLeft.second > aRight.second;
    };
    std::sort(entry.mParts.begin(), entry.mParts.end(), isLarger);
    entry.mParts.resize(std::min(entry.mParts.size(), kMaxStoredParts));
    out.push_back(std::move(entry));
  }
  return out;
}

bool
run_time_model::Restore(const std::vector<run_time_summary>& aSummaries,
                        time_point aNow)
{
  bool areValid = true;
  for (const run_time_summary& each : aSummaries) {
    const bool isValid =
      each.mStep < kMaxSteps && each.mRuns > 0 && !each.mParts.empty() &&
      std::all_of(
        each.mParts.begin(), each.mParts.end(), [](const auto& aPart) {
          return aPart.first < ratio_histogram::kBuckets && aPart.second > 0 &&
                 aPart.second <= kThousandths;
        });
    if (!isValid || mClasses.size() >= kMaxClasses) {
      areValid = false;
      continue;
    }
    learned_class& restored = mClasses[{ each.mQueue, each.mStep }];
    restored = learned_class{};
    restored.mRuns = std::min(each.mRuns, kMaxCountedRuns);
    for (const auto& [bucket, part] : each.mParts) {
      restored.mLong.AddToBucket(bucket, part);
    }
    // The sum of the weights of so many runs that fade.
    const auto weightOf = [&restored](double aMemoryRuns) {
      return aMemoryRuns * (1 - std::pow(1 - 1 / aMemoryRuns, restored.mRuns));
    };
    restored.mLong.Scale(1 / restored.mLong.Total());
    restored.mShort = restored.mLong;
    restored.mLong.Scale(weightOf(kLongMemoryRuns));
    restored.mShort.Scale(weightOf(kShortMemoryRuns));
    restored.mLearnedAt = aNow;
    Derive(restored);
    restored.mReported = restored.mMedian;
  }
  return areValid;
}

} // namespace mangospan::jobs
