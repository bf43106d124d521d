#include <gtest/gtest.h>

#include "load/answer_reader.h"
#include "load/arrival_schedule.h"
#include "load/run_report.h"
#include "standins/answer_text.h"

namespace monsoonreel::load {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using progress = answer_reader::progress;

class load_test : public ::testing::Test {
protected:
  static constexpr const char *ScenarioText = R"(
requests_per_second: 100
load: 1.0
traffic:
  - {class: chat, path: /v1/chat/completions, model: m, share: 0.5, stream: true}
  - {class: order, path: /order, share: 0.5, idempotent: false, keyed: true}
organisations:
  - {name: large, weight: 9}
  - {name: small, weight: 1}
bursts:
  - {class: chat, at: 0.5, for: 0.5, factor: 4}
withdrawals:
  - {at: 0.5, organisation: small}
)";
  static constexpr const char *SiteText = R"(
classes:
  - {name: chat, tier: 0, first_token: 100ms, between_tokens: 50ms}
  - {name: order, tier: 0, first_token: 1s}
organisations:
  - {name: large}
  - {name: small}
upstreams:
  - {name: s1, kind: service, pool: p, zone: z, address: "127.0.0.1:1"}
routes:
  - {path: /order, pool: p, class: order}
)";

  void SetUp() override {
    auto Parsed = parseScenario(ScenarioText, "s");
    ASSERT_TRUE(Parsed) << Parsed.error().toString();
    Scenario = *Parsed;
    auto Configuration = parseConfiguration(SiteText, "c");
    ASSERT_TRUE(Configuration) << Configuration.error().toString();
    Site = *Configuration;
  }

  int count(size_t Traffic, duration From, duration To) const {
    int Count = 0;
    for (const planned_request &Request : Plan)
      Count +=
          Request.Traffic == Traffic && Request.At >= From && Request.At < To;
    return Count;
  }

  scenario Scenario;
  configuration Site;
  std::vector<planned_request> Plan;
};

TEST_F(load_test, Plan_SameSeed_IsTheSame) {
  Plan = planArrivals(Scenario, seconds(5), 3);
  auto Again = planArrivals(Scenario, seconds(5), 3);
  ASSERT_EQ(Plan.size(), Again.size());
  for (size_t I = 0; I < Plan.size(); ++I) {
    EXPECT_EQ(Plan[I].At, Again[I].At);
    EXPECT_EQ(Plan[I].Body, Again[I].Body);
  }
  EXPECT_NE(Plan[0].Body, planArrivals(Scenario, seconds(5), 4)[0].Body);
}

TEST_F(load_test, Plan_Burst_RaisesOnlyItsClass) {
  Plan = planArrivals(Scenario, seconds(40), 1);
  // 50 a second for 20 s, within five standard deviations.
  EXPECT_NEAR(count(0, seconds(0), seconds(20)), 1000, 160);
  EXPECT_NEAR(count(0, seconds(20), seconds(40)), 4000, 320);
  EXPECT_NEAR(count(1, seconds(20), seconds(40)), 1000, 160);
}

TEST_F(load_test, Scenario_SeveralFaults_AllReported) {
  auto Parsed = parseScenario("requests_per_second: 0\nspeed: 3\n"
                              "faults: [{at: 2, kind: slow}]\n",
                              "s");
  ASSERT_FALSE(Parsed);
  EXPECT_EQ(Parsed.error().size(), 5U) << Parsed.error().toString();
}

TEST_F(load_test, Answer_EveryCut_IsCompleteOnlyAtTheEnd) {
  const std::string Event =
      "data: {\"choices\":[{\"delta\":{\"content\":\" ab\"}}]}\n\n";
  const std::string End = "data: [DONE]\n\n";
  auto Chunk = [](const std::string &Data) {
    char Size[16];
    std::snprintf(Size, sizeof(Size), "%zx\r\n", Data.size());
    return Size + Data + "\r\n";
  };
  std::string Wire = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                     "transfer-encoding: chunked\r\n\r\n" +
                     Chunk(Event) + Chunk(Event + End) + "0\r\n\r\n";
  for (size_t Cut = 0; Cut < Wire.size(); ++Cut) {
    answer_reader Reader;
    Reader.feed(Wire.substr(0, Cut), steady_time{});
    EXPECT_NE(Reader.state(), progress::Complete) << Cut;
    Reader.feed(Wire.substr(Cut), steady_time{});
    EXPECT_EQ(Reader.state(), progress::Complete) << Cut;
    EXPECT_EQ(Reader.content(), " ab ab");
    EXPECT_TRUE(Reader.sawDone());
  }
}

