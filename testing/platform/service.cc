#include "testing/platform/service.h"

#include <array>
#include <charconv>
#include <chrono>
#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "mangospan/base/error.h"
#include "mangospan/base/identity.h"
#include "mangospan/base/time.h"
#include "mangospan/http/message.h"
#include "mangospan/platform/hosts.h"
#include "mangospan/platform/store.h"
#include "testing/fleet/fleet_file.h"
#include "testing/http/fault_server.h"
#include "testing/platform/answers.h"
#include "testing/platform/call_counter.h"
#include "testing/platform/faults.h"
#include "testing/platform/host_directory.h"
#include "testing/platform/key_value.h"

namespace mangospan::standin {

namespace {

using http::JsonResponse;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kTooLarge = 413;
constexpr milliseconds kTickPeriod{ 10 };

std::uint64_t
Number(std::string_view aText)
{
  std::uint64_t value = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), value);
  return value;
}

struct waiting_watch
{
  std::string mPrefix;
  platform::revision mAfter = 0;
  time_point mDeadline;
  std::string mZone;
  replier mReply;
};

struct running_reboot
{
  std::string mId;
  host_name mHost;
  service_name mService; // started afterwards, unless empty
  time_point mEnds;
};

} // namespace

class platform_service::impl : public std::enable_shared_from_this<impl>
{
public:
  impl(boost::asio::io_context& aIo,
       const clock_source& aClock,
       const fleet_file& aFleet,
       runner_control aControl)
    : mTimer(aIo)
    , mIo(aIo)
    , mClock(aClock)
    , mHosts(aFleet.mHosts, aFleet.mListLag)
    , mRebootTime(aFleet.mRebootTime)
    , mControl(std::move(aControl))
  {
  }

  void Start() { ScheduleTick(); }
  void Handle(const http::request& aRequest, const replier& aReply);

private:
  using method = void (impl::*)(const http::request&, const replier&);
  struct route
  {
    std::string_view mMethod;
    std::string_view mPrefix;
    std::string_view mKind; // empty: test control, neither counted nor faulty
    bool mWrites;
    method mHandle;
  };
  static const std::array<route, 14> kRoutes;

  const route* Find(const http::request& aRequest) const;
  replier WithFaults(const route& aRoute, replier aReply);

  void ReadKey(const http::request& aRequest, const replier& aReply);
  void ListKeys(const http::request& aRequest, const replier& aReply);
  void PutKey(const http::request& aRequest, const replier& aReply);
  void DeleteKey(const http::request& aRequest, const replier& aReply);
  void GrantLease(const http::request& aRequest, const replier& aReply);
  void RenewLease(const http::request& aRequest, const replier& aReply);
  void RevokeLease(const http::request& aRequest, const replier& aReply);
  void Watch(const http::request& aRequest, const replier& aReply);
  void ListHosts(const http::request& aRequest, const replier& aReply);
  void Act(const http::request& aRequest, const replier& aReply);
  void Control(const http::request& aRequest, const replier& aReply);
  void Calls(const http::request& aRequest, const replier& aReply);
  void History(const http::request& aRequest, const replier& aReply);

  void BeginAction(const std::string& aId,
                   const host_name& aHost,
                   const json& aBody);
  void FinishAction(const std::string& aId, const status& aStatus);
  void RunCommand(const std::string& aId, runner_command aCommand);
  void ScheduleTick();
  void Tick();
  void AnswerWatches(time_point aNow);
  void FinishReboots(time_point aNow);

  boost::asio::steady_timer mTimer;
  boost::asio::io_context& mIo;
  const clock_source& mClock;
  key_value mStore;
  host_directory mHosts;
  action_ledger mActions;
  call_counter mCalls;
  faults mFaults;
  milliseconds mRebootTime;
  runner_control mControl;
  std::list<waiting_watch> mWatches;
  std::list<running_reboot> mReboots;
};

// The first match is taken, so longer prefixes stand first.
const std::array<platform_service::impl::route, 14>
  platform_service::impl::kRoutes{ {
    { "GET", "/v1/kv/", "read", false, &impl::ReadKey },
    { "GET", "/v1/kv", "list", false, &impl::ListKeys },
    { "PUT", "/v1/kv/", "write", true, &impl::PutKey },
    { "DELETE", "/v1/kv/", "write", true, &impl::DeleteKey },
    { "POST", "/v1/leases/", "lease", true, &impl::RenewLease },
    { "POST", "/v1/leases", "lease", true, &impl::GrantLease },
    { "DELETE", "/v1/leases/", "lease", true, &impl::RevokeLease },
    { "GET", "/v1/watch", "watch", false, &impl::Watch },
    { "POST", "/v1/hosts/", "action", true, &impl::Act },
    { "GET", "/v1/hosts", "hosts", false, &impl::ListHosts },
    { "GET", "/control/calls", "", false, &impl::Calls },
    { "GET", "/control/history", "", false, &impl::History },
    { "GET", "/control/records", "", false, &impl::ListKeys },
    { "POST", "/control", "", false, &impl::Control },
  } };

