#include "routing/request_router.h"

#include <algorithm>
#include <utility>

#include "monsoonreel/http_status.h"
#include "routing/decision_log.h"

namespace monsoonreel {

namespace {

// Retry delay when a service has no upstream: one is listed again after about
// this time at the earliest, because it takes a read of the registry and a
// connection.
constexpr duration no_upstream_retry_delay = std::chrono::milliseconds(500);
// Retry delay when this entry or an upstream is full: about the time until
// another one has capacity.
constexpr duration full_retry_delay = std::chrono::milliseconds(150);
// Retry delay when the configuration is not known yet: an entry that has just
// started receives it within about this time.
constexpr duration no_config_retry_delay = std::chrono::milliseconds(300);
// A request to a service without engines counts as started if its caller
// abandons it more than this long after it was sent.
constexpr duration assumed_start_delay = std::chrono::milliseconds(20);

// Adds up to half of the delay at random, to spread the retries of callers that
// are refused together.
duration addJitter(duration Wait, uint64_t Random) {
  return Wait + Wait * static_cast<int64_t>(Random % 512) / 1024;
}

} // namespace

request_router::request_router(router_services Services, zone_name Zone,
                               zone_regions Regions)
    : Services(Services), Zone(std::move(Zone)), Regions(std::move(Regions)) {}

// ---------------------------------------------------------------- admission

void request_router::onArrival(const route_request &Arrived,
                               const std::shared_ptr<const route_table> &Table,
                               const router_context &Context,
                               routing_effects &Effects) {
  auto Owned = std::make_unique<active_request>();
  active_request &Request = *Owned;
  Request.Arrived = Arrived;
  Request.Table = Table;
  Request.ArrivedAt = Context.Now;
  Requests[Arrived.Request] = std::move(Owned);
  if (!Table)
    return refuse(Request, http_status::service_unavailable, "starting",
                  no_config_retry_delay, Context, Effects);
  if (Requests.size() > max_open_requests)
    return refuse(Request, http_status::service_unavailable, "too-many-open",
                  full_retry_delay, Context, Effects);
  if (auto Refused = admit(Request, Context))
    return refuse(Request, Refused->Status, Refused->Code, Refused->RetryAfter,
                  Context, Effects);
  duration Limit = Request.Route->Timeout;
  if (Arrived.TimeLeft)
    Limit = std::min(Limit, *Arrived.TimeLeft);
  Request.EndsAt = Context.Now + Limit;
  if (comesTooLate(Request, Context))
    return refuse(Request, http_status::service_unavailable, "draining",
                  full_retry_delay, Context, Effects);
  if (Drain)
    Request.EndsAt = std::min(Request.EndsAt, Drain->End);
  Services.Budget.onRequest(Request.Service->Name, Context.Now);
  send(Request, Context, Effects);
}

std::optional<request_router::admission_refusal>
request_router::admit(active_request &Request,
                      const router_context &Context) const {
  const route_request &Arrived = Request.Arrived;
  const route_table &Table = *Request.Table;
  Request.Route = Table.find(Arrived.Host, Arrived.Path);
  if (!Request.Route)
    return admission_refusal{http_status::not_found, "no-route"};
  const organisation_terms *Holder =
      Arrived.Key ? Table.organisationOf(*Arrived.Key) : nullptr;
  // On public routes a known key only restricts the regions. The organisation
  // is not passed on, not counted and does not change the urgency.
  bool NeedsKey = !Request.Route->Public && Table.hasOrganisations();
  if (NeedsKey) {
    if (!Holder)
      return admission_refusal{http_status::unauthorized, "unknown-key"};
    Request.Organisation = Holder->Name;
  }
  Request.Urgency = urgencyOf(*Request.Route, NeedsKey ? Holder : nullptr);
  Request.Regions = region_rule(Regions, Request.Route->AllowedRegions,
                                Holder ? Holder->AllowedRegions : std::nullopt);
  if (Arrived.CallerId.empty())
    return admission_refusal{http_status::bad_request, "no-request-id"};
  const pool_name *Service =
      route_table::chooseService(*Request.Route, Context.Random);
  Request.Service = Service ? Table.findService(*Service) : nullptr;
  if (!Request.Service)
    return admission_refusal{http_status::service_unavailable, "no-service",
                             no_upstream_retry_delay};
  return std::nullopt;
}

// A request that is cut by the end of the process may have run. One that may be
// repeated is taken, because another entry can answer it then.
bool request_router::comesTooLate(const active_request &Request,
                                  const router_context &Context) const {
  return Drain && Context.Now >= Drain->NoLateWorkFrom &&
         Request.EndsAt > Drain->End &&
         (!Request.Route->mayRepeat() ||
          Request.Route->Kind == repeat_kind::Stream);
}

void request_router::drain(steady_time NoLateWorkFrom, steady_time End) {
  Drain = {NoLateWorkFrom, End};
  for (auto &[Id, Request] : Requests)
    Request->EndsAt = std::min(Request->EndsAt, End);
}

// --------------------------------------------------------------------- ends

void request_router::onCallerGone(request_id Id, const router_context &Context,
                                  routing_effects &Effects) {
  auto It = Requests.find(Id);
  if (It == Requests.end())
    return;
  active_request &Request = *It->second;
  if (Request.Attempt) {
    bool Began = !Request.Service->Engine && Request.Status == 0 &&
                 Context.Now - Request.SentAt > assumed_start_delay;
    if (Began)
      countUsage(Request, Context);
    Effects.push_back(route_cancel{*Request.Attempt});
  }
  close(Request, "caller-gone", Context, Effects);
}

void request_router::onTick(const router_context &Context,
                            routing_effects &Effects) {
  Reported.onTick(Context.Now);
  Fetches.onTick(Context.Now);
  std::vector<request_id> Expired;
  std::vector<request_id> Stalled;
  std::vector<request_id> Returning;
  std::vector<request_id> Unanswered;
  for (const auto &[Id, Request] : Requests)
    if (Context.Now >= Request->EndsAt)
      Expired.push_back(Id);
    else if (hasStalled(*Request, Context))
      Stalled.push_back(Id);
    else if (Request->ReturnAt && Context.Now >= *Request->ReturnAt)
      Returning.push_back(Id);
    else if (Request->Ask &&
             Context.Now - Request->AskSentAt >= placement_ask_timeout)
      Unanswered.push_back(Id);
  for (request_id Id : Unanswered) {
    onUnansweredAsk(*Requests.find(Id)->second, Context, Effects);
  }
  for (request_id Id : Stalled)
    onStalled(*Requests.find(Id)->second, Context, Effects);
  for (request_id Id : Returning)
    returnToFormer(*Requests.find(Id)->second, Context, Effects);
  for (request_id Id : Expired) {
    active_request &Request = *Requests.find(Id)->second;
    if (Request.Attempt) {
      Effects.push_back(route_cancel{*Request.Attempt});
      if (Request.Knowledge == execution_outcome::NotRun)
        Request.Knowledge = execution_outcome::Unknown;
      endAttempt(Request, Context);
    }
    endWithFailure(Request, "timeout", Context, Effects);
  }
}

duration request_router::retryAfter(const active_request &Request,
                                    std::string_view Why,
                                    const router_context &Context) const {
  if (Why == "upstream-full")
    return full_retry_delay;
  if (auto Held = heldBack(Request, Context))
    return Held->Left;
  duration Shortest = duration::max();
  if (duration Rest = backoffLeft(Request, Context); Rest > duration::zero())
    Shortest = Rest;
  // The mean time until the limited upstreams take one more request.
  if (double PerSecond = limitsOf(Request, Context).PerSecond; PerSecond > 0)
    Shortest =
        std::min(Shortest, std::chrono::ceil<duration>(
                               std::chrono::duration<double>(1 / PerSecond)));
  return Shortest == duration::max() ? no_upstream_retry_delay : Shortest;
}

void request_router::endWithFailure(active_request &Request, const char *Why,
                                    const router_context &Context,
                                    routing_effects &Effects) {
  if (awaitReturn(Request, Why, Context, Effects))
    return;
  if (Request.AnswerStarted) {
    Effects.push_back(route_abort{Request.Arrived.Request, Why});
    return close(Request, "aborted", Context, Effects);
  }
  if (Request.Fallback) {
    Effects.push_back(std::move(*Request.Fallback));
    return close(Request, "upstream-failed", Context, Effects);
  }
  if (Request.Knowledge == execution_outcome::NotRun)
    return refuse(Request, http_status::service_unavailable, Why,
                  retryAfter(Request, Why, Context), Context, Effects);
  bool Timeout = Context.Now >= Request.EndsAt;
  refuse(Request,
         Timeout ? http_status::gateway_timeout : http_status::bad_gateway, Why,
         {}, Context, Effects);
}

void request_router::refuse(active_request &Request, int Status,
                            const char *Code, duration RetryAfter,
                            const router_context &Context,
                            routing_effects &Effects) {
  route_refusal Refusal;
  Refusal.Request = Request.Arrived.Request;
  Refusal.Status = Status;
  Refusal.Code = Code;
  Refusal.Outcome = Request.Knowledge;
  Refusal.RetryAfter = addJitter(RetryAfter, Context.Random);
  Effects.push_back(Refusal);
  Effects.push_back(
      count_metric{"monsoonreel_refusals_total",
                   {{"code", Code}, {"status", std::to_string(Status)}}});
  close(Request, Code, Context, Effects);
}

void request_router::close(active_request &Request, const char *Outcome,
                           const router_context &Context,
                           routing_effects &Effects) {
  if (Request.Ask)
    Asks.erase(*Request.Ask);
  endAttempt(Request, Context);
  duration Took = Context.Now - Request.ArrivedAt;
  int64_t Version = Request.Table ? Request.Table->config().Version : 0;
  Effects.push_back(
      decision("ended")
          .add("request", Request.Arrived.CallerId)
          .add("outcome", Outcome)
          .add("status", Request.Status)
          .add("ran", outcomeName(Request.Knowledge))
          .add("upstream", Request.Upstream)
          .add("sent", Request.Sent)
          .add("events", Request.Events.taken())
          .add("first_event",
               Request.BeganAt.value_or(Request.ArrivedAt) - Request.ArrivedAt)
          .add("longest_gap", Request.LongestGap)
          .add("config_version", Version)
          .add("registry_age", Context.RegistryAge)
          .add("took", Took)
          .line(log_level::Info));
  Effects.push_back(
      count_metric{"monsoonreel_route_requests_total", {{"outcome", Outcome}}});
  Effects.push_back(
      observe_metric{"monsoonreel_route_request_seconds",
                     {{"route", Request.Route ? Request.Route->Name : "none"}},
                     std::chrono::duration<double>(Took).count()});
  Requests.erase(Request.Arrived.Request);
}

} // namespace monsoonreel
