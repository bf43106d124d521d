#include "monsoonreel/configuration.h"

#include <algorithm>
#include <utility>

#include "monsoonreel/configuration_page.h"
#include "monsoonreel/configuration_values.h"

namespace monsoonreel {

namespace {

// Reads one document. Each `read` function handles one list; the `check`
// functions compare the lists with each other.
class configuration_reader {
public:
  configuration_reader(yaml_map &Root) : Root(Root) {}

  configuration read() {
    Root.maps("classes", [&](yaml_map &Map) { readClass(Map); });
    Root.maps("organisations", [&](yaml_map &Map) { readOrganisation(Map); });
    Root.maps("upstreams", [&](yaml_map &Map) { readUpstream(Map); });
    Root.maps("routes", [&](yaml_map &Map) { readRoute(Map); });
    readLimits();
    checkShares();
    return std::move(Result);
  }

private:
  void readClass(yaml_map &Map) {
    class_name Name(Map.text("name"));
    addUnique(Result.Classes,
              readServiceClass(Map, std::move(Name), "cheap_allowed"), Map);
  }

  void readOrganisation(yaml_map &Map) {
    organisation Org;
    Org.Name = organisation_name(Map.text("name"));
    Org.Weight = Map.number("weight", 0.001, 1000.0, 1.0);
    Org.RequestsPerSecond =
        Map.number("requests_per_second", 0.0, max_rate, 0.0);
    for (const std::string &Name : Map.texts("classes")) {
      Org.Classes.emplace_back(Name);
      requireClass(Map, "classes", class_name(Name));
    }
    addUnique(Result.Organisations, Org, Map);
  }

  void readUpstream(yaml_map &Map) {
    upstream Up;
    Up.Name = upstream_name(Map.text("name"));
    Up.Kind = readUpstreamKind(Map);
    Up.Pool = pool_name(Map.text("pool"));
    Up.Zone = zone_name(Map.text("zone"));
    Up.Address = Map.endpoint("address");
    Up.Concurrency = Map.integer("concurrency", 1, max_concurrency, 8);
    Up.Cheap = Map.flag("cheap", false);
    Up.ChecksFence = Map.flag("checks_fence", false);
    Up.Cost = Map.number("cost", 0.0, max_rate, 1.0);
    addUnique(Result.Upstreams, Up, Map);
  }

  void readRoute(yaml_map &Map) {
    route Route;
    Route.PathPrefix = Map.text("path");
    if (!Route.PathPrefix.starts_with('/'))
      Map.reject("path", "must begin with /");
    Route.Pool = pool_name(Map.text("pool", ""));
    Route.DefaultClass = class_name(Map.text("class"));
    Route.Idempotent = Map.flag("idempotent", false);
    Route.Open = Map.flag("open", false);
    requireClass(Map, "class", Route.DefaultClass);
    if (!Route.Pool.empty() && !isPool(Route.Pool))
      Map.reject("pool", "no upstream serves the pool " + Route.Pool.Value);
    Result.Routes.push_back(Route);
  }

  void readLimits() {
    yaml_map Map = Root.map("limits");
    policy_limits &Limits = Result.Limits;
    Limits.MaxQueueWait = readTime(Map, "max_queue_wait", Limits.MaxQueueWait);
    Limits.MaxQueueLength =
        Map.integer("max_queue_length", 1, 1000000, Limits.MaxQueueLength);
    Limits.RetryBudget =
        Map.number("retry_budget", 0.0, 1.0, Limits.RetryBudget);
    Limits.ClaimWindow = readTime(Map, "claim_window", Limits.ClaimWindow);
    Limits.StaleKeyTrust =
        readTime(Map, "stale_key_trust", Limits.StaleKeyTrust);
    Limits.StaleKeyTrustNonIdempotent =
        readTime(Map, "stale_key_trust_non_idempotent",
                 Limits.StaleKeyTrustNonIdempotent);
    Limits.UsageWindow = readTime(Map, "usage_window", Limits.UsageWindow);
    Map.rejectUnknown();
  }

  static duration readTime(yaml_map &Map, const std::string &Key,
                           duration Default) {
    return Map.time(Key, std::chrono::milliseconds(1), longest_time, Default);
  }

  void checkShares() {
    double Sum = 0.0;
    for (const auto &[Name, Class] : Result.Classes)
      Sum += Class.MinimumShare;
    if (Sum > 1.0)
      Root.reject("classes", "the minimum shares add up to more than 1");
  }

  void requireClass(yaml_map &Map, const std::string &Key,
                    const class_name &Name) {
    if (!Name.empty() && !Result.Classes.contains(Name))
      Map.reject(Key, "there is no class " + Name.Value);
  }

  bool isPool(const pool_name &Pool) const {
    return std::any_of(
        Result.Upstreams.begin(), Result.Upstreams.end(),
        [&](const auto &Entry) { return Entry.second.Pool == Pool; });
  }

  template <typename Map, typename Item>
  static void addUnique(Map &Items, const Item &New, yaml_map &Source) {
    if (!Items.emplace(New.Name, New).second)
      Source.reject("name", "the name " + New.Name.Value + " is used twice");
  }

  yaml_map &Root;
  configuration Result;
};

configuration readConfiguration(yaml_map &Root) {
  return configuration_reader(Root).read();
}

} // namespace

const route *configuration::findRoute(const std::string &Path) const {
  const route *Best = nullptr;
  for (const route &Route : Routes) {
    if (!Path.starts_with(Route.PathPrefix))
      continue;
    if (!Best || Route.PathPrefix.size() > Best->PathPrefix.size())
      Best = &Route;
  }
  return Best;
}

const service_class *configuration::findClass(const class_name &Name) const {
  auto Found = Classes.find(Name);
  return Found == Classes.end() ? nullptr : &Found->second;
}

bool configuration::mayUse(const organisation_name &Org,
                           const class_name &Class) const {
  auto Found = Organisations.find(Org);
  if (Found == Organisations.end())
    return false;
  const std::vector<class_name> &Allowed = Found->second.Classes;
  return Allowed.empty() ||
         std::find(Allowed.begin(), Allowed.end(), Class) != Allowed.end();
}

tl::expected<configuration, finding_list>
parseConfiguration(const std::string &Document, const std::string &File) {
  return readYamlDocument(Document, File, readConfiguration);
}

std::vector<yaml_field> configurationFields() {
  return fieldsOf(readConfiguration);
}

} // namespace monsoonreel