namespace {

// The part of the path after `aPrefix`.
std::string
PathAfter(const http::request& aRequest, std::string_view aPrefix)
{
  return std::string(http::Path(aRequest).substr(aPrefix.size()));
}

} // namespace

const platform_service::impl::route*
platform_service::impl::Find(const http::request& aRequest) const
{
  const std::string_view path = http::Path(aRequest);
  for (const route& each : kRoutes) {
    if (each.mMethod == aRequest.mMethod &&
        path.substr(0, each.mPrefix.size()) == each.mPrefix) {
      return &each;
    }
  }
  return nullptr;
}

void
platform_service::impl::Handle(const http::request& aRequest,
                               const replier& aReply)
{
  const route* found = Find(aRequest);
  if (found == nullptr) {
    aReply({ Failure(kNotFound, "no such resource") });
    return;
  }
  const bool control = found->mKind.empty();
  if (!control) {
    mCalls.Count(found->mKind, mClock.Now());
    if (mFaults.Unreachable(aRequest.Get("Mangospan-Zone"), mClock.Now())) {
      aReply({ {}, delivery::kDrop });
      return;
    }
  }
  const replier reply = control ? aReply : WithFaults(*found, aReply);
  try {
    (this->*found->mHandle)(aRequest, reply);
  } catch (const json::exception& failure) {
    reply({ Failure(kBadRequest, failure.what()) });
  }
}

// The reply delayed or lost, as the test has set. A watch's delay would only
// add to its waiting time, so the delay counts for it too.
replier
platform_service::impl::WithFaults(const route& aRoute, replier aReply)
{
  const bool writes = aRoute.mWrites;
  return [this, writes, inner = std::move(aReply)](reply aAnswer) {
    if (writes && aAnswer.mResponse.mStatus == kOk &&
        mFaults.TakeLostAnswer()) {
      aAnswer.mDelivery = delivery::kDrop;
    }
    if (mFaults.Delay() <= milliseconds(0)) {
      inner(std::move(aAnswer));
      return;
    }
    const auto timer =
      std::make_shared<boost::asio::steady_timer>(mIo, mFaults.Delay());
    timer->async_wait([timer, inner, answer = std::move(aAnswer)](
                        const boost::system::error_code&) { inner(answer); });
  };
}

void
platform_service::impl::ReadKey(const http::request& aRequest,
                                const replier& aReply)
{
  const auto found = mStore.Read(PathAfter(aRequest, "/v1/kv/"));
  aReply({ found ? JsonResponse(kOk, ToJson(*found).dump())
                 : Failure(kNotFound, "no such key") });
}

void
platform_service::impl::ListKeys(const http::request& aRequest,
                                 const replier& aReply)
{
  json records = json::array();
  for (const auto& each : mStore.List(http::QueryValue(aRequest, "prefix"))) {
    records.push_back(ToJson(each));
  }
  aReply({ JsonResponse(kOk,
                        json{ { "records", std::move(records) },
                              { "revision", mStore.LastRevision() } }
                          .dump()) });
}

void
platform_service::impl::PutKey(const http::request& aRequest,
                               const replier& aReply)
{
  const json body = json::parse(aRequest.mBody);
  platform::swap_request swap;
  swap.mKey = PathAfter(aRequest, "/v1/kv/");
  swap.mExpected = body.at("expect").get<platform::revision>();
  swap.mValue = body.at("value").get<std::string>();
  if (body.contains("lease") && !body.at("lease").is_null()) {
    swap.mLease = platform::lease_id{ body.at("lease").get<std::uint64_t>() };
  }
  const std::string key = swap.mKey;
  const auto written = mStore.CompareAndSwap(std::move(swap));
  if (written) {
    aReply({ RevisionResponse(kOk, written.assume_value()) });
    AnswerWatches(mClock.Now());
    return;
  }
  switch (written.assume_error().mCode) {
    case error_code::kTooLarge:
      aReply({ Failure(kTooLarge, written.assume_error().mMessage) });
      return;
    case error_code::kConflict:
      aReply({ RevisionResponse(kConflict, mStore.RevisionOf(key)) });
      return;
    default:
      aReply({ Failure(kBadRequest, written.assume_error().mMessage) });
  }
}

void
platform_service::impl::DeleteKey(const http::request& aRequest,
                                  const replier& aReply)
{
  const std::string key = PathAfter(aRequest, "/v1/kv/");
  const auto deleted =
    mStore.Delete(key, Number(http::QueryValue(aRequest, "expect")));
  if (!deleted) {
    aReply({ RevisionResponse(kConflict, mStore.RevisionOf(key)) });
    return;
  }
  aReply({ RevisionResponse(kOk, deleted.assume_value()) });
  AnswerWatches(mClock.Now());
}

