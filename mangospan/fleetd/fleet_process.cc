#include "mangospan/fleetd/fleet_process.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>

#include <boost/asio/io_context.hpp>

#include "mangospan/base/log.h"
#include "mangospan/config/document.h"
#include "mangospan/config/parser.h"
#include "mangospan/config/patch.h"
#include "mangospan/daemon/cut_switch.h"

namespace mangospan::fleetd {

namespace {

constexpr std::chrono::milliseconds kTickEvery{ 50 };
constexpr std::chrono::milliseconds kDialEvery{ 1000 };
constexpr std::chrono::milliseconds kTellOtherZonesEvery{ 2000 };
// Long enough for one call of the platform; the lease lapses by itself anyway.
constexpr std::chrono::milliseconds kRevokeWait{ 1500 };

fleet::settings
DecisionSettings(const settings::process_settings& aSettings)
{
  constexpr int kRenewalsPerLease = 3;
  fleet::settings decisions;
  decisions.mLeaseTtl = aSettings.mLeaseTtl;
  decisions.mRenewInterval = aSettings.mLeaseTtl / kRenewalsPerLease;
  decisions.mHeartbeatInterval = aSettings.mHeartbeat;
  decisions.mHostListInterval = aSettings.mHostListPeriod;
  return decisions;
}

} // namespace

fleet_process::fleet_process(boost::asio::io_context& aIo,
                             settings::process_settings aSettings,
                             platform::store& aStore,
                             platform::hosts& aHosts,
                             const clock_source& aClock,
                             daemon::metrics& aMetrics,
                             boot_id aBoot)
  : mSettings(std::move(aSettings))
  , mClock(aClock)
  , mMetrics(aMetrics)
  , mBoot(aBoot)
  , mController(mSettings.mZone,
                { mSettings.mHost, aBoot, mSettings.mPeerAddress },
                DecisionSettings(mSettings),
                &config::Parse,
                aBoot.mValue)
  , mLink(
      aIo,
      [this] { return Self(); },
      mGate,
      LinkHandlers())
  , mHub(
      mSettings.mZone,
      [this](wire::connection_id aConnection, const wire::message& aMessage) {
        mLink.Send(aConnection, aMessage);
      })
  , mCarrier(aStore, aHosts, mHub, ResultFeed(), aMetrics)
  , mTimer(aIo)
{
}

wire::link_handlers
fleet_process::LinkHandlers()
{
  wire::link_handlers handlers;
  handlers.mOnOpen = [this](wire::connection_id aConnection,
                            const std::string& /*aDialled*/) {
    OnOpen(aConnection);
  };
  handlers.mOnEnvelope = [this](wire::connection_id aConnection,
                                const wire::envelope& aEnvelope) {
    OnEnvelope(aConnection, aEnvelope);
  };
  handlers.mOnClose = [this](wire::connection_id aConnection) {
    OnClose(aConnection);
  };
  return handlers;
}

result_feed
fleet_process::ResultFeed()
{
  result_feed feed;
  feed.mStore = [this](fleet::call_id aId, const fleet::store_result& aResult) {
    Carry(mController.OnStoreResult(aId, aResult, mClock.Now()));
  };
  feed.mHosts = [this](fleet::call_id aId,
                       const result<platform::host_list>& aResult) {
    Carry(mController.OnHostList(aId, aResult, mClock.Now()));
  };
  feed.mAction = [this](fleet::call_id aId,
                        const result<platform::action_status>& aResult) {
    Carry(mController.OnHostActionResult(aId, aResult, mClock.Now()));
  };
  return feed;
}

status
fleet_process::Start()
{
  BOOST_OUTCOME_TRY(mLink.Listen(mSettings.mPeerAddress));
  mDialled.insert(mSettings.mPeers.begin(), mSettings.mPeers.end());
  mDialled.erase(mSettings.mPeerAddress);
  mLink.SetPeers(mDialled);
  ScheduleTick();
  return boost::outcome_v2::success();
}

void
fleet_process::Stop(std::function<void()> aDone)
{
  if (mOnStopped) {
    return;
  }
  mOnStopped = std::move(aDone);
  mStopBy = mClock.Now() + kRevokeWait;
  Carry(mController.OnStop(mClock.Now()));
  for (const auto& [connection, peer] : mHub.Peers()) {
    mLink.Send(connection, wire::goodbye{});
  }
}

void
fleet_process::FinishStop()
{
  mLink.Stop();
  std::exchange(mOnStopped, nullptr)();
}

void
fleet_process::ScheduleTick()
{
  mTimer.expires_after(kTickEvery);
  mTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      Tick();
    }
  });
}

