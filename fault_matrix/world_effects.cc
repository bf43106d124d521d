// What the fakes do about each effect of a node.

#include <algorithm>
#include <utility>

#include "fault_matrix/world.h"
#include "monsoonreel/ledger.h"

namespace monsoonreel::fault_matrix {

namespace {

constexpr duration near_delay = std::chrono::microseconds(500);
constexpr duration far_delay = std::chrono::microseconds(1500);
constexpr duration platform_delay = std::chrono::milliseconds(3);
constexpr duration slow_platform_delay = std::chrono::milliseconds(1200);
constexpr duration delay_jitter = std::chrono::milliseconds(1);
constexpr duration token_interval = std::chrono::milliseconds(60);
constexpr duration first_token_delay = std::chrono::milliseconds(150);
// After this time without an answer a call to the platform has failed.
constexpr duration platform_timeout = std::chrono::seconds(2);
constexpr duration read_answer_timeout = std::chrono::seconds(4);

} // namespace

// -------------------------------------------------------------------- peers

void world::carryOut(process &Process, const send_message &Effect) {
  process *Receiver = findByAddress(Effect.ToAddress);
  if (!Receiver)
    return;
  transmission Transmission{
      stepOf(Effect.Message), &Process, Receiver,
      (Receiver->Zone == Process.Zone ? near_delay : far_delay) +
          jitter(delay_jitter)};
  if (areCut(Process, *Receiver))
    return;
  peer_message_received Received{Process.Identity.Name,
                                 Process.Identity.Address, Effect.Message};
  transmit(Transmission,
           [this, Receiver, Received] { deliver(*Receiver, Received); });
}

// ----------------------------------------------------------------- platform

void world::carryOut(process &Process, const append_record &Effect) {
  int Life = Process.Life;
  call_id Call = Effect.Call;
  auto Fail = [this, &Process, Life, Call] {
    if (Process.Life == Life)
      deliver(Process, append_failed{Call, platform_error::Unreachable});
  };
  if (isCutFromLog(Process)) {
    Time.after(platform_timeout, Fail);
    return;
  }
  bool Slow = Time.now() < PlatformSlowUntil;
  transmission Request{stepOf("append", Effect.Record), &Process, nullptr,
                       (Slow ? slow_platform_delay : platform_delay) +
                           jitter(delay_jitter)};
  step_name AnswerStep = stepOf("append-answer", Effect.Record);
  auto Answered = std::make_shared<bool>(false);
  fault_effect Struck = transmit(
      Request, [this, &Process, Life, Call, Effect, AnswerStep, Answered] {
        log_offset Offset = Platform.append(Effect.Stream, Effect.Record);
        if (*Answered)
          return;
        *Answered = true;
        transmission Answer{AnswerStep, nullptr, &Process,
                            platform_delay + jitter(delay_jitter)};
        transmit(Answer, [this, &Process, Life, Call, Offset] {
          if (Process.Life == Life && !isCutFromLog(Process))
            deliver(Process, append_answered{Call, Offset});
        });
      });
  if (Struck.AnswerLost)
    *Answered = true;
  if (Struck.Lost || Struck.AnswerLost)
    Time.after(platform_timeout, Fail);
}

void world::carryOut(process &Process, const read_log &Effect) {
  int Life = Process.Life;
  if (isCutFromLog(Process)) {
    Time.after(platform_timeout, [this, &Process, Life, Effect] {
      if (Process.Life == Life)
        deliver(Process,
                log_read_failed{Effect.Stream, platform_error::Unreachable});
    });
    return;
  }
  transmission Request{"read/call", &Process, nullptr,
                       platform_delay + jitter(delay_jitter)};
  transmit(Request, [this, &Process, Effect, Life] {
    answerRead(Process, Effect, Life);
  });
}

void world::answerRead(process &Process, const read_log &Effect, int Life) {
  if (Process.Life != Life)
    return;
  duration Delay =
      Platform.hasNews(Effect) ? platform_delay : fake_platform::long_poll;
  if (Time.now() < PlatformSlowUntil)
    Delay += slow_platform_delay;
  Time.after(Delay, [this, &Process, Effect, Life] {
    if (Process.Life != Life || isCutFromLog(Process))
      return;
    transmission Answer{"read/answer", nullptr, &Process,
                        platform_delay + jitter(delay_jitter)};
    log_records_read Read = Platform.read(Effect);
    transmit(Answer, [this, &Process, Read, Life] {
      if (Process.Life == Life)
        deliver(Process, Read);
    });
  });
}

// Of a report or an order.
duration world::callDelay(const process &Process) {
  bool Late = LogCut.contains(Process.Zone);
  return (Late ? late_call_delay : platform_delay) + jitter(delay_jitter);
}

bool world::isUnanswered(const process &Process) const {
  return LogCut.contains(Process.Zone);
}

void world::callPlatform(process &Process, const std::string &Kind,
                         const virtual_time::action &TakeEffect,
                         const event_body &Answer) {
  if (isCutFromPlatform(Process))
    return;
  int Life = Process.Life;
  transmission Call{Kind + "/call", &Process, nullptr, callDelay(Process)};
  auto Silent = std::make_shared<bool>(false);
  fault_effect Struck = transmit(Call, [=, this, &Process] {
    TakeEffect();
    if (*Silent || isUnanswered(Process))
      return;
    transmission Back{Kind + "/answer", nullptr, &Process, platform_delay};
    transmit(Back, [this, &Process, Answer, Life] {
      if (Process.Life == Life)
        deliver(Process, Answer);
    });
  });
  *Silent = Struck.AnswerLost;
}

// Two processes that both believe they are in charge: what one of them may
// still send could arrive after the other's write.
void world::checkInCharge(process &Process, const std::string &Lease,
                          steady_time NotAfter) {
  for (const auto &[Name, Until] : InChargeUntil[Lease]) {
    if (Name == Process.Identity.Name.Value || Time.now() >= Until)
      continue;
    std::string Finding = Process.Identity.Name.Value;
    Finding += " writes under " + Lease;
    Finding += " while " + Name + " may do so too";
    Findings.push_back(std::move(Finding));
  }
  duration Left = (NotAfter - localTime(Process)) * million /
                  (million + Process.SteadyDrift);
  InChargeUntil[Lease][Process.Identity.Name.Value] =
      Time.now() + Left + late_call_delay;
}

void world::carryOut(process &Process, const send_usage_report &Effect) {
  checkInCharge(Process, std::string(usage_lease), Effect.NotAfter);
  callPlatform(
      Process, "report", [this, Effect] { Platform.report(Effect); },
      usage_report_answered{Effect.Window, {}});
}

void world::carryOut(process &Process, const send_order &Effect) {
  checkInCharge(Process, orderLeaseName(zone_name(Effect.Intent.Zone)),
                Effect.NotAfter);
  callPlatform(
      Process, "order", [this, Effect] { Platform.order(Effect.Intent); },
      order_answered{Effect.Intent.OrderId, {}});
}

// ---------------------------------------------------------------- upstreams

void world::carryOut(process &Process, const dispatch_attempt &Effect) {
  Process.Attempts[Effect.Attempt].Upstream = Effect.Upstream.Value;
  int Life = Process.Life;
  fake_upstream &Upstream = Upstreams[Effect.Upstream.Value];
  if (Time.now() < Upstream.RefusesUntil) {
    toAttempt(Process, Life, Effect.Attempt, "dispatch/end",
              attempt_failed{Effect.Attempt, attempt_failure::NeverSent,
                             "connection refused"});
    return;
  }
  transmission Request{"dispatch/request", &Process, nullptr,
                       near_delay + jitter(delay_jitter)};
  checkKey(Process, Effect.Request, "a request ran");
  checkKeyTrust(Process, Effect.Request);
  fault_effect Struck = transmit(Request, [this, &Process, Effect, Life] {
    runAttempt(Process, Effect, Life);
  });
  // The connection went silent for good.
  if (Struck.Lost || Struck.AnswerLost)
    Process.Attempts.erase(Effect.Attempt);
}

// A key that was withdrawn is in force nowhere after the bound, unless a cut
// kept the withdrawal from the entry.
void world::checkKey(process &Process, request_id Request,
                     const std::string &What) {
  const caller_request *Caller = callerOf(Process, Request);
  if (!Caller || Disturbed)
    return;
  auto Found = Withdrawn.find(Caller->KeyId);
  if (Found != Withdrawn.end() && Time.now() - Found->second > in_force_bound)
    Findings.push_back(What + " with a withdrawn key");
}

// By then the owner of its queue had to know of its reclaim notice, whatever
// struck it.
void world::checkLeaving(const upstream_name &Name) {
  const fake_upstream &Upstream = Upstreams[Name.Value];
  if (!Upstream.LeavingSince)
    return;
  duration Since = Time.now() - *Upstream.LeavingSince;
  if (Since > leaving_bound)
    Findings.push_back(Name.Value + " got new work " +
                       std::to_string(toMicros(Since) / 1000) +
                       " ms after its reclaim notice");
}

// However cut off the entry is: a request that must not repeat starts with a
// withdrawn key only while the entry may trust the keys that it knows.
void world::checkKeyTrust(process &Process, request_id Request) {
  const caller_request *Caller = callerOf(Process, Request);
  if (!Caller || Caller->Idempotent)
    return;
  auto Found = Withdrawn.find(Caller->KeyId);
  if (Found == Withdrawn.end())
    return;
  duration Since = Time.now() - Found->second;
  if (Since > key_trust + key_trust_slack)
    Findings.push_back(Process.Identity.Name.Value +
                       " ran a request that must not repeat " +
                       std::to_string(toMicros(Since) / 1000) +
                       " ms after its key was withdrawn");
}

void world::runAttempt(process &Process, const dispatch_attempt &Effect,
                       int Life) {
  fake_upstream &Upstream = Upstreams[Effect.Upstream.Value];
  auto Number = Process.CallerOf.find(Effect.Request);
  if (Process.Life != Life || Number == Process.CallerOf.end())
    return;
  checkLeaving(Effect.Upstream);
  Executions.begin(Callers.at(Number->second).BodyHash, Number->second);
  int Generation = Upstream.Generation;
  Time.after(first_token_delay + jitter(first_token_delay),
             [this, &Process, Effect, Life, Generation] {
               if (Upstreams[Effect.Upstream.Value].Generation != Generation)
                 return;
               toAttempt(Process, Life, Effect.Attempt, "dispatch/headers",
                         attempt_headers{Effect.Attempt, 200, "text/plain",
                                         false, duration::zero()});
               sendChunk(Process, Effect, Life, Generation,
                         Effect.ResumeAfterTokens);
             });
}

void world::sendChunk(process &Process, const dispatch_attempt &Effect,
                      int Life, int Generation, int Index) {
  auto Number = Process.CallerOf.find(Effect.Request);
  if (Process.Life != Life || Number == Process.CallerOf.end() ||
      !Process.Attempts.contains(Effect.Attempt) ||
      Upstreams[Effect.Upstream.Value].Generation != Generation)
    return;
  const caller_request &Request = Callers.at(Number->second);
  if (Index >= Request.Tokens) {
    toAttempt(Process, Life, Effect.Attempt, "dispatch/end",
              attempt_finished{Effect.Attempt});
    return;
  }
  toAttempt(
      Process, Life, Effect.Attempt, "dispatch/chunk",
      attempt_chunk{Effect.Attempt, tokenText(Request.BodyHash, Index), 1});
  Time.after(token_interval, [this, &Process, Effect, Life, Generation, Index] {
    sendChunk(Process, Effect, Life, Generation, Index + 1);
  });
}

// An answer comes on one connection, in order: a lost part means that nothing
// comes after it, what follows a late part is late too, and no part comes
// twice.
void world::toAttempt(process &Process, int Life, attempt_number Attempt,
                      const step_name &Step, const event_body &Body) {
  if (!Process.Attempts.contains(Attempt))
    return;
  transmission Answer{Step, nullptr, &Process, near_delay};
  fault_effect Struck = strike(Answer);
  // A fault that strikes may have closed the connection.
  auto Found = Process.Attempts.find(Attempt);
  if (Found == Process.Attempts.end())
    return;
  if (Struck.Lost || Struck.AnswerLost) {
    // The connection went silent for good.
    Process.Attempts.erase(Found);
    return;
  }
  duration &HeldUntil = Found->second.HeldUntil;
  HeldUntil = std::max(HeldUntil, Time.now() + near_delay + Struck.ExtraDelay);
  Time.after(HeldUntil - Time.now(), [this, &Process, Life, Attempt, Body] {
    // Cancelled attempts still deliver what was under way.
    if (Process.Life == Life)
      deliver(Process, Body);
  });
}

void world::carryOut(process &Process, const cancel_attempt &Effect) {
  Process.Attempts.erase(Effect.Attempt);
}

void world::carryOut(process &Process, const poll_load &Effect) {
  const fake_upstream &Upstream = Upstreams[Effect.Upstream.Value];
  if (Time.now() < Upstream.RefusesUntil) {
    deliver(Process, load_report_failed{Effect.Upstream});
    return;
  }
  load_report Report;
  Report.Upstream = Effect.Upstream;
  Report.Leaving = Upstream.LeavingSince.has_value();
  int Life = Process.Life;
  Time.after(near_delay, [this, &Process, Report, Life] {
    if (Process.Life == Life)
      deliver(Process, Report);
  });
}

// The list lags by nothing here: only its marks matter to the nodes.
void world::carryOut(process &Process, const read_vm_list &) {
  if (isCutFromPlatform(Process))
    return;
  vm_list_read List;
  for (const auto &[Name, Upstream] : Upstreams)
    List.Vms.push_back(
        {node_name(Name),
         zone_name("zone-" + std::to_string(ZoneOfUpstream[Name])),
         upstreamAddress(Name), Upstream.LeavingSince.has_value()});
  int Life = Process.Life;
  Time.after(platform_delay, [this, &Process, List, Life] {
    if (Process.Life == Life)
      deliver(Process, List);
  });
}

// ------------------------------------------------------------------ callers

caller_request *world::callerOf(process &Process, request_id Request) {
  auto Found = Process.CallerOf.find(Request);
  return Found == Process.CallerOf.end() ? nullptr : &Callers.at(Found->second);
}

void world::carryOut(process &Process, const begin_answer &Effect) {
  if (caller_request *Caller = callerOf(Process, Effect.Request)) {
    if (Caller->Begun)
      Findings.push_back("an answer was begun twice");
    Caller->Begun = true;
  }
}

void world::carryOut(process &Process, const write_answer &Effect) {
  checkKey(Process, Effect.Request, "an answer went on");
  if (caller_request *Caller = callerOf(Process, Effect.Request))
    Caller->Received += Effect.Data;
}

void world::carryOut(process &Process, const finish_answer &Effect) {
  if (caller_request *Caller = callerOf(Process, Effect.Request)) {
    Caller->Finished = true;
    Caller->FinishedAt = Time.now();
    ++Caller->FinalAnswers;
    Process.CallerOf.erase(Effect.Request);
  }
}

void world::carryOut(process &Process, const abort_answer &Effect) {
  if (caller_request *Caller = callerOf(Process, Effect.Request)) {
    Caller->Aborted = true;
    ++Caller->FinalAnswers;
    Process.CallerOf.erase(Effect.Request);
  }
}

void world::carryOut(process &Process, const refuse_request &Effect) {
  if (caller_request *Caller = callerOf(Process, Effect.Request)) {
    Caller->Refusal = Effect;
    ++Caller->FinalAnswers;
    Process.CallerOf.erase(Effect.Request);
  }
}

// ------------------------------------------------------------------ process

void world::carryOut(process &Process, const report_breach &Effect) {
  Findings.push_back(Process.Identity.Name.Value + " broke " +
                     Effect.Invariant + ": " + Effect.Detail);
}

void world::carryOut(process &Process, const drain_finished &) {
  auto Waits = [&](const auto &Entry) {
    return !Callers.at(Entry.second).Disconnected;
  };
  if (std::any_of(Process.CallerOf.begin(), Process.CallerOf.end(), Waits))
    Findings.push_back(Process.Identity.Name.Value +
                       " ended its drain while callers waited");
  if (Process.IsEntry)
    Drains.push_back(Time.now());
  stop(Process);
}

} // namespace monsoonreel::fault_matrix
