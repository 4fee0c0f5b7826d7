#include "mangospan/json/checked_json.h"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <numeric>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "mangospan/base/error.h"

namespace mangospan::json {

namespace {

constexpr std::size_t kMaxNameBytes = 64;
constexpr int kMaxDepth = 32;

// RFC 6901: '~' and '/' are escaped within a pointer.
std::string
EscapePointer(std::string_view aKey)
{
  std::string escaped;
  for (const char c : aKey) {
    if (c == '~') {
      escaped += "~0";
    } else if (c == '/') {
      escaped += "~1";
    } else {
      escaped += c;
    }
  }
  return escaped;
}

// Error messages stay on one line, whatever bytes the text holds.
std::string
Printable(std::string_view aText)
{
  constexpr std::size_t kMaxShown = 80;
  std::string shown;
  for (const char c : aText.substr(0, kMaxShown)) {
    const auto byte = static_cast<unsigned char>(c);
    shown += (byte < 0x20 || byte == 0x7F) ? '?' : c;
  }
  if (aText.size() > kMaxShown) {
    shown += "...";
  }
  return shown;
}

status
WrongType(const nlohmann::json& aValue,
          const location& aWhere,
          const std::string& aDue)
{
  return Refuse(
    aWhere,
    aDue + " is due here, not " +
      Printable(
        aValue.is_object() ? "an object"
        : aValue.is_array()
          ? "an array"
          : aValue.dump(
              -1, ' ', false, nlohmann::json::error_handler_t::replace)));
}

// Watches the parser for what the library itself lets pass: keys written twice
// in one object, and nesting deep enough to exhaust the stack later.
class strict_observer
{
public:
  bool operator()(int aDepth,
                  nlohmann::json::parse_event_t aEvent,
                  const nlohmann::json& aParsed)
  {
    using event = nlohmann::json::parse_event_t;
    if (aDepth > kMaxDepth) {
      mTooDeep = true;
    }
    if (aEvent == event::object_start) {
      mKeys.emplace_back();
    } else if (aEvent == event::object_end) {
      mKeys.pop_back();
    } else if (aEvent == event::key) {
      const auto& key = aParsed.get_ref<const std::string&>();
      if (!mKeys.back().insert(key).second && !mRepeated) {
        mRepeated = key;
      }
    }
    return true;
  }

