#include "monsoonreel/configuration.h"
#include "monsoonreel/settings.h"

#include <gtest/gtest.h>

namespace monsoonreel {
namespace {

class configuration_test : public ::testing::Test {
protected:
  static constexpr const char *Valid = R"(
classes:
  - {name: draft, tier: 0, first_token: 350ms, between_tokens: 61ms, minimum_share: 0.2}
  - {name: quick, tier: 1, first_token: 1s, cheap_allowed: true}
organisations:
  - {name: tiles, weight: 2, classes: [draft]}
  - {name: baths}
upstreams:
  - {name: m1, pool: large, zone: north, address: "127.0.0.1:8001", concurrency: 4}
  - {name: s1, kind: service, pool: orders, zone: north, address: "127.0.0.1:8002"}
routes:
  - {path: /v1/chat/completions, class: quick, idempotent: true}
  - {path: /orders, pool: orders, class: draft}
  - {path: /orders/quote, pool: orders, class: draft, idempotent: true}
limits:
  claim_window: 2h
)";
};

TEST_F(configuration_test, ValidDocument_Parsed_HoldsItsValues) {
  auto Parsed = parseConfiguration(Valid, "c.yaml");
  ASSERT_TRUE(Parsed) << Parsed.error().toString();
  const service_class *Draft = Parsed->findClass(class_name("draft"));
  ASSERT_NE(Draft, nullptr);
  EXPECT_EQ(Draft->FirstTokenTarget, std::chrono::milliseconds(350));
  EXPECT_EQ(Parsed->Limits.ClaimWindow, std::chrono::hours(2));
  EXPECT_TRUE(Parsed->mayUse(organisation_name("tiles"), class_name("draft")));
  EXPECT_FALSE(Parsed->mayUse(organisation_name("tiles"), class_name("quick")));
  EXPECT_TRUE(Parsed->mayUse(organisation_name("baths"), class_name("quick")));
}

TEST_F(configuration_test, Route_TwoPrefixesMatch_LongestWins) {
  auto Parsed = parseConfiguration(Valid, "c.yaml");
  ASSERT_TRUE(Parsed);
  EXPECT_FALSE(Parsed->findRoute("/orders/7")->Idempotent);
  EXPECT_TRUE(Parsed->findRoute("/orders/quote")->Idempotent);
  EXPECT_EQ(Parsed->findRoute("/other"), nullptr);
}

TEST_F(configuration_test, SeveralFaults_Parsed_AllReportedWithPlace) {
  auto Parsed = parseConfiguration(R"(
classes:
  - {name: draft, tier: 9, first_token: soon}
routes:
  - {path: orders, class: missing, speed: 1}
)",
                                   "c.yaml");
  ASSERT_FALSE(Parsed);
  std::string Text = Parsed.error().toString();
  EXPECT_EQ(Parsed.error().size(), 5u) << Text;
  EXPECT_NE(Text.find("c.yaml:3:25: classes[0].tier"), std::string::npos)
      << Text;
  EXPECT_NE(Text.find("routes[0].speed: unknown key"), std::string::npos)
      << Text;
}

TEST_F(configuration_test, BrokenYaml_Parsed_IsAFindingWithLine) {
  auto Parsed = parseConfiguration("classes: [", "c.yaml");
  ASSERT_FALSE(Parsed);
  EXPECT_EQ(Parsed.error().size(), 1u);
}

TEST_F(configuration_test, Settings_MissingAndWrongValues_AllReported) {
  auto Parsed = parseSettings("name: e1\npeer: nowhere\npolicy: best\n", "s");
  ASSERT_FALSE(Parsed);
  // zone, admin and platform are missing; peer and policy are wrong.
  EXPECT_EQ(Parsed.error().size(), 5u) << Parsed.error().toString();
}

} // namespace
} // namespace monsoonreel
