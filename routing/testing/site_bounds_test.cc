#include "routing/site_bounds.h"

#include <gtest/gtest.h>

#include "routing/duty_log.h"
#include "routing/keyed_feed.h"

namespace monsoonreel {
namespace {

using namespace std::chrono_literals;

// The derived times for sites with short and with long limits.
class site_bounds_test : public testing::TestWithParam<int> {
protected:
  site_bounds_test() {
    Bounds.LeaveDeadline = GetParam() * 1000ms;
    Bounds.ConfigInForce = GetParam() * 1000ms;
    Bounds.UsageDue = GetParam() * 5s;
  }
  site_bounds Bounds;
};

TEST_P(site_bounds_test,
       Leave_OneReadLostAndNextReaderTakesOver_IsKnownInTime) {
  duration Worst = Bounds.upstreamReadPeriod() + feed_read_timeout;
  EXPECT_LT(Worst, Bounds.LeaveDeadline);
}

TEST_P(site_bounds_test, Lapse_UpstreamHasLeft_IsNotUsedTooLong) {
  EXPECT_LT(Bounds.lapseGrace(), Bounds.LeaveDeadline);
  EXPECT_GE(Bounds.lapseGrace(), 1800ms);
}

TEST_P(site_bounds_test, Configuration_ReadIsLost_IsInForceInTime) {
  EXPECT_LT(Bounds.configReadWait() + feed_read_timeout, Bounds.ConfigInForce);
}

TEST_P(site_bounds_test, Usage_HolderFails_SuccessorReportsInTime) {
  duty_terms Terms;
  duration Successor =
      Bounds.dutyLease() + Terms.Margin + Terms.Flight + duty_claim_jitter;
  EXPECT_LT(Successor, Bounds.UsageDue);
  EXPECT_LT(Bounds.maxUsageWait(), Bounds.UsageDue);
}

TEST_P(site_bounds_test, Drain_RequestsUnderWay_HaveTimeToEnd) {
  EXPECT_LE(Bounds.drainServingTime(), Bounds.ShutdownTime / 3);
}

INSTANTIATE_TEST_SUITE_P(SmallToLarge, site_bounds_test,
                         testing::Values(2, 3, 4, 8));

} // namespace
} // namespace monsoonreel
