// Requests of a route and an organisation that may use certain regions only.

#include "routing/testing/request_router_fixture.h"

namespace monsoonreel {
namespace {

class region_rules_test : public request_router_test {
protected:
  region_rules_test() { list("far1", "far"); }
  void restrict(const std::optional<region_list> &OfRoutes,
                std::optional<region_list> OfOrganisation) {
    for (host_route &Route : Config.Routes)
      Route.AllowedRegions = OfRoutes;
    Config.Organisations[0].AllowedRegions = std::move(OfOrganisation);
    Table = std::make_shared<const route_table>(Config);
  }
  void expectRefused(const char *Code) {
    EXPECT_EQ(one<route_refusal>().Code, Code);
    EXPECT_EQ(one<route_refusal>().Status, 503);
    EXPECT_EQ(one<route_refusal>().Outcome, execution_outcome::NotRun);
    EXPECT_GT(one<route_refusal>().RetryAfter, duration::zero());
  }
  const region_name Eu{"eu"};
  const region_name Us{"us"};
};

// Guards against a further attempt, or one of an organisation with its own
// list, outside the allowed regions.
TEST_F(region_rules_test, Lists_OfBoth_BindEveryAttempt) {
  restrict(region_list{Eu, Us}, region_list{Us});
  arrive("/safe/x");
  EXPECT_EQ(one<route_dispatch>().Upstream.Value, "far1");
  head(attempt(), 503, true);
  expectRefused("no-upstream");
  restrict(region_list{Us}, std::nullopt);
  Now = 5s; // the pause of far1 is over
  arrive("/safe/x");
  EXPECT_EQ(one<route_dispatch>().Upstream.Value, "far1");
}

// Guards against a service that is used because no other upstream is left.
TEST_F(region_rules_test, Region_WithoutUpstream_IsRefusedWithItsCode) {
  restrict(region_list{Eu}, region_list{Us});
  arrive("/safe/x");
  expectRefused("no-allowed-region");
  restrict(std::nullopt, region_list{});
  arrive("/safe/x");
  expectRefused("no-allowed-region");
  restrict(region_list{Us}, std::nullopt);
  Registry.setEvacuated({zone_name("far")});
  arrive("/safe/x");
  expectRefused("no-allowed-region");
}

// Guards against a public route on which an organisation's requests leave its
// regions, and against names of organisations that get out there.
TEST_F(region_rules_test, Route_Public_KeepsRegionsOfKnownOrganisation) {
  restrict(std::nullopt, region_list{Us});
  arrive("/open/");
  EXPECT_EQ(one<route_dispatch>().Upstream.Value, "far1");
  EXPECT_TRUE(one<route_dispatch>().Organisation.empty());
  restrict(std::nullopt, region_list{});
  arrive("/open/");
  expectRefused("no-allowed-region");
  arrive("/open/", "unknown");
  EXPECT_FALSE(none<route_dispatch>());
}

// Guards against a zone that is missing from the settings being used.
TEST_F(region_rules_test, Zone_WithoutRegion_IsInNoAllowedRegion) {
  region_rule Rule({{zone_name("z"), Eu}}, region_list{Eu}, std::nullopt);
  EXPECT_TRUE(Rule.allows(zone_name("z")));
  EXPECT_FALSE(Rule.allows(zone_name("other")));
  EXPECT_TRUE(region_rule().allows(zone_name("other")));
}

} // namespace
} // namespace monsoonreel
