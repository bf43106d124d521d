// Implements the part of `request_router` that handles the answers of
// upstreams.

#include <algorithm>
#include <utility>

#include "monsoonreel/http_status.h"
#include "routing/decision_log.h"
#include "routing/request_router.h"

namespace monsoonreel {

namespace {

std::string_view outcomeOf(int Status) {
  return Status < 400 ? "answered" : "upstream-failed";
}

} // namespace

void request_router::onHead(const answer_head &Head,
                            const router_context &Context,
                            routing_effects &Effects) {
  active_request *Request = findByAttempt(Head.Attempt);
  if (!Request)
    return;
  Request->Status = Head.Status;
  applyUpstreamNotices(*Request, Head, Context, Effects);
  if (!Head.WrongUpstream)
    Services.Quarantine.onAnswer(Request->run(), Request->SentAt, Context.Now);
  if (Head.WrongUpstream || Head.SaidNotRun) {
    recordGone(*Request, Head, Context, Effects);
    if (Head.WrongUpstream)
      Services.FailureTracker.onUnreachable(Request->Upstream,
                                            Request->UpstreamZone, Context.Now);
    else
      Services.FailureTracker.onFull(Request->Upstream, Context.Now);
    Effects.push_back(route_cancel{Head.Attempt});
    return resendOrFail(*Request, true,
                        Head.WrongUpstream ? "wrong-upstream" : "upstream-full",
                        Context, Effects);
  }
  Request->Knowledge = execution_outcome::Run;
  recordAnswer(*Request, Context);
  Request->Stream = Head.EventStream && Head.Status < 300;
  Request->EndsWithConnection = Head.EndsWithConnection;
  if (Request->AnswerStarted && !Request->Stream) {
    // A stream that has started cannot be continued by an answer of another
    // kind.
    Effects.push_back(route_cancel{Head.Attempt});
    return resendOrFail(*Request, true, "no-stream", Context, Effects);
  }
  Request->Held = !Request->Stream;
  if (Request->Held)
    countUsage(*Request, Context);
}

// No other answer proves that the expected run of the upstream is over: one
// that fails says so itself at most, and others could not tell it from one that
// is cut off.
void request_router::recordGone(const active_request &Request,
                                const answer_head &Head,
                                const router_context &Context,
                                routing_effects &Effects) {
  bool IsOther = Head.WrongUpstream && !Head.AnsweredBy.empty() &&
                 Head.AnsweredBy != Request.Upstream;
  if (!IsOther || !Services.Registry.find(Request.Upstream) ||
      !Services.Registry.onLeaving(
          {Request.Upstream, Request.UpstreamStartedAt}, Context.Now))
    return;
  Effects.push_back(decision("upstream-gone")
                        .add("request", Request.Arrived.CallerId)
                        .add("upstream", Request.Upstream)
                        .add("answered_by", Head.AnsweredBy)
                        .add("registry_age", Context.RegistryAge)
                        .line(log_level::Info));
}

// Some requests fail at every upstream. The failure of a request that may be
// sent again is therefore counted against its upstream only when another
// upstream answers the request without a failure.
void request_router::recordAnswer(active_request &Request,
                                  const router_context &Context) {
  bool Failed = Request.Status >= 500;
  if (Failed && Request.UnconfirmedFailure) {
    Request.UnconfirmedFailure.reset();
    return;
  }
  if (Failed && Request.Route->mayRepeat() &&
      Request.Sent < Request.Route->MaxAttempts) {
    Request.UnconfirmedFailure = {Request.Upstream, Request.UpstreamZone};
    return;
  }
  Services.FailureTracker.onAnswer(Request.Upstream, Request.UpstreamZone,
                                   Failed, Context.Now);
  if (auto UnconfirmedFailure =
          std::exchange(Request.UnconfirmedFailure, std::nullopt))
    Services.FailureTracker.onAnswer(UnconfirmedFailure->first,
                                     UnconfirmedFailure->second, true,
                                     Context.Now);
}

void request_router::applyUpstreamNotices(const active_request &Request,
                                          const answer_head &Head,
                                          const router_context &Context,
                                          routing_effects &Effects) {
  if (Head.BackoffFor) {
    Services.FailureTracker.onBackoffRequested(Request.Upstream,
                                               Context.Now + *Head.BackoffFor);
    Effects.push_back(decision("upstream-rests")
                          .add("request", Request.Arrived.CallerId)
                          .add("upstream", Request.Upstream)
                          .add("for", *Head.BackoffFor)
                          .line(log_level::Warning));
  }
  bool LimitChanged =
      !Head.WrongUpstream &&
      Services.Limits.onAnswer(Request.Upstream, Head.RequestLimit,
                               Request.SentAt, Context.Now);
  if (LimitChanged)
    Effects.push_back(
        decision("upstream-limit")
            .add("request", Request.Arrived.CallerId)
            .add("upstream", Request.Upstream)
            .add("limit", Services.Limits.describe(Request.Upstream))
            .add("sent_ago", Context.Now - Request.SentAt)
            .line(log_level::Info));
  // An answer from the new owner of the address says nothing about the expected
  // upstream.
  const upstream_state *Known = Services.Registry.find(Request.Upstream);
  if (!Head.Leaving || Head.WrongUpstream || !Known)
    return;
  if (Services.Registry.onLeaving({Request.Upstream, Known->Entry.StartedAt},
                                  Context.Now))
    Effects.push_back(decision("upstream-leaving")
                          .add("request", Request.Arrived.CallerId)
                          .add("upstream", Request.Upstream)
                          .add("registry_age", Context.RegistryAge)
                          .line(log_level::Info));
}

void request_router::countUsage(active_request &Request,
                                const router_context &Context) {
  if (std::exchange(Request.Counted, true) || Request.Organisation.empty())
    return;
  // A request whose answer is not a stream is counted at the time at which it
  // was sent.
  duration Ago = Request.Stream ? duration{} : Context.Now - Request.SentAt;
  Services.Usage.count(Request.Organisation, Context.TrueTime - Ago);
}

void request_router::onData(const answer_data &Data,
                            const router_context &Context,
                            routing_effects &Effects) {
  active_request *Request = findByAttempt(Data.Attempt);
  if (!Request)
    return;
  if (Request->Stream)
    return onStreamData(*Request, Data.Data, Context, Effects);
  if (!Request->Held) {
    Effects.push_back(route_write{Request->Arrived.Request, Data.Data});
    return;
  }
  Request->Body += Data.Data;
  if (Request->Body.size() <= max_buffered_answer_bytes)
    return;
  Request->Held = false;
  Request->AnswerStarted = true;
  Effects.push_back(route_begin{Request->Arrived.Request, Data.Attempt});
  Effects.push_back(
      route_write{Request->Arrived.Request, std::exchange(Request->Body, {})});
}

void request_router::observeTiming(const active_request &Request,
                                   const router_context &Context) {
  if (!isTimed(Request))
    return;
  const pool_name &Service = Request.Service->Name;
  if (Request.BeganAt)
    return Services.Model.onEventGap(Service, Request.Upstream,
                                     Context.Now - Request.ProgressAt,
                                     Context.Now);
  duration Delay = Context.Now - Request.SentAt;
  Services.Model.onPrediction(Service, Request.PredictedFirst, Delay,
                              Context.Now);
  if (Request.ReadsAtOnce)
    Services.Model.onFirstEvent(Service, Request.Upstream,
                                Request.UnreadWhenSent, Delay, Context.Now);
}

bool request_router::isTimed(const active_request &Request) {
  return Request.Arrived.Prompt && Request.Service &&
         isPlacedByTimes(*Request.Service,
                         Request.Table->routesTo(Request.Service->Name));
}

void request_router::onStreamData(active_request &Request,
                                  const std::string &Data,
                                  const router_context &Context,
                                  routing_effects &Effects) {
  Request.Events.add(Data);
  std::string Whole = Request.Events.takeCompleteEvents();
  if (Request.Events.hasGap() || Request.Events.isOversized()) {
    Effects.push_back(route_cancel{*Request.Attempt});
    return resendOrFail(Request, true, "broken-stream", Context, Effects);
  }
  if (Whole.empty())
    return;
  observeTiming(Request, Context);
  if (Request.BeganAt)
    Request.LongestGap =
        std::max(Request.LongestGap, Context.Now - Request.ProgressAt);
  Request.ProgressAt = Context.Now;
  Request.StallLogged = false;
  Request.Former.reset();
  Request.BeganAt = Request.BeganAt.value_or(Context.Now);
  if (Request.eventsOfAttempt() >= sound_answer_events &&
      !std::exchange(Request.SoundRecorded, true))
    recordSound(Request, Context);
  Services.Load.onFirstAnswer(*Request.Attempt);
  countUsage(Request, Context);
  if (!std::exchange(Request.AnswerStarted, true)) {
    Effects.push_back(route_begin{Request.Arrived.Request, *Request.Attempt});
    Effects.push_back(observe_metric{
        "monsoonreel_first_event_seconds",
        {{"route", Request.Route->Name}},
        std::chrono::duration<double>(Context.Now - Request.ArrivedAt)
            .count()});
  }
  Effects.push_back(route_write{Request.Arrived.Request, std::move(Whole)});
}

void request_router::onEnd(const answer_end &End, const router_context &Context,
                           routing_effects &Effects) {
  active_request *Request = findByAttempt(End.Attempt);
  if (!Request)
    return;
  // A stream without a length or events may have ended with its upstream. The
  // continuation of a stream has none if the stream was complete.
  bool IsEmpty = Request->EndsWithConnection && !Request->AnswerStarted &&
                 Request->eventsOfAttempt() == 0;
  if (Request->Stream && (Request->Events.hasPartialEvent() || IsEmpty)) {
    recordBreak(*Request, Context);
    return resendOrFail(*Request, true, "broken-stream", Context, Effects);
  }
  if (Request->Status < http_status::bad_request &&
      (!Request->Stream || Request->eventsOfAttempt() > 0))
    recordSound(*Request, Context);
  request_id Id = Request->Arrived.Request;
  if (Request->Held) {
    route_answer Answer{Id, End.Attempt, std::move(Request->Body)};
    if (Request->Status >= 500 && Request->Route->mayRepeat() &&
        mayResend(*Request, true, Context)) {
      Request->Fallback = std::move(Answer);
      endAttempt(*Request, Context);
      Request->Body.clear();
      Effects.push_back(
          count_metric{"monsoonreel_resends_total", {{"reason", "failure"}}});
      return send(*Request, Context, Effects);
    }
    // No second attempt was made, so the failure is attributed to the upstream.
    if (auto UnconfirmedFailure =
            std::exchange(Request->UnconfirmedFailure, std::nullopt))
      Services.FailureTracker.onAnswer(UnconfirmedFailure->first,
                                       UnconfirmedFailure->second, true,
                                       Context.Now);
    Effects.push_back(std::move(Answer));
  } else {
    if (!std::exchange(Request->AnswerStarted, true))
      Effects.push_back(route_begin{Id, End.Attempt});
    Effects.push_back(route_finish{Id});
  }
  close(*Request, outcomeOf(Request->Status).data(), Context, Effects);
}

void request_router::onFailed(const route_attempt_failed &Failed,
                              const router_context &Context,
                              routing_effects &Effects) {
  active_request *Request = findByAttempt(Failed.Attempt);
  if (!Request)
    return;
  if (Failed.Failure == attempt_failure::NeverSent) {
    --Request->Sent;
    Services.FailureTracker.onUnreachable(Request->Upstream,
                                          Request->UpstreamZone, Context.Now);
    Request->FailureDetail = Failed.Detail;
    return resendOrFail(*Request, false, "unreachable", Context, Effects);
  }
  if (Request->Knowledge == execution_outcome::NotRun)
    Request->Knowledge = execution_outcome::Unknown;
  recordBreak(*Request, Context);
  if (Request->Status == 0)
    Services.FailureTracker.onUnreachable(Request->Upstream,
                                          Request->UpstreamZone, Context.Now);
  Request->FailureDetail = Failed.Detail;
  resendOrFail(*Request, true,
               Failed.Failure == attempt_failure::Truncated ? "truncated"
                                                            : "broken",
               Context, Effects);
}

} // namespace monsoonreel
