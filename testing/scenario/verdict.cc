#include "testing/scenario/verdict.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "mangospan/base/time.h"
#include "testing/endpoint/journal.h"
#include "testing/scenario/attempt.h"

namespace mangospan::scenario {

namespace {

std::string
Line(const char* aFinding, const attempt& aAttempt)
{
  return std::string(aFinding) + ": " + aAttempt.mId + " to " +
         aAttempt.mService + " through " + aAttempt.mTarget + ", " +
         Name(aAttempt.mFate) + " " + std::to_string(aAttempt.mStatus) + " " +
         aAttempt.mDetail;
}

// Whether the caller was left without an answer, refusal or known reason.
bool
IsLost(const attempt& aLast, const evidence& aEvidence)
{
  const bool interrupted = aEvidence.mInterrupted.count(aLast.mTarget) > 0;
  switch (aLast.mFate) {
    case fate::kPending:
    case fate::kNoAnswer:
      return !interrupted;
    case fate::kNotConnected:
      return !interrupted && aEvidence.mStopped.count(aLast.mTarget) == 0;
    default:
      return false;
  }
}

double
Quantile(std::vector<double>& aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  const auto rank = static_cast<std::size_t>(
    std::ceil(aShare * static_cast<double>(aValues.size())));
  return aValues[std::max<std::size_t>(rank, 1) - 1];
}

// The request's name without the attempt's number.
std::string
RequestOf(const std::string& aAttemptId)
{
  return aAttemptId.substr(0, aAttemptId.rfind('.'));
}

class judge
{
public:
  explicit judge(const evidence& aEvidence)
    : mEvidence(aEvidence)
  {
    for (const char* name : { "sent",
                              "answered",
                              "refused",
                              "unknown",
                              "not-connected",
                              "no-answer",
                              "lost",
                              "doubled",
                              "cut",
                              "untrue-not-run",
                              "crossed",
                              "ran" }) {
      mVerdict.mValues[name] = 0;
    }
    for (const standin::run& each : mEvidence.mRuns) {
      ++mRunsOfAttempt[each.mRequest];
      ++mRunsOfRequest[RequestOf(each.mRequest)];
    }
  }

  verdict Judged()
  {
    JudgeAttempts();
    JudgeRequests();
    JudgeRuns();
    return mVerdict;
  }

private:
  void Find(const char* aName, const attempt& aAttempt)
  {
    ++mVerdict.mValues[aName];
    mVerdict.mFindings.push_back(Line(aName, aAttempt));
  }

  void JudgeAttempts()
  {
    std::vector<double> latencies;
    for (const attempt& each : mEvidence.mAttempts) {
      if (each.mFate == fate::kForeign) {
        Find("crossed", each);
      }
      if (each.mFate == fate::kRefused && mRunsOfAttempt.count(each.mId) > 0) {
        Find("untrue-not-run", each);
      }
      if (each.mFate != fate::kAnswered) {
        ++mVerdict.mReasons[std::string(Name(each.mFate)) + " by " +
                            each.mTarget + ": " + each.mDetail];
      }
      if (each.mFate == fate::kAnswered) {
        latencies.push_back(
          std::chrono::duration<double, std::milli>(each.mEnded - each.mSent)
            .count());
      }
      mLast[each.mRequest] = &each;
    }
    constexpr double kMedian = 0.5;
    constexpr double kTail = 0.99;
    mVerdict.mValues["p50-ms"] = Quantile(latencies, kMedian);
    mVerdict.mValues["p99-ms"] = Quantile(latencies, kTail);
  }

  void JudgeRequests()
  {
    for (const auto& [request, last] : mLast) {
      ++mVerdict.mValues["sent"];
      ++mVerdict.mValues[Name(last->mFate)];
      if (IsLost(*last, mEvidence)) {
        Find("lost", *last);
      }
      const auto runs = mRunsOfRequest.find(request);
      if (!last->mIdempotent && runs != mRunsOfRequest.end() &&
          runs->second > 1) {
        Find("doubled", *last);
      }
    }
  }

  void JudgeRuns()
  {
    mVerdict.mValues["ran"] = static_cast<double>(mEvidence.mRuns.size());
    for (const standin::run& each : mEvidence.mRuns) {
      if (each.mOutcome == standin::run_outcome::kCutByStop) {
        ++mVerdict.mValues["cut"];
        mVerdict.mFindings.push_back("cut: " + each.mRequest + " on " +
                                     each.mRunner.Str());
      }
    }
  }

  const evidence& mEvidence;
  verdict mVerdict;
  std::map<std::string, int> mRunsOfAttempt;
  std::map<std::string, int> mRunsOfRequest;
  std::map<std::string, const attempt*> mLast; // by request
};

} // namespace

verdict
Judge(const evidence& aEvidence)
{
  return judge(aEvidence).Judged();
}

} // namespace mangospan::scenario
