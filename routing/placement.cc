#include "routing/placement.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <map>
#include <random>
#include <string>

#include "monsoonreel/rendezvous.h"
#include "routing/engine_choice.h"

namespace monsoonreel {

namespace {

// Cost of each running request for the next one, in prompt tokens, because each
// slows down the engine's steps a little.
constexpr double running_cost = 30;
// Number of paced streams per engine above which another engine is reserved for
// them. This many slow down a step by about a third.
constexpr int paced_streams_per_engine = 24;
// The same limit as a share of an engine's slots, for engines with few slots.
// The other half serves the streams that arrive before the next engine is
// reserved.
constexpr double paced_part_of_slots = 0.5;
// Cost of each place in the queue of an engine whose slots are taken: on an
// engine with 24 slots a stream ends about every 80 ms, in which 6,000 tokens
// are read.
constexpr double queue_place_cost = 6000;
// Number of upstreams that are sampled when load reports are stale: choosing
// the better of two random upstreams avoids nearly all long queues.
constexpr size_t sampled_choices = 2;
// Cost for a paced stream of using an engine that is not reserved, expressed in
// streams on a reserved one.
constexpr double unreserved_engine_cost = 50 * running_cost;
// Up to this number, queued prompt tokens delay a paced stream by one step
// only.
constexpr double tolerated_unread_tokens = 3000;
// Additional cost for a paced stream of each queued prompt token beyond
// `tolerated_unread_tokens`.
constexpr double unread_cost_to_paced = 3;
// Cost of reading a token again that another engine has cached. Besides the
// time to read it, it evicts cached parts of other requests there, and the
// subject has two homes from then on.
constexpr double reread_cost = 4;
// Cost for a long prompt of using an engine that is reserved for paced streams:
// a fixed part, and a part for each token that delays them.
constexpr double reserved_engine_cost = 3000;
constexpr double reserved_engine_token_cost = 2;
// Cost of an upstream in another zone: one network round trip.
constexpr double other_zone_cost = 150;
// Cost of an upstream in another zone for services without engines, as a share
// of one concurrent request.
constexpr double other_zone_plain_cost = 0.6;
// Cost of a failure share of 1. It exceeds the cost of any queue.
constexpr double failure_cost = 40000;
constexpr double plain_failure_cost = 60;

std::string subjectKey(const prompt_info &Prompt) {
  uint64_t Subject = subjectOf(Prompt);
  return {reinterpret_cast<const char *>(&Subject), sizeof(Subject)};
}

// Returns the position of each candidate in the order of rendezvous hashing for
// Key.
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

// Returns whether a candidate is in an allowed region, not backing off, not at
// its limit and not tried already.
bool isEligible(const upstream_entry &Entry, const placement_query &Query,
                const placement_inputs &Inputs) {
  const upstream_name &Name = Entry.Name;
  return (!Query.Regions || Query.Regions->allows(Entry.Zone)) &&
         std::find(Query.Tried.begin(), Query.Tried.end(), Name) ==
             Query.Tried.end() &&
         !Inputs.FailureTracker.backoffUntil(Name, Query.Now) &&
         Inputs.Limits.maySend(Name, Query.Now);
}

// Returns the candidates in allowed regions that are not backing off, at their
// limit, paused or tried already; if there are none, those that are paused.
std::vector<const upstream_state *> eligible(const placement_query &Query,
                                             const placement_inputs &Inputs) {
  std::vector<const upstream_state *> Usable;
  std::vector<const upstream_state *> Paused;
  for (const upstream_state *Candidate : Query.Serving) {
    if (!isEligible(Candidate->Entry, Query, Inputs))
      continue;
    (isPaused(Candidate->Entry, Inputs, Query.Now) ? Paused : Usable)
        .push_back(Candidate);
  }
  return Usable.empty() ? Paused : Usable;
}

double pacedStreamsPerEngine(int Slots) {
  if (Slots <= 0)
    return paced_streams_per_engine;
  return std::clamp(paced_part_of_slots * Slots, 1.0,
                    double{paced_streams_per_engine});
}

int pacedStreamsAt(const std::vector<const upstream_state *> &List,
                   const upstream_load &Load) {
  int Paced = 0;
  for (const upstream_state *Each : List)
    Paced += Load.at(Each->Entry.Name).PacedStreams;
  return Paced;
}

// Returns how many engines are reserved for paced streams; at most half of
// them.
size_t reservedEngineCount(const std::vector<const upstream_state *> &List,
                           int Slots, const upstream_load &Load) {
  double Paced = pacedStreamsAt(List, Load);
  auto Wanted =
      static_cast<size_t>(std::ceil(Paced / pacedStreamsPerEngine(Slots)));
  return std::min(std::max<size_t>(Wanted, 1), List.size() / 2);
}

double pacedCost(const placement &Option, bool IsReserved) {
  auto Waiting =
      static_cast<double>(Option.Use.UnreadTokens + Option.UnreadTokens);
  double Excess = std::max(0.0, Waiting - tolerated_unread_tokens);
  return Waiting + unread_cost_to_paced * Excess +
         (IsReserved ? 0 : unreserved_engine_cost);
}

double longPromptCost(const placement &Option, int64_t OwnPart,
                      bool IsReserved) {
  auto Unread = static_cast<double>(Option.UnreadTokens);
  double Reread = std::max(0.0, Unread - static_cast<double>(OwnPart));
  double Cost = Unread + (reread_cost - 1) * Reread +
                static_cast<double>(Option.Use.UnreadTokens);
  return IsReserved
             ? Cost + reserved_engine_cost + reserved_engine_token_cost * Unread
             : Cost;
}

double queueCost(const placement &Option, int Slots) {
  int Place = Option.Use.Running + 1 - Slots;
  return Slots > 0 && Place > 0 ? queue_place_cost * Place : 0;
}

// Marks a random sample of Group.
void sampleFrom(const std::vector<size_t> &Group, uint64_t Random,
                std::vector<bool> &Sampled) {
  std::minstd_rand Source(static_cast<unsigned>(Random));
  std::vector<size_t> Chosen;
  std::sample(Group.begin(), Group.end(), std::back_inserter(Chosen),
              sampled_choices, Source);
  for (size_t I : Chosen)
    Sampled[I] = true;
}

// Returns which candidates are considered: a sample of the reserved and of the
// other engines if load reports are stale, else all of them.
std::vector<bool> sampleCandidates(const placement_query &Query,
                                   const std::vector<bool> &IsReserved) {
  std::vector<bool> Sampled(IsReserved.size(), !Query.LoadIsStale);
  if (!Query.LoadIsStale)
    return Sampled;
  std::vector<size_t> Reserved;
  std::vector<size_t> Unreserved;
  for (size_t I = 0; I < IsReserved.size(); ++I)
    (IsReserved[I] ? Reserved : Unreserved).push_back(I);
  sampleFrom(Reserved, Query.Random, Sampled);
  sampleFrom(Unreserved, Query.Random, Sampled);
  return Sampled;
}

// Marks the engines that are reserved for paced streams. Each zone has its own,
// because one entry of the zone places the requests there.
std::vector<bool>
reservedInEachZone(const std::vector<const upstream_state *> &List, int Slots,
                   const upstream_load &Load) {
  std::map<zone_name, std::vector<size_t>> Zones;
  for (size_t I = 0; I < List.size(); ++I)
    Zones[List[I]->Entry.Zone].push_back(I);
  std::vector<bool> IsReserved(List.size());
  for (const auto &[Zone, Indices] : Zones) {
    std::vector<const upstream_state *> Engines;
    for (size_t I : Indices)
      Engines.push_back(List[I]);
    size_t Count = engineCountForPaced(pacedStreamsAt(Engines, Load), Slots,
                                       Engines.size());
    std::vector<size_t> Ranks = ranksFor("paced streams", Engines);
    for (size_t I = 0; I < Indices.size(); ++I)
      IsReserved[Indices[I]] = Ranks[I] < Count;
  }
  return IsReserved;
}

std::vector<bool> firstRanked(const std::vector<size_t> &Ranks, size_t Count) {
  std::vector<bool> IsFirst;
  IsFirst.reserve(Ranks.size());
  for (size_t Rank : Ranks)
    IsFirst.push_back(Rank < Count);
  return IsFirst;
}

std::optional<placement> placeOnEngine(const placement_query &Query,
                                       const placement_inputs &Inputs,
                                       std::vector<placement> *Options) {
  auto List = eligible(Query, Inputs);
  std::vector<size_t> HomeRank = ranksFor(subjectKey(*Query.Prompt), List);
  std::vector<bool> IsReserved =
      Query.Model
          ? reservedInEachZone(List, Query.Slots, Inputs.Load)
          : firstRanked(ranksFor("paced streams", List),
                        reservedEngineCount(List, Query.Slots, Inputs.Load));
  std::vector<bool> Sampled = sampleCandidates(Query, IsReserved);
  if (Query.Model)
    return chooseEngine(Query, Inputs, {List, IsReserved, HomeRank, Sampled},
                        Options);
  // The home of a subject is the first engine in its order that is not
  // reserved.
  size_t Home = List.size();
  for (size_t I = 0; I < List.size(); ++I)
    if (!IsReserved[I] && (Home == List.size() || HomeRank[I] < HomeRank[Home]))
      Home = I;
  int64_t OwnPart = Query.Prompt->PromptTokens - sharedTokens(*Query.Prompt);
  std::optional<placement> Best;
  for (size_t I = 0; I < List.size(); ++I) {
    const upstream_entry &Entry = List[I]->Entry;
    placement Option;
    Option.Upstream = List[I];
    Option.Use = Inputs.Load.at(Entry.Name);
    Option.UnreadTokens =
        Inputs.Cache.unreadTokens(Entry.Name, *Query.Prompt, Query.Now);
    bool Cached = !Query.Paced && Option.UnreadTokens <= OwnPart;
    if (!Sampled[I] && !Cached && (Query.Paced || I != Home))
      continue;
    // Other entries send the subject to its home as well, so it is probably
    // cached there.
    if (!Query.Paced && I == Home)
      Option.UnreadTokens = std::min(Option.UnreadTokens, OwnPart);
    Option.Cost = Query.Paced ? pacedCost(Option, IsReserved[I])
                              : longPromptCost(Option, OwnPart, IsReserved[I]);
    Option.Cost += Option.Use.Running * running_cost;
    Option.Cost += queueCost(Option, Query.Slots);
    if (Entry.Zone != Query.Zone)
      Option.Cost += other_zone_cost;
    Option.Cost += failure_cost *
                   Inputs.FailureTracker.failureShare(Entry.Name, Query.Now);
    if (Options)
      Options->push_back(Option);
    if (!Best || Option.Cost < Best->Cost)
      Best = Option;
  }
  return Best;
}

std::optional<placement> placeOnService(const placement_query &Query,
                                        const placement_inputs &Inputs,
                                        std::vector<placement> *Options) {
  auto List = eligible(Query, Inputs);
  std::optional<placement> Best;
  // A random start distributes requests over candidates of equal cost.
  size_t First = List.empty() ? 0 : Query.Random % List.size();
  size_t Examined =
      Query.LoadIsStale ? std::min(sampled_choices, List.size()) : List.size();
  for (size_t I = 0; I < Examined; ++I) {
    const upstream_state *Candidate = List[(First + I) % List.size()];
    const upstream_entry &Entry = Candidate->Entry;
    placement Option;
    Option.Upstream = Candidate;
    Option.Use = Inputs.Load.at(Entry.Name);
    Option.Cost = Option.Use.Running;
    if (Entry.Zone != Query.Zone)
      Option.Cost += other_zone_plain_cost;
    Option.Cost += plain_failure_cost *
                   Inputs.FailureTracker.failureShare(Entry.Name, Query.Now);
    if (Options)
      Options->push_back(Option);
    if (!Best || Option.Cost < Best->Cost)
      Best = Option;
  }
  return Best;
}

} // namespace

bool isPlacedByTimes(const service &Service, const service_routes *Routes) {
  return Service.Engine && Service.Engine->hasFewSlots() && Routes &&
         Routes->LongestTarget <= longest_tight_target;
}

bool isPaced(const prompt_info &Prompt) {
  return int64_t{4} * Prompt.MaxOutputTokens > Prompt.PromptTokens;
}

bool isPaused(const upstream_entry &Entry, const placement_inputs &Inputs,
              steady_time Now) {
  return Inputs.FailureTracker.isPaused(Entry.Name, Entry.Zone, Now) ||
         (Inputs.Reported && Inputs.Reported->isPaused(Entry.Name, Now));
}

bool hasEligibleUpstream(const placement_query &Query,
                         const placement_inputs &Inputs) {
  return std::any_of(Query.Serving.begin(), Query.Serving.end(),
                     [&](const upstream_state *Candidate) {
                       return isEligible(Candidate->Entry, Query, Inputs);
                     });
}

bool hasOpenUpstream(const placement_query &Query,
                     const placement_inputs &Inputs, steady_time FullSince) {
  return std::any_of(
      Query.Serving.begin(), Query.Serving.end(),
      [&](const upstream_state *Candidate) {
        const upstream_entry &Entry = Candidate->Entry;
        bool HasSlot = Query.Slots <= 0 ||
                       Inputs.Load.at(Entry.Name).Running < Query.Slots;
        return isEligible(Entry, Query, Inputs) &&
               !isPaused(Entry, Inputs, Query.Now) && HasSlot &&
               !Inputs.FailureTracker.wasFullSince(Entry.Name, FullSince);
      });
}

std::optional<placement> choosePlacement(const placement_query &Query,
                                         const placement_inputs &Inputs,
                                         std::vector<placement> *Options) {
  return Query.Prompt ? placeOnEngine(Query, Inputs, Options)
                      : placeOnService(Query, Inputs, Options);
}

} // namespace monsoonreel
