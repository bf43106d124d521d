#include "monsoonreel/questionnaire.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "monsoonreel/configuration_values.h"

namespace monsoonreel {

namespace {

constexpr size_t max_name_length = 64;
constexpr char default_model_path[] = "/v1/chat/completions";

bool isName(const std::string &Text) {
  constexpr char allowed[] = "abcdefghijklmnopqrstuvwxyz"
                             "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
  return !Text.empty() && Text.size() <= max_name_length &&
         Text.find_first_not_of(allowed) == std::string::npos;
}

// Total slots and shortest times of the upstreams of a pool that one kind of
// request may use.
struct usable_upstreams {
  bool Exists = false;
  upstream_kind Kind = upstream_kind::Engine;
  int Slots = 0;
  duration FirstTokenFloor = duration::max();
  duration BetweenTokensFloor = duration::max();
};

// Reads the lists in the order of their references: upstreams, requests,
// organisations. A contradiction is reported at the later answer.
class questionnaire_reader {
public:
  explicit questionnaire_reader(yaml_map &Root) : Root(Root) {}

  questionnaire read() {
    Root.maps("upstreams", [&](yaml_map &Map) { readUpstreams(Map); });
    Root.maps("requests", [&](yaml_map &Map) { readRequest(Map); });
    Root.maps("organisations", [&](yaml_map &Map) { readOrganisation(Map); });
    readLimits();
    for (const char *List : {"upstreams", "requests", "organisations"})
      if (!Root.has(List))
        Root.reject(List, "is missing; list at least one");
    for (size_t I = 0; I < Result.Requests.size(); ++I)
      checkPeak(RequestMaps[I], Result.Requests[I]);
    checkShares();
    return std::move(Result);
  }

private:
  std::string readName(yaml_map &Map, const std::string &Key) {
    std::string Name = Map.text(Key);
    if (!Name.empty() && !isName(Name))
      Map.reject(Key, "must have at most 64 letters, digits and . _ -");
    return Name;
  }

  // Reads a name that must not be in Taken, and adds it to Taken.
  std::string readNewName(yaml_map &Map, std::set<std::string> &Taken) {
    std::string Name = readName(Map, "name");
    if (!Name.empty() && !Taken.insert(Name).second)
      Map.reject("name", "the name " + Name + " is used twice");
    return Name;
  }

  void readUpstreams(yaml_map &Map) {
    upstream_group Group;
    Group.Pool = pool_name(readName(Map, "pool"));
    Group.Kind = readUpstreamKind(Map);
    Group.Zone = zone_name(readName(Map, "zone"));
    Group.Cheap = Map.flag("may_vanish", false);
    Group.Cost = Map.number("cost", 0.0, max_rate, 1.0);
    Group.Concurrency = Map.integer("concurrency", 1, max_concurrency, 8);
    Group.FirstTokenFloor = Map.time("fastest_first_token", duration::zero(),
                                     longest_time, duration::zero());
    Group.BetweenTokensFloor =
        Map.time("fastest_between_tokens", duration::zero(), longest_time,
                 duration::zero());
    Map.maps("machines", [&](yaml_map &Machine) {
      Group.Machines.push_back(
          {upstream_name(readNewName(Machine, UpstreamNames)),
           Machine.endpoint("address"), Machine.flag("checks_fence", false)});
    });
    if (Group.Machines.empty())
      Map.reject("machines", "list at least one machine");
    for (const upstream_group &Other : Result.Upstreams)
      if (Other.Pool == Group.Pool && Other.Kind != Group.Kind)
        return Map.reject("kind", "the pool " + Group.Pool.Value +
                                      " has engines and services; give them "
                                      "pools of their own");
    Result.Upstreams.push_back(std::move(Group));
  }

