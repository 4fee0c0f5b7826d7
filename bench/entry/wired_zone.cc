#include "bench/entry/wired_zone.h"

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <thread>
#include <utility>
#include <variant>

#include "mangospan/base/error.h"
#include "mangospan/base/identity.h"
#include "mangospan/config/document.h"
#include "mangospan/config/parser.h"
#include "mangospan/http/message.h"
#include "mangospan/settings/settings.h"
#include "mangospan/wire/message.h"

namespace mangospan::bench {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kHosts = 75;
constexpr std::size_t kPools = 43;
constexpr std::size_t kTeams = 540;
constexpr std::size_t kEntries = 8;
constexpr std::size_t kQuickEndpoints = 4;
constexpr std::size_t kSlots = 8; // of each endpoint
constexpr std::uint64_t kRevision = 5;
constexpr view::version kVersion{ 9, 1 };
constexpr milliseconds kHeartbeatPeriod{ 500 };
constexpr milliseconds kSlowAnswer{ 200 };
constexpr milliseconds kReadyPoll{ 20 };
constexpr int kReadyPolls = 500;
const char* const kAnyPort = "127.0.0.1:0";
const view::entry_id kOwn{ host_name("a-e1"), boot_id{ 77 } };

std::string
Loopback(unsigned short aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

// Nothing can be measured without the part that failed.
void
Require(const status& aStatus)
{
  if (aStatus.has_error()) {
    std::cerr << Describe(aStatus.assume_error()) << '\n';
    std::exit(EXIT_FAILURE); // NOLINT(concurrency-mt-unsafe)
  }
}

config::document
Document()
{
  config::document document;
  for (std::size_t i = 0; i < kPools; ++i) {
    config::pool pool;
    pool.mName = pool_name("pool-" + std::to_string(i));
    pool.mService = service_name("service-" + std::to_string(i));
    pool.mMaxUnavailable.mCount = 1;
    document.mPools.push_back(pool);
    config::work_class work;
    work.mName = class_name("class-" + std::to_string(i));
    work.mMatch.mService = pool.mService;
    work.mTarget = { 0.99, std::chrono::seconds(1) };
    document.mClasses.push_back(work);
  }
  for (std::size_t i = 0; i < kTeams; ++i) {
    document.mTeams.push_back(
      { team_name("team-" + std::to_string(i)), 10, 16 });
  }
  return document;
}

// A host of the pool `aPool` with the same share for every entry.
view::endpoint
SharedEndpoint(std::size_t aHost, std::size_t aPool)
{
  view::endpoint endpoint;
  endpoint.mHost = host_name("host-" + std::to_string(aHost));
  endpoint.mPool = pool_name("pool-" + std::to_string(aPool));
  endpoint.mService = service_name("service-" + std::to_string(aPool));
  endpoint.mAddress = Loopback(static_cast<unsigned short>(aHost + 1));
  endpoint.mEpoch = 3;
  endpoint.mShares = { { kOwn, 1 } };
  for (std::size_t i = 1; i < kEntries; ++i) {
    endpoint.mShares.push_back(
      { { host_name("a-e" + std::to_string(i + 1)), boot_id{ 77 + i } }, 1 });
  }
  return endpoint;
}

// A host whose slots are all this entry's.
view::endpoint
OwnEndpoint(std::size_t aHost, std::size_t aPool, const std::string& aAddress)
{
  view::endpoint endpoint = SharedEndpoint(aHost, aPool);
  endpoint.mAddress = aAddress;
  endpoint.mShares = { { kOwn, kSlots } };
  return endpoint;
}

} // namespace

wired_zone::wired_zone()
{
  mZoneThread.Run([this] {
    StartEndpoints();
    StartFleet();
  });
  mEntryThread.Run([this] { StartEntry(); });
}

wired_zone::~wired_zone()
{
  mEntryThread.Stop();
  mZoneThread.Stop();
}

void
wired_zone::StartEndpoints()
{
  auto& io = mZoneThread.Io();
  const auto quick = [](const http::request&, const http::responder& aRespond) {
    aRespond(http::JsonResponse(200, "{}"));
  };
  const auto slow = [&io](const http::request&, http::responder aRespond) {
    auto timer = std::make_shared<boost::asio::steady_timer>(io, kSlowAnswer);
    timer->async_wait(
      [timer, respond = std::move(aRespond)](boost::system::error_code) {
        respond(http::JsonResponse(200, "{}"));
      });
  };
  const auto listen = [&](const http::request_handler& aHandler) {
    mEndpoints.push_back(
      std::make_unique<http::server>(io, http::server_options{}, aHandler));
    Require(mEndpoints.back()->Listen(kAnyPort));
    return Loopback(mEndpoints.back()->Port());
  };
  for (std::size_t i = 0; i < kQuickEndpoints; ++i) {
    mQuick.push_back(listen(quick));
  }
  mSlow = listen(slow);
}

void
wired_zone::StartFleet()
{
  const auto self = [] {
    return wire::sender{ wire::process_role::kFleet,
                         host_name("a-e2"),
                         zone_name("a"),
                         boot_id{ 1 },
                         kVersion.mTerm };
  };
  wire::link_handlers handlers;
  handlers.mOnOpen = [this](wire::connection_id aId, const std::string&) {
    mConnection = aId;
  };
  handlers.mOnEnvelope = [this](wire::connection_id,
                                const wire::envelope& aEnvelope) {
    if (std::holds_alternative<wire::hello>(aEnvelope.mMessage)) {
      Welcome();
    }
  };
  handlers.mOnClose = [](wire::connection_id) {};
  mFleet.emplace(mZoneThread.Io(), self, mGate, handlers);
  Require(mFleet->Listen(kAnyPort));
  mHeartbeatTimer.emplace(mZoneThread.Io());
}

void
wired_zone::StartEntry()
{
  {
    // Tickets carry the address of the settings, so it can't be any port.
    http::server probe(mEntryThread.Io(), {}, [](const auto&, const auto&) {});
    Require(probe.Listen(kAnyPort));
    mPeerAddress = Loopback(probe.Port());
  }
  settings::process_settings settings;
  settings.mHost = kOwn.mHost;
  settings.mZone = zone_name("a");
  settings.mCallerAddress = kAnyPort;
  settings.mPeerAddress = mPeerAddress;
  settings.mPeers = { Loopback(mFleet->Port()) };
  mEntry.emplace(mEntryThread.Io(), settings, mClock, mMetrics, kOwn.mBoot);
  Require(mEntry->Start());
  mEntryPort = mEntry->CallerPort();
}

void
wired_zone::Welcome()
{
  mFleet->Send(mConnection,
               wire::config_push{ kRevision, 0, config::ToText(Document()) });
  mFleet->Send(mConnection, wire::view_push{ View() });
  if (!std::exchange(mIsWelcome, true)) {
    ScheduleHeartbeat();
  }
}

void
wired_zone::ScheduleHeartbeat()
{
  mFleet->Send(mConnection, wire::heartbeat{ kVersion, kRevision, true });
  mHeartbeatTimer->expires_after(kHeartbeatPeriod);
  mHeartbeatTimer->async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      ScheduleHeartbeat();
    }
  });
}

