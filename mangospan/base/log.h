// Logs: one line of key=value pairs for each event, on standard error.
//
//   ConfigureLog("entry", log_level::kInfo);
//   LogEvent(log_level::kInfo, "view.adopted",
//            { { "revision", 7 }, { "term", 3 } });
//   // ts=... level=info process=entry event=view.adopted revision=7 term=3
#ifndef MANGOSPAN_BASE_LOG_H
#define MANGOSPAN_BASE_LOG_H

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

#include "mangospan/base/error.h"

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