void
fleet_process::Tick()
{
  const time_point now = mClock.Now();
  if (mOnStopped) {
    if (now >= mStopBy) {
      FinishStop();
      return;
    }
  } else {
    Carry(mController.OnTick(now, std::chrono::system_clock::now()));
    DialEntries();
    TellOtherZones();
  }
  ScheduleTick();
}

void
fleet_process::Carry(const fleet::actions& aActions)
{
  mCarrier.Carry(aActions);
  PassOnConfiguration();
}

// The controller serves the zone's entries; the other fleet processes, of this
// zone and of its neighbours, get each new revision once from here, as a patch.
// Whoever does not hold the patch's base asks for the whole.
void
fleet_process::PassOnConfiguration()
{
  const config::revisioned_document& held = mController.Configuration();
  if (held.mRevision == mPassedOnRevision) {
    return;
  }
  if (mPassedOnRevision != 0) {
    const auto patch = config::MakePatch(mPassedOnText, held.mText);
    if (patch.has_value()) {
      const wire::config_push push{ held.mRevision,
                                    mPassedOnRevision,
                                    patch.assume_value() };
      mHub.SendToZoneFleets(push);
      mHub.SendToOtherZones(push);
    }
  }
  mPassedOnRevision = held.mRevision;
  mPassedOnText = held.mText;
}

// Entries learn the zone's fleet processes from their settings, which do not
// name a process whose host has replaced another. So the acting process dials
// the registered entries that have not reached it.
void
fleet_process::DialEntries()
{
  const time_point now = mClock.Now();
  if (now < mNextDial || !mController.Acting()) {
    return;
  }
  mNextDial = now + kDialEvery;
  const std::set<std::string> connected = mHub.ConnectedAddresses();
  std::set<std::string> wanted(mSettings.mPeers.begin(),
                               mSettings.mPeers.end());
  wanted.erase(mSettings.mPeerAddress);
  for (const view::entry_member& entry : mController.View().mEntries) {
    const std::string& address = entry.mPeerAddress;
    if (mDialled.count(address) > 0 || connected.count(address) == 0) {
      wanted.insert(address);
    }
  }
  if (wanted != mDialled) {
    mDialled = wanted;
    mLink.SetPeers(mDialled);
  }
}

// Pushes travel at once; this repeats the revision for those that were cut off
// at the time, so that they can ask.
void
fleet_process::TellOtherZones()
{
  const time_point now = mClock.Now();
  if (now < mNextTelling) {
    return;
  }
  mNextTelling = now + kTellOtherZonesEvery;
  mHub.SendToOtherZones(
    wire::heartbeat{ {}, mController.Configuration().mRevision, false });
}

wire::sender
fleet_process::Self() const
{
  return { wire::process_role::kFleet,
           mSettings.mHost,
           mSettings.mZone,
           mBoot,
           mController.Acting() ? mController.Term() : 0 };
}

wire::hello
fleet_process::Hello() const
{
  wire::hello hello;
  hello.mPeerAddress = mSettings.mPeerAddress;
  hello.mView = mController.View().mVersion;
  hello.mConfigRevision = mController.Configuration().mRevision;
  hello.mTermHeard = mController.Term();
  return hello;
}

bool
fleet_process::IsZoneEntry(const wire::sender& aSender) const
{
  return aSender.mRole == wire::process_role::kEntry &&
         aSender.mZone == mSettings.mZone;
}

void
fleet_process::OnOpen(wire::connection_id aConnection)
{
  mLink.Send(aConnection, Hello());
}

void
fleet_process::OnClose(wire::connection_id aConnection)
{
  const std::optional<view::entry_id> lost = mHub.OnClose(aConnection);
  if (lost) {
    Carry(mController.OnEntryDisconnected(*lost, mClock.Now()));
  }
}

void
fleet_process::OnEnvelope(wire::connection_id aConnection,
                          const wire::envelope& aEnvelope)
{
  std::visit(
    [&](const auto& aMessage) { On(aConnection, aEnvelope.mSender, aMessage); },
    aEnvelope.mMessage);
}

void
fleet_process::On(wire::connection_id aConnection,
                  const wire::sender& aSender,
                  const wire::hello& aHello)
{
  mHub.OnHello(aConnection, aSender, aHello.mPeerAddress);
  if (IsZoneEntry(aSender)) {
    Carry(mController.OnEntryHello(
      { aSender.mHost, aSender.mBoot }, aHello, mClock.Now()));
  } else if (aHello.mConfigRevision > mController.Configuration().mRevision) {
    mLink.Send(aConnection, wire::state_request{});
  }
}

