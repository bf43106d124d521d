// Implements the part of `request_router` that lets one entry of each zone
// place the requests of the zone at engines with few slots.
//
// Load pattern: dozens of entries place requests with reports that are older
// than the time in which an engine with few slots fills up, so some engines
// queue while others idle. The acting relay of the zone receives the reports of
// all its entries and counts what it has placed since, so its view is exact for
// its zone. An entry whose ask is not answered places the request by itself.
//
// Each engine has one placer, the acting relay of its zone: relays that place
// at each other's engines would fill the same one between two exchanges of
// their sums. A relay that finds the best engine in another zone names that
// zone, and the relay there places the request.

#include <algorithm>
#include <utility>

#include "monsoonreel/http_status.h"
#include "monsoonreel/rendezvous.h"
#include "routing/decision_log.h"
#include "routing/engine_choice.h"
#include "routing/request_router.h"

namespace monsoonreel {

namespace {

// Bounds of what an ask may list.
constexpr size_t max_pieces = 64;
constexpr size_t max_listed_upstreams = 32;
// Share of failed answers from which on an entry reports an upstream as
// failing.
constexpr double reported_failure_share = 0.3;
// Longest times that an ask may state.
constexpr duration longest_target = std::chrono::minutes(10);
// Longest time after which a grant may ask a caller to come back.
constexpr duration longest_return_time = std::chrono::seconds(5);

prompt_info promptOf(const wire::placement_ask &Ask) {
  prompt_info Prompt;
  Prompt.PromptTokens = std::max(0, Ask.PromptTokens);
  Prompt.MaxOutputTokens = std::max(0, Ask.MaxOutputTokens);
  size_t Count = std::min(Ask.Pieces.size(), max_pieces);
  for (size_t I = 0; I < Count; ++I)
    Prompt.Parts.push_back({static_cast<uint64_t>(Ask.Pieces[I].Id),
                            std::max(0, Ask.Pieces[I].Tokens)});
  return Prompt;
}

duration boundedTime(int64_t Micros) {
  return std::clamp(fromMicros(Micros), duration::zero(), longest_target);
}

} // namespace

zone_name request_router::homeZone(const placement_query &Query) {
  uint64_t Subject = subjectOf(*Query.Prompt);
  std::string_view Key(reinterpret_cast<const char *>(&Subject),
                       sizeof(Subject));
  const upstream_state *Home = nullptr;
  uint64_t Most = 0;
  for (const upstream_state *Each : Query.Serving) {
    uint64_t Weight = rendezvousWeight(Key, Each->Entry.Name.Value);
    if (!Home || Weight > Most) {
      Home = Each;
      Most = Weight;
    }
  }
  return Home ? Home->Entry.Zone : zone_name();
}

bool request_router::isSilent(const address &Relay, steady_time Now) const {
  auto It = SilentUntil.find(Relay);
  return It != SilentUntil.end() && Now < It->second;
}

// A long prompt is placed by the relay of its subject's home zone, which then
// knows all requests for the subject. Other requests are placed in the own
// zone.
address request_router::placerFor(const active_request &Request,
                                  const placement_query &Query,
                                  const router_context &Context) const {
  const zone_relays *Relays = Context.Relays;
  if (!Query.Model || !Relays || !Relays->inUse() ||
      Request.Regions.isBinding())
    return {};
  if (!Query.Paced) {
    zone_name Far = homeZone(Query);
    if (address Relay = relayOf(Far, Context); !Relay.empty())
      return Relay;
  }
  if (Relays->isActing(Context.Now))
    return {};
  address Own = Relays->reportingRelay(Context.Now);
  return isSilent(Own, Context.Now) ? address() : Own;
}

address request_router::relayOf(const zone_name &Far,
                                const router_context &Context) const {
  if (Far == Zone || !Context.Relays)
    return {};
  for (const address &Relay : Context.Relays->ofZone(Far))
    if (!isSilent(Relay, Context.Now))
      return Relay;
  return {};
}

void request_router::onUnansweredAsk(active_request &Request,
                                     const router_context &Context,
                                     routing_effects &Effects) {
  Asks.erase(*std::exchange(Request.Ask, std::nullopt));
  SilentUntil[Request.Asked] = Context.Now + silent_relay_pause;
  Effects.push_back(count_metric{"monsoonreel_placement_asks_total",
                                 {{"outcome", "unanswered"}}});
  if (!endIfHeld(Request, Context, Effects))
    place(Request, Context, Effects);
}

std::vector<std::string>
request_router::failingUpstreams(const placement_query &Query) const {
  std::vector<std::string> Names;
  for (const upstream_state *Each : Query.Serving) {
    const upstream_entry &Entry = Each->Entry;
    if (Services.FailureTracker.isPaused(Entry.Name, Entry.Zone, Query.Now) ||
        Services.FailureTracker.failureShare(Entry.Name, Query.Now) >=
            reported_failure_share ||
        !Services.Limits.maySend(Entry.Name, Query.Now))
      Names.push_back(Entry.Name.Value);
    if (Names.size() == max_listed_upstreams)
      break;
  }
  return Names;
}

void request_router::ask(active_request &Request, const address &Placer,
                         const placement_query &Query,
                         const router_context &Context,
                         routing_effects &Effects) {
  wire::placement_ask Ask;
  Ask.Final = Request.AsksSent + 1 >= max_asks;
  Ask.Zone = Zone.Value;
  Ask.Holder = Request.Holder;
  Ask.Ask = ++LastAsk;
  Ask.Service = Request.Service->Name.Value;
  Ask.PromptTokens = Query.Prompt->PromptTokens;
  Ask.MaxOutputTokens = Query.Prompt->MaxOutputTokens;
  size_t Count = std::min(Query.Prompt->Parts.size(), max_pieces);
  for (size_t I = 0; I < Count; ++I) {
    wire::prompt_piece Piece;
    Piece.Id = static_cast<int64_t>(Query.Prompt->Parts[I].Id);
    Piece.Tokens = Query.Prompt->Parts[I].Tokens;
    Ask.Pieces.push_back(Piece);
  }
  for (const upstream_name &Name : Request.Tried)
    Ask.Tried.push_back(Name.Value);
  Ask.Failing = failingUpstreams(Query);
  Ask.Urgent = Query.Urgent;
  Ask.TargetMicros = toMicros(Query.Target);
  Ask.PauseMicros = toMicros(Query.Pause.value_or(duration{}));
  if (++Request.AsksSent == 1)
    Request.AskedAt = Context.Now;
  Request.Ask = Ask.Ask;
  Request.AskSentAt = Context.Now;
  Request.Asked = Placer;
  Asks[Ask.Ask] = Request.Arrived.Request;
  Effects.push_back(
      send_datagrams{{Placer}, wire::peer_message(std::move(Ask))});
}

void request_router::onAsk(const address &From, const wire::placement_ask &Ask,
                           const std::shared_ptr<const route_table> &Table,
                           const router_context &Context,
                           routing_effects &Effects) {
  wire::placement_grant Grant;
  Grant.Ask = Ask.Ask;
  pool_name Service(Ask.Service);
  const service *Known = Table ? Table->findService(Service) : nullptr;
  const service_routes *Routes = Table ? Table->routesTo(Service) : nullptr;
  if (!Known || !isPlacedByTimes(*Known, Routes)) {
    Effects.push_back(
        send_datagrams{{From}, wire::peer_message(std::move(Grant))});
    return;
  }
  prompt_info Prompt = promptOf(Ask);
  std::vector<upstream_name> Excluded;
  for (const auto *Names : {&Ask.Tried, &Ask.Failing})
    for (const std::string &Name : *Names)
      if (Excluded.size() < 2 * max_listed_upstreams)
        Excluded.emplace_back(Name);
  const auto &Serving = Services.Registry.serving(Service);
  // An entry that has used up its share of an upstream's limit cannot use it
  // either, but the upstream has not failed.
  std::vector<std::string> Failing = Ask.Failing;
  std::erase_if(Failing, [&](const std::string &Name) {
    return Services.Limits.hasLimit(upstream_name(Name));
  });
  Reported.onReport(From, Service, Failing, Serving.size(), Context.Now);
  std::vector<const upstream_state *> OwnEngines;
  for (const upstream_state *Each : Serving)
    if (Each->Entry.Zone == Zone)
      OwnEngines.push_back(Each);
  auto QueryOver = [&](const std::vector<const upstream_state *> &Engines) {
    placement_query Query{
        Engines,  Zone,        &Prompt,        isPaced(Prompt),
        Excluded, Context.Now, Context.Random, Known->Engine->Slots,
        false};
    Query.Model = &Services.Model;
    Query.Target = boundedTime(Ask.TargetMicros);
    if (Ask.PauseMicros > 0)
      Query.Pause = boundedTime(Ask.PauseMicros);
    Query.StrictestPause = Routes->StrictestPause;
    Query.Urgent = Ask.Urgent;
    Query.CacheIsExact = true;
    Query.PrefersOwnZone = true;
    Query.Terms = &*Known->Engine;
    Query.KnownHolder = namedSource(Ask.Holder, *Known, Context.Now);
    return Query;
  };
  placement_inputs Inputs = inputsFor(Service);
  placement_query Query = QueryOver(Ask.Final ? OwnEngines : Serving);
  std::optional<placement> Chosen = choosePlacement(Query, Inputs);
  // An engine of another zone that works is better than one of this zone that
  // fails; the entry places the request by itself then.
  auto IsFailing = [&](const placement &Each) {
    return isPaused(Each.Upstream->Entry, Inputs, Context.Now);
  };
  if (Ask.Final && Chosen && IsFailing(*Chosen))
    if (auto Best = choosePlacement(QueryOver(Serving), Inputs);
        Best && !IsFailing(*Best))
      Chosen.reset();
  const char *Outcome = "none";
  if (Chosen)
    Outcome = answerAsk(From, Ask, Query, *Chosen, Grant, Effects);
  Effects.push_back(
      count_metric{"monsoonreel_placement_asks_total", {{"outcome", Outcome}}});
  Effects.push_back(
      send_datagrams{{From}, wire::peer_message(std::move(Grant))});
}

const char *request_router::answerAsk(const address &From,
                                      const wire::placement_ask &Ask,
                                      const placement_query &Query,
                                      const placement &Chosen,
                                      wire::placement_grant &Grant,
                                      routing_effects &Effects) {
  const upstream_entry &Entry = Chosen.Upstream->Entry;
  if (Chosen.FetchFrom)
    Grant.FetchFrom = Chosen.FetchFrom->Entry.Name.Value;
  zone_name OtherZone(Ask.Zone == Zone.Value ? "" : Ask.Zone);
  work_size Size{Chosen.UnreadTokens, Query.Paced};
  if (Entry.Zone != Zone) {
    // Counted here as well, so that the requests of the next moments are not
    // all redirected to the same engine.
    Services.Load.onGranted(From, OtherZone, Entry.Name, Size, Query.Now);
    Grant.Zone = Entry.Zone.Value;
    return "redirected";
  }
  Grant.PredictedMicros = toMicros(Chosen.FirstEvent);
  Grant.UnreadTokens = Chosen.UnreadTokens;
  if (mustRefuse(Entry.Service, Query, Chosen) && Ask.Tried.empty()) {
    Grant.RetryMicros = toMicros(placeExpectedAfter(Query, Chosen));
    Effects.push_back(
        decision("placement-refused")
            .add("service", Entry.Service)
            .add("from", From)
            .add("urgent", int64_t{Query.Urgent})
            .add("final", int64_t{Ask.Final})
            .add("late", int64_t{Chosen.IsLate})
            .add("upstream", Entry.Name)
            .add("running", Chosen.Use.Running)
            .add("paced_beside", Chosen.Use.PacedStreams)
            .add("unread_before", Chosen.Use.UnreadTokens)
            .add("unread", Chosen.UnreadTokens)
            .add("predicted", Chosen.FirstEvent)
            .add("target", Query.Target)
            .add("candidates", static_cast<int64_t>(Query.Serving.size()))
            .line(log_level::Info));
    return "refused";
  }
  Grant.Upstream = Entry.Name.Value;
  if (Chosen.FetchFrom)
    Fetches.onSent(Chosen.FetchFrom->Entry.Name, Query.Now);
  Services.Load.onGranted(From, OtherZone, Entry.Name, Size, Query.Now);
  Services.Cache.onDispatched(Entry.Name, *Query.Prompt, Query.Now,
                              Chosen.FirstEvent);
  return "granted";
}

void request_router::onUrgentRefused(const pool_name &Service,
                                     steady_time Now) {
  UrgentRefusals[Service] = Now;
}

std::vector<std::string>
request_router::servicesShortOfRoom(steady_time Now) const {
  std::vector<std::string> Names;
  for (const auto &[Service, At] : OwnUrgentRefusals)
    if (Now - At < urgent_refusal_time)
      Names.push_back(Service.Value);
  return Names;
}

// Less urgent requests give way in all zones, because the places that they take
// are what the most urgent ones lack.
bool request_router::isRefused(const pool_name &Service,
                               const placement_query &Query,
                               const placement &Best) const {
  bool IsLate = shouldRefuse(Query, Best);
  if (!Query.Model || Query.LoadIsStale || Query.Urgent)
    return IsLate;
  auto It = UrgentRefusals.find(Service);
  return IsLate || (It != UrgentRefusals.end() &&
                    Query.Now - It->second < urgent_refusal_time);
}

bool request_router::mustRefuse(const pool_name &Service,
                                const placement_query &Query,
                                const placement &Best) {
  bool Refused = isRefused(Service, Query, Best);
  if (Refused && Query.Model && !Query.LoadIsStale && Query.Urgent) {
    OwnUrgentRefusals[Service] = Query.Now;
    UrgentRefusals[Service] = Query.Now;
  }
  return Refused;
}

// A name from another entry may be wrong: its registry may be older, and a
// message may be damaged.
const upstream_state *request_router::namedSource(const std::string &Name,
                                                  const service &Service,
                                                  steady_time Now) const {
  if (Name.empty() || !Service.Engine || !Service.Engine->canFetch())
    return nullptr;
  const upstream_state *Source =
      Services.Registry.findRunning(upstream_name(Name), Service.Name);
  bool IsUsable = Source &&
                  !Services.FailureTracker.isPaused(Source->Entry.Name,
                                                    Source->Entry.Zone, Now) &&
                  !Reported.isPaused(Source->Entry.Name, Now) &&
                  Fetches.mayUse(Source->Entry.Name, Now);
  return IsUsable ? Source : nullptr;
}

bool request_router::isUsable(const active_request &Request,
                              const upstream_state &Upstream,
                              const router_context &Context) const {
  const upstream_entry &Entry = Upstream.Entry;
  const auto &Serving = Services.Registry.serving(Request.Service->Name);
  return std::find(Serving.begin(), Serving.end(), &Upstream) !=
             Serving.end() &&
         std::find(Request.Tried.begin(), Request.Tried.end(), Entry.Name) ==
             Request.Tried.end() &&
         !Services.FailureTracker.backoffUntil(Entry.Name, Context.Now) &&
         !Services.FailureTracker.isPaused(Entry.Name, Entry.Zone,
                                           Context.Now) &&
         Services.Limits.maySend(Entry.Name, Context.Now);
}

void request_router::onGrant(const address &From,
                             const wire::placement_grant &Grant,
                             const router_context &Context,
                             routing_effects &Effects) {
  SilentUntil.erase(From);
  auto Node = Asks.extract(Grant.Ask);
  auto It = Node ? Requests.find(Node.mapped()) : Requests.end();
  if (It == Requests.end() || It->second->Ask != Grant.Ask)
    return;
  active_request &Request = *It->second;
  Request.Ask.reset();
  if (Context.Now >= Request.EndsAt)
    return endWithFailure(Request, "timeout", Context, Effects);
  // Other requests with the part may have been sent since the ask.
  if (endIfHeld(Request, Context, Effects))
    return;
  if (Grant.RetryMicros > 0 && Request.Sent == 0)
    return refuseForRoom(
        Request, std::min(boundedTime(Grant.RetryMicros), longest_return_time),
        Context, Effects);
  Request.Holder = Grant.FetchFrom;
  if (!Grant.Zone.empty())
    return onRedirect(Request, zone_name(Grant.Zone), Context, Effects);
  const upstream_state *Upstream =
      Services.Registry.find(upstream_name(Grant.Upstream));
  if (!Upstream || !isUsable(Request, *Upstream, Context))
    return place(Request, Context, Effects);
  Request.Placer = Upstream->Entry.Zone == Zone ? "relay" : "other-zone";
  placement Chosen;
  Chosen.Upstream = Upstream;
  Chosen.UnreadTokens = std::clamp<int64_t>(
      Grant.UnreadTokens, 0, Request.Arrived.Prompt->PromptTokens);
  Chosen.FirstEvent = boundedTime(Grant.PredictedMicros);
  Chosen.Use = Services.Load.at(Upstream->Entry.Name);
  Chosen.FetchFrom =
      namedSource(Grant.FetchFrom, *Request.Service, Context.Now);
  if (Chosen.FetchFrom == Upstream)
    Chosen.FetchFrom = nullptr;
  // The granted count assumes the fetch.
  if (!Chosen.FetchFrom && !Grant.FetchFrom.empty())
    Chosen.UnreadTokens = Services.Cache.unreadTokens(
        Upstream->Entry.Name, *Request.Arrived.Prompt, Context.Now);
  dispatch(Request, queryFor(Request, Context), Chosen, Context, Effects);
}

void request_router::onRedirect(active_request &Request, const zone_name &Far,
                                const router_context &Context,
                                routing_effects &Effects) {
  address Relay = Far == Zone && Context.Relays
                      ? Context.Relays->reportingRelay(Context.Now)
                      : relayOf(Far, Context);
  if (Relay.empty() || isSilent(Relay, Context.Now) ||
      Request.AsksSent >= max_asks)
    return place(Request, Context, Effects);
  ask(Request, Relay, queryFor(Request, Context), Context, Effects);
}

void request_router::refuseForRoom(active_request &Request, duration RetryAfter,
                                   const router_context &Context,
                                   routing_effects &Effects) {
  refuse(Request, http_status::service_unavailable, "no-room", RetryAfter,
         Context, Effects);
}

} // namespace monsoonreel
