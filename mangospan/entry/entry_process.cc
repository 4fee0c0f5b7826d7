#include "mangospan/entry/entry_process.h"

#include <algorithm>
#include <set>
#include <utility>
#include <variant>

#include <boost/asio/io_context.hpp>

#include "mangospan/base/log.h"
#include "mangospan/entry/answers.h"

namespace mangospan::entry {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kTickPeriod{ 100 };
constexpr milliseconds kReportPeriod{ 1'000 };
constexpr milliseconds kSuspensionLimit{ 2'000 };
// For how long callers on idle connections are still told that we stop.
constexpr milliseconds kStopNotice{ 1'000 };
constexpr milliseconds kGoodbyeTime{ 200 };

http::server_options
ServerOptions(const settings::process_settings& aSettings)
{
  http::server_options options;
  options.mMaxBodyBytes = aSettings.mMaxBodyBytes;
  options.mMaxConnections = aSettings.mMaxConnections;
  return options;
}

request::pipeline_options
PipelineOptions(const settings::process_settings& aSettings)
{
  request::pipeline_options options;
  options.mMaxQueuedPerPool = aSettings.mMaxQueuedPerPool;
  return options;
}

} // namespace

entry_process::entry_process(boost::asio::io_context& aIo,
                             settings::process_settings aSettings,
                             const clock_source& aClock,
                             daemon::metrics& aMetrics,
                             boot_id aBoot)
  : mSettings(std::move(aSettings))
  , mOwn{ mSettings.mHost, aBoot }
  , mClock(aClock, kSuspensionLimit, [this] { OnSuspended(); })
  , mMetrics(aMetrics)
  , mMembership(mOwn, mSettings.mZone)
  , mPipeline(PipelineOptions(mSettings), aBoot.mValue)
  , mTickets(
      {},
      mSettings.mPeerAddress,
      aBoot,
      { [this](const std::string& aAddress, const wire::message& aMessage) {
         return SendTo(aAddress, aMessage);
       },
        [this](request::request_id aRequest,
               const request::ticket_decision& aDecision,
               const request::kept_answer& aAnswer) {
          mPipe.OnTicketDecision(aRequest, aDecision, aAnswer);
        } })
  , mClient(aIo, {})
  , mPipe(aIo,
          mClock,
          mClient,
          aMetrics,
          mPipeline,
          mTickets,
          [this] { mReportDue = true; })
  , mServer(aIo,
            ServerOptions(mSettings),
            [this](http::request aRequest, http::responder aRespond) {
              mPipe.Accept(std::move(aRequest), std::move(aRespond));
            })
  , mLink(aIo,
          [this] { return Self(); },
          mGate,
          { [this](connection_id aConnection, const std::string&) {
             OnOpen(aConnection);
           },
            [this](connection_id aConnection, const wire::envelope& aEnvelope) {
              OnEnvelope(aConnection, aEnvelope);
            },
            [this](connection_id aConnection) { OnClose(aConnection); } })
  , mTickTimer(aIo)
  , mStopTimer(aIo)
{
}

status
entry_process::Start()
{
  BOOST_OUTCOME_TRY(mLink.Listen(mSettings.mPeerAddress));
  BOOST_OUTCOME_TRY(mServer.Listen(mSettings.mCallerAddress));
  mLink.SetPeers({ mSettings.mPeers.begin(), mSettings.mPeers.end() });
  ScheduleTick();
  return boost::outcome_v2::success();
}

wire::sender
entry_process::Self() const
{
  return {
    wire::process_role::kEntry, mOwn.mHost, mSettings.mZone, mOwn.mBoot, 0
  };
}

bool
entry_process::IsHealthy() const
{
  // Without a slot it could only refuse, so no balancer should choose it.
  const auto shares = mPipeline.ReservedSlots();
  const bool hasSlots = std::any_of(
    shares.begin(), shares.end(), [](const request::reserved_slots& aEach) {
      return aEach.mSlots > 0;
    });
  return !mIsStopping && mMembership.MayDispatch() && hasSlots;
}

// ---- messages

void
entry_process::OnOpen(connection_id aConnection)
{
  mPeers[aConnection] = {};
  SayHello(aConnection);
  if (!mMembership.HasFreshView() ||
      mMembership.Configuration().mRevision == 0) {
    mLink.Send(aConnection, wire::state_request{});
  }
}

void
entry_process::OnClose(connection_id aConnection)
{
  mPeers.erase(aConnection);
  if (mActing == aConnection) {
    mActing = 0;
  }
}

void
entry_process::OnEnvelope(connection_id aConnection,
                          const wire::envelope& aEnvelope)
{
  mClock.Now(); // drops the old connections first if we were suspended
  const auto peer = mPeers.find(aConnection);
  if (peer == mPeers.end()) {
    return; // of before a suspension: may be out of date
  }
  peer->second.mSender = aEnvelope.mSender;
  std::visit(
    [&](const auto& aMessage) { On(aConnection, aEnvelope.mSender, aMessage); },
    aEnvelope.mMessage);
}

void
entry_process::On(connection_id aConnection,
                  const wire::sender& aSender,
                  const wire::hello& aHello)
{
  mPeers[aConnection].mAddress = aHello.mPeerAddress;
  mTickets.OnConnected(aHello.mPeerAddress);
  Carry(aConnection, mMembership.OnHello(aSender, aHello));
}

void
entry_process::On(connection_id aConnection,
                  const wire::sender& aSender,
                  const wire::heartbeat& aHeartbeat)
{
  const membership_effects effects =
    mMembership.OnHeartbeat(aSender, aHeartbeat);
  if (aSender.mZone == mSettings.mZone && aSender.mTerm != 0 &&
      aSender.mTerm == mMembership.TermHeard()) {
    mActing = aConnection;
  }
  Carry(aConnection, effects);
}

void
entry_process::On(connection_id aConnection,
                  const wire::sender& aSender,
                  const wire::view_push& aPush)
{
  Carry(aConnection, mMembership.OnView(aSender, aPush));
}

void
entry_process::On(connection_id aConnection,
                  const wire::sender& aSender,
                  const wire::config_push& aPush)
{
  Carry(aConnection, mMembership.OnConfig(aSender, aPush));
}

void
entry_process::On(connection_id aConnection,
                  const wire::sender& aSender,
                  const wire::state_request& /*aRequest*/)
{
  const config::revisioned_document& held = mMembership.Configuration();
  if (held.mRevision != 0) {
    mLink.Send(aConnection, wire::config_push{ held.mRevision, 0, held.mText });
  }
  if (aSender.mZone == mSettings.mZone && mMembership.HasFreshView()) {
    mLink.Send(aConnection, wire::view_push{ mMembership.View() });
  }
}

void
entry_process::On(connection_id aConnection,
                  const wire::sender& /*aSender*/,
                  const wire::grant_request& aRequest)
{
  mLink.Send(aConnection, mTickets.OnGrantRequest(aRequest, mClock.Now()));
}

void
entry_process::On(connection_id /*aConnection*/,
                  const wire::sender& /*aSender*/,
                  const wire::grant_reply& aReply)
{
  mTickets.OnGrantReply(aReply, mClock.Now());
}

void
entry_process::On(connection_id /*aConnection*/,
                  const wire::sender& /*aSender*/,
                  const wire::ticket_report& aReport)
{
  mTickets.OnReport(aReport, mClock.Now());
}

// ---- view, configuration, registration

void
entry_process::Carry(connection_id aFrom, const membership_effects& aEffects)
{
  if (aEffects.mSayHello) {
    SayHello(aFrom);
  }
  if (aEffects.mAskState) {
    mLink.Send(aFrom, wire::state_request{});
  }
  if (aEffects.mConfigChanged) {
    mPipe.Carry(mPipeline.OnConfiguration(mMembership.Configuration().mDocument,
                                          mClock.Now()));
  }
  if (aEffects.mViewChanged) {
    AdoptView();
  }
  UpdateDispatching();
  if (aEffects.mViewChanged || aEffects.mConfigChanged) {
    Report();
  }
}

void
entry_process::AdoptView()
{
  const view::zone_view& adopted = mMembership.View();
  mPipe.Carry(mPipeline.OnView(adopted, mOwn, mClock.Now()));
  for (const view::endpoint& each : adopted.mEndpoints) {
    if (each.mState == view::endpoint_state::kDraining) {
      mClient.CloseIdle(each.mAddress);
    }
  }
  std::set<std::string> peers(mSettings.mPeers.begin(), mSettings.mPeers.end());
  for (const view::entry_member& each : adopted.mEntries) {
    // Of two entries the one with the lower address dials.
    if (mSettings.mPeerAddress < each.mPeerAddress) {
      peers.insert(each.mPeerAddress);
    }
  }
  mLink.SetPeers(peers);
}

void
entry_process::UpdateDispatching()
{
  mPipe.Carry(
    mPipeline.SetDispatching(mMembership.MayDispatch(), mClock.Now()));
}

void
entry_process::SayHello(connection_id aConnection)
{
  wire::hello hello;
  hello.mPeerAddress = mSettings.mPeerAddress;
  hello.mView = mMembership.View().mVersion;
  hello.mConfigRevision = mMembership.Configuration().mRevision;
  hello.mTermHeard = mMembership.TermHeard();
  for (const request::reserved_slots& each : mPipeline.ReservedSlots()) {
    hello.mShares.push_back({ each.mHost, each.mEpoch, each.mSlots });
  }
  mLink.Send(aConnection, hello);
}

// Counts stay in the pipeline while there is no acting process to tell.
void
entry_process::Report()
{
  if (mActing == 0) {
    return;
  }
  wire::entry_report report;
  report.mView = mPipeline.AppliedView();
  report.mConfigRevision = mMembership.Configuration().mRevision;
  for (const request::class_demand& each : mPipeline.TakeDemand()) {
    report.mDemand.push_back({ each.mClass,
                               each.mArrivals,
                               each.mAnswered,
                               each.mLate,
                               each.mRefused,
                               each.mBusy,
                               each.mQueued });
  }
  for (const request::drained_host& each : mPipeline.DrainedHosts()) {
    report.mEmptied.push_back({ each.mHost, each.mEpoch });
  }
  report.mEjected = mPipeline.EjectedHosts();
  mLink.Send(mActing, report);
  mReportedView = report.mView;
  mReportDue = false;
  mNextReport = mClock.Now() + kReportPeriod;
}

bool
entry_process::SendTo(const std::string& aAddress,
                      const wire::message& aMessage)
{
  const auto found =
    std::find_if(mPeers.begin(), mPeers.end(), [&aAddress](const auto& aPeer) {
      return aPeer.second.mAddress == aAddress;
    });
  if (found == mPeers.end()) {
    return false;
  }
  mLink.Send(found->first, aMessage);
  return true;
}

// Whatever the connections of before still hold may be out of date; only what
// comes over new ones counts.
void
entry_process::OnSuspended()
{
  LogEvent(log_level::kWarning, "process.was-suspended", {});
  mMetrics.Add("mangospan_entry_suspensions_total", {});
  mMembership.OnSuspended();
  for (const auto& [connection, peer] : mPeers) {
    mLink.Close(connection);
  }
  mPeers.clear();
  mActing = 0;
  UpdateDispatching();
}

// ---- time

void
entry_process::ScheduleTick()
{
  mTickTimer.expires_after(kTickPeriod);
  mTickTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      Tick();
      ScheduleTick();
    }
  });
}

