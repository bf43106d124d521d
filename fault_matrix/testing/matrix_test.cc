// A small part of the matrix; `make matrix` runs the whole of it.

#include "fault_matrix/matrix.h"

#include <gtest/gtest.h>

#include "monsoonreel/mechanism.h"

namespace monsoonreel::fault_matrix {
namespace {

class matrix_test : public ::testing::Test {
protected:
  static constexpr int Threads = 2;

  // Every fault at the first occurrence of Step.
  static std::vector<matrix_cell> cellsOf(const step_name &Step) {
    std::vector<matrix_cell> Cells;
    for (fault Fault : allFaults())
      Cells.push_back({{{Step, Fault, 1}}, 1});
    return Cells;
  }

  static std::vector<matrix_cell> cellsOf(fault Fault) {
    std::vector<matrix_cell> Cells;
    for (const step_name &Step : allSteps())
      Cells.push_back({{{Step, Fault, 1}}, 1});
    return Cells;
  }
};

TEST_F(matrix_test, Site_NoFault_KeepsEveryPromise) {
  matrix_report Report = runMatrix(faultlessCells(1, 8), Threads);
  EXPECT_EQ(Report.Failed, 0) << Report.toString();
  EXPECT_EQ(Report.Passed, 8);
}

TEST_F(matrix_test, Traffic_NoFault_ReachesEveryStep) {
  matrix_report Report = runMatrix({}, Threads);
  EXPECT_EQ(Report.UnreachedSteps, std::vector<step_name>());
}

TEST_F(matrix_test, ClaimAsk_EveryFault_KeepsEveryPromise) {
  matrix_report Report = runMatrix(cellsOf("message/claim_ask"), Threads);
  EXPECT_EQ(Report.Failed, 0) << Report.toString();
}

TEST_F(matrix_test, UsageClose_EveryFault_KeepsEveryPromise) {
  matrix_report Report = runMatrix(cellsOf("append/usage_close"), Threads);
  EXPECT_EQ(Report.Failed, 0) << Report.toString();
}

TEST_F(matrix_test, Claims_WithoutClaimBeforeDispatch_AreCaught) {
  disabled_mechanism Off(mechanism::ClaimBeforeDispatch);
  EXPECT_GT(runMatrix(faultlessCells(1, 8), Threads).Failed, 0);
}

TEST_F(matrix_test, Retries_WithoutRetryOnlyIdempotent_AreCaught) {
  disabled_mechanism Off(mechanism::RetryOnlyIdempotent);
  EXPECT_GT(runMatrix(cellsOf(fault::UpstreamCrash), Threads).Failed, 0);
}

TEST_F(matrix_test, Drain_WithoutWaiting_IsCaught) {
  disabled_mechanism Off(mechanism::DrainWaits);
  EXPECT_GT(runMatrix(faultlessCells(1, 8), Threads).Failed, 0);
}

} // namespace
} // namespace monsoonreel::fault_matrix