void
platform_service::impl::GrantLease(const http::request& aRequest,
                                   const replier& aReply)
{
  const milliseconds ttl(
    json::parse(aRequest.mBody).at("ttl_ms").get<std::int64_t>());
  if (ttl <= milliseconds(0)) {
    aReply({ Failure(kBadRequest, "ttl_ms must be positive") });
    return;
  }
  const auto lease = mStore.GrantLease(mClock.Now(), ttl);
  aReply({ JsonResponse(kOk, json{ { "lease", lease.mValue } }.dump()) });
}

void
platform_service::impl::RenewLease(const http::request& aRequest,
                                   const replier& aReply)
{
  const std::uint64_t id = Number(PathAfter(aRequest, "/v1/leases/"));
  const status renewed =
    mStore.RenewLease(platform::lease_id{ id }, mClock.Now());
  aReply({ renewed ? JsonResponse(kOk, json{ { "lease", id } }.dump())
                   : Failure(kNotFound, renewed.assume_error().mMessage) });
}

void
platform_service::impl::RevokeLease(const http::request& aRequest,
                                    const replier& aReply)
{
  const std::uint64_t id = Number(PathAfter(aRequest, "/v1/leases/"));
  const status revoked = mStore.RevokeLease(platform::lease_id{ id });
  aReply({ revoked ? JsonResponse(kOk, json{ { "lease", id } }.dump())
                   : Failure(kNotFound, revoked.assume_error().mMessage) });
  AnswerWatches(mClock.Now());
}

void
platform_service::impl::Watch(const http::request& aRequest,
                              const replier& aReply)
{
  const time_point now = mClock.Now();
  const milliseconds wait(Number(http::QueryValue(aRequest, "wait_ms")));
  mWatches.push_back({ std::string(http::QueryValue(aRequest, "prefix")),
                       Number(http::QueryValue(aRequest, "after")),
                       now + wait,
                       std::string(aRequest.Get("Mangospan-Zone")),
                       aReply });
  AnswerWatches(now);
}

void
platform_service::impl::ListHosts(const http::request& aRequest,
                                  const replier& aReply)
{
  const auto known = Number(http::QueryValue(aRequest, "known"));
  aReply({ JsonResponse(kOk, FormatHosts(mHosts.List(known, mClock.Now()))) });
}

void
platform_service::impl::Act(const http::request& aRequest,
                            const replier& aReply)
{
  const std::string path = PathAfter(aRequest, "/v1/hosts/");
  const std::size_t slash = path.find('/');
  const host_name host(path.substr(0, slash));
  if (slash == std::string::npos || path.substr(slash) != "/actions" ||
      mHosts.Find(host) == nullptr) {
    aReply({ Failure(kNotFound, "no such host") });
    return;
  }
  const json body = json::parse(aRequest.mBody);
  const std::string id = body.at("id").get<std::string>();
  const std::string action = body.at("action").get<std::string>();
  if (action != "stop_runner" && action != "start_runner" &&
      action != "reboot") {
    aReply({ Failure(kBadRequest, "unknown action '" + action + "'") });
    return;
  }
  if (mActions.Begin(id)) {
    BeginAction(id, host, body);
  }
  aReply({ ToResponse(mActions.Status(id)) });
}

void
platform_service::impl::BeginAction(const std::string& aId,
                                    const host_name& aHost,
                                    const json& aBody)
{
  const std::string action = aBody.at("action").get<std::string>();
  const service_name service(aBody.value("service", ""));
  if (action == "reboot") {
    mControl({ aHost, false, {} }, [](const status&) {});
    mReboots.push_back({ aId, aHost, service, mClock.Now() + mRebootTime });
    return;
  }
  RunCommand(aId, { aHost, action == "start_runner", service });
}

void
platform_service::impl::RunCommand(const std::string& aId,
                                   runner_command aCommand)
{
  const service_name service =
    aCommand.mStart ? aCommand.mService : service_name();
  const host_name host = aCommand.mHost;
  mControl(
    std::move(aCommand),
    [self = shared_from_this(), aId, host, service](const status& aStatus) {
      if (aStatus) {
        // The host is known: Act has checked it.
        static_cast<void>(
          self->mHosts.SetService(host, service, self->mClock.Now()));
      }
      self->FinishAction(aId, aStatus);
    });
}

void
platform_service::impl::FinishAction(const std::string& aId,
                                     const status& aStatus)
{
  if (aStatus) {
    mActions.Finish(aId, { platform::action_state::kDone, "" });
  } else {
    mActions.Finish(
      aId,
      { platform::action_state::kFailed, Describe(aStatus.assume_error()) });
  }
}

