// Implements the part of `request_router` that sends requests to upstreams.

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

#include "routing/decision_log.h"
#include "routing/engine_choice.h"
#include "routing/request_router.h"

namespace monsoonreel {

namespace {

// A first event tells how fast an engine reads only if few tokens were ahead.
// Their number is known late, and those that wait for slots are not read.
constexpr int64_t min_own_share = 4; // own tokens to those ahead

// Returns the ids of a prompt's parts, without the last one, for logs.
std::string partsText(const std::optional<prompt_info> &Prompt) {
  constexpr size_t max_logged_parts = 8;
  if (!Prompt || Prompt->Parts.empty())
    return "none";
  size_t Count = std::min(Prompt->Parts.size() - 1, max_logged_parts);
  return absl::StrJoin(Prompt->Parts.begin(),
                       Prompt->Parts.begin() + static_cast<ptrdiff_t>(Count),
                       ",", [](std::string *Text, const prompt_part &Part) {
                         absl::StrAppend(Text, absl::Hex(Part.Id));
                       });
}

} // namespace

placement_query request_router::queryFor(const active_request &Request,
                                         const router_context &Context) const {
  bool OnEngine = Request.Service->Engine && Request.Arrived.Prompt;
  placement_query Query{Services.Registry.serving(Request.Service->Name),
                        Zone,
                        OnEngine ? &*Request.Arrived.Prompt : nullptr,
                        OnEngine && isPaced(*Request.Arrived.Prompt),
                        Request.Tried,
                        Context.Now,
                        Context.Random,
                        OnEngine ? Request.Service->Engine->Slots : 0,
                        Context.LoadIsStale,
                        &Request.Regions};
  const service_routes *Known = Request.Table->routesTo(Request.Service->Name);
  if (!OnEngine || !isPlacedByTimes(*Request.Service, Known))
    return Query;
  Query.Model = &Services.Model;
  Query.Terms = &*Request.Service->Engine;
  Query.Target = Request.Route->Target;
  Query.Pause = Request.Route->PauseTarget;
  Query.StrictestPause = Known->StrictestPause;
  Query.Urgent = Request.Route->Rank <= Known->MostUrgentRank;
  bool IsPlacer = Context.Relays && Context.Relays->isActing(Context.Now);
  Query.LoadIsStale = Context.LoadIsStale && !IsPlacer;
  Query.CacheIsExact = IsPlacer;
  Query.PrefersOwnZone = IsPlacer && !Request.Regions.isBinding();
  return Query;
}

placement_inputs request_router::inputsFor(const pool_name &Service) const {
  return {Services.Load,
          Services.Cache,
          Services.FailureTracker,
          Services.Limits,
          &Reported,
          &Fetches,
          &Services.Registry.draining(Service)};
}

bool request_router::endIfHeld(active_request &Request,
                               const router_context &Context,
                               routing_effects &Effects) {
  auto Held = heldBack(Request, Context);
  if (!Held)
    return false;
  Effects.push_back(decision("prompt-part-held")
                        .add("request", Request.Arrived.CallerId)
                        .add("part", absl::StrCat(absl::Hex(Held->Part)))
                        .add("round", Held->Round)
                        .add("left", Held->Left)
                        .line(log_level::Info));
  endWithFailure(Request, "prompt-part-held", Context, Effects);
  return true;
}

void request_router::send(active_request &Request,
                          const router_context &Context,
                          routing_effects &Effects) {
  if (endIfHeld(Request, Context, Effects))
    return;
  Request.AsksSent = 0;
  Request.Holder.clear();
  Request.Placer = "own";
  placement_query Query = queryFor(Request, Context);
  address Placer = placerFor(Request, Query, Context);
  if (!Placer.empty())
    return ask(Request, Placer, Query, Context, Effects);
  place(Request, Context, Effects);
}

void request_router::place(active_request &Request,
                           const router_context &Context,
                           routing_effects &Effects) {
  placement_query Query = queryFor(Request, Context);
  std::optional<placement> Chosen =
      choosePlacement(Query, inputsFor(Request.Service->Name));
  if (Chosen && Query.PrefersOwnZone && Request.AsksSent < max_asks) {
    address Relay = relayOf(Chosen->Upstream->Entry.Zone, Context);
    if (!Relay.empty()) {
      Services.Load.onGranted(Relay, {}, Chosen->Upstream->Entry.Name,
                              {Chosen->UnreadTokens, Query.Paced}, Context.Now);
      Request.Holder =
          Chosen->FetchFrom ? Chosen->FetchFrom->Entry.Name.Value : "";
      return ask(Request, Relay, Query, Context, Effects);
    }
  }
  if (!Chosen)
    return endWithFailure(Request,
                          reasonForNoUpstream(Request, Context, Effects),
                          Context, Effects);
  if (mustRefuse(Request.Service->Name, Query, *Chosen) && Request.Sent == 0)
    return refuseForRoom(Request, placeExpectedAfter(Query, *Chosen), Context,
                         Effects);
  dispatch(Request, Query, *Chosen, Context, Effects);
}

void request_router::dispatch(active_request &Request,
                              const placement_query &Query,
                              const placement &Chosen,
                              const router_context &Context,
                              routing_effects &Effects) {
  const upstream_entry &Entry = Chosen.Upstream->Entry;
  attempt_number Attempt{++LastAttempt};
  Attempts[Attempt] = Request.Arrived.Request;
  Request.Attempt = Attempt;
  Request.Upstream = Entry.Name;
  Request.UpstreamZone = Entry.Zone;
  Request.UpstreamStartedAt = Entry.StartedAt;
  Request.BeganAt.reset();
  Request.SoundRecorded = false;
  Request.SentAt = Request.ProgressAt = Context.Now;
  Request.UnreadWhenSent = Chosen.Use.UnreadTokens + Chosen.UnreadTokens;
  Request.FoundSlot = Chosen.Use.Running < Query.Slots;
  Request.ReadsAtOnce =
      Request.FoundSlot &&
      min_own_share * Chosen.Use.UnreadTokens <= Chosen.UnreadTokens &&
      !Chosen.FetchFrom;
  Request.PredictedFirst = Chosen.FirstEvent;
  Request.EventsBefore = Request.Events.taken();
  Request.Status = 0;
  Request.Stream = Request.Held = false;
  Request.Tried.push_back(Entry.Name);
  ++Request.Sent;
  Services.Load.begin(Attempt, Entry.Name, {Chosen.UnreadTokens, Query.Paced});
  Services.Limits.onSent(Entry.Name, Context.Now);
  if (Request.Arrived.Prompt)
    Services.Quarantine.onSent(*Request.Arrived.Prompt, Context.TrueTime);
  if (Query.Prompt)
    Services.Cache.onDispatched(Entry.Name, *Query.Prompt, Context.Now,
                                Chosen.FirstEvent);

  route_dispatch Dispatch;
  Dispatch.Attempt = Attempt;
  Dispatch.Request = Request.Arrived.Request;
  Dispatch.Upstream = Entry.Name;
  Dispatch.Address = Entry.Address;
  Dispatch.Organisation = Request.Organisation;
  Dispatch.TimeLeft = Request.EndsAt - Context.Now;
  Dispatch.ForEngine = Query.Prompt != nullptr;
  if (Dispatch.ForEngine)
    Dispatch.Rank =
        Request.Table->ranksAt(Request.Service->Name)->rankOf(Request.Urgency);
  if (Request.AnswerStarted)
    Dispatch.ResumeAfter = Request.Events.lastId();
  Dispatch.MaxConnections = std::max<int>(
      1, Request.Service->MaxConnections / static_cast<int>(Context.Entries));
  if (Chosen.FetchFrom) {
    Dispatch.FetchFrom = Chosen.FetchFrom->Entry.Address;
    Fetches.onSent(Chosen.FetchFrom->Entry.Name, Context.Now);
    Effects.push_back(count_metric{"monsoonreel_prompt_fetches_total", {}});
  }
  Effects.push_back(Dispatch);
  upstream_limits::summary Limit;
  Services.Limits.addTo(Limit, Entry.Name, Context.Now);
  engine_timing Timing;
  if (Query.Model)
    Timing = Query.Model->at(Entry.Service, Entry.Name);
  Effects.push_back(
      decision("dispatched")
          .add("request", Request.Arrived.CallerId)
          .add("route", Request.Route->Name)
          .add("organisation", Request.Organisation)
          .add("urgency", toText(Request.Urgency))
          .add("rank", Dispatch.Rank)
          .add("upstream", Entry.Name)
          .add("attempt", Request.Sent)
          .add("config_version", Request.Table->config().Version)
          .add("registry_age", Context.RegistryAge)
          .add("candidates", static_cast<int64_t>(Query.Serving.size()))
          .add("cost", static_cast<int64_t>(Chosen.Cost))
          .add("unread", Chosen.UnreadTokens)
          .add("running", Chosen.Use.Running)
          .add("unread_before", Chosen.Use.UnreadTokens)
          .add("predicted", Chosen.FirstEvent)
          .add("paced_beside", Chosen.Use.PacedStreams)
          .add("fetch_from", Chosen.FetchFrom
                                 ? Chosen.FetchFrom->Entry.Name.Value
                                 : std::string("none"))
          .add("fetch_tokens", Chosen.FetchTokens)
          .add("placer", Request.Placer)
          .add("asked", Context.Now - (Request.AsksSent > 0 ? Request.AskedAt
                                                            : Context.Now))
          .add("tokens_per_ms", static_cast<int64_t>(Timing.TokensPerMs))
          .add("event_gap", Timing.EventGap)
          .add("limit", Services.Limits.describe(Entry.Name))
          .add("limit_age", Limit.OldestAge)
          .add("time_left", Dispatch.TimeLeft)
          .line(log_level::Info));
}

std::vector<const upstream_state *>
request_router::allowedUpstreams(const active_request &Request) const {
  std::vector<const upstream_state *> Upstreams =
      Services.Registry.serving(Request.Service->Name);
  std::erase_if(Upstreams, [&](const upstream_state *Each) {
    return !Request.Regions.allows(Each->Entry.Zone);
  });
  return Upstreams;
}

const char *
request_router::reasonForNoUpstream(const active_request &Request,
                                    const router_context &Context,
                                    routing_effects &Effects) const {
  if (Request.Regions.isBinding() && allowedUpstreams(Request).empty())
    return "no-allowed-region";
  bool IsResting = backoffLeft(Request, Context) > duration::zero();
  upstream_limits::summary Limits = limitsOf(Request, Context);
  if (Limits.Upstreams > 0)
    logLimited(Request, Limits, Effects);
  if (IsResting)
    return "upstreams-rest";
  return Limits.Upstreams > 0 ? "upstreams-limited" : "no-upstream";
}

std::optional<part_quarantine::held_back>
request_router::heldBack(const active_request &Request,
                         const router_context &Context) const {
  if (!Request.Arrived.Prompt)
    return std::nullopt;
  return Services.Quarantine.heldBack(*Request.Arrived.Prompt,
                                      Context.TrueTime);
}

void request_router::recordBreak(const active_request &Request,
                                 const router_context &Context) {
  if (Request.Arrived.Prompt && Request.eventsOfAttempt() < sound_answer_events)
    Services.Quarantine.onBroken(Request.run(), *Request.Arrived.Prompt,
                                 Context.Now);
}

void request_router::recordSound(const active_request &Request,
                                 const router_context &Context) {
  if (Request.Arrived.Prompt)
    Services.Quarantine.onSound(*Request.Arrived.Prompt,
                                Request.BeganAt.value_or(Context.Now),
                                Context.Now);
}

duration request_router::backoffLeft(const active_request &Request,
                                     const router_context &Context) const {
  duration Shortest = duration::max();
  for (const upstream_state *Each : allowedUpstreams(Request))
    if (auto Until =
            Services.FailureTracker.backoffUntil(Each->Entry.Name, Context.Now))
      Shortest = std::min(Shortest, *Until - Context.Now);
  return Shortest == duration::max() ? duration::zero() : Shortest;
}

upstream_limits::summary
request_router::limitsOf(const active_request &Request,
                         const router_context &Context) const {
  upstream_limits::summary Sum;
  for (const upstream_state *Each : allowedUpstreams(Request))
    Services.Limits.addTo(Sum, Each->Entry.Name, Context.Now);
  return Sum;
}

void request_router::logLimited(const active_request &Request,
                                const upstream_limits::summary &Limits,
                                routing_effects &Effects) {
  Effects.push_back(
      decision("upstreams-limited")
          .add("request", Request.Arrived.CallerId)
          .add("service", Request.Service->Name)
          .add("limited", Limits.Upstreams)
          .add("limit", absl::StrCat(Limits.Share, "/", Limits.PerSecond))
          .add("limit_age", Limits.OldestAge)
          .line(log_level::Info));
}

void request_router::endAttempt(active_request &Request,
                                const router_context &Context) {
  if (!Request.Attempt)
    return;
  // The time of a request that waited for its slot includes the wait.
  if (Request.FoundSlot && Request.BeganAt && isTimed(Request))
    Services.Model.onSlotHeld(Request.Service->Name,
                              isPaced(*Request.Arrived.Prompt),
                              Context.Now - Request.SentAt, Context.Now);
  Services.Load.end(*Request.Attempt);
  Attempts.erase(*Request.Attempt);
  Request.Attempt.reset();
}

request_router::active_request *
request_router::findByAttempt(attempt_number Attempt) {
  auto It = Attempts.find(Attempt);
  if (It == Attempts.end())
    return nullptr;
  auto Found = Requests.find(It->second);
  return Found == Requests.end() ? nullptr : Found->second.get();
}

bool request_router::mayRepeat(const active_request &Request,
                               const router_context &Context) const {
  if (Request.EndsAt - Context.Now < min_resend_time)
    return false;
  if (Request.Sent >= Request.Route->MaxAttempts)
    return false;
  bool Repeatable = Request.Knowledge == execution_outcome::NotRun ||
                    Request.Route->mayRepeat();
  // A stream whose events carry no ids cannot be resumed at another upstream.
  if (Request.AnswerStarted && !Request.Events.lastId())
    return false;
  return Repeatable && !heldBack(Request, Context);
}

bool request_router::hasEligibleUpstream(const active_request &Request,
                                         const router_context &Context) const {
  return monsoonreel::hasEligibleUpstream(queryFor(Request, Context),
                                          inputsFor(Request.Service->Name));
}

bool request_router::mayResend(const active_request &Request, bool Arrived,
                               const router_context &Context) {
  return mayRepeat(Request, Context) && hasEligibleUpstream(Request, Context) &&
         (!Arrived ||
          Services.Budget.tryResend(Request.Service->Name, Context.Now));
}

void request_router::resendOrFail(active_request &Request, bool Arrived,
                                  const char *Why,
                                  const router_context &Context,
                                  routing_effects &Effects) {
  endAttempt(Request, Context);
  logFailure(Request, Why, Context, Effects);
  Request.FailureDetail.clear();
  if (mayRepeat(Request, Context) && !hasEligibleUpstream(Request, Context))
    return endWithFailure(Request,
                          reasonForNoUpstream(Request, Context, Effects),
                          Context, Effects);
  if (!mayResend(Request, Arrived, Context))
    return endWithFailure(Request, Why, Context, Effects);
  resend(Request, Why, Context, Effects);
}

void request_router::logFailure(const active_request &Request, const char *Why,
                                const router_context &Context,
                                routing_effects &Effects) {
  Effects.push_back(decision("attempt-failed")
                        .add("request", Request.Arrived.CallerId)
                        .add("upstream", Request.Upstream)
                        .add("reason", Why)
                        .add("detail", Request.FailureDetail)
                        .add("ran", outcomeName(Request.Knowledge))
                        .add("after", Context.Now - Request.SentAt)
                        .add("status", Request.Status)
                        .add("events", Request.eventsOfAttempt())
                        .add("parts", partsText(Request.Arrived.Prompt))
                        .line(log_level::Warning));
}

void request_router::resend(active_request &Request, const char *Why,
                            const router_context &Context,
                            routing_effects &Effects) {
  endAttempt(Request, Context);
  Request.Body.clear();
  Request.Events.expectNextRun();
  Effects.push_back(
      count_metric{"monsoonreel_resends_total", {{"reason", Why}}});
  send(Request, Context, Effects);
}

} // namespace monsoonreel
