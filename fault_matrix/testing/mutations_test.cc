#include "fault_matrix/mutations.h"

#include <gtest/gtest.h>

namespace monsoonreel::fault_matrix {
namespace {

class mutations_test : public ::testing::Test {
protected:
  static constexpr int Threads = 2;

  static const mutation &mutationOf(mechanism Mechanism) {
    return allMutations().at(static_cast<size_t>(Mechanism));
  }

  // Caught by a cell that passes with the mechanism in place.
  static void expectCaught(mechanism Mechanism) {
    mutation_result Result = runMutation(mutationOf(Mechanism), Threads);
    EXPECT_TRUE(Result.Failure && !Result.FailsAnyway) << toString(Result);
  }
};

TEST_F(mutations_test, Table_EveryMechanism_StandsAtItsPlace) {
  ASSERT_EQ(allMutations().size(), mechanism_count);
  for (size_t Place = 0; Place < mechanism_count; ++Place)
    EXPECT_EQ(allMutations()[Place].Mechanism, static_cast<mechanism>(Place));
}

TEST_F(mutations_test, Table_EveryMechanism_IsCaughtSomewhere) {
  for (const mutation &Mutation : allMutations())
    EXPECT_TRUE(Mutation.CaughtByMatrix || *Mutation.UnitTest) << Mutation.Name;
}

TEST_F(mutations_test, Result_NothingFoundThoughExpected_IsNotAsExpected) {
  mutation_result Result{mutationOf(mechanism::DrainWaits), std::nullopt,
                         false};
  EXPECT_FALSE(Result.isAsExpected());
  EXPECT_NE(toString(Result).find("NOT CAUGHT"), std::string::npos);
}

TEST_F(mutations_test, Result_CellFailsAnyway_IsNotAsExpected) {
  mutation_result Result{mutationOf(mechanism::DrainWaits), cell_result(),
                         true};
  EXPECT_FALSE(Result.isAsExpected());
}

TEST_F(mutations_test, Streams_WithoutWithdrawalCancels_AreCaught) {
  expectCaught(mechanism::WithdrawalCancels);
}

TEST_F(mutations_test, LateChunks_WithoutAttemptFilter_AreCaught) {
  expectCaught(mechanism::AttemptFilter);
}

TEST_F(mutations_test, Claims_WithoutFencing_AreCaught) {
  expectCaught(mechanism::Fencing);
}

} // namespace
} // namespace monsoonreel::fault_matrix
