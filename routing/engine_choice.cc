#include "routing/engine_choice.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <tuple>

namespace monsoonreel {

namespace {

using milliseconds = std::chrono::duration<double, std::milli>;

// Part of an engine's slots that paced streams take before another engine is
// reserved. The rest serves those that arrive until then.
constexpr double paced_slot_share = 0.7;
// Part of the engines that may be reserved: long prompts always have some.
constexpr double max_reserved_share = 0.8;
// Cost of reading a part again that another engine has cached, relative to the
// time that it takes. It also evicts parts of other subjects there.
constexpr double reread_weight = 4;
// Cost of a late first event, relative to the delay beyond the target.
constexpr double lateness_weight = 2;
// Cost of an engine of the other group, as a part of the request's target.
constexpr double other_group_part = 0.1;
// Cost of a fetch, relative to the time that it takes: it uses the links of two
// engines, and evicts parts of other subjects.
constexpr double fetch_weight = 3;
// Each request that runs makes the steps of an engine a little longer.
constexpr double running_cost_ms = 0.5;
// A network round trip between zones.
constexpr double other_zone_ms = 2.5;
// The same where the other zone has a placer of its own, as a part of the
// request's target: its load is known 0.1 to 0.2 s late.
constexpr double other_zone_target_part = 0.1;
// Cost of a failure share of 1. It exceeds any wait that callers accept.
constexpr double failure_ms = 1000;
// Bounds predictions from absurd reports.
constexpr double longest_prediction_ms = 600000;
// A less urgent prompt is not worth more late streams than this.
constexpr double max_delayed_streams = 1;
// Bounds of the time after which callers may come back.
constexpr duration shortest_return = std::chrono::milliseconds(400);
constexpr duration longest_return = std::chrono::seconds(2);

double toMs(duration Value) { return milliseconds(Value).count(); }

// Returns the part of streams that become late on an engine that has to read
// this many tokens without a break.
double lateShare(double Unread, double Budget, const lateness_odds &Odds) {
  if (Unread <= 0)
    return 0;
  return Budget <= 0 ? 1 : Odds.beyond(Budget / Unread);
}

// Returns the prompt tokens that an engine reads within a pause, besides making
// an event.
double gapBudget(const engine_timing &Timing, duration Pause) {
  return std::max(0.0, toMs(Pause) - toMs(Timing.EventGap)) *
         Timing.TokensPerMs;
}

// Returns the time until a slot is free, by what runs at the engine.
double slotWait(const upstream_use_sum &Use, int Slots,
                const engine_timing &Timing) {
  double Place = double{1} + Use.Running - Slots;
  if (Slots <= 0 || Place <= 0)
    return 0;
  double Paced = std::clamp(static_cast<double>(Use.PacedStreams) /
                                std::max(1, Use.Running),
                            0.0, 1.0);
  return Place / Slots *
         (Paced * toMs(Timing.PacedSlotTime) +
          (1 - Paced) * toMs(Timing.OtherSlotTime));
}

// Returns the tokens of the last part, which no other prompt shares. Callers
// may state fewer tokens of the prompt than of its parts.
int64_t ownTokens(const prompt_info &Prompt) {
  return std::max<int64_t>(0, Prompt.PromptTokens - sharedTokens(Prompt));
}

// An engine that others can fetch the beginning of the prompt from.
struct prompt_holder {
  const upstream_state *Engine = nullptr;
  int64_t UnreadTokens = 0; // of the prompt, at that engine
};

prompt_holder findHolder(const placement_query &Query,
                         const placement_inputs &Inputs,
                         const std::vector<const upstream_state *> &List) {
  prompt_holder Holder;
  // No engine's cache is looked up where nothing can be fetched.
  if (!Query.Terms || !Query.Terms->canFetch() || !Inputs.Fetches ||
      sharedTokens(*Query.Prompt) < min_fetch_tokens)
    return Holder;
  auto Consider = [&](const upstream_state *Each, int64_t Unread) {
    const upstream_name &Name = Each->Entry.Name;
    if ((!Holder.Engine || Unread < Holder.UnreadTokens) &&
        !isPaused(Each->Entry, Inputs, Query.Now) &&
        Inputs.Fetches->mayUse(Name, Query.Now))
      Holder = {Each, Unread};
  };
  auto ConsiderByView = [&](const upstream_state *Each) {
    Consider(Each, Inputs.Cache.tokensLeftToFetcher(Each->Entry.Name,
                                                    *Query.Prompt, Query.Now));
  };
  for (const upstream_state *Each : List)
    ConsiderByView(Each);
  // The rules that List follows apply to others as well.
  auto IsAllowed = [&](const upstream_state *Each) {
    return (!Query.Regions || Query.Regions->allows(Each->Entry.Zone)) &&
           std::find(Query.Tried.begin(), Query.Tried.end(),
                     Each->Entry.Name) == Query.Tried.end();
  };
  if (Inputs.Draining)
    for (const upstream_state *Each : *Inputs.Draining)
      if (IsAllowed(Each))
        ConsiderByView(Each);
  if (Query.KnownHolder && IsAllowed(Query.KnownHolder) &&
      Query.KnownHolder->Entry.Service == List.front()->Entry.Service)
    Consider(Query.KnownHolder, ownTokens(*Query.Prompt));
  return Holder;
}

// Lets the engine fetch what it lacks of the prompt, if that is quicker than
// reading it. Returns the time of the fetch.
duration planFetch(const placement_query &Query, const prompt_holder &Holder,
                   const engine_timing &Timing, placement &Option) {
  if (!Holder.Engine || Holder.Engine == Option.Upstream)
    return {};
  int64_t Tokens = Option.UnreadTokens - Holder.UnreadTokens;
  auto Time = fetchTime(*Query.Terms, Tokens);
  if (!Time || toMs(*Time) >= static_cast<double>(Tokens) / Timing.TokensPerMs)
    return {};
  Option.FetchFrom = Holder.Engine;
  Option.FetchTokens = Tokens;
  Option.UnreadTokens = Holder.UnreadTokens;
  return *Time;
}

struct engine_cost {
  double FirstEvent = 0;
  double Total = 0;
  bool IsLate = false;
};

engine_cost costOf(const placement_query &Query, const placement &Option,
                   const engine_timing &Timing, const lateness_odds &Odds,
                   int64_t OwnPart, duration Fetch, bool IsReserved) {
  double Target = toMs(Query.Target);
  auto Queue = static_cast<double>(Option.Use.UnreadTokens);
  auto Own = static_cast<double>(Option.UnreadTokens);
  double Slot = slotWait(Option.Use, Query.Slots, Timing);
  engine_cost Cost;
  Cost.FirstEvent = std::min(toMs(Timing.FirstEventDelay) + toMs(Fetch) +
                                 (Queue + Own) / Timing.TokensPerMs + Slot,
                             longest_prediction_ms);
  Cost.Total = Cost.FirstEvent + (fetch_weight - 1) * toMs(Fetch) +
               running_cost_ms * Option.Use.Running +
               lateness_weight * std::max(0.0, Cost.FirstEvent - Target);
  Cost.Total += Target * Odds.beyond(Target / Cost.FirstEvent);
  // Only the most urgent requests wait for slots.
  Cost.IsLate = Cost.FirstEvent > Target || (Slot > 0 && !Query.Urgent);
  if (Query.Pause) {
    double Budget = gapBudget(Timing, *Query.Pause);
    Cost.Total += Target * lateShare(Queue + Own, Budget, Odds);
    if (!Query.Urgent && Queue + Own > Budget)
      Cost.IsLate = true;
  }
  if (Query.Paced) {
    Cost.Total += IsReserved ? 0 : other_group_part * Target;
    return Cost;
  }
  double Reread = std::max(0.0, Own - static_cast<double>(OwnPart));
  Cost.Total += (reread_weight - 1) * Reread / Timing.TokensPerMs;
  double Budget = gapBudget(Timing, Query.StrictestPause);
  double Delayed =
      Option.Use.PacedStreams *
      (lateShare(Queue + Own, Budget, Odds) - lateShare(Queue, Budget, Odds));
  Cost.Total += Target * Delayed;
  if (!Query.Urgent && Delayed > max_delayed_streams)
    Cost.IsLate = true;
  if (IsReserved)
    Cost.Total += other_group_part * Target;
  return Cost;
}

} // namespace

size_t engineCountForPaced(int PacedStreams, int Slots, size_t Engines) {
  double Each = std::max(1.0, paced_slot_share * Slots);
  auto Wanted =
      static_cast<size_t>(std::ceil(std::max(1, PacedStreams) / Each));
  auto Most =
      static_cast<size_t>(max_reserved_share * static_cast<double>(Engines));
  return std::min(Wanted, Most);
}

std::optional<placement> chooseEngine(const placement_query &Query,
                                      const placement_inputs &Inputs,
                                      const engine_candidates &Candidates,
                                      std::vector<placement> *Options) {
  const auto &List = Candidates.List;
  size_t Home = List.size();
  for (size_t I = 0; I < List.size(); ++I)
    if (!Candidates.IsReserved[I] &&
        (Home == List.size() ||
         Candidates.HomeRank[I] < Candidates.HomeRank[Home]))
      Home = I;
  int64_t OwnPart = ownTokens(*Query.Prompt);
  std::optional<placement> Best;
  if (List.empty())
    return Best;
  prompt_holder Holder = findHolder(Query, Inputs, List);
  const lateness_odds &Odds = Query.Model->oddsOf(List.front()->Entry.Service);
  for (size_t I = 0; I < List.size(); ++I) {
    const upstream_entry &Entry = List[I]->Entry;
    placement Option;
    Option.Upstream = List[I];
    Option.Use = Inputs.Load.at(Entry.Name);
    Option.UnreadTokens =
        Inputs.Cache.unreadTokens(Entry.Name, *Query.Prompt, Query.Now);
    bool Cached = !Query.Paced && Option.UnreadTokens <= OwnPart;
    if (!Candidates.Sampled[I] && !Cached && (Query.Paced || I != Home))
      continue;
    // Other entries send the subject to its home as well, so it is probably
    // cached there.
    if (!Query.Paced && I == Home && !Query.CacheIsExact)
      Option.UnreadTokens = std::min(Option.UnreadTokens, OwnPart);
    engine_timing Timing = Query.Model->at(Entry.Service, Entry.Name);
    duration Fetch = planFetch(Query, Holder, Timing, Option);
    engine_cost Cost = costOf(Query, Option, Timing, Odds, OwnPart, Fetch,
                              Candidates.IsReserved[I]);
    Option.Cost = Cost.Total;
    Option.IsLate = Cost.IsLate;
    Option.IsIdle = Option.Use.UnreadTokens <= 0 &&
                    (Query.Slots <= 0 || Option.Use.Running < Query.Slots);
    Option.FirstEvent =
        std::chrono::duration_cast<duration>(milliseconds(Cost.FirstEvent));
    if (Entry.Zone != Query.Zone)
      Option.Cost += Query.PrefersOwnZone
                         ? other_zone_target_part * toMs(Query.Target)
                         : other_zone_ms;
    Option.Cost +=
        failure_ms * Inputs.FailureTracker.failureShare(Entry.Name, Query.Now);
    if (Options)
      Options->push_back(Option);
    // A request is refused only if it is late at every engine.
    if (!Best || std::tie(Option.IsLate, Option.Cost) <
                     std::tie(Best->IsLate, Best->Cost))
      Best = Option;
  }
  return Best;
}

bool shouldRefuse(const placement_query &Query, const placement &Best) {
  // An idle engine is tried, whatever the model has learned.
  return Query.Model && !Query.LoadIsStale && Best.IsLate && !Best.IsIdle;
}

duration placeExpectedAfter(const placement_query &Query,
                            const placement &Best) {
  return std::clamp(2 * (Best.FirstEvent - Query.Target), shortest_return,
                    longest_return);
}

} // namespace monsoonreel