view::zone_view
wired_zone::View() const
{
  view::zone_view view;
  view.mVersion = kVersion;
  view.mZone = zone_name("a");
  view.mEntries = { { kOwn, mPeerAddress } };
  for (const std::string& address : mQuick) {
    view.mEndpoints.push_back(OwnEndpoint(view.mEndpoints.size(), 0, address));
  }
  view.mEndpoints.push_back(OwnEndpoint(view.mEndpoints.size(), 1, mSlow));
  while (view.mEndpoints.size() < kHosts) {
    const std::size_t host = view.mEndpoints.size();
    view.mEndpoints.push_back(SharedEndpoint(host, 2 + (host % (kPools - 2))));
  }
  return view;
}

bool
wired_zone::BecomesReady()
{
  bool isReady = false;
  for (int i = 0; i < kReadyPolls && !isReady; ++i) {
    std::this_thread::sleep_for(kReadyPoll);
    mEntryThread.Run([&] { isReady = mEntry->IsHealthy(); });
  }
  return isReady;
}

std::string
wired_zone::EntryAddress() const
{
  return Loopback(mEntryPort);
}

wire::link_counters
wired_zone::LinkCounters()
{
  wire::link_counters counters;
  mZoneThread.Run([&] { counters = mFleet->Counters(); });
  return counters;
}

} // namespace mangospan::bench
