// Keeps track of which link connection leads to which process.
//
// The fleet daemon tells it about connections and hellos, and names receivers
// by role instead of by connection:
//
//   hub.OnHello(connection, envelope.mSender, hello.mPeerAddress);
//   hub.SendToEntries(message, {}); // to every entry of the zone
#ifndef MANGOSPAN_FLEETD_ZONE_HUB_H
#define MANGOSPAN_FLEETD_ZONE_HUB_H

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "mangospan/base/identity.h"
#include "mangospan/view/zone_view.h"
#include "mangospan/wire/link.h"
#include "mangospan/wire/message.h"

namespace mangospan::fleetd {

// One process at the other end of a connection, once it has said hello.
struct hub_peer
{
  wire::sender mSender;
  std::string mPeerAddress; // "ip:port" of its link listener
};

class zone_hub
{
public:
  using send_function =
    std::function<void(wire::connection_id, const wire::message&)>;

  // `aSend` queues a message on a connection; it may lose it.
  zone_hub(zone_name aZone, send_function aSend);

  void OnHello(wire::connection_id aConnection,
               const wire::sender& aSender,
               const std::string& aPeerAddress);

  // Forgets the connection. Returns the entry that is no longer connected, if
  // it was the last connection to an entry of the zone.
  std::optional<view::entry_id> OnClose(wire::connection_id aConnection);

  // To the named entries of the zone (none named: to all), one connection each.
  void SendToEntries(const wire::message& aMessage,
                     const std::vector<view::entry_id>& aTo) const;

  // To the other fleet processes of this zone.
  void SendToZoneFleets(const wire::message& aMessage) const;

  // To the fleet processes of other zones that are connected.
  void SendToOtherZones(const wire::message& aMessage) const;

  // The connected entries of the zone.
  std::set<view::entry_id> Entries() const;

  // The peer addresses of connected processes.
  std::set<std::string> ConnectedAddresses() const;

  const std::map<wire::connection_id, hub_peer>& Peers() const;

private:
  bool IsZoneEntry(const hub_peer& aPeer) const;
  void SendToEach(const wire::message& aMessage,
                  const std::function<bool(const hub_peer&)>& aWanted) const;

  zone_name mZone;
  send_function mSend;
  std::map<wire::connection_id, hub_peer> mPeers;
};

} // namespace mangospan::fleetd

#endif // MANGOSPAN_FLEETD_ZONE_HUB_H
