#include "mangospan/json/size_check.h"

#include <algorithm>
#include <cstdint>
#include <string>

#include <nlohmann/json.hpp>

namespace mangospan::json {

namespace {

// Stops the parser at the first element over a limit.
class size_counter
{
public:
  using number_integer_t = nlohmann::json::number_integer_t;
  using number_unsigned_t = nlohmann::json::number_unsigned_t;
  using number_float_t = nlohmann::json::number_float_t;
  using string_t = nlohmann::json::string_t;
  using binary_t = nlohmann::json::binary_t;

  explicit size_counter(const size_limits& aLimits)
    : mLimits(aLimits)
  {
  }

  // The names are those of nlohmann's interface for SAX parsers.
  // NOLINTBEGIN(readability-identifier-naming)
  bool null() { return Add(); }
  bool boolean(bool /*aValue*/) { return Add(); }
  bool number_integer(number_integer_t /*aValue*/) { return Add(); }
  bool number_unsigned(number_unsigned_t /*aValue*/) { return Add(); }
  bool number_float(number_float_t /*aValue*/, const string_t& /*aText*/)
  {
    return Add();
  }
  bool string(string_t& /*aValue*/) { return Add(); }
  bool binary(binary_t& /*aValue*/) { return Add(); }
  bool key(string_t& /*aValue*/) { return true; }
  bool start_object(std::size_t /*aSize*/) { return Enter(); }
  bool end_object() { return Leave(); }
  bool start_array(std::size_t /*aSize*/) { return Enter(); }
  bool end_array() { return Leave(); }
  template<typename Failure>
  bool parse_error(std::size_t /*aPosition*/,
                   const std::string& /*aToken*/,
                   const Failure& /*aFailure*/)
  {
    return false; // left to the decoder to report
  }
  // NOLINTEND(readability-identifier-naming)

  bool IsExceeded() const { return mIsExceeded; }

private:
  bool Add()
  {
    ++mElements;
    mIsExceeded = mElements > mLimits.mMaxElements;
    return !mIsExceeded;
  }

  bool Enter()
  {
    ++mDepth;
    const bool isAdded = Add();
    mIsExceeded = mIsExceeded || mDepth > mLimits.mMaxDepth;
    return isAdded && !mIsExceeded;
  }

  bool Leave()
  {
    --mDepth;
    return true;
  }

  const size_limits& mLimits;
  std::size_t mElements = 0;
  std::size_t mDepth = 0;
  bool mIsExceeded = false;
};

// Returns the position of the quote that ends the text which begins at
// `aBegin`, or the end of `aJson`.
std::size_t
EndOfText(std::string_view aJson, std::size_t aBegin)
{
  std::size_t end = aJson.find('"', aBegin);
  while (end != std::string_view::npos) {
    std::size_t backslashes = 0;
    while (end - backslashes > aBegin && aJson[end - backslashes - 1] == '\\') {
      ++backslashes;
    }
    if (backslashes % 2 == 0) {
      return end;
    }
    end = aJson.find('"', end + 1); // that one was escaped
  }
  return aJson.size();
}

// Each element but the first follows a bracket or a comma outside of the texts.
// Counting these costs far less than parsing, which an ordinary body needs not
// twice.
bool
IsCertainlyWithin(std::string_view aText, const size_limits& aLimits)
{
  std::size_t elements = 1;
  std::size_t depth = 0;
  std::size_t maxDepth = 0;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    switch (aText[i]) {
      case '"':
        i = EndOfText(aText, i + 1);
        break;
      case '[':
      case '{':
        ++elements;
        maxDepth = std::max(maxDepth, ++depth);
        break;
      case ']':
      case '}':
        depth -= depth > 0 ? 1 : 0;
        break;
      case ',':
        ++elements;
        break;
      default:
        break;
    }
  }
  return maxDepth <= aLimits.mMaxDepth && elements <= aLimits.mMaxElements;
}

} // namespace

bool
IsWithin(std::string_view aText, const size_limits& aLimits)
{
  if (IsCertainlyWithin(aText, aLimits)) {
    return true;
  }
  size_counter counter(aLimits);
  nlohmann::json::sax_parse(aText, &counter);
  return !counter.IsExceeded();
}

} // namespace mangospan::json
