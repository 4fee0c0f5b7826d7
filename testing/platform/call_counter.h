// Counts the calls to the stand-in by kind, and the most in any second.
//
//   call_counter calls;
//   calls.Count("write", clock.Now());
#ifndef TESTING_PLATFORM_CALL_COUNTER_H
#define TESTING_PLATFORM_CALL_COUNTER_H

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "mangospan/base/time.h"

namespace mangospan::standin {

struct call_count
{
  std::uint64_t mTotal = 0;
  std::uint64_t mMostInOneSecond = 0;
};

class call_counter
{
public:
  void Count(std::string_view aKind, time_point aNow);
  std::map<std::string, call_count> Counts() const;

private:
  struct tally
  {
    call_count mCount;
    std::int64_t mSecond = 0;
    std::uint64_t mInSecond = 0;
  };
  std::map<std::string, tally> mTallies;
};

} // namespace mangospan::standin

#endif // TESTING_PLATFORM_CALL_COUNTER_H