  const std::optional<std::string>& Repeated() const { return mRepeated; }
  bool TooDeep() const { return mTooDeep; }

private:
  std::vector<std::set<std::string>> mKeys;
  std::optional<std::string> mRepeated;
  bool mTooDeep = false;
};

// The library's message without its own error number and location.
std::string
SyntaxMessage(const nlohmann::json::parse_error& aError, std::string_view aText)
{
  const std::size_t offset =
    std::min(aError.byte > 0 ? aError.byte - 1 : 0, aText.size());
  const std::string_view before = aText.substr(0, offset);
  const auto line = 1 + std::count(before.begin(), before.end(), '\n');
  const std::size_t lineStart = before.rfind('\n');
  const std::size_t column =
    offset - (lineStart == std::string_view::npos ? 0 : lineStart + 1) + 1;
  std::string message = aError.what();
  const std::size_t detail = message.find(" - ");
  if (detail != std::string::npos) {
    message = message.substr(detail + 3);
  }
  return "line " + std::to_string(line) + ", column " + std::to_string(column) +
         ": not JSON: " + Printable(message);
}

std::size_t
EditDistance(std::string_view aLeft, std::string_view aRight)
{
  std::vector<std::size_t> row(aRight.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{ 0 });
  for (std::size_t i = 0; i < aLeft.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i + 1;
    for (std::size_t j = 0; j < aRight.size(); ++j) {
      const std::size_t substituted =
        diagonal + (aLeft[i] == aRight[j] ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({ substituted, row[j] + 1, row[j + 1] + 1 });
    }
  }
  return row.back();
}

bool
IsNameByte(char aByte)
{
  const auto byte = static_cast<unsigned char>(aByte);
  return byte < 0x80 && (std::isalnum(byte) != 0 || aByte == '.' ||
                         aByte == '_' || aByte == '-');
}

} // namespace

location
location::Child(std::string_view aKey) const
{
  return { mStep, mSource, mPointer + "/" + EscapePointer(aKey) };
}

location
location::Child(std::size_t aIndex) const
{
  return { mStep, mSource, mPointer + "/" + std::to_string(aIndex) };
}

error
Refuse(const location& aWhere, const std::string& aMessage)
{
  const std::string at =
    aWhere.mPointer.empty() ? "" : Printable(aWhere.mPointer) + ": ";
  return error{
    error_code::kInvalidArgument, aWhere.mStep, aWhere.mSource, at + aMessage
  };
}

result<nlohmann::json>
ParseText(std::string_view aText, const location& aWhere)
{
  strict_observer observer;
  try {
    nlohmann::json parsed =
      nlohmann::json::parse(aText, std::ref(observer), true, true);
    if (observer.TooDeep()) {
      return Refuse(aWhere, "nested too deeply");
    }
    if (observer.Repeated()) {
      return Refuse(aWhere,
                    "the key '" + Printable(*observer.Repeated()) +
                      "' is written twice in one object");
    }
    return parsed;
  } catch (const nlohmann::json::parse_error& failure) {
    return Refuse(aWhere, SyntaxMessage(failure, aText));
  } catch (const nlohmann::json::exception& failure) {
    return Refuse(aWhere,
                  std::string("not JSON: ") + Printable(failure.what()));
  }
}

status
ReadValue(const nlohmann::json& aValue,
          const location& aWhere,
          std::string& aInto)
{
  if (!aValue.is_string()) {
    return WrongType(aValue, aWhere, "a text in quotes");
  }
  aInto = aValue.get<std::string>();
  return boost::outcome_v2::success();
}

status
ReadValue(const nlohmann::json& aValue, const location& aWhere, bool& aInto)
{
  if (!aValue.is_boolean()) {
    return WrongType(aValue, aWhere, "true or false");
  }
  aInto = aValue.get<bool>();
  return boost::outcome_v2::success();
}

status
ReadValue(const nlohmann::json& aValue,
          const location& aWhere,
          std::size_t& aInto)
{
  if (!aValue.is_number_unsigned()) {
    return WrongType(aValue, aWhere, "a whole number of 0 or more");
  }
  aInto = aValue.get<std::size_t>();
  return boost::outcome_v2::success();
}

status
ReadValue(const nlohmann::json& aValue, const location& aWhere, double& aInto)
{
  if (!aValue.is_number() || !std::isfinite(aValue.get<double>()) ||
      aValue.get<double>() < 0) {
    return WrongType(aValue, aWhere, "a number of 0 or more");
  }
  aInto = aValue.get<double>();
  return boost::outcome_v2::success();
}

status
ReadName(const nlohmann::json& aValue,
         const location& aWhere,
         std::string& aInto)
{
  std::string text;
  BOOST_OUTCOME_TRY(ReadValue(aValue, aWhere, text));
  const bool wellFormed =
    !text.empty() && text.size() <= kMaxNameBytes &&
    std::all_of(text.begin(), text.end(), IsNameByte) &&
    std::isalnum(static_cast<unsigned char>(text.front())) != 0;
  if (!wellFormed) {
    return Refuse(aWhere,
                  "'" + Printable(text) +
                    "' is not a name: 1 to 64 letters, digits, '.', '_' or "
                    "'-', beginning with a letter or digit");
  }
  aInto = std::move(text);
  return boost::outcome_v2::success();
}

status
ReadItems(
  const nlohmann::json& aValue,
  const location& aWhere,
  const std::function<status(const nlohmann::json&, const location&)>& aRead)
{
  if (!aValue.is_array()) {
    return WrongType(aValue, aWhere, "an array");
  }
  for (std::size_t i = 0; i < aValue.size(); ++i) {
    BOOST_OUTCOME_TRY(aRead(aValue[i], aWhere.Child(i)));
  }
  return boost::outcome_v2::success();
}

std::string_view
NearestKey(std::string_view aKey, const std::vector<std::string_view>& aKnown)
{
  const auto nearest = std::min_element(
    aKnown.begin(),
    aKnown.end(),
    [aKey](std::string_view aLeft, std::string_view aRight) {
      return EditDistance(aKey, aLeft) < EditDistance(aKey, aRight);
    });
  return nearest == aKnown.end() ? std::string_view() : *nearest;
}

status
CheckKeys(const nlohmann::json& aValue,
          const location& aWhere,
          const std::vector<std::string_view>& aKnown,
          const std::vector<std::string_view>& aRequired)
{
  if (!aValue.is_object()) {
    return WrongType(aValue, aWhere, "an object");
  }
  for (const auto& item : aValue.items()) {
    if (std::find(aKnown.begin(), aKnown.end(), item.key()) == aKnown.end()) {
      // A very long key would make the distance costly and the line unreadable.
      const std::string key = Printable(item.key());
      return Refuse(aWhere.Child(key),
                    "unknown key; the nearest known one is '" +
                      std::string(NearestKey(key, aKnown)) + "'");
    }
  }
  for (const std::string_view key : aRequired) {
    if (!aValue.contains(std::string(key))) {
      return Refuse(aWhere, "the key '" + std::string(key) + "' is missing");
    }
  }
  return boost::outcome_v2::success();
}

const nlohmann::json*
Find(const nlohmann::json& aObject, std::string_view aKey)
{
  const auto found = aObject.find(std::string(aKey));
  return found == aObject.end() ? nullptr : &*found;
}

} // namespace mangospan::json
