// Learns how long tasks run from the runs that have finished.
//
// The model holds, for each queue and step index, the distribution of the ratio
// of run time to the caller's estimate. A ratio also applies to jobs of other
// sizes. The estimate is the prior: without finished runs the ratio is 1.
//
//   run_time_model model;
//   model.Learn(spec, step, runTime, now);
//   model.Median(spec, step);
#ifndef MANGOSPAN_JOBS_RUN_TIME_MODEL_H
#define MANGOSPAN_JOBS_RUN_TIME_MODEL_H

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <utility>
#include <vector>

#include "mangospan/base/time.h"
#include "mangospan/jobs/run_times.h"
#include "mangospan/jobs/spec.h"

namespace mangospan::jobs {

// What is learned of one queue and step index, as a stored record holds it.
struct run_time_summary
{
  queue_name mQueue;
  std::size_t mStep = 0;
  std::uint32_t mRuns = 0; // that were learned from
  // Buckets of the distribution with their parts of it, in thousandths.
  std::vector<std::pair<std::size_t, std::uint32_t>> mParts;
};

// A marked change of the expected run times of a queue and step index. Both
// values are medians of the ratio of run time to estimate.
struct run_time_change
{
  double mFrom = 1;
  double mTo = 1;
};

// Weights of ratios in buckets of equal width on a logarithmic scale.
//
// The quantile estimators of Boost.Accumulators are not used: they keep marker
// positions that count all samples equally, so they can not forget, and their
// state can be neither stored nor read back.
class ratio_histogram
{
public:
  static constexpr std::size_t kBuckets = 49;

  void Add(double aRatio);
  void AddToBucket(std::size_t aBucket, double aWeight);
  // Multiplies all weights.
  void Scale(double aFactor);
  double Total() const;
  double WeightOf(std::size_t aBucket) const { return mWeights[aBucket]; }
  // The functions below require a total above 0.
  double Quantile(double aProbability) const;
  double Mean() const;
  // Returns the mean of the ratios above `aRatio`, or nothing if there are
  // none.
  std::optional<double> MeanAbove(double aRatio) const;

private:
  std::array<float, kBuckets> mWeights{};
};

// The learned run times of the queues of one owner. Its size is bounded; the
// queues and steps that were learned longest ago are dropped first.
class run_time_model : public run_time_source
{
public:
  static constexpr std::size_t kMaxClasses = 512;
  // Steps from this index on are not learned.
  static constexpr std::size_t kMaxSteps = 32;

  // Notes that a task of the step ran for `aRunTime`. Returns the change if the
  // expected time has changed markedly since the last change that was returned.
  std::optional<run_time_change> Learn(const job_spec& aSpec,
                                       std::size_t aStep,
                                       std::chrono::milliseconds aRunTime,
                                       time_point aNow);

  std::chrono::milliseconds Median(const job_spec& aSpec,
                                   std::size_t aStep) const override;
  std::chrono::milliseconds Mean(const job_spec& aSpec,
                                 std::size_t aStep) const override;
  // Returns the time that only the part 1 - `aProbability` of the runs exceeds.
  std::chrono::milliseconds Quantile(const job_spec& aSpec,
                                     std::size_t aStep,
                                     double aProbability) const;
  // Returns the mean remaining time of a run that still goes on at `aAge`. If
  // no run was seen to take longer, that is its age.
  std::chrono::milliseconds Remaining(const job_spec& aSpec,
                                      std::size_t aStep,
                                      std::chrono::milliseconds aAge) const;

  // Returns the number of queues and step indexes with evidence.
  std::size_t CountClasses() const { return mClasses.size(); }

  // Returns what was learned most recently, for a successor. The result is of
  // bounded size.
  std::vector<run_time_summary> Summary() const;
  // Takes over what an earlier owner has learned. Returns false if an entry is
  // invalid; such entries are left out.
  bool Restore(const std::vector<run_time_summary>& aSummaries,
               time_point aNow);

private:
  using class_key = std::pair<queue_name, std::size_t>;
  // Looks classes up without a copy of the name.
  struct is_key_less
  {
    using is_transparent = void;
    template<typename Left, typename Right>
    bool operator()(const Left& aLeft, const Right& aRight) const
    {
      return std::tie(aLeft.second, aLeft.first) <
             std::tie(aRight.second, aRight.first);
    }
  };
  struct learned_class
  {
    ratio_histogram mLong;  // for the quantiles and the mean
    ratio_histogram mShort; // of the last runs, to find changes
    std::uint32_t mRuns = 0;
    time_point mLearnedAt{};
    // Derived from the histograms, since they are read far more often than
    // changed.
    double mMedian = 1;
    double mMean = 1;
    double mReported = 1; // the median in the last returned change
  };

  static ratio_histogram WithPrior(const learned_class& aClass);
  static void Derive(learned_class& aClass);
  const learned_class* Find(const job_spec& aSpec, std::size_t aStep) const;
  void DropOldest();

  std::map<class_key, learned_class, is_key_less> mClasses;
};

} // namespace mangospan::jobs

#endif // MANGOSPAN_JOBS_RUN_TIME_MODEL_H
