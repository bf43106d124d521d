#include "routing/testing/request_router_fixture.h"

namespace monsoonreel {
namespace {

// Engines u1 to u3 of the router's zone and u4 of another one can fetch from
// each other. The router's zone has a relay, and so has the other one.
class request_router_fetch_test : public request_router_test {
protected:
  request_router_fetch_test() {
    Config.Services[0].Engine = engine_terms{16, 0, 10, 18432, 1e9};
    for (int I = 1; I <= 3; ++I)
      listEngine(engine(I), "app", "z");
    listEngine(engine(4), "app", "far");
    listEngine("other", "mail", "z");
    Table = std::make_shared<const route_table>(Config);
  }

  static std::string engine(int I) { return "u" + std::to_string(I); }
  void listEngine(const std::string &Name, const char *Service,
                  const char *Zone) {
    upstream_entry Entry;
    Entry.Name = upstream_name(Name);
    Entry.Address = address(Name + ":80");
    Entry.Service = pool_name(Service);
    Entry.Zone = zone_name(Zone);
    Registry.onListed({Name, Entry, false}, at(0ms));
  }
  // Lets this entry be one with this capacity among 20 of two zones; the
  // others have a capacity of 100 and are at "r-ZONE-NUMBER".
  void useRelays(int Capacity) {
    Known.emplace(node_identity{node_name("self"), zone_name("z"),
                                address("self"), incarnation{1}, Capacity});
    std::vector<wire::member> Others;
    for (int I = 0; I < 20; ++I) {
      wire::member Member;
      Member.Zone = I % 2 ? "z" : "far";
      Member.Name = Member.Address = "r-" + Member.Zone + std::to_string(I);
      Member.Capacity = 100;
      Others.push_back(std::move(Member));
    }
    Known->setEntries(Others);
    for (const address &Relay : Known->ofOwnZone())
      Known->onZoneSum(Relay, at(Now));
    Relays = &*Known;
  }
  // Returns the source in the answer to a final ask that names this holder.
  std::string grantedSource(const std::string &Holder) {
    wire::placement_ask Ask;
    Ask.Service = "app";
    Ask.PromptTokens = 9000;
    Ask.MaxOutputTokens = 60;
    for (int Tokens : {2500, 3800, 2700}) {
      Ask.Pieces.emplace_back();
      Ask.Pieces.back().Id = ++LastPiece;
      Ask.Pieces.back().Tokens = Tokens;
    }
    Ask.TargetMicros = 400000;
    Ask.Final = true;
    Ask.Holder = Holder;
    Effects.clear();
    Router.onAsk(address("r"), Ask, Table, context(), Effects);
    return std::get<wire::placement_grant>(one<send_datagrams>().Message)
        .FetchFrom;
  }
  // Returns the source of a request for which a relay names this one.
  std::string dispatchedSource(const std::string &Source) {
    arrive("/stream/", "good", 3000ms, paced());
    wire::placement_grant Grant;
    Grant.Ask =
        std::get<wire::placement_ask>(one<send_datagrams>().Message).Ask;
    Grant.Upstream = "u1";
    Grant.UnreadTokens = 600;
    Grant.FetchFrom = Source;
    Effects.clear();
    Router.onGrant(Known->reportingRelay(at(Now)), Grant, context(), Effects);
    return one<route_dispatch>().FetchFrom.Value;
  }
  static prompt_info paced() {
    return {"m", 3000, 1000, {{1, 2400}, {9, 600}}};
  }

  std::optional<zone_relays> Known;
  int64_t LastPiece = 0;
};

// Guards against load on engines of an evacuated zone, and against a wait for
// one that has left, through a holder that another entry names.
TEST_F(request_router_fetch_test, Holder_EvacuatedOrGone_IsNoSource) {
  EXPECT_EQ(grantedSource("u4"), "u4");
  Registry.setEvacuated({zone_name("far")});
  EXPECT_EQ(grantedSource("u4"), "");
  Registry.setEvacuated({});
  EXPECT_EQ(grantedSource("u4"), "u4");
  Registry.onLeaving({upstream_name("u4"), 0ms}, at(0ms));
  EXPECT_EQ(grantedSource("u4"), "");
}

// Guards against a grant of an older or faulty relay that sends an engine to
// one of another service, to itself, or to one that may not be used. What the
// engine then reads itself counts as its load.
TEST_F(request_router_fetch_test, Grant_NamesAWrongSource_IsUsedWithoutIt) {
  useRelays(10);
  EXPECT_EQ(dispatchedSource("other"), "");
  EXPECT_EQ(Load.at(upstream_name("u1")).UnreadTokens, 3000);
  EXPECT_EQ(dispatchedSource("u2"), "u2:80");
  EXPECT_EQ(Load.at(upstream_name("u1")).UnreadTokens, 3600);
  EXPECT_EQ(dispatchedSource("u1"), "");
  EXPECT_EQ(dispatchedSource("unknown"), "");
  Registry.setEvacuated({zone_name("far")});
  EXPECT_EQ(dispatchedSource("u4"), "");
  FailureTracker.onUnreachable(upstream_name("u2"), zone_name("z"), at(Now));
  EXPECT_EQ(dispatchedSource("u2"), "");
}

// Guards against a part that is read again in another zone, because the relay
// that asks there for its own request does not say who has read it.
TEST_F(request_router_fetch_test, OwnRequestOfARelay_GoesToAZone_NamesHolder) {
  useRelays(900);
  Cache.onDispatched(upstream_name("u1"), paced(), at(0ms));
  for (int I = 0; I < 48; ++I)
    Load.begin(attempt_number{1000 + I}, upstream_name(engine(1 + I % 3)),
               {0, false});
  arrive("/stream/", "good", 3000ms, paced());
  auto Ask = std::get<wire::placement_ask>(one<send_datagrams>().Message);
  EXPECT_FALSE(Ask.Final); // that relay may name a third zone
  EXPECT_EQ(Ask.Holder, "u1");
}

} // namespace
} // namespace monsoonreel
