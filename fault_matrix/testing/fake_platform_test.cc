#include "fault_matrix/fake_platform.h"

#include <gtest/gtest.h>

#include "monsoonreel/ledger.h"

namespace monsoonreel::fault_matrix {
namespace {

// Window 1 is closed under the first claim, which holder 7 made.
class fake_platform_test : public ::testing::Test {
protected:
  void SetUp() override {
    First = claim(0, 7);
    wire::usage_close Close;
    Close.Window = 1;
    Close.Fence = First;
    wire::log_record Record;
    Record.__set_UsageClose(Close);
    Platform.append(std::string(usage_stream), Record);
  }
  int64_t claim(int64_t Previous, int64_t Incarnation) {
    wire::lease_claim Claim;
    Claim.Lease = std::string(usage_lease);
    Claim.Previous = Previous;
    Claim.Incarnation = Incarnation;
    wire::log_record Record;
    Record.__set_LeaseClaim(Claim);
    return Platform.append(std::string(usage_stream), Record).Value;
  }
  void report(int64_t Fence) {
    send_usage_report Report;
    Report.Window = 1;
    Report.Fence = Fence;
    Platform.report(Report);
  }

  fake_platform Platform;
  int64_t First = 0;
};

TEST_F(fake_platform_test, LateReport_OfAHolderThatRenewed_IsNoFinding) {
  report(claim(First, 7));
  report(First);
  EXPECT_TRUE(Platform.findings().empty());
}

TEST_F(fake_platform_test, LateReport_OfASupersededHolder_IsAFinding) {
  report(claim(First, 8));
  report(First);
  EXPECT_EQ(Platform.findings().size(), 1U);
}

TEST_F(fake_platform_test, Report_OfAWindowThatNobodyClosed_IsAFinding) {
  send_usage_report Report;
  Report.Window = 2;
  Report.Fence = First;
  Platform.report(Report);
  EXPECT_EQ(Platform.findings().size(), 1U);
}

} // namespace
} // namespace monsoonreel::fault_matrix
