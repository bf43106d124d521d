// Long runs of stewards and metering entries with random faults. The number of
// seeds and the minutes of a run are read from MONSOONREEL_SITE_SEEDS and
// MONSOONREEL_SITE_MINUTES.

#include "monsoonreel/testing/steward_site.h"

#include <cstdlib>
#include <string>

#include <gtest/gtest.h>

#include "monsoonreel/invariant.h"
#include "monsoonreel/mechanism.h"

namespace monsoonreel::testing {
namespace {

int readNumber(const char *Variable, int Default) {
  const char *Text = std::getenv(Variable);
  return Text ? std::stoi(Text) : Default;
}

class steward_site_test : public ::testing::Test {
protected:
  steward_site_test() { abortOnBreach(false); }
  ~steward_site_test() override { abortOnBreach(true); }

  const int Seeds = readNumber("MONSOONREEL_SITE_SEEDS", 6);
  const duration Length =
      std::chrono::minutes(readNumber("MONSOONREEL_SITE_MINUTES", 5));

  // Returns the first seed from 1 to Count whose run has a violation, or 0.
  unsigned findViolation(unsigned Count) const {
    for (unsigned Seed = 1; Seed <= Count; ++Seed) {
      steward_site Site(Seed);
      Site.runWithFaults(Length);
      Site.healAndSettle();
      if (!Site.violations().empty()) {
        RecordProperty("violation", Site.violations().front());
        return Seed;
      }
    }
    return 0;
  }
};

TEST_F(steward_site_test, RandomFaults_EverySeed_NoViolation) {
  size_t Reports = 0;
  size_t Orders = 0;
  size_t SnapshotStarts = 0;
  for (int Seed = 1; Seed <= Seeds; ++Seed) {
    steward_site Site(static_cast<unsigned>(Seed));
    Site.runWithFaults(Length);
    Site.healAndSettle();
    EXPECT_EQ(Site.violations(), std::vector<std::string>()) << "seed " << Seed;
    Reports += Site.reportCount();
    Orders += Site.orderCount();
    SnapshotStarts += Site.snapshotStarts();
  }
  // The runs prove nothing when the faults prevent all reports and orders.
  EXPECT_GT(Reports, static_cast<size_t>(Seeds));
  EXPECT_GT(Orders, 0u);
  EXPECT_GT(SnapshotStarts, 0u);
  RecordProperty("reports", static_cast<int>(Reports));
  RecordProperty("orders", static_cast<int>(Orders));
  RecordProperty("snapshot_starts", static_cast<int>(SnapshotStarts));
}

TEST_F(steward_site_test, RandomFaults_WithoutLeaseCheck_Violation) {
  disabled_mechanism Without(mechanism::LeaseCheckBeforeWrite);
  EXPECT_NE(findViolation(10), 0u);
}

TEST_F(steward_site_test, RandomFaults_WithoutUsageHold_Violation) {
  disabled_mechanism Without(mechanism::UsageHold);
  EXPECT_NE(findViolation(10), 0u);
}

TEST_F(steward_site_test, RandomFaults_WithoutUsageSequence_Violation) {
  disabled_mechanism Without(mechanism::UsageSequence);
  EXPECT_NE(findViolation(10), 0u);
}

} // namespace
} // namespace monsoonreel::testing
