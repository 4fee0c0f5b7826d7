#include "testing/endpoint/service.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include "mangospan/base/error.h"
#include "mangospan/base/identity.h"
#include "mangospan/base/time.h"
#include "mangospan/http/message.h"
#include "mangospan/platform/hosts.h"
#include "testing/endpoint/journal.h"
#include "testing/endpoint/runner.h"
#include "testing/endpoint/runner_state.h"
#include "testing/fleet/fleet_file.h"
#include "testing/http/fault_server.h"

namespace mangospan::standin {

namespace {

using http::JsonResponse;
using nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr std::string_view kRunnerPath = "/control/runners/";
constexpr std::string_view kFaultPath = "/control/faults/";

http::response
Failure(int aStatus, std::string_view aMessage)
{
  return JsonResponse(aStatus, json{ { "message", aMessage } }.dump());
}

http::response
ToResponse(const status& aStatus)
{
  return aStatus ? JsonResponse(kOk, "{}")
                 : Failure(kConflict, Describe(aStatus.assume_error()));
}

} // namespace

class endpoint_service::impl
{
public:
  impl(boost::asio::io_context& aIo,
       const clock_source& aClock,
       const fleet_file& aFleet)
  {
    for (const platform::host_info& host : aFleet.mHosts) {
      if (host.mRole == platform::host_role::kWorker) {
        mServices[host.mHost] = host.mService;
        mRunners.emplace(host.mHost,
                         std::make_unique<runner>(aIo, aClock, mJournal, host));
      }
    }
  }

  status Start()
  {
    for (const auto& [host, each] : mRunners) {
      if (!mServices.at(host).Empty()) {
        BOOST_OUTCOME_TRYV(each->Start(mServices.at(host)));
      }
    }
    return boost::outcome_v2::success();
  }

  http::response Control(const http::request& aRequest);

private:
  http::response ChangeRunner(runner& aRunner, const json& aBody);
  http::response SetFault(runner& aRunner, const json& aBody);
  http::response Summary() const;
  // Applies a change to the runner that the rest of the path names.
  http::response ForRunner(const http::request& aRequest,
                           std::string_view aPrefix,
                           http::response (impl::*aChange)(runner&,
                                                           const json&));

  journal mJournal;
  std::map<host_name, service_name> mServices; // at the start
  std::map<host_name, std::unique_ptr<runner>> mRunners;
};

http::response
endpoint_service::impl::Control(const http::request& aRequest)
{
  const std::string_view path = http::Path(aRequest);
  if (path == "/journal") {
    return JsonResponse(kOk, FormatJournal(mJournal.Runs()));
  }
  if (path == "/summary") {
    return Summary();
  }
  if (path.substr(0, kRunnerPath.size()) == kRunnerPath) {
    return ForRunner(aRequest, kRunnerPath, &impl::ChangeRunner);
  }
  if (path.substr(0, kFaultPath.size()) == kFaultPath) {
    return ForRunner(aRequest, kFaultPath, &impl::SetFault);
  }
  return Failure(kNotFound, "no such resource");
}

http::response
endpoint_service::impl::ForRunner(const http::request& aRequest,
                                  std::string_view aPrefix,
                                  http::response (impl::*aChange)(runner&,
                                                                  const json&))
{
  const host_name host(
    std::string(http::Path(aRequest).substr(aPrefix.size())));
  const auto found = mRunners.find(host);
  if (found == mRunners.end()) {
    return Failure(kNotFound, "no such runner");
  }
  try {
    return (this->*aChange)(*found->second, json::parse(aRequest.mBody));
  } catch (const json::exception& failure) {
    return Failure(kBadRequest, failure.what());
  }
}

http::response
endpoint_service::impl::ChangeRunner(runner& aRunner, const json& aBody)
{
  const std::string action = aBody.at("action").get<std::string>();
  if (action == "stop") {
    aRunner.Stop();
    return JsonResponse(kOk, "{}");
  }
  const std::string service = aBody.value("service", "");
  if (action != "start" || service.empty()) {
    return Failure(kBadRequest, "action must be stop, or start with a service");
  }
  return ToResponse(aRunner.Start(service_name(service)));
}

http::response
endpoint_service::impl::SetFault(runner& aRunner, const json& aBody)
{
  const auto kind = ParseFaultKind(aBody.at("kind").get<std::string>());
  if (!kind) {
    return Failure(kBadRequest, "unknown kind of fault");
  }
  return ToResponse(aRunner.SetFault(
    { *kind,
      std::chrono::milliseconds(aBody.value("delay_ms", std::int64_t{ 0 })) }));
}

http::response
endpoint_service::impl::Summary() const
{
  violation_counts violations;
  std::uint64_t rejected = 0;
  for (const auto& [host, each] : mRunners) {
    violations.mOverSlots += each->Violations().mOverSlots;
    violations.mWrongService += each->Violations().mWrongService;
    rejected += each->RejectedConnections();
  }
  json summary{ { "over_slots", violations.mOverSlots },
                { "wrong_service", violations.mWrongService },
                { "over_connections", rejected },
                { "ran", mJournal.Runs().size() } };
  for (const run_outcome outcome : { run_outcome::kRunning,
                                     run_outcome::kCompleted,
                                     run_outcome::kCutByStop,
                                     run_outcome::kKilled }) {
    summary[Name(outcome)] = mJournal.Count(outcome);
  }
  return JsonResponse(kOk, summary.dump());
}

endpoint_service::endpoint_service(boost::asio::io_context& aIo,
                                   const clock_source& aClock,
                                   const fleet_file& aFleet)
  : mImpl(std::make_shared<impl>(aIo, aClock, aFleet))
{
}

endpoint_service::~endpoint_service() = default;

status
endpoint_service::Start()
{
  return mImpl->Start();
}

void
endpoint_service::HandleControl(const http::request& aRequest,
                                const replier& aReply)
{
  aReply({ mImpl->Control(aRequest) });
}

} // namespace mangospan::standin
