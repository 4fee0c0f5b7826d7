#include "mangospan/platform/internal/call.h"

#include <algorithm>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "mangospan/http/client.h"

namespace mangospan::platform::internal {

using nlohmann::json;

namespace {

constexpr std::string_view kKeyPunctuation = "-_./:@+,=~";

// Returns the error code for a status other than 200.
error_code
CodeOfStatus(int aStatus, call_kind aKind)
{
  switch (aStatus) {
    case 400:
      return error_code::kInvalidArgument;
    case 404:
      return error_code::kNotFound;
    case 409:
      return error_code::kConflict;
    case 413:
      return error_code::kTooLarge;
    case 503:
      return error_code::kUnavailable;
    default:
      return aKind == call_kind::kWrite ? error_code::kUnknownResult
                                        : error_code::kUnavailable;
  }
}

result<json>
ParseResponse(result<http::response> aResult,
              call_kind aKind,
              const char* aStep)
{
  if (aResult.has_error()) {
    error failure = std::move(aResult).assume_error();
    failure.mStep = aStep;
    if (aKind == call_kind::kRead &&
        failure.mCode == error_code::kUnknownResult) {
      failure.mCode = error_code::kUnavailable;
    }
    return failure;
  }
  const http::response& answer = aResult.assume_value();
  if (answer.mStatus != 200) {
    constexpr std::size_t kMaxQuotedBytes = 200;
    return error{ CodeOfStatus(answer.mStatus, aKind),
                  aStep,
                  "",
                  "status " + std::to_string(answer.mStatus) + " " +
                    answer.mBody.substr(0, kMaxQuotedBytes) };
  }
  json body = json::parse(answer.mBody, nullptr, false);
  if (!body.is_object()) {
    return Malformed(aKind, aStep, "the answer is not a JSON object");
  }
  return body;
}

} // namespace

void
PostError(const http_platform& aPlatform,
          error aError,
          std::function<void(error)> aHandler)
{
  aError.mPeer = aPlatform.mAddress;
  boost::asio::post(aPlatform.mIo,
                    [failure = std::move(aError),
                     handler = std::move(aHandler)] { handler(failure); });
}

void
Send(const http_platform& aPlatform, const call& aCall, handler<json> aHandler)
{
  http::request message;
  message.mMethod = aCall.mMethod;
  message.mTarget = aCall.mTarget;
  if (!aPlatform.mZone.Empty()) {
    message.Set("Mangospan-Zone", aPlatform.mZone.Str());
  }
  if (!aCall.mBody.is_null()) {
    message.Set("Content-Type", "application/json");
    try {
      message.mBody = aCall.mBody.dump();
    } catch (const json::exception& failure) { // a string is not UTF-8
      PostError(
        aPlatform,
        { error_code::kInvalidArgument, aCall.mStep, "", failure.what() },
        aHandler);
      return;
    }
  }
  aPlatform.mClient.Send(
    aPlatform.mAddress,
    std::move(message),
    aCall.mTimeout,
    [kind = aCall.mKind,
     step = aCall.mStep,
     address = aPlatform.mAddress,
     handler = std::move(aHandler)](result<http::response> aResult) {
      result<json> outcome = ParseResponse(std::move(aResult), kind, step);
      if (outcome.has_error()) {
        outcome.assume_error().mPeer = address;
      }
      handler(std::move(outcome));
    });
}

bool
IsUrlSafe(std::string_view aKey)
{
  return std::all_of(aKey.begin(), aKey.end(), [](char aCharacter) {
    return (aCharacter >= 'a' && aCharacter <= 'z') ||
           (aCharacter >= 'A' && aCharacter <= 'Z') ||
           (aCharacter >= '0' && aCharacter <= '9') ||
           kKeyPunctuation.find(aCharacter) != std::string_view::npos;
  });
}

error
InvalidKey(const char* aStep, const std::string& aKey)
{
  return error{ error_code::kInvalidArgument,
                aStep,
                "",
                "key '" + aKey +
                  "' is empty or has a character other than "
                  "letters, digits and " +
                  std::string(kKeyPunctuation) };
}

error
Malformed(call_kind aKind, const char* aStep, const std::string& aMessage)
{
  return error{ aKind == call_kind::kWrite ? error_code::kUnknownResult
                                           : error_code::kUnavailable,
                aStep,
                "",
                "malformed answer: " + aMessage };
}

} // namespace mangospan::platform::internal
