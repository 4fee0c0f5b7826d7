// Sends one call to the platform and maps its response or failure to a result.
// The error code of a failed call tells whether the call may have taken effect.
// Only the .cc files of this library include this header.
#ifndef MANGOSPAN_PLATFORM_INTERNAL_CALL_H
#define MANGOSPAN_PLATFORM_INTERNAL_CALL_H

#include <chrono>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

#include "mangospan/base/error.h"
#include "mangospan/platform/http_platform.h"

namespace mangospan::platform::internal {

// Whether a call can change data. A read without a response fails with
// kUnavailable, since it changed nothing; a write without a response may have
// taken effect and fails with kUnknownResult.
enum class call_kind
{
  kRead,
  kWrite,
};

// One HTTP call. `mStep` is the `error::mStep` of its failures.
struct call
{
  call_kind mKind = call_kind::kRead;
  const char* mStep = "";
  std::string mMethod;
  std::string mTarget;
  nlohmann::json mBody; // null: the request has no body
  std::chrono::milliseconds mTimeout{ 0 };
};

// Sends the call. Passes the JSON object of a response with status 200 to
// `aHandler`, or an error. Never calls `aHandler` from inside the call.
void
Send(const http_platform& aPlatform,
     const call& aCall,
     handler<nlohmann::json> aHandler);

// Passes `aError` to `aHandler` without sending anything. Never calls
// `aHandler` from inside the call.
void
PostError(const http_platform& aPlatform,
          error aError,
          std::function<void(error)> aHandler);

// Returns whether the key or prefix can be part of a request target without
// escaping.
bool
IsUrlSafe(std::string_view aKey);

// Returns the error of step `aStep` for a key that is empty or needs escaping.
error
InvalidKey(const char* aStep, const std::string& aKey);

// Returns the error for a response that violates the protocol: kUnknownResult
// for a write, since it may have taken effect, and kUnavailable for a read.
error
Malformed(call_kind aKind, const char* aStep, const std::string& aMessage);

// Sends the call and converts the response with `aParse`, which may throw
// nlohmann::json exceptions; these become the error of `Malformed`.
template<typename T>
void
SendAndParse(const http_platform& aPlatform,
             const call& aCall,
             T (*aParse)(const nlohmann::json&),
             handler<T> aHandler)
{
  const call_kind kind = aCall.mKind;
  const char* const step = aCall.mStep;
  Send(aPlatform,
       aCall,
       [kind, step, aParse, handler = std::move(aHandler)](
         result<nlohmann::json> aResult) {
         if (aResult.has_error()) {
           handler(std::move(aResult).assume_error());
           return;
         }
         result<T> parsed = Malformed(kind, step, "");
         try {
           parsed = aParse(aResult.assume_value());
         } catch (const nlohmann::json::exception& failure) {
           parsed = Malformed(kind, step, failure.what());
         }
         handler(std::move(parsed));
       });
}

} // namespace mangospan::platform::internal

#endif // MANGOSPAN_PLATFORM_INTERNAL_CALL_H
