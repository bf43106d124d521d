#include "fault_matrix/log_reference.h"

#include <gtest/gtest.h>

#include "monsoonreel/ledger.h"

namespace monsoonreel::fault_matrix {
namespace {

class log_reference_test : public ::testing::Test {
protected:
  void claim(const std::string &Lease, int64_t Previous, int64_t Incarnation) {
    wire::lease_claim Claim;
    Claim.Lease = Lease;
    Claim.Previous = Previous;
    Claim.Incarnation = Incarnation;
    wire::log_record Record;
    Record.__set_LeaseClaim(Claim);
    append(Record);
  }
  void intend(const std::string &Id, int64_t Fence) {
    wire::order_intent Intent;
    Intent.OrderId = Id;
    Intent.Zone = "norte";
    Intent.Fence = Fence;
    wire::log_record Record;
    Record.__set_OrderIntent(Intent);
    append(Record);
  }
  void close(int64_t Window, int64_t Fence) {
    wire::usage_close Close;
    Close.Window = Window;
    Close.Fence = Fence;
    wire::log_record Record;
    Record.__set_UsageClose(Close);
    append(Record);
  }
  void append(const wire::log_record &Record) {
    Reference.onRecord(log_offset{++Last}, Record);
  }

  const std::string Orders = orderLeaseName(zone_name("norte"));
  const std::string Usage{usage_lease};
  log_reference Reference;
  int64_t Last = 0;
};

TEST_F(log_reference_test, Claims_FollowTheSame_FirstCounts) {
  claim(Usage, 0, 7);
  claim(Usage, 0, 8);
  EXPECT_EQ(Reference.fenceAt(Usage, log_offset{2}), 1);
  claim(Usage, 1, 8);
  EXPECT_EQ(Reference.fenceAt(Usage, log_offset{3}), 3);
  EXPECT_EQ(Reference.fenceAt(Usage, log_offset{2}), 1);
}

TEST_F(log_reference_test, Intent_UnderAnOldClaim_DoesNotCount) {
  claim(Orders, 0, 7);
  claim(Orders, 1, 8);
  intend("old", 1);
  intend("new", 2);
  EXPECT_FALSE(Reference.hasValidIntent("old"));
  EXPECT_TRUE(Reference.hasValidIntent("new"));
}

TEST_F(log_reference_test, Close_UnderAnOldClaim_DoesNotCount) {
  claim(Usage, 0, 7);
  close(1, 1);
  claim(Usage, 1, 8);
  close(2, 1);
  EXPECT_EQ(Reference.lastClosedWindow(), 1);
}

} // namespace
} // namespace monsoonreel::fault_matrix
