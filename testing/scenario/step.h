// One line of a scenario script, parsed.
#ifndef TESTING_SCENARIO_STEP_H
#define TESTING_SCENARIO_STEP_H

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace mangospan::scenario {

// What the load client sends, and how fast.
struct load_options
{
  double mRatePerSecond = 100;
  std::vector<std::string> mServices;
  std::chrono::milliseconds mDuration{ 5'000 };
  double mNonIdempotentShare = 0.5;
  bool mTickets = false; // non-idempotent requests carry a ticket
  int mResends = 0;      // of requests that were refused as not run
  std::chrono::milliseconds mServiceTime{ 20 };
  std::chrono::milliseconds mTimeout{ 15'000 };
  bool mDirect = false; // straight to the runners, not through the entries
};

struct step
{
  int mLine = 0;
  std::string mText;
  std::string mName;               // "load start" for nested ones
  std::vector<std::string> mWords; // positional, in order
  std::chrono::milliseconds mDuration{ 0 };
  std::chrono::milliseconds mWithin{ 8'000 };
  std::string mFrom = "all"; // cut: "platform", "peers" or "all"
  int mExpectedExit = 0;
  std::string mExpectedText;        // ctl: must stand in the output
  std::vector<std::string> mChange; // apply: a text and what replaces it
  load_options mLoad;
};

} // namespace mangospan::scenario

#endif // TESTING_SCENARIO_STEP_H
