// What goes wrong with the stand-in's answers, set by POST /control.
//
//   faults faults;
//   faults.SetOutage(clock.Now() + std::chrono::seconds(2));
//   if (faults.Unreachable(zone, clock.Now())) { ... }
#ifndef TESTING_PLATFORM_FAULTS_H
#define TESTING_PLATFORM_FAULTS_H

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "mangospan/base/time.h"

namespace mangospan::standin {

class faults
{
public:
  // An outage until `aEnd`; `time_point::max()` lasts until it is cleared.
  void SetOutage(std::optional<time_point> aEnd) { mOutageEnd = aEnd; }
  void SetDelay(std::chrono::milliseconds aDelay) { mDelay = aDelay; }
  void LoseAnswers(std::uint64_t aCount) { mAnswersToLose = aCount; }
  void CutZones(std::set<std::string> aZones) { mCutZones = std::move(aZones); }

  // True if a caller of that zone (empty: unknown) gets no answer at all.
  bool Unreachable(std::string_view aZone, time_point aNow) const
  {
    return (mOutageEnd && aNow < *mOutageEnd) ||
           mCutZones.count(std::string(aZone)) > 0;
  }
  std::chrono::milliseconds Delay() const { return mDelay; }
  // True if the answer to the write just carried out is to be lost.
  bool TakeLostAnswer()
  {
    if (mAnswersToLose == 0) {
      return false;
    }
    --mAnswersToLose;
    return true;
  }

private:
  std::optional<time_point> mOutageEnd;
  std::chrono::milliseconds mDelay{ 0 };
  std::uint64_t mAnswersToLose = 0;
  std::set<std::string> mCutZones;
};

} // namespace mangospan::standin

#endif // TESTING_PLATFORM_FAULTS_H
