// Components of the scheduling decisions: cells, estimators, budgets, limits
// and prefix affinity.

#include <gtest/gtest.h>

#include "monsoonreel/organisation_limit.h"
#include "monsoonreel/output_estimator.h"
#include "monsoonreel/pool_map.h"
#include "monsoonreel/prefix_affinity.h"
#include "monsoonreel/retry_budget.h"

namespace monsoonreel {
namespace {

using std::chrono::seconds;

class scheduling_parts_test : public ::testing::Test {
protected:
  const organisation_name Org{"kitchen"};
  const class_name Class{"chat"};
  const zone_name Zone{"norte"};
  steady_time Now{std::chrono::hours(1)};
};

TEST_F(scheduling_parts_test, PoolMap_SixHundredServers_CellsAreSmallAndWhole) {
  configuration Configuration;
  for (int I = 0; I < 600; ++I) {
    upstream Member;
    Member.Name = upstream_name("e" + std::to_string(I));
    Member.Pool = pool_name("model" + std::to_string(I % 4));
    Member.Zone = zone_name("z" + std::to_string(I % 7));
    Configuration.Upstreams[Member.Name] = Member;
  }
  size_t Members = 0;
  pool_map Map = pool_map::fromConfiguration(Configuration);
  for (const auto &[Name, Cell] : Map.all()) {
    EXPECT_LE(Cell.Upstreams.size(), size_t{max_cell_upstreams});
    Members += Cell.Upstreams.size();
  }
  EXPECT_EQ(Members, 600U);
}

TEST_F(scheduling_parts_test, Estimator_AfterTokensSent_ExpectsLongerAnswer) {
  output_estimator Estimator;
  EXPECT_EQ(Estimator.expected(Class, Org, 50), 50);
  for (int I = 0; I < 90; ++I)
    Estimator.observe(Class, Org, 100);
  for (int I = 0; I < 10; ++I)
    Estimator.observe(Class, Org, 2000);
  EXPECT_NEAR(Estimator.remaining(Class, Org, 0, 0), 100, 40);
  EXPECT_GT(Estimator.remaining(Class, Org, 300, 0), 1000);
  EXPECT_LE(Estimator.remaining(Class, Org, 300, 400), 100);
}

TEST_F(scheduling_parts_test, RetryBudget_EverythingFails_RetriesStayBounded) {
  retry_budget Budget;
  Budget.setRatio(0.1);
  int Retries = 0;
  for (int I = 0; I < 1000; ++I) {
    Budget.onRequest(Org, Zone);
    Retries += Budget.tryRetry(Org, Zone);
  }
  EXPECT_LE(Retries, 1000 * 0.1 + retry_allowance);
  EXPECT_GE(Retries, 100);
}

TEST_F(scheduling_parts_test, OrganisationLimit_ManyEntries_KeepErrorBound) {
  constexpr int Entries = 8;
  constexpr double Rate = 40;
  constexpr int Length = 60;
  configuration Configuration;
  Configuration.Organisations[Org].RequestsPerSecond = Rate;
  std::vector<organisation_limit> Limits(Entries);
  for (organisation_limit &Limit : Limits) {
    Limit.setConfiguration(Configuration);
    Limit.setEntries(Entries);
  }
  int Admitted = 0;
  for (int I = 0; I < Length * 100; ++I) {
    Now += std::chrono::milliseconds(10);
    for (organisation_limit &Limit : Limits) // 800 requests per second
      Admitted += Limit.admit(Org, Now) == duration{};
  }
  double Depth =
      Rate / Entries * std::chrono::duration<double>(limit_window).count();
  EXPECT_LE(Admitted, Rate * Length + Entries * Depth + 1);
  EXPECT_GE(Admitted, Rate * Length * 0.99);
  EXPECT_GT(Limits[0].admit(Org, Now), duration{});
}

TEST_F(scheduling_parts_test, Affinity_FullMemory_ForgetsLeastUsed) {
  prefix_affinity Affinity(2);
  Affinity.put(1, upstream_name("a"));
  Affinity.put(2, upstream_name("b"));
  Affinity.put(1, upstream_name("a"));
  Affinity.put(3, upstream_name("c"));
  EXPECT_TRUE(Affinity.find(1));
  EXPECT_FALSE(Affinity.find(2));
  Affinity.forget(upstream_name("a"));
  EXPECT_FALSE(Affinity.find(1));
  EXPECT_EQ(Affinity.size(), 1U);
}

} // namespace
} // namespace monsoonreel
