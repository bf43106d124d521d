#include "monsoonreel/request_table.h"

#include <algorithm>
#include <set>
#include <utility>

#include "monsoonreel/invariant.h"
#include "monsoonreel/mechanism.h"
#include "monsoonreel/request_metrics.h"

namespace monsoonreel {

namespace {

refuse_request makeRefusal(int Status, std::string Code, std::string Message,
                           duration RetryAfter = {}) {
  refuse_request Refusal;
  Refusal.Status = Status;
  Refusal.Code = std::move(Code);
  Refusal.Message = std::move(Message);
  Refusal.RetryAfter = RetryAfter;
  return Refusal;
}

// The refusal when the deadline passed during the wait for a claim or a slot.
refuse_request deadlinePassedBeforeRun(duration RetryAfter) {
  return makeRefusal(504, "deadline-passed",
                     "The deadline passed before the request could run.",
                     RetryAfter);
}

refuse_request refusalOf(const slot_refused &Refused) {
  duration After = Refused.RetryAfter;
  switch (Refused.Reason) {
  case wire::refusal_reason::QueueFull:
    return makeRefusal(503, "queue-full", "Too many requests wait.", After);
  case wire::refusal_reason::TargetUnreachable:
    return makeRefusal(503, "target-unreachable",
                       "The request can't be answered in time now.", After);
  case wire::refusal_reason::NoUpstream:
    return makeRefusal(503, "no-upstream",
                       "No upstream can take the request now.", After);
  case wire::refusal_reason::OrganisationLimit:
    return makeRefusal(429, "organisation-limit",
                       "Your organisation's limit is reached.", After);
  case wire::refusal_reason::NotOwner:
  case wire::refusal_reason::ShuttingDown:
    return makeRefusal(503, "owner-changed", "Please try again.", After);
  case wire::refusal_reason::DeadlinePassed:
    return deadlinePassedBeforeRun(After);
  }
  return makeRefusal(503, "refused", "The request was refused.", After);
}

refuse_request refusalOf(const claim_result &Result) {
  duration After = Result.RetryAfter;
  switch (Result.Decision) {
  case claim_decision::InProgress:
    return makeRefusal(409, "in-progress",
                       "A request with this idempotency key is being run.",
                       After);
  case claim_decision::OutcomeUnknown:
    return makeRefusal(409, "outcome-unknown",
                       "A request with this idempotency key may have run; it "
                       "will not be run again.");
  case claim_decision::Finished:
    return makeRefusal(409, "already-run",
                       "The request has run; its answer was not kept.");
  case claim_decision::Mismatch:
    return makeRefusal(422, "idempotency-key-reused",
                       "The idempotency key was used for another request.");
  case claim_decision::KeyExpired:
    return makeRefusal(409, "idempotency-key-expired",
                       "The idempotency key is too old to be checked.");
  case claim_decision::InvalidKey:
    return makeRefusal(400, "bad-idempotency-key",
                       "The idempotency key must be 1 to 255 printable "
                       "characters.");
  case claim_decision::DeadlinePassed:
    return deadlinePassedBeforeRun(After);
  case claim_decision::Dispatch:
  case claim_decision::Unavailable:
    break;
  }
  return makeRefusal(503, "claims-unavailable",
                     "The idempotency key can't be claimed now.", After);
}

} // namespace

// ------------------------------------------------------------------ callers

void request_table::onArrival(const request_arrived &Arrived,
                              const admitted_request &Admitted,
                              const event &Event, effect_list &Effects) {
  if (Requests.size() >= max_active_requests) {
    refuse_request Refusal =
        makeRefusal(503, "entry-full", "This entry holds too many requests.",
                    failure_retry_after);
    Refusal.Request = Arrived.Request;
    Effects.push_back(std::move(Refusal));
    return;
  }
  auto [Place, New] = Requests.emplace(
      Arrived.Request, active_request(Arrived, Admitted, Event.Now));
  if (!invariantHolds(Effects, New, "request-id-unique",
                      std::to_string(Arrived.Request.Value)))
    return;
  active_request &Request = Place->second;
  Services.Retries.onRequest(Admitted.Organisation, Services.Zone);
  if (Admitted.NeedsClaim && isEnabled(mechanism::ClaimBeforeDispatch)) {
    Request.Phase = request_phase::Claiming;
    Services.Claims.ask({Arrived.Request, Admitted.Organisation,
                         *Arrived.IdempotencyKey, Arrived.BodyHash,
                         Admitted.Deadline},
                        Event.Now, Event.Wall, Services.Members, Effects);
    return;
  }
  askForSlot(Request, Event, Effects);
  applyPending(Event, Effects);
}

void request_table::onCallerGone(request_id Id, const event &Event,
                                 effect_list &Effects) {
  active_request *Request = find(Id);
  if (!Request)
    return;
  Request->CallerGone = true;
  Request->Answer.detach();
  // A non-idempotent request that was sent runs to completion, so that a repeat
  // with the same idempotency key can get the outcome.
  if (Request->Phase == request_phase::Running && !Request->Admitted.Idempotent)
    return;
  endWithRefusal(*Request, makeRefusal(499, "caller-gone", ""), Event, Effects);
  applyPending(Event, Effects);
}

void request_table::withdrawKey(const key_hash &Hash, const event &Event,
                                effect_list &Effects) {
  if (!isEnabled(mechanism::WithdrawalCancels))
    return;
  std::vector<request_id> Affected;
  for (const auto &[Id, Request] : Requests)
    if (Request.Head.Key == Hash && !Request.Admitted.Organisation.empty())
      Affected.push_back(Id);
  for (request_id Id : Affected)
    if (active_request *Request = find(Id))
      endWithRefusal(
          *Request, makeRefusal(401, "key-withdrawn", "The key was withdrawn."),
          Event, Effects);
  applyPending(Event, Effects);
}

std::vector<key_hash> request_table::keysInUse() const {
  std::set<key_hash> Keys;
  for (const auto &[Id, Request] : Requests)
    if (Request.Head.Key)
      Keys.insert(*Request.Head.Key);
  return {Keys.begin(), Keys.end()};
}

// ------------------------------------------------------------------- claims

void request_table::onClaimResults(const std::vector<claim_result> &Results,
                                   const event &Event, effect_list &Effects) {
  for (const claim_result &Result : Results) {
    active_request *Request = find(Result.Request);
    if (!Request || Request->Phase != request_phase::Claiming) {
      // The request has already ended, so the claim is settled as not run.
      if (Result.Decision == claim_decision::Dispatch)
        Services.Claims.settle(Result.Request, wire::run_outcome::NotRun, {},
                               Event.Now, Services.Members, Effects);
      continue;
    }
    if (Result.Decision == claim_decision::Dispatch) {
      Request->ClaimWon = true;
      askForSlot(*Request, Event, Effects);
    } else {
      answerDuplicate(*Request, Result, Event, Effects);
    }
  }
  applyPending(Event, Effects);
}

void request_table::answerDuplicate(active_request &Request,
                                    const claim_result &Result,
                                    const event &Event, effect_list &Effects) {
  Request.Phase = request_phase::Waiting; // there is no claim to cancel
  Request.Knowledge = outcomeOf(Result.Decision);
  if (Result.Decision != claim_decision::Finished || !Result.Answer ||
      !Result.Answer->BodyKept) {
    endWithRefusal(Request, refusalOf(Result), Event, Effects);
    return;
  }
  const wire::recorded_answer &Recorded = *Result.Answer;
  Request.Answer.begin(Recorded.Status, Recorded.ContentType, upstream_name(),
                       Effects);
  Request.Answer.add(Recorded.Body, 0, Effects);
  Request.Answer.finish(Effects);
  finish(Request, Event, Effects);
}

void request_table::settleClaim(active_request &Request, const event &Event,
                                effect_list &Effects) {
  if (!Request.ClaimWon)
    return;
  wire::run_outcome::type Outcome = wire::run_outcome::Unknown;
  std::optional<wire::recorded_answer> Answer;
  if (Request.Knowledge == execution_outcome::NotRun)
    Outcome = wire::run_outcome::NotRun;
  if (Request.Knowledge == execution_outcome::Run) {
    Outcome = wire::run_outcome::Run;
    Answer = Request.Answer.recorded();
  }
  Services.Claims.settle(Request.Head.Request, Outcome, std::move(Answer),
                         Event.Now, Services.Members, Effects);
}

// -------------------------------------------------------------------- slots

void request_table::askForSlot(active_request &Request, const event &Event,
                               effect_list &Effects) {
  const admitted_request &Admitted = Request.Admitted;
  Request.Phase = request_phase::Waiting;
  slot_request Ask;
  Ask.Request = Request.Head.Request;
  Ask.Pool = Admitted.Pool;
  Ask.Class = Admitted.Class.Name;
  Ask.Tier = Admitted.Class.Tier;
  Ask.Organisation = Admitted.Organisation;
  Ask.Target = Request.ArrivedAt + Admitted.Class.FirstTokenTarget;
  Ask.WaitDeadline =
      std::min(Admitted.Deadline, Event.Now + Admitted.MaxQueueWait);
  Ask.PromptTokens = Request.Head.PromptTokens;
  Ask.MaxTokens = Request.Head.MaxTokens;
  Ask.PrefixHash = Request.Head.PrefixHash;
  Ask.Idempotent = Admitted.Idempotent;
  Ask.Resumed = Request.Attempts > 0;
  Ask.Excluded = Request.Excluded;
  Services.Slots.ask(Ask, Event.Now, Event.Random, Effects, Pending);
}

void request_table::onSlotOutcomes(slot_outcome_list &Outcomes,
                                   const event &Event, effect_list &Effects) {
  Pending.insert(Pending.end(), std::make_move_iterator(Outcomes.begin()),
                 std::make_move_iterator(Outcomes.end()));
  Outcomes.clear();
  applyPending(Event, Effects);
}

void request_table::applyPending(const event &Event, effect_list &Effects) {
  while (!Pending.empty()) {
    slot_outcome_list Now = std::exchange(Pending, {});
    for (const slot_outcome &Outcome : Now) {
      if (const auto *Granted = std::get_if<slot_granted>(&Outcome))
        onGranted(*Granted, Event, Effects);
      else if (const auto *Refused = std::get_if<slot_refused>(&Outcome))
        onRefused(*Refused, Event, Effects);
      else
        onPreempted(std::get<slot_preempted>(Outcome), Event, Effects);
    }
  }
}

void request_table::releaseUnused(request_id Id, const event &Event,
                                  effect_list &Effects) {
  slot_report Report;
  Report.Result = wire::slot_result::NeverSent;
  Services.Slots.release(Id, Report, Event.Now, Effects, Pending);
}

void request_table::onGranted(const slot_granted &Granted, const event &Event,
                              effect_list &Effects) {
  active_request *Request = find(Granted.Request);
  const upstream *Target = Services.Slots.findUpstream(Granted.Upstream);
  if (!Request || Request->Phase != request_phase::Waiting || !Target) {
    releaseUnused(Granted.Request, Event, Effects);
    if (Request && Request->Phase == request_phase::Waiting)
      askForSlot(*Request, Event, Effects);
    return;
  }
  // The key is checked again, because the request may have waited for long or
  // this process may have been suspended.
  const admitted_request &Admitted = Request->Admitted;
  if (!Admitted.Organisation.empty() &&
      !mayTrustKeys(Admitted.KeyTrust, Services.Members.freshness(),
                    Event.Now)) {
    releaseUnused(Granted.Request, Event, Effects);
    return endWithRefusal(*Request, keysStale(Request->Head), Event, Effects);
  }
  if (mayDispatch(*Request, Effects))
    dispatch(*Request, Granted, Event, Effects);
}

bool request_table::mayDispatch(const active_request &Request,
                                effect_list &Effects) const {
  std::string Id = std::to_string(Request.Head.Request.Value);
  const admitted_request &Admitted = Request.Admitted;
  bool FirstRun =
      Admitted.Idempotent || Request.Knowledge == execution_outcome::NotRun;
  return invariantHolds(Effects, FirstRun, "non-idempotent-at-most-once", Id) &&
         invariantHolds(Effects, !Admitted.NeedsClaim || Request.ClaimWon,
                        "claim-before-dispatch", Id) &&
         invariantHolds(Effects, !Request.Attempt && !Request.Answer.isEnded(),
                        "one-attempt-at-a-time", Id);
}

void request_table::dispatch(active_request &Request,
                             const slot_granted &Granted, const event &Event,
                             effect_list &Effects) {
  ++LastAttempt.Value;
  ++Request.Attempts;
  running_attempt Attempt;
  Attempt.Number = LastAttempt;
  Attempt.Upstream = Granted.Upstream;
  Attempt.StartedAt = Event.Now;
  Attempt.ProgressAt = Event.Now;
  Attempt.KnowledgeBefore = Request.Knowledge;
  Request.Attempt = Attempt;
  Request.Knowledge = execution_outcome::Unknown;
  Request.Phase = request_phase::Running;
  RequestByAttempt[LastAttempt] = Request.Head.Request;

  dispatch_attempt Effect;
  Effect.Attempt = LastAttempt;
  Effect.Request = Request.Head.Request;
  Effect.Upstream = Granted.Upstream;
  Effect.Address = Services.Slots.findUpstream(Granted.Upstream)->Address;
  Effect.Priority = Granted.Priority;
  Effect.ResumeAfterTokens = Request.Answer.tokens();
  Effect.FreshConnection = Granted.FreshConnection || Request.Attempts > 1;
  Effects.push_back(std::move(Effect));
}

void request_table::onRefused(const slot_refused &Refused, const event &Event,
                              effect_list &Effects) {
  active_request *Request = find(Refused.Request);
  if (!Request || Request->Phase != request_phase::Waiting)
    return;
  if (!Request->Answer.isForwarding()) {
    endWithRefusal(*Request, refusalOf(Refused), Event, Effects);
    return;
  }
  Request->Phase = request_phase::Pausing;
  Request->AskAgainAt =
      Event.Now +
      std::min(ask_again_pause, std::max(Refused.RetryAfter, tick_period));
}

void request_table::onPreempted(const slot_preempted &Preempted,
                                const event &Event, effect_list &Effects) {
  active_request *Request = find(Preempted.Request);
  if (!Request || Request->Phase != request_phase::Running)
    return;
  if (!invariantHolds(Effects, Request->Admitted.Idempotent,
                      "preempts-idempotent-only",
                      std::to_string(Preempted.Request.Value)))
    return;
  cancelAttempt(*Request, Event, Effects);
  Request->Answer.restart();
  Effects.push_back(
      count_metric{"monsoonreel_preemptions_total",
                   {{"class", Request->Admitted.Class.Name.Value}}});
  askForSlot(*Request, Event, Effects);
}

// ---------------------------------------------------------------- time, end

void request_table::onTick(const event &Event, effect_list &Effects) {
  std::vector<request_id> Ids;
  Ids.reserve(Requests.size());
  for (const auto &[Id, Request] : Requests)
    Ids.push_back(Id);
  for (request_id Id : Ids)
    if (active_request *Request = find(Id))
      checkTimes(*Request, Event, Effects);
  applyPending(Event, Effects);
}

void request_table::checkTimes(active_request &Request, const event &Event,
                               effect_list &Effects) {
  if (Event.Now >= Request.Admitted.Deadline) {
    endWithRefusal(
        Request,
        makeRefusal(504, "deadline-passed",
                    "The deadline passed before the answer was complete.",
                    failure_retry_after),
        Event, Effects);
    return;
  }
  if (Request.Phase == request_phase::Pausing &&
      Event.Now >= Request.AskAgainAt) {
    askForSlot(Request, Event, Effects);
    return;
  }
  if (hasTimedOut(Request, Event.Now)) {
    Effects.push_back(cancel_attempt{Request.Attempt->Number});
    failAttempt(Request, wire::slot_result::Silent, "the upstream is silent",
                Event, Effects);
  }
}

bool request_table::hasTimedOut(const active_request &Request,
                                steady_time Now) const {
  if (!Request.Attempt || !Request.Admitted.Idempotent)
    return false;
  const service_class &Class = Request.Admitted.Class;
  duration Limit =
      Request.Attempt->FirstTokenAt
          ? std::max(Class.BetweenTokensTarget * between_tokens_timeout_factor,
                     min_between_tokens_timeout)
          : std::max(Class.FirstTokenTarget * first_token_timeout_factor,
                     min_first_token_timeout);
  // Without streaming, an engine sends nothing before the last token.
  if (!Request.Head.Stream) {
    int Tokens = Request.Head.MaxTokens > 0 ? Request.Head.MaxTokens
                                            : assumed_answer_tokens;
    Limit += Class.BetweenTokensTarget * (2 * Tokens);
  }
  return Now - Request.Attempt->ProgressAt > Limit;
}

void request_table::endWithRefusal(active_request &Request,
                                   refuse_request Refusal, const event &Event,
                                   effect_list &Effects) {
  request_id Id = Request.Head.Request;
  switch (Request.Phase) {
  case request_phase::Claiming:
    Services.Claims.cancel(Id, Event.Now, Services.Members, Effects);
    break;
  case request_phase::Waiting:
    Services.Slots.cancel(Id, Event.Now, Effects, Pending);
    break;
  case request_phase::Running:
    cancelAttempt(Request, Event, Effects);
    break;
  case request_phase::Pausing:
    break;
  }
  Refusal.Outcome = Request.Knowledge;
  Request.RefusalCode = Refusal.Code;
  Request.Answer.giveUp(std::move(Refusal), Effects);
  finish(Request, Event, Effects);
}

void request_table::finish(active_request &Request, const event &Event,
                           effect_list &Effects) {
  settleClaim(Request, Event, Effects);
  recordUsage(Request);
  request_result Result = request_result::Refused;
  if (Request.CallerGone)
    Result = request_result::CallerGone;
  else if (Request.Knowledge == execution_outcome::Run)
    Result = request_result::Answered;
  else if (Request.Answer.isForwarding())
    Result = request_result::Aborted;
  reportRequest(Request, Result, Event.Now, Effects);
  Requests.erase(Request.Head.Request);
}

void request_table::recordUsage(const active_request &Request) {
  int Delivered = Request.Answer.tokens();
  bool Ran =
      Request.Attempts > 0 && Request.Knowledge == execution_outcome::Run;
  if (Request.Admitted.Organisation.empty() || (!Ran && Delivered == 0))
    return;
  usage_figures Figures;
  Figures.Requests = Ran ? 1 : 0;
  Figures.PromptTokens = Ran ? Request.Head.PromptTokens : 0;
  Figures.OutputTokens = Delivered;
  Services.Usage.add(Request.Admitted.Organisation, Request.Admitted.Class.Name,
                     Figures);
}

active_request *request_table::find(request_id Id) {
  auto Found = Requests.find(Id);
  return Found == Requests.end() ? nullptr : &Found->second;
}

active_request *request_table::findByAttempt(attempt_number Attempt) {
  auto Found = RequestByAttempt.find(Attempt);
  return Found == RequestByAttempt.end() ? nullptr : find(Found->second);
}

} // namespace monsoonreel
