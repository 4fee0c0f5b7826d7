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

// Each element but the first follows one of these bytes. Counting them costs
// far less than parsing, which an ordinary body needs not twice.
bool
IsCertainlyWithin(std::string_view aText, const size_limits& aLimits)
{
  std::size_t brackets = 0;
  std::size_t commas = 0;
  for (const char each : aText) {
    brackets += each == '[' || each == '{' ? 1 : 0;
    commas += each == ',' ? 1 : 0;
  }
  return brackets <= aLimits.mMaxDepth &&
         2 * brackets + commas < aLimits.mMaxElements;
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
