#include "mangospan/config/internal/units.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

#include <nlohmann/json.hpp>

#include "mangospan/base/error.h"
#include "mangospan/json/checked_json.h"

namespace mangospan::config {

namespace {

using json::location;
using std::chrono::milliseconds;
using std::chrono::minutes;

struct time_unit
{
  std::string_view mName;
  milliseconds mLength;
};

constexpr std::array<time_unit, 5> kTimeUnits{ {
  { "d", std::chrono::hours(24) },
  { "h", std::chrono::hours(1) },
  { "m", minutes(1) },
  { "s", std::chrono::seconds(1) },
  { "ms", milliseconds(1) },
} };

// Longer texts of digits would overflow; ten years are below this.
constexpr std::size_t kMaxDigits = 9;
constexpr milliseconds kMaxDuration = std::chrono::hours(24 * 3660);

// Shares are kept to the ten-thousandth of a percent, so that they are written
// back exactly as they were read.
constexpr int kPercentDecimals = 4;
constexpr double kShareUnits = 1'000'000;

constexpr minutes kDay = std::chrono::hours(24);

bool
IsDigit(char aByte)
{
  return aByte >= '0' && aByte <= '9';
}

std::optional<std::uint64_t>
ParseDigits(std::string_view aText)
{
  std::uint64_t number = 0;
  const bool digits = !aText.empty() && aText.size() <= kMaxDigits &&
                      std::all_of(aText.begin(), aText.end(), IsDigit);
  if (!digits) {
    return std::nullopt;
  }
  std::from_chars(aText.data(), aText.data() + aText.size(), number);
  return number;
}

std::optional<milliseconds>
ParseDuration(std::string_view aText)
{
  const auto unitStart =
    std::find_if_not(aText.begin(), aText.end(), IsDigit) - aText.begin();
  const auto digits = static_cast<std::size_t>(unitStart);
  const auto count = ParseDigits(aText.substr(0, digits));
  if (!count) {
    return std::nullopt;
  }
  for (const time_unit& unit : kTimeUnits) {
    if (aText.substr(digits) == unit.mName) {
      const milliseconds duration =
        unit.mLength * static_cast<std::int64_t>(*count);
      return duration <= kMaxDuration ? std::optional(duration) : std::nullopt;
    }
  }
  return std::nullopt;
}

std::string
DurationText(milliseconds aDuration)
{
  for (const time_unit& unit : kTimeUnits) {
    if (aDuration.count() != 0 && aDuration % unit.mLength == milliseconds(0)) {
      return std::to_string(aDuration / unit.mLength) + std::string(unit.mName);
    }
  }
  return std::to_string(aDuration.count()) + "ms";
}

// "99.95%" as a share, without rounding on the way.
std::optional<double>
ParseShare(std::string_view aText)
{
  if (aText.empty() || aText.back() != '%') {
    return std::nullopt;
  }
  aText.remove_suffix(1);
  const std::size_t point = std::min(aText.find('.'), aText.size());
  std::string digits(aText.substr(0, point));
  std::string_view decimals;
  if (point < aText.size()) {
    decimals = aText.substr(point + 1);
    if (decimals.empty() || decimals.size() > kPercentDecimals) {
      return std::nullopt;
    }
  }
  if (digits.empty()) {
    return std::nullopt;
  }
  digits += decimals;
  digits.append(kPercentDecimals - decimals.size(), '0');
  const auto units = ParseDigits(digits);
  if (!units || static_cast<double>(*units) > kShareUnits) {
    return std::nullopt;
  }
  return static_cast<double>(*units) / kShareUnits;
}

std::string
ShareText(double aShare)
{
  const auto units =
    static_cast<std::uint64_t>(std::llround(aShare * kShareUnits));
  constexpr std::uint64_t kUnitsPerPercent = 10'000;
  std::string text = std::to_string(units / kUnitsPerPercent);
  std::string decimals = std::to_string(units % kUnitsPerPercent);
  decimals.insert(0, kPercentDecimals - decimals.size(), '0');
  decimals.erase(decimals.find_last_not_of('0') + 1);
  if (!decimals.empty()) {
    text += "." + decimals;
  }
  return text + "%";
}

// "04:30" as minutes since midnight; 24:00 is the end of the day.
std::optional<minutes>
ParseTimeOfDay(std::string_view aText)
{
  constexpr std::size_t kLength = 5;
  constexpr std::size_t kColon = 2;
  if (aText.size() != kLength || aText[kColon] != ':') {
    return std::nullopt;
  }
  const auto hour = ParseDigits(aText.substr(0, kColon));
  const auto minute = ParseDigits(aText.substr(kColon + 1));
  if (!hour || !minute || *minute >= 60) {
    return std::nullopt;
  }
  const minutes time = std::chrono::hours(*hour) + minutes(*minute);
  return time <= kDay ? std::optional(time) : std::nullopt;
}

std::string
TimeOfDayText(minutes aTime)
{
  std::array<char, 16> text{};
  std::snprintf(text.data(),
                text.size(),
                "%02d:%02d",
                static_cast<int>(aTime.count() / 60 % 100),
                static_cast<int>(aTime.count() % 60));
  return text.data();
}

error
RefuseText(const location& aWhere,
           const std::string& aText,
           const std::string& aDue)
{
  return json::Refuse(aWhere, "'" + aText + "' is not " + aDue);
}

template<typename Duration>
status
ReadDuration(const nlohmann::json& aValue,
             const location& aWhere,
             const char* aUnit,
             Duration& aInto)
{
  std::string text;
  BOOST_OUTCOME_TRY(json::ReadValue(aValue, aWhere, text));
  const auto duration = ParseDuration(text);
  if (!duration) {
    return RefuseText(aWhere,
                      text,
                      "a duration: a whole number with one of the units ms, "
                      "s, m, h, d, at most ten years, for example \"14d\"");
  }
  aInto = std::chrono::duration_cast<Duration>(*duration);
  if (aInto != *duration) {
    return RefuseText(aWhere, text, std::string("a whole number of ") + aUnit);
  }
  return boost::outcome_v2::success();
}

} // namespace

status
ReadValue(const nlohmann::json& aValue,
          const location& aWhere,
          availability_budget& aInto)
{
  aInto = {};
  if (aValue.is_number()) {
    std::size_t count = 0;
    BOOST_OUTCOME_TRY(json::ReadValue(aValue, aWhere, count));
    aInto.mCount = count;
    return boost::outcome_v2::success();
  }
  if (!aValue.is_string()) {
    return json::Refuse(
      aWhere, "a number of hosts or a share such as \"25%\" is due here");
  }
  const auto text = aValue.get<std::string>();
  aInto.mShare = ParseShare(text);
  if (!aInto.mShare) {
    return RefuseText(aWhere,
                      text,
                      "a share from \"0%\" to \"100%\" with at most 4 "
                      "decimals; a number of hosts is written without quotes");
  }
  return boost::outcome_v2::success();
}

nlohmann::json
WriteValue(const availability_budget& aBudget)
{
  if (aBudget.mCount) {
    return *aBudget.mCount;
  }
  return ShareText(aBudget.mShare.value_or(0));
}

status
ReadValue(const nlohmann::json& aValue, const location& aWhere, target& aInto)
{
  std::string text;
  BOOST_OUTCOME_TRY(json::ReadValue(aValue, aWhere, text));
  constexpr std::string_view kWithin = "within ";
  const std::size_t within = text.find(kWithin);
  std::optional<double> share;
  std::optional<milliseconds> time;
  if (within != std::string::npos) {
    const std::string_view before = std::string_view(text).substr(0, within);
    if (before.empty()) {
      share = 1.0;
    } else if (before.back() == ' ') {
      share = ParseShare(before.substr(0, before.size() - 1));
    }
    time =
      ParseDuration(std::string_view(text).substr(within + kWithin.size()));
  }
  if (!share || !time) {
    return RefuseText(
      aWhere, text, "a target such as \"99% within 2s\" or \"within 500ms\"");
  }
  aInto = { *share, *time };
  return boost::outcome_v2::success();
}

nlohmann::json
WriteValue(const target& aTarget)
{
  return ShareText(aTarget.mShare) + " within " + DurationText(aTarget.mWithin);
}

status
ReadValue(const nlohmann::json& aValue,
          const location& aWhere,
          daily_hours& aInto)
{
  std::string text;
  BOOST_OUTCOME_TRY(json::ReadValue(aValue, aWhere, text));
  const std::size_t dash = std::min(text.find('-'), text.size());
  const auto from = ParseTimeOfDay(std::string_view(text).substr(0, dash));
  const auto until = dash < text.size()
                       ? ParseTimeOfDay(std::string_view(text).substr(dash + 1))
                       : std::nullopt;
  if (!from || !until || *from == kDay) {
    return RefuseText(
      aWhere, text, "a daily period of UTC time such as \"02:00-04:30\"");
  }
  aInto = { *from, *until };
  return boost::outcome_v2::success();
}

nlohmann::json
WriteValue(const daily_hours& aHours)
{
  return TimeOfDayText(aHours.mFrom) + "-" + TimeOfDayText(aHours.mUntil);
}

status
ReadValue(const nlohmann::json& aValue,
          const location& aWhere,
          preference& aInto)
{
  std::string text;
  BOOST_OUTCOME_TRY(json::ReadValue(aValue, aWhere, text));
  for (const preference each :
       { preference::kLowBuffer, preference::kFastRollOut }) {
    if (WriteValue(each) == text) {
      aInto = each;
      return boost::outcome_v2::success();
    }
  }
  return RefuseText(aWhere, text, "\"low-buffer\" or \"fast-roll-out\"");
}

nlohmann::json
WriteValue(preference aPreference)
{
  return aPreference == preference::kLowBuffer ? "low-buffer" : "fast-roll-out";
}

namespace internal {

status
ReadValue(const nlohmann::json& aValue,
          const location& aWhere,
          std::chrono::hours& aInto)
{
  return ReadDuration(aValue, aWhere, "hours", aInto);
}

status
ReadValue(const nlohmann::json& aValue,
          const location& aWhere,
          std::chrono::seconds& aInto)
{
  return ReadDuration(aValue, aWhere, "seconds", aInto);
}

nlohmann::json
WriteValue(std::chrono::milliseconds aDuration)
{
  return DurationText(aDuration);
}

status
ReadValue(const nlohmann::json& aValue,
          const location& aWhere,
          std::optional<bool>& aInto)
{
  bool value = false;
  BOOST_OUTCOME_TRY(json::ReadValue(aValue, aWhere, value));
  aInto = value;
  return boost::outcome_v2::success();
}

nlohmann::json
WriteValue(const std::optional<bool>& aValue)
{
  return aValue ? nlohmann::json(*aValue) : nlohmann::json();
}

} // namespace internal

} // namespace mangospan::config
