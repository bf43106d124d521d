// Explanations of where a request would go, against what the router does.

#include "routing/testing/request_router_fixture.h"

namespace monsoonreel {
namespace {

class explain_test : public request_router_test {
protected:
  static prompt_info prompt(uint64_t Subject) {
    return {"m", 4000, 60, {{1, 1000}, {Subject, 2500}, {Subject + 50, 500}}};
  }

  explanation ask(const char *Path,
                  const std::optional<prompt_info> &Prompt = std::nullopt) {
    if (!Table)
      Table = std::make_shared<const route_table>(Config);
    router_context Context = context();
    Context.Relays = Relays ? &*Relays : nullptr;
    return Router.explain(
        {{}, "explain", "h", Path, key_hash("good"), {}, Prompt}, Table,
        Context);
  }

  std::optional<zone_relays> Relays;
};

// Guards against an explanation that computes another choice than the router.
TEST_F(explain_test, Engine_ManyRequestsRunning_IsTheOneThatTheRouterChooses) {
  Config.Services.front().Engine = engine_terms{16, 500000, 10};
  list("u4", "far");
  wire::entry_report Report;
  Report.Incarnation = Report.Sequence = 1;
  Report.Uses.resize(1);
  Report.Uses.back().Upstream = "u2";
  Load.onReport(address("10.0.0.9:1"), Report, at(0ms));
  std::set<upstream_name> Used;
  for (uint64_t I = 0; I < 40; ++I) {
    Now += 3ms;
    explanation Why = ask("/stream/1", prompt(I % 7));
    arrive("/stream/1", "good", 3000ms, prompt(I % 7));
    if (!Why.Refused.empty()) {
      EXPECT_EQ(one<route_refusal>().Code, Why.Refused);
      continue;
    }
    ASSERT_EQ(one<route_dispatch>().Upstream, Why.Chosen) << I;
    ASSERT_EQ(Why.Upstreams.front().Name, Why.Chosen);
    EXPECT_EQ(one<route_dispatch>().Rank, Why.Rank);
    EXPECT_EQ(Why.Upstreams.size(), 4u);
    for (const explained_upstream &Each : Why.Upstreams)
      EXPECT_EQ(Each.ReportAge,
                Each.Name.Value == "u2" ? std::optional(Now) : std::nullopt);
    Used.insert(Why.Chosen);
  }
  EXPECT_GT(Used.size(), 1u); // otherwise any fixed answer would pass
}

// Guards against explanations that count as requests.
TEST_F(explain_test, State_AfterManyExplanations_IsUnchanged) {
  Config.Services.front().Engine = engine_terms{16, 500000, 10};
  for (const char *Name : {"u1", "u2", "u3"})
    Limits.setCold(upstream_name(Name), cold_limit{20, at(10s)}, at(0ms));
  Now = 1s; // the entry may send some requests to each
  arrive("/stream/1", "good", 3000ms, prompt(3));
  size_t Parts = Cache.size();
  explanation First = ask("/stream/1", prompt(3));
  for (int I = 0; I < 100; ++I)
    ask("/stream/1", prompt(3));
  explanation Last = ask("/stream/1", prompt(3));
  EXPECT_EQ(Last.Chosen, First.Chosen);
  for (size_t I = 0; I < 3; ++I) {
    EXPECT_EQ(Last.Upstreams[I].Excluded, "");
    EXPECT_EQ(Last.Upstreams[I].Option.Cost, First.Upstreams[I].Option.Cost);
  }
  EXPECT_EQ(Cache.size(), Parts);
  EXPECT_EQ(Router.open(), 1u);
  EXPECT_EQ(counted(), 0);
}

// Guards against an excluded upstream without its reason, or with a wrong one.
TEST_F(explain_test, Upstreams_ThatCannotBeChosen_HaveTheirReasons) {
  // Each is named after its reason.
  for (const char *Name :
       {"cold", "at-limit", "backing-off", "paused", "draining"})
    list(Name);
  list("other-region", "far");
  list("evacuated", "gone");
  Registry.setEvacuated({zone_name("gone")});
  Registry.onLeaving({upstream_name("draining"), {}}, at(0ms));
  Config.Routes.front().AllowedRegions = region_list{region_name("eu")};
  Limits.setCold(upstream_name("cold"), cold_limit{0, at(10s)}, at(0ms));
  Limits.onAnswer(upstream_name("at-limit"), 0.0, at(0ms), at(0ms));
  FailureTracker.onBackoffRequested(upstream_name("backing-off"), at(5s));
  FailureTracker.onUnreachable(upstream_name("paused"), zone_name("z"),
                               at(0ms));
  explanation Why = ask("/once/1");
  EXPECT_EQ(Why.Listed, 10u);
  for (size_t I = 0; I < Why.Upstreams.size(); ++I)
    EXPECT_EQ(Why.Upstreams[I].Excluded,
              I < 3 ? "" : Why.Upstreams[I].Name.Value);
}

// Guards against a placer other than the one that the router asks.
TEST_F(explain_test, Relay_PlacesTheRequest_IsNamed) {
  Config.Services.front().Engine = engine_terms{16, 500000, 10};
  Relays.emplace(node_identity{node_name("e"), zone_name("z"),
                               address("10.0.0.1:1"), incarnation{1}, 0});
  std::vector<wire::member> Others(20);
  for (size_t I = 0; I < Others.size(); ++I) {
    Others[I].Name = "e" + std::to_string(I);
    Others[I].Address = "10.0.1." + std::to_string(I) + ":1";
    Others[I].Zone = "z";
    Others[I].Capacity = 9;
  }
  Relays->setEntries(Others);
  Relays->onZoneSum(Relays->ofOwnZone().front(), at(0ms));
  explanation Why = ask("/stream/1", prompt(1));
  router_context Context = context();
  Context.Relays = &*Relays;
  Router.onArrival(
      {{}, "c", "h", "/stream/1", key_hash("good"), 3000ms, prompt(1)}, Table,
      Context, Effects);
  EXPECT_EQ(one<send_datagrams>().To, std::vector<address>{Why.Asked});
}

} // namespace
} // namespace monsoonreel
