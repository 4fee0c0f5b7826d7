// Logs: one line of key=value pairs for each event, on standard output. Their
// number a second is bounded; what is left out is counted in a line of its own.
//
//   ConfigureLog("entry", log_level::kInfo);
//   LogEvent(log_level::kInfo, "view.adopted",
//            { { "revision", 7 }, { "term", 3 } });
//   // ts=... level=info process=entry event=view.adopted revision=7 term=3
#ifndef MANGOSPAN_BASE_LOG_H
#define MANGOSPAN_BASE_LOG_H

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

#include "mangospan/base/error.h"
#include "mangospan/base/time.h"

namespace mangospan {

enum class log_level
{
  kDebug,
  kInfo,
  kWarning,
  kError,
};

// The level called `aName` ("debug", "info", "warning", "error").
result<log_level>
ParseLogLevel(std::string_view aName);

// Lets a number of lines a second pass and counts the others.
class log_limiter
{
public:
  explicit log_limiter(std::size_t aLinesPerSecond);

  // Whether a line may be printed at `aNow`.
  bool Admit(time_point aNow);
  // Lines refused in the seconds before the present one; zero once taken.
  std::size_t TakeDropped();

private:
  const std::size_t mLinesPerSecond;
  time_point mSecond{};
  std::size_t mPassed = 0;
  std::size_t mRefused = 0;
  std::size_t mDropped = 0;
};

// One pair of an event line. Text values are quoted where they need it.
struct log_field
{
  std::string mKey;
  std::string mValue;

  log_field(std::string_view aKey, std::string_view aValue);
  log_field(std::string_view aKey, const char* aValue);
  log_field(std::string_view aKey, const std::string& aValue);
  log_field(std::string_view aKey, bool aValue);
  log_field(std::string_view aKey, int aValue);
  log_field(std::string_view aKey, std::int64_t aValue);
  log_field(std::string_view aKey, std::uint64_t aValue);
  log_field(std::string_view aKey, double aValue);
};

// Sets the name and the lowest level printed by this process. Call it once,
// before the first event.
void
ConfigureLog(std::string_view aProcess, log_level aLowest);

// Prints one event. Safe to call from any thread.
void
LogEvent(log_level aLevel,
         std::string_view aEvent,
         std::initializer_list<log_field> aFields);

// The same with fields that were collected at run time.
void
LogEvent(log_level aLevel,
         std::string_view aEvent,
         const std::vector<log_field>& aFields);

// Prints an event for a failure, with its code, step, peer and message.
void
LogError(std::string_view aEvent, const error& aError);

// The line's pairs without time, level and process: for tests and dumps.
std::string
FormatFields(std::initializer_list<log_field> aFields);

} // namespace mangospan

#endif // MANGOSPAN_BASE_LOG_H