void
fleet_process::On(wire::connection_id aConnection,
                  const wire::sender& aSender,
                  const wire::heartbeat& aHeartbeat)
{
  if (aSender.mRole != wire::process_role::kFleet) {
    return;
  }
  if (aSender.mZone == mSettings.mZone) {
    Carry(mController.OnPeerHeartbeat(aSender, aHeartbeat, mClock.Now()));
  }
  const bool lacksView = aSender.mZone == mSettings.mZone &&
                         !mController.Acting() &&
                         mHeardView.mVersion < aHeartbeat.mView;
  if (lacksView ||
      mController.Configuration().mRevision < aHeartbeat.mConfigRevision) {
    mLink.Send(aConnection, wire::state_request{});
  }
}

void
fleet_process::On(wire::connection_id /*aConnection*/,
                  const wire::sender& aSender,
                  const wire::view_push& aPush)
{
  if (aSender.mZone == mSettings.mZone &&
      mHeardView.mVersion < aPush.mView.mVersion) {
    mHeardView = aPush.mView;
  }
}

void
fleet_process::On(wire::connection_id aConnection,
                  const wire::sender& /*aSender*/,
                  const wire::config_push& aPush)
{
  if (aPush.mRevision <= mController.Configuration().mRevision) {
    return;
  }
  const result<std::string> text = config::ApplyUpdate(
    mController.Configuration(), aPush.mBaseRevision, aPush.mText);
  if (text.has_error()) {
    mLink.Send(aConnection, wire::state_request{});
    return;
  }
  Carry(mController.OnConfiguration(
    aPush.mRevision, text.assume_value(), mClock.Now()));
}

void
fleet_process::On(wire::connection_id aConnection,
                  const wire::sender& aSender,
                  const wire::state_request& /*aRequest*/)
{
  const config::revisioned_document& held = mController.Configuration();
  if (held.mRevision != 0) {
    mLink.Send(aConnection, wire::config_push{ held.mRevision, 0, held.mText });
  }
  const view::zone_view& view =
    mController.Acting() ? mController.View() : mHeardView;
  if (aSender.mZone == mSettings.mZone && view.mVersion.mTerm != 0) {
    mLink.Send(aConnection, wire::view_push{ view });
  }
}

void
fleet_process::On(wire::connection_id /*aConnection*/,
                  const wire::sender& aSender,
                  const wire::entry_report& aReport)
{
  if (IsZoneEntry(aSender)) {
    Carry(mController.OnEntryReport(
      { aSender.mHost, aSender.mBoot }, aReport, mClock.Now()));
  }
}

void
fleet_process::On(wire::connection_id /*aConnection*/,
                  const wire::sender& aSender,
                  const wire::goodbye& /*aGoodbye*/)
{
  if (IsZoneEntry(aSender)) {
    Carry(mController.OnEntryShutdown({ aSender.mHost, aSender.mBoot },
                                      mClock.Now()));
  }
}

template<typename Other>
void
fleet_process::On(wire::connection_id /*aConnection*/,
                  const wire::sender& /*aSender*/,
                  const Other& /*aMessage*/)
{
}

std::string
fleet_process::DumpState() const
{
  return mController.DumpState();
}

void
fleet_process::RefreshMetrics()
{
  mMetrics.Set("mangospan_fleet_acting", {}, mController.Acting() ? 1 : 0);
  mMetrics.Set(
    "mangospan_fleet_term", {}, static_cast<double>(mController.Term()));
  mMetrics.Set("mangospan_fleet_config_revision",
               {},
               static_cast<double>(mController.Configuration().mRevision));
  mMetrics.Set("mangospan_fleet_connections",
               {},
               static_cast<double>(mHub.Peers().size()));
  const wire::link_counters& link = mLink.Counters();
  mMetrics.Set("mangospan_fleet_link_sent_bytes",
               {},
               static_cast<double>(link.mSentBytes));
  mMetrics.Set("mangospan_fleet_link_received_bytes",
               {},
               static_cast<double>(link.mReceivedBytes));
  mMetrics.Set("mangospan_fleet_link_sent_messages",
               {},
               static_cast<double>(link.mSentMessages));
  mMetrics.Set("mangospan_fleet_link_received_messages",
               {},
               static_cast<double>(link.mReceivedMessages));
}

http::response
fleet_process::TestSwitch(const http::request& aRequest)
{
  return daemon::SwitchCut(mGate, aRequest);
}

} // namespace mangospan::fleetd
