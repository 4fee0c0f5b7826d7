#include "testing/scenario/conditions.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "mangospan/base/error.h"
#include "testing/scenario/deployment.h"
#include "testing/scenario/store_records.h"
#include "testing/scenario/world.h"

namespace mangospan::scenario {

namespace {

using nlohmann::json;
using words = std::vector<std::string>;

// A daemon's dump; an empty object if it does not answer.
json
StateOf(world& aWorld, const daemon_process& aDaemon)
{
  const auto text = aWorld.Ask(aDaemon.mName, "/state");
  const json state =
    text ? json::parse(text.assume_value(), nullptr, false) : json();
  return state.is_object() ? state : json::object();
}

std::uint64_t
ConfigRevisionOf(const json& aState)
{
  for (const char* key : { "config_revision", "configuration" }) {
    if (aState.contains(key)) {
      const json& value = aState.at(key);
      return value.is_object() ? value.value("revision", std::uint64_t{ 0 })
                               : value.get<std::uint64_t>();
    }
  }
  return 0;
}

bool
IsReady(world& aWorld, const words& /*aWords*/)
{
  const auto daemons = aWorld.RunningDaemons();
  return std::all_of(
    daemons.begin(), daemons.end(), [&](const daemon_process& aDaemon) {
      return aWorld.IsHealthy(aDaemon.mName);
    });
}

bool
IsInForce(world& aWorld, const words& /*aWords*/)
{
  const auto store = aWorld.Store();
  if (!store || store.assume_value().mConfigRevision == 0) {
    return false;
  }
  const std::uint64_t revision = store.assume_value().mConfigRevision;
  const auto daemons = aWorld.RunningDaemons();
  return std::all_of(
    daemons.begin(), daemons.end(), [&](const daemon_process& aDaemon) {
      return ConfigRevisionOf(StateOf(aWorld, aDaemon)) >= revision;
    });
}

bool
IsInPool(world& aWorld, const words& aWords)
{
  const auto store = aWorld.Store();
  if (!store) {
    return false;
  }
  const auto& hosts = store.assume_value().mHosts;
  const auto found = hosts.find(aWords[1]);
  return found != hosts.end() && found->second.mPool == aWords[2] &&
         found->second.mPhase == "serving";
}

bool
IsInPhase(world& aWorld, const words& aWords)
{
  const auto store = aWorld.Store();
  if (!store) {
    return false;
  }
  const auto& hosts = store.assume_value().mHosts;
  const auto found = hosts.find(aWords[1]);
  return found != hosts.end() && found->second.mPhase == aWords[2];
}

bool
IsWithoutMoves(world& aWorld, const words& /*aWords*/)
{
  const auto store = aWorld.Store();
  if (!store || store.assume_value().mHosts.empty()) {
    return false;
  }
  const auto& hosts = store.assume_value().mHosts;
  return std::all_of(hosts.begin(), hosts.end(), [](const auto& aHost) {
    return aHost.second.mPhase == "serving";
  });
}

bool
IsWaveDone(world& aWorld, const words& aWords)
{
  const auto store = aWorld.Store();
  if (!store) {
    return false;
  }
  const auto& hosts = store.assume_value().mHosts;
  const auto inPool = [&](const auto& aHost) {
    return aHost.second.mPool == aWords[1];
  };
  return std::any_of(hosts.begin(), hosts.end(), inPool) &&
         std::all_of(hosts.begin(), hosts.end(), [&](const auto& aHost) {
           return !inPool(aHost) || (!aHost.second.mWave.empty() &&
                                     aHost.second.mPhase == "serving");
         });
}

// How many running fleet processes say that they act for the zone; with a
// host, only that host's is asked.
std::ptrdiff_t
CountActing(world& aWorld, const std::string& aZone, const std::string& aHost)
{
  const auto daemons = aWorld.RunningDaemons();
  return std::count_if(
    daemons.begin(), daemons.end(), [&](const daemon_process& aDaemon) {
      return aDaemon.mKind == daemon_kind::kFleet && aDaemon.mZone == aZone &&
             (aHost.empty() || aDaemon.mHost == aHost) &&
             StateOf(aWorld, aDaemon).value("acting", false);
    });
}

bool
IsActing(world& aWorld, const words& aWords)
{
  return CountActing(aWorld, aWords[1], aWords.size() > 2 ? aWords[2] : "") > 0;
}

bool
IsOneActing(world& aWorld, const words& aWords)
{
  return CountActing(aWorld, aWords[1], "") == 1;
}

struct condition
{
  const char* mName;
  std::size_t mLeastWords; // the name among them
  std::size_t mMostWords;
  bool (*mHolds)(world&, const words&);
};

constexpr std::array<condition, 8> kConditions{ {
  { "ready", 1, 1, IsReady },
  { "in-force", 1, 1, IsInForce },
  { "in-pool", 3, 3, IsInPool },
  { "phase", 3, 3, IsInPhase },
  { "no-move", 1, 1, IsWithoutMoves },
  { "wave-done", 2, 2, IsWaveDone },
  { "acting", 2, 3, IsActing },
  { "one-acting", 2, 2, IsOneActing },
} };

} // namespace

result<bool>
CheckCondition(world& aWorld, const words& aWords)
{
  for (const condition& each : kConditions) {
    if (aWords.front() == each.mName && aWords.size() >= each.mLeastWords &&
        aWords.size() <= each.mMostWords) {
      return each.mHolds(aWorld, aWords);
    }
  }
  return error{ error_code::kInvalidArgument,
                "wait-until",
                aWords.front(),
                "is no condition, or has the wrong number of words" };
}

} // namespace mangospan::scenario
