// The fleet that the stand-ins play: hosts with their addresses, as JSON.
//
// The scenario runner fills the addresses in; both stand-ins read the result:
//
//   BOOST_OUTCOME_TRY(auto fleet, standin::LoadFleet("fleet.json"));
#ifndef TESTING_FLEET_FLEET_FILE_H
#define TESTING_FLEET_FLEET_FILE_H

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mangospan/base/error.h"
#include "mangospan/platform/hosts.h"

namespace mangospan::standin {

struct fleet_file
{
  std::chrono::milliseconds mListLag{ 500 };
  std::chrono::milliseconds mRebootTime{ 500 };
  std::string mEndpointControl; // "ip:port" of standin-endpoint's control
  std::vector<platform::host_info> mHosts;

  // The host of that name, or null.
  const platform::host_info* Find(std::string_view aHost) const;
};

// Reads JSON with comments. Errors: kNotFound, or kInvalidArgument with the
// file as peer.
result<fleet_file>
LoadFleet(const std::string& aFile);

result<fleet_file>
ParseFleet(std::string_view aText, std::string_view aSource);

std::string
FormatFleet(const fleet_file& aFleet);

// A list of hosts as the platform's JSON.
std::string
FormatHosts(const platform::host_list& aList);

// The names used in JSON.
const char*
Name(platform::host_state aState);
std::optional<platform::host_state>
ParseHostState(std::string_view aName);

} // namespace mangospan::standin

#endif // TESTING_FLEET_FLEET_FILE_H
