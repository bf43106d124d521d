#include "routing/route_table.h"

#include <algorithm>
#include <set>
#include <utility>

namespace monsoonreel {

namespace {

bool leadsTo(const host_route &Route, const pool_name &Service) {
  return std::any_of(Route.Services.begin(), Route.Services.end(),
                     [&](const weighted_service &Choice) {
                       return Choice.Service == Service;
                     });
}

// Returns all urgencies that requests to Service can have.
std::set<urgency> urgenciesAt(const pool_name &Service,
                              const site_config &Config) {
  std::set<int> RouteRanks;
  for (const host_route &Route : Config.Routes)
    if (leadsTo(Route, Service))
      RouteRanks.insert(Route.Rank);
  std::set<urgency> Urgencies;
  for (int Rank : RouteRanks) {
    host_route Route;
    Route.Rank = Rank;
    Urgencies.insert(urgencyOf(Route, nullptr));
    for (const organisation_terms &Organisation : Config.Organisations)
      Urgencies.insert(urgencyOf(Route, &Organisation));
  }
  return Urgencies;
}

} // namespace

route_table::route_table(site_config Accepted) : Config(std::move(Accepted)) {
  for (size_t I = 0; I < Config.Routes.size(); ++I)
    ByPrefix.try_emplace({Config.Routes[I].Host, Config.Routes[I].Prefix}, I);
  for (const host_route &Route : Config.Routes)
    for (const weighted_service &Choice : Route.Services) {
      service_routes &Routes = RoutesTo[Choice.Service];
      Routes.MostUrgentRank = std::min(Routes.MostUrgentRank, Route.Rank);
      if (Route.Kind == repeat_kind::Stream)
        Routes.LongestTarget = std::max(Routes.LongestTarget, Route.Target);
      if (Route.PauseTarget)
        Routes.StrictestPause =
            std::min(Routes.StrictestPause, *Route.PauseTarget);
    }
  for (size_t I = 0; I < Config.Services.size(); ++I)
    ByService.try_emplace(Config.Services[I].Name, I);
  for (const service &Service : Config.Services)
    if (Service.Engine)
      RanksAt.try_emplace(Service.Name, urgenciesAt(Service.Name, Config),
                          Service.Engine->Ranks);
  for (size_t I = 0; I < Config.Organisations.size(); ++I)
    for (const key_hash &Key : Config.Organisations[I].Keys)
      ByKey.try_emplace(Key, I);
}

const host_route *route_table::find(std::string_view Host,
                                    std::string_view Path) const {
  // Prefixes end with a slash, so only the parts of the path up to a slash are
  // looked up.
  size_t Slash = Path.rfind('/');
  route_key Key{std::string(Host), {}};
  while (Slash != std::string_view::npos) {
    Key.Prefix = Path.substr(0, Slash + 1);
    if (auto It = ByPrefix.find(Key); It != ByPrefix.end())
      return &Config.Routes[It->second];
    if (Slash == 0)
      break;
    Slash = Path.rfind('/', Slash - 1);
  }
  return nullptr;
}

const organisation_terms *
route_table::organisationOf(const key_hash &Key) const {
  auto It = ByKey.find(Key);
  return It == ByKey.end() ? nullptr : &Config.Organisations[It->second];
}

const engine_ranks *route_table::ranksAt(const pool_name &Service) const {
  auto It = RanksAt.find(Service);
  return It == RanksAt.end() ? nullptr : &It->second;
}

const service_routes *route_table::routesTo(const pool_name &Service) const {
  auto It = RoutesTo.find(Service);
  return It == RoutesTo.end() ? nullptr : &It->second;
}

const service *route_table::findService(const pool_name &Name) const {
  auto It = ByService.find(Name);
  return It == ByService.end() ? nullptr : &Config.Services[It->second];
}

const pool_name *route_table::chooseService(const host_route &Route,
                                            uint64_t Draw) {
  uint64_t Total = 0;
  for (const weighted_service &Choice : Route.Services)
    Total += static_cast<uint64_t>(Choice.Weight);
  if (Total == 0)
    return Route.Services.empty() ? nullptr : &Route.Services.front().Service;
  uint64_t Point = Draw % Total;
  for (const weighted_service &Choice : Route.Services) {
    auto Weight = static_cast<uint64_t>(Choice.Weight);
    if (Point < Weight)
      return &Choice.Service;
    Point -= Weight;
  }
  return nullptr;
}

} // namespace monsoonreel
