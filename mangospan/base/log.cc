#include "mangospan/base/log.h"

#include <cstdint>
#include <cstdio>
#include <initializer_list>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <easylogging++.h>

#include "mangospan/base/error.h"

INITIALIZE_EASYLOGGINGPP

namespace mangospan {

namespace {

constexpr std::size_t kMaxLinesPerSecond = 1'000;

log_level gLowest = log_level::kInfo;
std::string gProcess = "mangospan";

bool
NeedsQuotes(std::string_view aText)
{
  return aText.empty() ||
         aText.find_first_of(" \"=\n\r\t\\") != std::string_view::npos;
}

// A value with blanks, quotes or line ends would break the one-line form.
std::string
Quote(std::string_view aText)
{
  if (!NeedsQuotes(aText)) {
    return std::string(aText);
  }
  std::string quoted = "\"";
  for (const char c : aText) {
    if (c == '"' || c == '\\') {
      quoted += '\\';
      quoted += c;
    } else if (c == '\n' || c == '\r' || c == '\t') {
      quoted += ' ';
    } else {
      quoted += c;
    }
  }
  return quoted + "\"";
}

const std::map<std::string_view, log_level>&
LevelsByName()
{
  static const std::map<std::string_view, log_level> kLevels{
    { "debug", log_level::kDebug },
    { "info", log_level::kInfo },
    { "warning", log_level::kWarning },
    { "error", log_level::kError },
  };
  return kLevels;
}

std::string_view
LevelName(log_level aLevel)
{
  for (const auto& [text, level] : LevelsByName()) {
    if (level == aLevel) {
      return text;
    }
  }
  return "info";
}

template<typename Fields>
std::string
Join(const Fields& aFields)
{
  std::string line;
  for (const log_field& field : aFields) {
    line += (line.empty() ? "" : " ") + field.mKey + "=" + field.mValue;
  }
  return line;
}

template<typename Fields>
void
Print(log_level aLevel, std::string_view aEvent, const Fields& aFields)
{
  if (aLevel < gLowest) {
    return;
  }
  static std::mutex lock;
  static log_limiter limiter(kMaxLinesPerSecond);
  const std::lock_guard<std::mutex> guard(lock);
  if (!limiter.Admit(boot_clock::now())) {
    return;
  }
  if (const std::size_t dropped = limiter.TakeDropped()) {
    LOG(INFO) << "level=warning process=" << gProcess
              << " event=log.dropped lines=" << dropped;
  }
  std::string line = "level=" + std::string(LevelName(aLevel)) +
                     " process=" + gProcess + " event=" + std::string(aEvent);
  if (aFields.size() > 0) {
    line += " " + Join(aFields);
  }
  LOG(INFO) << line;
}

} // namespace

log_limiter::log_limiter(std::size_t aLinesPerSecond)
  : mLinesPerSecond(aLinesPerSecond)
{
}

bool
log_limiter::Admit(time_point aNow)
{
  if (aNow - mSecond >= std::chrono::seconds(1)) {
    mSecond = aNow;
    mDropped += mRefused;
    mPassed = 0;
    mRefused = 0;
  }
  if (mPassed == mLinesPerSecond) {
    ++mRefused;
    return false;
  }
  ++mPassed;
  return true;
}

std::size_t
log_limiter::TakeDropped()
{
  return std::exchange(mDropped, 0);
}

result<log_level>
ParseLogLevel(std::string_view aName)
{
  const auto found = LevelsByName().find(aName);
  if (found == LevelsByName().end()) {
    return error{ error_code::kInvalidArgument,
                  "log.level",
                  "",
                  "'" + std::string(aName) +
                    "' is not one of debug, info, warning, error" };
  }
  return found->second;
}

log_field::log_field(std::string_view aKey, std::string_view aValue)
  : mKey(aKey)
  , mValue(Quote(aValue))
{
}
log_field::log_field(std::string_view aKey, const char* aValue)
  : log_field(aKey, std::string_view(aValue))
{
}
log_field::log_field(std::string_view aKey, const std::string& aValue)
  : log_field(aKey, std::string_view(aValue))
{
}
log_field::log_field(std::string_view aKey, bool aValue)
  : log_field(aKey, std::string_view(aValue ? "true" : "false"))
{
}
log_field::log_field(std::string_view aKey, int aValue)
  : log_field(aKey, std::to_string(aValue))
{
}
log_field::log_field(std::string_view aKey, std::int64_t aValue)
  : log_field(aKey, std::to_string(aValue))
{
}
log_field::log_field(std::string_view aKey, std::uint64_t aValue)
  : log_field(aKey, std::to_string(aValue))
{
}
log_field::log_field(std::string_view aKey, double aValue)
  : log_field(aKey, std::to_string(aValue))
{
}

void
ConfigureLog(std::string_view aProcess, log_level aLowest)
{
  gProcess = aProcess;
  gLowest = aLowest;
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  configuration.setGlobally(el::ConfigurationType::Format,
                            "ts=%datetime{%Y-%M-%dT%H:%m:%s.%g} %msg");
  el::Loggers::reconfigureAllLoggers(configuration);
}

std::string
FormatFields(std::initializer_list<log_field> aFields)
{
  return Join(aFields);
}

void
LogEvent(log_level aLevel,
         std::string_view aEvent,
         std::initializer_list<log_field> aFields)
{
  Print(aLevel, aEvent, aFields);
}

void
LogEvent(log_level aLevel,
         std::string_view aEvent,
         const std::vector<log_field>& aFields)
{
  Print(aLevel, aEvent, aFields);
}

void
LogError(std::string_view aEvent, const error& aError)
{
  LogEvent(log_level::kWarning,
           aEvent,
           { { "code", Name(aError.mCode) },
             { "step", aError.mStep },
             { "peer", aError.mPeer },
             { "message", aError.mMessage } });
}

} // namespace mangospan
