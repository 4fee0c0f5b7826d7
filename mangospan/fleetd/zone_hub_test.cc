#include "mangospan/fleetd/zone_hub.h"

#include <map>
#include <string>

#include <gtest/gtest.h>

#include "mangospan/wire/message.h"

namespace mangospan::fleetd {
namespace {

class zone_hub_messages : public testing::Test
{
protected:
  static wire::sender Sender(wire::process_role aRole,
                             const char* aHost,
                             const char* aZone,
                             std::uint64_t aBoot = 1)
  {
    return { aRole, host_name(aHost), zone_name(aZone), boot_id{ aBoot }, 0 };
  }

  std::map<wire::connection_id, int> mSent;
  zone_hub mHub{ zone_name("a"),
                 [this](wire::connection_id aConnection,
                        const wire::message& /*aMessage*/) {
                   ++mSent[aConnection];
                 } };
};

TEST_F(zone_hub_messages, AnEntryWithTwoConnectionsGetsAMessageOnce)
{
  const auto entry = Sender(wire::process_role::kEntry, "e1", "a");
  mHub.OnHello(1, entry, "127.0.0.1:1");
  mHub.OnHello(2, entry, "127.0.0.1:1");
  mHub.SendToEntries(wire::goodbye{}, {});
  EXPECT_EQ(mSent, (std::map<wire::connection_id, int>{ { 2, 1 } }));
  EXPECT_FALSE(mHub.OnClose(2).has_value());
  EXPECT_TRUE(mHub.OnClose(1).has_value());
}

TEST_F(zone_hub_messages, MessagesReachOnlyTheProcessesOfTheirRoleAndZone)
{
  mHub.OnHello(1, Sender(wire::process_role::kEntry, "e1", "a"), "x:1");
  mHub.OnHello(2, Sender(wire::process_role::kFleet, "e1", "a"), "x:2");
  mHub.OnHello(3, Sender(wire::process_role::kFleet, "e2", "b"), "x:3");
  mHub.OnHello(4, Sender(wire::process_role::kEntry, "e2", "b"), "x:4");
  mHub.SendToEntries(wire::goodbye{}, {});
  mHub.SendToZoneFleets(wire::goodbye{});
  mHub.SendToOtherZones(wire::goodbye{});
  EXPECT_EQ(
    mSent,
    (std::map<wire::connection_id, int>{ { 1, 1 }, { 2, 1 }, { 3, 1 } }));
}

TEST_F(zone_hub_messages, OnlyNamedEntriesGetANamedMessage)
{
  mHub.OnHello(1, Sender(wire::process_role::kEntry, "e1", "a"), "x:1");
  mHub.OnHello(2, Sender(wire::process_role::kEntry, "e2", "a"), "x:2");
  mHub.SendToEntries(wire::goodbye{}, { { host_name("e2"), boot_id{ 1 } } });
  EXPECT_EQ(mSent, (std::map<wire::connection_id, int>{ { 2, 1 } }));
}

} // namespace
} // namespace mangospan::fleetd
