#include "routing/capacity_policy.h"

#include <gtest/gtest.h>

#include "routing/testing/test_time.h"

namespace monsoonreel {
namespace {

using namespace std::chrono_literals;

class capacity_policy_test : public testing::Test {
protected:
  capacity_policy_test() {
    service Service;
    Service.Name = Chat;
    Service.Engine = engine_terms{100, 0};
    order_terms Terms;
    Terms.Min = 1;
    Terms.Max = 6;
    Terms.ReclaimablePrice = 0.2;
    for (const char *Zone : {"z0", "z1", "z2"})
      Terms.ZonePrices[zone_name(Zone)] = 1;
    Service.Orders = Terms;
    Config.Services = {Service};
    // The discovery time is over, and nothing was listed during it.
    Policy.observe({Config, Registry, Load}, at(-upstream_discovery_time));
  }

  void list(const std::string &Name, const char *Zone, bool Reclaimable) {
    upstream_entry Entry;
    Entry.Name = upstream_name(Name);
    Entry.Service = Chat;
    Entry.Zone = zone_name(Zone);
    Entry.Reclaimable = Reclaimable;
    Registry.onListed({Name, Entry, false}, at(0ms));
  }

  std::vector<capacity_target> plan(duration Now) {
    return Policy.plan({Config, Registry, Load}, at(Now));
  }
  int ordered(const std::vector<capacity_target> &Targets, bool Reclaimable) {
    int Sum = 0;
    for (const capacity_target &Target : Targets)
      if (Target.Reclaimable == Reclaimable)
        Sum += Target.Count;
    return Sum;
  }
  void accept(const std::vector<capacity_target> &Targets, duration Now) {
    for (const capacity_target &Target : Targets)
      Policy.onAnswered({Target.Service, Target.Zone, Target.Reclaimable,
                         Target.Count, true, false},
                        at(Now));
  }
  // Returns the count that is ordered for one zone, or -1 if no order is due.
  int count(const std::vector<capacity_target> &Targets, const char *Zone,
            bool Reclaimable) {
    for (const capacity_target &Target : Targets)
      if (Target.Zone.Value == Zone && Target.Reclaimable == Reclaimable)
        return Target.Count;
    return -1;
  }
  void refuse(const char *Zone, int Count, duration Now) {
    Policy.onAnswered({Chat, zone_name(Zone), true, Count, false, true},
                      at(Now));
  }
  void load(int Requests) {
    for (int I = 0; I < Requests; ++I)
      Load.begin(attempt_number{++Attempts}, upstream_name("s0"), {});
  }

