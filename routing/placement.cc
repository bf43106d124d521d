#include "routing/placement.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <random>
#include <string>

#include "monsoonreel/rendezvous.h"

namespace monsoonreel {

namespace {

// Cost of one running request for the next one, in prompt tokens: each slows
// the engine's steps a little.
constexpr double running_cost = 30;
// Paced streams that run on one engine before another one is set apart for
// them: so many slow a step by about a third.
constexpr int paced_streams_per_engine = 24;
// The same as a part of an engine's slots, where these are few: the other half
// takes what comes before the next engine is set apart.
constexpr double paced_part_of_slots = 0.5;
// Cost of each place in the queue of an engine whose slots are taken: a stream
// leaves one of 24 slots about every 80 ms, in which 6,000 tokens are read.
constexpr double queue_place_cost = 6000;
// Upstreams that are drawn by lot where figures lag: of two random choices the
// better one avoids nearly all long queues.
constexpr size_t drawn_choices = 2;
// Cost for a paced stream of an engine that is not set apart, in streams on one
// that is.
constexpr double outside_lane_cost = 50 * running_cost;
// Up to here, prompt tokens that wait delay a paced stream by one step only.
constexpr double unnoticed_tokens = 3000;
// What each further token costs a paced stream.
constexpr double unread_cost_to_paced = 3;
// Cost of a token that an engine has read already and another one would read
// again: besides its own time, it takes the place of other work's cached parts
// there, and the subject has two homes from then on.
constexpr double reread_cost = 4;
// Cost for a long prompt of an engine that is set apart for paced streams: a
// fixed part, and one for each token that delays them.
constexpr double lane_entry_cost = 3000;
constexpr double lane_token_cost = 2;
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

// The candidates that are neither resting, paused nor tried; those that are
// paused when nothing else is left.
std::vector<const upstream_state *> eligible(const placement_query &Query,
                                             const upstream_trust &Trust) {
  std::vector<const upstream_state *> Good;
  std::vector<const upstream_state *> Paused;
  for (const upstream_state *Candidate : Query.Serving) {
    const upstream_name &Name = Candidate->Entry.Name;
    if (std::find(Query.Tried.begin(), Query.Tried.end(), Name) !=
            Query.Tried.end() ||
        Trust.restingUntil(Name, Query.Now))
      continue;
    (Trust.isPaused(Name, Candidate->Entry.Zone, Query.Now) ? Paused : Good)
        .push_back(Candidate);
  }
  return Good.empty() ? Paused : Good;
}

double pacedStreamsPerEngine(int Slots) {
  if (Slots <= 0)
    return paced_streams_per_engine;
  return std::clamp(paced_part_of_slots * Slots, 1.0,
                    double{paced_streams_per_engine});
}

// How many engines are set apart for paced streams; never most of them.
size_t laneSize(const std::vector<const upstream_state *> &List, int Slots,
                const upstream_load &Load) {
  double Paced = 0;
  for (const upstream_state *Each : List)
    Paced += Load.at(Each->Entry.Name).PacedStreams;
  auto Wanted =
      static_cast<size_t>(std::ceil(Paced / pacedStreamsPerEngine(Slots)));
  return std::min(std::max<size_t>(Wanted, 1), List.size() / 2);
}

double pacedCost(const placement &Option, bool InLane) {
  auto Waiting =
      static_cast<double>(Option.Use.UnreadTokens + Option.UnreadTokens);
  double Noticed = std::max(0.0, Waiting - unnoticed_tokens);
  return Waiting + unread_cost_to_paced * Noticed +
         (InLane ? 0 : outside_lane_cost);
}

double longPromptCost(const placement &Option, int64_t OwnPart, bool InLane) {
  auto Unread = static_cast<double>(Option.UnreadTokens);
  double Reread = std::max(0.0, Unread - static_cast<double>(OwnPart));
  double Cost = Unread + (reread_cost - 1) * Reread +
                static_cast<double>(Option.Use.UnreadTokens);
  return InLane ? Cost + lane_entry_cost + lane_token_cost * Unread : Cost;
}

double queueCost(const placement &Option, int Slots) {
  int Place = Option.Use.Running + 1 - Slots;
  return Slots > 0 && Place > 0 ? queue_place_cost * Place : 0;
}

// Marks a few of those candidates that are in Group.
void drawFrom(const std::vector<size_t> &Group, uint64_t Random,
              std::vector<bool> &Drawn) {
  std::minstd_rand Source(static_cast<unsigned>(Random));
  std::vector<size_t> Chosen;
  std::sample(Group.begin(), Group.end(), std::back_inserter(Chosen),
              drawn_choices, Source);
  for (size_t I : Chosen)
    Drawn[I] = true;
}

// The candidates that are looked at: a few within the lane and outside it where
// figures lag, else all of them.
std::vector<bool> drawCandidates(const placement_query &Query,
                                 const std::vector<size_t> &LanePlace,
                                 size_t Lane) {
  std::vector<bool> Drawn(LanePlace.size(), !Query.FiguresLag);
  if (!Query.FiguresLag)
    return Drawn;
  std::vector<size_t> Inside;
  std::vector<size_t> Outside;
  for (size_t I = 0; I < LanePlace.size(); ++I)
    (LanePlace[I] < Lane ? Inside : Outside).push_back(I);
  drawFrom(Inside, Query.Random, Drawn);
  drawFrom(Outside, Query.Random, Drawn);
  return Drawn;
}

std::optional<placement> placeOnEngine(const placement_query &Query,
                                       const placement_inputs &Inputs) {
  auto List = eligible(Query, Inputs.Trust);
  size_t Lane = laneSize(List, Query.Slots, Inputs.Load);
  std::vector<size_t> LanePlace = ranksFor("paced streams", List);
  std::vector<size_t> HomeRank = ranksFor(subjectKey(*Query.Prompt), List);
  // The home of a subject is the first engine that is not set apart.
  size_t Home = List.size();
  for (size_t I = 0; I < List.size(); ++I)
    if (LanePlace[I] >= Lane &&
        (Home == List.size() || HomeRank[I] < HomeRank[Home]))
      Home = I;
  int64_t OwnPart = Query.Prompt->PromptTokens - sharedTokens(*Query.Prompt);
  std::vector<bool> Drawn = drawCandidates(Query, LanePlace, Lane);
  std::optional<placement> Best;
  for (size_t I = 0; I < List.size(); ++I) {
    const upstream_entry &Entry = List[I]->Entry;
    placement Option;
    Option.Upstream = List[I];
    Option.Use = Inputs.Load.at(Entry.Name);
    Option.UnreadTokens =
        Inputs.Cache.unreadTokens(Entry.Name, *Query.Prompt, Query.Now);
    bool Cached = !Query.Paced && Option.UnreadTokens <= OwnPart;
    if (!Drawn[I] && !Cached && (Query.Paced || I != Home))
      continue;
    // Other entries send the subject to its home as well.
    if (!Query.Paced && I == Home)
      Option.UnreadTokens = std::min(Option.UnreadTokens, OwnPart);
    bool InLane = LanePlace[I] < Lane;
    Option.Cost = Query.Paced ? pacedCost(Option, InLane)
                              : longPromptCost(Option, OwnPart, InLane);
    Option.Cost += Option.Use.Running * running_cost;
    Option.Cost += queueCost(Option, Query.Slots);
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
  size_t Looked =
      Query.FiguresLag ? std::min(drawn_choices, List.size()) : List.size();
  for (size_t I = 0; I < Looked; ++I) {
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
