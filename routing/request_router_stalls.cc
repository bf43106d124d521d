// Implements the part of `request_router` that handles streams whose upstream
// is silent.
//
// Load pattern: an engine without memory preempts a request in the middle of
// its stream, and goes on with it when there is room. Callers wait for that
// longer than it takes to notice the silence. The run is therefore given up
// only for an upstream that would probably take the request, and if that one
// does not, the request returns.

#include <algorithm>
#include <string>
#include <utility>

#include "routing/decision_log.h"
#include "routing/request_router.h"

namespace monsoonreel {

namespace {

// A stream without a complete event for the longest of these times has stalled:
// half of the time after which callers time out.
constexpr duration shortest_stall = std::chrono::seconds(1);
constexpr int stall_targets = 2;
constexpr int stall_pauses = 4;
// Interval at which a stalled stream is checked again: another upstream may
// have room meanwhile.
constexpr duration stall_check_period = std::chrono::milliseconds(200);
// Delay of the return to an upstream, and of a further try if it is full.
constexpr duration return_delay = std::chrono::milliseconds(150);

duration stallTime(const host_route &Route) {
  return std::max({shortest_stall, stall_targets * Route.Target,
                   stall_pauses * Route.PauseTarget.value_or(duration{})});
}

} // namespace

// An upstream that this entry does not read is not silent.
bool request_router::hasStalled(const active_request &Request,
                                const router_context &Context) const {
  return Request.Attempt && Request.Route->Kind == repeat_kind::Stream &&
         Request.Route->Resumable && !Request.CallerLags &&
         Context.Now >= Request.NextStallCheck &&
         Context.Now - Request.ProgressAt >= stallTime(*Request.Route);
}

void request_router::onCallerLags(const caller_lags &Lag, steady_time Now) {
  auto It = Requests.find(Lag.Request);
  if (It == Requests.end())
    return;
  active_request &Request = *It->second;
  Request.CallerLags = Lag.Lags;
  // The time without events counts from when the upstream is read again.
  Request.ProgressAt = Now;
}

std::string request_router::reasonToStay(const active_request &Request,
                                         const router_context &Context) {
  if (!mayRepeat(Request, Context))
    return "not-repeatable";
  if (!hasOpenUpstream(queryFor(Request, Context),
                       inputsFor(Request.Service->Name),
                       Context.Now - stallTime(*Request.Route)))
    return "no-open-upstream";
  if (!Services.Budget.tryResend(Request.Service->Name, Context.Now))
    return "no-budget";
  return {};
}

void request_router::onStalled(active_request &Request,
                               const router_context &Context,
                               routing_effects &Effects) {
  Request.NextStallCheck = Context.Now + stall_check_period;
  std::string Reason = reasonToStay(Request, Context);
  if (!Reason.empty()) {
    if (!std::exchange(Request.StallLogged, true))
      Effects.push_back(decision("stalled-stream-stays")
                            .add("request", Request.Arrived.CallerId)
                            .add("upstream", Request.Upstream)
                            .add("reason", Reason)
                            .add("silent", Context.Now - Request.ProgressAt)
                            .add("events", Request.eventsOfAttempt())
                            .line(log_level::Info));
    return;
  }
  Effects.push_back(route_cancel{*Request.Attempt});
  Request.Knowledge = execution_outcome::Unknown;
  Request.Former = Request.run();
  logFailure(Request, "stalled", Context, Effects);
  resend(Request, "stalled", Context, Effects);
}

const upstream_state *
request_router::formerUpstream(const active_request &Request) const {
  for (const upstream_state *Each : allowedUpstreams(Request))
    if (Each->Entry.Name == Request.Former->Name &&
        Each->Entry.StartedAt == Request.Former->StartedAt)
      return Each;
  return nullptr;
}

bool request_router::awaitReturn(active_request &Request, const char *Why,
                                 const router_context &Context,
                                 routing_effects &Effects) {
  if (!Request.Former || !formerUpstream(Request) ||
      Request.EndsAt - Context.Now < min_resend_time ||
      heldBack(Request, Context))
    return false;
  endAttempt(Request, Context);
  Request.ReturnAt = Context.Now + return_delay;
  Effects.push_back(decision("stream-returns")
                        .add("request", Request.Arrived.CallerId)
                        .add("upstream", Request.Former->Name)
                        .add("reason", Why)
                        .add("time_left", Request.EndsAt - Context.Now)
                        .line(log_level::Info));
  return true;
}

void request_router::returnToFormer(active_request &Request,
                                    const router_context &Context,
                                    routing_effects &Effects) {
  Request.ReturnAt.reset();
  if (endIfHeld(Request, Context, Effects))
    return;
  placement Chosen;
  Chosen.Upstream = formerUpstream(Request);
  if (!Chosen.Upstream) {
    Request.Former.reset();
    return endWithFailure(Request,
                          reasonForNoUpstream(Request, Context, Effects),
                          Context, Effects);
  }
  const upstream_name &Name = Chosen.Upstream->Entry.Name;
  if (!Services.Limits.maySend(Name, Context.Now) ||
      !Services.Budget.tryResend(Request.Service->Name, Context.Now)) {
    Request.ReturnAt = Context.Now + return_delay;
    return;
  }
  placement_query Query = queryFor(Request, Context);
  Chosen.Use = Services.Load.at(Name);
  if (Query.Prompt)
    Chosen.UnreadTokens =
        Services.Cache.unreadTokens(Name, *Query.Prompt, Context.Now);
  Effects.push_back(
      count_metric{"monsoonreel_resends_total", {{"reason", "returned"}}});
  // It is not a further upstream that receives the request.
  --Request.Sent;
  dispatch(Request, Query, Chosen, Context, Effects);
}

} // namespace monsoonreel
