// Calls the platform's store and waits for each answer.
//
//   BOOST_OUTCOME_TRY(held, session.Read("config/current"));
//
// Errors carry the platform's address as peer.
#ifndef MANGOSPAN_CTL_INTERNAL_SESSION_H
#define MANGOSPAN_CTL_INTERNAL_SESSION_H

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "mangospan/base/error.h"
#include "mangospan/base/time.h"
#include "mangospan/ctl/tool.h"
#include "mangospan/platform/store.h"

namespace mangospan::ctl {

class session
{
public:
  session(environment& aEnvironment,
          const std::string& aAddress,
          time_point aDeadline);

  // A read whose answer was lost is repeated until the deadline.
  result<std::optional<platform::record>> Read(const std::string& aKey);
  result<std::vector<platform::record>> List(const std::string& aPrefix);

  // Sent once.
  result<platform::revision> CompareAndSwap(
    const platform::swap_request& aRequest);

  time_point Now() const;
  std::chrono::milliseconds Remaining() const;

  // Waits, but not beyond the deadline.
  void Sleep(std::chrono::milliseconds aTime);

private:
  template<typename T, typename Start>
  result<T> AwaitOnce(const char* aStep, Start aStart);
  template<typename T, typename Start>
  result<T> AwaitRepeating(const char* aStep, Start aStart);

  environment& mEnvironment;
  std::unique_ptr<platform::store> mStore;
  std::string mAddress;
  time_point mDeadline;
};

} // namespace mangospan::ctl

#endif // MANGOSPAN_CTL_INTERNAL_SESSION_H
