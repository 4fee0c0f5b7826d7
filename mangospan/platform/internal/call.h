// One call to the platform: request, answer, and what is certain after a
// failure. Meant for the .cc files of platform only.
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

// A read that got no answer changed nothing; a write may have.
enum class call_kind
{
  kRead,
  kWrite,
};

struct call
{
  call_kind mKind = call_kind::kRead;
  const char* mStep = "";
  std::string mMethod;
  std::string mTarget;
  nlohmann::json mBody; // null: none
  std::chrono::milliseconds mTimeout{ 0 };
};

// Sends the call and gives the JSON of a 200 answer to `aHandler`, or an
// error. Never calls `aHandler` from inside.
void
Send(const http_platform& aPlatform,
     const call& aCall,
     handler<nlohmann::json> aHandler);

// Fails without sending anything; never calls `aHandler` from inside.
void
Refuse(const http_platform& aPlatform,
       error aError,
       std::function<void(error)> aHandler);

// Whether the key, or prefix, can be sent in a target as it is.
bool
IsSendable(std::string_view aKey);

error
BadKey(const char* aStep, const std::string& aKey);

// The error for an answer that is not what the protocol says.
error
Malformed(call_kind aKind, const char* aStep, const std::string& aMessage);

// Sends the call and converts the answer with `aParse`, which may throw
// nlohmann::json exceptions.
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
