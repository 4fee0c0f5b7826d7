#include "mangospan/ctl/internal/session.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "mangospan/base/error.h"
#include "mangospan/ctl/internal/await.h"
#include "mangospan/ctl/tool.h"

namespace mangospan::ctl {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kCallTimeout{ 3'000 };
constexpr milliseconds kRepeatDelay{ 200 };

} // namespace

session::session(environment& aEnvironment,
                 const std::string& aAddress,
                 time_point aDeadline)
  : mEnvironment(aEnvironment)
  , mStore(aEnvironment.mConnect(aAddress))
  , mAddress(aAddress)
  , mDeadline(aDeadline)
{
}

time_point
session::Now() const
{
  return mEnvironment.mClock.Now();
}

milliseconds
session::Remaining() const
{
  const auto left = std::chrono::duration_cast<milliseconds>(mDeadline - Now());
  return std::max(left, milliseconds(0));
}

void
session::Sleep(milliseconds aTime)
{
  mEnvironment.mSleep(std::min(aTime, Remaining()));
}

template<typename T, typename Start>
result<T>
session::AwaitOnce(const char* aStep, Start aStart)
{
  const milliseconds timeout = std::min(kCallTimeout, Remaining());
  if (timeout <= milliseconds(0)) {
    return error{
      error_code::kTimeout, aStep, mAddress, "the time for the command is over"
    };
  }
  return ctl::Await<T>(
    mEnvironment.mIo, aStep, mAddress, [&](platform::handler<T> aHandler) {
      aStart(timeout, std::move(aHandler));
    });
}

template<typename T, typename Start>
result<T>
session::AwaitRepeating(const char* aStep, Start aStart)
{
  while (true) {
    result<T> outcome = AwaitOnce<T>(aStep, aStart);
    const bool repeat =
      outcome.has_error() &&
      outcome.assume_error().mCode == error_code::kUnknownResult &&
      Remaining() > kRepeatDelay;
    if (!repeat) {
      return outcome;
    }
    Sleep(kRepeatDelay);
  }
}

result<std::optional<platform::record>>
session::Read(const std::string& aKey)
{
  return AwaitRepeating<std::optional<platform::record>>(
    "store.read", [this, &aKey](milliseconds aTimeout, auto aHandler) {
      mStore->Read(aKey, aTimeout, std::move(aHandler));
    });
}

result<std::vector<platform::record>>
session::List(const std::string& aPrefix)
{
  return AwaitRepeating<std::vector<platform::record>>(
    "store.list", [this, &aPrefix](milliseconds aTimeout, auto aHandler) {
      mStore->List(aPrefix, aTimeout, std::move(aHandler));
    });
}

result<platform::revision>
session::CompareAndSwap(const platform::swap_request& aRequest)
{
  return AwaitOnce<platform::revision>(
    "store.cas", [this, &aRequest](milliseconds aTimeout, auto aHandler) {
      mStore->CompareAndSwap(aRequest, aTimeout, std::move(aHandler));
    });
}

} // namespace mangospan::ctl
