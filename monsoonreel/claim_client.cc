#include "monsoonreel/claim_client.h"

#include <algorithm>
#include <utility>

#include "monsoonreel/claim_routing.h"
#include "monsoonreel/invariant.h"
#include "monsoonreel/mechanism.h"

namespace monsoonreel {

namespace {

claim_decision decisionOf(wire::claim_verdict::type Verdict) {
  switch (Verdict) {
  case wire::claim_verdict::Won:
    return claim_decision::Dispatch;
  case wire::claim_verdict::InProgress:
    return claim_decision::InProgress;
  case wire::claim_verdict::Finished:
    return claim_decision::Finished;
  case wire::claim_verdict::OutcomeUnknown:
    return claim_decision::OutcomeUnknown;
  case wire::claim_verdict::Mismatch:
    return claim_decision::Mismatch;
  case wire::claim_verdict::Expired:
    return claim_decision::KeyExpired;
  case wire::claim_verdict::Unavailable:
    break;
  }
  return claim_decision::Unavailable;
}

duration settlePeriod(size_t Tries) {
  constexpr size_t MaxDoublings = 5;
  size_t Doublings = std::min(Tries, MaxDoublings);
  return std::min(settle_retry_period * (int64_t{1} << Doublings),
                  max_settle_retry_period);
}

} // namespace

execution_outcome outcomeOf(claim_decision Decision) {
  switch (Decision) {
  case claim_decision::Finished:
    return execution_outcome::Run;
  case claim_decision::InProgress:
  case claim_decision::OutcomeUnknown:
    return execution_outcome::Unknown;
  case claim_decision::Dispatch:
  case claim_decision::Mismatch:
  case claim_decision::KeyExpired:
  case claim_decision::Unavailable:
  case claim_decision::DeadlinePassed:
  case claim_decision::InvalidKey:
    break;
  }
  return execution_outcome::NotRun;
}

claim_client::claim_client(node_identity Identity)
    : Self(std::move(Identity)) {}

void claim_client::ask(const claim_request &Request, steady_time Now,
                       wall_time Wall, const membership &Members,
                       effect_list &Effects) {
  auto Key = parseIdempotencyKey(Request.Organisation, Request.Key, Wall);
  if (!Key) {
    Results.push_back({Request.Request, claim_decision::InvalidKey, {}, {}});
    return;
  }
  // Each open ask may need an outcome to be sent later, so space for the
  // outcome is reserved here.
  bool Full = Asks.size() >= max_pending_asks ||
              Settles.size() + Won.size() >= max_pending_settles;
  if (Full || Now < UnavailableUntil) {
    Results.push_back(
        {Request.Request, claim_decision::Unavailable, {}, claim_retry_after});
    return;
  }
  int64_t Sequence = NextSequence++;
  open_ask &Ask = Asks[Sequence];
  Ask.Request = Request.Request;
  Ask.Message.Key = Key->Claim;
  Ask.Message.Attempt.Incarnation = Self.Incarnation.Value;
  Ask.Message.Attempt.Sequence = Sequence;
  Ask.Message.BodyHash = static_cast<int64_t>(Request.BodyHash);
  if (Key->MadeAt)
    Ask.Message.KeyMicros = Key->MadeAt->time_since_epoch().count();
  Ask.Deadline = Request.Deadline;
  Ask.TimeoutAt = Now + claim_timeout;
  SequenceByRequest[Request.Request] = Sequence;
  sendNext(Ask.Message, Ask.Try, Now, Members, Effects);
}

void claim_client::sendNext(const wire::peer_message &Message, steward_try &Try,
                            steady_time Now, const membership &Members,
                            effect_list &Effects) {
  Try.SentAt = Now;
  std::vector<wire::member> Coordinators = coordinatorOrder(Members);
  if (Coordinators.empty())
    return;
  const wire::member &Coordinator =
      Coordinators[Try.Tries % Coordinators.size()];
  ++Try.Tries;
  Effects.push_back(send_message{node_name(Coordinator.Name),
                                 address(Coordinator.Address), Message});
}

bool claim_client::cancel(request_id Request, steady_time Now,
                          const membership &Members, effect_list &Effects) {
  auto Found = SequenceByRequest.find(Request);
  if (Found == SequenceByRequest.end())
    return false;
  giveUp(Found->second, claim_decision::DeadlinePassed, Now, Members, Effects);
  return true;
}

void claim_client::settle(request_id Request, wire::run_outcome::type Outcome,
                          std::optional<wire::recorded_answer> Answer,
                          steady_time Now, const membership &Members,
                          effect_list &Effects) {
  auto Found = Won.find(Request);
  if (Found == Won.end())
    return;
  won_claim Claim = std::move(Found->second);
  Won.erase(Found);
  beginSettle(Claim.Key, Claim.Attempt, Outcome, std::move(Answer), Now,
              Members, Effects);
}

void claim_client::beginSettle(const wire::claim_key &Key,
                               const wire::attempt_id &Attempt,
                               wire::run_outcome::type Outcome,
                               std::optional<wire::recorded_answer> Answer,
                               steady_time Now, const membership &Members,
                               effect_list &Effects) {
  open_settle &Settle = Settles[Attempt.Sequence];
  Settle.Message.Key = Key;
  Settle.Message.Attempt = Attempt;
  Settle.Message.Outcome = Outcome;
  if (Answer && Outcome == wire::run_outcome::Run) {
    if (Answer->Body.size() > max_recorded_body_bytes) {
      Answer->Body.clear();
      Answer->BodyKept = false;
    }
    Settle.Message.__set_Answer(*Answer);
  }
  sendNext(Settle.Message, Settle.Try, Now, Members, Effects);
}

bool claim_client::onMessage(const peer_message_received &Received,
                             steady_time Now, const membership &Members,
                             effect_list &Effects) {
  if (const auto *Answer = std::get_if<wire::claim_answer>(&Received.Message)) {
    if (Answer->Attempt.Incarnation == Self.Incarnation.Value)
      onAnswer(*Answer, Now, Members, Effects);
    return true;
  }
  if (const auto *Settled =
          std::get_if<wire::claim_settled>(&Received.Message)) {
    if (Settled->Attempt.Incarnation == Self.Incarnation.Value)
      Settles.erase(Settled->Attempt.Sequence);
    return true;
  }
  return false;
}

void claim_client::onAnswer(const wire::claim_answer &Answer, steady_time Now,
                            const membership &Members, effect_list &Effects) {
  int64_t Sequence = Answer.Attempt.Sequence;
  auto Found = Asks.find(Sequence);
  if (Found == Asks.end())
    return; // already decided or abandoned
  UnavailableUntil = steady_time();
  claim_decision Decision = decisionOf(Answer.Verdict);
  if (Decision == claim_decision::Unavailable) {
    onUnavailable(Sequence, Now, Members, Effects);
    return;
  }
  if (Now >= Found->second.Deadline) {
    giveUp(Sequence, claim_decision::DeadlinePassed, Now, Members, Effects);
    return;
  }
  claim_result Result{
      Found->second.Request, Decision, std::nullopt,
      std::max(fromMicros(Answer.RetryAfterMicros), duration::zero())};
  if (Answer.__isset.Answer)
    Result.Answer = Answer.Answer;
  if (Decision == claim_decision::Dispatch) {
    const wire::claim_ask &Ask = Found->second.Message;
    Won[Result.Request] = {Ask.Key, Ask.Attempt};
  }
  close(Sequence, std::move(Result), Effects);
}

// Asks the next steward, which may be able to reach the log. Gives up when all
// stewards have been asked.
void claim_client::onUnavailable(int64_t Sequence, steady_time Now,
                                 const membership &Members,
                                 effect_list &Effects) {
  open_ask &Ask = Asks[Sequence];
  bool AllAsked = Ask.Try.Tries >= coordinatorOrder(Members).size();
  if (!AllAsked) {
    sendNext(Ask.Message, Ask.Try, Now, Members, Effects);
    return;
  }
  UnavailableUntil = Now + unavailable_period;
  giveUp(Sequence, claim_decision::Unavailable, Now, Members, Effects);
}

void claim_client::giveUp(int64_t Sequence, claim_decision Decision,
                          steady_time Now, const membership &Members,
                          effect_list &Effects) {
  const open_ask &Ask = Asks[Sequence];
  // An ask that was never sent can't have won a claim, so there is nothing to
  // settle.
  if (Ask.Try.Tries > 0)
    beginSettle(Ask.Message.Key, Ask.Message.Attempt, wire::run_outcome::NotRun,
                std::nullopt, Now, Members, Effects);
  duration RetryAfter = Decision == claim_decision::Unavailable
                            ? claim_retry_after
                            : duration::zero();
  close(Sequence, {Ask.Request, Decision, std::nullopt, RetryAfter}, Effects);
}

void claim_client::close(int64_t Sequence, claim_result Result,
                         effect_list &Effects) {
  bool First = SequenceByRequest.erase(Result.Request) > 0;
  // With the mechanism disabled, the ask stays open and a late answer is still
  // accepted.
  if (isEnabled(mechanism::ClaimGiveUp) ||
      Result.Decision == claim_decision::Dispatch)
    Asks.erase(Sequence);
  if (!invariantHolds(Effects, First, "claim-dispatch-once",
                      "request " + std::to_string(Result.Request.Value) +
                          " was decided before"))
    return;
  Results.push_back(std::move(Result));
}

void claim_client::onTick(steady_time Now, const membership &Members,
                          effect_list &Effects) {
  checkAsks(Now, Members, Effects);
  checkSettles(Now, Members, Effects);
}

void claim_client::checkAsks(steady_time Now, const membership &Members,
                             effect_list &Effects) {
  std::vector<int64_t> Late;
  std::vector<int64_t> Unanswered;
  for (auto &[Sequence, Ask] : Asks) {
    if (Now >= std::min(Ask.Deadline, Ask.TimeoutAt))
      Late.push_back(Sequence);
    else if (Now - Ask.Try.SentAt >= claim_retry_period)
      Unanswered.push_back(Sequence);
  }
  for (int64_t Sequence : Late) {
    bool Deadline = Now >= Asks[Sequence].Deadline;
    if (!Deadline)
      UnavailableUntil = Now + unavailable_period;
    giveUp(Sequence,
           Deadline ? claim_decision::DeadlinePassed
                    : claim_decision::Unavailable,
           Now, Members, Effects);
  }
  for (int64_t Sequence : Unanswered) {
    open_ask &Ask = Asks[Sequence];
    sendNext(Ask.Message, Ask.Try, Now, Members, Effects);
  }
}

void claim_client::checkSettles(steady_time Now, const membership &Members,
                                effect_list &Effects) {
  for (auto &[Sequence, Settle] : Settles)
    if (Now - Settle.Try.SentAt >= settlePeriod(Settle.Try.Tries))
      sendNext(Settle.Message, Settle.Try, Now, Members, Effects);
}

std::vector<claim_result> claim_client::takeResults() {
  return std::exchange(Results, {});
}

} // namespace monsoonreel
