#include <algorithm>
#include <cstddef>
#include <iostream>
#include <random>
#include <vector>

#include "bench/fleet/bench_parts.h"

namespace mangospan::bench {

namespace {

constexpr std::size_t kZones = 31;
constexpr int kHopMs = 40; // one way between zones of distant regions
constexpr int kRounds = 2000;

struct spread
{
  std::size_t mMessages = 0;
  std::size_t mHops = 0;
  std::size_t mReached = 0;
};

// A zone passes a revision that is new to it to each of its neighbours. Zones
// that reach the platform have it from there in one hop.
template<typename Neighbours, typename Linked>
spread
Spread(const std::vector<bool>& aHasPlatform,
       Neighbours aNeighbours,
       Linked aLinked)
{
  std::vector<bool> knows = aHasPlatform;
  std::vector<std::size_t> last;
  for (std::size_t i = 0; i < kZones; ++i) {
    if (knows[i]) {
      last.push_back(i);
    }
  }
  spread result{ last.size(), 1, last.size() };
  for (std::size_t hop = 2; !last.empty(); ++hop) {
    std::vector<std::size_t> next;
    for (const std::size_t from : last) {
      for (const std::size_t to : aNeighbours(from)) {
        ++result.mMessages;
        if (!knows[to] && aLinked(from, to)) {
          knows[to] = true;
          next.push_back(to);
          result.mHops = hop;
        }
      }
    }
    result.mReached += next.size();
    last = std::move(next);
  }
  return result;
}

void
Print(const char* aName, std::size_t aCut, const std::vector<spread>& aRounds)
{
  double messages = 0;
  double reached = 0;
  std::size_t hops = 0;
  for (const spread& each : aRounds) {
    messages += static_cast<double>(each.mMessages);
    reached += static_cast<double>(each.mReached);
    hops = std::max(hops, each.mHops);
  }
  std::cout << aName << "\t" << aCut << "\t" << messages / kRounds << "\t"
            << hops * kHopMs << "\t" << reached / kRounds / kZones * 100
            << "\n";
}

} // namespace

void
BenchSpread(std::uint64_t aSeed)
{
  std::cout << "\nspread of a revision, 31 zones, a tenth of the links between "
               "zones down: way zones_cut_from_platform messages longest_ms "
               "zones_reached_%\n";
  for (const std::size_t cut : { 0, 1, 4, 30 }) {
    std::minstd_rand random(
      static_cast<std::minstd_rand::result_type>(aSeed + cut));
    std::vector<spread> ring;
    std::vector<spread> mesh;
    std::vector<spread> platform;
    for (int round = 0; round < kRounds; ++round) {
      std::vector<bool> has(kZones, true);
      std::fill(has.begin(), has.begin() + static_cast<long>(cut), false);
      std::shuffle(has.begin(), has.end(), random);
      std::vector<std::vector<bool>> up(kZones, std::vector<bool>(kZones));
      for (std::size_t i = 0; i < kZones; ++i) {
        for (std::size_t j = 0; j < i; ++j) {
          up[i][j] = up[j][i] = random() % 10 != 0;
        }
      }
      const auto linked = [&](std::size_t aFrom, std::size_t aTo) {
        return up[aFrom][aTo];
      };
      ring.push_back(Spread(
        has,
        [](std::size_t aZone) {
          return std::vector<std::size_t>{ (aZone + 1) % kZones,
                                           (aZone + kZones - 1) % kZones };
        },
        linked));
      mesh.push_back(Spread(
        has,
        [](std::size_t aZone) {
          std::vector<std::size_t> others;
          for (std::size_t i = 0; i < kZones; ++i) {
            if (i != aZone) {
              others.push_back(i);
            }
          }
          return others;
        },
        linked));
      platform.push_back(Spread(
        has, [](std::size_t) { return std::vector<std::size_t>{}; }, linked));
    }
    Print("ring", cut, ring);
    Print("mesh", cut, mesh);
    Print("platform", cut, platform);
  }
}

} // namespace mangospan::bench
