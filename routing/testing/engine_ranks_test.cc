#include "routing/engine_ranks.h"

#include <gtest/gtest.h>

namespace monsoonreel {
namespace {

class engine_ranks_test : public testing::Test {
protected:
  static urgency urgencyWith(int RouteRank,
                             std::optional<int> OrganisationRank) {
    host_route Route;
    Route.Rank = RouteRank;
    organisation_terms Organisation;
    Organisation.Rank = OrganisationRank;
    return urgencyOf(Route, &Organisation);
  }

  // Returns all combinations of Organisations organisation ranks and Routes
  // route ranks.
  static std::set<urgency> grid(int Organisations, int Routes) {
    std::set<urgency> Urgencies;
    for (int Organisation = 0; Organisation < Organisations; ++Organisation)
      for (int Route = 0; Route < Routes; ++Route)
        Urgencies.insert({Organisation, Route});
    return Urgencies;
  }
};

TEST_F(engine_ranks_test, Urgency_OrganisationWithoutRank_IsTheRoutes) {
  EXPECT_EQ(urgencyWith(2, std::nullopt), (urgency{2, 2}));
  EXPECT_EQ(urgencyWith(2, 1), (urgency{1, 2}));
  host_route Public;
  Public.Rank = 3;
  EXPECT_EQ(urgencyOf(Public, nullptr), (urgency{3, 3}));
}

TEST_F(engine_ranks_test, Ranks_EnoughForAll_KeepTheWholeOrder) {
  engine_ranks Ranks(grid(3, 3), 10);
  int Expected = 0;
  for (const urgency &Each : grid(3, 3))
    EXPECT_EQ(Ranks.rankOf(Each), Expected++) << toText(Each);
}

TEST_F(engine_ranks_test, Ranks_OrganisationsRemoved_OthersKeepTheirRanks) {
  engine_ranks Before(grid(2, 2), 10);
  engine_ranks After({{1, 0}, {1, 1}}, 10);
  for (const urgency &Each : {urgency{1, 0}, urgency{1, 1}})
    EXPECT_EQ(After.rankOf(Each), Before.rankOf(Each)) << toText(Each);
}

TEST_F(engine_ranks_test, Ranks_SparseNumbers_AreDistinct) {
  engine_ranks Ranks({{0, 0}, {0, 50}, {100, 0}, {100, 50}}, 4);
  EXPECT_EQ(Ranks.rankOf({0, 0}), 0);
  EXPECT_EQ(Ranks.rankOf({0, 50}), 1);
  EXPECT_EQ(Ranks.rankOf({100, 0}), 2);
  EXPECT_EQ(Ranks.rankOf({100, 50}), 3);
}

TEST_F(engine_ranks_test, Ranks_TooFew_LeastUrgentRoutesShareThem) {
  engine_ranks Ranks(grid(4, 4), 10);
  EXPECT_EQ(Ranks.toText(), "0/0,0/1,0/2,0/3,1/0,1/1,1/2,1/3,2/0,3/0");
}

TEST_F(engine_ranks_test, Ranks_TooFewForOrganisations_LeastUrgentShareThem) {
  engine_ranks Ranks(grid(5, 2), 3);
  EXPECT_EQ(Ranks.toText(), "0/0,1/0,2/0");
  EXPECT_EQ(Ranks.rankOf({4, 1}), 2);
}

// No request is ranked behind a less urgent one, whatever the counts.
TEST_F(engine_ranks_test, Ranks_AnyCounts_NeverInvertTheOrder) {
  for (int Organisations = 1; Organisations <= 12; ++Organisations)
    for (int Routes = 1; Routes <= 12; ++Routes)
      for (int Count = 1; Count <= 10; ++Count) {
        std::set<urgency> All = grid(Organisations, Routes);
        engine_ranks Ranks(All, Count);
        int Last = 0;
        for (const urgency &Each : All) {
          int Rank = Ranks.rankOf(Each);
          EXPECT_GE(Rank, Last);
          EXPECT_LT(Rank, Count);
          Last = Rank;
        }
      }
}

} // namespace
} // namespace monsoonreel
