#include "mangospan/node/job_http.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <utility>

#include <nlohmann/json.hpp>

#include "mangospan/base/log.h"
#include "mangospan/jobs/codec.h"
#include "mangospan/json/size_check.h"

namespace mangospan::node {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr std::string_view kJobsPath = "/mangospan/v1/jobs/";
constexpr std::string_view kQueuesPath = "/mangospan/v1/queues/";
constexpr const char* kPoolPath = "/mangospan/v1/pool";
constexpr const char* kYieldPath = "/mangospan/v1/yield";
constexpr const char* kServiceHeader = "Mangospan-Service";
constexpr milliseconds kExchangeTimeout{ 600 };
// Of a body from another node. A forwarded job has each field of each step, and
// instructions name runners; both stay far below.
constexpr mangospan::json::size_limits kBodyLimits{ 200'000, 32 };
constexpr const char* kTimeoutHeader = "Mangospan-Patience-Ms";
// Added to the timeout of a forwarded call, so that an answer that the owner
// gives at the end of the timeout still arrives.
constexpr milliseconds kReplyTransitTime{ 50 };

reply_kind
KindOf(int aStatus)
{
  switch (aStatus) {
    case 200:
      return reply_kind::kOk;
    case 410:
      return reply_kind::kNoSuchJob;
    case 429:
      return reply_kind::kRefused;
    case 503:
      return reply_kind::kUnavailable;
    default:
      return reply_kind::kUnknown;
  }
}

http::response
Encode(const job_reply& aReply)
{
  return http::JsonResponse(
    StatusOf(aReply.mKind),
    json{ { "state", jobs::Name(aReply.mJobState) },
          { "waiting", aReply.mWaitingCount },
          { "retry_after_ms", aReply.mRetryAfter.count() },
          { "reason", Name(aReply.mReason) } }
      .dump());
}

// Returns the reply kUnknown if the response is malformed.
job_reply
Decode(const std::string& aPeer, const http::response& aResponse)
{
  job_reply unknown;
  unknown.mKind = reply_kind::kUnknown;
  try {
    job_reply out;
    out.mKind = KindOf(aResponse.mStatus);
    const json body = json::parse(aResponse.mBody);
    const auto state = jobs::ParseJobState(body.value("state", std::string()));
    if (state) {
      out.mJobState = *state;
    }
    out.mWaitingCount = body.value("waiting", std::size_t{ 0 });
    out.mRetryAfter =
      milliseconds(body.value("retry_after_ms", std::int64_t{ 0 }));
    out.mReason = ParseRefusalReason(body.value("reason", std::string()));
    return out;
  } catch (const std::exception& failure) {
    LogError("forward.malformed_response",
             { error_code::kUnknownResult,
               "job.decode_reply",
               aPeer,
               failure.what() });
    return unknown;
  }
}

// Returns a response with the text of the error, whose bytes that are no UTF-8
// are replaced: it may quote a malformed request.
http::response
ErrorResponse(int aStatus, const error& aError)
{
  return http::JsonResponse(aStatus,
                            json{ { "message", Describe(aError) } }.dump(
                              -1, ' ', false, json::error_handler_t::replace));
}

// Returns whether the name can be stored and logged as it is.
bool
IsUsableName(std::string_view aName)
{
  return !aName.empty() &&
         std::all_of(aName.begin(), aName.end(), [](unsigned char aEach) {
           return std::isgraph(aEach) != 0;
         });
}

void
LogTooManyElements(const char* aStep, const http::request& aRequest)
{
  LogError("request.too_many_elements",
           { error_code::kInvalidArgument,
             aStep,
             aRequest.mRemoteAddress,
             std::to_string(aRequest.mBody.size()) + " bytes" });
}

milliseconds
TimeoutOf(const http::request& aRequest)
{
  const std::string_view text = aRequest.Get(kTimeoutHeader);
  std::int64_t count = 0;
  std::from_chars(text.data(), text.data() + text.size(), count);
  return milliseconds(count);
}

http::request
Request(const char* aMethod, std::string aTarget)
{
  http::request out;
  out.mMethod = aMethod;
  out.mTarget = std::move(aTarget);
  return out;
}

std::string
JobPath(const jobs::job_name& aJob)
{
  return std::string(kJobsPath) + aJob.Str();
}

} // namespace

std::string
Encode(const health_report& aHealth)
{
  json serves = json::array();
  for (const service_name& each : aHealth.mServes) {
    serves.push_back(each.Str());
  }
  return json{
    { "serves", serves },
    { "unreachable", aHealth.mUnreachable },
    { "majority", aHealth.mIsInMajority }
  }.dump();
}

health_report
DecodeHealth(std::string_view aText)
{
  health_report out;
  const json body = json::parse(aText, nullptr, false);
  if (!body.is_object()) {
    return out;
  }
  for (const json& each : body.value("serves", json())) {
    if (each.is_string()) {
      out.mServes.emplace_back(each.get<std::string>());
    }
  }
  for (const json& each : body.value("unreachable", json())) {
    if (each.is_string()) {
      out.mUnreachable.insert(each.get<std::string>());
    }
  }
  const json majority = body.value("majority", json());
  out.mIsInMajority = majority.is_boolean() && majority.get<bool>();
  return out;
}

int
StatusOf(reply_kind aKind)
{
  switch (aKind) {
    case reply_kind::kOk:
      return 200;
    case reply_kind::kNoSuchJob:
      return 410;
    case reply_kind::kRefused:
      return 429;
    case reply_kind::kUnavailable:
      return 503;
    case reply_kind::kUnknown:
      return 504;
  }
  return 504;
}

service_name
ServiceOfRequest(const http::request& aRequest)
{
  return service_name{ std::string(aRequest.Get(kServiceHeader)) };
}

remote_job_service::remote_job_service(http::client& aClient,
                                       std::string aAddress,
                                       service_name aService)
  : mClient(aClient)
  , mAddress(std::move(aAddress))
  , mService(std::move(aService))
{
}

void
remote_job_service::Send(http::request aRequest,
                         milliseconds aTimeout,
                         reply_handler aHandler)
{
  aRequest.Set(kTimeoutHeader, std::to_string(aTimeout.count()));
  aRequest.Set(kServiceHeader, mService.Str());
  mClient.Send(mAddress,
               std::move(aRequest),
               aTimeout + kReplyTransitTime,
               [peer = mAddress, handler = std::move(aHandler)](
                 const result<http::response>& aResult) {
                 if (aResult.has_value()) {
                   handler(Decode(peer, aResult.assume_value()));
                   return;
                 }
                 LogError("forward.failed", aResult.assume_error());
                 job_reply reply;
                 reply.mKind = reply_kind::kUnknown;
                 if (aResult.assume_error().mCode == error_code::kUnavailable) {
                   reply.mKind = reply_kind::kUnavailable;
                   reply.mReason = refusal_reason::kOwnerUnreachable;
                 }
                 handler(reply);
               });
}

void
remote_job_service::Submit(const jobs::job_name& aJob,
                           const jobs::job_spec& aSpec,
                           milliseconds aTimeout,
                           reply_handler aHandler)
{
  http::request call = Request("POST", JobPath(aJob));
  call.Set("Content-Type", "application/json");
  call.mBody = jobs::EncodeSpec(aSpec);
  Send(std::move(call), aTimeout, std::move(aHandler));
}

void
remote_job_service::Cancel(const jobs::job_name& aJob,
                           milliseconds aTimeout,
                           reply_handler aHandler)
{
  Send(Request("DELETE", JobPath(aJob)), aTimeout, std::move(aHandler));
}

void
remote_job_service::Read(const jobs::job_name& aJob,
                         milliseconds aTimeout,
                         reply_handler aHandler)
{
  Send(Request("GET", JobPath(aJob)), aTimeout, std::move(aHandler));
}

void
remote_job_service::CountWaiting(const jobs::queue_name& aQueue,
                                 milliseconds aTimeout,
                                 reply_handler aHandler)
{
  Send(Request("GET", std::string(kQueuesPath) + aQueue.Str()),
       aTimeout,
       std::move(aHandler));
}

void
ServeJobs(const http::request& aRequest,
          job_service& aService,
          const http::responder& aRespond)
{
  const auto answer = [aRespond](const job_reply& aReply) {
    aRespond(Encode(aReply));
  };
  const std::string_view path = http::Path(aRequest);
  const milliseconds timeout = TimeoutOf(aRequest);
  if (path.substr(0, kQueuesPath.size()) == kQueuesPath &&
      aRequest.mMethod == "GET") {
    aService.CountWaiting(
      jobs::queue_name{ std::string(path.substr(kQueuesPath.size())) },
      timeout,
      answer);
    return;
  }
  if (path.substr(0, kJobsPath.size()) != kJobsPath) {
    aRespond(http::JsonResponse(404, R"({"message":"no such path"})"));
    return;
  }
  const jobs::job_name job{ std::string(path.substr(kJobsPath.size())) };
  if (!IsUsableName(job.Str())) {
    aRespond(http::JsonResponse(400, R"({"message":"malformed name"})"));
    return;
  }
  if (aRequest.mMethod == "GET") {
    aService.Read(job, timeout, answer);
  } else if (aRequest.mMethod == "DELETE") {
    aService.Cancel(job, timeout, answer);
  } else if (aRequest.mMethod == "POST") {
    if (!mangospan::json::IsWithin(aRequest.mBody, kBodyLimits)) {
      LogTooManyElements("job.decode_spec", aRequest);
      aRespond(http::JsonResponse(413, R"({"message":"too many elements"})"));
      return;
    }
    auto spec = jobs::DecodeSpec(aRequest.mBody);
    if (spec.has_error()) {
      aRespond(ErrorResponse(400, spec.assume_error()));
      return;
    }
    aService.Submit(job, spec.assume_value(), timeout, answer);
  } else {
    aRespond(http::JsonResponse(405, R"({"message":"method not allowed"})"));
  }
}

void
ExchangePool(http::client& aClient,
             const std::string& aAddress,
             const service_name& aPool,
             const pool_instructions& aInstructions,
             pool_state_handler aHandler)
{
  http::request call = Request("POST", kPoolPath);
  call.Set("Content-Type", "application/json");
  call.Set(kServiceHeader, aPool.Str());
  call.mBody = Encode(aInstructions);
  aClient.Send(
    aAddress,
    std::move(call),
    kExchangeTimeout,
    [address = aAddress, pool = aPool, handler = std::move(aHandler)](
      const result<http::response>& aResult) {
      if (aResult.has_error()) {
        handler(aResult.assume_error());
        return;
      }
      const http::response& answer = aResult.assume_value();
      if (answer.mStatus != 200) {
        const bool isOlderTerm = answer.mStatus == 409;
        handler(
          error{ isOlderTerm ? error_code::kConflict : error_code::kUnavailable,
                 "pool.exchange",
                 address,
                 pool.Str() + ": the owner answered with HTTP status " +
                   std::to_string(answer.mStatus) });
        return;
      }
      handler(DecodePoolState(answer.mBody));
    });
}

void
RequestYield(http::client& aClient,
             const std::string& aAddress,
             const service_name& aService)
{
  http::request call = Request("POST", kYieldPath);
  call.Set(kServiceHeader, aService.Str());
  aClient.Send(aAddress,
               std::move(call),
               kExchangeTimeout,
               [](const result<http::response>& aResult) {
                 if (aResult.has_error()) { // the caller repeats the request
                   LogError("yield.not_asked", aResult.assume_error());
                 }
               });
}

bool
IsYieldRequest(const http::request& aRequest)
{
  return http::Path(aRequest) == kYieldPath && aRequest.mMethod == "POST";
}

bool
IsPoolExchange(const http::request& aRequest)
{
  return http::Path(aRequest) == kPoolPath && aRequest.mMethod == "POST";
}

void
ServePool(const http::request& aRequest,
          const pool_exchanger& aExchange,
          const http::responder& aRespond)
{
  if (!mangospan::json::IsWithin(aRequest.mBody, kBodyLimits)) {
    LogTooManyElements("pool.decode_instructions", aRequest);
    aRespond(http::JsonResponse(413, R"({"message":"too many elements"})"));
    return;
  }
  const auto instructions = DecodePoolInstructions(aRequest.mBody);
  if (instructions.has_error()) {
    LogError("pool.malformed", instructions.assume_error());
    aRespond(http::JsonResponse(400, "{}"));
    return;
  }
  const auto state = aExchange(instructions.assume_value());
  if (state.has_error()) {
    const bool isOlderTerm =
      state.assume_error().mCode == error_code::kConflict;
    aRespond(ErrorResponse(isOlderTerm ? 409 : 503, state.assume_error()));
    return;
  }
  aRespond(http::JsonResponse(200, Encode(state.assume_value())));
}

} // namespace mangospan::node
