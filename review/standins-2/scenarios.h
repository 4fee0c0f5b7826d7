// The scripted cases. Each returns the exit code of its script: 0 if the rule
// held, 1 if it was broken, 2 if the case could not run.
#ifndef REVIEW_STANDINS_2_SCENARIOS_H
#define REVIEW_STANDINS_2_SCENARIOS_H

#include <string>

namespace mangospan::review {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

// `aIsTroubled` says whether the disruption takes place.
int
CancelledAfterMove(const std::string& aRecordFile, bool aIsTroubled);
int
CancelledAtStaleOwner(const std::string& aRecordFile, bool aIsTroubled);
int
LostRunner(const std::string& aRecordFile, bool aIsTroubled);
int
ForeignEntry(const std::string& aRecordFile, bool aIsTroubled);
int
LateUpkeep(const std::string& aRecordFile, bool aIsTroubled);

} // namespace mangospan::review

#endif // REVIEW_STANDINS_2_SCENARIOS_H