TEST_F(load_test, Answer_Hostile_IsMalformed) {
  for (const char *Wire :
       {"rubbish\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nab",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 1a\r\n\r\na",
        "HTTP/1.1 200x OK\r\nContent-Length: 1\r\n\r\na",
        "HTTP/1.1 200 OK\r\nno field\r\nContent-Length: 1\r\n\r\na",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\naXX0\r\n"}) {
    answer_reader Reader;
    Reader.feed(Wire, steady_time{});
    EXPECT_EQ(Reader.state(), progress::Malformed) << Wire;
  }
}

TEST_F(load_test, Report_FalseNotRunAndDoubleRun_AreCounted) {
  planned_request Order;
  Order.Traffic = 1;
  Order.Body = "a";
  planned_request Other = Order;
  Other.Body = "b";
  Plan = {Order, Other};
  std::vector<request_outcome> Outcomes(2);
  Outcomes[0].Outcome = outcome::NotRun;
  Outcomes[1].Outcome = outcome::Complete;
  Outcomes[1].FirstTokenMs = 10;
  auto Receipt = [](const char *Body) {
    return QString::fromStdString(standin::receiptFor("/order", Body));
  };
  QJsonObject Receipts = {{Receipt("a"), 1}, {Receipt("b"), 2}};
  run_report Report =
      buildReport({Scenario,
                   Site,
                   seconds(10),
                   Plan,
                   Outcomes,
                   {{upstream_name("s1"), QJsonObject{{"receipts", Receipts}}}},
                   {}});
  EXPECT_EQ(Report.FalseNotRun, 1);
  EXPECT_EQ(Report.RanTwice, 1);
  ASSERT_EQ(Report.Classes.size(), 1U);
  EXPECT_EQ(Report.Classes[0].Attained, 1);
  EXPECT_EQ(Report.Classes[0].Offered, 2);
}

TEST_F(load_test, Report_WithdrawnKey_OnlyLateAnswersAreCounted) {
  for (int At : {1, 6, 11}) {
    planned_request Request;
    Request.At = seconds(At);
    Request.Organisation = 1;
    Plan.push_back(Request);
  }
  std::vector<request_outcome> Outcomes(3);
  for (request_outcome &Outcome : Outcomes)
    Outcome.Outcome = outcome::Complete;
  run_report Report =
      buildReport({Scenario, Site, seconds(10), Plan, Outcomes, {}, {}});
  EXPECT_EQ(Report.Withdrawn, 2);
  EXPECT_EQ(Report.RanAfterWithdrawal, 1);
  EXPECT_EQ(Report.Classes[0].Offered, 1);
}

TEST_F(load_test, Report_SlowTokens_MissTheTarget) {
  Plan.resize(2);
  std::vector<request_outcome> Outcomes(2);
  for (request_outcome &Outcome : Outcomes) {
    Outcome.Outcome = outcome::Complete;
    Outcome.FirstTokenMs = 90;
  }
  Outcomes[1].BetweenTokensMs = 51;
  run_report Report =
      buildReport({Scenario, Site, seconds(10), Plan, Outcomes, {}, {}});
  EXPECT_EQ(Report.Classes[0].Attained, 1);
}

TEST_F(load_test, Report_NoEntryTookIt_IsCountedApartFromLateAnswers) {
  Plan.resize(2);
  std::vector<request_outcome> Outcomes(2);
  Outcomes[0].Outcome = outcome::TimedOut;
  Outcomes[1].Outcome = outcome::NotConnected;
  run_report Report =
      buildReport({Scenario, Site, seconds(10), Plan, Outcomes, {}, {}});
  EXPECT_EQ(Report.Classes[0].TimedOut, 2);
  EXPECT_EQ(Report.Classes[0].NotConnected, 1);
}

} // namespace
} // namespace monsoonreel::load