  void readRequest(yaml_map &Map) {
    request_kind Kind;
    Kind.Class = readClass(Map);
    Kind.RunsOnce = Map.flag("runs_once", false);
    Kind.Open = Map.flag("open", false);
    Kind.PeakPerSecond = Map.number("peak_per_second", 0.0, max_rate, 0.0);
    Kind.TypicalTime = Map.time("typical_time", duration::zero(), longest_time,
                                duration::zero());
    Kind.Pool = pool_name(readName(Map, "pool"));
    usable_upstreams Usable = usableUpstreams(Kind);
    Kind.IsService = Usable.Kind == upstream_kind::Service;
    Kind.Path = readPath(Map, Usable);
    checkRunsOnce(Map, Kind);
    if (checkServed(Map, Kind, Usable))
      checkTargets(Map, Kind, Usable);
    checkPath(Map, Kind);
    Result.Requests.push_back(std::move(Kind));
    RequestMaps.push_back(Map);
  }

  service_class readClass(yaml_map &Map) {
    class_name Name(readNewName(Map, RequestNames));
    return readServiceClass(Map, std::move(Name),
                            "on_upstreams_that_may_vanish");
  }

  std::string readPath(yaml_map &Map, const usable_upstreams &Usable) {
    bool IsModel = Usable.Kind == upstream_kind::Engine;
    std::string Path =
        IsModel ? Map.text("path", default_model_path) : Map.text("path");
    if (!Path.empty() && !Path.starts_with('/'))
      Map.reject("path", "must begin with /");
    return Path;
  }

  // Considers only upstreams that Kind may use.
  usable_upstreams usableUpstreams(const request_kind &Kind) const {
    usable_upstreams Usable;
    for (const upstream_group &Group : Result.Upstreams) {
      if (Group.Pool != Kind.Pool)
        continue;
      Usable.Exists = true;
      Usable.Kind = Group.Kind;
      if (Group.Cheap && (Kind.RunsOnce || !Kind.Class.CheapAllowed))
        continue;
      Usable.Slots +=
          Group.Concurrency * static_cast<int>(Group.Machines.size());
      Usable.FirstTokenFloor =
          std::min(Usable.FirstTokenFloor, Group.FirstTokenFloor);
      Usable.BetweenTokensFloor =
          std::min(Usable.BetweenTokensFloor, Group.BetweenTokensFloor);
    }
    return Usable;
  }

  static void checkRunsOnce(yaml_map &Map, const request_kind &Kind) {
    if (Kind.RunsOnce && Kind.Class.CheapAllowed)
      Map.reject("on_upstreams_that_may_vanish",
                 "what must run once can't be run again when its upstream "
                 "vanishes; remove this or runs_once");
    if (Kind.RunsOnce && Kind.Open)
      Map.reject("open", "what must run once is remembered by organisation, so "
                         "it needs a key; remove this or runs_once");
  }

  static bool checkServed(yaml_map &Map, const request_kind &Kind,
                          const usable_upstreams &Usable) {
    if (Kind.Pool.empty())
      return false;
    if (!Usable.Exists)
      Map.reject("pool", "no upstream serves the pool " + Kind.Pool.Value +
                             "; add one under upstreams or name another pool");
    else if (Usable.Slots == 0)
      Map.reject("pool", "all upstreams of the pool " + Kind.Pool.Value +
                             " may vanish, and this request may not run there; "
                             "add others or allow "
                             "on_upstreams_that_may_vanish");
    return Usable.Slots > 0;
  }

  static void checkTargets(yaml_map &Map, const request_kind &Kind,
                           const usable_upstreams &Usable) {
    if (Kind.Class.FirstTokenTarget < Usable.FirstTokenFloor)
      Map.reject("first_token", "the upstreams of the pool " + Kind.Pool.Value +
                                    " need at least " +
                                    timeText(Usable.FirstTokenFloor) +
                                    "; allow more, or name a faster pool");
    duration Between = Kind.Class.BetweenTokensTarget;
    if (Usable.Kind == upstream_kind::Service && Between > duration::zero())
      Map.reject("between_tokens",
                 "a service answers in one piece; remove this, and give the "
                 "time of the whole answer as first_token");
    else if (Between > duration::zero() && Between < Usable.BetweenTokensFloor)
      Map.reject("between_tokens", "the upstreams of the pool " +
                                       Kind.Pool.Value + " need at least " +
                                       timeText(Usable.BetweenTokensFloor) +
                                       "; allow more, or name a faster pool");
  }

