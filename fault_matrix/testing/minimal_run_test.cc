#include "fault_matrix/minimal_run.h"

#include <gtest/gtest.h>

#include "monsoonreel/mechanism.h"

namespace monsoonreel::fault_matrix {
namespace {

class minimal_run_test : public ::testing::Test {
protected:
  minimal_run_test() {
    Options.Seed = 3;
    Options.Length = std::chrono::seconds(100);
    Options.RandomFaultPeriod = std::chrono::seconds(10);
  }

  static constexpr uint64_t most_seeds = 16;
  world_options Options;
};

TEST_F(minimal_run_test, Run_WithoutFinding_GivesNothing) {
  EXPECT_FALSE(minimizeRun(Options));
}

TEST_F(minimal_run_test, StruckFaults_PlannedInsteadOfDrawn_GiveTheSameRun) {
  world Drawn(Options);
  Drawn.run();
  ASSERT_FALSE(Drawn.struck().empty());
  Options.RandomFaultPeriod = duration::zero();
  world Planned(Options);
  for (const struck_fault &Struck : Drawn.struck())
    Planned.plan(Struck.Fault);
  Planned.run();
  EXPECT_EQ(Planned.occurred(), Drawn.occurred());
  EXPECT_EQ(Planned.outcomes(), Drawn.outcomes());
}

TEST_F(minimal_run_test, Run_FindingNeedsNoFault_LosesAllFaultsAndGetsShorter) {
  disabled_mechanism Without(mechanism::Fencing);
  std::optional<minimal_run> Run = minimizeRun(Options);
  ASSERT_TRUE(Run);
  EXPECT_TRUE(Run->Faults.empty()) << toString(*Run);
  EXPECT_TRUE(parseFaults(toText(Run->Faults)));
  EXPECT_LT(Run->Length, Options.Length);
}

TEST_F(minimal_run_test, Run_FindingNeedsAFault_KeepsItAndItRepeats) {
  disabled_mechanism Without(mechanism::ReconnectProbe);
  std::optional<minimal_run> Run;
  for (Options.Seed = 0; !Run && Options.Seed < most_seeds;) {
    ++Options.Seed;
    Run = minimizeRun(Options);
  }
  ASSERT_TRUE(Run);
  // One cut between the zones, and perhaps a fault that shifts its time.
  EXPECT_FALSE(Run->Faults.empty());
  EXPECT_LE(Run->Faults.size(), 2U) << toString(*Run);
  auto Plan = parseFaults(toText(Run->Faults));
  ASSERT_TRUE(Plan);
  Options.RandomFaultPeriod = duration::zero();
  Options.Length = Run->Length;
  world Again(Options);
  for (const planned_fault &Fault : *Plan)
    Again.plan(Fault);
  Again.run();
  EXPECT_FALSE(Again.findings().empty());
}

TEST_F(minimal_run_test, Run_BoundOfRunsReached_GivesWhatItHas) {
  disabled_mechanism Without(mechanism::Fencing);
  std::optional<minimal_run> Run = minimizeRun(Options, 2);
  ASSERT_TRUE(Run);
  EXPECT_EQ(Run->Runs, 2);
}

TEST_F(minimal_run_test, Faults_Malformed_AreRefused) {
  EXPECT_FALSE(parseFaults("read/call"));
  EXPECT_FALSE(parseFaults("read/call#x=lost"));
  EXPECT_FALSE(parseFaults("read/call#1=nothing"));
}

} // namespace
} // namespace monsoonreel::fault_matrix
