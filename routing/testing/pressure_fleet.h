// A fleet whose upstreams are spread over the zones and can be cold. Callers'
// requests arrive at random entries; each request that reaches an upstream is
// recorded.

#ifndef ROUTING_TESTING_PRESSURE_FLEET_H
#define ROUTING_TESTING_PRESSURE_FLEET_H

#include <random>
#include <sstream>

#include "routing/testing/fleet_fixture.h"

namespace monsoonreel {

// A record is "STATE RUN COLD_MS". Upstream uN is in zone N modulo Zones.
class pressure_decoder : public fake_decoder {
public:
  explicit pressure_decoder(int Zones) : Zones(Zones) {}
  tl::expected<upstream_entry, finding_list>
  decodeUpstream(const std::string &Key,
                 const std::string &Value) const override {
    auto Entry = fake_decoder::decodeUpstream(Key, Value);
    Entry->Zone =
        zone_name("z" + std::to_string(std::stoi(Key.substr(1)) % Zones));
    std::istringstream Words(Value);
    std::string State;
    int64_t Run = 1;
    int64_t Cold = 0;
    Words >> State >> Run >> Cold;
    Entry->StartedAt = std::chrono::milliseconds(Run);
    Entry->ColdFor = std::chrono::milliseconds(Cold);
    return Entry;
  }
  tl::expected<site_config, finding_list>
  decodeConfig(const std::string &Value) const override {
    auto Config = fake_decoder::decodeConfig(Value);
    host_route Route;
    Route.Name = Route.Host = "h";
    Route.Prefix = "/";
    Route.Kind = repeat_kind::Idempotent;
    Route.Public = true;
    Route.Timeout = 2s;
    Route.MaxAttempts = 3;
    Route.Services = {{pool_name("app"), 1}};
    Config->Routes = {Route};
    service Service;
    Service.Name = pool_name("app");
    Service.MaxConnections = 4000;
    Service.ColdPerSecond = 11;
    Config->Services = {Service};
    return Config;
  }

private:
  int Zones;
};

// The parameter is the number of zones and of entries in each.
class pressure_fleet : public fleet_test,
                       public testing::WithParamInterface<std::pair<int, int>> {
protected:
  std::shared_ptr<const listing_decoder> decoder() const override {
    return std::make_shared<pressure_decoder>(GetParam().first);
  }
  store_state storeFor(size_t Index) const override {
    return Refused.contains(Index) ? store_state::Refuses : store_state::Serves;
  }
  bool isCut(size_t From, size_t To) const override {
    return IsSplit && From % 2 != To % 2;
  }

  void startFleet() {
    Bounds.ColdOverrun = 1.5;
    Bounds.ColdAllowance = 5;
    Repeats = false;
    start(GetParam().first, GetParam().second);
    runUntil(12s); // all entries know each other
    CallsPerSecond = 400;
  }
  // Lets every other entry fail to read the store.
  void refuseOddEntries() {
    for (size_t I = 1; I < Entries.size(); I += 2)
      Refused.insert(I);
  }

  struct cold_state {
    int Run = 1;
    duration Until{};
  };
  void makeCold(const std::string &Name, duration For, int Run = 1) {
    Cold[Name] = {Run, Now + For};
    report(Name);
  }
  void makeAllCold(duration For) {
    for (int I = 0; I < 2 * GetParam().first; ++I)
      makeCold("u" + std::to_string(I), For);
  }
  void report(const std::string &Name) {
    const cold_state &State = Cold[Name];
    append(upstream_feed, Name,
           "serving " + std::to_string(State.Run) + " " +
               std::to_string(std::max(State.Until - Now, 0us) / 1ms));
  }

  void onStep() override {
    if (Now % 1200ms == 0ms)
      for (const auto &[Name, State] : Cold)
        report(Name);
    Owed += CallsPerSecond * std::chrono::duration<double>(tick_period).count();
    for (; Owed >= 1; Owed -= 1) {
      route_request Arrived;
      Arrived.Request = request_id{++LastRequest};
      Arrived.CallerId = std::to_string(LastRequest);
      Arrived.Host = "h";
      Arrived.Path = "/x";
      handle(Source() % Entries.size(), Arrived);
    }
  }
  void onEffect(size_t Index, const routing_effect &Effect) override {
    const auto *Dispatch = std::get_if<route_dispatch>(&Effect);
    if (!Dispatch)
      return;
    Arrivals[Dispatch->Upstream.Value].push_back(Now);
    answer_head Head;
    Head.Attempt = Dispatch->Attempt;
    Head.Status = 200;
    Queue.push({Now + 100ms, ++Order, Index, Head});
    Queue.push({Now + 100ms, ++Order, Index, answer_end{Dispatch->Attempt}});
  }

  int arrivals(const std::string &Name, duration From, duration To) {
    return static_cast<int>(
        std::count_if(Arrivals[Name].begin(), Arrivals[Name].end(),
                      [&](duration At) { return At >= From && At < To; }));
  }
  // Returns the most requests that reached the upstream within one second.
  int mostInSecond(const std::string &Name, duration From, duration To) {
    int Most = 0;
    for (duration At = From; At + 1s <= To; At += tick_period)
      Most = std::max(Most, arrivals(Name, At, At + 1s));
    return Most;
  }
  int arrivalsInZone(int Zone, duration From, duration To) {
    int Sum = 0;
    for (int I = Zone; I < 2 * GetParam().first; I += GetParam().first)
      Sum += arrivals("u" + std::to_string(I), From, To);
    return Sum;
  }

  double CallsPerSecond = 0;
  double Owed = 0;
  std::mt19937_64 Source{1};
  int64_t LastRequest = 0;
  std::map<std::string, std::vector<duration>> Arrivals; // by upstream
  std::map<std::string, cold_state> Cold;
  std::set<size_t> Refused; // entries that the store refuses
  bool IsSplit = false;     // odd and even entries do not hear each other
};

inline const auto pressure_sizes = testing::Values(
    std::pair(1, 1), std::pair(4, 2), std::pair(5, 12), std::pair(5, 59));

} // namespace monsoonreel

#endif // ROUTING_TESTING_PRESSURE_FLEET_H
