#include "routing/lateness_odds.h"

#include <cmath>

#include <gtest/gtest.h>

namespace monsoonreel {
namespace {

class lateness_odds_test : public testing::Test {
protected:
  void observe(int Events, double Ratio, double EverySeventh) {
    for (int I = 0; I < Events; ++I)
      Odds.add(I % 7 == 0 ? EverySeventh : Ratio);
  }
  lateness_odds Odds;
};

// Guards against first decisions that take streams for safe, or for lost.
TEST_F(lateness_odds_test, Beyond_NothingObserved_IsThePrior) {
  EXPECT_NEAR(Odds.beyond(1), 0.5, 0.01);
  EXPECT_NEAR(Odds.beyond(1.5), 0.15, 0.04) << "between two edges";
  EXPECT_NEAR(Odds.beyond(2.5), 0.1, 0.01);
  EXPECT_NEAR(Odds.beyond(4), 0, 1e-9);
  observe(64, 0.9, 0.9);
  EXPECT_NEAR(Odds.beyond(1), 0.25, 0.03) << "weight of the prior";
}

// Guards against budgets of typical engines where some are slow for a while.
TEST_F(lateness_odds_test, Beyond_SeventhEngineSlow_IsASeventhUntilItsRatio) {
  observe(1000, 0.9, 2.5);
  EXPECT_NEAR(Odds.beyond(2), 1.0 / 7, 0.03);
  EXPECT_LT(Odds.beyond(3), 0.02);
}

// Guards against less time that looks safer, and against indices out of bounds.
TEST_F(lateness_odds_test, Beyond_AnyRatiosObserved_NeverRises) {
  for (double Observed : {0.9, -HUGE_VAL, 0.0, 1e-300, 1e300, HUGE_VAL}) {
    observe(30, Observed, 2.5);
    for (int Hundredths = -10; Hundredths < 2000; ++Hundredths)
      ASSERT_LE(Odds.beyond((Hundredths + 1) / 100.0),
                Odds.beyond(Hundredths / 100.0))
          << Hundredths;
    EXPECT_EQ(Odds.beyond(std::nan("")), 1) << "as late as possible";
    EXPECT_EQ(Odds.beyond(-HUGE_VAL) - Odds.beyond(HUGE_VAL), 1);
  }
}

// Guards against an earlier load that outweighs the present one.
TEST_F(lateness_odds_test, Beyond_EnginesRecover_ForgetsWithin600Events) {
  observe(1000, 3, 3);
  observe(600, 0.9, 0.9);
  EXPECT_LT(Odds.beyond(2), 0.06);
}

} // namespace
} // namespace monsoonreel
