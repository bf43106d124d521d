// The part of `request_table` that handles attempts at upstreams.

#include <algorithm>
#include <utility>

#include "monsoonreel/invariant.h"
#include "monsoonreel/mechanism.h"
#include "monsoonreel/request_table.h"

namespace monsoonreel {

namespace {

constexpr int status_ok = 200;
constexpr int first_server_error = 500;

} // namespace

void request_table::onHeaders(const attempt_headers &Headers,
                              const event &Event, effect_list &Effects) {
  active_request *Request = findByAttempt(Headers.Attempt);
  if (!Request || !Request->Attempt)
    return;
  running_attempt &Attempt = *Request->Attempt;
  Attempt.Status = Headers.Status;
  Attempt.ProgressAt = Event.Now;
  bool Failed = Headers.SaidNotRun || Headers.Status >= first_server_error;
  // A partly sent streamed answer can only be continued by a response with a
  // success status.
  bool Unusable = Request->Answer.isForwarding() && Headers.Status != status_ok;
  if (Headers.SaidNotRun)
    Request->Knowledge = Attempt.KnowledgeBefore;
  if (Unusable || (Failed && mayRetry(*Request, Event.Now)) ||
      Headers.SaidNotRun) {
    Effects.push_back(cancel_attempt{Headers.Attempt});
    failAttempt(*Request, wire::slot_result::Failed,
                "the upstream answered " + std::to_string(Headers.Status),
                Event, Effects);
    applyPending(Event, Effects);
    return;
  }
  Request->Answer.begin(Headers.Status, Headers.ContentType, Attempt.Upstream,
                        Effects);
}

void request_table::onChunk(const attempt_chunk &Chunk, const event &Event,
                            effect_list &Effects) {
  active_request *Request = findByAttempt(Chunk.Attempt);
  if (!Request || !Request->Attempt)
    return;
  running_attempt &Attempt = *Request->Attempt;
  if (!invariantHolds(Effects, Attempt.Status != 0, "head-before-body",
                      std::to_string(Chunk.Attempt.Value)))
    return;
  Attempt.ProgressAt = Event.Now;
  if (!Attempt.FirstTokenAt)
    Attempt.FirstTokenAt = Event.Now;
  Attempt.OutputTokens += Chunk.Tokens;
  if (!Request->FirstTokenAt)
    Request->FirstTokenAt = Event.Now;
  if (Chunk.Tokens > 0)
    Request->LastTokenAt = Event.Now;
  Request->Answer.add(Chunk.Data, Chunk.Tokens, Effects);
}

void request_table::onFinished(const attempt_finished &Finished,
                               const event &Event, effect_list &Effects) {
  active_request *Request = findByAttempt(Finished.Attempt);
  if (!Request || !Request->Attempt)
    return;
  Request->Knowledge = execution_outcome::Run;
  Request->Answer.finish(Effects);
  endAttempt(*Request, wire::slot_result::Completed, Event, Effects);
  finish(*Request, Event, Effects);
  applyPending(Event, Effects);
}

void request_table::onFailed(const attempt_failed &Failed, const event &Event,
                             effect_list &Effects) {
  active_request *Request = findByAttempt(Failed.Attempt);
  if (!Request || !Request->Attempt)
    return;
  if (Failed.Failure == attempt_failure::NeverSent)
    Request->Knowledge = Request->Attempt->KnowledgeBefore;
  failAttempt(*Request, wire::slot_result::Failed, Failed.Detail, Event,
              Effects);
  applyPending(Event, Effects);
}

void request_table::failAttempt(active_request &Request,
                                wire::slot_result::type Result,
                                const std::string &Detail, const event &Event,
                                effect_list &Effects) {
  Request.Excluded.push_back(Request.Attempt->Upstream);
  endAttempt(Request, Result, Event, Effects);
  retryOrRefuse(Request, Detail, Event, Effects);
}

void request_table::endAttempt(active_request &Request,
                               wire::slot_result::type Result,
                               const event &Event, effect_list &Effects) {
  const running_attempt &Attempt = *Request.Attempt;
  slot_report Report;
  Report.Result = Result;
  // The first token of an answer that is not streamed arrives with the last
  // one, so its time does not measure the engine's speed.
  bool Timed = Request.Head.Stream || Request.Head.Model.empty();
  if (Attempt.FirstTokenAt && Timed)
    Report.FirstToken = *Attempt.FirstTokenAt - Attempt.StartedAt;
  Report.Total = Event.Now - Attempt.StartedAt;
  Report.OutputTokens = Attempt.OutputTokens;
  if (isEnabled(mechanism::AttemptFilter))
    RequestByAttempt.erase(Attempt.Number);
  Request.Attempt.reset();
  Services.Slots.release(Request.Head.Request, Report, Event.Now, Effects,
                         Pending);
}

void request_table::cancelAttempt(active_request &Request, const event &Event,
                                  effect_list &Effects) {
  Effects.push_back(cancel_attempt{Request.Attempt->Number});
  endAttempt(Request, wire::slot_result::Cancelled, Event, Effects);
}

bool request_table::canResume(const active_request &Request) const {
  if (!Request.Answer.isForwarding())
    return true;
  // Another engine can continue a stream after the tokens that the caller has.
  // Services other than engines can't, and an answer that is not a stream can't
  // be continued once part of it was sent.
  return Request.Head.Stream && !Request.Head.Model.empty();
}

bool request_table::mayRetry(const active_request &Request, steady_time Now) {
  bool Repeatable = Request.Admitted.Idempotent ||
                    Request.Knowledge == execution_outcome::NotRun ||
                    !isEnabled(mechanism::RetryOnlyIdempotent);
  return Repeatable && canResume(Request) && !Request.CallerGone &&
         Request.Attempts < max_attempts && Now < Request.Admitted.Deadline;
}

void request_table::retryOrRefuse(active_request &Request,
                                  const std::string &Detail, const event &Event,
                                  effect_list &Effects) {
  if (mayRetry(Request, Event.Now) &&
      Services.Retries.tryRetry(Request.Admitted.Organisation, Services.Zone)) {
    Request.Answer.restart();
    Effects.push_back(
        count_metric{"monsoonreel_retries_total",
                     {{"class", Request.Admitted.Class.Name.Value}}});
    askForSlot(Request, Event, Effects);
    return;
  }
  Request.Phase = request_phase::Pausing; // it has neither a slot nor an ask
  refuse_request Refusal;
  Refusal.Status = 502;
  Refusal.Code = "upstream-failed";
  Refusal.Message = Detail;
  Refusal.RetryAfter = failure_retry_after;
  endWithRefusal(Request, std::move(Refusal), Event, Effects);
}

} // namespace monsoonreel