  const pool_name Chat{"chat"};
  site_config Config;
  upstream_registry Registry;
  upstream_load Load;
  capacity_policy Policy;
  int64_t Attempts = 0;
};

TEST_F(capacity_policy_test, Load_None_KeepsFewStableUpstreams) {
  auto Targets = plan(0ms);
  EXPECT_EQ(Targets.size(), 6u);
  EXPECT_EQ(ordered(Targets, false), 3);
  EXPECT_LE(ordered(Targets, true), 9);
}

TEST_F(capacity_policy_test, Load_Rises_MoreAreOrderedAtOnce) {
  list("s0", "z0", false);
  int Idle = ordered(plan(0ms), true);
  load(200);
  EXPECT_GT(ordered(plan(5s), true), Idle);
}

TEST_F(capacity_policy_test, Load_Falls_OrdersFollowOnlyAfterAWhile) {
  list("s0", "z0", false);
  load(200);
  int Busy = ordered(plan(0ms), true);
  for (int64_t I = 1; I <= Attempts; ++I)
    Load.end(attempt_number{I});
  EXPECT_EQ(ordered(plan(demand_hold_time - 1s), true), Busy);
  plan(demand_hold_time + 1s);
  EXPECT_LT(ordered(plan(demand_hold_time + 1s + order_retry_period), true),
            Busy);
}

// Guards against orders in an evacuated zone, and against replacements that are
// ordered only when the load of the other zones has risen.
TEST_F(capacity_policy_test, Zone_Evacuated_OthersReplaceItAtOnce) {
  list("s0", "z0", false);
  load(200);
  auto Before = plan(0ms);
  accept(Before, 0ms);
  Registry.setEvacuated({zone_name("z0")});
  auto Targets = plan(500ms);
  EXPECT_EQ(count(Targets, "z0", true), -1);
  EXPECT_EQ(count(Targets, "z0", false), -1);
  for (const char *Zone : {"z1", "z2"})
    EXPECT_GT(count(Targets, Zone, true), count(Before, Zone, true)) << Zone;
}

// All reclaimable upstreams of a zone leave at once.
TEST_F(capacity_policy_test, Reclaim_OfOneZone_LeavesEnoughForTheDemand) {
  list("s0", "z0", false);
  load(150);
  auto Targets = plan(0ms);
  int Total = ordered(Targets, true) + ordered(Targets, false);
  int LargestZone = 0;
  for (const capacity_target &Target : Targets)
    if (Target.Reclaimable)
      LargestZone = std::max(LargestZone, Target.Count);
  EXPECT_GE((Total - LargestZone) * 100 * 0.2, 150);
}

// A burst arrives in the first seconds after a cold start.
TEST_F(capacity_policy_test,
       Upstreams_ProvidedAtAColdStart_AreNotCutBeforeLoadIsKnown) {
  Policy = capacity_policy();
  for (int I = 0; I < 12; ++I) {
    list("s" + std::to_string(I), I % 3 == 0 ? "z0" : "z1", false);
    plan(I * 500ms); // upstreams are listed one by one
  }
  auto Targets = plan(20s);
  EXPECT_GE(ordered(Targets, true) + ordered(Targets, false), 12);
}

// An entry acquires the lease at a cold start, before it knows any upstream.
TEST_F(capacity_policy_test, ColdStart_BeforeUpstreamsAreListed_OrdersNothing) {
  Policy = capacity_policy();
  EXPECT_TRUE(plan(0ms).empty());
  for (int I = 0; I < 12; ++I)
    list("s" + std::to_string(I), I % 3 == 0 ? "z0" : "z1", false);
  EXPECT_TRUE(plan(upstream_discovery_time - 1ms).empty());
  EXPECT_FALSE(plan(upstream_discovery_time).empty());
}

TEST_F(capacity_policy_test, ColdStart_NoFurtherUpstreamsListed_OrdersSoon) {
  Policy = capacity_policy(1s);
  for (int I = 0; I < 12; ++I)
    list("s" + std::to_string(I), "z0", false);
  EXPECT_TRUE(plan(0ms).empty());
  list("late", "z0", false);
  EXPECT_TRUE(plan(1500ms).empty());
  EXPECT_TRUE(plan(3500ms).empty());
  EXPECT_FALSE(plan(3501ms).empty());
}

TEST_F(capacity_policy_test,
       Stable_ToBeReplaced_StayUntilReclaimableOnesAreListed) {
  Policy = capacity_policy();
  for (int I = 0; I < 12; ++I)
    list("s" + std::to_string(I), ("z" + std::to_string(I % 3)).c_str(), false);
  plan(0ms);
  auto Targets = plan(upstream_discovery_time);
  EXPECT_EQ(count(Targets, "z0", false), 4);
  for (int I = 0; I < count(Targets, "z0", true); ++I)
    list("r" + std::to_string(I), "z0", true);
  EXPECT_EQ(
      count(plan(upstream_discovery_time + order_retry_period), "z0", false),
      1);
}

// Both kinds share a zone's maximum, so stable upstreams have to leave before
// further reclaimable ones fit in.
TEST_F(capacity_policy_test, Stable_InAFullZone_MakeRoomForReclaimableOnes) {
  for (int I = 0; I < 3; ++I)
    list("s" + std::to_string(I), "z0", false);
  for (int I = 0; I < 3; ++I)
    list("r" + std::to_string(I), "z0", true);
  load(260); // thirteen upstreams: five reclaimable ones in each zone
  auto Targets = plan(0ms);
  ASSERT_EQ(count(Targets, "z0", true), 5);
  EXPECT_EQ(count(Targets, "z0", false), 2); // one of two is released at a time
}

TEST_F(capacity_policy_test, Substitutes_InAZone_LeaveRoomForReclaimableOnes) {
  list("s0", "z0", false);
  load(260);
  auto Targets = plan(0ms);
  accept(Targets, 10ms);
  for (const char *Zone : {"z0", "z1", "z2"})
    refuse(Zone, count(Targets, Zone, true), 20ms);
  for (const capacity_target &Target : plan(500ms))
    EXPECT_LE(Target.Count, Target.Reclaimable ? 5 : 3) << Target.Zone.Value;
}

TEST_F(capacity_policy_test, Engines_WithFewSlots_AreOrderedBySlotUse) {
  Config.Services[0].Engine = engine_terms{24, 0};
  list("s0", "z0", false);
  load(120); // ten engines with half of their slots taken
  auto Targets = plan(0ms);
  int Total = ordered(Targets, true) + ordered(Targets, false);
  EXPECT_GE(Total, 10);
  EXPECT_LE(Total, 18); // 10 to 12 without the reclaimable ones of one zone
}

TEST_F(capacity_policy_test, Order_Met_IsNotRepeated) {
  auto Targets = plan(0ms);
  accept(Targets, 10ms);
  int Upstream = 0;
  for (const capacity_target &Target : Targets)
    for (int I = 0; I < Target.Count; ++I)
      list("n" + std::to_string(Upstream++), Target.Zone.Value.c_str(),
           Target.Reclaimable);
  EXPECT_TRUE(plan(20s).empty());
}

TEST_F(capacity_policy_test, Order_NotMet_IsRepeatedAfterAWhile) {
  accept(plan(0ms), 10ms);
  EXPECT_TRUE(plan(order_retry_period - 1ms).empty());
  EXPECT_FALSE(plan(order_retry_period + 100ms).empty());
}

// The reclaimable upstreams leave, and no others are available for a while.
TEST_F(capacity_policy_test, Reclaimable_Unavailable_StableOnesCarryTheDemand) {
  list("s0", "z0", false);
  load(160); // eight upstreams
  auto Targets = plan(0ms);
  accept(Targets, 10ms);
  for (const char *Zone : {"z0", "z1", "z2"})
    refuse(Zone, count(Targets, Zone, true), 20ms);
  int Stable = ordered(plan(500ms), false);
  EXPECT_GE(Stable, 8);
  EXPECT_LE(Stable, 10); // each zone's part is rounded up
}

TEST_F(capacity_policy_test, Reclaimable_LeftInAnotherZone_FewerSubstitutes) {
  list("s0", "z0", false);
  load(200);
  for (int I = 0; I < 4; ++I)
    list("r" + std::to_string(I), "z2", true);
  auto Targets = plan(0ms);
  accept(Targets, 10ms);
  for (const char *Zone : {"z0", "z1"})
    refuse(Zone, count(Targets, Zone, true), 20ms);
  int Substitutes = ordered(plan(500ms), false);
  EXPECT_GE(Substitutes + 4, 10 - 1); // plus the stable one of the third zone
  EXPECT_LE(Substitutes + 4, 12);
}

TEST_F(capacity_policy_test, Reclaimable_ListedAgain_SubstitutesAreReleased) {
  list("s0", "z0", false);
  load(200);
  auto Targets = plan(0ms);
  accept(Targets, 10ms);
  refuse("z1", count(Targets, "z1", true), 20ms);
  auto Further = plan(500ms);
  accept(Further, 510ms);
  int Substitutes = count(Further, "z1", false) - 1;
  ASSERT_GE(Substitutes, 1);
  for (int I = 0; I <= Substitutes; ++I)
    list("n" + std::to_string(I), "z1", false);
  for (int I = 0; I < count(Targets, "z1", true); ++I)
    list("r" + std::to_string(I), "z1", true);
  EXPECT_EQ(count(plan(6s), "z1", false), 1);
}

TEST_F(capacity_policy_test, Bounds_OfTheService_AreKept) {
  list("s0", "z0", false);
  load(100000);
  for (const capacity_target &Target : plan(0ms)) {
    EXPECT_GE(Target.Count, 0);
    EXPECT_LE(Target.Count, Target.Reclaimable ? 5 : 6);
  }
}

} // namespace
} // namespace monsoonreel
