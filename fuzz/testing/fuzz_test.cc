// A short run of every target with a fixed seed. Longer ones: fuzz-inputs.

#include "fuzz/targets.h"

#include <algorithm>
#include <ostream>

#include <gtest/gtest.h>

namespace monsoonreel::fuzz {

// Test names hold the printed parameter.
static std::ostream &operator<<(std::ostream &Out, const target &Target) {
  return Out << Target.Name;
}

namespace {

constexpr uint64_t seed = 1;
constexpr int runs = 1000;

class fuzz_test : public ::testing::TestWithParam<target> {};

TEST_P(fuzz_test, Samples_Run_AreTaken) {
  for (const std::string &Sample : GetParam().Samples)
    EXPECT_TRUE(GetParam().Run(Sample)) << Sample;
}

TEST_P(fuzz_test, HostileInputs_Run_Return) {
  runTarget(GetParam(), seed, runs);
}

INSTANTIATE_TEST_SUITE_P(Targets, fuzz_test, ::testing::ValuesIn(targets()),
                         [](const auto &Info) {
                           std::string Name = Info.param.Name;
                           std::replace(Name.begin(), Name.end(), '-', '_');
                           return Name;
                         });

} // namespace
} // namespace monsoonreel::fuzz
