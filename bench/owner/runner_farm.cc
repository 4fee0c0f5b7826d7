#include "bench/owner/runner_farm.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace mangospan::bench {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kTick{ 5 };

const char*
NameOf(jobs::run_end aEnd)
{
  return aEnd == jobs::run_end::kDone ? "done" : "lapsed";
}

std::string
Encode(const jobs::poll_report& aReport)
{
  json running = json::array();
  for (const jobs::live_run& each : aReport.mLive) {
    running.push_back(
      { each.mTask, each.mRun, each.mCheckpoint, each.mPercent, 1500 });
  }
  json ended = json::array();
  for (const jobs::ended_run& each : aReport.mEnded) {
    ended.push_back({ each.mNumber,
                      each.mTask,
                      each.mRun,
                      NameOf(each.mEnd),
                      each.mCheckpoint });
  }
  return json{
    { "clock-ms", aReport.mClock.count() },
    { "born", aReport.mBoot },
    { "running", std::move(running) },
    { "ended", std::move(ended) }
  }.dump();
}

} // namespace

runner_farm::runner_farm(std::size_t aRunners,
                         jobs::resources aCapacity,
                         milliseconds aTask,
                         jobs::resources aNeed)
  : mTimer(mIo)
{
  http::server_options options;
  options.mMaxConnections = 20'000;
  mServer = std::make_unique<http::server>(
    mIo,
    options,
    [this](const http::request& aRequest, const http::responder& aRespond) {
      Serve(aRequest, aRespond);
    });
  const auto listening = mServer->Listen("127.0.0.1:0");
  if (listening.has_error()) {
    return; // no runners: the benchmark says so
  }
  const std::string address = "127.0.0.1:" + std::to_string(mServer->Port());
  for (std::size_t i = 0; i < aRunners; ++i) {
    jobs::runner_info info;
    info.mName = jobs::runner_name{ "runner-" + std::to_string(i) };
    info.mService = service_name{ "work" };
    info.mAddress = address;
    info.mRack = rack_name{ "rack-" + std::to_string(i / 20) };
    info.mCapacity = aCapacity;
    info.mBoot = static_cast<std::int64_t>(i) + 1;
    member added;
    added.mRunner =
      std::make_unique<jobs::testing::fake_runner>(info, 1.0, mClock.Now());
    added.mRunner->SetHooks(
      [aTask, aNeed](const std::string&) {
        return jobs::testing::fake_work{ aTask, false, aNeed };
      },
      [](const std::string&, std::uint32_t) {},
      [](const std::string&, std::uint32_t, jobs::run_end) {},
      [](const std::string&, std::uint32_t, jobs::run_end, bool) {});
    mMembers.emplace(info.mName.Str(), std::move(added));
    mInfos.push_back(std::move(info));
  }
  Tick();
  mThread = std::thread([this] { mIo.run(); });
}

runner_farm::~runner_farm()
{
  mIo.stop();
  if (mThread.joinable()) {
    mThread.join();
  }
}

void
runner_farm::Serve(const http::request& aRequest,
                   const http::responder& aRespond)
{
  const auto found =
    mMembers.find(std::string(aRequest.Get("X-Expected-Instance")));
  if (found == mMembers.end()) {
    aRespond(http::JsonResponse(421, "{}"));
  } else if (aRequest.mTarget == "/run-start") {
    Start(found->second, aRequest, aRespond);
  } else if (aRequest.mTarget == "/hold") {
    Poll(found->second, aRequest, aRespond);
  } else {
    aRespond(http::JsonResponse(404, "{}"));
  }
}

void
runner_farm::Start(member& aMember,
                   const http::request& aRequest,
                   const http::responder& aRespond)
{
  const json body = json::parse(aRequest.mBody);
  jobs::start_order order;
  order.mTask = *jobs::ParseTaskId(body.at("task").get<std::string>());
  order.mRun = body.at("run").get<std::uint32_t>();
  order.mExpiry = milliseconds(body.at("deadline-ms").get<std::int64_t>());
  const auto outcome = aMember.mRunner->Start(
    order, body.at("fencing-token").get<std::uint64_t>(), mClock.Now());
  aRespond(http::JsonResponse(outcome == jobs::order_outcome::kDone ? 200 : 409,
                              R"({"clock-ms":1,"reason":"late"})"));
}

void
runner_farm::Poll(member& aMember,
                  const http::request& aRequest,
                  const http::responder& aRespond)
{
  const json body = json::parse(aRequest.mBody);
  held_poll held;
  held.mOrder.mAcknowledged = body.at("last-seen").get<std::uint64_t>();
  held.mTerm = body.at("fencing-token").get<std::uint64_t>();
  if (body.contains("deadline-ms")) {
    held.mOrder.mLeaseUntil =
      milliseconds(body.at("deadline-ms").get<std::int64_t>());
  }
  held.mUntil =
    mClock.Now() + milliseconds(body.value("wait-ms", std::int64_t{ 0 }));
  held.mRespond = aRespond;
  aMember.mHeld.push_back(std::move(held));
  AnswerHeld(aMember);
}

void
runner_farm::AnswerHeld(member& aMember)
{
  const time_point now = mClock.Now();
  std::vector<held_poll> kept;
  for (held_poll& each : aMember.mHeld) {
    const auto report = aMember.mRunner->Poll(each.mOrder, each.mTerm, now);
    if (!report) {
      each.mRespond(http::JsonResponse(409, R"({"reason":"fence"})"));
    } else if (!report->mEnded.empty() || now >= each.mUntil) {
      each.mRespond(http::JsonResponse(200, Encode(*report)));
    } else {
      kept.push_back(std::move(each));
    }
  }
  aMember.mHeld = std::move(kept);
}

void
runner_farm::Tick()
{
  for (auto& [runnerName, each] : mMembers) {
    each.mRunner->Advance(mClock.Now());
    AnswerHeld(each);
  }
  mTimer.expires_after(kTick);
  mTimer.async_wait([this](const boost::system::error_code& aAbort) {
    if (!aAbort) {
      Tick();
    }
  });
}

} // namespace mangospan::bench