void
entry_process::Tick()
{
  const time_point now = mClock.Now();
  mTickets.OnTick(now);
  const bool hasApplied = !(mPipeline.AppliedView() == mReportedView);
  if (mReportDue || hasApplied || now >= mNextReport) {
    Report();
  }
}

// ---- stop

void
entry_process::Stop(std::function<void()> aDone)
{
  if (mIsStopping) {
    return;
  }
  LogEvent(log_level::kInfo,
           "process.stopping",
           { { "open", static_cast<std::uint64_t>(mPipe.Open()) } });
  mIsStopping = true;
  mOnStopped = std::move(aDone);
  mStopBegan = mClock.Now();
  mServer.AnnounceStop();
  mPipeline.SetAccepting(false);
  mPipe.Stop();
  StopWhenIdle();
}

void
entry_process::StopWhenIdle()
{
  const auto passed = mClock.Now() - mStopBegan;
  const bool isIdle =
    mPipe.Open() == 0 && mPipeline.Idle() && mServer.ActiveRequests() == 0;
  // The rest of the stop takes a last tick and the goodbye.
  const bool isTimedOut =
    passed + kTickPeriod + kGoodbyeTime >= mSettings.mStopTimeout;
  if ((isIdle && passed >= kStopNotice) || isTimedOut) {
    FinishStop();
    return;
  }
  mStopTimer.expires_after(kTickPeriod);
  mStopTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      StopWhenIdle();
    }
  });
}

void
entry_process::FinishStop()
{
  if (mPipe.Open() > 0) {
    LogEvent(log_level::kWarning,
             "process.stop-timeout",
             { { "open", static_cast<std::uint64_t>(mPipe.Open()) } });
  }
  mServer.StopAccepting();
  mServer.AnswerActiveRequests(UnfinishedAnswer());
  mTickTimer.cancel();
  Report();
  for (const auto& [connection, peer] : mPeers) {
    mLink.Send(connection, wire::goodbye{});
  }
  mStopTimer.expires_after(kGoodbyeTime);
  mStopTimer.async_wait([this](const boost::system::error_code&) {
    mLink.Stop();
    mOnStopped();
  });
}

} // namespace mangospan::entry
