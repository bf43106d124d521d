// A router with three upstreams and a route of each kind. Tests pass it events
// one by one and check the effects of the last one.

#ifndef ROUTING_TESTING_REQUEST_ROUTER_FIXTURE_H
#define ROUTING_TESTING_REQUEST_ROUTER_FIXTURE_H

#include <optional>

#include <gtest/gtest.h>

#include "routing/request_router.h"
#include "routing/testing/test_time.h"

namespace monsoonreel {

using namespace std::chrono_literals;

class request_router_test : public testing::Test {
protected:
  request_router_test()
      : Budget({0.2, 1000, 10s}), Usage(usage_terms{}),
        Router({Registry, Load, Cache, FailureTracker, Limits, Model,
                Quarantine, Budget, Usage},
               zone_name("z"),
               {{zone_name("z"), region_name("eu")},
                {zone_name("far"), region_name("us")}}) {
    for (const char *Name : {"u1", "u2", "u3"})
      list(Name);
    addRoute("/once/", repeat_kind::Once, 1);
    addRoute("/safe/", repeat_kind::Idempotent, 2);
    addRoute("/stream/", repeat_kind::Stream, 1);
    addRoute("/resume/", repeat_kind::Stream, 3);
    Config.Routes.back().Resumable = true;
    addRoute("/open/", repeat_kind::Once, 1);
    Config.Routes.back().Public = true;
    service Service;
    Service.Name = pool_name("app");
    Service.MaxConnections = 80;
    Config.Services = {Service};
    organisation_terms Kitchen;
    Kitchen.Name = organisation_name("kitchen");
    Kitchen.Keys = {key_hash("good")};
    Config.Organisations = {Kitchen};
  }

  void addRoute(const char *Prefix, repeat_kind Kind, int MaxAttempts) {
    host_route Route;
    Route.Name = Prefix;
    Route.Host = "h";
    Route.Prefix = Prefix;
    Route.Kind = Kind;
    Route.Timeout = 1500ms;
    Route.Target = 300ms;
    Route.MaxAttempts = MaxAttempts;
    Route.Services = {{pool_name("app"), 1}};
    Config.Routes.push_back(Route);
  }

  void list(const std::string &Name, const char *Zone = "z") {
    upstream_entry Entry;
    Entry.Name = upstream_name(Name);
    Entry.Service = pool_name("app");
    Entry.Zone = zone_name(Zone);
    Registry.onListed({Name, Entry, false}, at(0ms));
  }

  // Sends a request and stores the resulting effects in Effects.
  void arrive(const char *Path, const char *Key = "good",
              duration TimeLeft = 3000ms,
              const std::optional<prompt_info> &Prompt = std::nullopt) {
    if (!Table)
      Table = std::make_shared<const route_table>(Config);
    route_request Arrived;
    Arrived.Request = request_id{++Requests};
    Arrived.CallerId = "caller-" + std::to_string(Requests);
    Arrived.Host = "h";
    Arrived.Path = Path;
    if (Key)
      Arrived.Key = key_hash(Key);
    Arrived.TimeLeft = TimeLeft;
    Arrived.Prompt = Prompt;
    Effects.clear();
    Router.onArrival(Arrived, Table, context(), Effects);
  }
  router_context context() const {
    return {at(Now), wall_time(Now), 1, 100ms, 8, false, Relays};
  }

  template <typename T> std::vector<T> all() const {
    std::vector<T> Found;
    for (const routing_effect &Effect : Effects)
      if (const T *Value = std::get_if<T>(&Effect))
        Found.push_back(*Value);
    return Found;
  }
  template <typename T> T one() const {
    std::vector<T> Found = all<T>();
    EXPECT_EQ(Found.size(), 1u);
    return Found.empty() ? T() : Found.front();
  }
  template <typename T> bool none() const { return all<T>().empty(); }

  attempt_number attempt() const { return one<route_dispatch>().Attempt; }

  void head(attempt_number Attempt, int Status, bool NotRun = false,
            bool Stream = false) {
    Effects.clear();
    answer_head Head{Attempt, Status, NotRun, Status == 421,
                     Stream,  false,  {},     {}};
    Router.onHead(Head, context(), Effects);
  }
  void data(attempt_number Attempt, const char *Bytes) {
    Effects.clear();
    Router.onData({Attempt, Bytes}, context(), Effects);
  }
  void end(attempt_number Attempt) {
    Effects.clear();
    Router.onEnd({Attempt}, context(), Effects);
  }
  void fail(attempt_number Attempt, attempt_failure Failure) {
    Effects.clear();
    Router.onFailed({Attempt, Failure, "test"}, context(), Effects);
  }
  void tick(duration Time) {
    Now = Time;
    Effects.clear();
    Router.onTick(context(), Effects);
  }
  int64_t counted() const {
    int64_t Sum = 0;
    for (const wire::organisation_count &Count : Usage.sum(0).Counts)
      Sum += Count.Requests;
    return Sum;
  }

  site_config Config;
  std::shared_ptr<const route_table> Table;
  upstream_registry Registry;
  upstream_load Load;
  prompt_cache_view Cache;
  upstream_failure_tracker FailureTracker;
  upstream_limits Limits{"e"};
  part_quarantine Quarantine{"e"};
  engine_model Model;
  resend_budget Budget;
  usage_windows Usage;
  request_router Router;
  const zone_relays *Relays = nullptr;
  routing_effects Effects;
  duration Now = 0ms;
  int64_t Requests = 0;
};

} // namespace monsoonreel

#endif // ROUTING_TESTING_REQUEST_ROUTER_FIXTURE_H
