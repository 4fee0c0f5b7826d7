#include "mangospan/fleetd/zone_hub.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "mangospan/base/identity.h"
#include "mangospan/view/zone_view.h"
#include "mangospan/wire/link.h"
#include "mangospan/wire/message.h"

namespace mangospan::fleetd {

namespace {

view::entry_id
EntryOf(const hub_peer& aPeer)
{
  return { aPeer.mSender.mHost, aPeer.mSender.mBoot };
}

bool
IsFleet(const hub_peer& aPeer)
{
  return aPeer.mSender.mRole == wire::process_role::kFleet;
}

} // namespace

zone_hub::zone_hub(zone_name aZone, send_function aSend)
  : mZone(std::move(aZone))
  , mSend(std::move(aSend))
{
}

bool
zone_hub::IsZoneEntry(const hub_peer& aPeer) const
{
  return aPeer.mSender.mRole == wire::process_role::kEntry &&
         aPeer.mSender.mZone == mZone;
}

void
zone_hub::OnHello(wire::connection_id aConnection,
                  const wire::sender& aSender,
                  const std::string& aPeerAddress)
{
  mPeers[aConnection] = { aSender, aPeerAddress };
}

std::optional<view::entry_id>
zone_hub::OnClose(wire::connection_id aConnection)
{
  const auto found = mPeers.find(aConnection);
  if (found == mPeers.end()) {
    return std::nullopt;
  }
  const hub_peer peer = found->second;
  mPeers.erase(found);
  if (!IsZoneEntry(peer) || Entries().count(EntryOf(peer)) > 0) {
    return std::nullopt;
  }
  return EntryOf(peer);
}

// Both sides may have dialled: the newest connection to a process is the one
// most likely to be whole, since the other may be a half-open leftover.
void
zone_hub::SendToEach(const wire::message& aMessage,
                     const std::function<bool(const hub_peer&)>& aWanted) const
{
  std::map<std::pair<host_name, boot_id>, wire::connection_id> newest;
  for (const auto& [connection, peer] : mPeers) {
    if (aWanted(peer)) {
      newest[{ peer.mSender.mHost, peer.mSender.mBoot }] = connection;
    }
  }
  for (const auto& [process, connection] : newest) {
    mSend(connection, aMessage);
  }
}

void
zone_hub::SendToEntries(const wire::message& aMessage,
                        const std::vector<view::entry_id>& aTo) const
{
  SendToEach(aMessage, [&](const hub_peer& aPeer) {
    return IsZoneEntry(aPeer) &&
           (aTo.empty() ||
            std::find(aTo.begin(), aTo.end(), EntryOf(aPeer)) != aTo.end());
  });
}

void
zone_hub::SendToZoneFleets(const wire::message& aMessage) const
{
  SendToEach(aMessage, [this](const hub_peer& aPeer) {
    return IsFleet(aPeer) && aPeer.mSender.mZone == mZone;
  });
}

void
zone_hub::SendToOtherZones(const wire::message& aMessage) const
{
  SendToEach(aMessage, [this](const hub_peer& aPeer) {
    return IsFleet(aPeer) && aPeer.mSender.mZone != mZone;
  });
}

std::set<view::entry_id>
zone_hub::Entries() const
{
  std::set<view::entry_id> entries;
  for (const auto& [connection, peer] : mPeers) {
    if (IsZoneEntry(peer)) {
      entries.insert(EntryOf(peer));
    }
  }
  return entries;
}

std::set<std::string>
zone_hub::ConnectedAddresses() const
{
  std::set<std::string> addresses;
  for (const auto& [connection, peer] : mPeers) {
    addresses.insert(peer.mPeerAddress);
  }
  return addresses;
}

const std::map<wire::connection_id, hub_peer>&
zone_hub::Peers() const
{
  return mPeers;
}

} // namespace mangospan::fleetd