void
platform_service::impl::Control(const http::request& aRequest,
                                const replier& aReply)
{
  const json body = json::parse(aRequest.mBody);
  const time_point now = mClock.Now();
  if (body.contains("outage_ms")) {
    mFaults.SetOutage(now +
                      milliseconds(body.at("outage_ms").get<std::int64_t>()));
  }
  if (body.contains("outage")) {
    mFaults.SetOutage(body.at("outage").get<bool>()
                        ? std::optional<time_point>(time_point::max())
                        : std::nullopt);
  }
  if (body.contains("delay_ms")) {
    mFaults.SetDelay(milliseconds(body.at("delay_ms").get<std::int64_t>()));
  }
  if (body.contains("lose_answers")) {
    mFaults.LoseAnswers(body.at("lose_answers").get<std::uint64_t>());
  }
  if (body.contains("cut_zones")) {
    mFaults.CutZones(body.at("cut_zones").get<std::set<std::string>>());
  }
  status changed = boost::outcome_v2::success();
  if (body.contains("host_state")) {
    const json& wanted = body.at("host_state");
    const auto state = ParseHostState(wanted.at("state").get<std::string>());
    changed =
      !state
        ? status(error{
            error_code::kInvalidArgument, "control", "", "unknown host state" })
        : mHosts.SetState(
            host_name(wanted.at("host").get<std::string>()), *state, now);
  }
  aReply({ changed ? JsonResponse(kOk, "{}")
                   : Failure(kBadRequest, Describe(changed.assume_error())) });
}

void
platform_service::impl::Calls(const http::request& /*aRequest*/,
                              const replier& aReply)
{
  json calls = json::object();
  for (const auto& [kind, count] : mCalls.Counts()) {
    calls[kind] = { { "total", count.mTotal },
                    { "most_in_one_second", count.mMostInOneSecond } };
  }
  aReply({ JsonResponse(kOk, calls.dump()) });
}

void
platform_service::impl::History(const http::request& aRequest,
                                const replier& aReply)
{
  aReply({ JsonResponse(
    kOk,
    json{ { "changes",
            ToJson(mStore.History(http::QueryValue(aRequest, "prefix"))) } }
      .dump()) });
}

void
platform_service::impl::ScheduleTick()
{
  mTimer.expires_after(kTickPeriod);
  mTimer.async_wait(
    [weak = weak_from_this()](const boost::system::error_code& aError) {
      const auto self = weak.lock();
      if (self && !aError) {
        self->Tick();
        self->ScheduleTick();
      }
    });
}

void
platform_service::impl::Tick()
{
  const time_point now = mClock.Now();
  mStore.ExpireLeases(now);
  FinishReboots(now);
  AnswerWatches(now);
}

void
platform_service::impl::AnswerWatches(time_point aNow)
{
  for (auto each = mWatches.begin(); each != mWatches.end();) {
    const auto batch = mStore.ChangesAfter(each->mPrefix, each->mAfter);
    reply answer;
    if (mFaults.Unreachable(each->mZone, aNow)) {
      answer.mDelivery = delivery::kDrop;
    } else if (!batch) {
      answer.mResponse = Failure(kNotFound, batch.assume_error().mMessage);
    } else if (!batch.assume_value().mChanges.empty() ||
               each->mDeadline <= aNow) {
      answer.mResponse = BatchResponse(batch.assume_value());
    } else {
      ++each;
      continue;
    }
    const replier respond = std::move(each->mReply);
    each = mWatches.erase(each);
    respond(std::move(answer));
  }
}

void
platform_service::impl::FinishReboots(time_point aNow)
{
  for (auto each = mReboots.begin(); each != mReboots.end();) {
    if (each->mEnds > aNow) {
      ++each;
      continue;
    }
    const running_reboot done = *each;
    each = mReboots.erase(each);
    // The host is known: Act has checked it.
    static_cast<void>(mHosts.CountBoot(done.mHost, aNow));
    if (done.mService.Empty()) {
      static_cast<void>(mHosts.SetService(done.mHost, {}, aNow));
      FinishAction(done.mId, boost::outcome_v2::success());
    } else {
      RunCommand(done.mId, { done.mHost, true, done.mService });
    }
  }
}

platform_service::platform_service(boost::asio::io_context& aIo,
                                   const clock_source& aClock,
                                   const fleet_file& aFleet,
                                   runner_control aControl)
  : mImpl(std::make_shared<impl>(aIo, aClock, aFleet, std::move(aControl)))
{
  mImpl->Start();
}

platform_service::~platform_service() = default;

void
platform_service::Handle(const http::request& aRequest, const replier& aReply)
{
  mImpl->Handle(aRequest, aReply);
}

} // namespace mangospan::standin
