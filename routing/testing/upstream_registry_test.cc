#include "routing/upstream_registry.h"

#include <gtest/gtest.h>

#include "routing/testing/test_time.h"

namespace monsoonreel {
namespace {

using namespace std::chrono_literals;

class upstream_registry_test : public testing::Test {
protected:
  static upstream_listed listed(const std::string &Name, int64_t Sequence = 1) {
    upstream_entry Entry;
    Entry.Name = upstream_name(Name);
    Entry.Service = Service;
    Entry.Address = address("10.0.0.1:80");
    Entry.StartedAt = 1000ms;
    Entry.Sequence = Sequence;
    return {Name, Entry, false};
  }
  static upstream_listed draining(const std::string &Name, int64_t Sequence) {
    upstream_listed Listed = listed(Name, Sequence);
    Listed.Entry->Draining = true;
    return Listed;
  }

  size_t serving() const { return Registry.serving(Service).size(); }

  inline static const pool_name Service{"chat"};
  upstream_registry Registry;
};

TEST_F(upstream_registry_test, Entry_Listed_Serves) {
  Registry.onListed(listed("a"), at(0ms));
  EXPECT_EQ(serving(), 1u);
  EXPECT_TRUE(Registry.serving(pool_name("other")).empty());
}

TEST_F(upstream_registry_test, Entry_Draining_TakesNoNewWorkAndStaysKnown) {
  Registry.onListed(listed("a"), at(0ms));
  Registry.onListed(draining("a", 2), at(1ms));
  EXPECT_EQ(serving(), 0u);
  EXPECT_NE(Registry.find(upstream_name("a")), nullptr);
}

TEST_F(upstream_registry_test, Entry_Unreadable_IsRemovedAndOthersStay) {
  Registry.onListed(listed("a"), at(0ms));
  Registry.onListed(listed("b"), at(0ms));
  Registry.onListed({"b", std::nullopt, false}, at(1ms));
  EXPECT_EQ(serving(), 1u);
}

// Guards against the loss of a source of cached prompts because an earlier run
// of the same name has left.
TEST_F(upstream_registry_test, Entry_DrainsAfterAnEarlierRunLeft_IsDraining) {
  Registry.onListed(listed("a"), at(0ms));
  Registry.onLeaving({upstream_name("a"), 1000ms}, at(1ms));
  upstream_listed Later = draining("a", 2);
  EXPECT_TRUE(Registry.draining(Service).empty());
  Later.Entry->StartedAt = 2000ms;
  Later.Entry->Draining = false;
  Registry.onListed(Later, at(2ms));
  EXPECT_EQ(serving(), 1u);
  Later.Entry->Draining = true;
  Registry.onListed(Later, at(3ms));
  EXPECT_EQ(Registry.draining(Service).size(), 1u);
}

// Guards against requests to an upstream that has left: a store that was
// restored from a backup lists it again.
TEST_F(upstream_registry_test, Removed_ListedAgainByAnOldReport_StaysRemoved) {
  Registry.onListed(listed("a", 5), at(0ms));
  Registry.onListed({"a", std::nullopt, false}, at(1ms));
  Registry.onListed(listed("a", 5), at(2ms));
  EXPECT_EQ(serving(), 0u);
  Registry.onListed(listed("a", 6), at(3ms));
  EXPECT_EQ(serving(), 1u);
}

TEST_F(upstream_registry_test, Removed_StartsAgain_Serves) {
  Registry.onListed(listed("a", 5), at(0ms));
  Registry.onListed({"a", std::nullopt, false}, at(1ms));
  upstream_listed Again = listed("a", 1);
  Again.Entry->StartedAt = 2000ms;
  Registry.onListed(Again, at(2ms));
  EXPECT_EQ(serving(), 1u);
}

TEST_F(upstream_registry_test, Record_Older_IsIgnored) {
  Registry.onListed(draining("a", 5), at(0ms));
  Registry.onListed(listed("a", 4), at(1ms));
  EXPECT_EQ(serving(), 0u);
}

TEST_F(upstream_registry_test, Record_OfEarlierInstance_IsIgnored) {
  upstream_listed NewInstance = listed("a", 1);
  NewInstance.Entry->StartedAt = 9000ms;
  NewInstance.Entry->Address = address("10.0.0.9:80");
  Registry.onListed(NewInstance, at(0ms));
  Registry.onListed(listed("a", 50), at(1ms));
  EXPECT_EQ(Registry.find(upstream_name("a"))->Entry.Address.Value,
            "10.0.0.9:80");
}

TEST_F(upstream_registry_test, Removal_StoreReachable_EndsItAtOnce) {
  Registry.onListed(listed("a"), at(0ms));
  Registry.onListed({"a", std::nullopt, false}, at(1ms));
  EXPECT_EQ(serving(), 0u);
}

TEST_F(upstream_registry_test, Removal_AfterOutage_ServesUntilTheGraceEnds) {
  Registry.onListed(listed("a"), at(0ms));
  Registry.onListed({"a", std::nullopt, true}, at(1ms));
  Registry.onTick(at(1700ms), false);
  EXPECT_EQ(serving(), 1u);
  Registry.onTick(at(1900ms), false);
  EXPECT_EQ(serving(), 0u);
}

TEST_F(upstream_registry_test, Removal_StoreStillOut_GraceDoesNotBegin) {
  Registry.onListed(listed("a"), at(0ms));
  Registry.onListed({"a", std::nullopt, true}, at(1ms));
  for (int I = 1; I < 100; ++I)
    Registry.onTick(at(I * 100ms), true);
  EXPECT_EQ(serving(), 1u);
}

TEST_F(upstream_registry_test, LapsedEntry_ComesBack_Stays) {
  Registry.onListed(listed("a"), at(0ms));
  Registry.onListed({"a", std::nullopt, true}, at(1ms));
  Registry.onListed(listed("a", 2), at(1500ms));
  Registry.onTick(at(5000ms), false);
  EXPECT_EQ(serving(), 1u);
}

TEST_F(upstream_registry_test, DrainingEntry_RemovedAfterOutage_IsGone) {
  Registry.onListed(draining("a", 2), at(0ms));
  Registry.onListed({"a", std::nullopt, true}, at(1ms));
  EXPECT_EQ(Registry.find(upstream_name("a")), nullptr);
}

TEST_F(upstream_registry_test, Upstream_ReportsLeaving_TakesNoNewWork) {
  Registry.onListed(listed("a"), at(0ms));
  EXPECT_TRUE(Registry.onLeaving({upstream_name("a"), 1000ms}, at(1ms)));
  EXPECT_EQ(serving(), 0u);
  EXPECT_FALSE(Registry.onLeaving({upstream_name("a"), 1000ms}, at(2ms)));
}

TEST_F(upstream_registry_test, UpstreamThatLeaves_ListedAsServing_StaysOut) {
  Registry.onLeaving({upstream_name("a"), 1000ms}, at(0ms));
  Registry.onListed(listed("a", 5), at(1ms));
  Registry.onTick(at(10min), false);
  Registry.onListed(listed("a", 6), at(10min));
  EXPECT_EQ(serving(), 0u);
}

TEST_F(upstream_registry_test, UpstreamThatLeft_StartedAgain_Serves) {
  Registry.onListed(listed("a"), at(0ms));
  Registry.onLeaving({upstream_name("a"), 1000ms}, at(1ms));
  upstream_listed Next = listed("a");
  Next.Entry->StartedAt = 2000ms;
  Registry.onListed(Next, at(2ms));
  EXPECT_EQ(serving(), 1u);
}

// Guards against a record that moves an upstream into an evacuated zone and is
// taken for a repetition.
TEST_F(upstream_registry_test, Upstream_MovesToAnEvacuatedZone_StopsServing) {
  Registry.setEvacuated({zone_name("z")});
  Registry.onListed(listed("a"), at(0ms));
  EXPECT_EQ(serving(), 1u);
  upstream_listed Moved = listed("a", 2);
  Moved.Entry->Zone = zone_name("z");
  Registry.onListed(Moved, at(1ms));
  EXPECT_EQ(serving(), 0u);
  Registry.setEvacuated({});
  EXPECT_EQ(serving(), 1u);
}

TEST_F(upstream_registry_test, Leaving_LearnedLongAgo_IsNotReportedAgain) {
  Registry.onLeaving({upstream_name("a"), 1000ms}, at(0ms));
  Registry.onLeaving({upstream_name("a"), 1000ms}, at(4000ms));
  EXPECT_EQ(Registry.leavingSince(at(0ms)).size(), 1u);
  EXPECT_TRUE(Registry.leavingSince(at(1ms)).empty());
}

TEST_F(upstream_registry_test,
       Leaving_OfUnlistedUpstreams_IsBoundedAndForgotten) {
  for (size_t I = 0; I < 2 * max_upstreams; ++I)
    Registry.onLeaving({upstream_name(std::to_string(I)), 1ms}, at(0ms));
  EXPECT_EQ(Registry.leavingSince(at(0ms)).size(), max_upstreams);
  Registry.onTick(at(removed_retention), false);
  EXPECT_TRUE(Registry.leavingSince(at(0ms)).empty());
}

} // namespace
} // namespace monsoonreel