  // A tier is served after all higher tiers, so the slots have to suffice for
  // the peak load of its own and all higher tiers.
  void checkPeak(yaml_map &Map, const request_kind &Kind) const {
    usable_upstreams Usable = usableUpstreams(Kind);
    if (Usable.Slots == 0 || slotsAtPeak(Kind) == 0.0)
      return;
    double Needed = 0.0;
    for (const request_kind &Other : Result.Requests)
      if (Other.Pool == Kind.Pool && !(Kind.Class.Tier < Other.Class.Tier))
        Needed += slotsAtPeak(Other);
    if (Needed <= Usable.Slots)
      return;
    Map.reject("peak_per_second",
               "at their peak the requests of its tier and above need " +
                   std::to_string(std::lround(std::ceil(Needed))) +
                   " slots at once, and the upstreams that it may use have " +
                   std::to_string(Usable.Slots) +
                   "; add upstreams, or specify a lower peak or a lower tier");
  }

  static double slotsAtPeak(const request_kind &Kind) {
    return Kind.PeakPerSecond *
           std::chrono::duration<double>(Kind.TypicalTime).count();
  }

  // Several kinds of requests to engines may share a path, because these
  // requests name their class. The path of a service belongs to one kind.
  void checkPath(yaml_map &Map, const request_kind &Kind) const {
    for (const request_kind &Other : Result.Requests) {
      if (Other.Path != Kind.Path)
        continue;
      if (Kind.IsService || Other.IsService)
        return Map.reject("path", "is the path of " + Other.Class.Name.Value +
                                      " too; give each its own");
      if (Other.RunsOnce != Kind.RunsOnce || Other.Open != Kind.Open)
        return Map.reject("path", Other.Class.Name.Value +
                                      " has the same path with another answer "
                                      "to runs_once or open; give each its "
                                      "own");
    }
  }

  void readOrganisation(yaml_map &Map) {
    organisation Org;
    Org.Name = organisation_name(readNewName(Map, OrganisationNames));
    Org.Weight = Map.number("weight", 0.001, 1000.0, 1.0);
    Org.RequestsPerSecond =
        Map.number("requests_per_second", 0.0, max_rate, 0.0);
    for (const std::string &Name : Map.texts("requests")) {
      if (!RequestNames.contains(Name))
        Map.reject("requests", "there is no request " + Name +
                                   "; add it under requests or remove it here");
      Org.Classes.emplace_back(Name);
    }
    Result.Organisations.push_back(std::move(Org));
  }

  void readLimits() {
    yaml_map Map = Root.map("limits");
    policy_limits &Limits = Result.Limits;
    auto Read = [&](const char *Key, duration &Value) {
      Value = Map.time(Key, std::chrono::milliseconds(1), longest_time, Value);
    };
    Read("max_queue_wait", Limits.MaxQueueWait);
    Read("claim_window", Limits.ClaimWindow);
    Read("usage_window", Limits.UsageWindow);
    Limits.RetryBudget =
        Map.number("retry_budget", 0.0, 1.0, Limits.RetryBudget);
    Map.rejectUnknown();
  }

  void checkShares() {
    double Sum = 0.0;
    for (const request_kind &Kind : Result.Requests)
      Sum += Kind.Class.MinimumShare;
    if (Sum > 1.0)
      Root.reject("requests", "the minimum shares add up to more than 1; lower "
                              "some values of minimum_share");
  }

  yaml_map &Root;
  questionnaire Result;
  std::vector<yaml_map> RequestMaps;
  std::set<std::string> UpstreamNames;
  std::set<std::string> RequestNames;
  std::set<std::string> OrganisationNames;
};

questionnaire readQuestionnaire(yaml_map &Root) {
  return questionnaire_reader(Root).read();
}

} // namespace

tl::expected<questionnaire, finding_list>
parseQuestionnaire(const std::string &Document, const std::string &File) {
  return readYamlDocument(Document, File, readQuestionnaire);
}

} // namespace monsoonreel
