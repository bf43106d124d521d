// Fleets of several sizes in virtual time, before upstreams that state how many
// requests per second they take from all entries together.
//
// The platform's rule: from the contact time after the first statement, an
// upstream gets in no 4 s more than one and a half times its limit, plus 5
// requests, from entries that have received such an answer at least half a
// second before.

#include <array>
#include <cstdlib>
#include <limits>
#include <random>

#include "routing/testing/fleet_fixture.h"

namespace monsoonreel {
namespace {

constexpr int upstream_count = 10; // of the fleet fixture
constexpr duration limit_span = 4s;
constexpr duration contact_time = 4s;
constexpr duration told_time = 500ms;
constexpr double no_limit = std::numeric_limits<double>::infinity();

class service_decoder : public fake_decoder {
public:
  tl::expected<site_config, finding_list>
  decodeConfig(const std::string &Value) const override {
    auto Config = fake_decoder::decodeConfig(Value);
    host_route Route;
    Route.Name = "app";
    Route.Host = "h";
    Route.Prefix = "/";
    Route.Kind = repeat_kind::Idempotent;
    Route.Public = true;
    Route.Timeout = 2s;
    Route.Target = 300ms;
    Route.MaxAttempts = 3;
    Route.Services = {{pool_name("app"), 1}};
    Config->Routes = {Route};
    service Service;
    Service.Name = pool_name("app");
    Service.MaxConnections = 4000;
    Config->Services = {Service};
    return Config;
  }
};

// Upstreams answer after `ServiceTime`. Callers' requests arrive at random
// entries.
class limited_fleet : public fleet_test {
protected:
  struct arrival {
    duration At;
    bool WasTold; // the entry had received a limit long enough ago
  };
  struct upstream {
    std::optional<double> Limit;
    std::vector<std::pair<duration, double>> Stated; // infinity: no limit
    std::optional<duration> StatedAt; // first statement of this limit
    std::vector<arrival> Arrivals;
    std::map<size_t, duration> ToldAt; // by entry
  };

  std::shared_ptr<const listing_decoder> decoder() const override {
    return std::make_shared<service_decoder>();
  }

  bool isCut(size_t From, size_t To) const override {
    return CutZone && (Entries[From].Identity.Zone == *CutZone) !=
                          (Entries[To].Identity.Zone == *CutZone);
  }

  void startFleet(std::pair<int, int> Size) {
    start(Size.first, Size.second);
    for (int I = 0; I < upstream_count; ++I)
      Upstreams["u" + std::to_string(I)] = {};
    runUntil(12s); // all entries know each other
    CallsPerSecond = 200;
  }

  void limitAll(std::optional<double> Limit) {
    for (auto &[Name, Upstream] : Upstreams)
      setLimit(Name, Limit);
  }
  void setLimit(const std::string &Name, std::optional<double> Limit) {
    Upstreams[Name].Limit = Limit;
    Upstreams[Name].Stated.emplace_back(Now, Limit.value_or(no_limit));
    Upstreams[Name].StatedAt = std::nullopt;
  }

  void onStep() override {
    Owed += CallsPerSecond * std::chrono::duration<double>(tick_period).count();
    for (; Owed >= 1; Owed -= 1) {
      size_t Index = draw() % Entries.size();
      if (Entries[Index].Frozen || DrainedEntries.contains(Index))
        continue;
      route_request Arrived;
      Arrived.Request = request_id{++LastRequest};
      Arrived.CallerId = std::to_string(LastRequest);
      Arrived.Host = "h";
      Arrived.Path = "/x";
      Arrived.TimeLeft = 2s;
      handle(Index, Arrived);
    }
  }

  void onEffect(size_t Index, const routing_effect &Effect) override {
    if (const auto *Dispatch = std::get_if<route_dispatch>(&Effect))
      serve(Index, *Dispatch);
    if (std::holds_alternative<route_answer>(Effect))
      ++Answered;
    if (const auto *Refusal = std::get_if<route_refusal>(&Effect))
      Refusals.push_back(*Refusal);
  }

