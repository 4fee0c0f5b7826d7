#include "mangospan/entry/answers.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

namespace mangospan::entry {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr const char* kHopByHop[] = {
  "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
  "TE",         "Trailer",    "Transfer-Encoding",  "Upgrade",
};

struct refusal_fields
{
  int mHttpStatus;
  const char* mOutcome;
  const char* mCode;
  const char* mStep;
  std::string mPeer;
  milliseconds mRetryAfter;
};

// The two kinds of refusal name the same things with their own codes.
template<typename Refusal>
refusal_fields
FieldsOf(const Refusal& aRefusal)
{
  return {
    aRefusal.mHttpStatus, Name(aRefusal.mOutcome), Name(aRefusal.mCode),
    aRefusal.mStep,       aRefusal.mPeer,          aRefusal.mRetryAfter
  };
}

http::response
ToAnswer(const refusal_fields& aFields)
{
  const json body{ { "outcome", aFields.mOutcome },
                   { "code", aFields.mCode },
                   { "step", aFields.mStep },
                   { "peer", aFields.mPeer },
                   { "retry_after_ms", aFields.mRetryAfter.count() } };
  http::response answer = http::JsonResponse(
    aFields.mHttpStatus,
    body.dump(-1, ' ', false, json::error_handler_t::replace));
  answer.Set("Mangospan-Outcome", aFields.mOutcome);
  if (aFields.mRetryAfter.count() > 0) {
    const auto seconds =
      std::chrono::ceil<std::chrono::seconds>(aFields.mRetryAfter);
    answer.Set("Retry-After", std::to_string(seconds.count()));
  }
  return answer;
}

// The header fields that Connection names concern the connection as well.
void
RemoveHopByHop(http::header_list& aHeaders)
{
  std::string named(aHeaders.Get("Connection"));
  std::replace(named.begin(), named.end(), ',', ' ');
  std::size_t begin = 0;
  while ((begin = named.find_first_not_of(" \t", begin)) != std::string::npos) {
    const std::size_t end =
      std::min(named.find_first_of(" \t", begin), named.size());
    aHeaders.Remove(named.substr(begin, end - begin));
    begin = end;
  }
  for (const char* each : kHopByHop) {
    aHeaders.Remove(each);
  }
}

} // namespace

http::response
RefusalAnswer(const request::refusal& aRefusal)
{
  return ToAnswer(FieldsOf(aRefusal));
}

http::response
RefusalAnswer(const request::ticket_refusal& aRefusal)
{
  return ToAnswer(FieldsOf(aRefusal));
}

http::response
NotRunAnswer(int aStatus, const std::string& aCode, const std::string& aStep)
{
  return ToAnswer({ aStatus,
                    Name(request::request_outcome::kNotRun),
                    aCode.c_str(),
                    aStep.c_str(),
                    "",
                    milliseconds(aStatus == 503 ? 1'000 : 0) });
}

http::response
UnfinishedAnswer()
{
  return ToAnswer({ 504,
                    Name(request::request_outcome::kUnknown),
                    Name(request::refusal_code::kStopping),
                    "stop",
                    "",
                    milliseconds(0) });
}

http::response
TicketsAnswer(const std::vector<std::string>& aTickets)
{
  return http::JsonResponse(200, json{ { "tickets", aTickets } }.dump());
}

http::response
ReplayedAnswer(const request::kept_answer& aKept)
{
  http::response answer;
  answer.mStatus = aKept.mStatus;
  if (!aKept.mContentType.empty()) {
    answer.Set("Content-Type", aKept.mContentType);
  }
  answer.mBody = aKept.mBody;
  return answer;
}

http::response
PassedAnswer(http::response aAnswer)
{
  RemoveHopByHop(aAnswer);
  return aAnswer;
}

http::request
PassedRequest(http::request aRequest)
{
  RemoveHopByHop(aRequest);
  aRequest.Remove("Expect"); // the body is here already
  const std::string_view address = aRequest.mRemoteAddress;
  std::string forwarded(aRequest.Get("X-Forwarded-For"));
  forwarded += forwarded.empty() ? "" : ", ";
  forwarded += address.substr(0, address.rfind(':'));
  aRequest.Set("X-Forwarded-For", forwarded);
  return aRequest;
}

} // namespace mangospan::entry
