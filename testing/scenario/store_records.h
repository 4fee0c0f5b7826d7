// What the platform's store says of the fleet, now and over its history.
//
//   const store_state now = ReadRecords(json);
//   const pool_history found = JudgeHistory(changes);
#ifndef TESTING_SCENARIO_STORE_RECORDS_H
#define TESTING_SCENARIO_STORE_RECORDS_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "mangospan/platform/store.h"

namespace mangospan::scenario {

struct host_placement
{
  std::string mPool;
  std::string mPhase;
  std::string mWave; // the last maintenance wave that it went through
};

struct store_state
{
  std::uint64_t mConfigRevision = 0; // 0: none
  std::map<std::string, host_placement> mHosts;
  std::map<std::string, std::string> mLeaders; // host of each zone's holder
};

// Reads the answer to GET /control/records.
store_state
ReadRecords(const std::string& aText);

// Reads the answer to GET /control/history.
std::vector<platform::change>
ReadHistory(const std::string& aText);

struct pool_history
{
  std::uint64_t mMoves = 0;             // a host's pool changed
  std::vector<std::string> mInTwoPools; // a line for each violation
};

// Follows `zones/*/hosts` change by change.
pool_history
JudgeHistory(const std::vector<platform::change>& aChanges);

} // namespace mangospan::scenario

#endif // TESTING_SCENARIO_STORE_RECORDS_H
