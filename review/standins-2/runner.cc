#include "review/standins-2/runner.h"

#include <string_view>
#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "mangospan/http/message.h"

namespace mangospan::review {

using jobs::order_outcome;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kWaitInterval{ 5 };
constexpr milliseconds kDefaultWork{ 1'000 };

const char*
ReasonOf(order_outcome aOutcome)
{
  switch (aOutcome) {
    case order_outcome::kFenced:
      return "fence";
    case order_outcome::kStale:
      return "old";
    case order_outcome::kExpired:
      return "late";
    default:
      return "room";
  }
}

std::int64_t
UnixMilliseconds()
{
  return std::chrono::duration_cast<milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

milliseconds
WorkIn(const std::string& aSpecification)
{
  const json parsed = json::parse(aSpecification, nullptr, false);
  return parsed.is_number_integer() ? milliseconds(parsed.get<std::int64_t>())
                                    : kDefaultWork;
}

} // namespace

const char*
Word(jobs::run_end aEnd)
{
  switch (aEnd) {
    case jobs::run_end::kDone:
      return "done";
    case jobs::run_end::kFailed:
      return "failed";
    case jobs::run_end::kStopped:
      return "stopped";
    case jobs::run_end::kLeaseExpired:
      return "lapsed";
    case jobs::run_end::kGangBroken:
      return "broken";
    case jobs::run_end::kGangTimeout:
      return "alone";
  }
  return "";
}

runner::runner(boost::asio::io_context& aIo,
               const clock_source& aClock,
               jobs::runner_info aInfo,
               runner_events aEvents)
  : mIo(aIo)
  , mClock(aClock)
  , mInfo(std::move(aInfo))
  , mEvents(std::move(aEvents))
{
}

status
runner::Boot()
{
  mBootedAt = mClock.Now();
  mInfo.mBoot = UnixMilliseconds();
  mRuns =
    std::make_unique<jobs::testing::fake_runner>(mInfo, 1.0, mClock.Now());
  mRuns->SetHooks(
    [this](const std::string& aTask) {
      return jobs::testing::fake_work{ mWork[aTask], false, {} };
    },
    mEvents.mOnBegin,
    mEvents.mOnEnd,
    [](const std::string&, std::uint32_t, jobs::run_end, bool) {});
  mServer = std::make_unique<http::server>(
    mIo,
    http::server_options{},
    [weak = weak_from_this()](const http::request& aRequest,
                              const http::responder& aRespond) {
      if (const auto self = weak.lock(); self && self->IsUp()) {
        self->Answer(aRequest, aRespond);
      }
    });
  const bool isFirst = mInfo.mAddress.empty();
  BOOST_OUTCOME_TRYV(
    mServer->Listen(isFirst ? std::string("127.0.0.1:0") : mInfo.mAddress));
  if (isFirst) {
    mInfo.mAddress = "127.0.0.1:" + std::to_string(mServer->Port());
  }
  mEvents.mNote("runner " + Name() + " is up");
  return boost::outcome_v2::success();
}

void
runner::EndRuns(const std::string& aWhat)
{
  std::string lost;
  for (const auto& [task, each] : mRuns->Runs()) {
    lost += " " + task + "/" + std::to_string(each.mNumber);
  }
  mEvents.mNote("runner " + Name() + " " + aWhat +
                (lost.empty() ? "" : ", with it" + lost));
  mRuns.reset();
}

void
runner::Crash()
{
  EndRuns("crashes");
  mServer.reset();
}

void
runner::GoDark()
{
  EndRuns("is lost without a word");
  mIsDark = true;
}

void
runner::Advance()
{
  if (mRuns) {
    mRuns->Advance(mClock.Now());
  }
}

std::int64_t
runner::ClockMs() const
{
  return std::chrono::duration_cast<milliseconds>(mClock.Now() - mBootedAt)
    .count();
}

std::string
runner::DiscoveryRecord() const
{
  return json{
    { "service", mInfo.mService.Str() },
    { "address", mInfo.mAddress },
    { "zone", mInfo.mZone.Str() },
    { "machine", mInfo.mHost.Str() },
    { "version", "1" },
    { "slots", 8 },
    { "state", "ready" },
    { "cold-remaining-ms", 0 },
    { "sequence", 1 },
    { "born", mInfo.mBoot },
    { "labels", mInfo.mLabels },
    { "capacity",
      { { "cpu", mInfo.mCapacity.mCpu },
        { "task-memory-mb", mInfo.mCapacity.mMemoryMb },
        { "gpus", mInfo.mCapacity.mGpus } } }
  }.dump();
}

http::response
runner::ResponseTo(order_outcome aOutcome) const
{
  json body{ { "clock-ms", ClockMs() } };
  if (aOutcome == order_outcome::kDone) {
    return http::JsonResponse(200, body.dump());
  }
  body["reason"] = ReasonOf(aOutcome);
  return http::JsonResponse(409, body.dump());
}

void
runner::Answer(const http::request& aRequest, const http::responder& aRespond)
{
  if (aRequest.Get("X-Expected-Instance") != Name()) {
    aRespond(http::JsonResponse(421, json{ { "clock-ms", ClockMs() } }.dump()));
    return;
  }
  const std::string_view path = http::Path(aRequest);
  const json body = json::parse(aRequest.mBody);
  const auto term = body.value("fencing-token", std::uint64_t{ 0 });
  if (path == "/hold") {
    jobs::poll_order order;
    order.mAcknowledged = body.at("last-seen").get<std::uint64_t>();
    if (body.contains("deadline-ms")) {
      order.mLeaseUntil =
        milliseconds(body.at("deadline-ms").get<std::int64_t>());
    }
    const milliseconds wait(body.value("wait-ms", std::int64_t{ 0 }));
    Poll(order, term, mClock.Now() + wait, aRespond);
    return;
  }
  const std::string name = body.at("task").get<std::string>();
  const auto task = jobs::ParseTaskId(name);
  if (!task) {
    aRespond(http::JsonResponse(400, "{}"));
  } else if (path == "/run-start") {
    jobs::start_order order;
    order.mTask = *task;
    order.mRun = body.at("run").get<std::uint32_t>();
    order.mExpiry = milliseconds(body.at("deadline-ms").get<std::int64_t>());
    mWork[name] = WorkIn(body.at("specification").get<std::string>());
    aRespond(ResponseTo(mRuns->Start(order, term, mClock.Now())));
  } else if (path == "/run-stop") {
    const jobs::stop_order order{ mInfo.mName,
                                  *task,
                                  body.at("run").get<std::uint32_t>() };
    aRespond(ResponseTo(mRuns->Stop(order, term, mClock.Now())));
  } else {
    aRespond(ResponseTo(order_outcome::kDone)); // "/pace"
  }
}

// Answers once a run has ended or the wait is over.
void
runner::Poll(const jobs::poll_order& aOrder,
             std::uint64_t aTerm,
             time_point aWaitEnd,
             const http::responder& aRespond)
{
  const auto report = mRuns->Poll(aOrder, aTerm, mClock.Now());
  if (!report) {
    aRespond(ResponseTo(order_outcome::kFenced));
    return;
  }
  if (report->mEnded.empty() && mClock.Now() < aWaitEnd) {
    const auto waiting =
      std::make_shared<boost::asio::steady_timer>(mIo, kWaitInterval);
    waiting->async_wait(
      [weak = weak_from_this(),
       waiting,
       aOrder,
       aTerm,
       aWaitEnd,
       aRespond,
       boot = mInfo.mBoot](const boost::system::error_code& /*aError*/) {
        const auto self = weak.lock();
        if (self && self->IsUp() && self->mInfo.mBoot == boot) {
          self->Poll(aOrder, aTerm, aWaitEnd, aRespond);
        }
      });
    return;
  }
  json running = json::array();
  for (const jobs::live_run& each : report->mLive) {
    running.push_back(json::array(
      { each.mTask, each.mRun, each.mCheckpoint, each.mPercent, 0 }));
  }
  json ended = json::array();
  for (const jobs::ended_run& each : report->mEnded) {
    ended.push_back(json::array({ each.mNumber,
                                  each.mTask,
                                  each.mRun,
                                  Word(each.mEnd),
                                  each.mCheckpoint }));
  }
  aRespond(http::JsonResponse(200,
                              json{ { "clock-ms", ClockMs() },
                                    { "born", mInfo.mBoot },
                                    { "running", std::move(running) },
                                    { "ended", std::move(ended) } }
                                .dump()));
}

} // namespace mangospan::review