  void serve(size_t Index, const route_dispatch &Dispatch) {
    upstream &Upstream = Upstreams[Dispatch.Upstream.Value];
    auto Told = Upstream.ToldAt.find(Index);
    auto Thawed = ThawedAt.find(Index);
    bool IsExcused =
        Thawed != ThawedAt.end() && Now - Thawed->second < contact_time;
    Upstream.Arrivals.push_back({Now, !IsExcused &&
                                          Told != Upstream.ToldAt.end() &&
                                          Now - Told->second >= told_time});
    answer_head Head;
    Head.Attempt = Dispatch.Attempt;
    Head.Status = RefusesAll ? 503 : 200;
    Head.SaidNotRun = RefusesAll;
    Head.RequestLimit = Upstream.Limit;
    if (Upstream.Limit) {
      Upstream.StatedAt = Upstream.StatedAt.value_or(Now + ServiceTime);
      Upstream.ToldAt.try_emplace(Index, Now + ServiceTime);
    }
    Queue.push({Now + ServiceTime, ++Order, Index, Head});
    if (!RefusesAll)
      Queue.push(
          {Now + ServiceTime, ++Order, Index, answer_end{Dispatch.Attempt}});
  }

  // Returns the most requests from entries that had been told, and the most
  // requests from all entries, that arrived within `limit_span` since From.
  std::pair<int, int> mostInSpan(const std::string &Name, duration From) {
    std::pair<int, int> Most;
    const std::vector<arrival> &All = Upstreams[Name].Arrivals;
    for (auto First = All.begin(); First != All.end(); ++First) {
      if (First->At < From)
        continue;
      int Told = 0;
      int Total = 0;
      for (auto It = First; It != All.end() && It->At < First->At + limit_span;
           ++It) {
        ++Total;
        Told += It->WasTold ? 1 : 0;
      }
      Most = {std::max(Most.first, Told), std::max(Most.second, Total)};
    }
    return Most;
  }
  // Returns the highest limit that was in force between From and To.
  double highestLimit(const std::string &Name, duration From, duration To) {
    double Highest = 0;
    double Before = no_limit;
    for (const auto &[At, Limit] : Upstreams[Name].Stated) {
      if (At <= From)
        Before = Limit;
      else if (At <= To)
        Highest = std::max(Highest, Limit);
    }
    return std::max(Highest, Before);
  }
  // Checks the rule for limits that change. Requests of entries that were
  // frozen within the contact time do not count.
  void expectChangingLimitsKept(const std::string &Name) {
    const std::vector<arrival> &All = Upstreams[Name].Arrivals;
    for (size_t First = 0; First < All.size(); ++First) {
      duration From = All[First].At;
      double Limit = highestLimit(Name, From - contact_time, From + limit_span);
      if (Limit == no_limit)
        continue;
      int Told = 0;
      for (size_t I = First; I < All.size() && All[I].At < From + limit_span;
           ++I)
        Told += All[I].WasTold ? 1 : 0;
      ASSERT_LE(Told, allowed(Limit)) << Name << " from " << From.count();
    }
  }
  // Freezes and thaws entries, and changes limits.
  void disturb() {
    size_t Index = draw() % Entries.size();
    if (draw() % 4 == 0) {
      Entries[Index].Frozen = !Entries[Index].Frozen;
      if (!Entries[Index].Frozen)
        ThawedAt[Index] = Now;
    }
    constexpr std::array<double, 6> limits = {no_limit, 0, 0.5, 1, 3, 20};
    double Limit = limits[draw() % limits.size()];
    setLimit("u" + std::to_string(draw() % upstream_count),
             Limit == no_limit ? std::nullopt : std::optional(Limit));
    RefusesAll = draw() % 8 == 0;
  }
  int arrivals(const std::string &Name, duration From, duration To) {
    int Count = 0;
    for (const arrival &Arrival : Upstreams[Name].Arrivals)
      Count += Arrival.At >= From && Arrival.At < To ? 1 : 0;
    return Count;
  }
  static int allowed(double Limit) {
    constexpr double overrun = 1.5;
    constexpr int allowance = 5;
    return static_cast<int>(overrun * Limit *
                            std::chrono::duration<double>(limit_span).count()) +
           allowance;
  }
  // Checks the rule from the contact time after the limit's first statement.
  void expectKept(const std::string &Name, double Limit) {
    ASSERT_TRUE(Upstreams[Name].StatedAt) << Name;
    auto [Told, Total] =
        mostInSpan(Name, *Upstreams[Name].StatedAt + contact_time);
    EXPECT_LE(Told, allowed(Limit)) << Name;
    // Stricter than the rule: entries learn of a limit from each other.
    EXPECT_LE(Total, allowed(Limit)) << Name;
  }

