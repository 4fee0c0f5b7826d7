#include "runner.h"

#include <algorithm>
#include <utility>

#include "mangospan/http/message.h"

namespace mangospan::review {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kMaxLease{ 10'000 };
constexpr milliseconds kWaitInterval{ 10 };
constexpr int kAtWorkPercent = 100;

std::int64_t
UnixMilliseconds()
{
  return std::chrono::duration_cast<milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace

runner::runner(boost::asio::io_context& aIo,
               const clock_source& aClock,
               runner_options aOptions,
               work_source aWork,
               event_handler aOnEvent)
  : mIo(aIo)
  , mClock(aClock)
  , mOptions(std::move(aOptions))
  , mWork(std::move(aWork))
  , mOnEvent(std::move(aOnEvent))
{
}

status
runner::Start()
{
  mBoot = std::max(mBoot + 1, UnixMilliseconds());
  mStartedAt = mClock.Now();
  mToken = 0;
  mLeaseUntil = milliseconds(0);
  mRuns.clear();
  mHighestEnded.clear();
  mEndCount = 0;
  mEnds.clear();
  auto server = std::make_unique<http::server>(
    mIo,
    http::server_options{},
    [this](const http::request& aRequest, const http::responder& aRespond) {
      Answer(aRequest, aRespond);
    });
  BOOST_OUTCOME_TRYV(server->Listen(mOptions.mAddress));
  mServer = std::move(server);
  mOnEvent("runner " + mOptions.mName + " is up");
  return boost::outcome_v2::success();
}

void
runner::Crash()
{
  for (const auto& [task, each] : mRuns) {
    mOnEvent("run " + task + " " + std::to_string(each.mNumber) + " on " +
             mOptions.mName + " is gone with its runner");
  }
  mRuns.clear();
  mServer.reset();
  mOnEvent("runner " + mOptions.mName + " has crashed");
}

std::string
runner::DiscoveryRecord() const
{
  return json{
    { "service", mOptions.mService },
    { "address", mOptions.mAddress },
    { "zone", "zone-1" },
    { "machine", mOptions.mMachine },
    { "version", "1" },
    { "slots", 8 },
    { "state", "ready" },
    { "cold-remaining-ms", 0 },
    { "sequence", 1 },
    { "born", mBoot },
    { "labels", json::array({ mOptions.mLabel, mOptions.mRack }) },
    { "capacity",
      { { "cpu", mOptions.mCpu },
        { "task-memory-mb", 65'536 },
        { "gpus", 0 } } }
  }.dump();
}

milliseconds
runner::AgeOf(const std::string& aTask)
{
  const auto found = mRuns.find(aTask);
  return found == mRuns.end() ? milliseconds(-1)
                              : std::chrono::duration_cast<milliseconds>(
                                  mClock.Now() - found->second.mBegan);
}

std::size_t
runner::RunCount()
{
  Advance();
  return mRuns.size();
}

milliseconds
runner::Clock() const
{
  return std::chrono::duration_cast<milliseconds>(mClock.Now() - mStartedAt);
}

void
runner::End(const std::string& aTask, const char* aHow)
{
  const live_run ended = mRuns.at(aTask);
  mRuns.erase(aTask);
  mHighestEnded[aTask] = std::max(mHighestEnded[aTask], ended.mNumber);
  mEnds.push_back(json::array({ ++mEndCount, aTask, ended.mNumber, aHow, "" }));
  mOnEvent("run " + aTask + " " + std::to_string(ended.mNumber) + " on " +
           mOptions.mName + " ends " + aHow);
}

void
runner::Advance()
{
  const time_point now = mClock.Now();
  std::vector<std::pair<std::string, const char*>> ends;
  for (const auto& [task, each] : mRuns) {
    if (each.mLength.count() > 0 && now >= each.mBegan + each.mLength) {
      ends.emplace_back(task, "done");
    } else if (Clock() >= mLeaseUntil) {
      ends.emplace_back(task, "lapsed");
    }
  }
  for (const auto& [task, how] : ends) {
    End(task, how);
  }
}

http::response
runner::Accepted() const
{
  return http::JsonResponse(200,
                            json{ { "clock-ms", Clock().count() } }.dump());
}

http::response
runner::Refused(const char* aReason) const
{
  return http::JsonResponse(
    409, json{ { "clock-ms", Clock().count() }, { "reason", aReason } }.dump());
}

void
runner::Answer(const http::request& aRequest, const http::responder& aRespond)
{
  if (aRequest.Get("X-Expected-Instance") != mOptions.mName) {
    aRespond(http::JsonResponse(421, "{}"));
    return;
  }
  const json body = json::parse(aRequest.mBody, nullptr, false);
  if (!body.is_object()) {
    aRespond(http::JsonResponse(400, "{}"));
    return;
  }
  Advance();
  const auto token = body.value("fencing-token", std::uint64_t{ 0 });
  if (token < mToken) {
    aRespond(Refused("fence"));
    return;
  }
  mToken = token;
  const std::string_view path = http::Path(aRequest);
  if (path == "/run-start") {
    aRespond(StartRun(body));
  } else if (path == "/run-stop") {
    aRespond(StopRun(body));
  } else if (path == "/pace") {
    aRespond(Accepted());
  } else if (path == "/hold") {
    const milliseconds lease(body.value("deadline-ms", std::int64_t{ 0 }));
    mLeaseUntil = std::max(mLeaseUntil, std::min(lease, Clock() + kMaxLease));
    Poll(body.value("last-seen", std::uint64_t{ 0 }),
         mClock.Now() + milliseconds(body.value("wait-ms", std::int64_t{ 0 })),
         mBoot,
         aRespond);
  } else {
    aRespond(http::JsonResponse(404, "{}"));
  }
}

http::response
runner::StartRun(const json& aBody)
{
  const auto task = aBody.at("task").get<std::string>();
  const auto run = aBody.at("run").get<std::uint32_t>();
  const milliseconds deadline(aBody.at("deadline-ms").get<std::int64_t>());
  if (Clock() > deadline) {
    return Refused("late");
  }
  mLeaseUntil = std::max(mLeaseUntil, std::min(deadline, Clock() + kMaxLease));
  const auto live = mRuns.find(task);
  if (live != mRuns.end()) {
    return live->second.mNumber == run ? Accepted() : Refused("old");
  }
  const auto highest = mHighestEnded.find(task);
  if (highest != mHighestEnded.end() && run <= highest->second) {
    return Refused("old");
  }
  mRuns[task] = { run, mClock.Now(), mWork(task) };
  mOnEvent("run " + task + " " + std::to_string(run) + " on " + mOptions.mName +
           " begins");
  return Accepted();
}

http::response
runner::StopRun(const json& aBody)
{
  const auto task = aBody.at("task").get<std::string>();
  const auto run = aBody.at("run").get<std::uint32_t>();
  mHighestEnded[task] = std::max(mHighestEnded[task], run);
  const auto live = mRuns.find(task);
  if (live != mRuns.end() && live->second.mNumber == run) {
    End(task, "stopped");
  }
  return Accepted();
}

std::string
runner::Report() const
{
  json running = json::array();
  for (const auto& [task, each] : mRuns) {
    running.push_back(
      json::array({ task, each.mNumber, "", kAtWorkPercent, 0 }));
  }
  return json{
    { "clock-ms", Clock().count() },
    { "born", mBoot },
    { "running", std::move(running) },
    { "ended", mEnds }
  }.dump();
}

// Answers once a run has ended or the wait is over.
void
runner::Poll(std::uint64_t aLastSeen,
             time_point aWaitEnd,
             std::int64_t aBoot,
             const http::responder& aRespond)
{
  if (!IsUp() || aBoot != mBoot) {
    return; // the connection is gone
  }
  Advance();
  mEnds.erase(std::remove_if(mEnds.begin(),
                             mEnds.end(),
                             [aLastSeen](const json& aRow) {
                               return aRow.at(0).get<std::uint64_t>() <=
                                      aLastSeen;
                             }),
              mEnds.end());
  if (!mEnds.empty() || mClock.Now() >= aWaitEnd) {
    aRespond(http::JsonResponse(200, Report()));
    return;
  }
  const auto waiting =
    std::make_shared<boost::asio::steady_timer>(mIo, kWaitInterval);
  waiting->async_wait([this, waiting, aLastSeen, aWaitEnd, aBoot, aRespond](
                        const boost::system::error_code& aError) {
    if (!aError) {
      Poll(aLastSeen, aWaitEnd, aBoot, aRespond);
    }
  });
}

} // namespace mangospan::review
