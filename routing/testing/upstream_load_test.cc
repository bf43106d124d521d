#include "routing/upstream_load.h"

#include <gtest/gtest.h>

#include "routing/testing/test_time.h"

namespace monsoonreel {
namespace {

using namespace std::chrono_literals;

class upstream_load_test : public testing::Test {
protected:
  wire::entry_report report(int64_t Sequence, int32_t Running) const {
    wire::upstream_use Use;
    Use.Upstream = Upstream.Value;
    Use.Running = Running;
    Use.UnreadTokens = int64_t{100} * Running;
    wire::entry_report Report;
    Report.Incarnation = 1;
    Report.Sequence = Sequence;
    Report.Uses = {Use};
    return Report;
  }

  wire::zone_uses zoneSum(const char *Zone, int32_t Running) const {
    wire::zone_uses Sum;
    Sum.Zone = Zone;
    Sum.Uses = report(1, Running).Uses;
    return Sum;
  }

  const upstream_name Upstream{"a"};
  const address Peer{"10.0.0.2:70"};
  upstream_load Load;
};

TEST_F(upstream_load_test, Attempt_BeginsAndEnds_LeavesNothing) {
  Load.begin(attempt_number{1}, Upstream, {500, true});
  EXPECT_EQ(Load.at(Upstream).Running, 1);
  EXPECT_EQ(Load.at(Upstream).UnreadTokens, 500);
  EXPECT_EQ(Load.at(Upstream).PacedStreams, 1);
  Load.onFirstAnswer(attempt_number{1});
  EXPECT_EQ(Load.at(Upstream).UnreadTokens, 0);
  Load.end(attempt_number{1});
  Load.end(attempt_number{1});
  EXPECT_EQ(Load.at(Upstream).Running, 0);
  EXPECT_TRUE(Load.ownUses().empty());
}

TEST_F(upstream_load_test, Attempt_EndsBeforeItsAnswer_RemovesItsTokens) {
  Load.begin(attempt_number{1}, Upstream, {500, false});
  Load.begin(attempt_number{2}, Upstream, {70, false});
  Load.end(attempt_number{1});
  EXPECT_EQ(Load.at(Upstream).UnreadTokens, 70);
}

TEST_F(upstream_load_test, Reports_OfPeers_AreAddedUp) {
  Load.begin(attempt_number{1}, Upstream, {0, false});
  Load.onReport(Peer, report(1, 3), at(0ms));
  Load.onReport(address("10.0.0.3:70"), report(1, 4), at(0ms));
  EXPECT_EQ(Load.at(Upstream).Running, 8);
  EXPECT_EQ(Load.at(Upstream).UnreadTokens, 700);
}

TEST_F(upstream_load_test, Report_OlderThanKnown_IsIgnored) {
  Load.onReport(Peer, report(2, 3), at(0ms));
  Load.onReport(Peer, report(1, 9), at(1ms));
  EXPECT_EQ(Load.at(Upstream).Running, 3);
}

TEST_F(upstream_load_test, Report_OfRestartedPeer_BeginsAnew) {
  Load.onReport(Peer, report(200, 3), at(0ms));
  wire::entry_report Restarted = report(1, 1);
  Restarted.Incarnation = 2;
  Load.onReport(Peer, Restarted, at(1ms));
  EXPECT_EQ(Load.at(Upstream).Running, 1);
}

TEST_F(upstream_load_test, Report_NotRepeated_NoLongerCounts) {
  Load.onReport(Peer, report(1, 3), at(0ms));
  Load.onTick(at(1900ms));
  EXPECT_EQ(Load.at(Upstream).Running, 3);
  Load.onTick(at(2100ms));
  EXPECT_EQ(Load.at(Upstream).Running, 0);
}

// ------------------------------------------------------------------- zones

TEST_F(upstream_load_test, Zone_OwnPartIsInItsSum_CountsOnce) {
  Load.begin(attempt_number{1}, Upstream, {100, false});
  Load.reportOwnUses(at(0ms));
  wire::zone_uses Sum;
  Sum.Zone = "z";
  wire::upstream_use Use;
  Use.Upstream = Upstream.Value;
  Use.Running = 3;
  Use.UnreadTokens = 250;
  Sum.Uses = {Use};
  Load.onZone(Sum, /*IsOwn=*/true, 0ms, at(20ms));
  EXPECT_EQ(Load.at(Upstream).Running, 3);
  EXPECT_EQ(Load.at(Upstream).UnreadTokens, 250);
  // The end of an own request takes effect at once.
  Load.end(attempt_number{1});
  EXPECT_EQ(Load.at(Upstream).Running, 2);
}

TEST_F(upstream_load_test, Zone_OlderSumOrStaleOne_IsIgnored) {
  wire::zone_uses Sum;
  Sum.Zone = "far";
  wire::upstream_use Use;
  Use.Upstream = Upstream.Value;
  Use.Running = 3;
  Sum.Uses = {Use};
  Load.onZone(Sum, false, 100ms, at(1000ms));
  Sum.Uses[0].Running = 9;
  Load.onZone(Sum, false, 300ms, at(1000ms));
  Load.onZone(Sum, false, report_expiry, at(4000ms));
  EXPECT_EQ(Load.at(Upstream).Running, 3);
  Load.onTick(at(5000ms));
  EXPECT_EQ(Load.at(Upstream).Running, 0);
}

TEST_F(upstream_load_test, SumOfEntries_LeavesOtherZonesOut) {
  wire::zone_uses Far;
  Far.Zone = "far";
  wire::upstream_use Use;
  Use.Upstream = Upstream.Value;
  Use.Running = 3;
  Far.Uses = {Use};
  Load.onZone(Far, false, 0ms, at(0ms));
  wire::entry_report Report;
  Report.Incarnation = Report.Sequence = 1;
  Report.Uses = {Use};
  Load.onReport(address("10.0.0.2:7"), Report, at(0ms));
  Load.begin(attempt_number{1}, Upstream, {100, false});
  auto Sum = Load.sumOfEntries();
  ASSERT_EQ(Sum.size(), 1u);
  EXPECT_EQ(Sum[0].Running, 4);
}

// Guards against an engine that gets more requests than it has slots, because
// a grant no longer counts and is not in the sums of the entry's zone yet.
TEST_F(upstream_load_test, Grant_ToOtherZone_CountsUntilItsSumCoversIt) {
  Load.onGranted(Peer, zone_name("far"), Upstream, {500, true}, at(0ms));
  Load.onZone(zoneSum("third", 0), false, 0ms, at(400ms));
  EXPECT_EQ(Load.at(Upstream).Running, 1);
  // Its entries may have reported just before the grant.
  Load.onZone(zoneSum("far", 0), false, 60ms, at(169ms));
  EXPECT_EQ(Load.at(Upstream).Running, 1);
  Load.onZone(zoneSum("far", 1), false, 60ms, at(170ms));
  EXPECT_EQ(Load.at(Upstream).Running, 1);
  EXPECT_EQ(Load.at(Upstream).UnreadTokens, 100);
  EXPECT_EQ(Load.at(Upstream).PacedStreams, 0);
}

// Guards against sums that arrive after a grant, but were made before it.
TEST_F(upstream_load_test, Grant_ToOtherZone_OlderSum_StillCounts) {
  Load.onGranted(Peer, zone_name("far"), Upstream, {0, false}, at(300ms));
  Load.onZone(zoneSum("far", 3), false, 200ms, at(500ms));
  EXPECT_EQ(Load.at(Upstream).Running, 4);
}

// Guards against grants that count for ever because their zone is cut off.
TEST_F(upstream_load_test, Grant_ToOtherZone_NotCovered_Expires) {
  Load.onGranted(Peer, zone_name("far"), Upstream, {500, false}, at(0ms));
  Load.onTick(at(other_zone_grant_expiry - 1ms));
  EXPECT_EQ(Load.at(Upstream).Running, 1);
  Load.onTick(at(other_zone_grant_expiry + 100ms));
  EXPECT_EQ(Load.at(Upstream).Running, 0);
}

} // namespace
} // namespace monsoonreel