  uint64_t draw() { return Source(); }

  static constexpr duration ServiceTime = 100ms;
  double CallsPerSecond = 0;
  double Owed = 0;
  std::mt19937_64 Source{1};
  int64_t LastRequest = 0;
  std::map<std::string, upstream> Upstreams;
  std::optional<zone_name> CutZone;
  std::set<size_t> DrainedEntries;
  std::map<size_t, duration> ThawedAt; // by entry
  bool RefusesAll = false;
  int Answered = 0;
  std::vector<route_refusal> Refusals;
};

// Numbers of zones and of entries in each.
class upstream_limit_test
    : public limited_fleet,
      public testing::WithParamInterface<std::pair<int, int>> {
protected:
  void startFleet() { limited_fleet::startFleet(GetParam()); }
};

TEST_P(upstream_limit_test, Upstream_StatesALimit_FleetKeepsIt) {
  startFleet();
  setLimit("u0", 1);
  runUntil(36s);
  expectKept("u0", 1);
  EXPECT_TRUE(Refusals.empty()); // the other upstreams take the rest
}

TEST_P(upstream_limit_test, Upstreams_AllStateLimits_FleetKeepsEach) {
  constexpr double limit = 10;
  startFleet();
  limitAll(limit);
  runUntil(36s);
  for (const auto &[Name, Upstream] : Upstreams)
    expectKept(Name, limit);
  EXPECT_FALSE(Refusals.empty());
  for (const route_refusal &Refusal : Refusals) {
    EXPECT_EQ(Refusal.Status, 503);
    EXPECT_EQ(Refusal.Outcome, execution_outcome::NotRun);
    EXPECT_GT(Refusal.RetryAfter, duration::zero());
  }
}

// Every answer causes a further attempt.
TEST_P(upstream_limit_test, Upstream_RefusesWithALimit_FleetKeepsIt) {
  startFleet();
  RefusesAll = true;
  limitAll(2);
  runUntil(36s);
  for (const auto &[Name, Upstream] : Upstreams)
    expectKept(Name, 2);
}

TEST_P(upstream_limit_test, Limit_Falls_FleetKeepsTheLowerOne) {
  startFleet();
  limitAll(20);
  runUntil(20s);
  limitAll(1);
  runUntil(40s);
  for (const auto &[Name, Upstream] : Upstreams)
    expectKept(Name, 1);
}

// Only the entries with a share send requests and hear that the limit ended.
TEST_P(upstream_limit_test, Limit_Ends_AllEntriesUseTheUpstreamAgain) {
  startFleet();
  limitAll(1);
  runUntil(20s);
  setLimit("u0", std::nullopt);
  runUntil(25s);
  Refusals.clear();
  runUntil(28s);
  // The others are limited still, so u0 takes nearly everything.
  EXPECT_GE(arrivals("u0", 25s, 28s), CallsPerSecond * 3 / 2);
  EXPECT_TRUE(Refusals.empty());
}

// The entries that send to the upstream change, and some of them fail.
TEST_P(upstream_limit_test, Entries_LeaveAndFreeze_OthersUseTheLimit) {
  startFleet();
  limitAll(2);
  runUntil(18s);
  for (size_t I = 1; I < Entries.size(); I += 4) {
    DrainedEntries.insert(I);
    handle(I, drain_requested{});
  }
  for (size_t I = 2; I < Entries.size(); I += 4)
    Entries[I].Frozen = true;
  runUntil(46s);
  int Total = 0;
  for (const auto &[Name, Upstream] : Upstreams) {
    expectKept(Name, 2);
    Total += arrivals(Name, 30s, 46s);
  }
  // Callers are spread over all entries, and only some have a share.
  EXPECT_GE(Total, 16 * 2 * upstream_count / 4);
}

TEST_P(upstream_limit_test, Zone_IsCutOffAndRejoins_FleetKeepsTheLimit) {
  startFleet();
  limitAll(1);
  runUntil(18s);
  CutZone = zone_name("z0");
  runUntil(28s);
  CutZone.reset();
  runUntil(40s);
  for (const auto &[Name, Upstream] : Upstreams)
    expectKept(Name, 1);
}

TEST_P(upstream_limit_test, Store_IsDown_FleetKeepsAndUsesTheLimit) {
  startFleet();
  StoreIsDown = true;
  limitAll(2);
  runUntil(36s);
  int Total = 0;
  for (const auto &[Name, Upstream] : Upstreams) {
    expectKept(Name, 2);
    Total += arrivals(Name, 20s, 36s);
  }
  EXPECT_GE(Total, 16 * 2 * upstream_count / 4);
}

TEST_P(upstream_limit_test, Entries_AreKilledAndStartAgain_FleetKeepsTheLimit) {
  startFleet();
  limitAll(1);
  runUntil(20s);
  for (size_t I = 0; I < Entries.size(); I += 2) {
    restart(Entries[I]);
    ThawedAt[I] = Now;
    for (auto &[Name, Upstream] : Upstreams)
      Upstream.ToldAt.erase(I);
  }
  runUntil(40s);
  for (const auto &[Name, Upstream] : Upstreams) {
    ASSERT_TRUE(Upstream.StatedAt) << Name;
    EXPECT_LE(mostInSpan(Name, *Upstream.StatedAt + contact_time).first,
              allowed(1))
        << Name;
    // All of them, once the restarted ones have heard of the limit.
    EXPECT_LE(mostInSpan(Name, 20s + contact_time).second, allowed(1)) << Name;
  }
}

TEST_P(upstream_limit_test, Upstream_RestartsWithAnotherLimit_FleetKeepsIt) {
  startFleet();
  Repeats = false;
  setLimit("u0", 1);
  setLimit("u1", 4);
  runUntil(20s);
  append(upstream_feed, "u0", "serving again");
  append(upstream_feed, "u1", "serving again");
  setLimit("u0", 2);
  setLimit("u1", std::nullopt);
  runUntil(36s);
  expectKept("u0", 2);
  EXPECT_GE(arrivals("u1", 26s, 36s), 10 * 4); // no limit any more
}

INSTANTIATE_TEST_SUITE_P(Sizes, upstream_limit_test,
                         testing::Values(std::pair(1, 1), std::pair(4, 2),
                                         std::pair(3, 5), std::pair(5, 12),
                                         std::pair(5, 59)));

TEST_F(limited_fleet, Entry_HasJustStarted_TakesNoShare) {
  start(1, 1);
  CallsPerSecond = 200;
  limitAll(5);
  for (int I = 0; I < upstream_count; ++I)
    setLimit("u" + std::to_string(I), 5);
  runUntil(limit_warmup_time - 500ms);
  int Told = 0;
  for (const auto &[Name, Upstream] : Upstreams)
    for (const arrival &Arrival : Upstream.Arrivals)
      Told += Arrival.WasTold ? 1 : 0;
  EXPECT_EQ(Told, 0);
  runUntil(limit_warmup_time + 5s);
  EXPECT_GT(arrivals("u0", limit_warmup_time, limit_warmup_time + 5s), 0);
}

// Limits that change, among entries that freeze. MONSOONREEL_LIMIT_SEEDS sets
// how many seeds are played.
class upstream_limit_random_test : public limited_fleet,
                                   public testing::WithParamInterface<int> {};

TEST_P(upstream_limit_random_test, Limits_Change_FleetKeepsThem) {
  constexpr std::array<std::pair<int, int>, 3> sizes = {
      {{4, 2}, {3, 5}, {5, 12}}};
  startFleet(sizes[static_cast<size_t>(GetParam()) % sizes.size()]);
  Source.seed(static_cast<uint64_t>(GetParam()));
  for (duration End = 13s; End <= 72s; End += 1s) {
    disturb();
    runUntil(End);
  }
  for (const auto &[Name, Upstream] : Upstreams)
    expectChangingLimitsKept(Name);
}

int seedCount() {
  const char *Text = std::getenv("MONSOONREEL_LIMIT_SEEDS");
  return Text ? std::stoi(Text) : 6;
}

INSTANTIATE_TEST_SUITE_P(Seeds, upstream_limit_random_test,
                         testing::Range(1, 1 + seedCount()));

} // namespace
} // namespace monsoonreel
