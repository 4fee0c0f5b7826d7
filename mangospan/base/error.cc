#include "mangospan/base/error.h"

#include <string>

namespace mangospan {

const char*
Name(error_code aCode)
{
  switch (aCode) {
    case error_code::kInvalidArgument:
      return "invalid-argument";
    case error_code::kNotFound:
      return "not-found";
    case error_code::kConflict:
      return "conflict";
    case error_code::kTooLarge:
      return "too-large";
    case error_code::kUnavailable:
      return "unavailable";
    case error_code::kUnknownResult:
      return "unknown-result";
    case error_code::kIncomplete:
      return "incomplete";
    case error_code::kTimeout:
      return "timeout";
    case error_code::kCancelled:
      return "cancelled";
    case error_code::kInternal:
      return "internal";
  }
  return "internal";
}

std::string
Describe(const error& aError)
{
  std::string line = aError.mStep;
  if (!aError.mPeer.empty()) {
    line += " to " + aError.mPeer;
  }
  line += std::string(": ") + Name(aError.mCode);
  if (!aError.mMessage.empty()) {
    line += ": " + aError.mMessage;
  }
  return line;
}

} // namespace mangospan
