// Fleets of several sizes whose operator evacuates zones.

#include "routing/testing/pressure_fleet.h"

namespace monsoonreel {
namespace {

class zone_evacuation_test : public pressure_fleet {
protected:
  void order(int Zone) {
    append(config_feed, "evacuate/z" + std::to_string(Zone), "{}");
  }
  bool isCut(size_t From, size_t To) const override {
    return Cut.contains(From) != Cut.contains(To);
  }
  void withdraw(int Zone) {
    remove(config_feed, "evacuate/z" + std::to_string(Zone));
  }
  // Runs on, and expects no request in the zone from From on.
  void expectNoneUntil(duration End, duration From, int Zone = 0) {
    runUntil(End);
    EXPECT_EQ(arrivalsInZone(Zone, From, End), 0) << "zone " << Zone;
  }
  void expectUsedWithin(duration Time) {
    runUntil(Now + Time + 1s);
    EXPECT_GT(arrivalsInZone(0, Now - 1s, Now), 0);
  }
  void onEffect(size_t Index, const routing_effect &Effect) override {
    if (const auto *Line = std::get_if<log_line>(&Effect))
      if (Line->Text.find("reason=unconfirmed-by-peer") != std::string::npos)
        LastTold = Now;
    pressure_fleet::onEffect(Index, Effect);
  }

  std::set<size_t> Cut; // entries that hear only each other
  duration LastTold{};  // when an entry last took up another one's order
};

// Guards against entries that learn of orders too late, also without the store,
// and against zones that stay evacuated.
TEST_P(zone_evacuation_test, Order_WrittenAndRemoved_IsObeyedByEveryEntry) {
  startFleet();
  runUntil(13s);
  EXPECT_GT(arrivalsInZone(0, 12s, 13s), 0);
  refuseOddEntries();
  order(0);
  expectNoneUntil(22s, 13s + Bounds.EvacuationInForce);
  withdraw(0);
  expectUsedWithin(Bounds.EvacuationInForce);
}

// Guards against a state that depends on more than the last record.
TEST_P(zone_evacuation_test, Order_WithdrawnAndGivenInSeries_LastOneCounts) {
  startFleet();
  for (int I = 0; I < 5; ++I) {
    order(0);
    runUntil(Now + 150ms);
    withdraw(0);
    runUntil(Now + 100ms);
  }
  order(0);
  expectNoneUntil(Now + 7s, Now + Bounds.EvacuationInForce);
  withdraw(0);
  order(0);
  expectNoneUntil(Now + 2s, Now);
  order(0);
  withdraw(0);
  expectUsedWithin(Bounds.EvacuationInForce);
}

// Guards against an order that replaces the one before.
TEST_P(zone_evacuation_test, Zones_TwoInARow_AreBothEvacuated) {
  startFleet();
  order(0);
  runUntil(13s);
  order(GetParam().first > 1 ? 1 : 0);
  expectNoneUntil(21s, 12s + Bounds.EvacuationInForce);
  if (GetParam().first > 1) {
    EXPECT_EQ(arrivalsInZone(1, 13s + Bounds.EvacuationInForce, 21s), 0);
    EXPECT_GT(arrivalsInZone(2, 20s, 21s), 0);
  }
}

// Guards against an entry that serves before it has read the orders.
TEST_P(zone_evacuation_test, Entry_StartsInEvacuatedZone_ObeysTheOrder) {
  startFleet();
  order(0);
  runUntil(18s);
  for (size_t I = 0; I < Entries.size(); I += 4)
    restart(Entries[I]);
  expectNoneUntil(24s, 12s + Bounds.EvacuationInForce);
  EXPECT_TRUE(Entries[0].Node->isReady());
}

// Guards against a backup that returns the zone to service, also at an entry
// that starts before the order is written again.
TEST_P(zone_evacuation_test, Store_LosesTheOrder_ZoneStaysEvacuated) {
  startFleet();
  order(0);
  runUntil(18s);
  restoreStore(7s);
  runUntil(Now + 300ms);
  if (Entries.size() > 1)
    restart(Entries[1]);
  runUntil(Now + 6s);
  writeLostAgain();
  expectNoneUntil(36s, 12s + Bounds.EvacuationInForce);
  withdraw(0);
  expectUsedWithin(Bounds.EvacuationInForce);
}

// Guards against a zone that is never used again after such a restore.
TEST_P(zone_evacuation_test, Store_LosesTheOrderForever_ZoneReturns) {
  startFleet();
  order(0);
  runUntil(18s);
  restoreStore(7s);
  expectNoneUntil(18s + Bounds.lostOrderGrace(), 17s);
  expectUsedWithin(Bounds.EvacuationInForce);
}

// Guards against an order that an entry which has run for long cannot learn
// once the store has lost it.
TEST_P(zone_evacuation_test, Entry_MissedTheLostOrder_LearnsItFromOthers) {
  startFleet();
  if (Entries.size() > 1)
    Cut = Refused = {Entries.size() - 1};
  order(0);
  runUntil(14s);
  restoreStore(3s);
  runUntil(15s);
  Cut = Refused = {};
  expectNoneUntil(21s, 12s + Bounds.EvacuationInForce);
  expectUsedWithin(Bounds.lostOrderGrace());
}

// Guards against entries that keep a lost order in force by telling each other,
// as those do that have just started, and one that the store refuses.
TEST_P(zone_evacuation_test, Order_LostForever_DoesNotCirculate) {
  startFleet();
  order(0);
  runUntil(18s);
  restoreStore(7s);
  runUntil(20s);
  if (Entries.size() > 1)
    Refused = {0};
  for (size_t Round = 0; Round < 6; ++Round, runUntil(Now + 3s))
    if (Entries.size() > 1)
      restart(Entries[1 + Round % 3]);
  EXPECT_LT(LastTold, 18s + Bounds.lostOrderGrace() + 1s);
  expectUsedWithin(0s);
}

INSTANTIATE_TEST_SUITE_P(Sizes, zone_evacuation_test, pressure_sizes);

} // namespace
} // namespace monsoonreel
