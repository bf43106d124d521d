#include "monsoonreel/questionnaire.h"

#include <algorithm>
#include <fstream>
#include <sstream>

#include <gtest/gtest.h>

#include "monsoonreel/configuration.h"

namespace monsoonreel {
namespace {

const char upstreams[] = R"(upstreams:
  - {pool: planner, zone: north, concurrency: 2, fastest_first_token: 100ms, fastest_between_tokens: 20ms, machines: [{name: m1, address: "127.0.0.1:1"}]}
  - {pool: spot, zone: north, may_vanish: true, machines: [{name: m2, address: "127.0.0.1:2"}]}
  - {pool: desk, kind: service, zone: north, machines: [{name: s1, address: "127.0.0.1:3"}]}
organisations: [{name: baths}]
)";

class questionnaire_test : public ::testing::Test {
protected:
  // The findings on a questionnaire whose only requests are Requests.
  static std::string findingsOn(const std::string &Requests) {
    auto Answers = parseQuestionnaire(
        std::string(upstreams) + "requests:\n" + Requests, "q.yaml");
    return Answers ? "" : Answers.error().toString();
  }
  // The working directory of the tests is the root of the source tree.
  static std::string readExample(const std::string &Name) {
    std::ifstream Stream("examples/" + Name);
    std::stringstream Text;
    Text << Stream.rdbuf();
    return Text.str();
  }
  static void expectFinding(const std::string &Requests,
                            const std::string &Place,
                            const std::string &Message) {
    std::string Findings = findingsOn(Requests);
    EXPECT_NE(Findings.find(Place + ": " + Message), std::string::npos)
        << Findings;
    EXPECT_EQ(std::count(Findings.begin(), Findings.end(), '\n'), 1)
        << Findings;
  }
};

TEST_F(questionnaire_test, Template_Generated_ConfigurationHasNoFinding) {
  auto Answers = parseQuestionnaire(questionnaireTemplate(), "template");
  ASSERT_TRUE(Answers) << Answers.error().toString();
  std::string Document = toConfigurationDocument(*Answers, "template");
  auto Configuration = parseConfiguration(Document, "site.yaml");
  ASSERT_TRUE(Configuration) << Configuration.error().toString() << Document;
  EXPECT_EQ(Configuration->Upstreams.size(), 4U);
  EXPECT_FALSE(Configuration->findRoute("/booking")->Idempotent);
  EXPECT_TRUE(Configuration->findRoute("/v1/chat/completions")->Idempotent);
  EXPECT_EQ(Configuration->findClass(class_name("chat"))->FirstTokenTarget,
            std::chrono::milliseconds(350));
  EXPECT_FALSE(
      Configuration->mayUse(organisation_name("baths"), class_name("digest")));
}

TEST_F(questionnaire_test, ShippedExamples_Generated_AreTheShippedSites) {
  for (const std::string Site : {"demo", "yuzunoki", "desayuno"}) {
    std::string Source = Site + "-questionnaire.yaml";
    auto Answers = parseQuestionnaire(readExample(Source), Source);
    ASSERT_TRUE(Answers) << Answers.error().toString();
    EXPECT_EQ(toConfigurationDocument(*Answers, Source),
              readExample(Site + ".yaml"));
  }
}

TEST_F(questionnaire_test, TargetBelowFloor_Parsed_IsFinding) {
  expectFinding("  - {name: a, tier: 0, first_token: 99ms, pool: planner}\n",
                "requests[0].first_token",
                "the upstreams of the pool planner "
                "need at least 100ms");
  expectFinding("  - {name: a, tier: 0, first_token: 1s, between_tokens: 19ms, "
                "pool: planner}\n",
                "requests[0].between_tokens",
                "the upstreams of the pool "
                "planner need at least 20ms");
}

TEST_F(questionnaire_test, RunsOnceOnUpstreamsThatMayVanish_Parsed_IsFinding) {
  expectFinding("  - {name: a, tier: 0, first_token: 1s, pool: planner, "
                "runs_once: true, on_upstreams_that_may_vanish: true}\n",
                "requests[0].on_upstreams_that_may_vanish", "what must run");
}

TEST_F(questionnaire_test, RunsOnceWithoutKey_Parsed_IsFinding) {
  expectFinding("  - {name: a, tier: 0, first_token: 1s, pool: desk, path: /a, "
                "runs_once: true, open: true}\n",
                "requests[0].open", "what must run once");
}

TEST_F(questionnaire_test, PoolWithoutUsableUpstream_Parsed_IsFinding) {
  expectFinding("  - {name: a, tier: 0, first_token: 1s, pool: none}\n",
                "requests[0].pool", "no upstream serves the pool none");
  expectFinding("  - {name: a, tier: 0, first_token: 1s, pool: spot}\n",
                "requests[0].pool", "all upstreams of the pool spot");
}

TEST_F(questionnaire_test, PeakAboveCapacity_Parsed_IsFindingOfTheLowerTier) {
  expectFinding(
      "  - {name: low, tier: 1, first_token: 1s, pool: planner, "
      "path: /l, peak_per_second: 1, typical_time: 1s}\n"
      "  - {name: high, tier: 0, first_token: 1s, pool: planner, "
      "path: /h, peak_per_second: 1, typical_time: 1500ms}\n",
      "requests[0].peak_per_second",
      "at their peak the requests of its tier and above need 3 slots");
}

TEST_F(questionnaire_test, OnePathForTwoServices_Parsed_IsFinding) {
  expectFinding(
      "  - {name: a, tier: 0, first_token: 1s, pool: desk, path: /a}\n"
      "  - {name: b, tier: 0, first_token: 1s, pool: desk, path: "
      "/a}\n",
      "requests[1].path", "is the path of a too");
}

TEST_F(questionnaire_test, SeveralFaults_Parsed_AllAreReportedWithPlaces) {
  std::string Findings =
      findingsOn("  - {name: a b, tier: 7, first_token: 1s, pool: none, "
                 "colour: red}\n");
  EXPECT_NE(Findings.find("requests[0].name"), std::string::npos);
  EXPECT_NE(Findings.find("requests[0].tier"), std::string::npos);
  EXPECT_NE(Findings.find("requests[0].pool"), std::string::npos);
  EXPECT_NE(Findings.find("requests[0].colour: unknown key"),
            std::string::npos);
}

} // namespace
} // namespace monsoonreel
