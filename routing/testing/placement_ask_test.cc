// Answers of a relay to entries that ask it to place a request.

#include "routing/testing/request_router_fixture.h"

namespace monsoonreel {
namespace {

class placement_ask_test : public request_router_test {
protected:
  placement_ask_test() {
    Config.Services[0].Engine = engine_terms{16, 500000, 1};
    Table = std::make_shared<const route_table>(Config);
    list("far-away", "far");
  }

  // Sends a final ask of an entry, and returns the answer.
  wire::placement_grant ask(const std::vector<std::string> &Tried,
                            const std::vector<std::string> &Failing) {
    wire::placement_ask Ask;
    Ask.Service = "app";
    Ask.PromptTokens = 800;
    Ask.MaxOutputTokens = 300;
    Ask.TargetMicros = toMicros(300ms);
    Ask.Tried = Tried;
    Ask.Failing = Failing;
    Ask.Final = true;
    Effects.clear();
    Router.onAsk(address("10.0.0.2:7"), Ask, Table, context(), Effects);
    return std::get<wire::placement_grant>(one<send_datagrams>().Message);
  }
};

// Guards against a relay that sends a request to an engine that it knows to
// fail, while engines of another zone work.
TEST_F(placement_ask_test, FinalAsk_OwnEnginesPaused_GrantsNothing) {
  EXPECT_NE(ask({}, {}).Upstream, "");
  for (const char *Name : {"u1", "u2", "u3"})
    FailureTracker.onUnreachable(upstream_name(Name), zone_name("z"), at(0ms));
  auto Grant = ask({}, {});
  EXPECT_EQ(Grant.Upstream, "");
  EXPECT_EQ(Grant.RetryMicros, 0);
  // Without another zone, an engine that may work again is tried.
  EXPECT_NE(ask({"far-away"}, {}).Upstream, "");
}

// Guards against an engine that gets no requests because some entries have used
// up their shares of its limit.
TEST_F(placement_ask_test, Upstream_LimitUsedUpByEntries_IsNotPaused) {
  Limits.onAnswer(upstream_name("u1"), 1000, at(0ms), at(0ms));
  for (Now = 100ms; Now < 400ms; Now += 100ms)
    ask({}, {"u1"});
  EXPECT_EQ(ask({"u2", "u3"}, {}).Upstream, "u1");
}

} // namespace
} // namespace monsoonreel
