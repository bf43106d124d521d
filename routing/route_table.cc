#include "routing/route_table.h"

#include <utility>

namespace monsoonreel {

route_table::route_table(site_config Accepted) : Config(std::move(Accepted)) {
  for (size_t I = 0; I < Config.Routes.size(); ++I)
    ByPrefix.try_emplace({Config.Routes[I].Host, Config.Routes[I].Prefix}, I);
  for (size_t I = 0; I < Config.Services.size(); ++I)
    ByService.try_emplace(Config.Services[I].Name, I);
  for (size_t I = 0; I < Config.Organisations.size(); ++I)
    for (const key_hash &Key : Config.Organisations[I].Keys)
      ByKey.try_emplace(Key, I);
}

const host_route *route_table::find(std::string_view Host,
                                    std::string_view Path) const {
  // Prefixes end with a slash, so only the slashes of the path are tried.
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

std::set<int> route_table::ranks() const {
  std::set<int> Ranks;
  for (const host_route &Route : Config.Routes)
    Ranks.insert(Route.Rank);
  for (const organisation_terms &Organisation : Config.Organisations)
    if (Organisation.Rank)
      Ranks.insert(*Organisation.Rank);
  return Ranks;
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
