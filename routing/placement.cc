#include "routing/placement.h"

#include <algorithm>
#include <charconv>
#include <string>

#include "monsoonreel/rendezvous.h"

namespace monsoonreel {

namespace {

// Cost of one running request for the next one, in prompt tokens: each slows
// the engine's steps a little.
constexpr double running_cost = 30;
// Cost of a place in the shared order in which paced streams fill engines: so
// many streams run on one engine before the next one is begun.
constexpr double streams_before_next = 24;
// What a prompt token that waits to be read costs a paced stream.
constexpr double unread_cost_to_paced = 3;
// What a paced stream that would be disturbed adds to the cost of each token
// of a prompt, up to most_disturbance streams.
constexpr double disturbance_cost = 0.25;
constexpr double most_disturbance = 12;
// Cost of another zone: a hop there and back.
constexpr double other_zone_cost = 150;
// The same for requests to plain services, as a part of a request under way.
constexpr double other_zone_plain_cost = 0.6;
// Cost of a failure share of 1; it dwarfs every queue.
constexpr double failure_cost = 40000;
constexpr double plain_failure_cost = 60;

std::string subjectKey(const prompt_info &Prompt) {
  uint64_t Subject = subjectOf(Prompt);
  return {reinterpret_cast<const char *>(&Subject), sizeof(Subject)};
}

// The place of each candidate in the order of rendezvous hashing for Key.
std::vector<size_t> ranksFor(std::string_view Key,
                             const std::vector<const upstream_state *> &List) {
  std::vector<std::pair<uint64_t, size_t>> Weights;
  Weights.reserve(List.size());
  for (size_t I = 0; I < List.size(); ++I)
    Weights.emplace_back(rendezvousWeight(Key, List[I]->Entry.Name.Value), I);
  std::sort(Weights.rbegin(), Weights.rend());
  std::vector<size_t> Ranks(List.size());
  for (size_t Place = 0; Place < Weights.size(); ++Place)
    Ranks[Weights[Place].second] = Place;
  return Ranks;
}

// The candidates that are neither paused nor tried; those that are paused when
// nothing else is left.
std::vector<const upstream_state *> eligible(const placement_query &Query,
                                             const upstream_trust &Trust) {
  std::vector<const upstream_state *> Good;
  std::vector<const upstream_state *> Paused;
  for (const upstream_state *Candidate : Query.Serving) {
    const upstream_name &Name = Candidate->Entry.Name;
    if (std::find(Query.Tried.begin(), Query.Tried.end(), Name) !=
        Query.Tried.end())
      continue;
    (Trust.isPaused(Name, Query.Now) ? Paused : Good).push_back(Candidate);
  }
  return Good.empty() ? Paused : Good;
}

double engineCost(const placement_query &Query, const placement &Option,
                  size_t PacedPlace) {
  auto Unread = static_cast<double>(Option.UnreadTokens);
  auto Waiting = static_cast<double>(Option.Use.UnreadTokens);
  double Cost = Unread + Option.Use.Running * running_cost;
  if (Query.Paced)
    return Cost + unread_cost_to_paced * Waiting +
           static_cast<double>(PacedPlace) * streams_before_next * running_cost;
  double Disturbed =
      std::min<double>(Option.Use.PacedStreams, most_disturbance);
  return Cost + Waiting + Unread * Disturbed * disturbance_cost;
}

std::optional<placement> placeOnEngine(const placement_query &Query,
                                       const placement_inputs &Inputs) {
  auto List = eligible(Query, Inputs.Trust);
  std::vector<size_t> HomeRank = ranksFor(subjectKey(*Query.Prompt), List);
  std::vector<size_t> PacedRank = ranksFor("paced streams", List);
  int64_t OwnPart = Query.Prompt->PromptTokens - sharedTokens(*Query.Prompt);
  std::optional<placement> Best;
  for (size_t I = 0; I < List.size(); ++I) {
    const upstream_entry &Entry = List[I]->Entry;
    placement Option;
    Option.Upstream = List[I];
    Option.Use = Inputs.Load.at(Entry.Name);
    Option.UnreadTokens =
        Inputs.Cache.unreadTokens(Entry.Name, *Query.Prompt, Query.Now);
    // Other entries send the subject to its home as well.
    if (!Query.Paced && HomeRank[I] == 0)
      Option.UnreadTokens = std::min(Option.UnreadTokens, OwnPart);
    Option.Cost = engineCost(Query, Option, PacedRank[I]);
    if (Entry.Zone != Query.Zone)
      Option.Cost += other_zone_cost;
    Option.Cost +=
        failure_cost * Inputs.Trust.failureShare(Entry.Name, Query.Now);
    if (!Best || Option.Cost < Best->Cost)
      Best = Option;
  }
  return Best;
}

std::optional<placement> placeOnService(const placement_query &Query,
                                        const placement_inputs &Inputs) {
  auto List = eligible(Query, Inputs.Trust);
  std::optional<placement> Best;
  // Candidates of equal cost take turns by chance.
  size_t First = List.empty() ? 0 : Query.Random % List.size();
  for (size_t I = 0; I < List.size(); ++I) {
    const upstream_state *Candidate = List[(First + I) % List.size()];
    const upstream_entry &Entry = Candidate->Entry;
    placement Option;
    Option.Upstream = Candidate;
    Option.Use = Inputs.Load.at(Entry.Name);
    Option.Cost = Option.Use.Running;
    if (Entry.Zone != Query.Zone)
      Option.Cost += other_zone_plain_cost;
    Option.Cost +=
        plain_failure_cost * Inputs.Trust.failureShare(Entry.Name, Query.Now);
    if (!Best || Option.Cost < Best->Cost)
      Best = Option;
  }
  return Best;
}

} // namespace

bool isPaced(const prompt_info &Prompt) {
  return Prompt.MaxOutputTokens * 4 > Prompt.PromptTokens;
}

std::optional<placement> choosePlacement(const placement_query &Query,
                                         const placement_inputs &Inputs) {
  return Query.Prompt ? placeOnEngine(Query, Inputs)
                      : placeOnService(Query, Inputs);
}

} // namespace monsoonreel
