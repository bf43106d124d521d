#include <gtest/gtest.h>

#include "routing/testing/test_time.h"
#include "routing/zone_evacuations.h"

namespace monsoonreel {
namespace {

using namespace std::chrono_literals;

class zone_evacuations_test : public testing::Test {
protected:
  zone_evacuations_test() { runUntil(60s); }
  void change(std::optional<std::string> Value, bool IsLost = false) {
    Entry.onChange({"evacuate/z0", std::move(Value), IsLost, IsLost}, at(Now));
  }
  // Returns whether the zone is evacuated after another entry told the order.
  bool tell(std::optional<duration> Age) {
    Entry.onUnconfirmed({zone_name("z0"), Age}, at(Now));
    return isEvacuated();
  }
  bool isEvacuated() const { return !Entry.zones().empty(); }
  void runUntil(duration End, bool IsOutage = false) {
    for (duration Begin = Now; Now < End; Now += 100ms)
      Entry.onTick(at(Now), IsOutage, IsOutage ? Now - Begin : 0ms);
  }

  zone_evacuations Entry{"evacuate/", 8s};
  duration Now{};
};

// Guards against an order that is learned only in an entry's first seconds, and
// against a grace period that starts again at each entry.
TEST_F(zone_evacuations_test, Order_ToldAtAnyTime_EndsByItsAge) {
  EXPECT_FALSE(tell(8s));
  EXPECT_TRUE(tell(3s));
  tell(0s);
  runUntil(62s);
  EXPECT_EQ(Entry.unconfirmed(at(Now))[0].Age, 5s);
  tell(6s); // the greater age counts
  runUntil(63900ms);
  EXPECT_TRUE(isEvacuated());
  runUntil(64100ms);
  EXPECT_FALSE(isEvacuated());
}

// Guards against ages that overflow or are absent, as in damaged messages and
// in those of older builds, and keep the zone evacuated for ever.
TEST_F(zone_evacuations_test, Order_OddAge_DoesNotHoldTheZone) {
  EXPECT_FALSE(tell(std::nullopt));
  EXPECT_FALSE(tell(duration::max()));
  Entry = zone_evacuations("evacuate/", 8s);
  EXPECT_TRUE(tell(duration::max()));
  EXPECT_TRUE(tell(duration::min()));
  runUntil(75s);
  EXPECT_FALSE(isEvacuated());
  Entry = zone_evacuations("evacuate/", 8s);
  EXPECT_TRUE(tell(std::nullopt));
}

// Guards against an entry that wakes after the grace period and ends an order
// that was written again meanwhile, before it has read it.
TEST_F(zone_evacuations_test, Entry_Frozen_KeepsTheOrderUntilItHasRead) {
  change("{}");
  change(std::nullopt, true);
  Now += 9s;
  runUntil(Now + 1s);
  EXPECT_TRUE(isEvacuated());
}

// Guards against an ended order that another entry brings back, also after an
// outage, and against an end that hides a later order.
TEST_F(zone_evacuations_test, Order_Ended_IsNotTakenUpAgain) {
  change(std::nullopt);
  runUntil(90s, true);
  EXPECT_FALSE(tell(1s)); // no restore has lost an order since
  Entry.onRestore(at(Now));
  EXPECT_FALSE(tell(31s));
  EXPECT_TRUE(tell(1s));
  runUntil(98s);
  EXPECT_FALSE(isEvacuated());
  EXPECT_FALSE(tell(0s)); // expired here
}

// Guards against an outage that ends an order or makes its age start again.
TEST_F(zone_evacuations_test, Store_Unreachable_StartsTheGraceAgainOnlyHere) {
  change("{}");
  change(std::nullopt, true);
  runUntil(90s, true);
  runUntil(97s);
  EXPECT_TRUE(isEvacuated());
  EXPECT_EQ(Entry.unconfirmed(at(Now))[0].Age, 37s);
  runUntil(98s);
  EXPECT_FALSE(isEvacuated());
}

// Guards against an entry that starts after an outage and does not learn an
// older order, or that hands it on to the next one that starts.
TEST_F(zone_evacuations_test, Entry_Started_HoldsOlderOrderWhileItIsTold) {
  Entry = zone_evacuations("evacuate/", 8s);
  EXPECT_TRUE(tell(40s));
  EXPECT_TRUE(Entry.unconfirmed(at(Now)).empty());
  runUntil(61900ms);
  EXPECT_TRUE(isEvacuated());
  runUntil(62100ms);
  EXPECT_FALSE(isEvacuated());
}

} // namespace
} // namespace monsoonreel
