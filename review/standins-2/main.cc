// mangospan-review-2 CASE RECORD: runs one scripted case of the review.
#include <cstdlib>
#include <iostream>
#include <map>
#include <string>

#include "mangospan/base/log.h"
#include "review/standins-2/scenarios.h"

int
main(int aCount, char** aArguments)
{
  using namespace mangospan::review;
  const std::map<std::string, int (*)(const std::string&, bool)> cases{
    { "cancelled-after-move", &CancelledAfterMove },
    { "cancelled-at-stale-owner", &CancelledAtStaleOwner },
    { "lost-runner", &LostRunner },
    { "foreign-entry", &ForeignEntry },
    { "late-upkeep", &LateUpkeep },
  };
  const auto found = aCount == 3 ? cases.find(aArguments[1]) : cases.end();
  if (found == cases.end()) {
    std::cerr << "usage: mangospan-review-2 CASE RECORD\n";
    return kCouldNotRun;
  }
  mangospan::ConfigureLog("review", mangospan::log_level::kError);
  const char* const trouble = std::getenv("TROUBLE");
  const bool isTroubled = trouble == nullptr || std::string(trouble) != "0";
  return found->second(aArguments[2], isTroubled);
}
