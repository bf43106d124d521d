#include "routing/zone_relays.h"

#include <gtest/gtest.h>

#include "routing/testing/test_time.h"

namespace monsoonreel {
namespace {

using namespace std::chrono_literals;

class zone_relays_test : public testing::Test {
protected:
  static std::string nameOf(int Zone, int Number) {
    return "e-" + std::to_string(Zone) + "-" + std::to_string(Number);
  }
  static std::string addressOf(int Zone, int Number) {
    return "10." + std::to_string(Zone) + ".0." + std::to_string(Number) + ":7";
  }
  // The first entry of each zone runs on the largest VM.
  static int capacityOf(int Number) { return Number == 0 ? 500 : 120; }

  // Returns the relays as seen by the given entry, in Zones zones with InZone
  // entries each.
  static zone_relays seenBy(int Zone, int Number, int Zones, int InZone,
                            int Dead = -1) {
    zone_relays Relays(
        {node_name(nameOf(Zone, Number)), zone_name("z" + std::to_string(Zone)),
         address(addressOf(Zone, Number)), incarnation{1}, capacityOf(Number)});
    std::vector<wire::member> Others;
    for (int Z = 0; Z < Zones; ++Z)
      for (int I = 0; I < InZone; ++I) {
        if ((Z == Zone && I == Number) || I == Dead)
          continue;
        wire::member Member;
        Member.Name = nameOf(Z, I);
        Member.Zone = "z" + std::to_string(Z);
        Member.Address = addressOf(Z, I);
        Member.Capacity = capacityOf(I);
        Others.push_back(std::move(Member));
      }
    Relays.setEntries(Others);
    return Relays;
  }
};

TEST_F(zone_relays_test, Fleet_Small_NeedsNoRelays) {
  EXPECT_FALSE(seenBy(0, 0, 3, 3).inUse());
  EXPECT_TRUE(seenBy(0, 0, 4, 4).inUse());
}

TEST_F(zone_relays_test, Relays_AsAllEntriesSeeThem_AreTheSame) {
  for (int Number = 1; Number < 12; ++Number) {
    zone_relays Relays = seenBy(1, Number, 3, 12);
    std::vector<address> OwnZoneRelays = Relays.ofOwnZone();
    if (Relays.isRelay())
      OwnZoneRelays.emplace_back(addressOf(1, Number));
    EXPECT_EQ(OwnZoneRelays.size(), relays_in_zone);
    EXPECT_EQ(OwnZoneRelays.front().Value, addressOf(1, 0)) << "the larger VM";
    EXPECT_EQ(Relays.ofOtherZones().size(), 2 * relays_in_zone);
    EXPECT_EQ(Relays.zoneEntries().size(), 11u);
  }
}

TEST_F(zone_relays_test, Zone_HasFewerEntriesThanRelays_AllAreRelays) {
  EXPECT_TRUE(seenBy(0, 0, 16, 1).isRelay());
  EXPECT_TRUE(seenBy(0, 0, 16, 1).ofOwnZone().empty());
}

TEST_F(zone_relays_test, Relay_FirstFails_AnotherTakesItsPlace) {
  int Relays = 0;
  for (int Number = 1; Number < 12; ++Number)
    Relays += seenBy(1, Number, 3, 12, /*Dead=*/0).isRelay() ? 1 : 0;
  EXPECT_EQ(Relays, static_cast<int>(relays_in_zone));
}

TEST_F(zone_relays_test, SecondRelay_FirstIsSilent_ActsSoon) {
  EXPECT_TRUE(seenBy(1, 0, 3, 12).isActing(at(0ms)));
  for (int Number = 1; Number < 12; ++Number) {
    zone_relays Relays = seenBy(1, Number, 3, 12);
    if (!Relays.isRelay()) {
      EXPECT_FALSE(Relays.isActing(at(1h)));
      continue;
    }
    Relays.onZoneSum(address(addressOf(1, 0)), at(1000ms));
    EXPECT_FALSE(Relays.isActing(at(1000ms + relay_timeout - 1ms)));
    EXPECT_TRUE(Relays.isActing(at(1000ms + relay_timeout)));
  }
}

} // namespace
} // namespace monsoonreel
